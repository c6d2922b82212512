/* cassiad: the daemon on each upstream host. Reads the command line and the
 * settings, then runs until it has drained. */
#include <sodium.h>
#include <stdio.h>

#include "cassia/log.h"
#include "daemon.h"

static const char *settings_path;
static gboolean show_version;

static const GOptionEntry options[] = {
	{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &settings_path,
	  "Settings of this daemon (TOML)", "FILE" },
	{ "version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
	  "Print the version and exit", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/* Sets settings_path and show_version. Returns 0, or 2 after printing an
 * error. */
static int read_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	int result = 0;

	g_option_context_set_summary(context,
				     "Overload control for a service host.");
	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "cassiad: %s\n", error->message);
		g_error_free(error);
		result = 2;
	} else if (!show_version && !settings_path) {
		fprintf(stderr, "cassiad: option --config FILE is required\n");
		result = 2;
	}
	g_option_context_free(context);
	return result;
}

/* Reads the settings and creates what daemon_start needs. Returns the daemon,
 * or NULL; invalid settings are logged. */
static cassiad_t *create_daemon(TALLOC_CTX *ctx)
{
	cassiad_t *daemon = talloc_zero(ctx, cassiad_t);

	if (!daemon)
		return NULL;
	daemon->settings_path = settings_path;
	daemon->settings = config_read_settings(daemon, settings_path);
	if (!daemon->settings)
		return NULL;
	cas_log_set_level(daemon->settings->log_level);
	daemon->ev = tevent_context_init(daemon);
	daemon->clock = cas_clock_create_real(daemon);
	daemon->rng = cas_rng_create(daemon, randombytes_random());
	return daemon->ev && daemon->clock && daemon->rng ? daemon : NULL;
}

int main(int argc, char **argv)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	cassiad_t *daemon;
	int result = read_options(argc, argv);

	if (result || show_version) {
		if (show_version)
			printf("cassiad %s\n", CASSIA_VERSION);
		talloc_free(ctx);
		return result;
	}
	if (sodium_init() < 0 || cas_log_init(CAS_LOG_INFO))
		return 1;
	daemon = create_daemon(ctx);
	result = daemon && daemon_start(daemon) == 0 ? daemon_run(daemon) : 1;
	cas_log(CAS_LOG_INFO, "exit", CAS_LOG_INT("status", result));
	talloc_free(ctx);
	cas_log_fini();
	return result;
}
