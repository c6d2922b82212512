/* HTTP client: one call from its start to its end. */
#include "client_internal.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Time without acknowledgement after which a connection is given up. */
#define SILENCE_MS 500
/* The same for streamed bodies, where the kernel also counts the time in which
 * the other side has no room for more. */
#define STREAM_SILENCE_MS 10000
#define KEEPALIVE_S 1
/* Upstreams commonly close idle connections after 15 s or more. */
#define IDLE_CONNECTION_S 10L

static int on_socket_made(void *cls, curl_socket_t fd, curlsocktype purpose)
{
	http_call_t *call = cls;
	const int on = 1;
	const int keepalive_s = KEEPALIVE_S;
	const int silence_ms =
		call->request_body ? STREAM_SILENCE_MS : SILENCE_MS;

	(void)purpose;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_s,
		   sizeof(keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_s,
		   sizeof(keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		   sizeof(silence_ms));
	return CURL_SOCKOPT_OK;
}

/* libcurl sends a request again by itself when a reused connection turns out
 * to be dead; the other side may have taken the first one. */
static int on_before_send(void *cls, char *primary_ip, char *local_ip,
			  int primary_port, int local_port)
{
	http_call_t *call = cls;

	(void)primary_ip;
	(void)local_ip;
	(void)primary_port;
	(void)local_port;
	if (call->sends)
		return CURL_PREREQFUNC_ABORT;
	if (call->may_send && !call->may_send(call->private)) {
		call->expired = true;
		return CURL_PREREQFUNC_ABORT;
	}
	call->sends++;
	return CURL_PREREQFUNC_OK;
}

static size_t on_read_body(char *data, size_t size, size_t count, void *cls)
{
	http_call_t *call = cls;
	size_t len = http_pipe_read(call->request_body, data, size * count);

	if (len)
		return len;
	if (!http_pipe_is_closed(call->request_body)) {
		call->send_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	return http_pipe_error(call->request_body) ? CURL_READFUNC_ABORT : 0;
}

static void on_body_data(void *private)
{
	http_call_t *call = private;

	call->send_paused = false;
	call->resume = true;
	back_add_news(call);
	back_act_soon(call->back);
}

static void on_reply_room(void *private)
{
	http_call_t *call = private;

	call->receive_paused = false;
	call->resume = true;
	back_add_news(call);
	back_act_soon(call->back);
}

void call_resume(http_call_t *call)
{
	int paused = 0;

	call->resume = false;
	if (!call->easy)
		return;
	if (call->send_paused)
		paused |= CURLPAUSE_SEND;
	if (call->receive_paused)
		paused |= CURLPAUSE_RECV;
	curl_easy_pause(call->easy, paused);
	if (call->head_ready && !call->head_given)
		back_add_news(call);
	back_act_soon(call->back);
}

static struct curl_slist *add_field(http_call_t *call, struct curl_slist *list,
				    char *text)
{
	struct curl_slist *item = talloc(call, struct curl_slist);

	if (!item || !text)
		return NULL;
	item->data = text;
	item->next = list;
	return item;
}

/* libcurl keeps the list by reference, so it is made in the call's memory.
 * "Name:" takes out a field that libcurl adds by itself; "Name;" sends one
 * with an empty value. */
static int set_fields(http_call_t *call, const http_headers_t *headers)
{
	static const cas_str_t own[] = { { "Accept", 6 },
					 { "Content-Type", 12 } };
	struct curl_slist *list = add_field(call, NULL, "Expect:");

	for (size_t i = 0; list && i < sizeof(own) / sizeof(*own); i++) {
		if (!http_headers_find(headers, own[i]))
			list = add_field(call, list,
					 talloc_asprintf(call, "%.*s:",
							 CAS_STR_ARG(own[i])));
	}
	for (size_t i = headers->count; list && i > 0; i--) {
		const http_header_t *header = &headers->items[i - 1];
		const char *format = header->value.len ? "%.*s: %.*s" : "%.*s;";

		list = add_field(call, list,
				 talloc_asprintf(call, format,
						 CAS_STR_ARG(header->name),
						 CAS_STR_ARG(header->value)));
	}
	call->fields = list;
	return list ? 0 : -1;
}

static void set_request_body(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->easy;
	cas_str_t ready;

	if (spec->body && http_pipe_is_closed(spec->body)) {
		ready = http_pipe_peek(spec->body);
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)ready.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, ready.ptr);
		return;
	}
	call->request_body = spec->body;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)spec->content_length);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	http_pipe_on_data(spec->body, on_body_data, call);
}

static void set_method(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->easy;
	char *method = talloc_strndup(call, spec->method.ptr, spec->method.len);

	if (http_name_equal(spec->method, CAS_STR("HEAD")))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else if (spec->body)
		set_request_body(call, spec);
	else
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

static long milliseconds(int64_t time_us)
{
	return time_us > 1000 ? (long)(time_us / 1000) : 1L;
}

static void set_limits(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 milliseconds(spec->timeout_us));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 milliseconds(spec->connect_timeout_us));
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_S);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_made);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
}

static void set_target(http_call_t *call, const http_call_spec_t *spec)
{
	char address[INET_ADDRSTRLEN];
	char url[INET_ADDRSTRLEN + 24];
	char *target = talloc_strndup(call, spec->target.ptr, spec->target.len);

	inet_ntop(AF_INET, &spec->address, address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s:%u/", address, spec->port);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_REQUEST_TARGET, target);
}

static void set_callbacks(http_call_t *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->fields);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, reply_on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, reply_on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

static CURL *take_handle(http_back_t *back)
{
	return back->idle_count ? back->idle[--back->idle_count]
				: curl_easy_init();
}

static void release_handle(http_back_t *back, CURL *easy)
{
	curl_easy_reset(easy);
	if (back->idle_count < BACK_IDLE_HANDLES)
		back->idle[back->idle_count++] = easy;
	else
		curl_easy_cleanup(easy);
}

static http_call_t *call_create(http_back_t *back, const http_call_ops_t *ops,
				void *private)
{
	http_call_t *call = talloc_zero(back, http_call_t);

	if (!call)
		return NULL;
	call->back = back;
	call->ops = ops;
	call->private = private;
	call->content_length = -1;
	call->headers = http_headers_create(call);
	call->pipe = http_pipe_create(call, HTTP_PIPE_LIMIT);
	call->easy = take_handle(back);
	if (!call->headers || !call->pipe || !call->easy) {
		talloc_free(call);
		return NULL;
	}
	http_pipe_on_room(call->pipe, on_reply_room, call);
	return call;
}

static void call_link(http_call_t *call)
{
	http_back_t *back = call->back;

	call->next = back->calls;
	if (call->next)
		call->next->prev = call;
	back->calls = call;
	back->call_count++;
}

http_call_t *http_call_start(http_back_t *back, const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *private)
{
	http_call_t *call = call_create(back, ops, private);

	if (!call)
		return NULL;
	call->may_send = spec->may_send;
	if (set_fields(call, spec->headers)) {
		release_handle(back, call->easy);
		talloc_free(call);
		return NULL;
	}
	set_target(call, spec);
	set_method(call, spec);
	set_limits(call, spec);
	if (spec->fresh)
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	set_callbacks(call);
	call_link(call);
	curl_multi_add_handle(back->multi, call->easy);
	return call;
}

/* Ends the transfer; the call itself stays. */
static void call_detach(http_call_t *call)
{
	http_back_t *back = call->back;

	back_remove_news(call);
	curl_multi_remove_handle(back->multi, call->easy);
	release_handle(back, call->easy);
	call->easy = NULL;
	if (call->request_body)
		http_pipe_on_data(call->request_body, NULL, NULL);
	http_pipe_on_room(call->pipe, NULL, NULL);
	if (call->next)
		call->next->prev = call->prev;
	if (call->prev)
		call->prev->next = call->next;
	else
		back->calls = call->next;
	back->call_count--;
}

void call_give_head(http_call_t *call)
{
	const http_reply_t reply = reply_of(call);

	if (!call->head_ready || call->head_given || !call->ops)
		return;
	call->head_given = true;
	call->ops->head(call->private, &reply);
}

void call_finish(http_call_t *call, CURLcode code)
{
	http_result_t result = reply_result(call, code);

	call_detach(call);
	http_pipe_close(call->pipe, result.error);
	call_give_head(call);
	if (call->ops)
		call->ops->done(call->private, &result);
	talloc_free(call);
}

bool http_call_cancel(http_call_t *call)
{
	bool sent = call->sends > 0;

	call->ops = NULL;
	/* A call that is being finished is freed by call_finish. */
	if (!call->easy)
		return sent;
	call_detach(call);
	talloc_free(call);
	return sent;
}
