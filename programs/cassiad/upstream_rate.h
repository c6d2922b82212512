/* The request rate that the upstream of this host states in the header of its
 * responses. */
#ifndef CASSIA_UPSTREAM_RATE_H
#define CASSIA_UPSTREAM_RATE_H

#include "daemon.h"

/* Creates daemon->upstream_rate. Returns 0 or BASE_ENOMEM. */
int upstream_rate_create(cassiad_t *daemon);

/* Reads the header of a response and has admission keep the rate. not_run: the
 * response states that the request has not run. */
void upstream_rate_read(cassiad_t *daemon, const http_headers_t *headers,
			bool not_run);

/* Takes note of how a call to the upstream has ended (enum http_error). */
void upstream_rate_call(cassiad_t *daemon, int http_error);

/* Takes note of the entry of the own upstream in the host list (NULL: none). */
void upstream_rate_listing(cassiad_t *daemon, const roster_host_t *host);

/* Sets the metrics of the rate. */
void upstream_rate_set_metrics(cassiad_t *daemon);

#endif
