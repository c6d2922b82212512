/* Load generator: exponential intervals between requests, hosts chosen by
 * pattern. */
#include "load.h"

/* Initial load_t.period_us. */
#define DEFAULT_PERIOD_US (5 * CAS_USEC_PER_SEC)
#define HOST_PICK_TRIES 20 /* then the request is dropped */

static fleet_host_t *pick_host(load_t *load)
{
	fleet_t *fleet = load->fleet;
	cas_rng_t *rng = sim_rng(fleet->sim);
	size_t dcs = fleet->config.dcs;
	size_t row_index =
		cas_rng_below(rng, (uint32_t)fleet->config.hosts_per_dc);
	size_t dc = 0;

	if (load->pattern == LOAD_UNIFORM)
		dc = cas_rng_below(rng, (uint32_t)dcs);
	else if (load->pattern == LOAD_ROTATING_DC)
		dc = (size_t)(sim_now(fleet->sim) / load->period_us) % dcs;
	return &fleet->hosts[row_index * dcs + dc];
}

static void on_arrival(void *owner, void *data)
{
	load_t *load = owner;
	double gap_us = 0;

	(void)data;
	if (load->stopped)
		return;
	/* Callers use a daemon that answers, so others are skipped. */
	for (int i = 0; i < HOST_PICK_TRIES; i++) {
		fleet_host_t *host = pick_host(load);

		if (!host->running || host->paused)
			continue;
		load->request(host, load->customer);
		break;
	}
	gap_us = cas_rng_exponential(sim_rng(load->fleet->sim),
				     (double)CAS_USEC_PER_SEC / load->rate);
	sim_schedule(load->fleet->sim, (int64_t)gap_us, on_arrival, load, NULL);
}

load_t *load_start(TALLOC_CTX *ctx, fleet_t *fleet, size_t customer,
		   double rate, load_pattern_t pattern)
{
	load_t *load = sim_zero(ctx, load_t);

	load->fleet = fleet;
	load->customer = customer;
	load->rate = rate;
	load->pattern = pattern;
	load->period_us = DEFAULT_PERIOD_US;
	load->request = part_quota_request;
	sim_schedule(fleet->sim, 0, on_arrival, load, NULL);
	return load;
}
