/* The request rate that the upstream of this host states in the header of its
 * responses. */
#ifndef CASSIA_UPSTREAM_STATE_H
#define CASSIA_UPSTREAM_STATE_H

#include "daemon.h"

/* Creates daemon->upstream_state. Returns 0 or BASE_ENOMEM. */
int upstream_state_create(cassiad_t *daemon);

/* Reads the header of a response and has admission keep the rate. not_run: the
 * response states that the request has not run. */
void upstream_state_read(cassiad_t *daemon, const http_headers_t *headers,
			 bool not_run);

/* Takes note of how a call to the upstream has ended (enum http_error). */
void upstream_state_call(cassiad_t *daemon, int http_error);

/* Takes note of the entry of the own upstream in the host list (NULL: none). */
void upstream_state_listing(cassiad_t *daemon, const roster_host_t *host);

/* Sets the metrics of the rate. */
void upstream_state_set_metrics(cassiad_t *daemon);

#endif
