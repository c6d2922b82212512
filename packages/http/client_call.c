/* HTTP client: starts, sends, pauses, finishes and cancels calls. */
#include "client_internal.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Time without TCP acknowledgement after which a connection is dropped. */
#define ACK_TIMEOUT_MS 500
/* The same while a request body is streamed. It is longer because the kernel
 * also counts the time during which the server's receive window is full. */
#define STREAM_ACK_TIMEOUT_MS 10000
/* TCP keepalive: idle time before the first probe and interval of probes. */
#define KEEPALIVE_INTERVAL_S 1
/* Idle connections are not reused after this time. Upstreams commonly close
 * them after 15 s or more. */
#define IDLE_CONNECTION_MAX_S 10L

/* Lets the kernel detect a dead connection. */
static int on_socket_created(void *cls, curl_socket_t fd, curlsocktype purpose)
{
	http_call_t *call = cls;
	const int on = 1;
	const int interval_s = KEEPALIVE_INTERVAL_S;
	const int ack_timeout_ms =
		call->request_body ? STREAM_ACK_TIMEOUT_MS : ACK_TIMEOUT_MS;

	(void)purpose;
	call->fd = fd;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
		   sizeof(ack_timeout_ms));
	return CURL_SOCKOPT_OK;
}

/* Called by libcurl when the connection is ready, before the request is sent.
 * Prevents a second sending: libcurl retries a request automatically when a
 * reused connection turns out to be dead, although the server may have received
 * the first one. */
static int on_before_send(void *cls, char *primary_ip, char *local_ip,
			  int primary_port, int local_port)
{
	http_call_t *call = cls;

	(void)primary_ip;
	(void)local_ip;
	(void)primary_port;
	if (call->send_count)
		return CURL_PREREQFUNC_ABORT;
	if (!client_conn_is_clean(call, (uint16_t)local_port)) {
		call->stale_connection = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (call->may_send && !call->may_send(call->private)) {
		call->send_refused = true;
		return CURL_PREREQFUNC_ABORT;
	}
	call->send_count++;
	return CURL_PREREQFUNC_OK;
}

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
	client_schedule_action(call->client);
}

static void on_reply_body_space(void *private)
{
	http_call_t *call = private;

	call->receive_paused = false;
	call->resume_pending = true;
	client_add_pending(call);
	client_schedule_action(call->client);
}

void call_resume(http_call_t *call)
{
	int paused = 0;

	call->resume_pending = false;
	if (!call->easy)
		return;
	if (call->send_paused)
		paused |= CURLPAUSE_SEND;
	if (call->receive_paused)
		paused |= CURLPAUSE_RECV;
	curl_easy_pause(call->easy, paused);
	if (call->head_ready && !call->head_delivered)
		client_add_pending(call);
	client_schedule_action(call->client);
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

/* Sets the list of header fields. libcurl keeps a reference to it, so it is
 * allocated from the call. "Name:" removes a field that libcurl adds by
 * default; "Name;" sends a field with an empty value. */
static int set_fields(http_call_t *call, const http_headers_t *headers)
{
	static const cas_str_t default_fields[] = { { "Accept", 6 },
						    { "Content-Type", 12 } };
	struct curl_slist *list = add_field(call, NULL, "Expect:");

	for (size_t i = 0;
	     list && i < sizeof(default_fields) / sizeof(*default_fields);
	     i++) {
		if (!http_headers_find(headers, default_fields[i]))
			list = add_field(
				call, list,
				talloc_asprintf(
					call, "%.*s:",
					CAS_STR_ARG(default_fields[i])));
	}
	for (size_t i = headers->count; list && i > 0; i--) {
		const http_header_t *header = &headers->items[i - 1];
		const char *format = header->value.len ? "%.*s: %.*s" : "%.*s;";

		list = add_field(call, list,
				 talloc_asprintf(call, format,
						 CAS_STR_ARG(header->name),
						 CAS_STR_ARG(header->value)));
	}
	call->request_fields = list;
	return list ? 0 : -1;
}

/* A body that is already complete is sent from memory; any other is streamed
 * on a connection of its own. */
static void set_request_body(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->easy;
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
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)spec->content_length);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_request_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	http_body_on_data(spec->body, on_request_body_data, call);
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

/* Converts a timeout to milliseconds, at least 1: libcurl takes 0 as unset. */
static long timeout_ms(int64_t time_us)
{
	return time_us > 1000 ? (long)(time_us / 1000) : 1L;
}

static void set_limits(http_call_t *call, const http_call_spec_t *spec)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 timeout_ms(spec->timeout_us));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 timeout_ms(spec->connect_timeout_us));
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, client_conn_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->client);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
}

static void set_target(http_call_t *call, const http_call_spec_t *spec)
{
	char address[INET_ADDRSTRLEN];
	char url[INET_ADDRSTRLEN + 24];
	char *target = talloc_strndup(call, spec->target.ptr, spec->target.len);

	call->address = spec->address;
	call->port = spec->port;
	inet_ntop(AF_INET, &spec->address, address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s:%u/", address, spec->port);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_REQUEST_TARGET, target);
}

static void set_callbacks(http_call_t *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->request_fields);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, reply_on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, reply_on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

static CURL *take_handle(http_client_t *client)
{
	return client->idle_handle_count
		       ? client->idle_handles[--client->idle_handle_count]
		       : curl_easy_init();
}

static void release_handle(http_client_t *client, CURL *easy)
{
	curl_easy_reset(easy);
	if (client->idle_handle_count < CLIENT_IDLE_HANDLES_MAX)
		client->idle_handles[client->idle_handle_count++] = easy;
	else
		curl_easy_cleanup(easy);
}

static http_call_t *call_create(http_client_t *client,
				const http_call_ops_t *ops, void *private)
{
	http_call_t *call = talloc_zero(client, http_call_t);

	if (!call)
		return NULL;
	call->client = client;
	call->ops = ops;
	call->private = private;
	call->content_length = -1;
	call->reply_headers = http_headers_create(call);
	call->reply_body = http_body_create(call, HTTP_BODY_BUFFER_BYTES);
	call->easy = take_handle(client);
	if (!call->reply_headers || !call->reply_body || !call->easy) {
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
	if (set_fields(call, spec->headers)) {
		release_handle(client, call->easy);
		talloc_free(call);
		return NULL;
	}
	set_target(call, spec);
	set_method(call, spec);
	set_limits(call, spec);
	if (spec->new_connection)
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	set_callbacks(call);
	call_link(call);
	curl_multi_add_handle(client->multi, call->easy);
	return call;
}

/* Ends the transfer and unlinks the call from the client without freeing it. */
static void call_detach(http_call_t *call)
{
	http_client_t *client = call->client;

	client_remove_pending(call);
	curl_multi_remove_handle(client->multi, call->easy);
	release_handle(client, call->easy);
	call->easy = NULL;
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
	CURLM *multi = call->client->multi;

	call->stale_connection = false;
	curl_multi_remove_handle(multi, call->easy);
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(multi, call->easy);
}

void call_finish(http_call_t *call, CURLcode code)
{
	http_result_t result;

	if (call->stale_connection) {
		restart_call(call);
		return;
	}
	result = call_result(call, code);
	call_detach(call);
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
	if (!call->easy)
		return sent;
	call_detach(call);
	talloc_free(call);
	return sent;
}
