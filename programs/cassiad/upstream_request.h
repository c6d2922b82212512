/* Requests to the upstream of this host: admission, the call, its outcome. */
#ifndef CASSIA_UPSTREAM_REQUEST_H
#define CASSIA_UPSTREAM_REQUEST_H

#include "call_attempt.h"

typedef struct serve serve_t;

/*
 * Offers a request to admission and calls the upstream. Returns it, or NULL
 * when memory is short. Callbacks as for legs; none is called before this
 * function returns.
 */
serve_t *serve_start(cassiad_t *daemon, const leg_spec_t *spec,
		     const leg_ops_t *ops, void *private);

/* Ends a request whose caller is gone. Returns true when the upstream may
 * have received it. */
bool serve_cancel(serve_t *serve);

/* Fills in the outcome of this daemon for a response. */
void serve_report(cassiad_t *daemon, const attempt_context *context,
		  const attempt_live_entry_t *live, uint32_t outcome,
		  reason_t reason, int status, attempt_outcome *report);

/* Called by admission. */
void serve_on_run(void *private, admission_ticket_t *ticket,
		  void *request_private);
void serve_on_drop(void *private, void *request_private,
		   admission_reason_t reason);

#endif
