/*
 * Quota figures on a simulated fleet: wrongful refusals against an ideal
 * fleet-wide token bucket fed the same arrivals, with a static division of the
 * rate as the baseline, admissions beyond the bound, and control traffic.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fake_fence.h"
#include "load.h"

#define WARM_UP (14 * CAS_USEC_PER_SEC)
#define LOAD_PART 0.9 /* of the customer's rate */

typedef struct run {
	TALLOC_CTX *ctx;
	sim_t *sim;
	fleet_t *fleet;
	check_windows_t *windows;
} run_t;

static run_t run_start(const fleet_config_t *config, fake_customer_t *customers,
		       size_t count)
{
	run_t run = { .ctx = talloc_new(NULL) };

	run.sim = sim_create(run.ctx, 1);
	run.fleet = fleet_create(run.ctx, run.sim, config);
	run.windows = check_windows_create(run.ctx, run.sim, count, 0);
	fake_platform_add(run.fleet, customers, count);
	fake_fence_add(run.fleet);
	part_quota_add(run.fleet, customers, count, run.windows);
	for (size_t i = 0; i < count; i++)
		check_windows_set_limit(run.windows, i, customers[i].rate,
					customers[i].burst);
	for (size_t i = 0; i < run.fleet->host_count; i++)
		fake_platform_start(&run.fleet->hosts[i]);
	sim_run(run.sim, sim_now(run.sim) + WARM_UP);
	part_quota_reset(run.fleet);
	return run;
}

/* Baseline: each daemon has an equal part of the rate and the burst. */
typedef struct division {
	fake_customer_t *customer;
	double *levels;
	int64_t *filled_us;
	double ideal;
	int64_t ideal_us;
	uint64_t sent;
	uint64_t wrongful;
} division_t;

static division_t division;

static bool bucket_take(double *level, int64_t *filled_us, int64_t now,
			double rate, double burst)
{
	*level += rate * (double)(now - *filled_us) / CAS_USEC_PER_SEC;
	if (*level > burst)
		*level = burst;
	*filled_us = now;
	if (*level < 1)
		return false;
	*level -= 1;
	return true;
}

static void divided_request(fleet_host_t *host, size_t customer)
{
	int64_t now = sim_now(host->fleet->sim);
	double rate = (double)division.customer->rate;
	double burst = (double)division.customer->burst;
	double hosts = (double)host->fleet->host_count;
	/* A part of less than one token could never be taken. */
	double part = burst / hosts < 1 ? 1 : burst / hosts;
	bool ideal = bucket_take(&division.ideal, &division.ideal_us, now, rate,
				 burst);
	bool taken = bucket_take(&division.levels[host->index],
				 &division.filled_us[host->index], now,
				 rate / hosts, part);

	(void)customer;
	division.sent++;
	division.wrongful += ideal && !taken;
}

static double divided_ratio(const fleet_config_t *config,
			    fake_customer_t *customer, load_pattern_t pattern,
			    int64_t seconds)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	sim_t *sim = sim_create(ctx, 1);
	fleet_t *fleet = fleet_create(ctx, sim, config);
	load_t *load = NULL;
	double ratio = 0;

	fake_platform_add(fleet, customer, 1);
	for (size_t i = 0; i < fleet->host_count; i++)
		fake_platform_start(&fleet->hosts[i]);
	division = (division_t){
		.customer = customer,
		.levels = talloc_zero_array(ctx, double, fleet->host_count),
		.filled_us = talloc_zero_array(ctx, int64_t, fleet->host_count),
	};
	if (!division.levels || !division.filled_us)
		abort();
	sim_run(sim, sim_now(sim) + WARM_UP);
	load = load_start(ctx, fleet, 0, LOAD_PART * (double)customer->rate,
			  pattern);
	load->request = divided_request;
	sim_run(sim, sim_now(sim) + seconds * CAS_USEC_PER_SEC);
	ratio = (double)division.wrongful / (double)division.sent;
	talloc_free(ctx);
	return ratio;
}

static const fleet_config_t site = {
	.regions = 3,
	.dcs = 6,
	.hosts_per_dc = 6,
	.intra_region_delay_us = 500,
	.inter_region_delay_us = 8000,
	.fence_always_held = true,
};

static const char *const pattern_names[] = { "even", "one_dc", "moving" };

static void bench_wrongful(fake_customer_t *customer, load_pattern_t pattern,
			   int64_t seconds)
{
	run_t run = run_start(&site, customer, 1);
	const part_quota_totals_t *totals = part_quota_totals(run.fleet, 0);
	uint64_t messages = run.fleet->messages;
	load_t *load = NULL;

	load = load_start(run.ctx, run.fleet, 0,
			  LOAD_PART * (double)customer->rate, pattern);
	sim_run(run.sim, sim_now(run.sim) + seconds * CAS_USEC_PER_SEC);
	load->stopped = true;
	sim_run(run.sim, sim_now(run.sim) + CAS_USEC_PER_SEC);
	printf("bench=wrongful_refusals pattern=%s customer=%s ratio=%.6f "
	       "static_division_ratio=%.6f requests=%llu refused=%llu "
	       "ideal_refused=%llu mean_wait_us=%.0f messages=%llu\n",
	       pattern_names[pattern], customer->name,
	       (double)totals->wrongly_refused / (double)totals->sent,
	       divided_ratio(&site, customer, pattern, seconds),
	       (unsigned long long)totals->sent,
	       (unsigned long long)totals->refused,
	       (unsigned long long)(totals->sent - totals->ideal_admitted),
	       (double)totals->total_wait_us / (double)totals->admitted,
	       (unsigned long long)(run.fleet->messages - messages));
	printf("bench=quota_excess pattern=%s customer=%s requests=%llu "
	       "excess_tokens=%.6f\n",
	       pattern_names[pattern], customer->name,
	       (unsigned long long)check_windows_violations(run.windows),
	       check_windows_excess(run.windows));
	fflush(stdout);
	talloc_free(run.ctx);
}

#define CUSTOMERS 8
#define ROOTS_PER_DAEMON 10 /* root requests a second */
#define CONTROL_TIME 10 /* seconds */

/* Eight customers, of which two send 70% of the root requests. */
static void bench_control(size_t regions, size_t dcs, size_t hosts)
{
	static const int64_t permille[CUSTOMERS] = { 350, 350, 100, 100,
						     25,  25,  25,  25 };
	static const char *const names[CUSTOMERS] = { "a", "b", "c", "d",
						      "e", "f", "g", "h" };
	fleet_config_t config = site;
	fake_customer_t customers[CUSTOMERS];
	run_t run;
	uint64_t messages = 0;
	uint64_t bytes = 0;
	uint64_t most = 0;

	config.regions = regions;
	config.dcs = dcs;
	config.hosts_per_dc = hosts;
	for (size_t i = 0; i < CUSTOMERS; i++) {
		int64_t rate = (int64_t)(dcs * hosts * ROOTS_PER_DAEMON) *
				       permille[i] / 1000 +
			       1;

		customers[i] = (fake_customer_t){ .name = names[i],
						  .rate = rate,
						  .burst = rate };
	}
	run = run_start(&config, customers, CUSTOMERS);
	for (size_t i = 0; i < CUSTOMERS; i++)
		load_start(run.ctx, run.fleet, i,
			   LOAD_PART * (double)customers[i].rate, LOAD_UNIFORM);
	sim_run(run.sim, sim_now(run.sim) + 2 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < run.fleet->host_count; i++)
		run.fleet->hosts[i].sent_messages =
			run.fleet->hosts[i].sent_bytes = 0;
	sim_run(run.sim, sim_now(run.sim) + CONTROL_TIME * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < run.fleet->host_count; i++) {
		const fleet_host_t *host = &run.fleet->hosts[i];

		messages += host->sent_messages;
		bytes += host->sent_bytes;
		if (host->sent_bytes > most)
			most = host->sent_bytes;
	}
	printf("bench=quota_control daemons=%zu bytes_per_s=%.0f "
	       "messages_per_s=%.1f busiest_bytes_per_s=%.0f "
	       "roots_per_s=%zu\n",
	       run.fleet->host_count,
	       (double)bytes / CONTROL_TIME / (double)run.fleet->host_count,
	       (double)messages / CONTROL_TIME / (double)run.fleet->host_count,
	       (double)most / CONTROL_TIME,
	       run.fleet->host_count * ROOTS_PER_DAEMON);
	fflush(stdout);
	talloc_free(run.ctx);
}

int main(void)
{
	fake_customer_t small = { .name = "small", .rate = 5, .burst = 5 };
	fake_customer_t medium = { .name = "medium", .rate = 50, .burst = 25 };
	fake_customer_t large = { .name = "large",
				  .rate = 1000,
				  .burst = 1000 };

	for (int pattern = LOAD_UNIFORM; pattern <= LOAD_ROTATING_DC;
	     pattern++) {
		bench_wrongful(&small, (load_pattern_t)pattern, 3000);
		bench_wrongful(&medium, (load_pattern_t)pattern, 300);
		bench_wrongful(&large, (load_pattern_t)pattern, 60);
	}
	bench_control(3, 6, 6);
	bench_control(2, 5, 34);
	bench_control(2, 5, 136);
	return 0;
}
