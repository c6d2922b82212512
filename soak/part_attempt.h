/*
 * Part with attempts and retries on each host. A root request causes a chain of
 * calls from service to service. As in the daemon, each attempt has a signed
 * context, is recorded in the at-most-once table, gets a part of the retry
 * units, and ends with a signed outcome.
 */
#ifndef SOAK_PART_ATTEMPT_H
#define SOAK_PART_ATTEMPT_H

#include "fleet.h"

#define PART_ATTEMPT_DEPTH 6 /* services in a chain */

/* Counts of the whole fleet. */
typedef struct part_attempt_totals {
	uint64_t roots; /* root requests */
	uint64_t attempts;
	uint64_t runs; /* attempts that reached an upstream */
	uint64_t retries;
	uint64_t resent; /* attempts sent again after a lost connection */
	uint64_t duplicates; /* refused by the at-most-once table */
	uint64_t served; /* calls by outcome: served, not_run, unknown */
	uint64_t not_run;
	uint64_t unknown;
	uint64_t budgets_exhausted; /* root requests that spent all units */
	uint64_t checks; /* see check_attempts.h */
	uint64_t digest; /* hash of the outcomes of calls and their times */
} part_attempt_totals_t;

/* Adds the part to the fleet and returns its index. */
size_t part_attempt_add(fleet_t *fleet);

/* Starts the arrivals of root requests. */
void part_attempt_start(fleet_t *fleet);

/* Returns the totals (borrowed). */
const part_attempt_totals_t *part_attempt_totals(fleet_t *fleet);

#endif
