/* Requests of callers: their life from head to end. */
#include "entry.h"

#include "cassia/http_error.h"
#include "child_calls.h"
#include "stats.h"

/* When a caller comes back to a daemon that has no configuration yet. */
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

	if (!request)
		return NULL;
	request->daemon = daemon;
	request->exchange = exchange;
	request->started_us = http_exchange_started(exchange);
	attempt_draw_id(request->context.root);
	attempt_print_id(request->context.root, request->id_text);
	request->context.draw = (u_int)(cas_rng_u64(daemon->rng) >> 32);
	http_exchange_set_private(exchange, request);
	link_request(request);
	return request;
}

/* Ends what runs for a request that is answered or gone. */
static void stop_work(entry_request_t *request)
{
	if (request->waiting)
		control_forget(request->waiting);
	request->waiting = NULL;
	if (request->leg) {
		const routing_result_t result = {
			.outcome = ROUTING_CANCELLED,
			.busy_permille = -1,
		};

		if (leg_cancel(request->leg))
			request->maybe_run = true;
		request->leg = NULL;
		routing_finish(request->daemon->routing,
			       request->tried[request->tried_count - 1],
			       &result);
	}
	if (request->parent) {
		children_remove(request->parent, request);
		request->parent = NULL;
	}
}

/* Callers take 429 and 503 as a promise that the request has not run, and other
 * server errors as none. */
static int honest_status(const entry_request_t *request)
{
	int status = reason_status(request->reason);

	if (request->maybe_run && (status == 429 || status == 503))
		return 502;
	if (!request->maybe_run && (status == 502 || status == 504))
		return 503;
	return status;
}

void entry_refuse(entry_request_t *request, reason_t reason,
		  int64_t retry_after_us)
{
	if (request->answered)
		return;
	request->answered = true;
	stop_work(request);
	request->reason = reason;
	request->status = reason_status(reason);
	request->outcome =
		request->maybe_run ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	request->status = honest_status(request);
	entry_reply_refusal(request, retry_after_us);
}

static void go_on(entry_request_t *request)
{
	http_exchange_read_body(request->exchange, request->max_body_bytes);
}

static void on_token(void *private, bool granted, int64_t retry_after_us)
{
	entry_request_t *request = private;

	request->waiting = NULL;
	if (granted)
		go_on(request);
	else
		entry_refuse(request, REASON_OVER_RATE, retry_after_us);
}

/* A child call was paid for by its root request. */
static bool is_free(const entry_request_t *request)
{
	return request->is_child || !request->context.customer;
}

static void take_token(entry_request_t *request)
{
	int64_t retry_after_us = 0;

	if (is_free(request)) {
		go_on(request);
		return;
	}
	switch (control_take(request->daemon, request->context.customer,
			     request->context.deadline, on_token, request,
			     &request->waiting, &retry_after_us)) {
	case CONTROL_GRANTED:
		go_on(request);
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

/* A child call whose root request is not known. The work that led to it is lost
 * when it is rejected, and no draw tells whether the rest of it is kept. */
static bool is_unlinked_call(const entry_request_t *request)
{
	return request->context.depth && !request->parent;
}

static bool is_shed(entry_request_t *request)
{
	const attempt_context *context = &request->context;
	thresholds_t *thresholds = request->daemon->thresholds;
	cas_id_t key = entry_chain_key(context);

	if (thresholds_check(thresholds, key, (int32_t)context->importance,
			     context->customer, context->draw))
		return false;
	return request->parent ||
	       !thresholds_probe(thresholds, key, (int32_t)context->importance,
				 context->customer);
}

static void on_request(cassiad_t *daemon, http_exchange_t *exchange, bool local)
{
	entry_request_t *request = request_create(daemon, exchange);
	reason_t reason;

	if (!request) {
		http_exchange_abort(exchange);
		return;
	}
	reason = entry_identify(request, local);
	if (reason != REASON_NONE)
		entry_refuse(request, reason,
			     reason == REASON_STARTING ? STARTING_RETRY_US : 0);
	else if (!is_unlinked_call(request) && is_shed(request))
		entry_refuse(request, REASON_SHED, CAS_USEC_PER_SEC);
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
	http_pipe_t *body = http_exchange_body(exchange);
	int error = http_pipe_error(body);

	(void)private;
	if (!request || request->answered)
		return;
	if (error == HTTP_ETOOLARGE) {
		entry_refuse(request, REASON_TOO_LARGE, 0);
		return;
	}
	if (error || request->body_started)
		return;
	if (!http_pipe_is_closed(body)) {
		http_pipe_keep(body, ENTRY_BODY_KEPT_BYTES);
		if (http_pipe_peek(body).len < ENTRY_BODY_KEPT_BYTES)
			return;
		http_exchange_set_body_sent(exchange);
	}
	request->body_started = true;
	entry_attempt(request);
}

static void count_request(entry_request_t *request, bool whole)
{
	stats_event_t event = {
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
		event.outcome =
			request->maybe_run ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	else if (!whole && request->outcome == ATTEMPT_SERVED)
		event.outcome = ATTEMPT_UNKNOWN;
	if (event.outcome != ATTEMPT_SERVED && event.reason == REASON_NONE)
		event.reason = REASON_CANCELLED;
	stats_count(request->daemon, &event);
}

static void on_closed(void *private, http_exchange_t *exchange, bool whole)
{
	entry_request_t *request = http_exchange_private(exchange);

	(void)private;
	if (!request)
		return;
	stop_work(request);
	count_request(request, whole);
	unlink_request(request);
	http_exchange_set_private(exchange, NULL);
}

const http_front_ops_t entry_front_ops = {
	.request = on_front_request,
	.body = on_body,
	.closed = on_closed,
};

const http_front_ops_t entry_local_ops = {
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
		/* One that was sent runs to its end; its key was good when it
		 * came. */
		if (!request->has_key || request->answered || request->leg ||
		    keys_still_valid(daemon->keys, &request->key))
			continue;
		entry_refuse(request, REASON_UNKNOWN_KEY, 0);
	}
}
