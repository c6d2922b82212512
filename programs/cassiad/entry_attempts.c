/* Attempts of a request: the choice of an upstream, retries, the answer. */
#include "cassia/log.h"
#include "entry.h"
#include "stats.h"

/* Statuses from here on are server errors. */
#define HTTP_SERVER_ERROR 500

static const leg_ops_t attempt_ops;

static retry_budget_t *budget_of(entry_request_t *request)
{
	if (request->parent)
		return &request->parent->budget;
	return &request->own_budget;
}

static cas_id_t current_host(const entry_request_t *request)
{
	return request->tried[request->tried_count - 1];
}

/* Another region is used only when no nearer upstream is left. */
static int pick(entry_request_t *request, routing_choice_t *choice)
{
	routing_t *routing = request->daemon->routing;
	cas_id_t service = request->context.service;
	int error = routing_pick(routing, service, request->tried,
				 request->tried_count, false, choice);

	if (!error)
		return 0;
	return routing_pick(routing, service, request->tried,
			    request->tried_count, true, choice);
}

static bool has_other_host(entry_request_t *request)
{
	routing_choice_t choice;

	return request->tried_count < ENTRY_ATTEMPTS_MAX &&
	       pick(request, &choice) == 0;
}

/* Without another host the only one is tried again. */
static int pick_again(entry_request_t *request, routing_choice_t *choice)
{
	size_t tried_count = request->tried_count;
	int error = pick(request, choice);

	if (!error || !tried_count)
		return error;
	request->tried_count = 0;
	error = pick(request, choice);
	request->tried_count = tried_count;
	return error;
}

static void report_early(entry_request_t *request, attempt_early *early)
{
	thresholds_early_t counts[ATTEMPT_EARLY_MAX];
	attempt_context *context = &request->context;
	size_t count = thresholds_take_early(request->daemon->thresholds,
					     entry_chain_key(context), counts,
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

static leg_t *start_leg(entry_request_t *request, cas_id_t host)
{
	http_exchange_t *exchange = request->exchange;
	attempt_early early[ATTEMPT_EARLY_MAX];
	const leg_spec_t spec = {
		.context = &request->context,
		.host = host,
		.method = http_exchange_method(exchange),
		.target = http_exchange_target(exchange),
		.headers = request->headers,
		.body = request->wants_body ? http_exchange_body(exchange)
					    : NULL,
		.content_length = http_exchange_content_length(exchange),
	};
	leg_t *leg;

	request->granted = retry_budget_split(budget_of(request));
	request->context.budget = (u_int)request->granted;
	report_early(request, early);
	leg = leg_start(request->daemon, &spec, &attempt_ops, request);
	request->context.early.early_len = 0;
	request->context.early.early_val = NULL;
	return leg;
}

void entry_attempt(entry_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	routing_choice_t choice;

	if (cas_clock_now(daemon->clock) >= request->context.deadline) {
		entry_refuse(request, REASON_DEADLINE, 0);
		return;
	}
	if (pick_again(request, &choice)) {
		entry_refuse(request, REASON_NO_UPSTREAM, CAS_USEC_PER_SEC);
		return;
	}
	if (!request->tried_count)
		retry_brake_first(daemon->brake, request->context.service);
	request->tried[request->tried_count++] = choice.host;
	request->leg_started_us = cas_clock_now(daemon->clock);
	routing_begin(daemon->routing, choice.host);
	request->leg = start_leg(request, choice.host);
	if (!request->leg) {
		const routing_result_t result = { .outcome = ROUTING_CANCELLED,
						  .busy_permille = -1 };

		routing_finish(daemon->routing, choice.host, &result);
		entry_refuse(request, REASON_OVERLOADED, CAS_USEC_PER_SEC);
	}
}

static void learn(entry_request_t *request, const attempt_outcome *report)
{
	const attempt_context *context = &request->context;
	double fraction = (double)report->fraction / ATTEMPT_FRACTION_WHOLE;

	thresholds_learn(request->daemon->thresholds, entry_chain_key(context),
			 (int32_t)context->importance, context->customer,
			 fraction);
	if (request->parent && fraction < request->parent->fraction)
		request->parent->fraction = fraction;
	retry_budget_return(budget_of(request), request->granted,
			    (int32_t)report->unspent);
	request->granted = 0;
}

static void finish_routing(entry_request_t *request, routing_outcome_t outcome,
			   const attempt_outcome *report)
{
	cassiad_t *daemon = request->daemon;
	const routing_result_t result = {
		.outcome = outcome,
		.latency_us =
			cas_clock_now(daemon->clock) - request->leg_started_us,
		.limit_hint = report ? (int32_t)report->limit : 0,
		.busy_permille = report ? report->busy : -1,
	};

	routing_finish(daemon->routing, current_host(request), &result);
}

static bool decide_retry(entry_request_t *request, retry_outcome_t outcome)
{
	cassiad_t *daemon = request->daemon;
	const retry_query_t query = {
		.service = request->context.service,
		.outcome = outcome,
		.idempotent = request->context.idempotent,
		.other_host = has_other_host(request),
		.response_started = request->answered,
		.deadline_us = request->context.deadline,
	};
	http_pipe_t *body = http_exchange_body(request->exchange);

	if (request->tried_count == ENTRY_ATTEMPTS_MAX ||
	    (request->wants_body && !http_pipe_rewind(body)))
		return false;
	return retry_decide(&query, budget_of(request), daemon->brake,
			    cas_clock_now(daemon->clock)) == RETRY_GO;
}

/* An answer with a server error is given up for a retry when that is safe. */
static bool retry_failed(entry_request_t *request, const http_reply_t *reply)
{
	if (reply->status < HTTP_SERVER_ERROR || !request->context.idempotent ||
	    !decide_retry(request, RETRY_OUTCOME_FAILED))
		return false;
	leg_cancel(request->leg);
	request->leg = NULL;
	request->maybe_run = true;
	finish_routing(request, ROUTING_ERROR, NULL);
	entry_attempt(request);
	return true;
}

static void on_head(void *private, const http_reply_t *reply,
		    const attempt_outcome *report)
{
	entry_request_t *request = private;

	learn(request, report);
	if (retry_failed(request, reply))
		return;
	request->answered = true;
	request->outcome = ATTEMPT_SERVED;
	request->status = reply->status;
	entry_reply_served(request, reply);
}

static routing_outcome_t routing_outcome_of(const entry_request_t *request,
					    const leg_result_t *result)
{
	if (result->outcome == ATTEMPT_SERVED)
		return request->status >= HTTP_SERVER_ERROR ? ROUTING_ERROR
							    : ROUTING_OK;
	if (result->refused)
		return ROUTING_REFUSED;
	switch (result->reason) {
	case REASON_DEADLINE:
		return result->outcome == ATTEMPT_NOT_RUN ? ROUTING_SHED
							  : ROUTING_EXPIRED;
	case REASON_SHED:
	case REASON_DRAINING:
	case REASON_STARTING:
	case REASON_OVERLOADED:
		return ROUTING_SHED;
	case REASON_REJECTED:
		return ROUTING_ERROR;
	default:
		return ROUTING_FAILED;
	}
}

static retry_outcome_t retry_outcome_of(const leg_result_t *result)
{
	if (result->outcome == ATTEMPT_UNKNOWN)
		return RETRY_OUTCOME_UNKNOWN;
	return result->reason == REASON_SHED ? RETRY_OUTCOME_SHED
					     : RETRY_OUTCOME_NOT_RUN;
}

/* The request has reached no upstream because the host list here is behind or
 * the host is cut off. Sending it elsewhere adds no load to the service. */
static bool may_move(entry_request_t *request, const leg_result_t *result)
{
	http_pipe_t *body = http_exchange_body(request->exchange);

	if (result->outcome != ATTEMPT_NOT_RUN ||
	    (result->reason != REASON_DRAINING &&
	     result->reason != REASON_STARTING &&
	     result->reason != REASON_NO_UPSTREAM))
		return false;
	if (request->moves == ENTRY_MOVES_MAX ||
	    request->tried_count == ENTRY_ATTEMPTS_MAX ||
	    !has_other_host(request))
		return false;
	if (request->wants_body && !http_pipe_rewind(body))
		return false;
	request->moves++;
	return true;
}

/* One line for each attempt that did not serve its request, with what decided
 * it; served requests have no line of their own below level debug. */
static void log_attempt(entry_request_t *request, const leg_result_t *result)
{
	cassiad_t *daemon = request->daemon;
	const roster_host_t *host =
		daemon->roster
			? roster_find(daemon->roster, current_host(request))
			: NULL;

	if (result->outcome == ATTEMPT_SERVED || !stats_may_log(daemon))
		return;
	cas_log(CAS_LOG_INFO, "attempt", CAS_LOG_Z("id", request->id_text),
		CAS_LOG_STR("host", host ? host->name : CAS_STR("-")),
		CAS_LOG_INT("number", (int64_t)request->tried_count),
		CAS_LOG_Z("outcome", stats_outcome_name(result->outcome)),
		CAS_LOG_Z("reason", reason_name(result->reason)),
		CAS_LOG_INT("reported", result->has_report),
		CAS_LOG_INT("resent", result->resent),
		CAS_LOG_INT("error", result->error),
		CAS_LOG_INT("latency_us", cas_clock_now(daemon->clock) -
						  request->leg_started_us),
		CAS_LOG_INT("hosts_revision",
			    daemon->roster ? daemon->roster->revision : 0));
}

static void on_done(void *private, const leg_result_t *result)
{
	entry_request_t *request = private;
	const attempt_outcome *report =
		result->has_report ? &result->report : NULL;

	request->leg = NULL;
	log_attempt(request, result);
	finish_routing(request, routing_outcome_of(request, result), report);
	routing_count_bytes(request->daemon->routing, current_host(request),
			    (uint64_t)result->bytes_sent,
			    (uint64_t)result->bytes_received);
	if (request->answered) {
		if (result->outcome != ATTEMPT_SERVED) {
			request->outcome = ATTEMPT_UNKNOWN;
			request->reason = result->reason;
		}
		return;
	}
	if (report)
		learn(request, report);
	if (result->outcome == ATTEMPT_UNKNOWN)
		request->maybe_run = true;
	if (may_move(request, result) ||
	    decide_retry(request, retry_outcome_of(result)))
		entry_attempt(request);
	else
		entry_refuse(request, result->reason,
			     result->retry_after_ms * CAS_USEC_PER_MSEC);
}

static const leg_ops_t attempt_ops = { .head = on_head, .done = on_done };
