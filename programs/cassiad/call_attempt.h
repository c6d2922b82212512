/*
 * One attempt to run a request on one host: through the daemon of that host, or
 * by this daemon when the host is its own.
 */
#ifndef CASSIA_CALL_ATTEMPT_H
#define CASSIA_CALL_ATTEMPT_H

#include "daemon.h"

/* Covers several round trips between regions; a host that takes longer is
 * unreachable. */
#define CALL_ATTEMPT_CONNECT_TIMEOUT_US (300 * CAS_USEC_PER_MSEC)

typedef struct call_attempt call_attempt_t;

/* What to send, and to which host. Members are borrowed until done. */
typedef struct call_attempt_spec {
	/* Copied. The deadline is on the local clock; call_attempt_start fills
	 * in a random attempt id. */
	const attempt_context *context;
	cas_id_t host;
	cas_str_t method;
	cas_str_t target;
	const http_headers_t *headers; /* hop-by-hop fields are left out */
	http_body_t *body; /* NULL: none */
	int64_t content_length; /* of the body, -1: not known */
} call_attempt_spec_t;

typedef struct call_attempt_result {
	uint32_t outcome; /* ATTEMPT_SERVED, ATTEMPT_NOT_RUN, ATTEMPT_UNKNOWN */
	reason_t reason; /* REASON_NONE when served */
	bool connect_failed; /* no connection to the host; nothing was sent */
	bool resent; /* on a new connection after the first one was reset */
	int error; /* enum http_error of the HTTP client */
	bool has_report; /* report is valid: it comes from the daemon there */
	attempt_outcome report;
	int64_t retry_after_ms; /* 0: not given */
	int64_t bytes_sent;
	int64_t bytes_received;
} call_attempt_result_t;

/* Callbacks of an attempt: head at most once, then done exactly once. */
typedef struct call_attempt_ops {
	/* The head of the response of the upstream has arrived. reply is
	 * borrowed; its body and headers may be taken with talloc_steal. */
	void (*head)(void *private, const http_reply_t *reply,
		     const attempt_outcome *report);
	/* The attempt is over and is freed after this call. */
	void (*done)(void *private, const call_attempt_result_t *result);
	/* Asked before each transmission to another host, when the connection
	 * is ready. Returns REASON_NONE, or why the request must not be sent
	 * there. NULL: always REASON_NONE. */
	reason_t (*check_send)(void *private);
} call_attempt_ops_t;

/* Starts an attempt. Returns it (owned by the daemon, freed after done), or
 * NULL when memory runs out. ops and private are borrowed until done. No
 * callback is called before this function returns. */
call_attempt_t *call_attempt_start(cassiad_t *daemon,
				   const call_attempt_spec_t *spec,
				   const call_attempt_ops_t *ops,
				   void *private);

/* Cancels and frees an attempt; no callback is called afterwards. Returns true
 * when the upstream may have received the request. */
bool call_attempt_cancel(call_attempt_t *attempt);

#endif
