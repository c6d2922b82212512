/* The commands that send a request to a daemon's operators' port: status, top,
 * drain, explain and place. */
#include <arpa/inet.h>

#include "ctl_internal.h"

#define REQUEST_ID_MAX_BYTES 128
/* One log for each daemon of the largest fleet that the project is designed
 * for. */
#define LOGS_MAX 1000

typedef struct operators_options {
	char *address; /* --operators, ADDRESS:PORT */
	char *settings; /* --settings, a path */
	gboolean stop; /* --stop */
} operators_options_t;

/* Returns the URL of the operators' port without path (owned by ctl->ctx), or
 * NULL after an error message. */
static char *base_url(ctl_t *ctl, const operators_options_t *options)
{
	config_parsed_t parsed = { 0 };
	config_faults_t *faults;
	char address[INET_ADDRSTRLEN];

	if (options->address)
		return talloc_asprintf(ctl->ctx, "http://%s", options->address);
	if (!options->settings) {
		ctl_fail(ctl, "--operators or --settings is needed");
		return NULL;
	}
	if (ctl_read_document(ctl, options->settings, &parsed, &faults) ||
	    !parsed.settings) {
		ctl_fail(ctl, "%s holds no valid settings", options->settings);
		return NULL;
	}
	if (!parsed.settings->operators.port) {
		ctl_fail(ctl,
			 "%s lets the kernel choose the operators' port; "
			 "use --operators",
			 options->settings);
		return NULL;
	}
	inet_ntop(AF_INET, &parsed.settings->operators.address, address,
		  sizeof(address));
	return talloc_asprintf(ctl->ctx, "http://%s:%u", address,
			       parsed.settings->operators.port);
}

/* Sends a request and prints the response. Returns an exit code. */
static int send_request(ctl_t *ctl, const operators_options_t *options,
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

/* Returns a request id escaped for a query (owned by ctl->ctx), or NULL when
 * its length is invalid. */
static char *escape_id(ctl_t *ctl, const char *id)
{
	char *escaped;
	char *copy;

	if (!*id || strlen(id) > REQUEST_ID_MAX_BYTES)
		return NULL;
	escaped = g_uri_escape_string(id, NULL, FALSE);
	copy = talloc_strdup(ctl->ctx, escaped);
	g_free(escaped);
	return copy;
}

/* Asks the entry daemon about a request that it refused. */
static int explain_by_daemon(ctl_t *ctl, const operators_options_t *options,
			     const char *id)
{
	char *escaped = escape_id(ctl, id);

	if (!escaped)
		return ctl_fail(ctl, "a request id has 1 to %d characters",
				REQUEST_ID_MAX_BYTES);
	return send_request(
		ctl, options, "GET",
		talloc_asprintf(ctl->ctx, "/explain?id=%s", escaped));
}

/* The request that a command sends. */
typedef struct daemon_request {
	const char *method;
	const char *path; /* NULL for explain, whose query holds the id */
	const char *stop_path; /* with --stop; NULL: no such option */
} daemon_request_t;

/* Runs a command after its options were parsed. Returns an exit code. */
static int run_request(ctl_t *ctl, const operators_options_t *options,
		       const daemon_request_t *request, int argc, char **argv)
{
	if (!request->path && argc > 2)
		return ctl_explain_logs(ctl, argv[1], argc - 2, argv + 2);
	if (!request->path)
		return explain_by_daemon(ctl, options, argv[1]);
	return send_request(ctl, options, request->method,
			    options->stop ? request->stop_path : request->path);
}

/* Parses the options of a command and runs it. Returns an exit code. */
static int run_daemon_command(ctl_t *ctl, const ctl_usage_t *usage,
			      const daemon_request_t *request, int argc,
			      char **argv)
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

	if (ctl_parse_options(ctl, usage,
			      request->stop_path ? entries : without_stop,
			      &argc, &argv))
		exit_code = run_request(ctl, &options, request, argc, argv);
	else
		exit_code = ctl->exit_code;
	g_free(options.address);
	g_free(options.settings);
	return exit_code;
}

int ctl_status(ctl_t *ctl, int argc, char **argv)
{
	static const daemon_request_t request = { "GET", "/status", NULL };
	static const ctl_usage_t usage = {
		"status --operators ADDRESS:PORT",
		"Shows the state of a daemon, the configuration in force and "
		"faults.",
		0, 0
	};

	return run_daemon_command(ctl, &usage, &request, argc, argv);
}

int ctl_top(ctl_t *ctl, int argc, char **argv)
{
	static const daemon_request_t request = { "GET", "/top", NULL };
	static const ctl_usage_t usage = {
		"top --operators ADDRESS:PORT",
		"Shows served and rejected requests and latencies in "
		"microseconds for each customer.",
		0, 0
	};

	return run_daemon_command(ctl, &usage, &request, argc, argv);
}

int ctl_drain(ctl_t *ctl, int argc, char **argv)
{
	static const daemon_request_t request = { "POST", "/drain",
						  "/drain?goal=stop" };
	static const ctl_usage_t usage = {
		"drain --operators ADDRESS:PORT",
		"Takes the upstream of a daemon out of service without "
		"aborting requests. The daemon remains an entry daemon for "
		"callers unless --stop is given.",
		0, 0
	};

	return run_daemon_command(ctl, &usage, &request, argc, argv);
}

int ctl_explain(ctl_t *ctl, int argc, char **argv)
{
	static const daemon_request_t request = { "GET", NULL, NULL };
	static const ctl_usage_t usage = {
		"explain REQUEST_ID [LOG...]",
		"Shows the outcome of a request and its cause: from the logs "
		"of all daemons that handled it or, for a recent refusal, from "
		"its entry daemon (--operators).",
		1, LOGS_MAX + 1
	};

	return run_daemon_command(ctl, &usage, &request, argc, argv);
}

/* Options of the command place. */
typedef struct place_options {
	operators_options_t operators;
	char *host;
	char *method;
	char *customer;
	gint64 body_bytes;
} place_options_t;

/* Returns the query of a described request (owned by ctl->ctx). */
static char *place_query(ctl_t *ctl, const place_options_t *options,
			 const char *path)
{
	const struct {
		const char *name;
		const char *value;
	} members[] = {
		{ "path", path },
		{ "host", options->host },
		{ "method", options->method ? options->method : "GET" },
		{ "customer", options->customer },
	};
	char *query = talloc_asprintf(ctl->ctx, "/placement?body_bytes=%lld",
				      (long long)options->body_bytes);

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
		char *escaped;

		if (!members[i].value)
			continue;
		escaped = g_uri_escape_string(members[i].value, NULL, FALSE);
		query = talloc_asprintf_append_buffer(query, "&%s=%s",
						      members[i].name, escaped);
		g_free(escaped);
	}
	return query;
}

int ctl_place(ctl_t *ctl, int argc, char **argv)
{
	static const ctl_usage_t usage = {
		"place PATH --operators ADDRESS:PORT",
		"Shows where the daemon would send a request now, and why, "
		"without sending it. Times are in microseconds.",
		1, 1
	};
	place_options_t options = { 0 };
	const GOptionEntry entries[] = {
		{ "operators", 0, 0, G_OPTION_ARG_STRING,
		  &options.operators.address, "Operators' port of the daemon",
		  "ADDRESS:PORT" },
		{ "settings", 0, 0, G_OPTION_ARG_FILENAME,
		  &options.operators.settings,
		  "Settings of the daemon, for its operators' port", "FILE" },
		{ "host", 0, 0, G_OPTION_ARG_STRING, &options.host,
		  "Host name of the request", "NAME" },
		{ "method", 0, 0, G_OPTION_ARG_STRING, &options.method,
		  "Method of the request, GET by default", "METHOD" },
		{ "customer", 0, 0, G_OPTION_ARG_STRING, &options.customer,
		  "Name of the customer", "NAME" },
		{ "body", 0, 0, G_OPTION_ARG_INT64, &options.body_bytes,
		  "Size of the request body", "BYTES" },
		G_OPTION_ENTRY_NULL,
	};
	int exit_code = CTL_OK;

	if (ctl_parse_options(ctl, &usage, entries, &argc, &argv))
		exit_code = send_request(ctl, &options.operators, "GET",
					 place_query(ctl, &options, argv[1]));
	else
		exit_code = ctl->exit_code;
	g_free(options.operators.address);
	g_free(options.operators.settings);
	g_free(options.host);
	g_free(options.method);
	g_free(options.customer);
	return exit_code;
}
