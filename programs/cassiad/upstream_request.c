/* Requests to the upstream of this host, from admission to the outcome. */
#include "upstream_request.h"

#include "cassia/http_error.h"
#include "cassia/log.h"
#include "child_calls.h"
#include "crash_watch.h"
#include "entry.h"
#include "stated_leaving.h"
#include "stats.h"
#include "stop.h"
#include "upstream_gate.h"
#include "upstream_rate.h"
#include "warm_up_watch.h"

/* Memory that is allocated at once for a request and its small objects, such as
 * the header fields that are sent to the upstream. */
#define REQUEST_OBJECTS 8
#define REQUEST_POOL_BYTES 2048

struct upstream_request {
	cassiad_t *daemon;
	const call_attempt_ops_t *ops;
	void *private;
	attempt_context context;
	call_attempt_spec_t spec;
	admission_ticket_t *ticket; /* NULL unless queued or running */
	attempt_live_entry_t *live_entry; /* NULL unless at the upstream */
	http_call_t *call; /* to the upstream */
	struct tevent_immediate *finish_event; /* calls finish_request */
	call_attempt_result_t result;
	bool head_delivered; /* ops->head was called */
	bool shed_by_upstream; /* the response says that it has not run */
	int upstream_status; /* of the response, 0: none yet */
	crash_waiter_t crash_waiter; /* in the list while the outcome waits */
};

#define HTTP_SERVER_ERROR_MIN 500

static const http_call_ops_t upstream_ops;

/* Removes the handle, so that it no longer admits child calls, and detaches the
 * running ones. Calls that were only linked by their ids are not cancelled: the
 * upstream ends them itself. */
static void remove_live_entry(upstream_request_t *request, bool cancel_children)
{
	if (!request->live_entry)
		return;
	child_calls_detach(request->live_entry,
			   cancel_children &&
				   request->daemon->profile->handle.len);
	TALLOC_FREE(request->live_entry);
	request->daemon->upstream_running--;
}

/* Returns the id that the upstream receives and may repeat in its response. The
 * result borrows from the request or from text. */
static cas_str_t request_id_of(const upstream_request_t *request,
			       char text[ATTEMPT_ID_TEXT_BYTES])
{
	const http_profile_t *profile = request->daemon->profile;

	if (profile->clients_choose_id)
		return http_headers_value(request->spec.headers,
					  profile->request_id);
	attempt_format_id(request->context.root, text);
	return cas_str_from_cstr(text);
}

/* Returns the handle of a request that is at the upstream. The result borrows
 * from text. */
static cas_str_t handle_of(const upstream_request_t *request,
			   char text[ATTEMPT_ID_TEXT_BYTES])
{
	attempt_format_id(request->live_entry->handle, text);
	return cas_str_from_cstr(text);
}

/* Logs a request that the upstream did not serve, with the state of admission
 * that explains the outcome. */
static void log_unserved(const upstream_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	const call_attempt_result_t *result = &request->result;
	char text[ATTEMPT_ID_TEXT_BYTES];
	char digest[CRASH_DIGEST_TEXT_BYTES];

	if (result->outcome == ATTEMPT_SERVED || !stats_allow_log_line(daemon))
		return;
	crash_watch_format_digest(request->crash_waiter.digest, digest);
	cas_log(CAS_LOG_INFO, "upstream_attempt",
		CAS_LOG_STR("id", request_id_of(request, text)),
		CAS_LOG_CSTR("outcome", stats_outcome_name(result->outcome)),
		CAS_LOG_CSTR("reason", reason_name(result->reason)),
		CAS_LOG_INT("error", result->error),
		CAS_LOG_CSTR("digest", digest),
		CAS_LOG_INT("importance", request->context.importance),
		CAS_LOG_INT("left_us", request->context.deadline -
					       cas_clock_now(daemon->clock)),
		CAS_LOG_INT("limit", admission_limit(daemon->admission)),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
}

/* The counter is made with the first refusal, so that it exists only where
 * regions are limited. */
static void count_region_refusal(const upstream_request_t *request)
{
	if (request->result.reason == REASON_REGION)
		cas_metrics_increment(request->daemon->metrics,
				      "cassia_region_refused_total", "");
}

/* Returns when a request that was refused for lack of capacity can be expected
 * to be admitted, 0: not given. */
static int64_t retry_after_ms(const upstream_request_t *request)
{
	const attempt_context *context = &request->context;
	int64_t wait_us;

	if (request->result.reason == REASON_QUARANTINED)
		return quarantine_blocked_us(request->daemon->quarantine,
					     request->crash_waiter.digest) /
		       CAS_USEC_PER_MSEC;
	if (!daemon_hosts_are_shared(request->daemon) ||
	    request->result.outcome != ATTEMPT_NOT_RUN ||
	    request->result.reason != REASON_SHED)
		return 0;
	wait_us = admission_retry_after_us(request->daemon->admission,
					   (int32_t)context->importance,
					   context->customer);
	return wait_us / CAS_USEC_PER_MSEC;
}

static upstream_gate_query_t gate_query(const upstream_request_t *request)
{
	return (upstream_gate_query_t){
		.context = &request->context,
		.digest = request->crash_waiter.digest,
		.request = request,
	};
}

/* Ends the isolation if it is that of the request. */
static void release_isolation(const upstream_request_t *request)
{
	if (request->daemon->isolated_request == request)
		request->daemon->isolated_request = NULL;
}

/* Checks the gate, and isolates a suspect that may be sent. */
static reason_t enter_gate(upstream_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	const upstream_gate_query_t query = gate_query(request);
	reason_t reason = upstream_gate_check(daemon, &query);

	if (reason != REASON_NONE ||
	    quarantine_check(daemon->quarantine, query.digest) ==
		    QUARANTINE_FREE)
		return reason;
	daemon->isolated_request = request;
	request->crash_waiter.isolated = true;
	return REASON_NONE;
}

static void finish_request(upstream_request_t *request)
{
	call_attempt_result_t *result = &request->result;

	release_isolation(request);
	count_region_refusal(request);
	log_unserved(request);
	upstream_request_fill_outcome(
		request->daemon, &request->context, request->live_entry,
		result->outcome, result->reason, reason_status(result->reason),
		&result->report);
	result->has_report = true;
	if (!result->report.retry_after_ms)
		result->report.retry_after_ms = (u_int)retry_after_ms(request);
	result->retry_after_ms = result->report.retry_after_ms;
	remove_live_entry(request, result->outcome != ATTEMPT_SERVED);
	request->ops->done(request->private, result);
	talloc_free(request);
}

static void on_finish_event(struct tevent_context *ev,
			    struct tevent_immediate *im, void *private)
{
	(void)ev;
	(void)im;
	finish_request(private);
}

/* Finishes the request from the event loop, so that no callback is called from
 * inside upstream_request_start or the callbacks of admission. */
static void schedule_finish(upstream_request_t *request, uint32_t outcome,
			    reason_t reason)
{
	request->result.outcome = outcome;
	request->result.reason = reason;
	tevent_schedule_immediate(request->finish_event, request->daemon->ev,
				  on_finish_event, request);
}

static admission_result_t admission_result_of(const upstream_request_t *request,
					      const http_result_t *result)
{
	if (request->shed_by_upstream || request->upstream_status == 503)
		return ADMISSION_SHED_BY_UPSTREAM;
	if (result->error == HTTP_EEXPIRED)
		return ADMISSION_CANCELLED;
	return result->error ? ADMISSION_FAILED : ADMISSION_OK;
}

static bool before_deadline(const upstream_request_t *request)
{
	return cas_clock_now(request->daemon->clock) <
	       request->context.deadline;
}

/* Returns why may_send refused a request before its deadline. The cause may
 * have ended since; only a closed upstream opens again that soon. */
static reason_t refused_by_gate(const upstream_request_t *request)
{
	const upstream_gate_query_t query = gate_query(request);
	reason_t reason = upstream_gate_check(request->daemon, &query);

	return reason == REASON_NONE || reason == REASON_DEADLINE
		       ? REASON_DRAINING
		       : reason;
}

static void set_failure(upstream_request_t *request,
			const http_result_t *result)
{
	request->result.error = result->error;
	request->result.outcome =
		result->sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
	if (result->error == HTTP_EEXPIRED && before_deadline(request))
		request->result.reason = refused_by_gate(request);
	else if (result->error == HTTP_EEXPIRED ||
		 result->error == HTTP_ETIMEOUT)
		request->result.reason = REASON_DEADLINE;
	else if (result->error == HTTP_ECROSSED)
		request->result.reason = REASON_CROSSED;
	else if (!result->sent)
		request->result.reason = REASON_NO_UPSTREAM;
	else
		request->result.reason = REASON_UPSTREAM_FAILED;
}

/* Time spent in child calls must not count as latency of this upstream. Child
 * calls are still running if the private pointer of the entry is set. */
static void report_child_time(upstream_request_t *request)
{
	int64_t child_us = request->live_entry->child_total_us;

	if (request->live_entry->private)
		child_us += cas_clock_now(request->daemon->clock) -
			    request->live_entry->child_period_started_us;
	if (child_us > 0)
		admission_add_child_time(request->ticket, child_us);
}

/* Returns whether a failure may be due to the upstream: neither the deadline,
 * which may pass while a connection is opened, nor a body that its client did
 * not send whole is a sign that the upstream has restarted. */
static bool may_be_upstream_fault(const upstream_request_t *request,
				  const http_result_t *result)
{
	return !result->timed_out &&
	       (!request->spec.body || !http_body_error(request->spec.body));
}

static void on_crash_known(crash_waiter_t *waiter, bool crashed)
{
	upstream_request_t *request =
		(void *)((char *)waiter -
			 offsetof(upstream_request_t, crash_waiter));

	if (crashed)
		request->result.reason = REASON_UPSTREAM_CRASHED;
	finish_request(request);
}

/* Returns whether the upstream may have crashed while it ran the request. One
 * that has begun to respond is not taken for the cause. libcurl connects again
 * after a reset of a kept connection, and then reports that it could not. */
static bool may_have_met_crash(const upstream_request_t *request,
			       const http_result_t *result)
{
	return result->sent && !request->head_delivered &&
	       (result->error == HTTP_ERESET || result->error == HTTP_ECONNECT);
}

static void on_done(void *private, const http_result_t *result)
{
	upstream_request_t *request = private;
	admission_ticket_t *ticket = request->ticket;
	admission_result_t admission_result =
		admission_result_of(request, result);

	if (may_be_upstream_fault(request, result)) {
		warm_up_watch_call(request->daemon, result->error);
		upstream_rate_call(request->daemon, result->error);
	}
	report_child_time(request);
	request->call = NULL;
	request->ticket = NULL;
	if (request->shed_by_upstream) {
		request->result.outcome = ATTEMPT_NOT_RUN;
		request->result.reason =
			admission_has_free_slot(request->daemon->admission)
				? REASON_REJECTED
				: REASON_SHED;
	} else if (result->error) {
		set_failure(request, result);
	}
	if (!result->error && !request->shed_by_upstream &&
	    request->upstream_status < HTTP_SERVER_ERROR_MIN)
		quarantine_note_served(request->daemon->quarantine,
				       request->crash_waiter.digest);
	admission_finish(request->daemon->admission, ticket, admission_result);
	if (may_be_upstream_fault(request, result) &&
	    may_have_met_crash(request, result))
		crash_watch_add(request->daemon, &request->crash_waiter);
	else
		finish_request(request);
}

static bool belongs_to_request(void *private, const http_reply_t *reply)
{
	const upstream_request_t *request = private;
	const http_profile_t *profile = request->daemon->profile;
	char id_text[ATTEMPT_ID_TEXT_BYTES];
	char handle_text[ATTEMPT_ID_TEXT_BYTES];
	const http_profile_request_t sent = {
		.id = request_id_of(request, id_text),
		.handle = handle_of(request, handle_text),
		.first_on_connection =
			http_call_is_first_on_connection(request->call),
	};

	if (!http_profile_is_response_to(profile, reply->status, reply->headers,
					 &sent))
		return false;
	/* A retry may send the same id to this upstream again, so that the id
	 * would not tell a repetition of this refusal from the next response. */
	if (!profile->handle.len &&
	    profile->is_not_run(reply->status, reply->headers))
		http_call_close_connection(request->call);
	return true;
}

/* Nobody reads the body of a refusal. A call whose client may not be able to
 * buffer it whole is ended, so that it does not wait for its deadline. */
static void on_refusal(upstream_request_t *request, const http_reply_t *reply)
{
	const http_result_t result = { .sent = true };

	request->shed_by_upstream = true;
	if (http_body_is_closed(reply->body) ||
	    (reply->content_length >= 0 &&
	     reply->content_length <= HTTP_BODY_BUFFER_BYTES))
		return;
	http_call_cancel(request->call);
	on_done(request, &result);
}

/* Returns the upstream instance that the request is for, 0: not known. The host
 * list may have named another one since the request was sent. */
static cas_id_t instance_of(const upstream_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	cas_str_t instance = http_headers_value(request->spec.headers,
						daemon->profile->instance);

	return instance.len ? cas_id_of(instance)
			    : stated_leaving_instance_on(
				      daemon, daemon->settings->host_id);
}

static void on_head(void *private, const http_reply_t *reply)
{
	upstream_request_t *request = private;
	bool not_run = request->daemon->profile->is_not_run(reply->status,
							    reply->headers);
	attempt_outcome report;

	request->upstream_status = reply->status;
	warm_up_watch_load(request->daemon, reply->headers);
	upstream_rate_read(request->daemon, reply->headers, not_run);
	if (stated_leaving_is_in(request->daemon, reply->headers))
		stated_leaving_note(request->daemon, instance_of(request),
				    request->daemon->settings->host_id);
	if (not_run) {
		on_refusal(request, reply);
		return;
	}
	request->head_delivered = true;
	upstream_request_fill_outcome(request->daemon, &request->context,
				      request->live_entry, ATTEMPT_SERVED,
				      REASON_NONE, reply->status, &report);
	/* The unspent retry units were returned with the report. */
	request->live_entry->budget.left = 0;
	request->ops->head(request->private, reply, &report);
}

static const http_call_ops_t upstream_ops = {
	.matches_request = belongs_to_request,
	.head = on_head,
	.done = on_done,
};

/* Asked again when the connection is ready: the upstream may have been closed
 * while it was opened. */
static bool may_send(void *private)
{
	return enter_gate(private) == REASON_NONE;
}

static int add_id_and_handle(upstream_request_t *request,
			     http_headers_t *headers)
{
	const http_profile_t *profile = request->daemon->profile;
	char text[ATTEMPT_ID_TEXT_BYTES];
	int error = 0;

	if (!profile->clients_choose_id)
		error = http_headers_add(
			headers, profile->request_id,
			cas_str_dup(headers, request_id_of(request, text)));
	if (error || !profile->handle.len)
		return error;
	return http_headers_add(headers, profile->handle,
				cas_str_dup(headers, handle_of(request, text)));
}

static int add_daemon_headers(upstream_request_t *request,
			      http_headers_t *headers)
{
	int64_t left_us = request->context.deadline -
			  cas_clock_now(request->daemon->clock);
	int error = add_id_and_handle(request, headers);

	if (error)
		return error;
	return http_headers_add_int(
		headers, request,
		request->daemon->profile->upstream_deadline_ms.ptr,
		left_us / CAS_USEC_PER_MSEC);
}

static int call_upstream(upstream_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	http_headers_t *headers = http_headers_create(request);
	const http_call_spec_t spec = {
		.address = daemon->settings->upstream.address,
		.port = daemon->settings->upstream.port,
		.method = request->spec.method,
		.target = request->spec.target,
		.headers = headers,
		.body = request->spec.body,
		.content_length = request->spec.content_length,
		.timeout_us = request->context.deadline -
			      cas_clock_now(daemon->clock),
		.connect_timeout_us = CAS_USEC_PER_SEC,
		.may_send = may_send,
	};

	if (!headers || http_headers_forward(headers, request->spec.headers) ||
	    add_daemon_headers(request, headers))
		return HTTP_ENOMEM;
	request->call = http_call_start(daemon->upstream_client, &spec,
					&upstream_ops, request);
	talloc_free(headers);
	return request->call ? 0 : HTTP_ENOMEM;
}

/* Finishes an admitted request without sending it. */
static void abandon(upstream_request_t *request, reason_t reason)
{
	admission_ticket_t *ticket = request->ticket;

	request->ticket = NULL;
	schedule_finish(request, ATTEMPT_NOT_RUN, reason);
	admission_finish(request->daemon->admission, ticket,
			 ADMISSION_CANCELLED);
}

static void start_call(upstream_request_t *request)
{
	cassiad_t *daemon = request->daemon;
	char id_text[ATTEMPT_ID_TEXT_BYTES];
	/* It may have waited in the queue since it was accepted. */
	reason_t reason = enter_gate(request);

	if (reason == REASON_NONE &&
	    !stop_has_time(daemon, &request->context, 0))
		reason = REASON_DRAINING;
	if (reason != REASON_NONE) {
		abandon(request, reason);
		return;
	}
	request->live_entry =
		attempt_live_add(daemon->live_requests, &request->context,
				 request_id_of(request, id_text));
	if (!request->live_entry) {
		abandon(request, REASON_OVERLOADED);
		return;
	}
	daemon->upstream_running++;
	if (call_upstream(request))
		abandon(request, REASON_OVERLOADED);
}

void upstream_request_on_run(void *private, admission_ticket_t *ticket,
			     void *request_private)
{
	upstream_request_t *request = request_private;

	(void)private;
	request->ticket = ticket;
	start_call(request);
}

static reason_t reason_of_admission(admission_reason_t reason)
{
	switch (reason) {
	case ADMISSION_REASON_DEADLINE:
		return REASON_DEADLINE;
	case ADMISSION_REASON_STOPPED:
		return REASON_DRAINING;
	case ADMISSION_REASON_WARMING_UP:
		return REASON_WARMING_UP;
	case ADMISSION_REASON_RATE:
		return REASON_UPSTREAM_RATE;
	case ADMISSION_REASON_MEMORY:
		return REASON_OVERLOADED;
	default:
		return REASON_SHED;
	}
}

void upstream_request_on_drop(void *private, void *request_private,
			      admission_reason_t reason)
{
	upstream_request_t *request = request_private;

	(void)private;
	request->ticket = NULL;
	schedule_finish(request, ATTEMPT_NOT_RUN, reason_of_admission(reason));
}

/* Returns until when a response has its full value, 0: not known. A deadline that
 * comes first takes its place. */
static int64_t objective_us(const upstream_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	const attempt_context *context = &request->context;
	const table_route_t *route =
		daemon->table ? table_find_route(daemon->table, context->route)
			      : NULL;
	int64_t objective;

	if (!route || !route->objective_ms || !daemon_hosts_are_shared(daemon))
		return 0;
	objective = cas_clock_now(daemon->clock) +
		    route->objective_ms * CAS_USEC_PER_MSEC;
	return objective < context->deadline ? objective : context->deadline;
}

static void offer_to_admission(upstream_request_t *request)
{
	const attempt_context *context = &request->context;
	const admission_request_t admission_request = {
		.importance = (int32_t)context->importance,
		.draw = context->draw,
		.customer = context->customer,
		.weight = (int32_t)context->weight,
		.deadline_us = context->deadline,
		.objective_us = objective_us(request),
		.kind = entry_chain_key(context),
		.child = context->depth > 0,
		.private = request,
	};
	admission_reason_t reason = ADMISSION_REASON_NONE;

	switch (admission_offer(request->daemon->admission, &admission_request,
				&request->ticket, &reason)) {
	case ADMISSION_RUN:
		start_call(request);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REJECTED:
		request->ticket = NULL;
		schedule_finish(request, ATTEMPT_NOT_RUN,
				reason_of_admission(reason));
		break;
	}
}

upstream_request_t *upstream_request_start(cassiad_t *daemon,
					   const call_attempt_spec_t *spec,
					   const call_attempt_ops_t *ops,
					   void *private)
{
	upstream_request_t *request =
		talloc_pooled_object(daemon, upstream_request_t,
				     REQUEST_OBJECTS, REQUEST_POOL_BYTES);
	const attempt_context *context = spec->context;
	upstream_gate_query_t query;
	reason_t reason;

	if (!request)
		return NULL;
	memset(request, 0, sizeof(*request));
	request->daemon = daemon;
	request->ops = ops;
	request->private = private;
	request->context = *context;
	request->spec = *spec;
	request->spec.context = &request->context;
	request->finish_event = tevent_create_immediate(request);
	if (!request->finish_event) {
		talloc_free(request);
		return NULL;
	}
	upstream_request_count_early(daemon, &request->context);
	request->crash_waiter.done = on_crash_known;
	request->crash_waiter.digest = crash_watch_digest(
		daemon, context->customer, spec->method, spec->target,
		spec->body, spec->content_length);
	query = gate_query(request);
	reason = upstream_gate_check(daemon, &query);
	/* Admission counts the requests whose deadline has passed. */
	if (reason == REASON_NONE || reason == REASON_DEADLINE)
		offer_to_admission(request);
	else
		schedule_finish(request, ATTEMPT_NOT_RUN, reason);
	return request;
}

bool upstream_request_cancel(upstream_request_t *request)
{
	bool sent = false;

	if (request->call)
		sent = http_call_cancel(request->call);
	if (request->ticket)
		admission_cancel(request->daemon->admission, request->ticket);
	if (request->crash_waiter.next)
		sent = true;
	crash_watch_remove(&request->crash_waiter);
	release_isolation(request);
	remove_live_entry(request, true);
	talloc_free(request);
	return sent;
}
