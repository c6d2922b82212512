/*
 * Checks the invariant that the limit of check_windows.h depends on: the tokens
 * of a customer that all daemons together could still use or grant never exceed
 * its burst. It detects a fault even when no requests use the excess tokens.
 */
#ifndef SOAK_CHECK_TOKENS_H
#define SOAK_CHECK_TOKENS_H

#include "part_quota.h"

typedef struct check_tokens check_tokens_t;

/* Returns a new check, owned by ctx. The other pointers are borrowed; customers
 * has count elements. Aborts when memory runs out. */
check_tokens_t *check_tokens_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const fake_customer_t *customers,
				    size_t count,
				    const check_windows_t *windows);

/* Compares the current sum of tokens of each customer with its burst. */
void check_tokens_step(check_tokens_t *check);

/* Return how often a sum was too large, and the largest excess in tokens. */
uint64_t check_tokens_violations(const check_tokens_t *check);
double check_tokens_excess(const check_tokens_t *check);

#endif
