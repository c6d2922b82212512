/* Commands that ask a daemon on its operators' port. */
#include <arpa/inet.h>

#include "ctl_internal.h"

#define ID_MAX_BYTES 128
/* One for each daemon of the size to design for. */
#define LOGS_MAX 1000

typedef struct operators_options {
	char *address; /* --operators */
	char *settings;
	gboolean stop;
} operators_options_t;

/* Returns the base URL (owned by ctl->ctx), or NULL after a message. */
static char *base_url(ctl_t *ctl, const operators_options_t *options)
{
	config_any_t any = { 0 };
	config_faults_t *faults;
	char address[INET_ADDRSTRLEN];

	if (options->address)
		return talloc_asprintf(ctl->ctx, "http://%s", options->address);
	if (!options->settings) {
		ctl_fail(ctl, "--operators or --settings is needed");
		return NULL;
	}
	if (ctl_read_any(ctl, options->settings, &any, &faults) ||
	    !any.settings) {
		ctl_fail(ctl, "%s has no good settings", options->settings);
		return NULL;
	}
	if (!any.settings->operators.port) {
		ctl_fail(ctl,
			 "%s leaves the operators' port to the kernel; "
			 "use --operators",
			 options->settings);
		return NULL;
	}
	inet_ntop(AF_INET, &any.settings->operators.address, address,
		  sizeof(address));
	return talloc_asprintf(ctl->ctx, "http://%s:%u", address,
			       any.settings->operators.port);
}

static int ask(ctl_t *ctl, const operators_options_t *options,
	       const char *method, const char *path)
{
	char *base = base_url(ctl, options);
	json_t *reply = NULL;
	int exit_code;

	if (!base)
		return CTL_FAILED;
	exit_code = ctl_request(ctl, method,
				talloc_asprintf(ctl->ctx, "%s%s", base, path),
				&reply);
	if (exit_code)
		return exit_code;
	if (ctl->json) {
		ctl_print_json(ctl->out, reply);
	} else {
		ctl_print_object(ctl->out, reply);
		json_decref(reply);
	}
	return CTL_OK;
}

/* Escapes an id for a query; NULL when it is no id. */
static char *escape_id(ctl_t *ctl, const char *id)
{
	char *escaped;
	char *copy;

	if (!*id || strlen(id) > ID_MAX_BYTES)
		return NULL;
	escaped = g_uri_escape_string(id, NULL, FALSE);
	copy = talloc_strdup(ctl->ctx, escaped);
	g_free(escaped);
	return copy;
}

static int explain(ctl_t *ctl, const operators_options_t *options,
		   const char *id)
{
	char *escaped = escape_id(ctl, id);

	if (!escaped)
		return ctl_fail(ctl, "a request id has 1 to %d characters",
				ID_MAX_BYTES);
	return ask(ctl, options, "GET",
		   talloc_asprintf(ctl->ctx, "/explain?id=%s", escaped));
}

/* What a command asks for. */
typedef struct question {
	const char *method;
	const char *path; /* NULL for explain, whose argument is the id */
	const char *stop_path; /* with --stop; NULL when there is none */
} question_t;

static int answer(ctl_t *ctl, const operators_options_t *options,
		  const question_t *question, int argc, char **argv)
{
	if (!question->path && argc > 2)
		return ctl_explain_logs(ctl, argv[1], argc - 2, argv + 2);
	if (!question->path)
		return explain(ctl, options, argv[1]);
	return ask(ctl, options, question->method,
		   options->stop ? question->stop_path : question->path);
}

static int run(ctl_t *ctl, const ctl_usage_t *usage, const question_t *question,
	       int argc, char **argv)
{
	operators_options_t options = { 0 };
	const GOptionEntry entries[] = {
		{ "operators", 0, 0, G_OPTION_ARG_STRING, &options.address,
		  "Operators' port of the daemon", "ADDRESS:PORT" },
		{ "settings", 0, 0, G_OPTION_ARG_FILENAME, &options.settings,
		  "Settings of the daemon, for its operators' port", "FILE" },
		{ "stop", 0, 0, G_OPTION_ARG_NONE, &options.stop,
		  "Stop the daemon as well when it has finished", NULL },
		G_OPTION_ENTRY_NULL,
	};
	const GOptionEntry without_stop[] = { entries[0], entries[1],
					      G_OPTION_ENTRY_NULL };
	int exit_code = CTL_OK;

	if (ctl_parse(ctl, usage, question->stop_path ? entries : without_stop,
		      &argc, &argv))
		exit_code = answer(ctl, &options, question, argc, argv);
	else
		exit_code = ctl->exit_code;
	g_free(options.address);
	g_free(options.settings);
	return exit_code;
}

int ctl_status(ctl_t *ctl, int argc, char **argv)
{
	static const question_t question = { "GET", "/status", NULL };
	static const ctl_usage_t usage = {
		"status --operators ADDRESS:PORT",
		"Shows the state of a daemon, what is in force, and faults.", 0,
		0
	};

	return run(ctl, &usage, &question, argc, argv);
}

int ctl_top(ctl_t *ctl, int argc, char **argv)
{
	static const question_t question = { "GET", "/top", NULL };
	static const ctl_usage_t usage = {
		"top --operators ADDRESS:PORT",
		"Shows served and rejected requests and latencies in "
		"microseconds for each customer.",
		0, 0
	};

	return run(ctl, &usage, &question, argc, argv);
}

int ctl_drain(ctl_t *ctl, int argc, char **argv)
{
	static const question_t question = { "POST", "/drain",
					     "/drain?goal=stop" };
	static const ctl_usage_t usage = {
		"drain --operators ADDRESS:PORT",
		"Takes the upstream of a daemon out of service without aborting "
		"requests. The daemon goes on as an entry for callers, unless "
		"--stop is given.",
		0, 0
	};

	return run(ctl, &usage, &question, argc, argv);
}

int ctl_explain(ctl_t *ctl, int argc, char **argv)
{
	static const question_t question = { "GET", NULL, NULL };
	static const ctl_usage_t usage = {
		"explain REQUEST_ID [LOG...]",
		"Shows what became of a request and why: from the logs of all "
		"daemons that it passed, or for a recent refusal from its entry "
		"daemon (--operators).",
		1, LOGS_MAX + 1
	};

	return run(ctl, &usage, &question, argc, argv);
}
