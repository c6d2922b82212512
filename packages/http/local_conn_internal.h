/*
 * HTTP server: lanes, the local connections over which the requests of one
 * caller's connection reach libmicrohttpd.
 */
#ifndef CASSIA_LOCAL_CONN_INTERNAL_H
#define CASSIA_LOCAL_CONN_INTERNAL_H

#include <netinet/in.h>

#include "server_internal.h"

typedef struct client client_t;
typedef struct pipeline_lane pipeline_lane_t;

struct pipeline_lane {
	http_front_t *front;
	client_t *client; /* its caller, the talloc parent of what it holds */
	int fd; /* own end, -1: not open */
	int mhd_fd; /* end of libmicrohttpd until they are joined, or -1 */
	http_conn_t *conn; /* in libmicrohttpd, NULL once it has ended */
	struct tevent_fd *fde;
	bool busy; /* has a request whose response is not passed on whole */
	bool done; /* libmicrohttpd has written the whole response */
	bool cut; /* the response ends early */
	bool ended; /* libmicrohttpd has closed its end */
	char *unsent; /* bytes for which the lane had no room */
	size_t unsent_len;
};

/* Prepares a lane that is not open. */
void lane_init(pipeline_lane_t *lane, http_front_t *front, client_t *client);

/* Opens the lane. on_ready is called with the lane when there is something to
 * read, or to write after lane_write had no room. Returns 0 or HTTP_ENOMEM. */
int lane_open(pipeline_lane_t *lane, const struct sockaddr_in *address,
	      tevent_fd_handler_t on_ready);

/* Closes the lane, if it is open. */
void lane_close(pipeline_lane_t *lane);

/* Hands bytes to libmicrohttpd; those without room are kept. Returns 0, also
 * when the lane has ended, which shows when it is read, or HTTP_ENOMEM. */
int lane_write(pipeline_lane_t *lane, const char *data, size_t len);

/* Writes what lane_write had to keep. */
void lane_flush(pipeline_lane_t *lane);

#endif
