/* HTTP server: event loop integration, exchanges, replies and shutdown. */
#include "pipeline_internal.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"

#define LISTEN_BACKLOG 4096
/* Memory that is allocated at once for an exchange and its small objects: those
 * of this package and of the application. What exceeds it is allocated as
 * usual. */
#define EXCHANGE_OBJECTS 16
#define EXCHANGE_POOL_BYTES 5120

/* Returns whether no request needs libmicrohttpd until one arrives or a suspended
 * one is resumed. libmicrohttpd would run once more after each response, only
 * to find that the next request has not arrived and to poll for it. That is not
 * needed, because a run is started when the pipeline passes bytes on or
 * server_watch.c finds a connection readable. */
static bool server_is_quiet(const http_server_t *server)
{
	if (server->exchange_count != server->suspended_count)
		return false;
	return server->pipeline ? server->owed_count == server->suspended_count
				: !server->has_unwatched_conn;
}

void server_run(http_server_t *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	server->run_scheduled = false;
	MHD_run(server->mhd_daemon);
	if (server_is_quiet(server))
		return;
	if (MHD_get_timeout(server->mhd_daemon, &wait_ms) == MHD_YES &&
	    !wait_ms)
		server_schedule_run(server);
}

static void on_mhd_readable(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	(void)flags;
	server_run(private);
}

static void on_run_immediate(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private)
{
	(void)ev;
	(void)im;
	server_run(private);
}

void server_schedule_run(http_server_t *server)
{
	if (server->run_scheduled)
		return;
	server->run_scheduled = true;
	tevent_schedule_immediate(server->run_immediate, server->ev,
				  on_run_immediate, server);
}

void exchange_set_suspended(http_exchange_t *exchange, bool suspended)
{
	if (exchange->suspended == suspended)
		return;
	exchange->suspended = suspended;
	if (suspended)
		exchange->server->suspended_count++;
	else
		exchange->server->suspended_count--;
}

void exchange_resume(http_exchange_t *exchange)
{
	if (!exchange->suspended)
		return;
	exchange_set_suspended(exchange, false);
	MHD_resume_connection(exchange->mhd);
	server_schedule_run(exchange->server);
}

http_exchange_t *exchange_create(http_conn_t *conn, const char *target)
{
	http_exchange_t *exchange = talloc_pooled_object(
		conn, http_exchange_t, EXCHANGE_OBJECTS, EXCHANGE_POOL_BYTES);

	if (!exchange)
		return NULL;
	memset(exchange, 0, sizeof(*exchange));
	exchange->server = conn->server;
	exchange->conn = conn;
	exchange->mhd = conn->mhd;
	exchange->target = talloc_strdup(exchange, target);
	exchange->body = http_body_create(exchange, HTTP_BODY_BUFFER_BYTES);
	exchange->headers = http_headers_create(exchange);
	if (!exchange->target || !exchange->body || !exchange->headers) {
		talloc_free(exchange);
		return NULL;
	}
	exchange->origin_target = cas_str_from_cstr(exchange->target);
	exchange->started_us = cas_clock_now(conn->server->clock);
	conn->exchange = exchange;
	conn->header_since_us = 0;
	conn->server->exchange_count++;
	return exchange;
}

void exchange_destroy(http_exchange_t *exchange)
{
	http_server_t *server = exchange->server;

	exchange_set_suspended(exchange, false);
	server->exchange_count--;
	exchange->conn->exchange = NULL;
	if (exchange->conn->local_conn)
		pipeline_request_done(exchange->conn->local_conn,
				      exchange->phase == PHASE_NEW ||
					      exchange->complete);
	if (exchange->conn->fde)
		TEVENT_FD_READABLE(exchange->conn->fde);
	exchange->conn->idle_bytes_valid = false;
	exchange->conn->last_used_us = cas_clock_now(server->clock);
	http_body_on_data(exchange->body, NULL, NULL);
	http_body_on_space(exchange->body, NULL, NULL);
	if (exchange->phase != PHASE_NEW)
		server->ops->closed(server->private, exchange,
				    exchange->complete);
	talloc_free(exchange);
}

void exchange_fail(http_exchange_t *exchange)
{
	exchange->aborted = true;
	http_body_close(exchange->body, HTTP_ERESET);
	exchange_resume(exchange);
}

void http_exchange_abort(http_exchange_t *exchange)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(exchange->conn->fd, SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	exchange_fail(exchange);
}

cas_str_t http_exchange_method(const http_exchange_t *exchange)
{
	return exchange->method;
}

cas_str_t http_exchange_target(const http_exchange_t *exchange)
{
	return exchange->origin_target;
}

const http_headers_t *http_exchange_headers(const http_exchange_t *exchange)
{
	return exchange->headers;
}

int64_t http_exchange_content_length(const http_exchange_t *exchange)
{
	return exchange->content_length;
}

int64_t http_exchange_started(const http_exchange_t *exchange)
{
	return exchange->started_us;
}

struct in_addr http_exchange_client_address(const http_exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *address;

	if (exchange->conn->local_conn)
		return pipeline_client_address(exchange->conn->local_conn);
	if (!info || info->client_addr->sa_family != AF_INET)
		return (struct in_addr){ 0 };
	address = (const struct sockaddr_in *)(const void *)info->client_addr;
	return address->sin_addr;
}

void http_exchange_read_body(http_exchange_t *exchange, int64_t max_bytes)
{
	if (exchange->phase != PHASE_HEAD || exchange->has_reply)
		return;
	exchange->max_body_bytes = max_bytes;
	exchange->phase = PHASE_BODY;
	exchange_resume(exchange);
}

http_body_t *http_exchange_body(http_exchange_t *exchange)
{
	return exchange->body;
}

void http_exchange_reply(http_exchange_t *exchange, const http_reply_t *reply)
{
	if (exchange->has_reply || exchange->aborted)
		return;
	exchange->has_reply = true;
	exchange->reply = *reply;
	if (reply->headers)
		talloc_steal(exchange, reply->headers);
	if (reply->body)
		talloc_steal(exchange, reply->body);
	exchange_resume(exchange);
}

void http_exchange_reply_text(http_exchange_t *exchange, int status,
			      http_headers_t *headers, cas_str_t body)
{
	http_body_t *reply_body = http_body_create(exchange, body.len + 1);
	http_reply_t reply = { .status = status,
			       .headers = headers,
			       .content_length = (int64_t)body.len,
			       .body = reply_body };

	if (!reply_body ||
	    http_body_write(reply_body, body.ptr, body.len) != body.len) {
		http_exchange_abort(exchange);
		return;
	}
	http_body_close(reply_body, 0);
	http_exchange_reply(exchange, &reply);
}

bool http_exchange_has_reply(const http_exchange_t *exchange)
{
	return exchange->has_reply;
}

void http_exchange_set_body_sent(http_exchange_t *exchange)
{
	exchange->body_sent = true;
}

void http_exchange_set_private(http_exchange_t *exchange, void *private)
{
	exchange->private = private;
}

void *http_exchange_private(const http_exchange_t *exchange)
{
	return exchange->private;
}

/* Suspended connections are resumed first, because libmicrohttpd must not be
 * stopped while any is suspended. A request that arrives at this point must not
 * suspend its connection; the flag destroying prevents that. */
static int server_destroy(http_server_t *server)
{
	TALLOC_FREE(server->pipeline);
	if (!server->mhd_daemon)
		return 0;
	server->destroying = true;
	for (http_conn_t *conn = server->conns; conn; conn = conn->next) {
		if (conn->exchange)
			http_exchange_abort(conn->exchange);
	}
	MHD_run(server->mhd_daemon);
	TALLOC_FREE(server->mhd_fde);
	TALLOC_FREE(server->watch_fde);
	MHD_stop_daemon(server->mhd_daemon);
	server->mhd_daemon = NULL;
	close(server->watch_epoll_fd);
	return 0;
}

/* Returns a listening socket and sets the port, or returns -1. A socket that
 * libmicrohttpd opens itself could share its port with other processes. */
static int server_listen(http_server_t *server)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = server->settings.address,
		.sin_port = htons(server->settings.port),
	};
	struct sockaddr *generic_address = (struct sockaddr *)(void *)&address;
	socklen_t len = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, generic_address, len) || listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, generic_address, &len)) {
		close(fd);
		return -1;
	}
	server->port = ntohs(address.sin_port);
	return fd;
}

static int server_start(http_server_t *server)
{
	const union MHD_DaemonInfo *info;
	int listen_fd;

	server->run_immediate = tevent_create_immediate(server);
	if (!server->run_immediate)
		return HTTP_ENOMEM;
	listen_fd = server_listen(server);
	if (listen_fd < 0)
		return HTTP_ELISTEN;
	if (server->settings.pipeline_depth > 1) {
		server->pipeline = pipeline_create(
			server, listen_fd, server->settings.pipeline_depth);
		listen_fd = -1;
		if (!server->pipeline)
			return HTTP_ENOMEM;
	}
	server->mhd_daemon = server_mhd_start(server, listen_fd);
	if (!server->mhd_daemon) {
		if (listen_fd >= 0)
			close(listen_fd);
		return HTTP_ELISTEN;
	}
	info = MHD_get_daemon_info(server->mhd_daemon,
				   MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		return HTTP_ELISTEN;
	server->mhd_fde =
		tevent_add_fd(server->ev, server, info->epoll_fd,
			      TEVENT_FD_READ, on_mhd_readable, server);
	if (!server->mhd_fde)
		return HTTP_ENOMEM;
	return server_watch_start(server);
}

http_server_t *http_server_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const cas_clock_t *clock,
				  const http_server_settings_t *settings,
				  const http_server_ops_t *ops, void *private,
				  int *error)
{
	http_server_t *server = talloc_zero(ctx, http_server_t);

	*error = HTTP_ENOMEM;
	if (!server)
		return NULL;
	server->ev = ev;
	server->clock = clock;
	server->settings = *settings;
	server->ops = ops;
	server->private = private;
	server->watch_epoll_fd = -1;
	talloc_set_destructor(server, server_destroy);
	*error = server_start(server);
	if (*error) {
		talloc_free(server);
		return NULL;
	}
	return server;
}

uint16_t http_server_port(const http_server_t *server)
{
	return server->port;
}

unsigned int http_server_connections(const http_server_t *server)
{
	return server->conn_count;
}

unsigned int http_server_exchanges(const http_server_t *server)
{
	return server->exchange_count;
}

void http_server_close_connections(http_server_t *server)
{
	server->close_after_reply = true;
}

/* Accepts the connections that wait in the kernel, which would be reset when the
 * listener closes. One run of libmicrohttpd takes only some of them; it takes
 * none at the limit of connections. */
static void accept_waiting(http_server_t *server)
{
	unsigned int before;

	do {
		before = server->conn_count;
		MHD_run(server->mhd_daemon);
	} while (server->conn_count > before);
}

void http_server_drain(http_server_t *server)
{
	MHD_socket listen_fd;

	if (server->draining)
		return;
	server->draining = true;
	server->close_after_reply = true;
	if (server->pipeline) {
		pipeline_stop_listening(server->pipeline);
		return;
	}
	accept_waiting(server);
	listen_fd = MHD_quiesce_daemon(server->mhd_daemon);
	if (listen_fd != MHD_INVALID_SOCKET)
		close(listen_fd);
}

bool http_server_is_idle(const http_server_t *server, int64_t idle_us)
{
	int64_t now = cas_clock_now(server->clock);

	if (server->exchange_count ||
	    (server->pipeline &&
	     !pipeline_is_idle(server->pipeline, now, idle_us)))
		return false;
	for (const http_conn_t *conn = server->conns; conn; conn = conn->next) {
		if (now - conn->last_used_us < idle_us)
			return false;
	}
	return true;
}
