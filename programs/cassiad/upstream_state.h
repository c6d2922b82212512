/* What the upstream of this host says of itself in the header of its
 * responses: the request rate that it takes, and that it leaves. */
#ifndef CASSIA_UPSTREAM_STATE_H
#define CASSIA_UPSTREAM_STATE_H

#include "daemon.h"

/* Creates daemon->upstream_state. Returns 0 or BASE_ENOMEM. */
int upstream_state_create(cassiad_t *daemon);

/* Reads what the header of a response says. */
void upstream_state_read(cassiad_t *daemon, const http_headers_t *headers);

/* Sets the metrics of the state. */
void upstream_state_set_metrics(cassiad_t *daemon);

#endif
