/*
 * Invariant behind the window check: the tokens of a customer that all daemons
 * together could still use or grant never exceed its burst. It shows a fault
 * even when no flood makes use of the surplus.
 */
#ifndef SOAK_CHECK_TOKENS_H
#define SOAK_CHECK_TOKENS_H

#include "part_quota.h"

typedef struct check_tokens check_tokens_t;

check_tokens_t *check_tokens_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const fake_customer_t *customers,
				    size_t count,
				    const check_windows_t *windows);

/* Adds up the tokens now. */
void check_tokens_step(check_tokens_t *tokens);

uint64_t check_tokens_violations(const check_tokens_t *tokens);
double check_tokens_excess(const check_tokens_t *tokens);

#endif
