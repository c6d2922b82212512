/*
 * Graceful stop of a daemon, and drain of its upstream without a stop. To stop,
 * the daemon first announces this but still accepts work, since peers may send
 * some before they know; then it closes its listeners, and exits when no
 * request is in flight.
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

/* How long a daemon announces its stop to its peers before it closes the
 * listeners. */
#define DRAIN_STOP_ANNOUNCE_US (3 * CAS_USEC_PER_SEC)
/* How long the drain of an upstream is announced before new work for it is
 * rejected. Peers learn of it from the host list. Users allow two seconds. */
#define DRAIN_UPSTREAM_ANNOUNCE_US (1 * CAS_USEC_PER_SEC)

typedef enum drain_state {
	DRAIN_SERVING,
	DRAIN_ANNOUNCING, /* peers are informed, work is still accepted */
	DRAIN_FINISHING, /* waits for the requests in flight */
	DRAIN_DONE, /* no request is in flight */
	DRAIN_TIMED_OUT, /* the time limit passed with requests in flight */
} drain_state_t;

typedef enum drain_goal {
	DRAIN_GOAL_STOP, /* the process exits when the drain ends */
	/* Only the upstream leaves; the daemon stays an entry daemon. */
	DRAIN_GOAL_UPSTREAM,
} drain_goal_t;

typedef struct drain drain_t;

/* Callbacks, each called with the private_data of drain_create. */
typedef struct drain_ops {
	/* Informs peers and readiness checks; called once per drain_begin. */
	void (*announce)(void *private_data);
	/* Closes the listeners; called once, for DRAIN_GOAL_STOP only. */
	void (*stop_listening)(void *private_data);
	/* Called with DRAIN_DONE or DRAIN_TIMED_OUT when a drain ends, unless
	 * it was cancelled or replaced by a stop before that. */
	void (*finished)(void *private_data, drain_state_t state);
} drain_ops_t;

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

/* Cancels the drain of an upstream, for example when the host list no longer
 * has its host as leaving. Does nothing during a stop. */
void drain_cancel(drain_t *drain);

/* Sets the number of requests in flight at this daemon, including queued
 * ones. */
void drain_set_inflight(drain_t *drain, uint64_t inflight);

/* Makes the state transitions that are due and calls back; must be called at
 * least every 100 ms during a drain. */
void drain_tick(drain_t *drain);

drain_state_t drain_state(const drain_t *drain);

/* Returns whether new work may be sent to the upstream of this host. */
bool drain_accepts_upstream_work(const drain_t *drain);

#endif
