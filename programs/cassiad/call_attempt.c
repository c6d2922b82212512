/* One attempt of a request. */
#include "call_attempt.h"

#include "cassia/http_error.h"
#include "upstream_request.h"

/* A daemon that restarts again and again is given up. */
#define BIND_TRIES 3
#define RESET_TRIES 1
/* Several round trips between regions; longer means that the host is cut off. */
#define CONNECT_TIMEOUT_US (300 * CAS_USEC_PER_MSEC)

struct leg {
	cassiad_t *daemon;
	const leg_ops_t *ops;
	void *private;
	attempt_context context;
	attempt_early early[ATTEMPT_EARLY_MAX];
	leg_spec_t spec;
	http_call_t *call;
	serve_t *serve;
	struct tevent_immediate *soon;
	leg_result_t result;
	int binds;
	int resets;
	bool asking; /* the call only learns the incarnation */
	bool head_given;
	bool refused; /* the daemon has answered for itself */
	bool ever_sent;
	bool resent;
};

static void leg_finish(leg_t *leg)
{
	leg->result.resent = leg->resent;
	leg->ops->done(leg->private, &leg->result);
	talloc_free(leg);
}

static void on_soon(struct tevent_context *ev, struct tevent_immediate *im,
		    void *private)
{
	(void)ev;
	(void)im;
	leg_finish(private);
}

static void finish_soon(leg_t *leg, uint32_t outcome, reason_t reason)
{
	leg->result.outcome = outcome;
	leg->result.reason = reason;
	tevent_schedule_immediate(leg->soon, leg->daemon->ev, on_soon, leg);
}

static void bind_host(cassiad_t *daemon, const attempt_outcome *report)
{
	binding_t *binding =
		g_hash_table_lookup(daemon->bindings, &report->host);

	if (!binding) {
		binding = g_new0(binding_t, 1);
		binding->host = report->host;
		g_hash_table_insert(daemon->bindings, &binding->host, binding);
	}
	binding->incarnation = report->incarnation;
	/* The report was made before now, so the offset is never too large
	 * and no deadline is moved back. */
	binding->clock_offset_us = report->now - cas_clock_now(daemon->clock);
}

static bool leg_in_time(void *private)
{
	leg_t *leg = private;

	return cas_clock_now(leg->daemon->clock) < leg->context.deadline;
}

/* Reads the signed outcome, which tells the attempt that it belongs to. */
static bool is_own(void *private, const http_reply_t *reply)
{
	leg_t *leg = private;
	attempt_outcome *report = &leg->result.report;
	cas_str_t text =
		http_headers_value(reply->headers, CAS_STR("Cassia-Outcome"));

	if (attempt_read_outcome(&leg->daemon->secrets, text, report))
		return false;
	if (memcmp(report->attempt, leg->context.attempt, ATTEMPT_ID_BYTES) !=
		    0 ||
	    report->host != leg->spec.host ||
	    (int)report->status != reply->status)
		return false;
	leg->result.has_report = true;
	leg->result.retry_after_ms = report->retry_after_ms;
	bind_host(leg->daemon, report);
	return true;
}

static void on_head(void *private, const http_reply_t *reply)
{
	leg_t *leg = private;

	if (leg->result.report.outcome != ATTEMPT_SERVED || leg->asking) {
		leg->refused = true;
		return;
	}
	leg->head_given = true;
	leg->ops->head(leg->private, reply, &leg->result.report);
}

static int leg_send(leg_t *leg, bool fresh);

static bool rewind_body(leg_t *leg)
{
	return !leg->spec.body || http_pipe_rewind(leg->spec.body);
}

/* The daemon has answered for itself, not for its upstream. */
static void on_refusal(leg_t *leg)
{
	const attempt_outcome *report = &leg->result.report;
	reason_t reason = reason_of(report->reason);

	if (reason == REASON_REBIND && !leg->resent &&
	    leg->binds++ < BIND_TRIES && rewind_body(leg)) {
		leg->refused = false;
		leg->result.has_report = false;
		if (leg_send(leg, false) == 0)
			return;
		reason = REASON_OVERLOADED;
	}
	leg->result.outcome = report->outcome;
	leg->result.reason = reason;
	/* An earlier sending of the same attempt may have run and may have
	 * spent its retries. */
	if (leg->resent || reason == REASON_DUPLICATE) {
		leg->result.outcome = ATTEMPT_UNKNOWN;
		leg->result.report.unspent = 0;
	}
	leg_finish(leg);
}

static void on_failure(leg_t *leg, const http_result_t *result)
{
	leg_result_t *own = &leg->result;

	own->error = result->error;
	if (result->sent && !leg->asking)
		leg->ever_sent = true;
	if (result->error == HTTP_ERESET && leg->resets++ < RESET_TRIES &&
	    leg_in_time(leg) && rewind_body(leg)) {
		leg->resent = leg->ever_sent;
		if (leg_send(leg, true) == 0)
			return;
	}
	own->outcome = leg->ever_sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	own->refused = result->error == HTTP_ECONNECT;
	if (result->error == HTTP_ETIMEOUT || result->error == HTTP_EEXPIRED)
		own->reason = REASON_DEADLINE;
	else if (result->error == HTTP_ECROSSED)
		own->reason = REASON_CROSSED;
	else
		own->reason = leg->ever_sent ? REASON_UPSTREAM_FAILED
					     : REASON_NO_UPSTREAM;
	leg_finish(leg);
}

static void on_done(void *private, const http_result_t *result)
{
	leg_t *leg = private;

	leg->call = NULL;
	leg->result.bytes_sent += result->request_bytes;
	leg->result.bytes_received += result->response_bytes;
	if (leg->refused) {
		on_refusal(leg);
		return;
	}
	if (!leg->head_given) {
		on_failure(leg, result);
		return;
	}
	if (result->error) {
		leg->result.outcome = ATTEMPT_UNKNOWN;
		leg->result.reason = REASON_UPSTREAM_FAILED;
	}
	leg_finish(leg);
}

static const http_call_ops_t call_ops = {
	.is_own = is_own,
	.head = on_head,
	.done = on_done,
};

static void local_head(void *private, const http_reply_t *reply,
		       const attempt_outcome *report)
{
	leg_t *leg = private;

	leg->head_given = true;
	leg->ops->head(leg->private, reply, report);
}

static void local_done(void *private, const leg_result_t *result)
{
	leg_t *leg = private;

	leg->serve = NULL;
	leg->result = *result;
	leg_finish(leg);
}

static const leg_ops_t local_ops = { .head = local_head, .done = local_done };

/* Writes the context for its receiver. An unknown incarnation stays 0; the
 * daemon refuses it and tells its own. */
static cas_str_t sign_context(leg_t *leg, TALLOC_CTX *ctx)
{
	cassiad_t *daemon = leg->daemon;
	const binding_t *binding =
		g_hash_table_lookup(daemon->bindings, &leg->spec.host);
	attempt_context context = leg->context;

	leg->asking = !binding;
	/* A resent attempt is only safe at the incarnation that may have seen
	 * it. */
	if (binding && !leg->resent)
		leg->context.incarnation = binding->incarnation;
	context.sender = daemon->settings->host_id;
	context.receiver = leg->spec.host;
	context.incarnation = leg->context.incarnation;
	context.deadline += binding ? binding->clock_offset_us : 0;
	context.early.early_val = leg->early;
	if (leg->asking)
		context.early.early_len = 0;
	return attempt_sign_context(ctx, &daemon->secrets, &context);
}

static int set_headers(leg_t *leg, http_headers_t *headers)
{
	cas_str_t context = sign_context(leg, headers);

	if (!context.ptr)
		return ATTEMPT_ENOMEM;
	if (http_headers_forward(headers, leg->spec.headers) ||
	    http_headers_add(headers, CAS_STR("Cassia-Context"), context))
		return HTTP_ENOMEM;
	return 0;
}

static int leg_send(leg_t *leg, bool fresh)
{
	cassiad_t *daemon = leg->daemon;
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, leg->spec.host)
			       : NULL;
	http_headers_t *headers = http_headers_create(leg);
	http_call_spec_t spec = {
		.headers = headers,
		.method = leg->spec.method,
		.target = leg->spec.target,
		.body = leg->spec.body,
		.content_length = leg->spec.content_length,
		.timeout_us =
			leg->context.deadline - cas_clock_now(daemon->clock),
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.may_send = leg_in_time,
		.fresh = fresh,
	};

	if (!headers || !host || set_headers(leg, headers))
		return HTTP_EINVAL;
	spec.address = host->address;
	spec.port = host->peer_port;
	if (leg->asking) {
		spec.method = CAS_STR("GET");
		spec.body = NULL;
	}
	leg->call = http_call_start(daemon->back, &spec, &call_ops, leg);
	talloc_free(headers);
	return leg->call ? 0 : HTTP_ENOMEM;
}

/* Names the run of the upstream that is meant, so that another one that has
 * taken over its address refuses the request. */
static int name_instance(leg_t *leg)
{
	const cassiad_t *daemon = leg->daemon;
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, leg->spec.host)
			       : NULL;
	http_headers_t *headers;

	if (!daemon->dialect->instance.len || !host || !host->instance.len)
		return 0;
	headers = http_headers_create(leg);
	if (!headers || http_headers_forward(headers, leg->spec.headers))
		return HTTP_ENOMEM;
	leg->spec.headers = headers;
	return http_headers_add(headers, daemon->dialect->instance,
				cas_str_dup(headers, host->instance));
}

static leg_t *leg_create(cassiad_t *daemon, const leg_spec_t *spec,
			 const leg_ops_t *ops, void *private)
{
	leg_t *leg = talloc_zero(daemon, leg_t);

	if (!leg)
		return NULL;
	leg->soon = tevent_create_immediate(leg);
	if (!leg->soon) {
		talloc_free(leg);
		return NULL;
	}
	leg->daemon = daemon;
	leg->ops = ops;
	leg->private = private;
	leg->spec = *spec;
	leg->context = *spec->context;
	attempt_draw_id(leg->context.attempt);
	for (u_int i = 0; i < spec->context->early.early_len; i++)
		leg->early[i] = spec->context->early.early_val[i];
	leg->context.early.early_val = leg->early;
	if (name_instance(leg)) {
		talloc_free(leg);
		return NULL;
	}
	return leg;
}

leg_t *leg_start(cassiad_t *daemon, const leg_spec_t *spec,
		 const leg_ops_t *ops, void *private)
{
	leg_t *leg = leg_create(daemon, spec, ops, private);

	if (!leg)
		return NULL;
	if (spec->host != daemon->settings->host_id) {
		if (leg_send(leg, false))
			finish_soon(leg, ATTEMPT_NOT_RUN, REASON_NO_UPSTREAM);
		return leg;
	}
	leg->spec.context = &leg->context;
	leg->serve = serve_start(daemon, &leg->spec, &local_ops, leg);
	if (!leg->serve)
		finish_soon(leg, ATTEMPT_NOT_RUN, REASON_OVERLOADED);
	return leg;
}

bool leg_cancel(leg_t *leg)
{
	bool sent = leg->ever_sent;

	if (leg->call && http_call_cancel(leg->call))
		sent = sent || !leg->asking;
	if (leg->serve && serve_cancel(leg->serve))
		sent = true;
	talloc_free(leg);
	return sent;
}
