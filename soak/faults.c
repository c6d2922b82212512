/* Pauses, crashes, partitions, network faults, and changes of the roster, the
 * table and the load. */
#include "faults.h"

/* Least time between two changes to the roster in the same data centre, so that
 * the rosters in use at the same time differ by less than a third of its
 * hosts. */
#define MIN_LISTING_INTERVAL_US (30 * CAS_USEC_PER_SEC)
/* Least time between two changes of the table. */
#define MIN_TABLE_INTERVAL_US (16 * CAS_USEC_PER_SEC)
/* Time within which the hosts read a new roster or table. */
#define ROSTER_SPREAD_US (5 * CAS_USEC_PER_SEC)
#define TABLE_SPREAD_US (5 * CAS_USEC_PER_SEC)
/* Time for which the fault probability stays the same. */
#define PHASE_US (20 * CAS_USEC_PER_SEC)
/* Probabilities per step: of a change of the load of one customer, and of a
 * roster change, which MIN_LISTING_INTERVAL_US makes rarer. */
#define LOAD_CHANGE_PROBABILITY 0.02
#define ROSTER_CHANGE_PROBABILITY 0.005

struct faults {
	fleet_t *fleet;
	fake_customer_t *customers;
	int64_t *initial_rates; /* of the customers, tokens per second */
	size_t customer_count;
	check_windows_t *windows;
	load_t **loads; /* by customer */
	int64_t *listing_changed_us; /* last change, by data centre */
	int64_t table_changed_us; /* last change */
	uint64_t injected; /* faults and roster changes so far */
	double fault_probability; /* per step */
	int64_t phase_ends_us;
};

static cas_rng_t *rng_of(faults_t *faults)
{
	return sim_rng(faults->fleet->sim);
}

/* Returns a random time from 1 to limit_us. */
static int64_t random_duration(faults_t *faults, int64_t limit_us)
{
	return 1 + cas_rng_below(rng_of(faults), (uint32_t)limit_us);
}

static fleet_host_t *random_host(faults_t *faults)
{
	return &faults->fleet->hosts[cas_rng_below(
		rng_of(faults), (uint32_t)faults->fleet->host_count)];
}

static void pause_host(faults_t *faults)
{
	fleet_host_t *host = random_host(faults);
	int64_t max_pause_us = 3 * CAS_USEC_PER_SEC;

	if (!host->running || host->paused)
		return;
	if (cas_rng_below(rng_of(faults), 3) == 0)
		max_pause_us = 20 * CAS_USEC_PER_SEC;
	fleet_pause_host(host, random_duration(faults, max_pause_us));
}

static void on_restart(void *owner, void *data)
{
	fleet_host_t *host = owner;

	(void)data;
	if (!host->running)
		fake_platform_start(host);
}

static void kill_host(faults_t *faults)
{
	fleet_host_t *host = random_host(faults);
	int64_t max_downtime_us = 20 * CAS_USEC_PER_SEC;

	if (!host->running)
		return;
	if (cas_rng_below(rng_of(faults), 2))
		max_downtime_us = CAS_USEC_PER_SEC / 10;
	fleet_stop_host(host);
	sim_schedule(faults->fleet->sim,
		     random_duration(faults, max_downtime_us), on_restart, host,
		     NULL);
}

static void on_partition_end(void *owner, void *data)
{
	fleet_t *fleet = owner;
	size_t *dc_pair = data;
	size_t dcs = fleet->config.dcs;

	fleet->blocked[dc_pair[0] * dcs + dc_pair[1]] = false;
	fleet->blocked[dc_pair[1] * dcs + dc_pair[0]] = false;
}

/* Partitions two data centres from each other, in one or both directions. Both
 * may be the same one. */
static void partition_dcs(faults_t *faults)
{
	fleet_t *fleet = faults->fleet;
	size_t dcs = fleet->config.dcs;
	size_t *dc_pair =
		sim_require(talloc_array(NULL, size_t, 2)); /* indexes */

	dc_pair[0] = cas_rng_below(rng_of(faults), (uint32_t)dcs);
	dc_pair[1] = cas_rng_below(rng_of(faults), (uint32_t)dcs);
	fleet->blocked[dc_pair[0] * dcs + dc_pair[1]] = true;
	if (cas_rng_below(rng_of(faults), 2))
		fleet->blocked[dc_pair[1] * dcs + dc_pair[0]] = true;
	sim_schedule(fleet->sim, random_duration(faults, 15 * CAS_USEC_PER_SEC),
		     on_partition_end, fleet, dc_pair);
}

static void on_isolation_end(void *owner, void *data)
{
	fleet_host_t *host = owner;

	(void)data;
	host->fleet->isolated[host->index] = false;
}

static void isolate_host(faults_t *faults)
{
	fleet_host_t *host = random_host(faults);
	int64_t max_isolation_us = 15 * CAS_USEC_PER_SEC;

	/* Long enough for a roster change, after which another host is the
	 * holder of the buckets and its fence settles. */
	if (cas_rng_below(rng_of(faults), 3) == 0)
		max_isolation_us = 60 * CAS_USEC_PER_SEC;
	faults->fleet->isolated[host->index] = true;
	sim_schedule(faults->fleet->sim,
		     random_duration(faults, max_isolation_us),
		     on_isolation_end, host, NULL);
}

static void on_network_recovered(void *owner, void *data)
{
	fleet_t *fleet = owner;

	(void)data;
	fleet->faults = (fleet_faults_t){ 0 };
}

static void degrade_network(faults_t *faults)
{
	cas_rng_t *rng = rng_of(faults);

	faults->fleet->faults = (fleet_faults_t){
		.loss_probability = 0.3 * cas_rng_double(rng),
		.duplication_probability = 0.5 * cas_rng_double(rng),
		.delay_probability = 0.3 * cas_rng_double(rng),
		.max_delay_us = 1 + cas_rng_below(rng, 3000000),
		.pause_after_send_probability = 0.0005 * cas_rng_double(rng),
	};
	sim_schedule(faults->fleet->sim,
		     random_duration(faults, 10 * CAS_USEC_PER_SEC),
		     on_network_recovered, faults->fleet, NULL);
}

static void change_roster(faults_t *faults)
{
	fleet_t *fleet = faults->fleet;
	fleet_host_t *host = random_host(faults);
	int64_t now = sim_now(fleet->sim);
	fake_listing_t listing =
		(fake_listing_t)cas_rng_below(rng_of(faults), 3);
	size_t inactive = 0;

	for (size_t i = host->dc; i < fleet->host_count; i += fleet->config.dcs)
		inactive +=
			fake_platform_listing(fleet, i) != FAKE_LISTING_ACTIVE;
	if (inactive > 0 && listing != FAKE_LISTING_ACTIVE)
		return;
	if (now - faults->listing_changed_us[host->dc] <
	    MIN_LISTING_INTERVAL_US)
		return;
	faults->listing_changed_us[host->dc] = now;
	faults->injected++;
	fake_platform_set_listing(fleet, host->index, listing);
	fake_platform_change_roster(fleet, ROSTER_SPREAD_US);
}

static void change_table(faults_t *faults)
{
	size_t index =
		cas_rng_below(rng_of(faults), (uint32_t)faults->customer_count);
	fake_customer_t *customer = &faults->customers[index];
	int64_t now = sim_now(faults->fleet->sim);
	int64_t initial_rate = faults->initial_rates[index];

	if (now - faults->table_changed_us < MIN_TABLE_INTERVAL_US)
		return;
	faults->table_changed_us = now;
	customer->rate =
		initial_rate / 2 +
		cas_rng_below(rng_of(faults), (uint32_t)initial_rate * 2);
	customer->burst = 1 + customer->rate / 2 +
			  cas_rng_below(rng_of(faults), (uint32_t)initial_rate);
	check_windows_set_limit(faults->windows, index, customer->rate,
				customer->burst);
	fake_platform_change_table(faults->fleet, TABLE_SPREAD_US);
}

/* Admissions beyond the limit become visible when a burst of requests follows a
 * time in which buckets fill up, so low and high request rates alternate. */
static void change_load(faults_t *faults)
{
	static const double rate_factors[] = { 0.05, 0.05, 0.9, 3, 8 };
	size_t factor_count = sizeof(rate_factors) / sizeof(rate_factors[0]);
	size_t index =
		cas_rng_below(rng_of(faults), (uint32_t)faults->customer_count);
	load_t *load = faults->loads[index];

	load->rate = (double)faults->initial_rates[index] *
		     rate_factors[cas_rng_below(rng_of(faults),
						(uint32_t)factor_count)];
	load->pattern = (load_pattern_t)cas_rng_below(rng_of(faults), 3);
	load->period_us = 100000 + cas_rng_below(rng_of(faults), 8000000);
}

faults_t *faults_create(TALLOC_CTX *ctx, fleet_t *fleet,
			fake_customer_t *customers, size_t customer_count,
			check_windows_t *windows, load_t **loads)
{
	faults_t *faults = sim_zero(ctx, faults_t);

	faults->fleet = fleet;
	faults->customers = customers;
	faults->customer_count = customer_count;
	faults->windows = windows;
	faults->loads = loads;
	faults->listing_changed_us =
		sim_zero_array(faults, int64_t, fleet->config.dcs);
	faults->initial_rates =
		sim_require(talloc_array(faults, int64_t, customer_count));
	for (size_t i = 0; i < customer_count; i++)
		faults->initial_rates[i] = customers[i].rate;
	return faults;
}

/* With constantly frequent faults the fences are rarely held and few requests
 * are admitted, so phases with few and with many faults alternate. */
static void change_phase(faults_t *faults)
{
	static const double probabilities[] = { 0.001, 0.005, 0.01, 0.03 };
	uint32_t count = sizeof(probabilities) / sizeof(probabilities[0]);
	int64_t now = sim_now(faults->fleet->sim);

	if (now < faults->phase_ends_us)
		return;
	faults->phase_ends_us = now + PHASE_US;
	faults->fault_probability =
		probabilities[cas_rng_below(rng_of(faults), count)];
}

void faults_step(faults_t *faults)
{
	static void (*const fault_functions[])(faults_t *) = {
		pause_host,   kill_host,       partition_dcs,
		isolate_host, degrade_network, change_table,
	};
	size_t function_count =
		sizeof(fault_functions) / sizeof(fault_functions[0]);

	if (sim_chance(faults->fleet->sim, LOAD_CHANGE_PROBABILITY))
		change_load(faults);
	if (sim_chance(faults->fleet->sim, ROSTER_CHANGE_PROBABILITY))
		change_roster(faults);
	change_phase(faults);
	if (!sim_chance(faults->fleet->sim, faults->fault_probability))
		return;
	faults->injected++;
	fault_functions[cas_rng_below(rng_of(faults),
				      (uint32_t)function_count)](faults);
}

uint64_t faults_count(const faults_t *faults)
{
	return faults->injected;
}
