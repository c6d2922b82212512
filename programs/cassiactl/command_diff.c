/* cassiactl diff: shows the changes between two revisions of a document. */
#include "cassia/diff.h"
#include "ctl_internal.h"

static const ctl_usage_t usage = {
	"diff FORMER NEXT",
	"Shows what changes between two tables or two host lists, and warns of "
	"changes that are unsafe while only some daemons have applied them.",
	2,
	2,
};

/* Reads a document; prints its faults, if any. Returns an exit code. */
static int read_or_print_faults(ctl_t *ctl, const char *path,
				config_parsed_t *parsed)
{
	config_faults_t *faults;
	int exit_code = ctl_read_document(ctl, path, parsed, &faults);

	if (exit_code == CTL_REFUSED)
		ctl_print_faults(ctl->err, ctl->ctx, path, faults);
	return exit_code;
}

static void print_change(FILE *out, const config_change_t *change)
{
	if (change->key.len)
		fprintf(out, "~ %.*s%s%.*s: %.*s -> %.*s\n",
			CAS_STR_ARG(change->row), change->row.len ? ": " : "",
			CAS_STR_ARG(change->key), CAS_STR_ARG(change->before),
			CAS_STR_ARG(change->after));
	else
		fprintf(out, "%c %.*s\n", change->before.len ? '-' : '+',
			CAS_STR_ARG(change->row));
}

static void print_diff(ctl_t *ctl, const config_diff_t *diff)
{
	for (size_t i = 0; i < diff->change_count; i++)
		print_change(ctl->out, &diff->changes[i]);
	for (size_t i = 0; i < diff->warning_count; i++)
		fprintf(ctl->out, "warning: %.*s\n",
			CAS_STR_ARG(diff->warnings[i]));
}

static json_t *make_report(const config_diff_t *diff)
{
	json_t *changes = json_array();
	json_t *warnings = json_array();

	for (size_t i = 0; i < diff->change_count; i++) {
		const config_change_t *change = &diff->changes[i];

		json_array_append_new(
			changes,
			json_pack("{s:o, s:o, s:o, s:o}", "row",
				  ctl_json_string(change->row), "key",
				  ctl_json_string(change->key), "before",
				  ctl_json_string(change->before), "after",
				  ctl_json_string(change->after)));
	}
	for (size_t i = 0; i < diff->warning_count; i++)
		json_array_append_new(warnings,
				      ctl_json_string(diff->warnings[i]));
	return json_pack("{s:o, s:o}", "changes", changes, "warnings",
			 warnings);
}

/* Returns the differences, or NULL unless both documents are of one kind. */
static config_diff_t *compare(ctl_t *ctl, const config_parsed_t *from,
			      const config_parsed_t *to)
{
	if (from->table && to->table)
		return table_diff(ctl->ctx, from->table, to->table);
	if (from->roster && to->roster)
		return roster_diff(ctl->ctx, from->roster, to->roster);
	return NULL;
}

int ctl_diff(ctl_t *ctl, int argc, char **argv)
{
	config_parsed_t from = { 0 };
	config_parsed_t to = { 0 };
	config_diff_t *diff;
	int exit_code;

	if (!ctl_parse_options(ctl, &usage, NULL, &argc, &argv))
		return ctl->exit_code;
	exit_code = read_or_print_faults(ctl, argv[1], &from);
	if (!exit_code)
		exit_code = read_or_print_faults(ctl, argv[2], &to);
	if (exit_code)
		return exit_code;
	diff = compare(ctl, &from, &to);
	if (!diff)
		return ctl_fail(ctl, "diff takes two tables or two host lists");
	if (ctl->json)
		ctl_print_json(ctl->out, make_report(diff));
	else
		print_diff(ctl, diff);
	return CTL_OK;
}
