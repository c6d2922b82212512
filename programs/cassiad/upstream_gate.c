/* Conditions for sending a request to the upstream of this host. */
#include "upstream_gate.h"

/* Returns the region of this host in the table in force; 0: unknown. */
static cas_id_t own_region(const cassiad_t *daemon)
{
	const table_data_centre_t *data_centre = table_find_data_centre(
		daemon->table, daemon_data_centre(daemon));

	return data_centre ? data_centre->region_id : 0;
}

/* The sender has checked its own table, so nothing is known to forbid the
 * request while this daemon has none. */
static bool is_region_allowed(const cassiad_t *daemon,
			      const attempt_context *context)
{
	return !daemon->limits_regions ||
	       table_allows_region(daemon->table, context->route,
				   context->customer, own_region(daemon));
}

static reason_t check_quarantine(const cassiad_t *daemon,
				 const upstream_gate_query_t *query)
{
	switch (quarantine_check(daemon->quarantine, query->digest)) {
	case QUARANTINE_BLOCKED:
		return REASON_QUARANTINED;
	case QUARANTINE_SUSPECT:
		return daemon->isolated_request && daemon->isolated_request !=
							   query->request
			       ? REASON_ISOLATED
			       : REASON_NONE;
	default:
		return REASON_NONE;
	}
}

reason_t upstream_gate_check(const cassiad_t *daemon,
			     const upstream_gate_query_t *query)
{
	const attempt_context *context = query->context;

	if (cas_clock_now(daemon->clock) >= context->deadline)
		return REASON_DEADLINE;
	if (!drain_accepts_upstream_work(daemon->drain))
		return REASON_DRAINING;
	if (!is_region_allowed(daemon, context))
		return REASON_REGION;
	return check_quarantine(daemon, query);
}
