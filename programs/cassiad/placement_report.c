/* Explains where a request would go now: runs the same choice as for a request,
 * without its side effects. */
#include "placement_report.h"

#include "entry.h"

static const char *tier_name(routing_tier_t tier)
{
	static const char *const names[ROUTING_TIERS] = {
		[ROUTING_OWN_HOST] = "own-host",
		[ROUTING_OWN_DC] = "own-data-centre",
		[ROUTING_OWN_REGION] = "own-region",
		[ROUTING_OTHER_REGION] = "other-region",
	};

	return names[tier];
}

static const char *error_name(int error)
{
	switch (error) {
	case 0:
		return "none";
	case ROUTING_ESERVICE:
		return "no-upstream-listed";
	case ROUTING_EBUSY:
		return "connections-in-use";
	default:
		return "no-usable-upstream";
	}
}

static json_t *host_name(const cassiad_t *daemon, cas_id_t host)
{
	const roster_host_t *row =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;

	return row ? json_stringn(row->name.ptr, row->name.len)
		   : json_string("-");
}

static json_t *describe_candidate(const cassiad_t *daemon,
				  const routing_candidate_t *candidate)
{
	return json_pack(
		"{s:o, s:s, s:b, s:b, s:i, s:I, s:f, s:I, s:I, s:I, s:I, s:I, "
		"s:I}",
		"host", host_name(daemon, candidate->host), "tier",
		tier_name(candidate->tier), "usable", candidate->fit, "allowed",
		candidate->allowed, "outstanding", candidate->outstanding,
		"report_age_us",
		(json_int_t)(candidate->reported ? candidate->report_age_us
						 : -1),
		"room", candidate->room, "network_us",
		(json_int_t)candidate->network_us, "wait_us",
		(json_int_t)candidate->wait_us, "own_us",
		(json_int_t)candidate->own_us, "children_us",
		(json_int_t)candidate->children_us, "response_us",
		(json_int_t)candidate->response_us, "cost_us",
		(json_int_t)candidate->cost_us);
}

static json_t *describe_choice(const cassiad_t *daemon,
			       const routing_explanation_t *explanation)
{
	json_t *candidates = json_array();

	for (size_t i = 0; i < explanation->count; i++)
		json_array_append_new(
			candidates,
			describe_candidate(daemon,
					   &explanation->candidates[i]));
	return json_pack(
		"{s:s, s:o, s:s, s:s, s:I, s:f, s:b, s:o}", "problem",
		error_name(explanation->error), "choice",
		explanation->error
			? json_null()
			: host_name(daemon, explanation->choice.host),
		"tier",
		explanation->error ? "-" : tier_name(explanation->choice.tier),
		"chosen_by",
		explanation->by_load ? "expected-completion" : "tier",
		"load_age_us", (json_int_t)explanation->load_age_us,
		"turned_away", explanation->turned_away, "spilled",
		explanation->spilled, "candidates", candidates);
}

/* The context that an entry request of the question would have, as far as the
 * choice depends on it. */
static attempt_context context_of(const cassiad_t *daemon,
				  const table_route_t *route,
				  const table_customer_t *customer)
{
	return (attempt_context){
		.route = route->id,
		.service = route->service_id,
		.customer = customer ? customer->id : 0,
		.importance =
			(u_int)table_importance(daemon->table, route, customer),
		.depth = daemon->profile->open_routes_take_child_calls &&
			 route->open,
	};
}

json_t *placement_report_create(cassiad_t *daemon,
				const placement_question_t *question)
{
	const table_route_t *route =
		daemon->table
			? table_match_route(daemon->table, question->host,
					    question->method, question->path)
			: NULL;
	const table_customer_t *customer;
	routing_explanation_t *explanation;
	routing_query_t query;
	attempt_context context;
	cas_id_t key;
	json_t *report;

	if (!route)
		return NULL;
	customer = table_find_customer(daemon->table,
				       cas_id_of(question->customer));
	context = context_of(daemon, route, customer);
	key = entry_chain_key(&context);
	query = (routing_query_t){
		.service = context.service,
		.route = context.route,
		.customer = context.customer,
		.kind = key,
		.body_bytes = question->body_bytes,
		.time_left_us = (route->objective_ms ? route->objective_ms
						     : route->timeout_ms) *
				CAS_USEC_PER_MSEC,
	};
	/* The seed makes equal questions equal while nothing changes. */
	explanation =
		routing_explain(daemon, daemon->routing, &query, (uint32_t)key);
	if (!explanation)
		return NULL;
	report = describe_choice(daemon, explanation);
	json_object_set_new(report, "route",
			    json_stringn(route->name.ptr, route->name.len));
	json_object_set_new(
		report, "service",
		json_stringn(route->service.ptr, route->service.len));
	json_object_set_new(report, "importance",
			    json_integer(context.importance));
	json_object_set_new(
		report, "admitted_fraction",
		json_real(thresholds_fraction(daemon->thresholds, key,
					      (int32_t)context.importance,
					      context.customer)));
	json_object_set_new(
		report, "completable_share",
		json_real(tree_shares_get(daemon->tree_shares, key,
					  (int32_t)context.importance)));
	talloc_free(explanation);
	return report;
}
