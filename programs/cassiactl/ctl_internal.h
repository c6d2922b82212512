/* Declarations that the commands of cassiactl share. */
#ifndef CASSIACTL_CTL_INTERNAL_H
#define CASSIACTL_CTL_INTERNAL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <talloc.h>

#include "cassia/check.h"
#include "ctl.h"

/* State of one run of the program. */
typedef struct ctl {
	TALLOC_CTX *ctx; /* freed at the end of the run */
	FILE *out; /* standard output */
	FILE *err; /* standard error */
	gboolean json; /* --json was given */
	int exit_code; /* set when ctl_parse_options returns false */
} ctl_t;

typedef struct ctl_usage {
	const char *arguments; /* such as "check FILE..." */
	const char *summary; /* shown by --help */
	int min_arguments; /* limits of positional arguments */
	int max_arguments;
} ctl_usage_t;

/* Runs a command; argv[0] is the command's name. Returns the exit code. */
typedef int (*ctl_command_t)(ctl_t *ctl, int argc, char **argv);

int ctl_check(ctl_t *ctl, int argc, char **argv);
int ctl_diff(ctl_t *ctl, int argc, char **argv);
int ctl_key(ctl_t *ctl, int argc, char **argv);
int ctl_status(ctl_t *ctl, int argc, char **argv);
int ctl_top(ctl_t *ctl, int argc, char **argv);
int ctl_drain(ctl_t *ctl, int argc, char **argv);
int ctl_explain(ctl_t *ctl, int argc, char **argv);
int ctl_place(ctl_t *ctl, int argc, char **argv);

/* Prints the lines of the logs at paths that are about a request or its child
 * calls, in order of time. Returns an exit code; CTL_REFUSED when there is no
 * such line. */
int ctl_explain_logs(ctl_t *ctl, const char *id, int count, char **paths);

/*
 * Parses the options of a command: entries, which may be NULL, and --help,
 * --version and --json, which are handled here. Afterwards argv[1..] are the
 * positional arguments. Returns false when the command has ended, with
 * ctl->exit_code set.
 */
bool ctl_parse_options(ctl_t *ctl, const ctl_usage_t *usage,
		       const GOptionEntry *entries, int *argc, char ***argv);

/* Prints "cassiactl: message" on the error stream and returns CTL_FAILED. */
int ctl_fail(ctl_t *ctl, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Reads a document of any kind into *parsed and its faults into *faults (both
 * owned by ctl->ctx). Returns CTL_OK, CTL_REFUSED when the document has faults,
 * which are not printed, or CTL_FAILED after an error message.
 */
int ctl_read_document(ctl_t *ctl, const char *path, config_parsed_t *parsed,
		      config_faults_t **faults);

/* Prints each fault, and the number of faults that the list left out. */
void ctl_print_faults(FILE *out, TALLOC_CTX *ctx, const char *path,
		      const config_faults_t *faults);

/* Returns a JSON string (new reference). Of a text that is not valid UTF-8, all
 * bytes outside ASCII become question marks. */
json_t *ctl_json_string(cas_str_t text);

/* Prints a JSON value on one line and drops the reference. */
void ctl_print_json(FILE *out, json_t *json);

/* Prints any JSON object in readable form: a line for each member, and a list
 * of objects as rows with columns. Control characters are replaced. */
void ctl_print_object(FILE *out, json_t *object);

/*
 * Sends a request to the operators' port of a daemon. Returns CTL_OK with the
 * JSON object of the response (new reference) in *reply, CTL_REFUSED for an
 * error status, or CTL_FAILED. A message has been printed then.
 */
int ctl_request(ctl_t *ctl, const char *method, const char *url,
		json_t **reply);

#endif
