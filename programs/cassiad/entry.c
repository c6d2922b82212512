/*
 * Entry requests from the head to the end of the response: the checks and the
 * token before the first attempt, the body, refusal and cancellation. Attempts
 * are in entry_attempts.c.
 */
#include "entry.h"

#include "cassia/http_error.h"
#include "cassia/return_time.h"
#include "child_calls.h"
#include "processor_use.h"
#include "stats.h"
#include "stop.h"
#include "tick.h"

/* Retry-After of a daemon that has no configuration yet. */
#define STARTING_RETRY_US (300 * CAS_USEC_PER_MSEC)

static void link_request(entry_request_t *request)
{
	cassiad_t *daemon = request->daemon;

	request->next = daemon->requests;
	if (request->next)
		request->next->prev = request;
	daemon->requests = request;
}

static void unlink_request(entry_request_t *request)
{
	if (request->next)
		request->next->prev = request->prev;
	if (request->prev)
		request->prev->next = request->next;
	else
		request->daemon->requests = request->next;
}

static entry_request_t *request_create(cassiad_t *daemon,
				       http_exchange_t *exchange)
{
	entry_request_t *request = talloc_zero(exchange, entry_request_t);

	tick_request_arrived(daemon);
	if (!request)
		return NULL;
	request->daemon = daemon;
	request->exchange = exchange;
	request->started_us = http_exchange_started(exchange);
	attempt_generate_id(request->context.root);
	attempt_format_id(request->context.root, request->id_text);
	request->context.draw = (u_int)(cas_rng_u64(daemon->rng) >> 32);
	http_exchange_set_private(exchange, request);
	link_request(request);
	return request;
}

/* Cancels the token wait and the attempt of a request that was answered or
 * whose caller has gone, and removes it from its parent. */
static void cancel_work(entry_request_t *request)
{
	if (request->token_wait)
		control_cancel_token_wait(request->token_wait);
	request->token_wait = NULL;
	if (request->attempt) {
		const routing_result_t result = {
			.outcome = ROUTING_CANCELLED,
			.busy_permille = -1,
			.body_bytes = entry_body_bytes(request),
		};

		if (call_attempt_cancel(request->attempt))
			request->may_have_run = true;
		request->attempt = NULL;
		routing_finish(
			request->daemon->routing,
			request->tried_hosts[request->tried_host_count - 1],
			&result);
	}
	if (request->parent) {
		child_calls_remove(request->parent, request);
		request->parent = NULL;
	}
}

/* Callers rely on 429 and 503 to mean that the request has not run, and draw no
 * such conclusion from other server errors. */
static int retry_safe_status(const entry_request_t *request)
{
	int status = reason_status(request->reason);

	if (request->may_have_run && (status == 429 || status == 503))
		return 502;
	if (!request->may_have_run && (status == 502 || status == 504))
		return 503;
	return status;
}

static processor_work_t work_of(const entry_request_t *request)
{
	return request->context.depth ? PROCESSOR_CHILD_CALL : PROCESSOR_ENTRY;
}

static bool take_processor_time(entry_request_t *request)
{
	request->has_processor_time = processor_use_admits(
		request->daemon, work_of(request), &request->context);
	return request->has_processor_time;
}

/* Returns whether capacity, and not the state of a daemon, decides when a
 * refused request can be served. */
static bool waits_for_capacity(reason_t reason)
{
	return reason == REASON_SHED || reason == REASON_OVER_RATE ||
	       reason == REASON_DEADLINE || reason == REASON_REJECTED ||
	       reason == REASON_NO_UPSTREAM;
}

/* Returns the time after which to tell the caller of a refused request to
 * return. */
static int64_t return_time(const entry_request_t *request, int64_t expected_us)
{
	const cassiad_t *daemon = request->daemon;
	const attempt_context *context = &request->context;
	int64_t left_us = context->deadline - cas_clock_now(daemon->clock);

	if (!daemon_hosts_are_shared(daemon) ||
	    !waits_for_capacity(request->reason))
		return expected_us;
	if (expected_us <= 0)
		expected_us = return_time_when_shed(thresholds_fraction(
			daemon->thresholds, entry_chain_key(context),
			(int32_t)context->importance, context->customer));
	return return_time_choose(daemon->rng, expected_us, left_us,
				  request->reason == REASON_OVER_RATE);
}

void entry_refuse(entry_request_t *request, reason_t reason,
		  int64_t expected_us)
{
	if (request->answered)
		return;
	request->answered = true;
	if (request->has_processor_time && !request->sending_started)
		processor_use_turned_away(request->daemon, work_of(request),
					  &request->context);
	cancel_work(request);
	request->reason = reason;
	request->status = reason_status(reason);
	request->outcome =
		request->may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	request->status = retry_safe_status(request);
	entry_reply_refusal(request, return_time(request, expected_us));
}

static void read_body(entry_request_t *request)
{
	http_exchange_read_body(request->exchange, request->max_body_bytes);
}

static void on_token_decision(void *private, bool granted,
			      int64_t retry_after_us)
{
	entry_request_t *request = private;

	request->token_wait = NULL;
	if (granted)
		read_body(request);
	else
		entry_refuse(request, REASON_OVER_RATE, retry_after_us);
}

/* A child call is covered by the token of its root request, and a request on an
 * open route has no customer. */
static bool needs_no_token(const entry_request_t *request)
{
	return request->is_child || !request->context.customer;
}

static void take_token(entry_request_t *request)
{
	int64_t retry_after_us = 0;

	if (needs_no_token(request)) {
		read_body(request);
		return;
	}
	switch (control_take_token(request->daemon, request->context.customer,
				   request->context.deadline, on_token_decision,
				   request, &request->token_wait,
				   &retry_after_us)) {
	case CONTROL_GRANTED:
		read_body(request);
		break;
	case CONTROL_WAITING:
		break;
	case CONTROL_REFUSED:
		entry_refuse(request, REASON_OVER_RATE, retry_after_us);
		break;
	}
}

cas_id_t entry_chain_key(const attempt_context *context)
{
	return cas_rendezvous_weight(context->route, context->depth);
}

/* Returns whether a request is a child call where calls carry no handle. Such a
 * call is not shed early, which would waste the work that led to it: its parent
 * may be unknown, and then its draw does not tell whether the other calls of the
 * root request are admitted. The daemon of the upstream decides. */
static bool is_call_without_handle(const entry_request_t *request)
{
	return request->context.depth && !request->daemon->profile->handle.len;
}

/* Compares the draw with the admitted fraction learned from outcomes. A request
 * without a parent may be let through as a probe; a child call is not, because
 * its rejection would waste the work of its parent. */
static bool is_shed_early(entry_request_t *request)
{
	const attempt_context *context = &request->context;
	thresholds_t *thresholds = request->daemon->thresholds;
	cas_id_t key = entry_chain_key(context);

	if (!request->parent && !entry_may_be_completed(request))
		return true;
	if (thresholds_check(thresholds, key, (int32_t)context->importance,
			     context->customer, context->draw))
		return false;
	return request->parent ||
	       !thresholds_probe(thresholds, key, (int32_t)context->importance,
				 context->customer);
}

/* Returns whether a daemon that stops accepts the request. Without a handle, a
 * request for an open route may be a child call of a request that the upstream
 * of this host runs. */
static bool is_accepted(const entry_request_t *request)
{
	const cassiad_t *daemon = request->daemon;

	if (request->parent)
		return drain_accepts_child_call(daemon->drain);
	if (request->context.depth && daemon->upstream_running)
		return stop_accepts_possible_child_call(daemon,
							&request->context);
	return stop_accepts_request(daemon, &request->context);
}

/* Refuses a request whose allowed regions have no upstream, before its body is
 * read and before a token is spent. */
static void refuse_without_upstream(entry_request_t *request)
{
	cas_metrics_increment(request->daemon->metrics,
			      "cassia_no_allowed_upstream_total", "");
	entry_refuse(request, REASON_NO_UPSTREAM, ENTRY_NO_UPSTREAM_RETRY_US);
}

static void on_request(cassiad_t *daemon, http_exchange_t *exchange, bool local)
{
	entry_request_t *request = request_create(daemon, exchange);
	reason_t reason;

	if (!request) {
		http_exchange_abort(exchange);
		return;
	}
	reason = entry_check_head(request, local);
	if (reason != REASON_NONE)
		processor_use_count_refusal(daemon);
	if (reason != REASON_NONE)
		entry_refuse(request, reason,
			     reason == REASON_STARTING ? STARTING_RETRY_US : 0);
	else if (!is_accepted(request))
		entry_refuse(request, REASON_DRAINING, ENTRY_STOPPING_RETRY_US);
	else if (!entry_has_allowed_upstream(request))
		refuse_without_upstream(request);
	else if (!take_processor_time(request))
		entry_refuse(request, REASON_SHED,
			     processor_use_retry_after_us(daemon,
							  &request->context));
	else if (!is_call_without_handle(request) && is_shed_early(request))
		entry_refuse(
			request, REASON_SHED,
			daemon_hosts_are_shared(daemon) ? 0 : CAS_USEC_PER_SEC);
	else if (entry_copy_headers(request) != REASON_NONE)
		entry_refuse(request, REASON_OVERLOADED, 0);
	else
		take_token(request);
}

static void on_front_request(void *private, http_exchange_t *exchange)
{
	on_request(private, exchange, false);
}

static void on_local_request(void *private, http_exchange_t *exchange)
{
	on_request(private, exchange, true);
}

static void on_body(void *private, http_exchange_t *exchange)
{
	entry_request_t *request = http_exchange_private(exchange);
	http_body_t *body = http_exchange_body(exchange);
	int error = http_body_error(body);

	(void)private;
	if (!request || request->answered)
		return;
	if (error == HTTP_ETOOLARGE) {
		entry_refuse(request, REASON_TOO_LARGE, 0);
		return;
	}
	if (error || request->sending_started)
		return;
	if (!http_body_is_closed(body)) {
		http_body_retain(body, ENTRY_BODY_REPLAY_BYTES);
		if (http_body_peek(body).len < ENTRY_BODY_REPLAY_BYTES)
			return;
		http_exchange_set_body_sent(exchange);
	}
	request->sending_started = true;
	entry_start_attempt(request);
}

/* Counts and logs a request that has ended. complete: the whole response was
 * sent to the caller. */
static void record_request(entry_request_t *request, bool complete)
{
	stats_request_t record = {
		.id = request->id_text,
		.customer = request->context.customer,
		.route = request->context.route,
		.outcome = request->outcome,
		.reason = request->reason,
		.status = request->status,
		.latency_us = cas_clock_now(request->daemon->clock) -
			      request->started_us,
	};

	if (!request->answered)
		record.outcome = request->may_have_run ? ATTEMPT_UNKNOWN
						       : ATTEMPT_NOT_RUN;
	else if (!complete && request->outcome == ATTEMPT_SERVED)
		record.outcome = ATTEMPT_UNKNOWN;
	if (record.outcome != ATTEMPT_SERVED && record.reason == REASON_NONE)
		record.reason = REASON_CANCELLED;
	if (record.outcome == ATTEMPT_SERVED)
		stop_record_time(request->daemon, &request->context,
				 record.latency_us);
	stats_record(request->daemon, &record);
}

static void on_closed(void *private, http_exchange_t *exchange, bool complete)
{
	entry_request_t *request = http_exchange_private(exchange);

	(void)private;
	if (!request)
		return;
	cancel_work(request);
	record_request(request, complete);
	unlink_request(request);
	http_exchange_set_private(exchange, NULL);
}

const http_server_ops_t entry_front_ops = {
	.request = on_front_request,
	.body = on_body,
	.closed = on_closed,
};

const http_server_ops_t entry_local_ops = {
	.request = on_local_request,
	.body = on_body,
	.closed = on_closed,
};

void entry_recheck_keys(cassiad_t *daemon)
{
	entry_request_t *next;

	for (entry_request_t *request = daemon->requests; request;
	     request = next) {
		next = request->next;
		/* A request with a running attempt is not stopped: its key was
		 * valid on arrival. */
		if (!request->has_key || request->answered ||
		    request->attempt ||
		    keys_still_valid(daemon->keys, &request->key_lookup))
			continue;
		entry_refuse(request, REASON_UNKNOWN_KEY, 0);
	}
}

void entry_give_up(cassiad_t *daemon)
{
	entry_request_t *next;

	for (entry_request_t *request = daemon->requests; request;
	     request = next) {
		next = request->next;
		entry_refuse(request, REASON_DRAINING, ENTRY_STOPPING_RETRY_US);
	}
}
