/*
 * Whether a request may be sent to the upstream of this host now: the one place
 * that is asked when a request arrives for it, and again after each wait.
 */
#ifndef CASSIA_UPSTREAM_GATE_H
#define CASSIA_UPSTREAM_GATE_H

#include "daemon.h"

/* Returns REASON_NONE, or why the request must not be sent. */
reason_t upstream_gate_check(const cassiad_t *daemon,
			     const attempt_context *context);

#endif
