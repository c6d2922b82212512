/* cassiactl check: reports every fault of a document with its position. */
#include "ctl_internal.h"

#define MICRO_PER_TOKEN 1000000

static const ctl_usage_t usage = {
	"check FILE...",
	"Checks settings, tables and host lists as a daemon does. Prints "
	"file:line:column: row: reason for each fault.",
	1,
	1000,
};

/* Warns of customers with less than one token of burst in a data centre. This
 * is no fault, because holders lend tokens, but it makes requests slow. */
static void warn_of_small_bursts(ctl_t *ctl, const char *path,
				 const table_t *table)
{
	int32_t min_share_permille = TABLE_SHARE_TOTAL;

	for (size_t i = 0; i < table->data_centre_count; i++)
		if (table->data_centres[i].share_permille &&
		    table->data_centres[i].share_permille < min_share_permille)
			min_share_permille =
				table->data_centres[i].share_permille;
	for (size_t i = 0; i < table->customer_count; i++) {
		const table_customer_t *customer = &table->customers[i];
		double burst = (double)customer->burst_micro *
			       min_share_permille / TABLE_SHARE_TOTAL /
			       MICRO_PER_TOKEN;

		if (burst < 1)
			fprintf(ctl->err,
				"%s: warning: customer \"%.*s\": the smallest "
				"data centre's part of the burst is %.3g "
				"tokens, so each request there needs borrowed "
				"tokens\n",
				path, CAS_STR_ARG(customer->name), burst);
	}
}

static void print_summary(ctl_t *ctl, const char *path,
			  const config_parsed_t *parsed)
{
	const table_t *table = parsed->table;
	const roster_t *hosts = table ? table->hosts : parsed->roster;

	fprintf(ctl->out, "%s: good %s", path, config_kind_name(parsed->kind));
	if (table)
		fprintf(ctl->out,
			", revision %lld, %zu data centres, %zu services, "
			"%zu routes, %zu customers, %zu keys",
			(long long)table->revision, table->data_centre_count,
			table->service_count, table->route_count,
			table->customer_count, table->key_count);
	if (hosts)
		fprintf(ctl->out, ", host list revision %lld, %zu hosts",
			(long long)hosts->revision, hosts->host_count);
	fputc('\n', ctl->out);
}

static json_t *make_report(const char *path, const config_parsed_t *parsed,
			   const config_faults_t *faults)
{
	json_t *fault_list = json_array();

	for (size_t i = 0; i < faults->count; i++) {
		const config_fault_t *fault = &faults->items[i];

		json_array_append_new(
			fault_list,
			json_pack("{s:i, s:i, s:o, s:o, s:o}", "line",
				  (int)fault->line, "column",
				  (int)fault->column, "row",
				  ctl_json_string(fault->row), "key",
				  ctl_json_string(fault->key), "reason",
				  ctl_json_string(fault->reason)));
	}
	return json_pack("{s:s, s:s, s:o, s:I}", "file", path, "kind",
			 config_kind_name(parsed->kind), "faults", fault_list,
			 "left_out", (json_int_t)faults->omitted);
}

static int check_file(ctl_t *ctl, const char *path, json_t *reports)
{
	config_parsed_t parsed = { 0 };
	config_faults_t *faults;
	int exit_code = ctl_read_document(ctl, path, &parsed, &faults);

	if (exit_code == CTL_FAILED)
		return exit_code;
	if (ctl->json)
		json_array_append_new(reports,
				      make_report(path, &parsed, faults));
	else if (exit_code)
		ctl_print_faults(ctl->out, ctl->ctx, path, faults);
	else
		print_summary(ctl, path, &parsed);
	if (parsed.table)
		warn_of_small_bursts(ctl, path, parsed.table);
	return exit_code;
}

int ctl_check(ctl_t *ctl, int argc, char **argv)
{
	json_t *reports = json_array();
	int max_exit_code = CTL_OK;

	if (!ctl_parse_options(ctl, &usage, NULL, &argc, &argv)) {
		json_decref(reports);
		return ctl->exit_code;
	}
	for (int i = 1; i < argc; i++) {
		int exit_code = check_file(ctl, argv[i], reports);

		max_exit_code =
			exit_code > max_exit_code ? exit_code : max_exit_code;
	}
	if (ctl->json)
		ctl_print_json(ctl->out, reports);
	else
		json_decref(reports);
	return max_exit_code;
}
