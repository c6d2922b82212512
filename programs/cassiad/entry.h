/* Requests of callers at their entry daemon. */
#ifndef CASSIA_ENTRY_H
#define CASSIA_ENTRY_H

#include "cassia/keys.h"
#include "control.h"
#include "daemon.h"
#include "call_attempt.h"

#define ENTRY_ATTEMPTS_MAX 16
/* Attempts that another daemon turned away without use of its upstream, which
 * are no retries. */
#define ENTRY_MOVES_MAX 4
/* A body up to this size is read whole before it is sent, and can be sent
 * again with a retry. */
#define ENTRY_BODY_KEPT_BYTES (64 * 1024)

/* Longer ids of callers are cut in logs. */
#define ENTRY_ID_TEXT_BYTES 65

struct entry_request {
	entry_request_t *next;
	entry_request_t *prev;
	entry_request_t *next_child;
	entry_request_t *prev_child;
	cassiad_t *daemon;
	http_exchange_t *exchange;
	http_headers_t *headers; /* of the caller, without keys */
	attempt_live_entry_t *parent; /* NULL unless a live child call */
	attempt_context context;
	char id_text[ENTRY_ID_TEXT_BYTES];
	keys_lookup_t key;
	bool has_key;
	bool is_child;
	bool wants_body;
	int64_t max_body_bytes;
	int64_t started_us;
	retry_budget_t own_budget;
	int32_t granted; /* retries given to the running attempt */
	cas_id_t tried[ENTRY_ATTEMPTS_MAX];
	size_t tried_count;
	int moves;
	control_wait_t *waiting; /* for a token */
	leg_t *leg;
	int64_t leg_started_us;
	bool body_started;
	bool maybe_run; /* an attempt has an unknown outcome */
	bool answered;
	uint32_t outcome;
	reason_t reason;
	int status;
};

/* entry.c */
void entry_refuse(entry_request_t *request, reason_t reason,
		  int64_t retry_after_us);

/* Returns the key of a route at its depth in the call chain. The admitted
 * fraction of a route includes those of its child calls, and the time that a
 * request takes depends on its place in the chain. */
cas_id_t entry_chain_key(const attempt_context *context);

/* entry_head.c: decides about the head of a request. Returns REASON_NONE when
 * it may go on to the quota. */
reason_t entry_identify(entry_request_t *request, bool local);

/* entry_attempts.c */
void entry_attempt(entry_request_t *request);

/* entry_reply.c */
void entry_reply_refusal(entry_request_t *request, int64_t retry_after_us);
void entry_reply_served(entry_request_t *request, const http_reply_t *reply);

#endif
