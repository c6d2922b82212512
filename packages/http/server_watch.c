/*
 * HTTP server: detects clients that close their connection while it is
 * suspended, and clients that send a header or body too slowly.
 */
#include "pipeline_internal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"
#include "cassia/http_problem.h"

/* Maximum number of epoll events handled at once. */
#define EPOLL_BATCH 64
#define TIMEOUT_CHECK_PERIOD_US CAS_USEC_PER_SEC

/* A client that closes its side of the connection during a request is treated
 * as disconnected. */
static void on_watch_events(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	http_server_t *server = private;
	struct epoll_event events[EPOLL_BATCH];
	int count = epoll_wait(server->watch_epoll_fd, events, EPOLL_BATCH, 0);

	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < count; i++) {
		http_conn_t *conn = events[i].data.ptr;

		conn->client_closed = true;
		if (conn->exchange && conn->exchange->suspended)
			exchange_fail(conn->exchange);
	}
}

/* libmicrohttpd polls a connection only once it has found nothing to read on it,
 * which is not before its next run. */
static void on_conn_readable(struct tevent_context *ev, struct tevent_fd *fde,
			     uint16_t flags, void *private)
{
	http_conn_t *conn = private;

	(void)ev;
	(void)flags;
	/* Until the end of the exchange, libmicrohttpd reads when it needs to.
	 */
	if (conn->exchange)
		TEVENT_FD_NOT_READABLE(fde);
	else
		server_run(conn->server);
}

void server_watch_add(http_conn_t *conn)
{
	http_server_t *server = conn->server;
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET,
				     .data.ptr = conn };

	epoll_ctl(server->watch_epoll_fd, EPOLL_CTL_ADD, conn->fd, &event);
	if (server->pipeline)
		return;
	conn->fde = tevent_add_fd(server->ev, conn, conn->fd, TEVENT_FD_READ,
				  on_conn_readable, conn);
	if (!conn->fde)
		server->has_unwatched_conn = true;
}

/* Returns the number of bytes that the kernel has received on the connection, 0
 * if unknown. */
static uint64_t received_bytes(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_bytes_received;
}

/* Sends an error response and shuts the connection down. Used only before
 * libmicrohttpd has written anything in response to the request. */
static void conn_time_out(http_conn_t *conn)
{
	static const char format[] =
		"HTTP/1.1 408 Request Timeout\r\n"
		"Content-Type: application/problem+json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s";
	bool body_sent = conn->exchange && conn->exchange->body_sent;
	const http_problem_t problem = { .status = 408,
					 .outcome = body_sent ? "unknown"
							      : "not-run",
					 .reason = "slow-request" };
	cas_str_t body = http_problem_text(conn, &problem);
	char *text = talloc_asprintf(conn, format, body.len, body.ptr);

	if (text)
		send(conn->fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);
	talloc_free(text);
	shutdown(conn->fd, SHUT_RDWR);
	if (conn->exchange)
		exchange_fail(conn->exchange);
}

/* A client whose received bytes grow between requests is sending a header. Its
 * time limit counts from the first check that notices this. */
static void check_idle_conn(http_conn_t *conn, int64_t now)
{
	uint64_t bytes = received_bytes(conn->fd);

	if (!conn->header_since_us) {
		if (conn->idle_bytes_valid &&
		    conn->idle_received_bytes != bytes)
			conn->header_since_us = now;
		conn->idle_received_bytes = bytes;
		conn->idle_bytes_valid = true;
		return;
	}
	if (now - conn->header_since_us >
	    conn->server->settings.read_timeout_us)
		conn_time_out(conn);
}

static void check_exchange(http_exchange_t *exchange, int64_t now)
{
	int64_t limit = exchange->server->settings.read_timeout_us;

	if (exchange->phase == PHASE_NEW && now - exchange->started_us > limit)
		conn_time_out(exchange->conn);
	/* Applies also while the body of a rejected request is discarded. */
	if (exchange->head_accepted && exchange->phase < PHASE_AWAIT_REPLY &&
	    now - exchange->body_started_us > limit)
		conn_time_out(exchange->conn);
}

static void on_timeout_check(void *private)
{
	http_server_t *server = private;
	int64_t now = cas_clock_now(server->clock);

	for (http_conn_t *conn = server->conns; conn; conn = conn->next) {
		if (conn->exchange)
			check_exchange(conn->exchange, now);
		else
			check_idle_conn(conn, now);
	}
	if (server->pipeline)
		pipeline_check_timeouts(server->pipeline, now);
	/* libmicrohttpd closes idle connections when it runs. */
	server_schedule_run(server);
	cas_timer_arm(server->timeout_timer, TIMEOUT_CHECK_PERIOD_US);
}

int server_watch_start(http_server_t *server)
{
	server->watch_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (server->watch_epoll_fd < 0)
		return HTTP_ENOMEM;
	server->watch_fde =
		tevent_add_fd(server->ev, server, server->watch_epoll_fd,
			      TEVENT_FD_READ, on_watch_events, server);
	if (!server->watch_fde)
		return HTTP_ENOMEM;
	server->timeout_timer =
		cas_timer_create(server, server->ev, on_timeout_check, server);
	if (!server->timeout_timer)
		return HTTP_ENOMEM;
	cas_timer_arm(server->timeout_timer, TIMEOUT_CHECK_PERIOD_US);
	return 0;
}
