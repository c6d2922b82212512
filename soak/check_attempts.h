/*
 * What really happened to every call, and the invariants of attempts and
 * retries: an attempt runs at most once, a non-idempotent call runs at most
 * once, "not run" is true, and the retry units of a root never grow.
 */
#ifndef SOAK_CHECK_ATTEMPTS_H
#define SOAK_CHECK_ATTEMPTS_H

#include "fleet.h"

/* One root request. */
typedef struct check_root {
	int32_t bound; /* retry units of the root request */
	int32_t held; /* in budgets of the call tree */
	int32_t spent;
	bool idempotent;
	bool failing; /* every hop fails */
} check_root_t;

/* One call of a service, made of one or more attempts. */
typedef struct check_call {
	check_root_t *root;
	uint32_t runs;
	bool claimed_not_run;
} check_call_t;

/* One attempt. Kept until the end, as late messages refer to it. */
typedef struct check_attempt {
	check_call_t *call;
	uint32_t runs;
} check_attempt_t;

check_root_t *check_root_create(fleet_t *fleet, int32_t bound, bool idempotent);
check_call_t *check_call_create(check_root_t *root);
check_attempt_t *check_attempt_create(check_call_t *call);

/* The attempt reaches the upstream of host. */
void check_attempt_run(fleet_host_t *host, check_attempt_t *attempt);

/* The caller at host is told that the call has not run. */
void check_call_not_run(fleet_host_t *host, check_call_t *call);

/* A budget of the tree at host changed by delta; spent of it was used. */
void check_root_account(fleet_host_t *host, check_root_t *root, int32_t delta,
			int32_t spent);

uint64_t check_attempts_checks(void);

#endif
