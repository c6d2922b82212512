/*
 * Attempts and retries on each host: root requests run down a chain of
 * services, each attempt with a signed context, at-most-once table, escrow and
 * outcome, as a daemon does it.
 */
#ifndef SOAK_PART_ATTEMPT_H
#define SOAK_PART_ATTEMPT_H

#include "fleet.h"

#define PART_ATTEMPT_DEPTH 6 /* services in a chain */

typedef struct part_attempt_totals {
	uint64_t roots;
	uint64_t attempts;
	uint64_t runs;
	uint64_t retries;
	uint64_t resent;
	uint64_t duplicates; /* refused by the table */
	uint64_t served;
	uint64_t not_run; /* outcomes of calls */
	uint64_t unknown;
	uint64_t spent_up; /* roots that used their whole retry budget */
	uint64_t checks;
	uint64_t digest;
} part_attempt_totals_t;

size_t part_attempt_add(fleet_t *fleet);

/* Starts the arrivals of root requests. */
void part_attempt_start(fleet_t *fleet);

const part_attempt_totals_t *part_attempt_totals(fleet_t *fleet);

#endif
