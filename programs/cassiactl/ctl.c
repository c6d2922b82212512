/* Selection of the command, parsing of options, and error messages. */
#include <curl/curl.h>
#include <errno.h>
#include <sodium.h>
#include <stdarg.h>

#include "ctl_internal.h"

#define PROGRAM "cassiactl"

typedef struct command {
	const char *name;
	const char *summary;
	ctl_command_t run;
} command_t;

static const command_t commands[] = {
	{ "check", "check settings, tables and host lists", ctl_check },
	{ "diff", "show what changes between two tables", ctl_diff },
	{ "key", "issue a new key for a customer", ctl_key },
	{ "status", "show the state of a daemon", ctl_status },
	{ "top", "show the customers of a daemon", ctl_top },
	{ "drain", "take an upstream or a daemon out of service", ctl_drain },
	{ "explain", "show the outcome of a request and its cause",
	  ctl_explain },
	{ "place", "show where a request would go now, and why", ctl_place },
};

int ctl_fail(ctl_t *ctl, const char *format, ...)
{
	va_list args;

	fputs(PROGRAM ": ", ctl->err);
	va_start(args, format);
	vfprintf(ctl->err, format, args);
	va_end(args);
	fputc('\n', ctl->err);
	return CTL_FAILED;
}

static void print_version(ctl_t *ctl)
{
	fprintf(ctl->out, PROGRAM " %s\n", CASSIA_VERSION);
}

/* Returns the parser of a command's options, for g_option_context_free. */
static GOptionContext *make_option_context(ctl_t *ctl, const ctl_usage_t *usage,
					   const GOptionEntry *entries,
					   gboolean *help, gboolean *version)
{
	GOptionEntry common[] = {
		{ "help", 'h', 0, G_OPTION_ARG_NONE, help, "Show this help",
		  NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, version,
		  "Show the version", NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &ctl->json,
		  "Print JSON for programs", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(usage->arguments);

	g_option_context_set_summary(context, usage->summary);
	g_option_context_set_help_enabled(context, FALSE);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, common, NULL);
	return context;
}

static void print_help(ctl_t *ctl, GOptionContext *context)
{
	char *text = g_option_context_get_help(context, TRUE, NULL);

	fputs(text, ctl->out);
	g_free(text);
}

/* Returns whether the number of positional arguments is allowed; if not, prints
 * the usage and sets ctl->exit_code. */
static bool check_argument_count(ctl_t *ctl, const ctl_usage_t *usage,
				 int count)
{
	if (count >= usage->min_arguments && count <= usage->max_arguments)
		return true;
	ctl->exit_code =
		ctl_fail(ctl, "usage: " PROGRAM " %s", usage->arguments);
	return false;
}

bool ctl_parse_options(ctl_t *ctl, const ctl_usage_t *usage,
		       const GOptionEntry *entries, int *argc, char ***argv)
{
	gboolean help = FALSE;
	gboolean version = FALSE;
	GError *error = NULL;
	GOptionContext *context =
		make_option_context(ctl, usage, entries, &help, &version);
	bool proceed = false;

	if (!g_option_context_parse(context, argc, argv, &error)) {
		ctl->exit_code = ctl_fail(ctl, "%s", error->message);
		g_error_free(error);
	} else if (help) {
		print_help(ctl, context);
	} else if (version) {
		print_version(ctl);
	} else {
		proceed = check_argument_count(ctl, usage, *argc - 1);
	}
	g_option_context_free(context);
	return proceed;
}

void ctl_print_faults(FILE *out, TALLOC_CTX *ctx, const char *path,
		      const config_faults_t *faults)
{
	for (size_t i = 0; i < faults->count; i++)
		fprintf(out, "%s\n",
			config_fault_print(ctx, path, &faults->items[i]));
	if (faults->omitted)
		fprintf(out, "%s: %zu further faults\n", path, faults->omitted);
}

int ctl_read_document(ctl_t *ctl, const char *path, config_parsed_t *parsed,
		      config_faults_t **faults)
{
	cas_str_t text;
	int rc;

	*faults = config_faults_create(ctl->ctx);
	if (config_read_file(ctl->ctx, path, &text))
		return ctl_fail(ctl, "%s: %s", path, strerror(errno));
	rc = config_read_any(ctl->ctx, text, *faults, parsed);
	if (rc == CONFIG_ENOMEM)
		return ctl_fail(ctl, "%s: out of memory", path);
	return rc ? CTL_REFUSED : CTL_OK;
}

static void print_usage(ctl_t *ctl, FILE *out)
{
	(void)ctl;
	fputs("Usage: " PROGRAM " COMMAND [OPTION...]\n\nCommands:\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-8s  %s\n", commands[i].name,
			commands[i].summary);
	fputs("\n" PROGRAM " COMMAND --help describes a command.\n"
	      "Exit codes: 0 done, 1 faults found or refused by the daemon,\n"
	      "2 wrong usage, unreadable file or no connection.\n",
	      out);
}

static int run_command(ctl_t *ctl, int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(ctl, argc - 1, argv + 1);
	ctl_fail(ctl, "unknown command \"%s\"", argv[1]);
	print_usage(ctl, ctl->err);
	return CTL_FAILED;
}

int ctl_main(int argc, char **argv, FILE *out, FILE *err)
{
	ctl_t ctl = { .out = out, .err = err };
	int exit_code = CTL_OK;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return ctl_fail(&ctl,
				"libsodium or libcurl cannot be initialised");
	ctl.ctx = talloc_new(NULL);
	g_set_prgname(PROGRAM);
	if (argc < 2) {
		print_usage(&ctl, err);
		exit_code = CTL_FAILED;
	} else if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(&ctl, out);
	} else if (!strcmp(argv[1], "--version")) {
		print_version(&ctl);
	} else {
		exit_code = run_command(&ctl, argc, argv);
	}
	talloc_free(ctl.ctx);
	curl_global_cleanup();
	return exit_code;
}
