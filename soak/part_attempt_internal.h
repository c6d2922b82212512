/* Shared by the calling and the serving side of the attempt part. */
#ifndef SOAK_PART_ATTEMPT_INTERNAL_H
#define SOAK_PART_ATTEMPT_INTERNAL_H

#include "cassia/attempt.h"
#include "check_attempts.h"
#include "part_attempt.h"

#define PART_ATTEMPT_TRIES 8
#define PART_ATTEMPT_TEXT_MAX 1500

enum part_attempt_kind { PART_ATTEMPT_CALL, PART_ATTEMPT_RESPONSE };

enum part_attempt_reason {
	PART_ATTEMPT_REASON_NONE,
	PART_ATTEMPT_REASON_REBIND,
	PART_ATTEMPT_REASON_SHED,
	PART_ATTEMPT_REASON_OTHER,
};

/* A request or a response on a connection. TCP delivers to the process that
 * accepted the connection only, and responses to their own request. */
typedef struct part_attempt_message {
	uint64_t process; /* incarnation of the receiver */
	uint64_t connection;
	check_attempt_t *record; /* for the checks only */
	uint32_t len;
	char text[PART_ATTEMPT_TEXT_MAX];
} part_attempt_message_t;

typedef struct part_attempt_exec part_attempt_exec_t;

/* A call at its caller: the entry of a root, or a parent that runs. */
typedef struct part_attempt_call {
	struct part_attempt_call *next;
	fleet_host_t *host;
	check_call_t *record;
	part_attempt_exec_t *parent; /* NULL: a root */
	retry_budget_t own_budget; /* of a root */
	attempt_context context; /* deadline on the clock of host */
	cas_id_t tried[PART_ATTEMPT_TRIES];
	size_t tried_count;
	bool maybe_run;
	/* The attempt on its way. */
	check_attempt_t *attempt;
	uint64_t connection;
	uint64_t incarnation; /* named in the context */
	int32_t granted;
	int64_t sent_us;
	int binds;
	bool asking; /* only for the incarnation */
	bool ever_sent; /* a sending without an answer */
	bool resent;
	bool refused; /* connection refused */
} part_attempt_call_t;

typedef enum part_attempt_stage {
	PART_ATTEMPT_QUEUED,
	PART_ATTEMPT_RUNNING,
	PART_ATTEMPT_WAITING, /* for the child call */
} part_attempt_stage_t;

/* An attempt at the upstream's daemon. */
struct part_attempt_exec {
	struct part_attempt_exec *next;
	fleet_host_t *host;
	const fleet_host_t *caller;
	uint64_t caller_process;
	uint64_t connection;
	attempt_received_t received;
	check_attempt_t *record;
	attempt_live_entry_t *live; /* NULL while queued */
	part_attempt_stage_t stage;
	int64_t due_us;
};

typedef struct part_attempt_state {
	attempt_table_t *table;
	attempt_live_t *live;
	retry_throttle_t *throttle;
	part_attempt_call_t *calls;
	part_attempt_exec_t *execs;
	attempt_outcome *bindings; /* by host index, with offset in now */
} part_attempt_state_t;

part_attempt_state_t *part_attempt_state_of(fleet_host_t *host);
part_attempt_totals_t *part_attempt_totals_of(fleet_t *fleet);
const attempt_secrets_t *part_attempt_secrets(fleet_t *fleet);
void part_attempt_post(fleet_host_t *from, const fleet_host_t *to, int kind,
		       part_attempt_message_t *message, cas_str_t text);

/* Calling side. A root has no parent. */
void part_attempt_call(fleet_host_t *host, part_attempt_exec_t *parent,
		       check_root_t *root, u_int depth, int64_t deadline_us);
void part_attempt_call_tick(fleet_host_t *host);
void part_attempt_on_response(fleet_host_t *host, const fleet_host_t *from,
			      const part_attempt_message_t *message);

/* Serving side. */
void part_attempt_on_call(fleet_host_t *host, const fleet_host_t *from,
			  uint64_t process,
			  const part_attempt_message_t *message);
void part_attempt_serve_tick(fleet_host_t *host);
void part_attempt_child_done(part_attempt_exec_t *exec, bool served);

#endif
