/*
 * HTTP server: concurrent processing of pipelined requests. libmicrohttpd reads
 * the next request of a connection only after it has answered the previous one.
 * The pipeline therefore accepts the connections of clients itself and passes
 * their requests to libmicrohttpd over several local connections at once.
 * Responses are forwarded to the client in the order of the requests.
 */
#ifndef CASSIA_PIPELINE_INTERNAL_H
#define CASSIA_PIPELINE_INTERNAL_H

#include "local_conn_internal.h"

typedef struct pipeline pipeline_t;

/* Returns a new pipeline that accepts connections on listen_fd, or NULL when
 * memory runs out. Takes ownership of listen_fd in both cases. depth is the
 * maximum number of local connections per client connection. */
pipeline_t *pipeline_create(http_server_t *server, int listen_fd,
			    unsigned int depth);

/* Stops listening. Connections already accepted by the kernel are served. */
void pipeline_stop_listening(pipeline_t *pipeline);

/* Attaches a new connection of libmicrohttpd to the local connection whose
 * other side it is. */
void pipeline_attach_conn(pipeline_t *pipeline, http_conn_t *conn);

/* Detaches a connection of libmicrohttpd from its local connection, if any. */
void pipeline_detach_conn(http_conn_t *conn);

/* Returns the address of the client of a local connection. */
struct in_addr pipeline_client_address(const local_conn_t *local_conn);

/* Records that the request on the local connection is over. complete is false
 * when its response is truncated. */
void pipeline_request_done(local_conn_t *local_conn, bool complete);

/* Starts no more requests on the connection of a client, when the response on
 * one of its local connections is about to be sent. Returns whether that is the
 * last response, which closes the connection. */
bool pipeline_close_after(local_conn_t *local_conn);

/* True when no client connection has a request in flight or had traffic within
 * the last idle_us microseconds. */
bool pipeline_is_idle(const pipeline_t *pipeline, int64_t now, int64_t idle_us);

/* Closes client connections that are idle or send a head too slowly, and idle
 * local connections. */
void pipeline_check_timeouts(pipeline_t *pipeline, int64_t now);

#endif
