/* Compares the sum of tokens over all processes, including paused ones, with
 * the burst of each customer. */
#include "check_tokens.h"

#define ROUNDING_TOKENS 1e-3 /* tolerated */

struct check_tokens {
	fleet_t *fleet;
	const fake_customer_t *customers;
	size_t customer_count;
	const check_windows_t *windows;
	uint64_t violations;
	double max_excess;
};

check_tokens_t *check_tokens_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const fake_customer_t *customers,
				    size_t count,
				    const check_windows_t *windows)
{
	check_tokens_t *check = sim_zero(ctx, check_tokens_t);

	check->fleet = fleet;
	check->customers = customers;
	check->customer_count = count;
	check->windows = windows;
	return check;
}

/* Returns the sum of tokens that the daemons could use or grant. */
static double count_tokens(check_tokens_t *check, cas_id_t customer)
{
	int64_t sum = 0;

	for (size_t i = 0; i < check->fleet->host_count; i++) {
		fleet_host_t *host = &check->fleet->hosts[i];

		if (host->running)
			sum += quota_tokens(part_quota_of(host), customer,
					    fleet_host_time(host));
	}
	return (double)sum / (double)QUOTA_TOKEN;
}

void check_tokens_step(check_tokens_t *check)
{
	for (size_t i = 0; i < check->customer_count; i++) {
		double excess = count_tokens(check, check->customers[i].id) -
				check_windows_burst(check->windows, i);

		if (excess <= ROUNDING_TOKENS)
			continue;
		check->violations++;
		if (excess > check->max_excess)
			check->max_excess = excess;
	}
}

uint64_t check_tokens_violations(const check_tokens_t *check)
{
	return check->violations;
}

double check_tokens_excess(const check_tokens_t *check)
{
	return check->max_excess;
}
