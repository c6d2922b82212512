/* HTTP server: event loop, exchanges and replies. */
#include "pipeline_internal.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"

#define LISTEN_BACKLOG 4096

static void front_run(http_front_t *front)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	front->run_pending = false;
	MHD_run(front->daemon);
	if (MHD_get_timeout(front->daemon, &wait_ms) == MHD_YES && !wait_ms)
		front_run_soon(front);
}

static void on_mhd_readable(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	(void)flags;
	front_run(private);
}

static void on_run_soon(struct tevent_context *ev, struct tevent_immediate *im,
			void *private)
{
	(void)ev;
	(void)im;
	front_run(private);
}

void front_run_soon(http_front_t *front)
{
	if (front->run_pending)
		return;
	front->run_pending = true;
	tevent_schedule_immediate(front->run_soon, front->ev, on_run_soon,
				  front);
}

void exchange_wake(http_exchange_t *exchange)
{
	if (!exchange->suspended)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->mhd);
	front_run_soon(exchange->front);
}

http_exchange_t *exchange_create(http_conn_t *conn, const char *target)
{
	http_exchange_t *exchange = talloc_zero(conn, http_exchange_t);

	if (!exchange)
		return NULL;
	exchange->front = conn->front;
	exchange->conn = conn;
	exchange->mhd = conn->mhd;
	exchange->target = talloc_strdup(exchange, target);
	exchange->body = http_pipe_create(exchange, HTTP_PIPE_LIMIT);
	exchange->headers = http_headers_create(exchange);
	if (!exchange->target || !exchange->body || !exchange->headers) {
		talloc_free(exchange);
		return NULL;
	}
	exchange->origin = cas_str_from(exchange->target);
	exchange->started_us = cas_clock_now(conn->front->clock);
	conn->exchange = exchange;
	conn->partial_since_us = 0;
	conn->front->exchange_count++;
	return exchange;
}

void exchange_destroy(http_exchange_t *exchange)
{
	http_front_t *front = exchange->front;

	front->exchange_count--;
	exchange->conn->exchange = NULL;
	if (exchange->conn->lane)
		pipeline_lane_done(exchange->conn->lane,
				   exchange->phase == PHASE_NEW ||
					   exchange->whole);
	exchange->conn->seen = false;
	exchange->conn->last_used_us = cas_clock_now(front->clock);
	http_pipe_on_data(exchange->body, NULL, NULL);
	http_pipe_on_room(exchange->body, NULL, NULL);
	if (exchange->phase != PHASE_NEW)
		front->ops->closed(front->private, exchange, exchange->whole);
	talloc_free(exchange);
}

void exchange_fail(http_exchange_t *exchange)
{
	exchange->gone = true;
	http_pipe_close(exchange->body, HTTP_ERESET);
	exchange_wake(exchange);
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
	return exchange->origin;
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

struct in_addr http_exchange_peer(const http_exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *address;

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
	exchange_wake(exchange);
}

http_pipe_t *http_exchange_body(http_exchange_t *exchange)
{
	return exchange->body;
}

void http_exchange_reply(http_exchange_t *exchange, const http_reply_t *reply)
{
	if (exchange->has_reply || exchange->gone)
		return;
	exchange->has_reply = true;
	exchange->reply = *reply;
	if (reply->headers)
		talloc_steal(exchange, reply->headers);
	if (reply->body)
		talloc_steal(exchange, reply->body);
	exchange_wake(exchange);
}

void http_exchange_reply_text(http_exchange_t *exchange, int status,
			      http_headers_t *headers, cas_str_t body)
{
	http_pipe_t *pipe = http_pipe_create(exchange, body.len + 1);
	http_reply_t reply = { .status = status,
			       .headers = headers,
			       .content_length = (int64_t)body.len,
			       .body = pipe };

	if (!pipe || http_pipe_write(pipe, body.ptr, body.len) != body.len) {
		http_exchange_abort(exchange);
		return;
	}
	http_pipe_close(pipe, 0);
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

/* Suspended connections are resumed first, because MHD does not stop with
 * them; a request that arrives meanwhile must not suspend another one. */
static int front_destroy(http_front_t *front)
{
	TALLOC_FREE(front->pipeline);
	if (!front->daemon)
		return 0;
	front->ending = true;
	for (http_conn_t *conn = front->conns; conn; conn = conn->next) {
		if (conn->exchange)
			http_exchange_abort(conn->exchange);
	}
	MHD_run(front->daemon);
	TALLOC_FREE(front->mhd_fde);
	TALLOC_FREE(front->watch_fde);
	MHD_stop_daemon(front->daemon);
	front->daemon = NULL;
	close(front->watch_fd);
	return 0;
}

/* Returns a listening descriptor and sets the port, or returns -1.
 * libmicrohttpd's own would share the port with other processes. */
static int front_listen(http_front_t *front)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = front->settings.address,
		.sin_port = htons(front->settings.port),
	};
	struct sockaddr *any = (struct sockaddr *)(void *)&address;
	socklen_t len = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, any, len) || listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, any, &len)) {
		close(fd);
		return -1;
	}
	front->port = ntohs(address.sin_port);
	return fd;
}

static int front_start(http_front_t *front)
{
	const union MHD_DaemonInfo *info;
	int listen_fd;

	front->run_soon = tevent_create_immediate(front);
	if (!front->run_soon)
		return HTTP_ENOMEM;
	listen_fd = front_listen(front);
	if (listen_fd < 0)
		return HTTP_ELISTEN;
	if (front->settings.pipeline_depth > 1) {
		front->pipeline = pipeline_create(
			front, listen_fd, front->settings.pipeline_depth);
		listen_fd = -1;
		if (!front->pipeline)
			return HTTP_ENOMEM;
	}
	front->daemon = front_mhd_start(front, listen_fd);
	if (!front->daemon) {
		if (listen_fd >= 0)
			close(listen_fd);
		return HTTP_ELISTEN;
	}
	info = MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		return HTTP_ELISTEN;
	front->mhd_fde = tevent_add_fd(front->ev, front, info->epoll_fd,
				       TEVENT_FD_READ, on_mhd_readable, front);
	if (!front->mhd_fde)
		return HTTP_ENOMEM;
	return front_watch_start(front);
}

http_front_t *http_front_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				const cas_clock_t *clock,
				const http_front_settings_t *settings,
				const http_front_ops_t *ops, void *private,
				int *error)
{
	http_front_t *front = talloc_zero(ctx, http_front_t);

	*error = HTTP_ENOMEM;
	if (!front)
		return NULL;
	front->ev = ev;
	front->clock = clock;
	front->settings = *settings;
	front->ops = ops;
	front->private = private;
	front->watch_fd = -1;
	talloc_set_destructor(front, front_destroy);
	*error = front_start(front);
	if (*error) {
		talloc_free(front);
		return NULL;
	}
	return front;
}

uint16_t http_front_port(const http_front_t *front)
{
	return front->port;
}

unsigned int http_front_connections(const http_front_t *front)
{
	return front->conn_count;
}

unsigned int http_front_exchanges(const http_front_t *front)
{
	return front->exchange_count;
}

void http_front_close_connections(http_front_t *front)
{
	front->closing = true;
}

void http_front_drain(http_front_t *front)
{
	MHD_socket listen_fd;

	if (front->draining)
		return;
	/* Connections that the kernel has already accepted are served. */
	MHD_run(front->daemon);
	front->draining = true;
	front->closing = true;
	if (front->pipeline) {
		pipeline_stop_listening(front->pipeline);
		return;
	}
	listen_fd = MHD_quiesce_daemon(front->daemon);
	if (listen_fd != MHD_INVALID_SOCKET)
		close(listen_fd);
}

bool http_front_is_idle(const http_front_t *front, int64_t idle_us)
{
	int64_t now = cas_clock_now(front->clock);

	if (front->exchange_count ||
	    (front->pipeline &&
	     !pipeline_is_idle(front->pipeline, now, idle_us)))
		return false;
	for (const http_conn_t *conn = front->conns; conn; conn = conn->next) {
		if (now - conn->last_used_us < idle_us)
			return false;
	}
	return true;
}
