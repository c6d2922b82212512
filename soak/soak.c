/*
 * Randomized test of a simulated fleet. The modules of many daemons run in one
 * process on simulated clocks while overlapping faults are injected, and the
 * invariants are checked. The same seed gives the same run. Prints lines of
 * counts, and one line for each violation (the first 100). The exit status is
 * 1 after a violation and 2 for invalid options.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "boot_faults.h"
#include "check_config.h"
#include "check_holders.h"
#include "check_tokens.h"
#include "fence.h"
#include "faults.h"
#include "load.h"
#include "part_attempt.h"
#include "part_membership.h"
#include "violations.h"

#define STEP_US (10 * CAS_USEC_PER_MSEC)
#define MAX_CLOCK_DRIFT 0.001 /* of a host, as a fraction */
#define HOLDERS_CHECK_INTERVAL 5 /* in steps */

/* Selected by the lowest bit of the seed. The first has data centres of 17
 * hosts where a customer with a high rate has two buckets while all 17 are
 * listed, and one otherwise. The second has small data centres. */
static const fleet_config_t configs[] = {
	{
		.regions = 2,
		.dcs = 3,
		.hosts_per_dc = 17,
		.max_drift = MAX_CLOCK_DRIFT,
		.intra_region_delay_us = 500,
		.inter_region_delay_us = 8000,
	},
	{
		.regions = 3,
		.dcs = 6,
		.hosts_per_dc = 6,
		.max_drift = MAX_CLOCK_DRIFT,
		.intra_region_delay_us = 500,
		.inter_region_delay_us = 8000,
	},
};

static fake_customer_t customers[] = {
	{ .name = "small", .rate = 5, .burst = 5 },
	{ .name = "medium", .rate = 160, .burst = 100 },
	{ .name = "large", .rate = 600, .burst = 900 },
	{ .name = "flood", .rate = 40, .burst = 40 },
};

#define CUSTOMER_COUNT (sizeof(customers) / sizeof(customers[0]))

/* Request rate of each customer, as a multiple of its limit. */
static const double load_factor[CUSTOMER_COUNT] = { 1.5, 1.2, 0.9, 8 };

static int seed = 1;
static int steps = 90000;

static const GOptionEntry options[] = {
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the random generator",
	  "N" },
	{ "steps", 0, 0, G_OPTION_ARG_INT, &steps, "Number of steps of 10 ms",
	  "N" },
	{ 0 },
};

static void start_loads(TALLOC_CTX *ctx, fleet_t *fleet, load_t **loads)
{
	for (size_t i = 0; i < CUSTOMER_COUNT; i++) {
		loads[i] =
			load_start(ctx, fleet, i,
				   load_factor[i] * (double)customers[i].rate,
				   LOAD_ROTATING_DC);
		loads[i]->period_us = (int64_t)(i + 1) * CAS_USEC_PER_SEC;
	}
}

/* Returns the whole tokens that the running daemons have lent to others since
 * they started. */
static uint64_t lent_tokens(fleet_t *fleet)
{
	int64_t lent_micro = 0;

	for (size_t i = 0; i < fleet->host_count; i++) {
		if (fleet->hosts[i].running)
			lent_micro +=
				quota_stats(part_quota_of(&fleet->hosts[i]))
					->lent_micro;
	}
	return (uint64_t)(lent_micro / QUOTA_TOKEN);
}

/* The checks of a run. */
typedef struct checks {
	check_windows_t *windows;
	uint64_t window_violations_reported; /* already printed */
	check_tokens_t *tokens;
	uint64_t token_violations_reported;
	check_holders_t *holders;
	documents_t *documents;
	check_config_t *config;
} checks_t;

static void print_quota(fleet_t *fleet, const faults_t *faults,
			const checks_t *checks)
{
	uint64_t sent = 0;

	for (size_t i = 0; i < CUSTOMER_COUNT; i++)
		sent += part_quota_totals(fleet, i)->sent;
	printf("soak seed=%d steps=%d faults=%" PRIu64 " pauses=%" PRIu64
	       " lost=%" PRIu64 " repeated=%" PRIu64 " delayed=%" PRIu64
	       " held=%" PRIu64 " messages=%" PRIu64 "\n",
	       seed, steps, faults_count(faults), fleet->pauses, fleet->lost,
	       fleet->duplicated, fleet->delayed, fleet->buffered,
	       fleet->messages);
	printf("soak requests=%" PRIu64 " admitted=%" PRIu64
	       " lent_tokens=%" PRIu64 " window_violations=%" PRIu64
	       " window_excess=%.6f token_violations=%" PRIu64
	       " token_excess=%.6f digest=%016" PRIx64 "\n",
	       sent, check_windows_admissions(checks->windows),
	       lent_tokens(fleet), check_windows_violations(checks->windows),
	       check_windows_excess(checks->windows),
	       check_tokens_violations(checks->tokens),
	       check_tokens_excess(checks->tokens),
	       check_windows_digest(checks->windows));
}

static void print_membership(fleet_t *fleet, const checks_t *checks)
{
	const part_membership_totals_t *totals = part_membership_totals(fleet);

	printf("soak part=membership beats=%" PRIu64 " notices=%" PRIu64
	       " roster_fetches=%" PRIu64 " undecoded=%" PRIu64
	       " checks=%" PRIu64 "\n",
	       totals->beats, totals->notices, totals->fetches,
	       totals->undecoded, check_holders_checks(checks->holders));
}

static void print_config(fleet_t *fleet, const checks_t *checks)
{
	const part_config_totals_t *totals = part_config_totals(fleet);
	const check_config_totals_t *checked =
		check_config_totals(checks->config);

	printf("soak part=config tables=%" PRId64 " platform_faults=%" PRIu64
	       " offers=%" PRIu64 " accepted=%" PRIu64 " stale=%" PRIu64
	       " refused=%" PRIu64 " boots=%" PRIu64 " boot_pauses=%" PRIu64
	       " asks=%" PRIu64 " fetches=%" PRIu64 " boot_checks=%" PRIu64
	       " boot_peer_checks=%" PRIu64 " table_checks=%" PRIu64
	       " key_checks=%" PRIu64 " digest=%016" PRIx64 "\n",
	       documents_newest(checks->documents, CONFIG_TABLE),
	       documents_faults(checks->documents), totals->offers,
	       totals->accepted, totals->stale, totals->refused, totals->boots,
	       boot_faults_count(), totals->asks, totals->fetches,
	       checked->boots, checked->boot_peers, checked->tables,
	       checked->keys, totals->digest);
}

static void print_attempt(fleet_t *fleet)
{
	const part_attempt_totals_t *totals = part_attempt_totals(fleet);

	printf("soak part=attempt roots=%" PRIu64 " attempts=%" PRIu64
	       " runs=%" PRIu64 " retries=%" PRIu64 " resent=%" PRIu64
	       " duplicates=%" PRIu64 " served=%" PRIu64 " not_run=%" PRIu64
	       " unknown=%" PRIu64 " spent_up=%" PRIu64 " checks=%" PRIu64
	       " digest=%016" PRIx64 "\n",
	       totals->roots, totals->attempts, totals->runs, totals->retries,
	       totals->resent, totals->duplicates, totals->served,
	       totals->not_run, totals->unknown, totals->budgets_exhausted,
	       totals->checks, totals->digest);
}

/* Reports a violation when the counts of check_windows or check_tokens have
 * grown; those do not report violations themselves. */
static void report_quota_violations(fleet_t *fleet, checks_t *checks)
{
	uint64_t windows = check_windows_violations(checks->windows);
	uint64_t tokens = check_tokens_violations(checks->tokens);

	if (windows > checks->window_violations_reported)
		violations_add(fleet, NULL, "check=windows excess=%.6f",
			       check_windows_excess(checks->windows));
	if (tokens > checks->token_violations_reported)
		violations_add(fleet, NULL, "check=tokens excess=%.6f",
			       check_tokens_excess(checks->tokens));
	checks->window_violations_reported = windows;
	checks->token_violations_reported = tokens;
}

static fleet_t *start_fleet(TALLOC_CTX *ctx, sim_t *sim, checks_t *checks)
{
	fleet_t *fleet = fleet_create(ctx, sim, &configs[seed & 1]);

	checks->windows =
		check_windows_create(ctx, sim, CUSTOMER_COUNT, MAX_CLOCK_DRIFT);
	fake_platform_add(fleet, customers, CUSTOMER_COUNT);
	part_membership_add(fleet);
	fence_set_ops(&part_membership_fence);
	part_quota_add(fleet, customers, CUSTOMER_COUNT, checks->windows);
	for (size_t i = 0; i < CUSTOMER_COUNT; i++)
		check_windows_set_limit(checks->windows, i, customers[i].rate,
					customers[i].burst);
	checks->tokens = check_tokens_create(ctx, fleet, customers,
					     CUSTOMER_COUNT, checks->windows);
	checks->documents = documents_create(ctx, fleet);
	part_config_add(fleet, checks->documents);
	checks->config = check_config_create(ctx, fleet, checks->documents);
	part_attempt_add(fleet);
	boot_faults_add(fleet);
	checks->holders = check_holders_create(ctx, fleet);
	for (size_t i = 0; i < fleet->host_count; i++)
		fake_platform_start(&fleet->hosts[i]);
	return fleet;
}

static int run(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	sim_t *sim = sim_create(ctx, (uint32_t)seed);
	checks_t checks = { 0 };
	fleet_t *fleet = start_fleet(ctx, sim, &checks);
	faults_t *faults = NULL;
	load_t *loads[CUSTOMER_COUNT];
	int status = 0;

	start_loads(ctx, fleet, loads);
	part_attempt_start(fleet);
	faults = faults_create(ctx, fleet, customers, CUSTOMER_COUNT,
			       checks.windows, loads);
	for (int i = 0; i < steps; i++) {
		sim_run(sim, sim_now(sim) + STEP_US);
		faults_step(faults);
		documents_step(checks.documents);
		check_config_step(checks.config);
		check_tokens_step(checks.tokens);
		report_quota_violations(fleet, &checks);
		if (i % HOLDERS_CHECK_INTERVAL == 0)
			check_holders_step(checks.holders);
	}
	print_quota(fleet, faults, &checks);
	print_membership(fleet, &checks);
	print_config(fleet, &checks);
	print_attempt(fleet);
	status = violations_count() > 0;
	for (size_t i = 0; i < fleet->host_count; i++)
		fleet_stop_host(&fleet->hosts[i]);
	talloc_free(ctx);
	return status;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "soak: %s\n", error->message);
		g_error_free(error);
		g_option_context_free(context);
		return 2;
	}
	g_option_context_free(context);
	violations_set_seed(seed);
	return run();
}
