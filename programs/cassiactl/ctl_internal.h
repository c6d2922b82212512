/* What the commands share. */
#ifndef CASSIACTL_CTL_INTERNAL_H
#define CASSIACTL_CTL_INTERNAL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <talloc.h>

#include "cassia/check.h"
#include "ctl.h"

/* One run of the program. */
typedef struct ctl {
	TALLOC_CTX *ctx; /* freed at the end of the run */
	FILE *out;
	FILE *err;
	gboolean json; /* --json */
	int exit_code; /* when ctl_parse returns false */
} ctl_t;

typedef struct ctl_usage {
	const char *arguments; /* such as: check FILE... */
	const char *summary;
	int least; /* number of positional arguments */
	int most;
} ctl_usage_t;

typedef int (*ctl_command_t)(ctl_t *ctl, int argc, char **argv);

int ctl_check(ctl_t *ctl, int argc, char **argv);
int ctl_diff(ctl_t *ctl, int argc, char **argv);
int ctl_key(ctl_t *ctl, int argc, char **argv);
int ctl_status(ctl_t *ctl, int argc, char **argv);
int ctl_top(ctl_t *ctl, int argc, char **argv);
int ctl_drain(ctl_t *ctl, int argc, char **argv);
int ctl_explain(ctl_t *ctl, int argc, char **argv);

/* Prints what the logs say of a request and its calls, in order of time. Returns
 * an exit code; CTL_REFUSED when there is no line about it. */
int ctl_explain_logs(ctl_t *ctl, const char *id, int count, char **paths);

/*
 * Parses the options of a command, which --help, --version and --json are
 * added to. Afterwards argv[1..] are the positional arguments. Returns false
 * when the command is over, with ctl->exit_code set.
 */
bool ctl_parse(ctl_t *ctl, const ctl_usage_t *usage,
	       const GOptionEntry *entries, int *argc, char ***argv);

/* Prints "cassiactl: message" on the error stream and returns CTL_FAILED. */
int ctl_fail(ctl_t *ctl, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Reads a document; on failure prints why and returns the exit code. */
int ctl_read_any(ctl_t *ctl, const char *path, config_any_t *any,
		 config_faults_t **faults);

/* Prints each fault, and how many were left out. */
void ctl_print_faults(FILE *out, TALLOC_CTX *ctx, const char *path,
		      const config_faults_t *faults);

/* Returns a JSON string (new reference) of valid UTF-8; other bytes become
 * question marks. */
json_t *ctl_json_text(cas_str_t text);

/* Prints a JSON document on one line and drops the reference. */
void ctl_print_json(FILE *out, json_t *json);

/* Prints any JSON object for people: a line for each value, and lists of
 * objects as columns. Control characters are replaced. */
void ctl_print_object(FILE *out, json_t *object);

/*
 * Sends a request to the operators' port. Returns an exit code, and with
 * CTL_OK the reply's JSON object (new reference) in *reply.
 */
int ctl_request(ctl_t *ctl, const char *method, const char *url,
		json_t **reply);

#endif
