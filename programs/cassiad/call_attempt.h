/*
 * One attempt of a request: through the daemon of another host, or by the
 * own daemon when the upstream is on this host.
 */
#ifndef CASSIA_CALL_ATTEMPT_H
#define CASSIA_CALL_ATTEMPT_H

#include "daemon.h"

typedef struct leg leg_t;

typedef struct leg_spec {
	/* deadline on the own clock; the attempt id is drawn by leg_start */
	const attempt_context *context;
	cas_id_t host;
	cas_str_t method;
	cas_str_t target;
	const http_headers_t *headers; /* end to end, borrowed until done */
	http_pipe_t *body; /* NULL: none */
	int64_t content_length;
} leg_spec_t;

typedef struct leg_result {
	uint32_t outcome; /* ATTEMPT_SERVED, ATTEMPT_NOT_RUN, ATTEMPT_UNKNOWN */
	reason_t reason;
	bool refused; /* no connection to the daemon */
	bool resent; /* on a second connection after the first one broke */
	int error; /* of the HTTP client, 0: none */
	bool has_report; /* report was signed by the upstream's daemon */
	attempt_outcome report;
	int64_t retry_after_ms;
	int64_t bytes_sent;
	int64_t bytes_received;
} leg_result_t;

typedef struct leg_ops {
	/* A response of the upstream has begun. The reply is borrowed; body
	 * and headers may be taken with talloc_steal. */
	void (*head)(void *private, const http_reply_t *reply,
		     const attempt_outcome *report);
	/* The attempt is over and is freed after this call. */
	void (*done)(void *private, const leg_result_t *result);
} leg_ops_t;

/* Starts an attempt. Returns it, or NULL when memory is short. No callback is
 * called before it returns. */
leg_t *leg_start(cassiad_t *daemon, const leg_spec_t *spec,
		 const leg_ops_t *ops, void *private);

/* Ends an attempt whose caller is gone; no callback is called any more.
 * Returns true when the upstream may have received it. */
bool leg_cancel(leg_t *leg);

#endif
