/* Shared parts of the HTTP server. */
#ifndef CASSIA_SERVER_INTERNAL_H
#define CASSIA_SERVER_INTERNAL_H

#include <microhttpd.h>
#include <sys/epoll.h>

#include "cassia/timer.h"
#include "cassia/http_front.h"

typedef struct http_conn http_conn_t;
struct pipeline;
struct pipeline_lane;

typedef enum exchange_phase {
	PHASE_NEW, /* the request line is read */
	PHASE_HEAD, /* the user decides about the head */
	PHASE_BODY, /* the body is being read */
	PHASE_WAIT, /* the body is read, there is no response yet */
	PHASE_SENDING,
} exchange_phase_t;

struct http_conn {
	http_conn_t *next;
	http_conn_t *prev;
	http_front_t *front;
	struct MHD_Connection *mhd;
	http_exchange_t *exchange; /* NULL between requests */
	struct pipeline_lane *lane; /* NULL without pipelining */
	int fd;
	uint64_t seen_bytes; /* received when last looked at while idle */
	bool seen; /* seen_bytes is valid */
	bool left; /* the caller has closed its side */
	int64_t partial_since_us; /* 0: no partial header seen */
	int64_t last_used_us;
};

struct http_exchange {
	http_front_t *front;
	http_conn_t *conn;
	struct MHD_Connection *mhd;
	exchange_phase_t phase;
	char *target;
	cas_str_t origin;
	cas_str_t method;
	http_headers_t *headers;
	http_pipe_t *body;
	int64_t content_length;
	int64_t max_body_bytes;
	int64_t received_bytes;
	int64_t started_us;
	int64_t body_since_us;
	http_reply_t reply;
	bool head_done; /* libmicrohttpd goes on behind the head */
	bool body_sent; /* parts of the body may have reached the next hop */
	bool has_reply;
	bool suspended;
	bool gone; /* the connection is to be closed */
	bool whole;
	void *private;
};

struct http_front {
	struct tevent_context *ev;
	const cas_clock_t *clock;
	http_front_settings_t settings;
	const http_front_ops_t *ops;
	void *private;
	struct MHD_Daemon *daemon;
	struct pipeline *pipeline; /* NULL: libmicrohttpd accepts itself */
	struct tevent_fd *mhd_fde;
	struct tevent_immediate *run_soon;
	cas_timer_t *sweep_timer;
	bool run_pending;
	bool draining; /* no longer listening */
	bool ending; /* being destroyed: no request waits any more */
	bool closing; /* connections end behind a response */
	int watch_fd; /* epoll descriptor that reports callers that left */
	struct tevent_fd *watch_fde;
	http_conn_t *conns;
	unsigned int conn_count;
	unsigned int exchange_count;
	uint16_t port;
};

/* server.c */
void front_run_soon(http_front_t *front);
void exchange_wake(http_exchange_t *exchange);
http_exchange_t *exchange_create(http_conn_t *conn, const char *target);
void exchange_destroy(http_exchange_t *exchange);
void exchange_fail(http_exchange_t *exchange);

/* server_mhd.c; listen_fd -1: connections are added by the pipeline. */
struct MHD_Daemon *front_mhd_start(http_front_t *front, int listen_fd);

/* server_watch.c */
int front_watch_start(http_front_t *front);
void front_watch_add(http_conn_t *conn);

#endif
