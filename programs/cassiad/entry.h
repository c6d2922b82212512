/*
 * Entry requests: requests of callers, and child calls of this host's upstream,
 * at the daemon that received them first.
 */
#ifndef CASSIA_ENTRY_H
#define CASSIA_ENTRY_H

#include "call_attempt.h"
#include "cassia/keys.h"
#include "control.h"
#include "daemon.h"

/* Most attempts for one request. Includes retries, and attempts that are sent
 * to another host because a daemon refused them without calling its upstream;
 * these do not count as retries. */
#define ENTRY_ATTEMPTS_MAX 16
/* Retry-After of a daemon that stops: about the time until it is back after a
 * restart, for callers that know no other daemon. */
#define ENTRY_STOPPING_RETRY_US CAS_USEC_PER_SEC
/* Retry-After when no upstream can be chosen: ejected and stopped ones are back
 * after about this time. */
#define ENTRY_NO_UPSTREAM_RETRY_US CAS_USEC_PER_SEC
/* A body below this size is buffered completely before it is sent, so that a
 * retry can send it again. */
#define ENTRY_BODY_REPLAY_BYTES (64 * 1024)

/* Size of a request id with its terminator. Longer ids of callers are
 * truncated. */
#define ENTRY_ID_TEXT_BYTES 65

struct entry_request {
	entry_request_t *next; /* in the list of the daemon */
	entry_request_t *prev;
	entry_request_t *next_child; /* in the list of the parent */
	entry_request_t *prev_child;
	cassiad_t *daemon;
	http_exchange_t *exchange;
	http_headers_t *headers; /* of the caller, without keys */
	/* The running request that made this child call, or NULL. */
	attempt_live_entry_t *parent;
	attempt_context context;
	char id_text[ENTRY_ID_TEXT_BYTES]; /* request id, terminated */
	keys_lookup_t key_lookup; /* valid if has_key */
	bool has_key;
	bool is_child; /* stays set when the parent has ended */
	bool has_body;
	int64_t max_body_bytes;
	/* The regions allowed by the table with which the request was accepted
	 * (a talloc array), NULL: all. Later tables can only limit further. */
	cas_id_t *regions;
	size_t region_count;
	int64_t started_us;
	retry_budget_t own_budget; /* used while there is no parent */
	int32_t granted_retries; /* units passed with the attempt */
	cas_id_t tried_hosts[ENTRY_ATTEMPTS_MAX]; /* in order of attempts */
	size_t tried_host_count;
	cas_id_t next_host; /* decided on for a repeat, 0: none */
	/* Hosts whose upstream an attempt has reached, each once. */
	cas_id_t arrived_hosts[ENTRY_ATTEMPTS_MAX];
	size_t arrived_host_count;
	size_t hosts_max; /* upstreams that may get the request */
	cas_id_t instance; /* that the last attempt was sent to, 0: unknown */
	int32_t paced_reroutes; /* after an upstream limited by its pace */
	control_token_wait_t *token_wait; /* pending token, NULL: none */
	call_attempt_t *attempt; /* running attempt, NULL: none */
	int64_t attempt_started_us;
	bool has_processor_time; /* the processor limit took it in */
	bool sending_started; /* the first attempt was started */
	bool may_have_run; /* an attempt may have run without a result */
	bool answered; /* a response was started */
	uint32_t outcome; /* ATTEMPT_SERVED, ATTEMPT_NOT_RUN, ATTEMPT_UNKNOWN */
	reason_t reason; /* REASON_NONE when served */
	int status; /* HTTP status sent to the caller, 0: none yet */
};

/* entry.c: cancels all work for a request and answers it with an error. Does
 * nothing when a response was started. expected_us is when capacity is expected,
 * in microseconds from now; 0: no estimate. */
void entry_refuse(entry_request_t *request, reason_t reason,
		  int64_t expected_us);

/* Returns the id of a route at its depth in the call chain, under which
 * admitted fractions and usual times are kept. The admitted fraction of a route
 * includes those of its child calls, and the time that a request takes depends
 * on its position in the chain. */
cas_id_t entry_chain_key(const attempt_context *context);

/* entry_head.c: finds the route and the customer of a request and fills in its
 * context. local: it came to the server for child calls. Returns REASON_NONE,
 * or the reason for which it is refused. */
reason_t entry_check_head(entry_request_t *request, bool local);

/* Copies the fields of the caller without its key, which upstreams and other
 * daemons must not see. Needed before the first attempt, and not for a refusal.
 * Returns REASON_NONE, or REASON_OVERLOADED when memory is short. */
reason_t entry_copy_headers(entry_request_t *request);

/* entry_regions.c: keeps the list of regions that the table in force allows to
 * a request whose route and customer are known. is_orphan: it may be a child
 * call whose parent, and with it the customer, is unknown. Returns 0, or -1
 * when out of memory. */
int entry_keep_regions(entry_request_t *request, bool is_orphan);

/* entry_attempts.c: returns false if the regions of the request are limited and
 * no upstream in them can be chosen now. */
bool entry_has_allowed_upstream(entry_request_t *request);

/* entry_attempts.c: returns the size of the body in bytes, 0 for none, -1 if it
 * is unknown. */
int64_t entry_body_bytes(const entry_request_t *request);

/* Starts the next attempt, or refuses the request when its
 * deadline has passed or no upstream is left. */
void entry_start_attempt(entry_request_t *request);

/* entry_repeats.c: counts a first attempt or a repeat in the plan of retries. */
void entry_count_call(const entry_request_t *request);

/* Returns whether the services that the request calls, if they reject a share of
 * their arrivals, leave it enough retries to be completed. */
bool entry_may_be_completed(const entry_request_t *request);

/* Tells the plan of retries about an attempt that has ended, if it reached the
 * upstream of the host. */
void entry_record_arrival(entry_request_t *request, cas_id_t host,
			  const call_attempt_result_t *result);

/* Returns whether the request may be sent to an upstream that it has not reached:
 * repeats use no retry unit, so these alone do not keep the number of different
 * upstreams within the attempts of the route. */
bool entry_may_reach_other_host(const entry_request_t *request);

/* Learns from an outcome which share of such requests can be completed. */
void entry_learn_tree_share(entry_request_t *request,
			    const attempt_outcome *report);

/* Decides whether to send a request again that its upstream has rejected as not
 * run although it had room. If so, sets next_host; the body is at its start.
 * Since nothing has run, no retry unit is used; the plan limits these repeats. */
bool entry_plan_repeat(entry_request_t *request, const routing_query_t *query);

/* entry_reply.c: sends the error response of a refused request; status, outcome
 * and reason are set. retry_after_us may be RETURN_TIME_NONE. */
void entry_reply_refusal(entry_request_t *request, int64_t retry_after_us);

/* Passes the response of the upstream on. Takes over headers and body of
 * reply. */
void entry_reply_served(entry_request_t *request, const http_reply_t *reply);

#endif
