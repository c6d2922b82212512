/* HTTP client: starts, sends, pauses, finishes and cancels calls. */
#include "client_internal.h"

#include "cassia/http_error.h"

/* Memory that is allocated at once for a call and its small objects: the fields
 * of the response and the first part of the buffer of its body. What exceeds it
 * is allocated as usual. */
#define CALL_OBJECTS 16
#define CALL_POOL_BYTES 7168

static size_t read_request_body(char *data, size_t size, size_t count,
				void *cls)
{
	http_call_t *call = cls;
	size_t len = http_body_read(call->request_body, data, size * count);

	if (len)
		return len;
	if (!http_body_is_closed(call->request_body)) {
		call->send_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	return http_body_error(call->request_body) ? CURL_READFUNC_ABORT : 0;
}

static void on_request_body_data(void *private)
{
	http_call_t *call = private;

	call->send_paused = false;
	call->resume_pending = true;
	client_add_pending(call);
	transfer_loop_schedule(call->client->transfers);
}

static void on_reply_body_space(void *private)
{
	http_call_t *call = private;

	call->receive_paused = false;
	call->resume_pending = true;
	client_add_pending(call);
	transfer_loop_schedule(call->client->transfers);
}

void call_resume(http_call_t *call)
{
	int paused = 0;

	call->resume_pending = false;
	if (!call->handle)
		return;
	if (call->send_paused)
		paused |= CURLPAUSE_SEND;
	if (call->receive_paused)
		paused |= CURLPAUSE_RECV;
	curl_easy_pause(call->handle->easy, paused);
	if (call->head_ready && !call->head_delivered)
		client_add_pending(call);
	transfer_loop_schedule(call->client->transfers);
}

/* A body that is already complete is sent from memory; any other is streamed
 * on a connection of its own. */
static void set_request_body(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->handle->easy;
	cas_str_t bytes;

	if (spec->body && http_body_is_closed(spec->body)) {
		bytes = http_body_peek(spec->body);
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)bytes.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, bytes.ptr);
		return;
	}
	call->request_body = spec->body;
	call->handle_reusable = false;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)spec->content_length);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_request_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	http_body_on_data(spec->body, on_request_body_data, call);
}

/* Sets an option to a text, which libcurl copies. Returns 0 or HTTP_ENOMEM. */
static int set_text(http_call_t *call, CURLoption option, cas_str_t value)
{
	char *text = talloc_strndup(call, value.ptr, value.len);
	CURLcode code;

	if (!text)
		return HTTP_ENOMEM;
	code = curl_easy_setopt(call->handle->easy, option, text);
	talloc_free(text);
	return code ? HTTP_ENOMEM : 0;
}

/* Returns 0 or HTTP_ENOMEM. */
static int set_method(http_call_t *call, const http_call_spec_t *spec)
{
	if (http_name_equal(spec->method, CAS_STR("HEAD"))) {
		curl_easy_setopt(call->handle->easy, CURLOPT_NOBODY, 1L);
		call->handle_reusable = false;
	} else if (spec->body) {
		set_request_body(call, spec);
	} else if (cas_str_equal(spec->method, CAS_STR("GET"))) {
		/* The method of a handle without options. */
		return 0;
	}
	return set_text(call, CURLOPT_CUSTOMREQUEST, spec->method);
}

/* Converts a timeout to milliseconds, at least 1: libcurl takes 0 as unset. */
static long timeout_ms(int64_t time_us)
{
	return time_us > 1000 ? (long)(time_us / 1000) : 1L;
}

/* Returns 0 or HTTP_ENOMEM. */
static int set_options(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->handle->easy;

	call->address = spec->address;
	call->port = spec->port;
	client_handle_set_server(call->handle, spec->address, spec->port);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 timeout_ms(spec->timeout_us));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 timeout_ms(spec->connect_timeout_us));
	if (spec->new_connection)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	if (client_handle_set_fields(call->handle, spec->headers) ||
	    set_text(call, CURLOPT_REQUEST_TARGET, spec->target))
		return HTTP_ENOMEM;
	return set_method(call, spec);
}

static http_call_t *call_create(http_client_t *client,
				const http_call_ops_t *ops, void *private)
{
	http_call_t *call = talloc_pooled_object(client, http_call_t,
						 CALL_OBJECTS, CALL_POOL_BYTES);

	if (!call)
		return NULL;
	memset(call, 0, sizeof(*call));
	call->client = client;
	call->ops = ops;
	call->private = private;
	call->content_length = -1;
	call->reply_headers = http_headers_create(call);
	call->reply_body = http_body_create(call, HTTP_BODY_BUFFER_BYTES);
	call->handle_reusable = true;
	call->handle = client_handle_take(call);
	if (!call->reply_headers || !call->reply_body || !call->handle) {
		if (call->handle)
			client_handle_release(client, call->handle, false);
		talloc_free(call);
		return NULL;
	}
	http_body_on_space(call->reply_body, on_reply_body_space, call);
	return call;
}

static void call_link(http_call_t *call)
{
	http_client_t *client = call->client;

	call->next = client->calls;
	if (call->next)
		call->next->prev = call;
	client->calls = call;
	client->call_count++;
}

http_call_t *http_call_start(http_client_t *client,
			     const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *private)
{
	http_call_t *call = call_create(client, ops, private);

	if (!call)
		return NULL;
	call->may_send = spec->may_send;
	if (set_options(call, spec)) {
		if (call->request_body)
			http_body_on_data(call->request_body, NULL, NULL);
		client_handle_release(client, call->handle, false);
		talloc_free(call);
		return NULL;
	}
	call_link(call);
	curl_multi_add_handle(transfer_loop_multi(client->transfers),
			      call->handle->easy);
	return call;
}

/* Ends the transfer and unlinks the call from the client without freeing it.
 * whole: the transfer has ended with a whole response. */
static void call_detach(http_call_t *call, bool whole)
{
	http_client_t *client = call->client;

	client_remove_pending(call);
	curl_multi_remove_handle(transfer_loop_multi(client->transfers),
				 call->handle->easy);
	client_handle_release(client, call->handle,
			      whole && call->handle_reusable);
	call->handle = NULL;
	if (call->request_body)
		http_body_on_data(call->request_body, NULL, NULL);
	http_body_on_space(call->reply_body, NULL, NULL);
	if (call->next)
		call->next->prev = call->prev;
	if (call->prev)
		call->prev->next = call->next;
	else
		client->calls = call->next;
	client->call_count--;
}

void call_deliver_head(http_call_t *call)
{
	const http_reply_t reply = call_reply(call);

	if (!call->head_ready || call->head_delivered || !call->ops)
		return;
	call->head_delivered = true;
	call->ops->head(call->private, &reply);
}

/* Starts a call again on a new connection; nothing of it has been sent. libcurl
 * has closed the stale connection. */
static void restart_call(http_call_t *call)
{
	CURLM *multi = transfer_loop_multi(call->client->transfers);
	CURL *easy = call->handle->easy;

	call->stale_connection = false;
	curl_multi_remove_handle(multi, easy);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(multi, easy);
}

void call_finish(http_call_t *call, CURLcode code)
{
	http_result_t result;

	if (call->stale_connection) {
		restart_call(call);
		return;
	}
	result = call_result(call, code);
	call_detach(call, code == CURLE_OK && !result.error);
	http_body_close(call->reply_body, result.error);
	call_deliver_head(call);
	if (call->ops)
		call->ops->done(call->private, &result);
	talloc_free(call);
}

bool http_call_cancel(http_call_t *call)
{
	bool sent = call->send_count > 0;

	call->ops = NULL;
	/* call_finish is running and frees the call. */
	if (!call->handle)
		return sent;
	call_detach(call, false);
	talloc_free(call);
	return sent;
}
