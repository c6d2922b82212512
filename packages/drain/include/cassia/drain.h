/*
 * Graceful stop of a daemon, and drain of its upstream without a stop.
 *
 * The steps of a stop, each of which begins when the one before it has ended:
 *
 * 1. DRAIN_ANNOUNCING: readiness is off, peers are informed, and each response
 *    closes its connection. A new request is accepted if it can be expected to
 *    end before the process does. Ends after DRAIN_STOP_ANNOUNCE_US, at the
 *    latest after half of the time limit.
 * 2. DRAIN_FINISHING: new requests are refused as not run, on whichever
 *    connection they arrive. Listeners that also serve peers or child calls
 *    stay open: a child call belongs to work that was accepted. Ends when no
 *    accepted request is left.
 * 3. DRAIN_CLOSING: all listeners are closed. Requests on connections that are
 *    still open are refused. Ends when these connections are idle.
 *
 * So nothing that was accepted is left when the connections close, whatever the
 * time limit is. What takes longer than expected, or was accepted before the
 * stop and outlasts it, gets a final answer of unknown outcome shortly before
 * the limit (DRAIN_GIVING_UP).
 *
 * While its upstream drains, the daemon stays an entry daemon. After an
 * announcement the upstream is closed: work that has not reached it yet is
 * refused, wherever it waits, until the drain is cancelled. A stop that replaces
 * the drain does not open the upstream again.
 *
 * The upstream may also be held closed, apart from any drain.
 */
#ifndef CASSIA_DRAIN_H
#define CASSIA_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"

enum drain_error {
	DRAIN_OK = 0,
	DRAIN_ENOMEM = -2101,
	DRAIN_EALREADY = -2102, /* a drain has already begun */
};

/* How long a stop is announced: load balancers that ask for readiness once a
 * second and tolerate one failure learn of it within two seconds. */
#define DRAIN_STOP_ANNOUNCE_US (3 * CAS_USEC_PER_SEC)
/* How long the drain of an upstream is announced before new work for it is
 * rejected. Peers learn of it from the host list. Users allow two seconds. */
#define DRAIN_UPSTREAM_ANNOUNCE_US (1 * CAS_USEC_PER_SEC)
/* Time in which final answers are sent; it begins that much before the limit of
 * a stop. */
#define DRAIN_GIVE_UP_US (200 * CAS_USEC_PER_MSEC)

typedef enum drain_state {
	DRAIN_SERVING,
	DRAIN_ANNOUNCING, /* peers are informed, work is still accepted */
	DRAIN_FINISHING, /* waits for the accepted requests */
	DRAIN_CLOSING, /* waits for the open connections; only in a stop */
	DRAIN_GIVING_UP, /* requests get a final answer; only in a stop */
	DRAIN_DONE, /* no request is in flight */
	DRAIN_TIMED_OUT, /* the time limit passed with requests in flight */
} drain_state_t;

typedef enum drain_goal {
	DRAIN_GOAL_STOP, /* the process exits when the drain ends */
	/* Only the upstream leaves; the daemon stays an entry daemon. */
	DRAIN_GOAL_UPSTREAM,
} drain_goal_t;

typedef struct drain drain_t;

/* Callbacks, each called with the private_data of drain_create. The ones of
 * DRAIN_GOAL_STOP are called at most once. */
typedef struct drain_ops {
	/* Informs peers and readiness checks; called once per drain_begin. */
	void (*announce)(void *private_data);
	/* Closes the listeners that serve callers only; for DRAIN_GOAL_STOP
	 * only. */
	void (*end_intake)(void *private_data);
	/* Closes the other listeners; for DRAIN_GOAL_STOP only. */
	void (*stop_listening)(void *private_data);
	/* Answers the requests that are left; for DRAIN_GOAL_STOP only. */
	void (*give_up)(void *private_data);
	/* Called with DRAIN_DONE or DRAIN_TIMED_OUT when a drain ends, unless
	 * it was cancelled or replaced by a stop before that. */
	void (*finished)(void *private_data, drain_state_t state);
	/* Gives up the work that waits for the upstream, which accepts none any
	 * more; called once per closing of the upstream. */
	void (*upstream_closed)(void *private_data);
} drain_ops_t;

/* What a drain waits for. */
typedef struct drain_load {
	uint64_t inflight; /* accepted requests, including queued ones */
	bool connections_idle; /* no open connection had recent traffic */
} drain_load_t;

/* Returns a new state machine in DRAIN_SERVING, or NULL when out of
 * memory. clock and ops are borrowed. */
drain_t *drain_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
		      const drain_ops_t *ops, void *private_data);

/*
 * Begins a drain with a time limit of timeout_us microseconds. A stop may begin
 * during or after the drain of an upstream and replaces it. Returns 0 or
 * DRAIN_EALREADY.
 */
int drain_begin(drain_t *drain, drain_goal_t goal, int64_t timeout_us);

/* Closes the upstream without an announcement, for example when the host list
 * no longer has its host. Changes no state: the daemon goes on as an entry
 * daemon. */
void drain_close_upstream(drain_t *drain);

/* Opens the upstream again and cancels its drain, for example when the host list
 * has its host as not leaving. Does not cancel a stop. */
void drain_cancel(drain_t *drain);

/* Holds the upstream closed for new work, or ends that: for example while its
 * data centre is evacuated. Changes no state and depends on none: the upstream
 * accepts work only if it is neither held nor closed by a drain. */
void drain_hold_upstream(drain_t *drain, bool held);

/* Makes the state transitions that are due and calls back; must be called at
 * least every 100 ms during a drain. */
void drain_tick(drain_t *drain, const drain_load_t *load);

drain_state_t drain_state(const drain_t *drain);

/* Returns whether the process is about to exit. */
bool drain_is_stop(const drain_t *drain);

/* Returns whether work that is expected to take expected_us microseconds ends
 * before the process does. Always true unless a stop has begun. */
bool drain_has_time(const drain_t *drain, int64_t expected_us);

/* Returns whether to accept a new request that is expected to end within
 * expected_us microseconds. Always true unless a stop has begun. */
bool drain_accepts_request(const drain_t *drain, int64_t expected_us);

/* Returns whether to accept a child call of a request that the upstream of this
 * host still runs. It belongs to accepted work, and its deadline is that of its
 * parent. */
bool drain_accepts_child_call(const drain_t *drain);

/* As drain_accepts_request, for a request that may be such a child call or come
 * from a caller. After the announcement it must be expected to end within half
 * of the time that is left. */
bool drain_accepts_possible_child_call(const drain_t *drain,
				       int64_t expected_us);

/* Returns whether an accepted request may be sent to the upstream of this host.
 * To be asked again after each wait before the request is sent. */
bool drain_accepts_upstream_work(const drain_t *drain);

/* Returns the time at which requests in flight get a final answer, INT64_MAX
 * unless a stop has begun. */
int64_t drain_deadline(const drain_t *drain);

#endif
