/*
 * One attempt of a request. For another host it is an HTTP call to the daemon
 * there, which carries a signed context (Cassia-Context) and is answered with a
 * signed outcome (Cassia-Outcome). The context names the incarnation of that
 * daemon, so that a daemon which has restarted refuses attempts that its former
 * incarnation may have run.
 */
#include "call_attempt.h"

#include "cassia/http_error.h"
#include "upstream_request.h"

/* How often an attempt is sent again because its daemon named another
 * incarnation. The limit ends attempts at a daemon that keeps restarting. */
#define INCARNATION_RETRIES_MAX 3
/* How often an attempt is sent again after its connection was reset. */
#define RESET_RETRIES_MAX 1
/* Memory that is allocated at once for an attempt and its small objects, such as
 * the header fields of its request. */
#define ATTEMPT_OBJECTS 8
#define ATTEMPT_POOL_BYTES 2048

struct call_attempt {
	cassiad_t *daemon;
	const call_attempt_ops_t *ops;
	void *private;
	attempt_context context; /* deadline on the local clock */
	attempt_early early[ATTEMPT_EARLY_MAX]; /* of the context */
	call_attempt_spec_t spec;
	http_call_t *call; /* to the daemon of another host */
	upstream_request_t *upstream_request; /* on this host */
	struct tevent_immediate *finish_event; /* calls finish_attempt */
	call_attempt_result_t result;
	int incarnation_retries;
	int reset_retries;
	bool probing_incarnation; /* the call only asks for the incarnation */
	bool head_delivered; /* ops->head was called */
	bool refused_by_daemon; /* the response is not from the upstream */
	bool possibly_sent; /* the daemon may have received the attempt */
	bool resent; /* sent again although possibly received before */
	reason_t send_refusal; /* by ops->check_send, REASON_NONE: none */
};

static void finish_attempt(call_attempt_t *attempt)
{
	attempt->result.resent = attempt->resent;
	attempt->ops->done(attempt->private, &attempt->result);
	talloc_free(attempt);
}

static void on_finish_event(struct tevent_context *ev,
			    struct tevent_immediate *im, void *private)
{
	(void)ev;
	(void)im;
	finish_attempt(private);
}

/* Finishes the attempt from the event loop, so that no callback is called from
 * inside call_attempt_start. */
static void schedule_finish(call_attempt_t *attempt, uint32_t outcome,
			    reason_t reason)
{
	attempt->result.outcome = outcome;
	attempt->result.reason = reason;
	tevent_schedule_immediate(attempt->finish_event, attempt->daemon->ev,
				  on_finish_event, attempt);
}

static void record_incarnation(cassiad_t *daemon, const attempt_outcome *report)
{
	known_incarnation_t *known =
		g_hash_table_lookup(daemon->known_incarnations, &report->host);

	if (!known) {
		known = g_new0(known_incarnation_t, 1);
		known->host = report->host;
		g_hash_table_insert(daemon->known_incarnations, &known->host,
				    known);
	}
	known->incarnation = report->incarnation;
	/* The report was made before now, so the offset is at most the real
	 * one and a converted deadline is never late. */
	known->clock_offset_us = report->now - cas_clock_now(daemon->clock);
}

static bool before_deadline(const call_attempt_t *attempt)
{
	return cas_clock_now(attempt->daemon->clock) <
	       attempt->context.deadline;
}

/* Asked when the connection is ready: the choice of the host may not hold any
 * more after the wait for it. */
static bool may_send(void *private)
{
	call_attempt_t *attempt = private;

	if (!before_deadline(attempt))
		return false;
	attempt->send_refusal =
		attempt->ops->check_send
			? attempt->ops->check_send(attempt->private)
			: REASON_NONE;
	return attempt->send_refusal == REASON_NONE;
}

/* Checks that a response has a signed outcome for this attempt from the host to
 * which it was sent. Records the outcome and the incarnation. */
static bool verify_outcome(void *private, const http_reply_t *reply)
{
	call_attempt_t *attempt = private;
	attempt_outcome *report = &attempt->result.report;
	cas_str_t text =
		http_headers_value(reply->headers, CAS_STR("Cassia-Outcome"));

	if (attempt_read_outcome(&attempt->daemon->secrets, text, report))
		return false;
	if (memcmp(report->attempt, attempt->context.attempt,
		   ATTEMPT_ID_BYTES) != 0 ||
	    report->host != attempt->spec.host ||
	    (int)report->status != reply->status)
		return false;
	attempt->result.has_report = true;
	attempt->result.retry_after_ms = report->retry_after_ms;
	record_incarnation(attempt->daemon, report);
	return true;
}

static void on_head(void *private, const http_reply_t *reply)
{
	call_attempt_t *attempt = private;

	if (attempt->result.report.outcome != ATTEMPT_SERVED ||
	    attempt->probing_incarnation) {
		attempt->refused_by_daemon = true;
		return;
	}
	attempt->head_delivered = true;
	attempt->ops->head(attempt->private, reply, &attempt->result.report);
}

static int send_attempt(call_attempt_t *attempt, bool fresh);

static bool rewind_body(call_attempt_t *attempt)
{
	return !attempt->spec.body || http_body_rewind(attempt->spec.body);
}

/* Handles a response that the daemon sent without calling its upstream. */
static void on_daemon_refusal(call_attempt_t *attempt)
{
	const attempt_outcome *report = &attempt->result.report;
	reason_t reason = reason_from_number(report->reason);

	if (reason == REASON_REBIND && !attempt->resent &&
	    attempt->incarnation_retries++ < INCARNATION_RETRIES_MAX &&
	    rewind_body(attempt)) {
		attempt->refused_by_daemon = false;
		attempt->result.has_report = false;
		if (send_attempt(attempt, false) == 0)
			return;
		reason = REASON_OVERLOADED;
	}
	attempt->result.outcome = report->outcome;
	attempt->result.reason = reason;
	/* The refusal holds for this transmission only: an earlier one of the
	 * same attempt may have run and may have spent the retry units. */
	if (attempt->resent || reason == REASON_DUPLICATE) {
		attempt->result.outcome = ATTEMPT_UNKNOWN;
		attempt->result.report.unspent = 0;
	}
	finish_attempt(attempt);
}

static void on_call_failure(call_attempt_t *attempt,
			    const http_result_t *result)
{
	call_attempt_result_t *attempt_result = &attempt->result;

	attempt_result->error = result->error;
	if (result->sent && !attempt->probing_incarnation)
		attempt->possibly_sent = true;
	if (result->error == HTTP_ERESET &&
	    attempt->reset_retries++ < RESET_RETRIES_MAX &&
	    before_deadline(attempt) && rewind_body(attempt)) {
		attempt->resent = attempt->possibly_sent;
		if (send_attempt(attempt, true) == 0)
			return;
	}
	attempt_result->outcome =
		attempt->possibly_sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	attempt_result->connect_failed = result->error == HTTP_ECONNECT;
	if (result->error == HTTP_EEXPIRED &&
	    attempt->send_refusal != REASON_NONE)
		attempt_result->reason = attempt->send_refusal;
	else if (result->error == HTTP_ETIMEOUT ||
		 result->error == HTTP_EEXPIRED)
		attempt_result->reason = REASON_DEADLINE;
	else if (result->error == HTTP_ECROSSED)
		attempt_result->reason = REASON_CROSSED;
	else
		attempt_result->reason = attempt->possibly_sent
						 ? REASON_UPSTREAM_FAILED
						 : REASON_NO_UPSTREAM;
	finish_attempt(attempt);
}

static void on_done(void *private, const http_result_t *result)
{
	call_attempt_t *attempt = private;

	attempt->call = NULL;
	attempt->result.bytes_sent += result->request_bytes;
	attempt->result.bytes_received += result->response_bytes;
	if (attempt->refused_by_daemon) {
		on_daemon_refusal(attempt);
		return;
	}
	if (!attempt->head_delivered) {
		on_call_failure(attempt, result);
		return;
	}
	if (result->error) {
		attempt->result.outcome = ATTEMPT_UNKNOWN;
		attempt->result.reason = REASON_UPSTREAM_FAILED;
	}
	finish_attempt(attempt);
}

static const http_call_ops_t peer_call_ops = {
	.matches_request = verify_outcome,
	.head = on_head,
	.done = on_done,
};

static void on_local_head(void *private, const http_reply_t *reply,
			  const attempt_outcome *report)
{
	call_attempt_t *attempt = private;

	attempt->head_delivered = true;
	attempt->ops->head(attempt->private, reply, report);
}

static void on_local_done(void *private, const call_attempt_result_t *result)
{
	call_attempt_t *attempt = private;

	attempt->upstream_request = NULL;
	attempt->result = *result;
	finish_attempt(attempt);
}

static const call_attempt_ops_t local_request_ops = { .head = on_local_head,
						      .done = on_local_done };

/* Signs the context for its receiver, with the deadline on the clock of the
 * receiver. An unknown incarnation stays 0: the daemon refuses such an attempt
 * and names its incarnation in the outcome. */
static cas_str_t sign_context(call_attempt_t *attempt, TALLOC_CTX *ctx)
{
	cassiad_t *daemon = attempt->daemon;
	const known_incarnation_t *known = g_hash_table_lookup(
		daemon->known_incarnations, &attempt->spec.host);
	attempt_context context = attempt->context;

	attempt->probing_incarnation = !known;
	/* Only the incarnation that may have received the attempt before can
	 * detect the duplicate. */
	if (known && !attempt->resent)
		attempt->context.incarnation = known->incarnation;
	context.sender = daemon->settings->host_id;
	context.receiver = attempt->spec.host;
	context.incarnation = attempt->context.incarnation;
	context.deadline += known ? known->clock_offset_us : 0;
	context.early.early_val = attempt->early;
	if (attempt->probing_incarnation)
		context.early.early_len = 0;
	return attempt_sign_context(ctx, &daemon->secrets, &context);
}

static int build_headers(call_attempt_t *attempt, http_headers_t *headers)
{
	cas_str_t context = sign_context(attempt, headers);

	if (!context.ptr)
		return ATTEMPT_ENOMEM;
	if (http_headers_forward(headers, attempt->spec.headers) ||
	    http_headers_add(headers, CAS_STR("Cassia-Context"), context))
		return HTTP_ENOMEM;
	return 0;
}

/* Sends the attempt to the daemon of its host, on a new connection if fresh is
 * set. Returns 0, HTTP_EINVAL or HTTP_ENOMEM. */
static int send_attempt(call_attempt_t *attempt, bool fresh)
{
	cassiad_t *daemon = attempt->daemon;
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, attempt->spec.host)
			       : NULL;
	http_headers_t *headers = http_headers_create(attempt);
	http_call_spec_t spec = {
		.headers = headers,
		.method = attempt->spec.method,
		.target = attempt->spec.target,
		.body = attempt->spec.body,
		.content_length = attempt->spec.content_length,
		.timeout_us = attempt->context.deadline -
			      cas_clock_now(daemon->clock),
		.connect_timeout_us = CALL_ATTEMPT_CONNECT_TIMEOUT_US,
		.may_send = may_send,
		.new_connection = fresh,
	};

	if (!headers || !host || build_headers(attempt, headers))
		return HTTP_EINVAL;
	spec.address = host->address;
	spec.port = host->peer_port;
	if (attempt->probing_incarnation) {
		spec.method = CAS_STR("GET");
		spec.body = NULL;
	}
	attempt->call = http_call_start(daemon->peer_client, &spec,
					&peer_call_ops, attempt);
	talloc_free(headers);
	return attempt->call ? 0 : HTTP_ENOMEM;
}

/* Adds the instance id of the upstream from the host list, so that another
 * instance that has taken over its address refuses the request. */
static int add_instance_header(call_attempt_t *attempt)
{
	const cassiad_t *daemon = attempt->daemon;
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, attempt->spec.host)
			       : NULL;
	http_headers_t *headers;

	if (!daemon->profile->instance.len || !host || !host->instance.len)
		return 0;
	headers = http_headers_create(attempt);
	if (!headers || http_headers_forward(headers, attempt->spec.headers))
		return HTTP_ENOMEM;
	attempt->spec.headers = headers;
	return http_headers_add(headers, daemon->profile->instance,
				cas_str_dup(headers, host->instance));
}

static call_attempt_t *create_attempt(cassiad_t *daemon,
				      const call_attempt_spec_t *spec,
				      const call_attempt_ops_t *ops,
				      void *private)
{
	call_attempt_t *attempt = talloc_pooled_object(
		daemon, call_attempt_t, ATTEMPT_OBJECTS, ATTEMPT_POOL_BYTES);

	if (!attempt)
		return NULL;
	memset(attempt, 0, sizeof(*attempt));
	attempt->finish_event = tevent_create_immediate(attempt);
	if (!attempt->finish_event) {
		talloc_free(attempt);
		return NULL;
	}
	attempt->daemon = daemon;
	attempt->ops = ops;
	attempt->private = private;
	attempt->spec = *spec;
	attempt->context = *spec->context;
	attempt_generate_id(attempt->context.attempt);
	for (u_int i = 0; i < spec->context->early.early_len; i++)
		attempt->early[i] = spec->context->early.early_val[i];
	attempt->context.early.early_val = attempt->early;
	if (add_instance_header(attempt)) {
		talloc_free(attempt);
		return NULL;
	}
	return attempt;
}

call_attempt_t *call_attempt_start(cassiad_t *daemon,
				   const call_attempt_spec_t *spec,
				   const call_attempt_ops_t *ops, void *private)
{
	call_attempt_t *attempt = create_attempt(daemon, spec, ops, private);

	if (!attempt)
		return NULL;
	if (spec->host != daemon->settings->host_id) {
		if (send_attempt(attempt, false))
			schedule_finish(attempt, ATTEMPT_NOT_RUN,
					REASON_NO_UPSTREAM);
		return attempt;
	}
	attempt->spec.context = &attempt->context;
	attempt->upstream_request = upstream_request_start(
		daemon, &attempt->spec, &local_request_ops, attempt);
	if (!attempt->upstream_request)
		schedule_finish(attempt, ATTEMPT_NOT_RUN, REASON_OVERLOADED);
	return attempt;
}

bool call_attempt_cancel(call_attempt_t *attempt)
{
	bool sent = attempt->possibly_sent;

	if (attempt->call && http_call_cancel(attempt->call))
		sent = sent || !attempt->probing_incarnation;
	if (attempt->upstream_request &&
	    upstream_request_cancel(attempt->upstream_request))
		sent = true;
	talloc_free(attempt);
	return sent;
}
