/*
 * HTTP server: local connections (socket pairs) to libmicrohttpd. The pipelined
 * requests of one client connection are spread over several of them, since
 * libmicrohttpd processes one request at a time per connection.
 */
#ifndef CASSIA_LOCAL_CONN_INTERNAL_H
#define CASSIA_LOCAL_CONN_INTERNAL_H

#include <netinet/in.h>

#include "server_internal.h"

typedef struct client_conn client_conn_t;
typedef struct local_conn local_conn_t;

struct local_conn {
	http_server_t *server;
	/* The client connection it belongs to; talloc parent of its memory. */
	client_conn_t *client;
	int fd; /* this side of the socket pair, -1: not open */
	int mhd_fd; /* side of libmicrohttpd until mhd_conn is set, then -1 */
	/* The connection in libmicrohttpd; NULL before it is attached and after
	 * it has ended. */
	http_conn_t *mhd_conn;
	struct tevent_fd *fde; /* on fd */
	bool busy; /* has a request whose response is not fully forwarded */
	bool owed; /* counted in owed_count of the server */
	bool reply_written; /* libmicrohttpd has finished the response */
	bool reply_truncated; /* the response is truncated */
	bool attached; /* mhd_conn was set since the connection was opened */
	bool may_read; /* fd may have unread bytes */
	bool mhd_closed; /* the end of its side was read */
	char *unsent; /* bytes that the socket buffer had no space for */
	size_t unsent_len;
};

/* Initializes a local connection without opening it. */
void local_conn_init(local_conn_t *local_conn, http_server_t *server,
		     client_conn_t *client);

/* Opens the local connection. on_ready is called with the local connection when fd is readable, or writable while there are
 * unsent bytes. Returns 0 or HTTP_ENOMEM. */
int local_conn_open(local_conn_t *local_conn, tevent_fd_handler_t on_ready);

/* Records whether libmicrohttpd has a request of this connection to process or a
 * response to send. */
void local_conn_set_owed(local_conn_t *local_conn, bool owed);

/* Returns whether libmicrohttpd has ended the connection. Bytes that it has sent
 * before may still be unread. */
bool local_conn_has_ended(const local_conn_t *local_conn);

/* Closes the local connection, if it is open. */
void local_conn_close(local_conn_t *local_conn);

/* Sends bytes to libmicrohttpd and keeps those that the socket buffer has no
 * space for. Returns 0 or HTTP_ENOMEM. Returns 0 also when libmicrohttpd has
 * closed its side, which the next read detects. */
int local_conn_write(local_conn_t *local_conn, const char *data, size_t len);

/* Sends the unsent bytes kept by local_conn_write. */
void local_conn_flush(local_conn_t *local_conn);

#endif
