/* Server for other daemons on the peer port: signed attempts for the upstream
 * of this host, and fetches of documents (fetch.c). */
#include "cassia/http_error.h"
#include "cassia/http_problem.h"
#include "fetch.h"
#include "processor_use.h"
#include "stats.h"
#include "stop.h"
#include "tick.h"
#include "upstream_request.h"

/* Bodies below this size are read completely before the request is offered to
 * admission; larger ones are streamed. */
#define BODY_BUFFER_BYTES (64 * 1024)
#define MICRO_PER_UNIT INT64_C(1000000)
/* The smaller limit of the route was enforced by the entry daemon. */
#define BODY_MAX_BYTES (INT64_C(1) << 30)

/* A request of another daemon; owned by its exchange. */
struct peer_request {
	peer_request_t *next; /* in the list of the daemon */
	peer_request_t *prev;
	cassiad_t *daemon;
	http_exchange_t *exchange;
	attempt_received_t received; /* the signed context */
	upstream_request_t *upstream_request;
	bool answered; /* a response was started */
	bool started; /* upstream_request_start was called */
	bool served; /* with a response of the upstream */
};

static void link_request(peer_request_t *request)
{
	cassiad_t *daemon = request->daemon;

	request->next = daemon->peer_requests;
	if (request->next)
		request->next->prev = request;
	daemon->peer_requests = request;
}

static void unlink_request(peer_request_t *request)
{
	if (request->next)
		request->next->prev = request->prev;
	if (request->prev)
		request->prev->next = request->next;
	else
		request->daemon->peer_requests = request->next;
}

static int add_outcome(peer_request_t *request, http_headers_t *headers,
		       const attempt_outcome *report)
{
	cas_str_t text = attempt_sign_outcome(
		headers, &request->daemon->secrets, report);

	if (!text.ptr)
		return ATTEMPT_ENOMEM;
	return http_headers_add(headers, CAS_STR("Cassia-Outcome"), text);
}

static void refuse_with_outcome(peer_request_t *request,
				const attempt_outcome *report)
{
	reason_t reason = reason_from_number(report->reason);
	const http_problem_t problem = {
		.status = (int)report->status,
		.outcome = stats_outcome_name(report->outcome),
		.reason = reason_name(reason),
	};
	http_headers_t *headers = http_headers_create(request);
	cas_str_t text = http_problem_text(request, &problem);

	request->answered = true;
	if (!headers || !text.ptr || http_problem_add_type(headers) ||
	    add_outcome(request, headers, report)) {
		http_exchange_abort(request->exchange);
		return;
	}
	http_exchange_reply_text(request->exchange, problem.status, headers,
				 text);
}

static void refuse_with_reason(peer_request_t *request, uint32_t outcome,
			       reason_t reason)
{
	attempt_outcome report;

	upstream_request_fill_outcome(request->daemon,
				      &request->received.context, NULL, outcome,
				      reason, reason_status(reason), &report);
	refuse_with_outcome(request, &report);
}

/* Refuses a request without a valid context. Its sender is not known to be a
 * daemon of this fleet, so the response carries no signed outcome. */
static void refuse_unsigned(const peer_request_t *request)
{
	const http_problem_t problem = { .status = 403,
					 .outcome = "not-run",
					 .reason = "not-signed" };

	cas_metrics_increment(request->daemon->metrics,
			      "cassia_peer_not_signed_total", "");
	http_problem_reply(request->exchange, &problem);
}

static int read_context(peer_request_t *request)
{
	cas_str_t text =
		http_headers_value(http_exchange_headers(request->exchange),
				   CAS_STR("Cassia-Context"));
	const attempt_context *context = &request->received.context;
	int error = attempt_read_context(&request->daemon->secrets, text,
					 &request->received);

	if (error)
		return error;
	if (context->receiver != request->daemon->settings->host_id)
		return ATTEMPT_ERECEIVER;
	if (context->importance >= ADMISSION_IMPORTANCES || !context->weight)
		return ATTEMPT_EFORMAT;
	return 0;
}

/* Refuses an attempt for which the daemon has no processor time, before its body
 * is read. The signed outcome tells the sender which fraction to send. */
static void refuse_for_processor(peer_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	attempt_context *context = &request->received.context;
	attempt_outcome report;

	upstream_request_count_early(daemon, context);
	upstream_request_fill_outcome(daemon, context, NULL, ATTEMPT_NOT_RUN,
				      REASON_SHED, reason_status(REASON_SHED),
				      &report);
	report.retry_after_ms =
		(u_int)(processor_use_retry_after_us(daemon, context) /
			CAS_USEC_PER_MSEC);
	refuse_with_outcome(request, &report);
}

/* Returns whether the settings state a bound for cold upstreams. */
static bool bounds_cold_upstreams(const cassiad_t *daemon)
{
	const settings_warm_up_t *warm_up = &daemon->settings->warm_up;

	return warm_up->factor_micro > MICRO_PER_UNIT || warm_up->slack_micro;
}

/* Registers an attempt so that it runs at most once. An attempt for an earlier
 * incarnation is refused: this process does not know whether it has run,
 * because the identifiers were lost with that incarnation. */
static void register_attempt(peer_request_t *request)
{
	attempt_context *context = &request->received.context;
	int error;

	if (context->incarnation != request->daemon->incarnation) {
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_REBIND);
		return;
	}
	/* Without a table it is not known how much a cold upstream takes. */
	if (!request->daemon->table && bounds_cold_upstreams(request->daemon)) {
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_STARTING);
		return;
	}
	if (!stop_accepts_request(request->daemon, context)) {
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_DRAINING);
		return;
	}
	if (!processor_use_admits(request->daemon, PROCESSOR_ATTEMPT,
				  context)) {
		refuse_for_processor(request);
		return;
	}
	stop_limit_deadline(request->daemon, context);
	error = attempt_table_begin(request->daemon->attempts, context->attempt,
				    context->deadline);
	switch (error) {
	case 0:
		http_exchange_read_body(request->exchange, BODY_MAX_BYTES);
		break;
	case ATTEMPT_EDUPLICATE:
		refuse_with_reason(request, ATTEMPT_UNKNOWN, REASON_DUPLICATE);
		break;
	case ATTEMPT_EEXPIRED:
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_DEADLINE);
		break;
	default:
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_OVERLOADED);
		break;
	}
}

static void on_request(void *private, http_exchange_t *exchange)
{
	cassiad_t *daemon = private;
	peer_request_t *request;

	if (fetch_answer(daemon, exchange))
		return;
	request = talloc_zero(exchange, peer_request_t);
	if (!request) {
		http_exchange_abort(exchange);
		return;
	}
	tick_request_arrived(daemon);
	request->daemon = daemon;
	request->exchange = exchange;
	link_request(request);
	http_exchange_set_private(exchange, request);
	if (read_context(request)) {
		request->answered = true;
		refuse_unsigned(request);
		return;
	}
	register_attempt(request);
}

static void on_head(void *private, const http_reply_t *reply,
		    const attempt_outcome *report)
{
	peer_request_t *request = private;
	http_headers_t *headers = http_headers_create(request->exchange);
	http_reply_t forwarded = *reply;

	request->answered = true;
	request->served = true;
	if (!headers || http_headers_forward(headers, reply->headers) ||
	    add_outcome(request, headers, report)) {
		http_exchange_abort(request->exchange);
		return;
	}
	talloc_steal(headers, reply->headers);
	forwarded.headers = headers;
	http_exchange_reply(request->exchange, &forwarded);
}

static void on_done(void *private, const call_attempt_result_t *result)
{
	peer_request_t *request = private;

	request->upstream_request = NULL;
	if (!request->answered)
		refuse_with_outcome(request, &result->report);
}

static const call_attempt_ops_t upstream_request_ops = { .head = on_head,
							 .done = on_done };

static bool wants_body(cas_str_t method, int64_t length)
{
	return length != 0 || http_name_equal(method, CAS_STR("POST")) ||
	       http_name_equal(method, CAS_STR("PUT")) ||
	       http_name_equal(method, CAS_STR("PATCH"));
}

static void start_upstream_request(peer_request_t *request)
{
	http_exchange_t *exchange = request->exchange;
	int64_t length = http_exchange_content_length(exchange);
	cas_str_t method = http_exchange_method(exchange);
	const call_attempt_spec_t spec = {
		.context = &request->received.context,
		.host = request->daemon->settings->host_id,
		.method = method,
		.target = http_exchange_target(exchange),
		.headers = http_exchange_headers(exchange),
		.body = wants_body(method, length)
				? http_exchange_body(exchange)
				: NULL,
		.content_length = length,
	};

	request->started = true;
	request->upstream_request = upstream_request_start(
		request->daemon, &spec, &upstream_request_ops, request);
	if (!request->upstream_request)
		refuse_with_reason(request, ATTEMPT_NOT_RUN, REASON_OVERLOADED);
}

static void on_body(void *private, http_exchange_t *exchange)
{
	peer_request_t *request = http_exchange_private(exchange);
	http_body_t *body = http_exchange_body(exchange);

	(void)private;
	if (!request || request->started || request->answered ||
	    http_body_error(body))
		return;
	if (!http_body_is_closed(body) &&
	    http_body_peek(body).len < BODY_BUFFER_BYTES)
		return;
	if (!http_body_is_closed(body))
		http_exchange_set_body_sent(exchange);
	start_upstream_request(request);
}

static void on_closed(void *private, http_exchange_t *exchange, bool complete)
{
	peer_request_t *request = http_exchange_private(exchange);
	cassiad_t *daemon = private;

	if (!request)
		return;
	if (request->upstream_request)
		upstream_request_cancel(request->upstream_request);
	if (request->served && complete)
		stop_record_time(daemon, &request->received.context,
				 cas_clock_now(daemon->clock) -
					 http_exchange_started(exchange));
	unlink_request(request);
	http_exchange_set_private(exchange, NULL);
}

/* An attempt that was sent may have spent its retry units on child calls. */
static void give_up(peer_request_t *request)
{
	attempt_outcome report;
	bool sent = request->upstream_request &&
		    upstream_request_cancel(request->upstream_request);

	request->upstream_request = NULL;
	upstream_request_fill_outcome(
		request->daemon, &request->received.context, NULL,
		sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN, REASON_DRAINING,
		reason_status(REASON_DRAINING), &report);
	if (sent)
		report.unspent = 0;
	refuse_with_outcome(request, &report);
}

void peer_server_give_up(cassiad_t *daemon)
{
	for (peer_request_t *request = daemon->peer_requests; request;
	     request = request->next)
		if (!request->answered)
			give_up(request);
}

const http_server_ops_t peer_server_ops = {
	.request = on_request,
	.body = on_body,
	.closed = on_closed,
};
