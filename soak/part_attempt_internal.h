/* Types and functions shared by the sources of the attempt part: the caller (in
 * part_attempt_call.c) and the receiver (in part_attempt_serve.c). */
#ifndef SOAK_PART_ATTEMPT_INTERNAL_H
#define SOAK_PART_ATTEMPT_INTERNAL_H

#include "cassia/attempt.h"
#include "check_attempts.h"
#include "part_attempt.h"

#define PART_ATTEMPT_TRIED_MAX 8 /* attempts of a call */
#define PART_ATTEMPT_TEXT_MAX 1500 /* bytes */

/* Kinds of messages. */
enum part_attempt_kind { PART_ATTEMPT_REQUEST, PART_ATTEMPT_RESPONSE };

/* Reasons in outcomes. */
enum part_attempt_reason {
	PART_ATTEMPT_REASON_NONE,
	PART_ATTEMPT_REASON_REBIND, /* the context names another incarnation */
	PART_ATTEMPT_REASON_SHED, /* rejected to reduce load */
	PART_ATTEMPT_REASON_OTHER,
};

/* A request or a response on a TCP connection, so it is delivered only to the
 * process that has the connection, and a response belongs to the request that
 * was sent on the same connection. */
typedef struct part_attempt_message {
	uint64_t receiver_incarnation;
	uint64_t connection; /* number in the call */
	check_attempt_t *record; /* for the checks only */
	uint32_t len; /* of text */
	char text[PART_ATTEMPT_TEXT_MAX];
} part_attempt_message_t;

typedef struct part_attempt_exec part_attempt_exec_t;

/* A call at its caller, which is the entry daemon of a root request or the
 * daemon of a running parent request. */
typedef struct part_attempt_call {
	struct part_attempt_call *next;
	fleet_host_t *host; /* the caller */
	check_call_t *record; /* for the checks only */
	part_attempt_exec_t *parent; /* NULL: a root request */
	retry_budget_t own_budget; /* of a root request */
	attempt_context context; /* deadline on the clock of host */
	cas_id_t tried[PART_ATTEMPT_TRIED_MAX];
	size_t tried_count;
	bool may_have_run; /* an earlier attempt */
	/* The attempt in progress. */
	check_attempt_t *attempt; /* NULL: none */
	uint64_t connection; /* number of the last one */
	uint64_t receiver_incarnation; /* named in the context */
	int32_t granted_units; /* retry units sent with the attempt */
	int64_t sent_us; /* on the clock of host */
	int rebinds; /* responses with PART_ATTEMPT_REASON_REBIND */
	bool probing; /* sent only to learn the incarnation of the receiver */
	bool unanswered; /* may have been received, but without a response */
	bool resent; /* again, and the first may have been received */
	bool connection_refused; /* the receiver does not run */
} part_attempt_call_t;

typedef enum part_attempt_stage {
	PART_ATTEMPT_QUEUED,
	PART_ATTEMPT_RUNNING,
	PART_ATTEMPT_WAITING, /* for the end of the child call */
} part_attempt_stage_t;

/* An attempt at the daemon of its receiver. */
struct part_attempt_exec {
	struct part_attempt_exec *next;
	fleet_host_t *host;
	const fleet_host_t *caller;
	uint64_t caller_incarnation;
	uint64_t connection; /* number in the call at the caller */
	attempt_received_t received;
	check_attempt_t *record; /* for the checks only */
	attempt_live_entry_t *live; /* NULL while queued */
	part_attempt_stage_t stage;
	/* End of the queueing or of the run, on the clock of host. */
	int64_t due_us;
};

/* The state on a host. */
typedef struct part_attempt_state {
	attempt_table_t *table; /* lets each attempt run at most once */
	attempt_live_t *live; /* running requests */
	retry_throttle_t *throttle;
	part_attempt_call_t *calls; /* made by this host */
	part_attempt_exec_t *execs; /* received by this host */
	/* The last outcome from each host, by index. now is changed to the
	 * offset of the clock of that host from the clock of this one. */
	attempt_outcome *last_outcomes;
} part_attempt_state_t;

part_attempt_state_t *part_attempt_state_of(fleet_host_t *host);
part_attempt_totals_t *part_attempt_totals_of(fleet_t *fleet);

/* Returns the secrets that all hosts sign with. */
const attempt_secrets_t *part_attempt_secrets_of(fleet_t *fleet);

/* Copies text into message and sends it from one host to another. */
void part_attempt_send(fleet_host_t *from, const fleet_host_t *to, int kind,
		       part_attempt_message_t *message, cas_str_t text);

/* In part_attempt_call.c. */

/* Starts a call to the service with number depth; parent is NULL for a root
 * request. deadline_us is on the clock of host. */
void part_attempt_call(fleet_host_t *host, part_attempt_exec_t *parent,
		       check_root_t *root, u_int depth, int64_t deadline_us);
void part_attempt_call_tick(fleet_host_t *host);
void part_attempt_on_response(fleet_host_t *host, const fleet_host_t *from,
			      const part_attempt_message_t *message);

/* In part_attempt_serve.c. */

/* Handles a request of the process caller_incarnation on from. */
void part_attempt_on_request(fleet_host_t *host, const fleet_host_t *from,
			     uint64_t caller_incarnation,
			     const part_attempt_message_t *message);
void part_attempt_serve_tick(fleet_host_t *host);

/* Continues an attempt when its child call has ended. */
void part_attempt_child_done(part_attempt_exec_t *exec, bool served);

#endif
