/*
 * HTTP client: easy handles of libcurl. Their constant options are set once, so
 * that a call sets only its own. A handle is used again only after a call that
 * ended with a whole response and had no streamed body: then nothing of the call
 * is left in it but options that reset_call_options sets back.
 */
#include "client_internal.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "cassia/http_error.h"

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
/* Room for "http://", an IPv4 address and a port. */
#define URL_BYTES (INET_ADDRSTRLEN + 24)
/* Initial size of the text of the request header. */
#define TEXT_INITIAL_BYTES 1024
/* A handle with more text than this is not kept. */
#define TEXT_KEPT_MAX_BYTES ((size_t)16 * 1024)

/* Lets the kernel detect a dead connection. */
static int on_socket_created(void *cls, curl_socket_t fd, curlsocktype purpose)
{
	client_handle_t *handle = cls;
	http_call_t *call = handle->call;
	const int on = 1;
	const int interval_s = KEEPALIVE_INTERVAL_S;
	const int ack_timeout_ms =
		call->request_body ? STREAM_ACK_TIMEOUT_MS : ACK_TIMEOUT_MS;

	(void)purpose;
	transfer_loop_socket_opened(call->client->transfers, fd);
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
	client_handle_t *handle = cls;
	http_call_t *call = handle->call;

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

static void set_constant_options(http_client_t *client, client_handle_t *handle)
{
	CURL *easy = handle->easy;

	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, handle);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, handle);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, client_conn_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, client);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, handle);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, reply_on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, handle);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, reply_on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, handle);
}

static int handle_destroy(client_handle_t *handle)
{
	curl_easy_cleanup(handle->easy);
	return 0;
}

static client_handle_t *handle_create(http_client_t *client)
{
	client_handle_t *handle = talloc_zero(client, client_handle_t);

	if (!handle)
		return NULL;
	handle->easy = curl_easy_init();
	talloc_set_destructor(handle, handle_destroy);
	handle->text = talloc_array(handle, char, TEXT_INITIAL_BYTES);
	if (!handle->easy || !handle->text) {
		talloc_free(handle);
		return NULL;
	}
	set_constant_options(client, handle);
	return handle;
}

client_handle_t *client_handle_take(http_call_t *call)
{
	http_client_t *client = call->client;
	client_handle_t *handle;

	if (client->idle_handle_count)
		handle = client->idle_handles[--client->idle_handle_count];
	else
		handle = handle_create(client);
	if (handle)
		handle->call = call;
	return handle;
}

/* Sets the options of a call back, except for those that every call sets. */
static void reset_call_options(client_handle_t *handle)
{
	CURL *easy = handle->easy;

	/* CURLOPT_POSTFIELDS also sets the method, so it comes first. */
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, NULL);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)-1);
	curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, NULL);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 0L);
}

void client_handle_release(http_client_t *client, client_handle_t *handle,
			   bool reusable)
{
	handle->call = NULL;
	if (!reusable || client->idle_handle_count == CLIENT_IDLE_HANDLES_MAX ||
	    talloc_get_size(handle->text) > TEXT_KEPT_MAX_BYTES) {
		talloc_free(handle);
		return;
	}
	reset_call_options(handle);
	client->idle_handles[client->idle_handle_count++] = handle;
}

void client_handle_set_server(client_handle_t *handle, struct in_addr address,
			      uint16_t port)
{
	char text[INET_ADDRSTRLEN];
	char url[URL_BYTES];

	if (handle->address.s_addr == address.s_addr && handle->port == port)
		return;
	inet_ntop(AF_INET, &address, text, sizeof(text));
	snprintf(url, sizeof(url), "http://%s:%u/", text, port);
	curl_easy_setopt(handle->easy, CURLOPT_URL, url);
	handle->address = address;
	handle->port = port;
}

/* libcurl keeps references to the header fields, so they are written after the
 * size of all of them is known. "Name:" removes a field that libcurl adds by
 * default; "Name;" sends a field with an empty value. */
static const char *const removed_fields[] = { "Expect:", "Accept:",
					      "Content-Type:" };
#define REMOVED_FIELDS (sizeof(removed_fields) / sizeof(*removed_fields))

/* Bytes that a field takes besides its name and value: ": " and the end. */
#define FIELD_EXTRA_BYTES 3

static size_t fields_bytes(const http_headers_t *headers)
{
	size_t bytes = 0;

	for (size_t i = 0; i < headers->count; i++)
		bytes += headers->items[i].name.len +
			 headers->items[i].value.len + FIELD_EXTRA_BYTES;
	return bytes;
}

/* Makes room for the fields. Returns 0 or HTTP_ENOMEM. */
static int reserve_fields(client_handle_t *handle,
			  const http_headers_t *headers)
{
	size_t count = headers->count + REMOVED_FIELDS;
	size_t bytes = fields_bytes(headers);

	if (talloc_get_size(handle->text) < bytes) {
		talloc_free(handle->text);
		handle->text = talloc_array(handle, char, bytes);
	}
	if (handle->field_capacity < count) {
		talloc_free(handle->fields);
		handle->fields = talloc_array(handle, struct curl_slist, count);
		handle->field_capacity = handle->fields ? count : 0;
	}
	return handle->text && handle->fields ? 0 : HTTP_ENOMEM;
}

static char *append(char *to, cas_str_t text)
{
	memcpy(to, text.ptr, text.len);
	return to + text.len;
}

/* Writes the field as libcurl takes it. Returns the end. */
static char *write_field(char *to, const http_header_t *header)
{
	to = append(to, header->name);
	if (header->value.len) {
		to = append(to, CAS_STR(": "));
		to = append(to, header->value);
	} else {
		to = append(to, CAS_STR(";"));
	}
	*to++ = '\0';
	return to;
}

static bool is_given(const http_headers_t *headers, const char *removed)
{
	return http_headers_find(headers,
				 (cas_str_t){ removed, strlen(removed) - 1 });
}

int client_handle_set_fields(client_handle_t *handle,
			     const http_headers_t *headers)
{
	size_t count = 0;
	char *to;

	if (reserve_fields(handle, headers))
		return HTTP_ENOMEM;
	to = handle->text;
	for (size_t i = 0; i < headers->count; i++) {
		handle->fields[count++].data = to;
		to = write_field(to, &headers->items[i]);
	}
	for (size_t i = 0; i < REMOVED_FIELDS; i++) {
		/* libcurl only reads the text. Expect is never sent. */
		if (i == 0 || !is_given(headers, removed_fields[i]))
			handle->fields[count++].data =
				(char *)(uintptr_t)removed_fields[i];
	}
	for (size_t i = 0; i < count; i++)
		handle->fields[i].next =
			i + 1 < count ? &handle->fields[i + 1] : NULL;
	curl_easy_setopt(handle->easy, CURLOPT_HTTPHEADER, handle->fields);
	return 0;
}
