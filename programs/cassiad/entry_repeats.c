/* Repeats of requests that an upstream has rejected as not run: what the plan of
 * retries counts, and which repeats it allows. */
#include "cassia/log.h"
#include "entry.h"
#include "stop.h"

#define MICRO_PER_UNIT 1e6
#define PERMILLE 1000
/* A share of 0 means that none is known. */
#define TREE_SHARE_MIN 1e-6

static retry_call_t retry_call_of(const entry_request_t *request)
{
	const attempt_context *context = &request->context;

	return (retry_call_t){
		.service = context->service,
		.importance = (int32_t)context->importance,
		.draw = context->draw,
		.repeat = context->repeat,
	};
}

void entry_count_call(const entry_request_t *request)
{
	const retry_call_t call = retry_call_of(request);

	retry_plan_count_call(request->daemon->retry_plan, &call);
}

/* The shares are kept for all customers together: a daemon sees too few
 * requests of one customer to follow them. */
bool entry_may_be_completed(const entry_request_t *request)
{
	const attempt_context *context = &request->context;
	const retry_call_t call = retry_call_of(request);
	const cassiad_t *daemon = request->daemon;

	return !daemon_hosts_are_shared(daemon) ||
	       (retry_plan_includes(daemon->retry_plan, &call) &&
		tree_shares_include(
			daemon->tree_shares, entry_chain_key(context),
			(int32_t)context->importance, context->draw));
}

/* Remembers a host whose upstream the request has reached. */
static void add_arrived_host(entry_request_t *request, cas_id_t host)
{
	for (size_t i = 0; i < request->arrived_host_count; i++)
		if (request->arrived_hosts[i] == host)
			return;
	if (request->arrived_host_count < ENTRY_ATTEMPTS_MAX)
		request->arrived_hosts[request->arrived_host_count++] = host;
}

bool entry_may_reach_other_host(const entry_request_t *request)
{
	return !daemon_hosts_are_shared(request->daemon) ||
	       request->arrived_host_count < request->hosts_max;
}

/* Takes over the share of trees that a child call has reported. With the
 * responses it travels up to the root. */
static void limit_parent(attempt_live_entry_t *parent, double share)
{
	if (!parent->tree_share || share < parent->tree_share)
		parent->tree_share =
			share > TREE_SHARE_MIN ? share : TREE_SHARE_MIN;
}

/* Limits the parent by the plan for the service that was called. */
static void limit_parent_by_plan(entry_request_t *request)
{
	const attempt_context *context = &request->context;

	if (request->parent && daemon_hosts_are_shared(request->daemon))
		limit_parent(request->parent,
			     retry_plan_share(request->daemon->retry_plan,
					      context->service,
					      (int32_t)context->importance));
}

void entry_learn_tree_share(entry_request_t *request,
			    const attempt_outcome *report)
{
	const attempt_context *context = &request->context;
	u_int millionths =
		report->load.known
			? report->load.attempt_load_option_u.load.tree_share
			: 0;
	double share = (double)millionths / ATTEMPT_FRACTION_SCALE;

	if (!millionths || millionths > ATTEMPT_FRACTION_SCALE)
		return;
	tree_shares_learn(request->daemon->tree_shares,
			  entry_chain_key(context),
			  (int32_t)context->importance, share);
	if (request->parent)
		limit_parent(request->parent, share);
}

void entry_record_arrival(entry_request_t *request, cas_id_t host,
			  const call_attempt_result_t *result)
{
	const retry_call_t call = retry_call_of(request);
	bool rejected = result->outcome == ATTEMPT_NOT_RUN;

	/* An upstream without a free slot refuses as its daemon does, so the
	 * request may have reached it. */
	if (!rejected || result->reason == REASON_REJECTED ||
	    result->reason == REASON_SHED)
		add_arrived_host(request, host);
	if (rejected && result->reason != REASON_REJECTED)
		return;
	retry_plan_record_arrival(request->daemon->retry_plan, &call, rejected);
	limit_parent_by_plan(request);
}

/* Returns whether another attempt can end in time, if it takes as long as the
 * last one. */
static bool has_time(const entry_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	int64_t now_us = cas_clock_now(daemon->clock);
	int64_t expected_us = now_us - request->attempt_started_us;

	return now_us + expected_us < request->context.deadline &&
	       stop_has_time(daemon, &request->context, expected_us);
}

/* Picks another upstream, or the same one once as many as the route allows have
 * been reached: the upstream rejects at random, so a repeat there may succeed.
 * Returns 0 or a negative error of routing. */
static int pick_repeat_host(entry_request_t *request,
			    const routing_query_t *query, cas_id_t *host)
{
	const routing_t *routing = request->daemon->routing;
	routing_choice_t choice;

	*host = request->tried_hosts[request->tried_host_count - 1];
	if (entry_may_reach_other_host(request) &&
	    !routing_pick(request->daemon->routing, query, &choice))
		*host = choice.host;
	return routing_may_use(routing, query, *host) ? 0 : ROUTING_ENONE;
}

bool entry_plan_repeat(entry_request_t *request, const routing_query_t *query)
{
	const retry_call_t call = retry_call_of(request);
	http_body_t *body = http_exchange_body(request->exchange);
	cas_id_t host;

	if (request->tried_host_count == ENTRY_ATTEMPTS_MAX ||
	    !has_time(request) ||
	    (request->has_body && !http_body_rewind(body)) ||
	    pick_repeat_host(request, query, &host) ||
	    !retry_plan_allow_repeat(request->daemon->retry_plan, &call))
		return false;
	request->context.repeat = 1;
	request->next_host = host;
	return true;
}

static void on_plan_changed(void *private, const retry_plan_state_t *state,
			    bool limited)
{
	cassiad_t *daemon = private;
	const table_service_t *service =
		daemon->table
			? table_find_service(daemon->table, state->service)
			: NULL;

	/* Otherwise nothing follows from the plan. */
	if (!daemon_hosts_are_shared(daemon))
		return;
	cas_log(CAS_LOG_INFO, limited ? "retries_short" : "retries_suffice",
		CAS_LOG_STR("service", service ? service->name : CAS_STR("-")),
		CAS_LOG_INT("rejected_permille",
			    (int64_t)(state->rejected_share * PERMILLE)),
		CAS_LOG_INT("lowest_share_permille",
			    (int64_t)(state->lowest_share * PERMILLE)),
		CAS_LOG_INT("repeats_max", (int64_t)state->repeats_max));
}

retry_plan_t *entry_create_retry_plan(cassiad_t *daemon)
{
	const retry_plan_ops_t ops = { .changed = on_plan_changed };

	return retry_plan_create(daemon, daemon->clock,
				 (double)daemon->settings->repeat_ratio_micro /
					 MICRO_PER_UNIT,
				 &ops, daemon);
}
