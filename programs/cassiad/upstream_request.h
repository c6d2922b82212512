/*
 * One request to the upstream of this host: its admission, the HTTP call, and
 * the outcome that this daemon reports. The request comes from this daemon
 * (call_attempt.h) or from another one (peer_server.c).
 */
#ifndef CASSIA_UPSTREAM_REQUEST_H
#define CASSIA_UPSTREAM_REQUEST_H

#include "call_attempt.h"

typedef struct upstream_request upstream_request_t;

/*
 * Offers a request to admission and calls the upstream when it is admitted.
 * Returns it (owned by the daemon, freed after done), or NULL when memory is
 * short. ops and private are as for call_attempt_start; no callback is called
 * before this function returns.
 */
upstream_request_t *upstream_request_start(cassiad_t *daemon,
					   const call_attempt_spec_t *spec,
					   const call_attempt_ops_t *ops,
					   void *private);

/* Cancels and frees a request and aborts its child calls; no callback is called
 * afterwards. Returns true when the upstream may have received it. */
bool upstream_request_cancel(upstream_request_t *request);

/* Fills in the outcome that this daemon signs for a response. live is NULL
 * unless the request was at the upstream. status is that of the response. */
void upstream_request_fill_outcome(cassiad_t *daemon,
				   const attempt_context *context,
				   const attempt_live_entry_t *live,
				   uint32_t outcome, reason_t reason,
				   int status, attempt_outcome *report);

/* Takes over the early rejections that a context reports, as demand. */
void upstream_request_count_early(cassiad_t *daemon, attempt_context *context);

/* Callbacks of admission for a queued request: it may run, or it was dropped
 * without having run. */
void upstream_request_on_run(void *private, admission_ticket_t *ticket,
			     void *request_private);
void upstream_request_on_drop(void *private, void *request_private,
			      admission_reason_t reason);

#endif
