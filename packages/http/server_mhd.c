/* HTTP server: starts libmicrohttpd and handles its callbacks. */
#include "pipeline_internal.h"

#include <netinet/tcp.h>
#include <stdarg.h>
#include <sys/socket.h>

#include "cassia/http_error.h"
#include "cassia/http_problem.h"
#include "cassia/http_target.h"

/*
 * Memory of one connection in addition to header_max_bytes, for the parsed
 * fields and the body. libmicrohttpd zeroes all of it between requests, so it
 * is resident also for idle connections, of which 10,000 must take less than
 * 256 MB.
 */
#define CONN_MEMORY_BYTES ((size_t)6 * 1024)
#define CONN_MEMORY_INCREMENT_BYTES ((size_t)2 * 1024)
/* Block size of a streamed response body. */
#define REPLY_BLOCK_BYTES ((size_t)16 * 1024)
/* Bodies of rejected requests up to this size are read and discarded. */
#define DISCARDED_BODY_MAX_BYTES (64 * 1024)
/* Longer names and values of header fields are copied to allocated memory. */
#define FIELD_TEXT_BYTES 512
/* Number of bytes beyond the limit of an oversized chunked body that are read
 * and discarded before the connection is closed without a response. */
#define OVERSIZE_DISCARD_BYTES (256 * 1024)

static void *on_request_line(void *cls, const char *uri,
			     struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	http_conn_t *conn = info ? info->socket_context : NULL;

	(void)cls;
	return conn ? exchange_create(conn, uri) : NULL;
}

static void conn_create(http_server_t *server, struct MHD_Connection *mhd,
			void **socket_context)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	http_conn_t *conn = talloc_zero(server, http_conn_t);
	const int on = 1;

	*socket_context = conn;
	if (!conn)
		return;
	conn->server = server;
	conn->mhd = mhd;
	conn->fd = info->connect_fd;
	conn->idle_bytes_valid = true;
	if (server->pipeline)
		pipeline_attach_conn(server->pipeline, conn);
	conn->last_used_us = cas_clock_now(server->clock);
	conn->next = server->conns;
	if (conn->next)
		conn->next->prev = conn;
	server->conns = conn;
	server->conn_count++;
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	server_watch_add(conn);
}

static void conn_destroy(http_server_t *server, http_conn_t *conn)
{
	if (!conn)
		return;
	if (conn->exchange)
		exchange_destroy(conn->exchange);
	pipeline_detach_conn(conn);
	if (conn->next)
		conn->next->prev = conn->prev;
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		server->conns = conn->next;
	server->conn_count--;
	talloc_free(conn);
}

static void on_connection_event(void *cls, struct MHD_Connection *mhd,
				void **socket_context,
				enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		conn_create(cls, mhd, socket_context);
	else
		conn_destroy(cls, *socket_context);
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **req_cls,
			 enum MHD_RequestTerminationCode code)
{
	http_exchange_t *exchange = *req_cls;

	(void)cls;
	(void)mhd;
	if (!exchange)
		return;
	*req_cls = NULL;
	exchange_set_suspended(exchange, false);
	exchange->complete = code == MHD_REQUEST_TERMINATED_COMPLETED_OK &&
			     exchange->phase == PHASE_SENDING &&
			     !exchange->aborted;
	exchange_destroy(exchange);
}

static enum MHD_Result add_request_field(void *cls, enum MHD_ValueKind kind,
					 const char *key, size_t key_len,
					 const char *value, size_t value_len)
{
	http_exchange_t *exchange = cls;
	int error =
		http_headers_add(exchange->headers, (cas_str_t){ key, key_len },
				 (cas_str_t){ value, value_len });

	(void)kind;
	return error ? MHD_NO : MHD_YES;
}

static enum MHD_Result exchange_suspend(http_exchange_t *exchange)
{
	if (exchange->conn->client_closed || exchange->server->destroying) {
		exchange->aborted = true;
		return MHD_NO;
	}
	exchange_set_suspended(exchange, true);
	MHD_suspend_connection(exchange->mhd);
	return MHD_YES;
}

static void on_reply_data(void *private)
{
	exchange_resume(private);
}

static ssize_t read_reply(void *cls, uint64_t pos, char *buf, size_t max)
{
	http_exchange_t *exchange = cls;
	http_body_t *body = exchange->reply.body;
	size_t len;

	(void)pos;
	if (exchange->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	len = http_body_read(body, buf, max);
	if (len)
		return (ssize_t)len;
	if (!http_body_is_closed(body)) {
		return exchange_suspend(exchange)
			       ? 0
			       : MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (!http_body_error(body))
		return MHD_CONTENT_READER_END_OF_STREAM;
	http_exchange_abort(exchange);
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static bool reply_has_no_body(const http_exchange_t *exchange)
{
	int status = exchange->reply.status;

	return http_name_equal(exchange->method, CAS_STR("HEAD")) ||
	       status == MHD_HTTP_NO_CONTENT || status == MHD_HTTP_NOT_MODIFIED;
}

/* A small response that is already complete is sent from memory, any other is
 * streamed. Its body is not copied: it belongs to the exchange, which is freed
 * when libmicrohttpd has sent the response or given it up. */
static struct MHD_Response *make_response(http_exchange_t *exchange)
{
	const http_reply_t *reply = &exchange->reply;
	cas_str_t bytes = http_body_peek(reply->body);
	uint64_t size = MHD_SIZE_UNKNOWN;

	if (!reply_has_no_body(exchange) && http_body_is_closed(reply->body) &&
	    !http_body_error(reply->body) && bytes.len <= REPLY_BLOCK_BYTES)
		return MHD_create_response_from_buffer(
			bytes.len, (void *)(uintptr_t)bytes.ptr,
			MHD_RESPMEM_PERSISTENT);
	if (reply->content_length >= 0)
		size = (uint64_t)reply->content_length;
	http_body_on_data(reply->body, on_reply_data, exchange);
	return MHD_create_response_from_callback(size, REPLY_BLOCK_BYTES,
						 read_reply, exchange, NULL);
}

/* Copies a text to buffer and terminates it, or to new memory of ctx if it is too
 * long. Returns NULL when memory runs out. */
static const char *terminated(TALLOC_CTX *ctx, cas_str_t text,
			      char buffer[FIELD_TEXT_BYTES])
{
	if (text.len >= FIELD_TEXT_BYTES)
		return cas_str_dup(ctx, text).ptr;
	memcpy(buffer, text.ptr, text.len);
	buffer[text.len] = '\0';
	return buffer;
}

static void add_reply_fields(struct MHD_Response *response,
			     const http_headers_t *headers, TALLOC_CTX *ctx)
{
	char name_buffer[FIELD_TEXT_BYTES];
	char value_buffer[FIELD_TEXT_BYTES];

	for (size_t i = 0; headers && i < headers->count; i++) {
		const http_header_t *header = &headers->items[i];
		const char *name = terminated(ctx, header->name, name_buffer);
		const char *value =
			terminated(ctx, header->value, value_buffer);

		if (name && value)
			MHD_add_response_header(response, name, value);
	}
}

static enum MHD_Result send_reply(http_exchange_t *exchange)
{
	struct MHD_Response *response = make_response(exchange);
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	add_reply_fields(response, exchange->reply.headers, exchange);
	if (exchange->server->close_after_reply &&
	    (!exchange->conn->local_conn ||
	     pipeline_close_after(exchange->conn->local_conn)))
		MHD_add_response_header(response, "Connection", "close");
	exchange->phase = PHASE_SENDING;
	result = MHD_queue_response(
		exchange->mhd, (unsigned int)exchange->reply.status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reject_head(http_exchange_t *exchange, int status)
{
	const http_problem_t problem = { .status = status,
					 .outcome = "not-run",
					 .reason = "malformed-request" };

	http_problem_reply(exchange, &problem);
	send_reply(exchange);
	/* The application does not know this exchange, so its closed callback
	 * must not be called. */
	exchange->phase = PHASE_NEW;
	return MHD_YES;
}

static int64_t declared_body_length(const http_exchange_t *exchange)
{
	cas_str_t text = http_headers_value(exchange->headers,
					    CAS_STR("Content-Length"));

	if (http_headers_find(exchange->headers, CAS_STR("Transfer-Encoding")))
		return -1;
	return text.len ? strtoll(text.ptr, NULL, 10) : 0;
}

/* True for a request with both Content-Length and Transfer-Encoding, or with
 * either more than once. It is rejected because another hop may determine a
 * different length (request smuggling). */
static bool has_ambiguous_length(const http_headers_t *headers)
{
	size_t lengths = 0;
	size_t encodings = 0;

	for (size_t i = 0; i < headers->count; i++) {
		cas_str_t name = headers->items[i].name;

		lengths += http_name_equal(name, CAS_STR("Content-Length"));
		encodings +=
			http_name_equal(name, CAS_STR("Transfer-Encoding"));
	}
	return lengths + encodings > 1;
}

static int check_head(http_exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	cas_str_t coding = http_headers_value(exchange->headers,
					      CAS_STR("Transfer-Encoding"));

	if (info &&
	    info->header_size > exchange->server->settings.header_max_bytes)
		return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
	if (http_target_check(cas_str_from_cstr(exchange->target),
			      &exchange->origin_target))
		return MHD_HTTP_BAD_REQUEST;
	if (has_ambiguous_length(exchange->headers))
		return MHD_HTTP_BAD_REQUEST;
	if (coding.len && !http_name_equal(coding, CAS_STR("chunked")))
		return MHD_HTTP_NOT_IMPLEMENTED;
	return 0;
}

static enum MHD_Result read_head(http_exchange_t *exchange, const char *method)
{
	int status;

	exchange->method = cas_str_dup(exchange, cas_str_from_cstr(method));
	if (!exchange->method.ptr)
		return MHD_NO;
	MHD_get_connection_values_n(exchange->mhd, MHD_HEADER_KIND,
				    add_request_field, exchange);
	status = check_head(exchange);
	if (status)
		return reject_head(exchange, status);
	exchange->content_length = declared_body_length(exchange);
	exchange->phase = PHASE_HEAD;
	exchange->server->ops->request(exchange->server->private, exchange);
	return MHD_YES;
}

static void on_body_space(void *private)
{
	exchange_resume(private);
}

static enum MHD_Result discard_body(http_exchange_t *exchange, size_t *size)
{
	exchange->received_bytes += (int64_t)*size;
	*size = 0;
	if (exchange->received_bytes >
	    exchange->max_body_bytes + OVERSIZE_DISCARD_BYTES)
		return MHD_NO;
	return MHD_YES;
}

/* Takes as much as the body buffer has space for. A reply given before the end
 * of the body is sent after it, because libmicrohttpd accepts no response while
 * it reads a body. */
static enum MHD_Result read_body(http_exchange_t *exchange, const char *data,
				 size_t *size)
{
	http_server_t *server = exchange->server;
	size_t taken;

	if (exchange->has_reply || http_body_is_closed(exchange->body))
		return discard_body(exchange, size);
	if (exchange->received_bytes + (int64_t)*size >
	    exchange->max_body_bytes) {
		http_body_close(exchange->body, HTTP_ETOOLARGE);
		server->ops->body(server->private, exchange);
		return discard_body(exchange, size);
	}
	http_body_on_space(exchange->body, on_body_space, exchange);
	taken = http_body_write(exchange->body, data, *size);
	exchange->received_bytes += (int64_t)taken;
	*size -= taken;
	server->ops->body(server->private, exchange);
	return *size && !exchange->aborted ? exchange_suspend(exchange)
					   : MHD_YES;
}

static void end_body(http_exchange_t *exchange)
{
	http_server_t *server = exchange->server;

	exchange->phase = PHASE_AWAIT_REPLY;
	if (http_body_is_closed(exchange->body))
		return;
	http_body_close(exchange->body, 0);
	server->ops->body(server->private, exchange);
}

/*
 * True when libmicrohttpd may go on to the body before the application has
 * decided. A reply queued at the head makes libmicrohttpd close the connection,
 * because the body may still follow. Therefore the head is accepted at once
 * when there is no body, or when a reply has been given already and the body is
 * small: the reply is then sent after the body.
 */
static bool may_accept_head(const http_exchange_t *exchange)
{
	if (exchange->content_length == 0)
		return true;
	return exchange->has_reply && exchange->content_length > 0 &&
	       exchange->content_length <= DISCARDED_BODY_MAX_BYTES &&
	       !http_headers_find(exchange->headers, CAS_STR("Expect"));
}

/* Called repeatedly with the head of a request until it accepts the head or
 * queues a response. */
static enum MHD_Result handle_head(http_exchange_t *exchange,
				   const char *method)
{
	if (exchange->phase == PHASE_NEW) {
		if (read_head(exchange, method) == MHD_NO)
			return MHD_NO;
		if (exchange->phase == PHASE_NEW)
			return MHD_YES;
	}
	if (exchange->aborted)
		return MHD_NO;
	if (!may_accept_head(exchange)) {
		if (exchange->has_reply)
			return send_reply(exchange);
		if (exchange->phase == PHASE_HEAD)
			return exchange_suspend(exchange);
	}
	exchange->head_accepted = true;
	exchange->body_started_us = cas_clock_now(exchange->server->clock);
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **req_cls)
{
	http_exchange_t *exchange = *req_cls;

	(void)cls;
	(void)mhd;
	(void)url;
	(void)version;
	if (!exchange || exchange->aborted)
		return MHD_NO;
	if (!exchange->head_accepted)
		return handle_head(exchange, method);
	if (*size)
		return read_body(exchange, data, size);
	if (exchange->phase == PHASE_BODY && !exchange->has_reply)
		end_body(exchange);
	if (exchange->aborted)
		return MHD_NO;
	if (exchange->has_reply)
		return send_reply(exchange);
	return exchange_suspend(exchange);
}

/* Discards the log messages of libmicrohttpd. */
static void on_log(void *cls, const char *format, va_list args)
{
	(void)cls;
	(void)format;
	(void)args;
}

struct MHD_Daemon *server_mhd_start(http_server_t *server, int listen_fd)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_USE_TURBO |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;

	const struct MHD_OptionItem listen_options[] = {
		{ listen_fd < 0 ? MHD_OPTION_END : MHD_OPTION_LISTEN_SOCKET,
		  listen_fd, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (listen_fd < 0)
		flags |= MHD_USE_NO_LISTEN_SOCKET;
	return MHD_start_daemon(
		flags, server->port, NULL, NULL, on_request, server,
		MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL, MHD_OPTION_ARRAY,
		listen_options, MHD_OPTION_CONNECTION_LIMIT,
		server->settings.connections_max,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		server->settings.header_max_bytes + CONN_MEMORY_BYTES,
		MHD_OPTION_CONNECTION_MEMORY_INCREMENT,
		CONN_MEMORY_INCREMENT_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		server->settings.idle_timeout_s, MHD_OPTION_STRICT_FOR_CLIENT,
		1, MHD_OPTION_URI_LOG_CALLBACK, on_request_line, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection_event, server,
		MHD_OPTION_END);
}
