/* Pauses, crashes, partitions, bad networks, roster, table and load changes. */
#include "faults.h"

#include <stdlib.h>

/* Hosts of a data centre that may change in the roster within LISTING_GAP, so
 * that rosters in use at once differ by less than a third. */
#define LISTING_GAP (30 * CAS_USEC_PER_SEC)
#define TABLE_GAP (16 * CAS_USEC_PER_SEC)
#define ROSTER_SPREAD (5 * CAS_USEC_PER_SEC)
#define TABLE_SPREAD (5 * CAS_USEC_PER_SEC)
#define PHASE_TIME (20 * CAS_USEC_PER_SEC)
#define LOAD_CHANCE 0.02 /* each step, for one customer */
#define ROSTER_CHANCE 0.005 /* each step; LISTING_GAP limits it further */

struct faults {
	fleet_t *fleet;
	fake_customer_t *customers;
	int64_t *usual_rate;
	size_t customer_count;
	check_windows_t *windows;
	load_t **loads;
	int64_t *listing_changed_us; /* by data centre */
	int64_t table_changed_us;
	uint64_t count;
	double chance; /* of a fault in each step */
	int64_t phase_ends_us;
};

static cas_rng_t *rng_of(faults_t *faults)
{
	return sim_rng(faults->fleet->sim);
}

static int64_t time_below(faults_t *faults, int64_t limit_us)
{
	return 1 + cas_rng_below(rng_of(faults), (uint32_t)limit_us);
}

static fleet_host_t *any_host(faults_t *faults)
{
	return &faults->fleet->hosts[cas_rng_below(
		rng_of(faults), (uint32_t)faults->fleet->host_count)];
}

static void pause_host(faults_t *faults)
{
	fleet_host_t *host = any_host(faults);
	int64_t longest = 3 * CAS_USEC_PER_SEC;

	if (!host->running || host->paused)
		return;
	if (cas_rng_below(rng_of(faults), 3) == 0)
		longest = 20 * CAS_USEC_PER_SEC;
	fleet_pause_host(host, time_below(faults, longest));
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
	fleet_host_t *host = any_host(faults);
	int64_t longest = 20 * CAS_USEC_PER_SEC;

	if (!host->running)
		return;
	if (cas_rng_below(rng_of(faults), 2))
		longest = CAS_USEC_PER_SEC / 10;
	fleet_stop_host(host);
	sim_after(faults->fleet->sim, time_below(faults, longest), on_restart,
		  host, NULL);
}

static void on_join(void *owner, void *data)
{
	fleet_t *fleet = owner;
	size_t *pair = data;
	size_t dcs = fleet->config.dcs;

	fleet->cut[pair[0] * dcs + pair[1]] = false;
	fleet->cut[pair[1] * dcs + pair[0]] = false;
}

/* Cuts two data centres apart, in one or both directions. */
static void cut_dcs(faults_t *faults)
{
	fleet_t *fleet = faults->fleet;
	size_t dcs = fleet->config.dcs;
	size_t *pair = talloc_array(NULL, size_t, 2);

	if (!pair)
		abort();
	pair[0] = cas_rng_below(rng_of(faults), (uint32_t)dcs);
	pair[1] = cas_rng_below(rng_of(faults), (uint32_t)dcs);
	fleet->cut[pair[0] * dcs + pair[1]] = true;
	if (cas_rng_below(rng_of(faults), 2))
		fleet->cut[pair[1] * dcs + pair[0]] = true;
	sim_after(fleet->sim, time_below(faults, 15 * CAS_USEC_PER_SEC),
		  on_join, fleet, pair);
}

static void on_reconnect(void *owner, void *data)
{
	fleet_host_t *host = owner;

	(void)data;
	host->fleet->isolated[host->index] = false;
}

static void isolate_host(faults_t *faults)
{
	fleet_host_t *host = any_host(faults);
	int64_t longest = 15 * CAS_USEC_PER_SEC;

	/* Long enough for a successor to be listed and to settle. */
	if (cas_rng_below(rng_of(faults), 3) == 0)
		longest = 60 * CAS_USEC_PER_SEC;
	faults->fleet->isolated[host->index] = true;
	sim_after(faults->fleet->sim, time_below(faults, longest), on_reconnect,
		  host, NULL);
}

static void on_calm(void *owner, void *data)
{
	fleet_t *fleet = owner;

	(void)data;
	fleet->faults = (fleet_faults_t){ 0 };
}

static void bad_network(faults_t *faults)
{
	cas_rng_t *rng = rng_of(faults);

	faults->fleet->faults = (fleet_faults_t){
		.loss = 0.3 * cas_rng_double(rng),
		.repetition = 0.5 * cas_rng_double(rng),
		.late = 0.3 * cas_rng_double(rng),
		.late_us = 1 + cas_rng_below(rng, 3000000),
		.pause_after_send = 0.0005 * cas_rng_double(rng),
	};
	sim_after(faults->fleet->sim, time_below(faults, 10 * CAS_USEC_PER_SEC),
		  on_calm, faults->fleet, NULL);
}

static void change_roster(faults_t *faults)
{
	fleet_t *fleet = faults->fleet;
	fleet_host_t *host = any_host(faults);
	int64_t now = sim_now(fleet->sim);
	fake_listing_t listing =
		(fake_listing_t)cas_rng_below(rng_of(faults), 3);
	size_t absent = 0;

	for (size_t i = host->dc; i < fleet->host_count; i += fleet->config.dcs)
		absent += fake_platform_listing(fleet, i) != FAKE_LIVE;
	if (absent > 0 && listing != FAKE_LIVE)
		return;
	if (now - faults->listing_changed_us[host->dc] < LISTING_GAP)
		return;
	faults->listing_changed_us[host->dc] = now;
	faults->count++;
	fake_platform_list(fleet, host->index, listing);
	fake_platform_change_roster(fleet, ROSTER_SPREAD);
}

static void change_table(faults_t *faults)
{
	size_t index =
		cas_rng_below(rng_of(faults), (uint32_t)faults->customer_count);
	fake_customer_t *customer = &faults->customers[index];
	int64_t now = sim_now(faults->fleet->sim);
	int64_t usual = faults->usual_rate[index];

	if (now - faults->table_changed_us < TABLE_GAP)
		return;
	faults->table_changed_us = now;
	customer->rate =
		usual / 2 + cas_rng_below(rng_of(faults), (uint32_t)usual * 2);
	customer->burst = 1 + customer->rate / 2 +
			  cas_rng_below(rng_of(faults), (uint32_t)usual);
	check_windows_limit(faults->windows, index, customer->rate,
			    customer->burst);
	fake_platform_change_table(faults->fleet, TABLE_SPREAD);
}

/* Excess shows when buckets are full and a flood follows, so quiet times and
 * floods alternate. */
static void change_load(faults_t *faults)
{
	static const double factors[] = { 0.05, 0.05, 0.9, 3, 8 };
	size_t count = sizeof(factors) / sizeof(factors[0]);
	size_t index =
		cas_rng_below(rng_of(faults), (uint32_t)faults->customer_count);
	load_t *load = faults->loads[index];

	load->rate = (double)faults->usual_rate[index] *
		     factors[cas_rng_below(rng_of(faults), (uint32_t)count)];
	load->pattern = (load_pattern_t)cas_rng_below(rng_of(faults), 3);
	load->period_us = 100000 + cas_rng_below(rng_of(faults), 8000000);
}

faults_t *faults_create(TALLOC_CTX *ctx, fleet_t *fleet,
			fake_customer_t *customers, size_t customer_count,
			check_windows_t *windows, load_t **loads)
{
	faults_t *faults = talloc_zero(ctx, faults_t);

	if (!faults)
		abort();
	faults->fleet = fleet;
	faults->customers = customers;
	faults->customer_count = customer_count;
	faults->windows = windows;
	faults->loads = loads;
	faults->listing_changed_us =
		talloc_zero_array(faults, int64_t, fleet->config.dcs);
	faults->usual_rate = talloc_array(faults, int64_t, customer_count);
	if (!faults->listing_changed_us || !faults->usual_rate)
		abort();
	for (size_t i = 0; i < customer_count; i++)
		faults->usual_rate[i] = customers[i].rate;
	return faults;
}

/* Under constant faults the fences are rarely held and little is admitted, so
 * calm and rough phases take turns. */
static void change_phase(faults_t *faults)
{
	static const double chances[] = { 0.001, 0.005, 0.01, 0.03 };
	uint32_t count = sizeof(chances) / sizeof(chances[0]);
	int64_t now = sim_now(faults->fleet->sim);

	if (now < faults->phase_ends_us)
		return;
	faults->phase_ends_us = now + PHASE_TIME;
	faults->chance = chances[cas_rng_below(rng_of(faults), count)];
}

void faults_step(faults_t *faults)
{
	static void (*const kinds[])(faults_t *) = {
		pause_host,   kill_host,   cut_dcs,
		isolate_host, bad_network, change_table,
	};
	size_t count = sizeof(kinds) / sizeof(kinds[0]);

	if (sim_chance(faults->fleet->sim, LOAD_CHANCE))
		change_load(faults);
	if (sim_chance(faults->fleet->sim, ROSTER_CHANCE))
		change_roster(faults);
	change_phase(faults);
	if (!sim_chance(faults->fleet->sim, faults->chance))
		return;
	faults->count++;
	kinds[cas_rng_below(rng_of(faults), (uint32_t)count)](faults);
}

uint64_t faults_count(const faults_t *faults)
{
	return faults->count;
}
