/*
 * Benchmark of quotas in a simulated fleet. Measures the fraction of requests
 * that are refused wrongly, the admissions beyond what rate and burst allow,
 * and the control traffic. A refusal is wrongful if an ideal token bucket for
 * the whole fleet, with the same arrivals, admits the request. The baseline is
 * a static division of rate and burst among the daemons.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fake_fence.h"
#include "load.h"

/* Runs before the load starts. */
#define WARM_UP_US (14 * CAS_USEC_PER_SEC)
#define LOAD_FRACTION 0.9 /* of the customer's rate */

/* A simulated fleet with the quota module on each host. */
typedef struct run {
	TALLOC_CTX *ctx; /* owns the run */
	sim_t *sim;
	fleet_t *fleet;
	check_windows_t *windows;
} run_t;

/* Starts a fleet and runs it until WARM_UP_US. Quota totals are then zero. */
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
	sim_run(run.sim, sim_now(run.sim) + WARM_UP_US);
	part_quota_reset(run.fleet);
	return run;
}

/* The baseline, in which each daemon has a token bucket with an equal part of
 * the rate and the burst. */
typedef struct static_division {
	fake_customer_t *customer;
	double *levels; /* tokens, by host */
	int64_t *updated_us; /* of levels, by host */
	double ideal_level; /* tokens of the ideal bucket */
	int64_t ideal_updated_us;
	uint64_t sent;
	uint64_t wrongful;
} static_division_t;

static static_division_t static_division;

/* Refills a token bucket and takes a token. Returns false if there is none. */
static bool bucket_take(double *level, int64_t *updated_us, int64_t now,
			double rate, double burst)
{
	*level += rate * (double)(now - *updated_us) / CAS_USEC_PER_SEC;
	if (*level > burst)
		*level = burst;
	*updated_us = now;
	if (*level < 1)
		return false;
	*level -= 1;
	return true;
}

/* Handles one request; the load calls it instead of part_quota_request. */
static void request_with_static_division(fleet_host_t *host, size_t customer)
{
	int64_t now = sim_now(host->fleet->sim);
	double rate = (double)static_division.customer->rate;
	double burst = (double)static_division.customer->burst;
	double hosts = (double)host->fleet->host_count;
	/* A bucket with a burst below one token would never admit a request. */
	double burst_share = burst / hosts < 1 ? 1 : burst / hosts;
	bool ideal_admits = bucket_take(&static_division.ideal_level,
					&static_division.ideal_updated_us, now,
					rate, burst);
	bool division_admits =
		bucket_take(&static_division.levels[host->index],
			    &static_division.updated_us[host->index], now,
			    rate / hosts, burst_share);

	(void)customer;
	static_division.sent++;
	static_division.wrongful += ideal_admits && !division_admits;
}

/* Returns the fraction of requests that the baseline refuses wrongly. */
static double measure_static_division_ratio(const fleet_config_t *config,
					    fake_customer_t *customer,
					    load_pattern_t pattern,
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
	static_division = (static_division_t){
		.customer = customer,
		.levels = talloc_zero_array(ctx, double, fleet->host_count),
		.updated_us =
			talloc_zero_array(ctx, int64_t, fleet->host_count),
	};
	if (!static_division.levels || !static_division.updated_us)
		abort();
	sim_run(sim, sim_now(sim) + WARM_UP_US);
	load = load_start(ctx, fleet, 0, LOAD_FRACTION * (double)customer->rate,
			  pattern);
	load->request = request_with_static_division;
	sim_run(sim, sim_now(sim) + seconds * CAS_USEC_PER_SEC);
	ratio = (double)static_division.wrongful / (double)static_division.sent;
	talloc_free(ctx);
	return ratio;
}

/* 36 hosts. */
static const fleet_config_t base_config = {
	.regions = 3,
	.dcs = 6,
	.hosts_per_dc = 6,
	.intra_region_delay_us = 500,
	.inter_region_delay_us = 8000,
	.fence_always_held = true,
};

/* Indexed by load_pattern_t. */
static const char *const pattern_names[] = { "even", "one_dc", "moving" };

/* Prints wrongful refusals and excess admissions of a customer that sends
 * LOAD_FRACTION of its rate. */
static void bench_wrongful_refusals(fake_customer_t *customer,
				    load_pattern_t pattern, int64_t seconds)
{
	run_t run = run_start(&base_config, customer, 1);
	const part_quota_totals_t *totals = part_quota_totals(run.fleet, 0);
	uint64_t messages_before = run.fleet->messages;
	load_t *load = NULL;

	load = load_start(run.ctx, run.fleet, 0,
			  LOAD_FRACTION * (double)customer->rate, pattern);
	sim_run(run.sim, sim_now(run.sim) + seconds * CAS_USEC_PER_SEC);
	load->stopped = true;
	sim_run(run.sim, sim_now(run.sim) + CAS_USEC_PER_SEC);
	printf("bench=wrongful_refusals pattern=%s customer=%s ratio=%.6f "
	       "static_division_ratio=%.6f requests=%llu refused=%llu "
	       "ideal_refused=%llu mean_wait_us=%.0f messages=%llu\n",
	       pattern_names[pattern], customer->name,
	       (double)totals->wrongly_refused / (double)totals->sent,
	       measure_static_division_ratio(&base_config, customer, pattern,
					     seconds),
	       (unsigned long long)totals->sent,
	       (unsigned long long)totals->refused,
	       (unsigned long long)(totals->sent - totals->ideal_admitted),
	       (double)totals->total_wait_us / (double)totals->admitted,
	       (unsigned long long)(run.fleet->messages - messages_before));
	printf("bench=quota_excess pattern=%s customer=%s requests=%llu "
	       "excess_tokens=%.6f\n",
	       pattern_names[pattern], customer->name,
	       (unsigned long long)check_windows_violations(run.windows),
	       check_windows_excess(run.windows));
	fflush(stdout);
	talloc_free(run.ctx);
}

#define CUSTOMER_COUNT 8
#define ROOTS_PER_S_PER_DAEMON 10 /* root requests a second */
#define CONTROL_SEC 10

/* Prints the control traffic of a fleet with CUSTOMER_COUNT customers, of which
 * two send 70% of the root requests. dcs is the number of data centres in all,
 * hosts that in each of them. */
static void bench_control(size_t regions, size_t dcs, size_t hosts)
{
	static const int64_t permille[CUSTOMER_COUNT] = { 350, 350, 100, 100,
							  25,  25,  25,	 25 };
	static const char *const names[CUSTOMER_COUNT] = { "a", "b", "c", "d",
							   "e", "f", "g", "h" };
	fleet_config_t config = base_config;
	fake_customer_t customers[CUSTOMER_COUNT];
	run_t run;
	uint64_t messages = 0;
	uint64_t bytes = 0;
	uint64_t max_bytes = 0;

	config.regions = regions;
	config.dcs = dcs;
	config.hosts_per_dc = hosts;
	for (size_t i = 0; i < CUSTOMER_COUNT; i++) {
		int64_t rate = (int64_t)(dcs * hosts * ROOTS_PER_S_PER_DAEMON) *
				       permille[i] / 1000 +
			       1;

		customers[i] = (fake_customer_t){ .name = names[i],
						  .rate = rate,
						  .burst = rate };
	}
	run = run_start(&config, customers, CUSTOMER_COUNT);
	for (size_t i = 0; i < CUSTOMER_COUNT; i++)
		load_start(run.ctx, run.fleet, i,
			   LOAD_FRACTION * (double)customers[i].rate,
			   LOAD_UNIFORM);
	sim_run(run.sim, sim_now(run.sim) + 2 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < run.fleet->host_count; i++)
		run.fleet->hosts[i].sent_messages =
			run.fleet->hosts[i].sent_bytes = 0;
	sim_run(run.sim, sim_now(run.sim) + CONTROL_SEC * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < run.fleet->host_count; i++) {
		const fleet_host_t *host = &run.fleet->hosts[i];

		messages += host->sent_messages;
		bytes += host->sent_bytes;
		if (host->sent_bytes > max_bytes)
			max_bytes = host->sent_bytes;
	}
	printf("bench=quota_control daemons=%zu bytes_per_s=%.0f "
	       "messages_per_s=%.1f busiest_bytes_per_s=%.0f "
	       "roots_per_s=%zu\n",
	       run.fleet->host_count,
	       (double)bytes / CONTROL_SEC / (double)run.fleet->host_count,
	       (double)messages / CONTROL_SEC / (double)run.fleet->host_count,
	       (double)max_bytes / CONTROL_SEC,
	       run.fleet->host_count * ROOTS_PER_S_PER_DAEMON);
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
		bench_wrongful_refusals(&small, (load_pattern_t)pattern, 3000);
		bench_wrongful_refusals(&medium, (load_pattern_t)pattern, 300);
		bench_wrongful_refusals(&large, (load_pattern_t)pattern, 60);
	}
	bench_control(3, 6, 6);
	bench_control(2, 5, 34);
	bench_control(2, 5, 136);
	return 0;
}
