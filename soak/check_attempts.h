/*
 * Records what happened to every call and checks the invariants of attempts and
 * retries: an attempt runs at most once, a call that is not idempotent runs at
 * most once, a call reported as not run has not run and does not run later, and
 * the retry units of a root request never increase.
 */
#ifndef SOAK_CHECK_ATTEMPTS_H
#define SOAK_CHECK_ATTEMPTS_H

#include "fleet.h"

/* A root request. */
typedef struct check_root {
	int32_t retry_units; /* initial number */
	int32_t unspent; /* in the budgets of the call tree */
	int32_t spent; /* on retries */
	bool idempotent;
	bool always_fails; /* every service in the chain returns an error */
} check_root_t;

/* A call to a service, which consists of one or more attempts. */
typedef struct check_call {
	check_root_t *root;
	uint32_t runs;
	bool reported_not_run;
} check_call_t;

/* An attempt. Kept until the end of the run, because delayed messages refer to
 * it. */
typedef struct check_attempt {
	check_call_t *call;
	uint32_t runs;
} check_attempt_t;

/* Return new records, owned by the fleet, the root and the call. They abort
 * when memory runs out. */
check_root_t *check_root_create(fleet_t *fleet, int32_t retry_units,
				bool idempotent);
check_call_t *check_call_create(check_root_t *root);
check_attempt_t *check_attempt_create(check_call_t *call);

/* Records that an attempt runs at the upstream of host. */
void check_attempt_run(fleet_host_t *host, check_attempt_t *attempt);

/* Records that the caller at host is told that the call has not run. */
void check_call_reported_not_run(fleet_host_t *host, check_call_t *call);

/* Records that a retry budget of the call tree, held at host, changed by delta
 * units, and that spent units were used for retries. */
void check_root_update_units(fleet_host_t *host, check_root_t *root,
			     int32_t delta, int32_t spent);

/* Returns the number of checks so far. */
uint64_t check_attempts_checks(void);

#endif
