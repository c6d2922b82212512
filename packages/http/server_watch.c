/*
 * HTTP server: callers that leave while their connection is suspended, and
 * callers that send a header or body too slowly.
 */
#include "pipeline_internal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"
#include "cassia/http_problem.h"

#define WATCH_BATCH 64
#define SWEEP_PERIOD_US CAS_USEC_PER_SEC

/* A caller that closes its side during a request is taken as gone. */
static void on_watch(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private)
{
	http_front_t *front = private;
	struct epoll_event events[WATCH_BATCH];
	int count = epoll_wait(front->watch_fd, events, WATCH_BATCH, 0);

	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < count; i++) {
		http_conn_t *conn = events[i].data.ptr;

		conn->left = true;
		if (conn->exchange && conn->exchange->suspended)
			exchange_fail(conn->exchange);
	}
}

void front_watch_add(http_conn_t *conn)
{
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET,
				     .data.ptr = conn };

	epoll_ctl(conn->front->watch_fd, EPOLL_CTL_ADD, conn->fd, &event);
}

static uint64_t received_bytes(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_bytes_received;
}

/* libmicrohttpd has written nothing on the connection yet. */
static void conn_time_out(http_conn_t *conn)
{
	static const char format[] =
		"HTTP/1.1 408 Request Timeout\r\n"
		"Content-Type: application/problem+json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s";
	bool sent = conn->exchange && conn->exchange->body_sent;
	const http_problem_t problem = { .status = 408,
					 .outcome =
						 sent ? "unknown" : "not-run",
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

/* A connection without request whose received bytes grow is sending a header;
 * its time counts from the first sweep that saw it. */
static void sweep_idle(http_conn_t *conn, int64_t now)
{
	uint64_t bytes = received_bytes(conn->fd);

	if (!conn->partial_since_us) {
		if (conn->seen && conn->seen_bytes != bytes)
			conn->partial_since_us = now;
		conn->seen_bytes = bytes;
		conn->seen = true;
		return;
	}
	if (now - conn->partial_since_us >
	    conn->front->settings.read_timeout_us)
		conn_time_out(conn);
}

static void sweep_exchange(http_exchange_t *exchange, int64_t now)
{
	int64_t limit = exchange->front->settings.read_timeout_us;

	if (exchange->phase == PHASE_NEW && now - exchange->started_us > limit)
		conn_time_out(exchange->conn);
	/* Also while the body of a rejected request is dropped. */
	if (exchange->head_done && exchange->phase < PHASE_WAIT &&
	    now - exchange->body_since_us > limit)
		conn_time_out(exchange->conn);
}

static void on_sweep(void *private)
{
	http_front_t *front = private;
	int64_t now = cas_clock_now(front->clock);

	for (http_conn_t *conn = front->conns; conn; conn = conn->next) {
		if (conn->exchange)
			sweep_exchange(conn->exchange, now);
		else
			sweep_idle(conn, now);
	}
	if (front->pipeline)
		pipeline_sweep(front->pipeline, now);
	/* libmicrohttpd closes idle connections when it runs. */
	front_run_soon(front);
	cas_timer_arm(front->sweep_timer, SWEEP_PERIOD_US);
}

int front_watch_start(http_front_t *front)
{
	front->watch_fd = epoll_create1(EPOLL_CLOEXEC);
	if (front->watch_fd < 0)
		return HTTP_ENOMEM;
	front->watch_fde = tevent_add_fd(front->ev, front, front->watch_fd,
					 TEVENT_FD_READ, on_watch, front);
	if (!front->watch_fde)
		return HTTP_ENOMEM;
	front->sweep_timer =
		cas_timer_create(front, front->ev, on_sweep, front);
	if (!front->sweep_timer)
		return HTTP_ENOMEM;
	cas_timer_arm(front->sweep_timer, SWEEP_PERIOD_US);
	return 0;
}
