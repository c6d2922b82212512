/* HTTP server: declarations shared by its source files. */
#ifndef CASSIA_SERVER_INTERNAL_H
#define CASSIA_SERVER_INTERNAL_H

#include <microhttpd.h>
#include <sys/epoll.h>

#include "cassia/timer.h"
#include "cassia/http_server.h"

typedef struct http_conn http_conn_t;
struct pipeline;
struct local_conn;

typedef enum exchange_phase {
	/* The request line has been read. Also the phase of a request that is
	 * rejected before the application has seen it. */
	PHASE_NEW,
	PHASE_HEAD, /* the application has the head and decides about it */
	PHASE_BODY, /* the body is being read */
	PHASE_AWAIT_REPLY, /* the body has been read, no response is given */
	PHASE_SENDING, /* the response is being sent */
} exchange_phase_t;

/* Connection of libmicrohttpd: that of a client or, with pipelining, the other
 * end of a local_conn. */
struct http_conn {
	http_conn_t *next;
	http_conn_t *prev;
	http_server_t *server;
	struct MHD_Connection *mhd;
	http_exchange_t *exchange; /* NULL between requests */
	struct local_conn *local_conn; /* NULL without pipelining */
	int fd; /* owned by libmicrohttpd */
	/* On fd, polled for reading between requests; NULL with pipelining. */
	struct tevent_fd *fde;
	/* Total bytes received at the last timeout check between requests. */
	uint64_t idle_received_bytes;
	bool idle_bytes_valid; /* idle_received_bytes is valid */
	bool client_closed; /* the client has closed its side */
	int64_t header_since_us; /* 0: no incomplete header was seen */
	int64_t last_used_us; /* opened, or end of the last exchange */
};

struct http_exchange {
	http_server_t *server;
	http_conn_t *conn;
	struct MHD_Connection *mhd;
	exchange_phase_t phase;
	char *target; /* as received */
	cas_str_t origin_target; /* in origin form, part of target */
	cas_str_t method;
	http_headers_t *headers;
	http_body_t *body;
	int64_t content_length; /* of the request body, -1: chunked */
	int64_t max_body_bytes;
	int64_t received_bytes; /* of the request body */
	int64_t started_us; /* when the request line was read */
	int64_t body_started_us; /* when the head was accepted */
	http_reply_t reply; /* valid if has_reply */
	bool head_accepted; /* libmicrohttpd reads on after the head */
	bool body_sent; /* parts of the body may have reached an upstream */
	bool has_reply;
	bool suspended; /* its connection is suspended in libmicrohttpd */
	bool aborted; /* its connection is to be closed */
	bool complete; /* the complete response has been sent */
	void *private;
};

struct http_server {
	struct tevent_context *ev;
	const cas_clock_t *clock;
	http_server_settings_t settings;
	const http_server_ops_t *ops;
	void *private;
	struct MHD_Daemon *mhd_daemon;
	/* NULL without pipelining: libmicrohttpd then accepts connections. */
	struct pipeline *pipeline;
	struct tevent_fd *mhd_fde; /* on the epoll descriptor of mhd_daemon */
	struct tevent_immediate *run_immediate;
	cas_timer_t *timeout_timer;
	bool run_scheduled; /* run_immediate is scheduled */
	bool draining; /* no longer listening */
	bool destroying; /* requests must not be suspended any more */
	bool close_after_reply; /* connections end after a response */
	int watch_epoll_fd; /* reports clients that close their side */
	struct tevent_fd *watch_fde; /* on watch_epoll_fd */
	http_conn_t *conns;
	unsigned int conn_count;
	unsigned int exchange_count;
	unsigned int suspended_count; /* of them, suspended in libmicrohttpd */
	/* Local connections on which libmicrohttpd has a request to process or a
	 * response to send. */
	unsigned int owed_count;
	bool has_unwatched_conn; /* memory for an fde ran out */
	uint16_t port;
};

/* server.c */

/* Lets libmicrohttpd run. */
void server_run(http_server_t *server);
/* Lets libmicrohttpd run in the next round of the event loop. */
void server_schedule_run(http_server_t *server);
/* Records that the connection of an exchange is suspended or no longer is. */
void exchange_set_suspended(http_exchange_t *exchange, bool suspended);
/* Resumes the connection of an exchange, if it is suspended. */
void exchange_resume(http_exchange_t *exchange);
/* Returns a new exchange owned by conn, or NULL when memory runs out. */
http_exchange_t *exchange_create(http_conn_t *conn, const char *target);
/* Ends an exchange, calls its closed callback if the application knows it, and
 * frees it. */
void exchange_destroy(http_exchange_t *exchange);
/* Marks an exchange as aborted; libmicrohttpd closes its connection when it
 * next runs. */
void exchange_fail(http_exchange_t *exchange);

/* server_mhd.c */

/* Starts libmicrohttpd. Returns it, or NULL. With listen_fd -1 it does not
 * listen, and the pipeline adds its connections. */
struct MHD_Daemon *server_mhd_start(http_server_t *server, int listen_fd);

/* server_watch.c */

/* Starts the detection of disconnected clients and the timeout checks. Returns
 * 0 or HTTP_ENOMEM. */
int server_watch_start(http_server_t *server);
/* Watches a connection for a client that closes its side and, without
 * pipelining, for requests. */
void server_watch_add(http_conn_t *conn);

#endif
