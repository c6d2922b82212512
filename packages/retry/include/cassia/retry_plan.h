/*
 * Retries of the calls to a service that rejects a share of them, and the share
 * of request trees that can be completed with these retries.
 *
 * Load pattern: a service deep in the call chain rejects a share p of its
 * arrivals as not run, whatever its load. A request makes several calls to it,
 * one after the other, and fails with the first one that fails. The retries to
 * a service are limited to a fraction of the calls to it, so they suffice for
 * all calls only while p is small. Beyond that, retries spread evenly over all
 * trees complete hardly any of them. The plan gives the retries to the most
 * important trees, and states for each importance which share of the trees can
 * be completed, so that the others are rejected before work is spent.
 *
 * Each daemon plans for the calls that it makes. When all keep their retries
 * below the fraction, so does the fleet.
 */
#ifndef CASSIA_RETRY_PLAN_H
#define CASSIA_RETRY_PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

/* Number of importance levels, 0..15; 15 is the highest. */
#define RETRY_IMPORTANCES 16

/* A call, or the request tree that it belongs to. */
typedef struct retry_call {
	cas_id_t service; /* that is called */
	int32_t importance; /* of the root request, 0..15 */
	uint32_t draw; /* random, of the root request */
	/* Made by a run of the caller that was itself a repeat: it counts as a
	 * repeat at the called service. */
	bool repeat;
} retry_call_t;

/* What the plan knows of a service. */
typedef struct retry_plan_state {
	cas_id_t service;
	double rejected_share; /* of the arrivals in the last second */
	double lowest_share; /* of all importances, see retry_plan_share */
	double repeats_max; /* in a window of 10 s */
} retry_plan_state_t;

typedef struct retry_plan retry_plan_t;

/* Callbacks to the owner of the plan; a NULL member is not called. */
typedef struct retry_plan_ops {
	/* The repeats have ceased to suffice for all calls to a service
	 * (limited), or suffice again. */
	void (*changed)(void *private, const retry_plan_state_t *state,
			bool limited);
} retry_plan_ops_t;

/* Returns a new plan, or NULL when out of memory. clock is borrowed, ops is
 * copied and may be NULL; private is passed to the callbacks. ratio is the limit
 * of repeats as a fraction of the calls in a window of 10 s; with 0, the plan
 * allows no repeats and rejects no trees. */
retry_plan_t *retry_plan_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				double ratio, const retry_plan_ops_t *ops,
				void *private);

/* Counts a call whose first attempt is about to be sent. */
void retry_plan_count_call(retry_plan_t *plan, const retry_call_t *call);

/* Records that an attempt has reached the service. rejected: the service stated
 * that it has not run, although it had room. */
void retry_plan_record_arrival(retry_plan_t *plan, const retry_call_t *call,
			       bool rejected);

/* Returns whether one more repeat to the service is within the limit. */
bool retry_plan_has_room(retry_plan_t *plan, cas_id_t service);

/* Returns whether the call may be repeated, and counts the repeat if so. */
bool retry_plan_allow_repeat(retry_plan_t *plan, const retry_call_t *call);

/* Returns the share (0..1) of the trees of this importance whose calls to the
 * service get all the retries that they need; 1 while the service rejects few
 * arrivals. */
double retry_plan_share(retry_plan_t *plan, cas_id_t service,
			int32_t importance);

/* Returns whether a call belongs to that share. */
bool retry_plan_includes(retry_plan_t *plan, const retry_call_t *call);

#endif
