/* Attempts of an entry request: the choice of a host, retries and reroutes, and
 * what is learned from signed outcomes. */
#include "cassia/log.h"
#include "entry.h"
#include "stated_leaving.h"
#include "stats.h"
#include "stop.h"

#define HTTP_SERVER_ERROR_MIN 500
/* How often a request is sent on because of the pace of an upstream. When all
 * upstreams of a service are limited, each further host would cost all daemons
 * the same work once more. */
#define PACED_REROUTES_MAX 2

static const call_attempt_ops_t attempt_ops;

/* All child calls of a running request share its budget. Calls without a handle
 * have that of their route, as the platform states a number of attempts for
 * each request. */
static retry_budget_t *request_retry_budget(entry_request_t *request)
{
	if (request->parent && request->daemon->profile->handle.len)
		return &request->parent->budget;
	return &request->own_budget;
}

static cas_id_t current_host(const entry_request_t *request)
{
	return request->tried_hosts[request->tried_host_count - 1];
}

int64_t entry_body_bytes(const entry_request_t *request)
{
	return request->has_body
		       ? http_exchange_content_length(request->exchange)
		       : 0;
}

/* Returns the time in which a response is worth most: until the deadline, or
 * until the objective of the route if that is earlier and has not passed. */
static int64_t time_left_us(const entry_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	const table_route_t *route =
		daemon->table ? table_find_route(daemon->table,
						 request->context.route)
			      : NULL;
	int64_t now_us = cas_clock_now(daemon->clock);
	int64_t left_us = request->context.deadline - now_us;
	int64_t objective_left_us;

	if (!route || !route->objective_ms)
		return left_us;
	objective_left_us = request->started_us - now_us +
			    route->objective_ms * CAS_USEC_PER_MSEC;
	return objective_left_us > 0 && objective_left_us < left_us
		       ? objective_left_us
		       : left_us;
}

/* Returns the query for a host that was not tried; borrows from the request. */
static routing_query_t routing_query_of(const entry_request_t *request)
{
	const attempt_context *context = &request->context;

	return (routing_query_t){
		.service = context->service,
		.route = context->route,
		.customer = context->customer,
		.regions = request->regions,
		.region_count = request->region_count,
		.kind = entry_chain_key(context),
		.body_bytes = entry_body_bytes(request),
		.time_left_us = time_left_us(request),
		.exclude = request->tried_hosts,
		.exclude_count = request->tried_host_count,
	};
}

/* Picks a host that was not tried. Another region is used only when no upstream
 * in this region is left or, for upstreams that report their load, is expected
 * to serve the request, and a daemon that is stopping, or else an ejected
 * upstream, only when no other one is. Returns as routing_pick. */
static int pick_host(entry_request_t *request, routing_choice_t *choice)
{
	routing_t *routing = request->daemon->routing;
	routing_query_t query = routing_query_of(request);
	int error = routing_pick(routing, &query, choice);

	if (!error)
		return 0;
	query.last_resort = true;
	return routing_pick(routing, &query, choice);
}

static bool has_untried_host(entry_request_t *request)
{
	routing_choice_t choice;

	return request->tried_host_count < ENTRY_ATTEMPTS_MAX &&
	       entry_may_reach_other_host(request) &&
	       pick_host(request, &choice) == 0;
}

/* Connections in use are no reason to reject the request at once. */
bool entry_has_allowed_upstream(entry_request_t *request)
{
	routing_choice_t choice;
	int error;

	if (!request->regions)
		return true;
	error = pick_host(request, &choice);
	return !error || error == ROUTING_EBUSY;
}

/* The table or the host list may have changed since the host was chosen. */
static reason_t check_send(void *private)
{
	const entry_request_t *request = private;
	const routing_query_t query = routing_query_of(request);

	switch (routing_check_host(request->daemon->routing, &query,
				   current_host(request))) {
	case 0:
		return REASON_NONE;
	case ROUTING_EEVACUATED:
		return REASON_DRAINING;
	default:
		return REASON_REGION;
	}
}

/* Picks the host that was decided on for a repeat, or one that was tried before
 * if no other one is left. */
static int pick_host_or_repeat(entry_request_t *request,
			       routing_choice_t *choice)
{
	size_t saved_count = request->tried_host_count;
	int error;

	if (request->next_host) {
		choice->host = request->next_host;
		request->next_host = 0;
		return 0;
	}
	error = pick_host(request, choice);

	if (!error || !saved_count)
		return error;
	request->tried_host_count = 0;
	error = pick_host(request, choice);
	request->tried_host_count = saved_count;
	return error;
}

/* Moves the early rejections since the last report into the context. early has
 * room for ATTEMPT_EARLY_MAX entries and is borrowed by the context. */
static void attach_early_rejections(entry_request_t *request,
				    attempt_early *early)
{
	thresholds_early_rejections_t counts[ATTEMPT_EARLY_MAX];
	attempt_context *context = &request->context;
	size_t count = thresholds_take_early_rejections(
		request->daemon->thresholds, entry_chain_key(context), counts,
		ATTEMPT_EARLY_MAX);

	for (size_t i = 0; i < count; i++) {
		early[i].customer = counts[i].customer;
		early[i].importance = (u_int)counts[i].importance;
		early[i].count = counts[i].count > UINT32_MAX
					 ? UINT32_MAX
					 : (u_int)counts[i].count;
	}
	context->early.early_len = (u_int)count;
	context->early.early_val = early;
}

/* Starts an attempt on a host with its share of the retry budget. */
static call_attempt_t *start_on_host(entry_request_t *request, cas_id_t host)
{
	http_exchange_t *exchange = request->exchange;
	attempt_early early[ATTEMPT_EARLY_MAX];
	const call_attempt_spec_t spec = {
		.context = &request->context,
		.host = host,
		.method = http_exchange_method(exchange),
		.target = http_exchange_target(exchange),
		.headers = request->headers,
		.body = request->has_body ? http_exchange_body(exchange) : NULL,
		.content_length = http_exchange_content_length(exchange),
	};
	call_attempt_t *attempt;

	request->granted_retries =
		retry_budget_split(request_retry_budget(request));
	request->context.budget = (u_int)request->granted_retries;
	attach_early_rejections(request, early);
	attempt = call_attempt_start(request->daemon, &spec, &attempt_ops,
				     request);
	request->context.early.early_len = 0;
	request->context.early.early_val = NULL;
	return attempt;
}

void entry_start_attempt(entry_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	routing_choice_t choice;

	if (cas_clock_now(daemon->clock) >= request->context.deadline) {
		entry_refuse(request, REASON_DEADLINE, 0);
		return;
	}
	if (!request->parent && !stop_has_time(daemon, &request->context, 0)) {
		entry_refuse(request, REASON_DRAINING, ENTRY_STOPPING_RETRY_US);
		return;
	}
	stop_limit_deadline(daemon, &request->context);
	if (pick_host_or_repeat(request, &choice)) {
		entry_refuse(request, REASON_NO_UPSTREAM,
			     ENTRY_NO_UPSTREAM_RETRY_US);
		return;
	}
	if (!request->tried_host_count) {
		retry_throttle_count_first(daemon->throttle,
					   request->context.service);
		entry_count_call(request);
	}
	request->tried_hosts[request->tried_host_count++] = choice.host;
	request->instance = stated_leaving_instance_on(daemon, choice.host);
	request->attempt_started_us = cas_clock_now(daemon->clock);
	routing_begin_body(daemon->routing, choice.host,
			   entry_body_bytes(request));
	request->attempt = start_on_host(request, choice.host);
	if (!request->attempt) {
		const routing_result_t result = {
			.outcome = ROUTING_CANCELLED,
			.busy_permille = -1,
			.body_bytes = entry_body_bytes(request),
		};

		routing_finish(daemon->routing, choice.host, &result);
		entry_refuse(request, REASON_OVERLOADED, CAS_USEC_PER_SEC);
	}
}

/* Learns the admitted fraction from a signed outcome and takes back the retry
 * units that were not spent. */
static void apply_report(entry_request_t *request,
			 const attempt_outcome *report)
{
	const attempt_context *context = &request->context;
	double fraction = (double)report->fraction / ATTEMPT_FRACTION_SCALE;

	thresholds_learn(request->daemon->thresholds, entry_chain_key(context),
			 (int32_t)context->importance, context->customer,
			 fraction);
	if (request->parent && fraction < request->parent->fraction)
		request->parent->fraction = fraction;
	entry_learn_tree_share(request, report);
	retry_budget_return(request_retry_budget(request),
			    request->granted_retries, (int32_t)report->unspent);
	request->granted_retries = 0;
}

/* Limits a number of a report to the type that it is kept in. */
static int32_t int32_of(u_int number)
{
	return number < INT32_MAX ? (int32_t)number : INT32_MAX;
}

/* Returns the load in an outcome (may be NULL). */
static routing_load_t routing_load_of(const attempt_outcome *report)
{
	const attempt_load *load;

	if (!report || !report->load.known)
		return (routing_load_t){ .known = false };
	load = &report->load.attempt_load_option_u.load;
	return (routing_load_t){
		.known = true,
		.paced = load->paced,
		.slowdown = int32_of(load->slowdown),
		.room = int32_of(load->room),
		.wait_us = load->wait_us,
		.own_us = load->own_us,
		.turned_away_permille = int32_of(load->turned_away),
		.processor_permille = int32_of(load->processor),
	};
}

static void report_routing_result(entry_request_t *request,
				  routing_outcome_t outcome,
				  const attempt_outcome *report)
{
	cassiad_t *daemon = request->daemon;
	const routing_load_t load = routing_load_of(report);
	const routing_result_t result = {
		.outcome = outcome,
		.latency_us = cas_clock_now(daemon->clock) -
			      request->attempt_started_us,
		.limit_hint = report ? (int32_t)report->limit : 0,
		.busy_permille = report ? report->busy : -1,
		.kind = entry_chain_key(&request->context),
		.body_bytes = entry_body_bytes(request),
		.load = load,
	};

	if (load.slowdown)
		daemon->slowdown_seen_us = cas_clock_now(daemon->clock);

	routing_finish(daemon->routing, current_host(request), &result);
}

/* Returns true when another attempt is to be started; it then has consumed a
 * retry unit, and the body is at its start. */
static bool decide_retry(entry_request_t *request, retry_outcome_t outcome)
{
	cassiad_t *daemon = request->daemon;
	const retry_query_t query = {
		.service = request->context.service,
		.outcome = outcome,
		.idempotent = request->context.idempotent,
		.other_host = has_untried_host(request),
		.response_started = request->answered,
		.deadline_us = request->context.deadline,
	};
	http_body_t *body = http_exchange_body(request->exchange);
	int64_t now = cas_clock_now(daemon->clock);

	if (request->tried_host_count == ENTRY_ATTEMPTS_MAX ||
	    !stop_has_time(daemon, &request->context,
			   now - request->attempt_started_us) ||
	    (request->has_body && !http_body_rewind(body)))
		return false;
	if (daemon_hosts_are_shared(daemon) &&
	    (!entry_may_reach_other_host(request) ||
	     !retry_plan_has_room(daemon->retry_plan, query.service)))
		return false;
	if (retry_decide(&query, request_retry_budget(request),
			 daemon->throttle, now) != RETRY_ALLOWED)
		return false;
	request->context.repeat = 1;
	entry_count_call(request);
	return true;
}

/* Logs an attempt that did not serve its request, with the values that led to
 * its outcome. */
static void log_attempt(entry_request_t *request,
			const call_attempt_result_t *result)
{
	cassiad_t *daemon = request->daemon;
	const roster_host_t *host =
		daemon->roster
			? roster_find(daemon->roster, current_host(request))
			: NULL;

	if (result->outcome == ATTEMPT_SERVED || !stats_allow_log_line(daemon))
		return;
	cas_log(CAS_LOG_INFO, "attempt", CAS_LOG_CSTR("id", request->id_text),
		CAS_LOG_STR("host", host ? host->name : CAS_STR("-")),
		CAS_LOG_INT("number", (int64_t)request->tried_host_count),
		CAS_LOG_CSTR("outcome", stats_outcome_name(result->outcome)),
		CAS_LOG_CSTR("reason", reason_name(result->reason)),
		CAS_LOG_INT("reported", result->has_report),
		CAS_LOG_INT("resent", result->resent),
		CAS_LOG_INT("error", result->error),
		CAS_LOG_INT("latency_us", cas_clock_now(daemon->clock) -
						  request->attempt_started_us),
		CAS_LOG_INT("hosts_revision",
			    daemon->roster ? daemon->roster->revision : 0));
}

/* Drops a response with a server error and retries the request if that is
 * allowed. Returns false if the response is to be passed on. */
static bool retry_error_response(entry_request_t *request,
				 const http_reply_t *reply)
{
	const call_attempt_result_t dropped = {
		.outcome = ATTEMPT_UNKNOWN,
		.reason = REASON_UPSTREAM_FAILED,
		.has_report = true,
	};

	if (reply->status < HTTP_SERVER_ERROR_MIN ||
	    !request->context.idempotent ||
	    !decide_retry(request, RETRY_OUTCOME_FAILED))
		return false;
	log_attempt(request, &dropped);
	entry_record_arrival(request, current_host(request), &dropped);
	call_attempt_cancel(request->attempt);
	request->attempt = NULL;
	request->may_have_run = true;
	report_routing_result(request, ROUTING_ERROR, NULL);
	entry_start_attempt(request);
	return true;
}

static void on_head(void *private, const http_reply_t *reply,
		    const attempt_outcome *report)
{
	entry_request_t *request = private;

	apply_report(request, report);
	if (stated_leaving_is_in(request->daemon, reply->headers))
		stated_leaving_note(request->daemon, request->instance,
				    current_host(request));
	if (retry_error_response(request, reply))
		return;
	request->answered = true;
	request->outcome = ATTEMPT_SERVED;
	request->status = reply->status;
	entry_reply_served(request, reply);
}

static routing_outcome_t routing_outcome_of(const entry_request_t *request,
					    const call_attempt_result_t *result)
{
	if (result->outcome == ATTEMPT_SERVED)
		return request->status >= HTTP_SERVER_ERROR_MIN ? ROUTING_ERROR
								: ROUTING_OK;
	if (result->connect_failed)
		return cas_clock_now(request->daemon->clock) -
					       request->attempt_started_us <
				       CALL_ATTEMPT_CONNECT_TIMEOUT_US
			       ? ROUTING_REFUSED
			       : ROUTING_UNREACHABLE;
	switch (result->reason) {
	case REASON_DEADLINE:
		return result->outcome == ATTEMPT_NOT_RUN ? ROUTING_SHED
							  : ROUTING_EXPIRED;
	case REASON_DRAINING:
		return ROUTING_REFUSED;
	case REASON_SHED:
	case REASON_STARTING:
	case REASON_OVERLOADED:
	case REASON_REGION: /* the daemon there has another table */
	case REASON_WARMING_UP:
	case REASON_UPSTREAM_RATE:
	case REASON_ISOLATED:
	case REASON_QUARANTINED:
		return ROUTING_SHED;
	case REASON_UPSTREAM_CRASHED:
		return ROUTING_DOWN;
	case REASON_NO_UPSTREAM:
		return result->has_report ? ROUTING_DOWN : ROUTING_FAILED;
	case REASON_REJECTED:
		return ROUTING_ERROR;
	default:
		return ROUTING_FAILED;
	}
}

/* Returns whether an upstream was not given a request because of its pace, or
 * because it runs one that needs care. */
static bool is_paced(reason_t reason)
{
	return reason == REASON_WARMING_UP || reason == REASON_UPSTREAM_RATE ||
	       reason == REASON_ISOLATED;
}

static retry_outcome_t retry_outcome_of(const call_attempt_result_t *result)
{
	if (result->outcome == ATTEMPT_UNKNOWN)
		return RETRY_OUTCOME_UNKNOWN;
	return result->reason == REASON_SHED || is_paced(result->reason)
		       ? RETRY_OUTCOME_SHED
		       : RETRY_OUTCOME_NOT_RUN;
}

/* Returns whether a request that an upstream's daemon has not taken for this
 * reason goes to another host. */
static bool reroutes_after(entry_request_t *request, reason_t reason)
{
	switch (reason) {
	case REASON_DRAINING:
	case REASON_STARTING:
	case REASON_REGION:
	case REASON_NO_UPSTREAM:
		return true;
	case REASON_WARMING_UP:
	case REASON_UPSTREAM_RATE:
	case REASON_ISOLATED:
		return request->paced_reroutes++ < PACED_REROUTES_MAX;
	default:
		return false;
	}
}

/* Decides whether to send a request to another host without a retry unit. It
 * has reached no upstream, because its daemon is stopping or starting or cannot
 * be reached, or must not run it, or because of the upstream's pace, so another
 * attempt adds no load to the service. No host is tried twice. */
static bool try_reroute(entry_request_t *request,
			const call_attempt_result_t *result)
{
	http_body_t *body = http_exchange_body(request->exchange);

	if (result->outcome != ATTEMPT_NOT_RUN ||
	    !reroutes_after(request, result->reason))
		return false;
	return has_untried_host(request) &&
	       (!request->has_body || http_body_rewind(body));
}

/* Decides whether to send a request once more. */
static bool decide_repeat(entry_request_t *request,
			  const call_attempt_result_t *result)
{
	const routing_query_t query = routing_query_of(request);

	if (daemon_hosts_are_shared(request->daemon) &&
	    result->outcome == ATTEMPT_NOT_RUN &&
	    result->reason == REASON_REJECTED)
		return entry_plan_repeat(request, &query);
	return decide_retry(request, retry_outcome_of(result));
}

/* Returns when the caller may try again, 0: no estimate. */
static int64_t retry_after_us(const call_attempt_result_t *result)
{
	if (result->reason == REASON_REGION && !result->retry_after_ms)
		return ENTRY_NO_UPSTREAM_RETRY_US;
	return result->retry_after_ms * CAS_USEC_PER_MSEC;
}

static void on_done(void *private, const call_attempt_result_t *result)
{
	entry_request_t *request = private;
	const attempt_outcome *report =
		result->has_report ? &result->report : NULL;

	request->attempt = NULL;
	log_attempt(request, result);
	report_routing_result(request, routing_outcome_of(request, result),
			      report);
	routing_count_bytes(request->daemon->routing, current_host(request),
			    (uint64_t)result->bytes_sent,
			    (uint64_t)result->bytes_received);
	entry_record_arrival(request, current_host(request), result);
	if (request->answered) {
		if (result->outcome != ATTEMPT_SERVED) {
			request->outcome = ATTEMPT_UNKNOWN;
			request->reason = result->reason;
		}
		return;
	}
	if (report)
		apply_report(request, report);
	if (result->outcome == ATTEMPT_UNKNOWN)
		request->may_have_run = true;
	if (result->reason != REASON_QUARANTINED &&
	    (try_reroute(request, result) || decide_repeat(request, result)))
		entry_start_attempt(request);
	else
		entry_refuse(request, result->reason, retry_after_us(result));
}

static const call_attempt_ops_t attempt_ops = {
	.head = on_head,
	.done = on_done,
	.check_send = check_send,
};
