/* Follows evacuations of data centres: log lines, metrics, and whether the
 * upstream of this host is held closed. Routing reads the host list itself. */
#include "cassia/log.h"
#include "daemon.h"

/* The counter is made with the first change, so that it exists only where data
 * centres are evacuated. */
static void report(cassiad_t *daemon, const char *event, const char *metric,
		   cas_str_t data_centre)
{
	char *labels = talloc_asprintf(daemon, "data_centre=\"%.*s\"",
				       CAS_STR_ARG(data_centre));

	if (labels)
		cas_metrics_increment(daemon->metrics, metric, labels);
	talloc_free(labels);
	cas_log(CAS_LOG_INFO, event, CAS_LOG_STR("data_centre", data_centre),
		CAS_LOG_INT("hosts_revision", daemon->roster->revision),
		CAS_LOG_INT("source_reachable",
			    daemon->source &&
				    source_is_reachable(daemon->source)));
}

static void report_changes(cassiad_t *daemon, const roster_t *previous)
{
	static const name_list_t none = { 0 };
	const name_list_t *before = previous ? &previous->evacuated : &none;
	const name_list_t *now = &daemon->roster->evacuated;

	for (size_t i = 0; i < now->count; i++)
		if (!name_list_has(before, now->ids[i]))
			report(daemon, "evacuation_begins",
			       "cassia_evacuations_begun_total", now->names[i]);
	for (size_t i = 0; i < before->count; i++)
		if (!name_list_has(now, before->ids[i]))
			report(daemon, "evacuation_ends",
			       "cassia_evacuations_ended_total",
			       before->names[i]);
}

void evacuation_follow(cassiad_t *daemon, const roster_t *previous)
{
	report_changes(daemon, previous);
	drain_hold_upstream(daemon->drain,
			    roster_is_evacuated(daemon->roster,
						daemon_data_centre(daemon)));
}
