/*
 * Graceful stop of a daemon and drain of its upstream. The daemon first
 * announces that it leaves and still accepts work that others have sent
 * meanwhile, then closes its listeners, and exits when nothing is in flight.
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
	DRAIN_EALREADY = -2102, /* a drain is in progress */
};

/* How long peers have to learn of a stop before listeners close, and of the
 * drain of an upstream, which they read in the host list, before new work for
 * it is refused. */
#define DRAIN_ANNOUNCE_US (3 * CAS_USEC_PER_SEC)
#define DRAIN_UPSTREAM_US (1 * CAS_USEC_PER_SEC)

typedef enum drain_state {
	DRAIN_SERVING,
	DRAIN_ANNOUNCING, /* peers are told, work is still accepted */
	DRAIN_FINISHING, /* listeners are closed, work in flight ends */
	DRAIN_DONE, /* nothing in flight */
	DRAIN_TIMED_OUT, /* the time limit passed with work in flight */
} drain_state_t;

typedef enum drain_goal {
	DRAIN_GOAL_STOP, /* the process exits at the end */
	DRAIN_GOAL_UPSTREAM, /* the upstream leaves, the daemon stays an entry */
} drain_goal_t;

typedef struct drain drain_t;

typedef struct drain_ops {
	/* Tells peers and readiness checks; called once. */
	void (*announce)(void *private_data);
	/* Closes the listeners; called once and only for DRAIN_GOAL_STOP. */
	void (*stop_listening)(void *private_data);
	/* Called once with DRAIN_DONE or DRAIN_TIMED_OUT. */
	void (*finished)(void *private_data, drain_state_t state);
} drain_ops_t;

/* Returns a new state machine in DRAIN_SERVING, or NULL when memory is
 * short. clock and ops are borrowed. */
drain_t *drain_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
		      const drain_ops_t *ops, void *private_data);

/*
 * Starts a drain that may take timeout_us microseconds. A stop may follow an
 * upstream's drain and takes its place. Returns 0 or DRAIN_EALREADY.
 */
int drain_begin(drain_t *drain, drain_goal_t goal, int64_t timeout_us);

/* Takes an upstream's drain back, for example after a leaving host was listed
 * as live again. Does nothing for a stop. */
void drain_cancel(drain_t *drain);

/* Reports how many requests are in flight here, queued ones included. */
void drain_set_inflight(drain_t *drain, uint64_t inflight);

/* Moves the state on; called at least every 100 ms during a drain. */
void drain_tick(drain_t *drain);

drain_state_t drain_state(const drain_t *drain);

/* Returns whether new work may be given to the upstream of this host. */
bool drain_accepts_upstream_work(const drain_t *drain);

#endif
