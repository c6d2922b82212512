/* Arrivals: exponential gaps, hosts by pattern. */
#include "load.h"

#include <stdlib.h>

#define MOVING_PERIOD (5 * CAS_USEC_PER_SEC)
#define TRIES 20

static fleet_host_t *pick(load_t *load)
{
	fleet_t *fleet = load->fleet;
	cas_rng_t *rng = sim_rng(fleet->sim);
	size_t dcs = fleet->config.dcs;
	size_t row = cas_rng_below(rng, (uint32_t)fleet->config.hosts);
	size_t dc = 0;

	if (load->pattern == LOAD_EVEN)
		dc = cas_rng_below(rng, (uint32_t)dcs);
	else if (load->pattern == LOAD_MOVING)
		dc = (size_t)(sim_now(fleet->sim) / load->period_us) % dcs;
	return &fleet->hosts[row * dcs + dc];
}

static void on_arrival(void *owner, void *data)
{
	load_t *load = owner;
	double gap = 0;

	(void)data;
	if (load->stopped)
		return;
	/* Callers connect to a daemon that answers. */
	for (int i = 0; i < TRIES; i++) {
		fleet_host_t *host = pick(load);

		if (!host->running || host->paused)
			continue;
		load->request(host, load->customer);
		break;
	}
	gap = cas_rng_exponential(sim_rng(load->fleet->sim),
				  (double)CAS_USEC_PER_SEC / load->rate);
	sim_after(load->fleet->sim, (int64_t)gap, on_arrival, load, NULL);
}

load_t *load_start(TALLOC_CTX *ctx, fleet_t *fleet, size_t customer,
		   double rate, load_pattern_t pattern)
{
	load_t *load = talloc_zero(ctx, load_t);

	if (!load)
		abort();
	load->fleet = fleet;
	load->customer = customer;
	load->rate = rate;
	load->pattern = pattern;
	load->period_us = MOVING_PERIOD;
	load->request = part_quota_request;
	sim_after(fleet->sim, 0, on_arrival, load, NULL);
	return load;
}
