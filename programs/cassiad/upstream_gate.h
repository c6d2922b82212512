/*
 * Whether a request may be sent to the upstream of this host now: the one place
 * that is asked when a request arrives for it, and again after each wait.
 */
#ifndef CASSIA_UPSTREAM_GATE_H
#define CASSIA_UPSTREAM_GATE_H

#include "daemon.h"

typedef struct upstream_gate_query {
	const attempt_context *context;
	quarantine_digest_t digest; /* 0: not known */
	const struct upstream_request *request;
} upstream_gate_query_t;

/* Returns REASON_NONE, or why the request must not be sent. */
reason_t upstream_gate_check(const cassiad_t *daemon,
			     const upstream_gate_query_t *query);

#endif
