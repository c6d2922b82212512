/* Invariants of the fence: at most one daemon adds tokens to a bucket, and the
 * fence is not settled at two host lists at once. */
#ifndef SOAK_CHECK_HOLDERS_H
#define SOAK_CHECK_HOLDERS_H

#include "part_quota.h"

typedef struct check_holders check_holders_t;

check_holders_t *check_holders_create(TALLOC_CTX *ctx, fleet_t *fleet);

/* Compares all running daemons now. */
void check_holders_step(check_holders_t *holders);

uint64_t check_holders_checks(const check_holders_t *holders);

#endif
