/* Simulated hosts: start, stop, pauses, clocks and ticks. */
#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet_internal.h"

/* Time between two ticks of a host. */
#define TICK_PERIOD_US (10 * CAS_USEC_PER_MSEC)

cas_id_t fleet_dc_id(size_t dc)
{
	char name[32];

	snprintf(name, sizeof(name), "dc-%zu", dc);
	return cas_id_of(cas_str_from_cstr(name));
}

static cas_id_t host_id(size_t index)
{
	char name[32];

	snprintf(name, sizeof(name), "host-%zu", index);
	return cas_id_of(cas_str_from_cstr(name));
}

static int compare_hosts(const void *a, const void *b)
{
	const fleet_host_t *x = *(fleet_host_t *const *)a;
	const fleet_host_t *y = *(fleet_host_t *const *)b;

	return (x->id > y->id) - (x->id < y->id);
}

static void create_hosts(fleet_t *fleet)
{
	const fleet_config_t *config = &fleet->config;

	fleet->host_count = config->dcs * config->hosts_per_dc;
	fleet->hosts = sim_zero_array(fleet, fleet_host_t, fleet->host_count);
	fleet->isolated = sim_zero_array(fleet, bool, fleet->host_count);
	fleet->blocked = sim_zero_array(fleet, bool, config->dcs * config->dcs);
	fleet->hosts_by_id =
		sim_zero_array(fleet, fleet_host_t *, fleet->host_count);
	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet_host_t *host = &fleet->hosts[i];
		double error_fraction =
			cas_rng_double(sim_rng(fleet->sim)) * 2 - 1;

		host->fleet = fleet;
		host->index = i;
		host->dc = i % config->dcs;
		host->id = host_id(i);
		host->drift = error_fraction * config->max_drift;
		fleet->hosts_by_id[i] = host;
	}
	qsort(fleet->hosts_by_id, fleet->host_count, sizeof(void *),
	      compare_hosts);
}

fleet_t *fleet_create(TALLOC_CTX *ctx, sim_t *sim, const fleet_config_t *config)
{
	fleet_t *fleet = sim_zero(ctx, fleet_t);

	fleet->sim = sim;
	fleet->config = *config;
	create_hosts(fleet);
	return fleet;
}

size_t fleet_add_part(fleet_t *fleet, const fleet_part_t *part)
{
	if (fleet->part_count == FLEET_PARTS_MAX)
		abort();
	fleet->parts[fleet->part_count] = part;
	return fleet->part_count++;
}

int64_t fleet_host_time(const fleet_host_t *host)
{
	int64_t elapsed_us = sim_now(host->fleet->sim) - host->true_base_us;

	return host->clock_base_us +
	       (int64_t)((double)elapsed_us * (1 + host->drift));
}

bool fleet_host_sync_clock(fleet_host_t *host)
{
	int64_t local_us = 0;

	if (!host->running || host->paused)
		return false;
	local_us = fleet_host_time(host);
	if (local_us > cas_clock_now(host->clock))
		cas_clock_advance(host->clock,
				  local_us - cas_clock_now(host->clock));
	return true;
}

/* The process and the pause count for which a tick was scheduled. */
typedef struct tick_data {
	uint64_t incarnation;
	uint64_t pause_count;
} tick_data_t;

static void schedule_tick(fleet_host_t *host, int64_t delay_us);

static void on_tick(void *owner, void *data)
{
	fleet_host_t *host = owner;
	tick_data_t *tick = data;

	if (tick->incarnation != host->incarnation ||
	    tick->pause_count != host->pause_count ||
	    !fleet_host_sync_clock(host))
		return;
	for (size_t i = 0; i < host->fleet->part_count; i++) {
		if (host->fleet->parts[i]->tick)
			host->fleet->parts[i]->tick(host);
	}
	schedule_tick(host, TICK_PERIOD_US);
}

static void schedule_tick(fleet_host_t *host, int64_t delay_us)
{
	tick_data_t *tick = sim_require(talloc(NULL, tick_data_t));

	tick->incarnation = host->incarnation;
	tick->pause_count = host->pause_count;
	sim_schedule(host->fleet->sim, delay_us, on_tick, host, tick);
}

void fleet_start_host(fleet_host_t *host, const table_t *table,
		      const roster_t *roster)
{
	fleet_t *fleet = host->fleet;
	cas_rng_t *rng = sim_rng(fleet->sim);

	host->process_ctx = talloc_new(fleet);
	host->running = true;
	host->paused = false;
	host->incarnation = cas_rng_u64(rng);
	host->clock_base_us = 1 + cas_rng_below(rng, 1000000000);
	host->true_base_us = sim_now(fleet->sim);
	host->clock =
		cas_clock_create_manual(host->process_ctx, host->clock_base_us);
	host->started_us = host->clock_base_us;
	for (size_t i = 0; i < fleet->part_count; i++) {
		host->part_states[i] = NULL;
		if (fleet->parts[i]->start)
			host->part_states[i] =
				fleet->parts[i]->start(host->process_ctx, host);
	}
	host->table = NULL;
	host->roster = NULL;
	fleet_set_view(host, table, roster);
	schedule_tick(host, cas_rng_below(rng, TICK_PERIOD_US));
}

void fleet_stop_host(fleet_host_t *host)
{
	host->running = false;
	host->buffered_count = 0;
	TALLOC_FREE(host->buffered);
	TALLOC_FREE(host->process_ctx);
}

static void on_resume(void *owner, void *data)
{
	fleet_host_t *host = owner;
	const uint64_t *incarnation = data;

	if (host->incarnation != *incarnation)
		return;
	host->paused = false;
	if (!fleet_host_sync_clock(host))
		return;
	/* After a pause, buffered messages or the tick may come first. */
	if (cas_rng_below(sim_rng(host->fleet->sim), 2))
		fleet_deliver_buffered(host);
	schedule_tick(host, 0);
	sim_schedule(host->fleet->sim, 1, fleet_on_deliver_buffered, host,
		     NULL);
}

void fleet_pause_host(fleet_host_t *host, int64_t length_us)
{
	uint64_t *incarnation = sim_require(talloc(NULL, uint64_t));

	*incarnation = host->incarnation;
	host->paused = true;
	host->pause_count++;
	host->fleet->pauses++;
	sim_schedule(host->fleet->sim, length_us, on_resume, host, incarnation);
}

void fleet_set_view(fleet_host_t *host, const table_t *table,
		    const roster_t *roster)
{
	if (!fleet_host_sync_clock(host))
		return;
	if (!host->table || table->revision > host->table->revision)
		host->table = table;
	if (!host->roster || roster->revision > host->roster->revision)
		host->roster = roster;
	for (size_t i = 0; i < host->fleet->part_count; i++) {
		if (host->fleet->parts[i]->set_view)
			host->fleet->parts[i]->set_view(host);
	}
}

fleet_host_t *fleet_find_host(fleet_t *fleet, cas_id_t id)
{
	size_t low = 0;
	size_t high = fleet->host_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (fleet->hosts_by_id[middle]->id == id)
			return fleet->hosts_by_id[middle];
		if (fleet->hosts_by_id[middle]->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

bool fleet_passes(const fleet_host_t *a, const fleet_host_t *b)
{
	const fleet_t *fleet = a->fleet;

	return !fleet->isolated[a->index] && !fleet->isolated[b->index] &&
	       !fleet->blocked[a->dc * fleet->config.dcs + b->dc];
}
