/*
 * HTTP server: pipelined requests. libmicrohttpd reads the next request of a
 * connection only when it has answered the one before. So connections of
 * callers are accepted here, and their requests are handed to libmicrohttpd
 * over several local connections (lanes) at once. Responses go back in the
 * order of the requests.
 */
#ifndef CASSIA_PIPELINE_INTERNAL_H
#define CASSIA_PIPELINE_INTERNAL_H

#include "local_conn_internal.h"

typedef struct pipeline pipeline_t;

/* Accepts connections on listen_fd, which becomes owned. Returns a new
 * pipeline with so many lanes at most for each connection, or NULL. */
pipeline_t *pipeline_create(http_front_t *front, int listen_fd,
			    unsigned int depth);

/* Stops accepting; connections that the kernel has accepted are served. */
void pipeline_stop_listening(pipeline_t *pipeline);

/* Joins a connection of libmicrohttpd with the lane whose other end it has. */
void pipeline_join(pipeline_t *pipeline, http_conn_t *conn);

/* Parts a connection that ends from its lane. */
void pipeline_part(http_conn_t *conn);

/* A request on the lane is over. Its response is cut off unless whole. */
void pipeline_lane_done(pipeline_lane_t *lane, bool whole);

/* True when no request came behind the one on this lane, so that its response
 * may close the connection. */
bool pipeline_is_last(const pipeline_lane_t *lane);

/* True when no caller is connected that had traffic within idle_us. */
bool pipeline_is_idle(const pipeline_t *pipeline, int64_t now, int64_t idle_us);

/* Closes callers' connections that are idle or send a head too slowly. */
void pipeline_sweep(pipeline_t *pipeline, int64_t now);

#endif
