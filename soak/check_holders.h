/* Checks the invariants of the fence: at most one daemon adds tokens to a
 * bucket, and the fence of a data centre is not settled at two roster revisions
 * at the same time. */
#ifndef SOAK_CHECK_HOLDERS_H
#define SOAK_CHECK_HOLDERS_H

#include "part_quota.h"

typedef struct check_holders check_holders_t;

/* Returns a new check, owned by ctx. fleet is borrowed. Aborts when memory is
 * short. */
check_holders_t *check_holders_create(TALLOC_CTX *ctx, fleet_t *fleet);

/* Compares the daemons that run and are not paused; reports violations. */
void check_holders_step(check_holders_t *check);

/* Returns the number of comparisons so far. */
uint64_t check_holders_checks(const check_holders_t *check);

#endif
