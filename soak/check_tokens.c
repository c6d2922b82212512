/* Sums over all processes, paused ones included. */
#include "check_tokens.h"

#include <stdlib.h>

#define ROUNDING 1e-3 /* tokens */

struct check_tokens {
	fleet_t *fleet;
	const fake_customer_t *customers;
	size_t count;
	const check_windows_t *windows;
	uint64_t violations;
	double excess;
};

check_tokens_t *check_tokens_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const fake_customer_t *customers,
				    size_t count,
				    const check_windows_t *windows)
{
	check_tokens_t *tokens = talloc_zero(ctx, check_tokens_t);

	if (!tokens)
		abort();
	tokens->fleet = fleet;
	tokens->customers = customers;
	tokens->count = count;
	tokens->windows = windows;
	return tokens;
}

static double sum_of(check_tokens_t *tokens, cas_id_t customer)
{
	int64_t sum = 0;

	for (size_t i = 0; i < tokens->fleet->host_count; i++) {
		fleet_host_t *host = &tokens->fleet->hosts[i];

		if (host->running)
			sum += quota_tokens(part_quota_of(host), customer,
					    fleet_host_time(host));
	}
	return (double)sum / (double)QUOTA_TOKEN;
}

void check_tokens_step(check_tokens_t *tokens)
{
	for (size_t i = 0; i < tokens->count; i++) {
		double excess = sum_of(tokens, tokens->customers[i].id) -
				check_windows_burst(tokens->windows, i);

		if (excess <= ROUNDING)
			continue;
		tokens->violations++;
		if (excess > tokens->excess)
			tokens->excess = excess;
	}
}

uint64_t check_tokens_violations(const check_tokens_t *tokens)
{
	return tokens->violations;
}

double check_tokens_excess(const check_tokens_t *tokens)
{
	return tokens->excess;
}
