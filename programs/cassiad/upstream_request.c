/* Requests to the upstream of this host. */
#include "upstream_request.h"

#include "cassia/http_error.h"
#include "cassia/log.h"
#include "child_calls.h"
#include "entry.h"
#include "stats.h"

struct serve {
	cassiad_t *daemon;
	const leg_ops_t *ops;
	void *private;
	attempt_context context;
	leg_spec_t spec;
	admission_ticket_t *ticket;
	attempt_live_entry_t *live;
	http_call_t *call;
	struct tevent_immediate *soon;
	leg_result_t result;
	bool head_given;
	bool shed_by_upstream;
	int status;
};

static const http_call_ops_t upstream_ops;

void serve_report(cassiad_t *daemon, const attempt_context *context,
		  const attempt_live_entry_t *live, uint32_t outcome,
		  reason_t reason, int status, attempt_outcome *report)
{
	double fraction = admission_threshold(daemon->admission,
					      (int32_t)context->importance,
					      context->customer);

	if (live && live->fraction < fraction)
		fraction = live->fraction;
	*report = (attempt_outcome){
		.host = daemon->settings->host_id,
		.incarnation = daemon->incarnation,
		.now = cas_clock_now(daemon->clock),
		.outcome = outcome,
		.status = (u_int)status,
		.reason = reason,
		.fraction = (u_int)(fraction * ATTEMPT_FRACTION_WHOLE),
		.unspent = live ? (u_int)live->budget.left : context->budget,
		.limit = (u_int)admission_limit(daemon->admission),
		.busy = admission_busy_permille(daemon->admission),
	};
	memcpy(report->attempt, context->attempt, ATTEMPT_ID_BYTES);
}

/* Leaves the live set, so that later child calls find no handle. */
static void remove_live_entry(serve_t *serve, bool cancel_children)
{
	if (!serve->live)
		return;
	children_detach(serve->live, cancel_children);
	TALLOC_FREE(serve->live);
	serve->daemon->serving--;
}

/* The id that a response to this request repeats. */
static cas_str_t id_of(const serve_t *serve, char text[ATTEMPT_ID_TEXT_BYTES])
{
	const http_dialect_t *dialect = serve->daemon->dialect;

	if (dialect->callers_choose_id)
		return http_headers_value(serve->spec.headers,
					  dialect->request_id);
	attempt_print_id(serve->context.root, text);
	return cas_str_from(text);
}

/* What this daemon decided about an attempt that its upstream did not serve,
 * and on what. */
static void log_unserved(const serve_t *serve)
{
	cassiad_t *daemon = serve->daemon;
	const leg_result_t *result = &serve->result;
	char text[ATTEMPT_ID_TEXT_BYTES];

	if (result->outcome == ATTEMPT_SERVED || !stats_may_log(daemon))
		return;
	cas_log(CAS_LOG_INFO, "upstream_attempt",
		CAS_LOG_STR("id", id_of(serve, text)),
		CAS_LOG_Z("outcome", stats_outcome_name(result->outcome)),
		CAS_LOG_Z("reason", reason_name(result->reason)),
		CAS_LOG_INT("error", result->error),
		CAS_LOG_INT("importance", serve->context.importance),
		CAS_LOG_INT("left_us", serve->context.deadline -
					       cas_clock_now(daemon->clock)),
		CAS_LOG_INT("limit", admission_limit(daemon->admission)),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
}

static void finish(serve_t *serve)
{
	leg_result_t *result = &serve->result;

	log_unserved(serve);
	serve_report(serve->daemon, &serve->context, serve->live,
		     result->outcome, result->reason,
		     reason_status(result->reason), &result->report);
	result->has_report = true;
	remove_live_entry(serve, result->outcome != ATTEMPT_SERVED);
	serve->ops->done(serve->private, result);
	talloc_free(serve);
}

static void on_soon(struct tevent_context *ev, struct tevent_immediate *im,
		    void *private)
{
	(void)ev;
	(void)im;
	finish(private);
}

static void finish_soon(serve_t *serve, uint32_t outcome, reason_t reason)
{
	serve->result.outcome = outcome;
	serve->result.reason = reason;
	tevent_schedule_immediate(serve->soon, serve->daemon->ev, on_soon,
				  serve);
}

static admission_result_t admission_result_of(const serve_t *serve,
					      const http_result_t *result)
{
	if (serve->shed_by_upstream || serve->status == 503)
		return ADMISSION_SHED_BY_UPSTREAM;
	if (result->error == HTTP_EEXPIRED)
		return ADMISSION_CANCELLED;
	return result->error ? ADMISSION_FAILED : ADMISSION_OK;
}

static void set_failure(serve_t *serve, const http_result_t *result)
{
	serve->result.error = result->error;
	serve->result.outcome =
		result->sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	if (result->error == HTTP_EEXPIRED || result->error == HTTP_ETIMEOUT)
		serve->result.reason = REASON_DEADLINE;
	else if (result->error == HTTP_ECROSSED)
		serve->result.reason = REASON_CROSSED;
	else if (!result->sent)
		serve->result.reason = REASON_NO_UPSTREAM;
	else
		serve->result.reason = REASON_UPSTREAM_FAILED;
}

/* Time spent in other services says nothing about this upstream. */
static void note_child_time(serve_t *serve)
{
	int64_t child_us = serve->live->child_us;

	if (serve->live->private)
		child_us += cas_clock_now(serve->daemon->clock) -
			    serve->live->child_since_us;
	if (child_us > 0)
		admission_child_time(serve->ticket, child_us);
}

static void on_done(void *private, const http_result_t *result)
{
	serve_t *serve = private;
	admission_ticket_t *ticket = serve->ticket;
	admission_result_t verdict = admission_result_of(serve, result);

	note_child_time(serve);
	serve->call = NULL;
	serve->ticket = NULL;
	if (serve->shed_by_upstream) {
		serve->result.outcome = ATTEMPT_NOT_RUN;
		serve->result.reason =
			admission_has_free_slot(serve->daemon->admission)
				? REASON_REJECTED
				: REASON_SHED;
	} else if (result->error) {
		set_failure(serve, result);
	}
	admission_finish(serve->daemon->admission, ticket, verdict);
	finish(serve);
}

static bool is_own(void *private, const http_reply_t *reply)
{
	const serve_t *serve = private;
	cas_str_t id = http_headers_value(reply->headers,
					  serve->daemon->dialect->request_id);
	char own[ATTEMPT_ID_TEXT_BYTES];

	return !id.len || cas_str_equal(id, id_of(serve, own));
}

static void on_head(void *private, const http_reply_t *reply)
{
	serve_t *serve = private;
	attempt_outcome report;

	serve->status = reply->status;
	if (serve->daemon->dialect->is_not_run(reply->status, reply->headers)) {
		serve->shed_by_upstream = true;
		return;
	}
	serve->head_given = true;
	serve_report(serve->daemon, &serve->context, serve->live,
		     ATTEMPT_SERVED, REASON_NONE, reply->status, &report);
	/* What was reported as unspent cannot be spent here any more. */
	serve->live->budget.left = 0;
	serve->ops->head(serve->private, reply, &report);
}

static const http_call_ops_t upstream_ops = {
	.is_own = is_own,
	.head = on_head,
	.done = on_done,
};

static bool in_time(void *private)
{
	serve_t *serve = private;

	return cas_clock_now(serve->daemon->clock) < serve->context.deadline;
}

static int add_handle(serve_t *serve, http_headers_t *headers)
{
	const http_dialect_t *dialect = serve->daemon->dialect;
	char text[ATTEMPT_ID_TEXT_BYTES];
	int error = 0;

	if (!dialect->callers_choose_id)
		error = http_headers_add(
			headers, dialect->request_id,
			cas_str_dup(headers, id_of(serve, text)));
	if (error || !dialect->handle.len)
		return error;
	attempt_print_id(serve->live->handle, text);
	return http_headers_add(headers, dialect->handle,
				cas_str_dup(headers, cas_str_from(text)));
}

static int add_own_fields(serve_t *serve, http_headers_t *headers)
{
	int64_t left_us =
		serve->context.deadline - cas_clock_now(serve->daemon->clock);
	int error = add_handle(serve, headers);

	if (error)
		return error;
	return http_headers_add_int(
		headers, serve,
		serve->daemon->dialect->upstream_deadline_ms.ptr,
		left_us / CAS_USEC_PER_MSEC);
}

static int call_upstream(serve_t *serve)
{
	cassiad_t *daemon = serve->daemon;
	http_headers_t *headers = http_headers_create(serve);
	const http_call_spec_t spec = {
		.address = daemon->settings->upstream.address,
		.port = daemon->settings->upstream.port,
		.method = serve->spec.method,
		.target = serve->spec.target,
		.headers = headers,
		.body = serve->spec.body,
		.content_length = serve->spec.content_length,
		.timeout_us =
			serve->context.deadline - cas_clock_now(daemon->clock),
		.connect_timeout_us = CAS_USEC_PER_SEC,
		.may_send = in_time,
	};

	if (!headers || http_headers_forward(headers, serve->spec.headers) ||
	    add_own_fields(serve, headers))
		return HTTP_ENOMEM;
	serve->call =
		http_call_start(daemon->upstream, &spec, &upstream_ops, serve);
	talloc_free(headers);
	return serve->call ? 0 : HTTP_ENOMEM;
}

/* Ends an admitted request that is not sent. */
static void give_up(serve_t *serve, reason_t reason)
{
	admission_ticket_t *ticket = serve->ticket;

	serve->ticket = NULL;
	finish_soon(serve, ATTEMPT_NOT_RUN, reason);
	admission_finish(serve->daemon->admission, ticket, ADMISSION_CANCELLED);
}

static void run(serve_t *serve)
{
	cassiad_t *daemon = serve->daemon;

	if (!in_time(serve)) {
		give_up(serve, REASON_DEADLINE);
		return;
	}
	serve->live = attempt_live_add(daemon->live, &serve->context);
	if (!serve->live) {
		give_up(serve, REASON_OVERLOADED);
		return;
	}
	daemon->serving++;
	if (call_upstream(serve))
		give_up(serve, REASON_OVERLOADED);
}

void serve_on_run(void *private, admission_ticket_t *ticket,
		  void *request_private)
{
	serve_t *serve = request_private;

	(void)private;
	serve->ticket = ticket;
	run(serve);
}

static reason_t reason_of_admission(admission_reason_t reason)
{
	switch (reason) {
	case ADMISSION_REASON_DEADLINE:
		return REASON_DEADLINE;
	case ADMISSION_REASON_STOPPED:
		return REASON_DRAINING;
	case ADMISSION_REASON_MEMORY:
		return REASON_OVERLOADED;
	default:
		return REASON_SHED;
	}
}

void serve_on_drop(void *private, void *request_private,
		   admission_reason_t reason)
{
	serve_t *serve = request_private;

	(void)private;
	serve->ticket = NULL;
	finish_soon(serve, ATTEMPT_NOT_RUN, reason_of_admission(reason));
}

static void offer(serve_t *serve)
{
	const attempt_context *context = &serve->context;
	const admission_request_t request = {
		.importance = (int32_t)context->importance,
		.draw = context->draw,
		.customer = context->customer,
		.weight = (int32_t)context->weight,
		.deadline_us = context->deadline,
		.kind = entry_chain_key(context),
		.child = context->depth > 0,
		.private = serve,
	};
	admission_reason_t reason = ADMISSION_REASON_NONE;

	switch (admission_offer(serve->daemon->admission, &request,
				&serve->ticket, &reason)) {
	case ADMISSION_RUN:
		run(serve);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REJECTED:
		serve->ticket = NULL;
		finish_soon(serve, ATTEMPT_NOT_RUN,
			    reason_of_admission(reason));
		break;
	}
}

serve_t *serve_start(cassiad_t *daemon, const leg_spec_t *spec,
		     const leg_ops_t *ops, void *private)
{
	serve_t *serve = talloc_zero(daemon, serve_t);
	const attempt_context *context = spec->context;

	if (!serve)
		return NULL;
	serve->daemon = daemon;
	serve->ops = ops;
	serve->private = private;
	serve->context = *context;
	serve->spec = *spec;
	serve->spec.context = &serve->context;
	serve->soon = tevent_create_immediate(serve);
	if (!serve->soon) {
		talloc_free(serve);
		return NULL;
	}
	for (u_int i = 0; i < context->early.early_len; i++) {
		const attempt_early *early = &context->early.early_val[i];

		admission_note_early(daemon->admission,
				     (int32_t)early->importance,
				     early->customer, early->count);
	}
	serve->context.early.early_len = 0;
	serve->context.early.early_val = NULL;
	if (drain_accepts_upstream_work(daemon->drain))
		offer(serve);
	else
		finish_soon(serve, ATTEMPT_NOT_RUN, REASON_DRAINING);
	return serve;
}

bool serve_cancel(serve_t *serve)
{
	bool sent = false;

	if (serve->call)
		sent = http_call_cancel(serve->call);
	if (serve->ticket)
		admission_cancel(serve->daemon->admission, serve->ticket);
	remove_live_entry(serve, true);
	talloc_free(serve);
	return sent;
}
