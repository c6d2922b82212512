/*
 * HTTP server: the connection of a client whose pipelined requests are processed
 * concurrently (pipeline_conn.c), and the pipeline that it belongs to.
 */
#ifndef CASSIA_PIPELINE_CONN_INTERNAL_H
#define CASSIA_PIPELINE_CONN_INTERNAL_H

#include "pipeline_internal.h"

/* What the next bytes from a client are. */
typedef enum input_mode {
	/* A head (request line and header), to be passed to a free local
	 * connection. */
	INPUT_HEADS,
	/* The rest of a body of known length. */
	INPUT_BODY,
	/* Not parsed here: all bytes go to one local connection, so that
	 * libmicrohttpd processes the requests one after the other. */
	INPUT_PASSTHROUGH,
} input_mode_t;

/* Connection of a client. */
struct client_conn {
	client_conn_t *next;
	client_conn_t *prev;
	pipeline_t *pipeline;
	int fd;
	struct tevent_fd *fde;
	struct sockaddr_in address;
	input_mode_t mode;
	/* Received, not yet passed on; NULL while empty. Buffers are owned by
	 * the pipeline and returned to it. */
	char *input;
	size_t input_len;
	int64_t head_since_us; /* start of an incomplete head; 0: none */
	uint64_t body_remaining; /* bytes of the body not yet passed on */
	local_conn_t *input_conn; /* gets the body or all further bytes */
	/* Bytes of the oldest response not yet sent; NULL while empty. */
	char *output;
	size_t output_len;
	local_conn_t *local_conns; /* array of pipeline->depth */
	/* Busy local connections, in the order of their requests. */
	local_conn_t **in_flight;
	size_t in_flight_count;
	int64_t last_used_us; /* last traffic with the client */
	struct tevent_immediate *process_immediate;
	bool process_scheduled; /* process_immediate is scheduled */
	bool processing; /* guards against recursion */
	bool closing; /* starts no more requests; the last response closes */
	bool lingering; /* the last response was sent; input is discarded */
};

struct pipeline {
	http_server_t *server;
	int listen_fd; /* owned; -1: no longer listening */
	struct tevent_fd *listen_fde;
	unsigned int depth; /* local connections per client connection */
	client_conn_t *clients;
	/* Buffers that no connection uses, NULL: none; so that the next request
	 * needs not allocate any. */
	char *spare_input;
	char *spare_output;
};

/* Creates a connection of a client for an accepted socket, which it owns. Closes
 * the socket when memory runs out. */
void pipeline_conn_create(pipeline_t *pipeline, int fd,
			  const struct sockaddr_in *address);

/* Closes the connection and frees it. With reset, the client sees a connection
 * reset, so that it cannot mistake a truncated response for a complete one. */
void pipeline_conn_close(client_conn_t *client, bool reset);

/* Returns whether a request of the client is not fully answered. */
bool pipeline_conn_has_request(const client_conn_t *client);

/* Sends an error response for an incomplete head and closes the connection. */
void pipeline_conn_time_out(client_conn_t *client);

/* Closes the local connections, unless bytes are waiting to be passed on. */
void pipeline_conn_close_idle_local(client_conn_t *client);

#endif
