/* The random faults rarely hit the short time before a daemon serves. */
#include "boot_faults.h"

#include <stdlib.h>

#define CHANCE 0.5
#define DELAY (25 * CAS_USEC_PER_MSEC) /* longest, since the start */
#define LENGTH (5 * CAS_USEC_PER_SEC) /* longest */

static uint64_t count;

static void on_pause(void *owner, void *data)
{
	fleet_host_t *host = owner;
	const uint64_t *incarnation = data;

	if (!host->running || host->paused || host->incarnation != *incarnation)
		return;
	count++;
	fleet_pause_host(host,
			 1 + cas_rng_below(sim_rng(host->fleet->sim), LENGTH));
}

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	sim_t *sim = host->fleet->sim;
	uint64_t *incarnation = NULL;

	(void)ctx;
	if (!sim_chance(sim, CHANCE))
		return NULL;
	incarnation = talloc(NULL, uint64_t);
	if (!incarnation)
		abort();
	*incarnation = host->incarnation;
	sim_after(sim, cas_rng_below(sim_rng(sim), DELAY), on_pause, host,
		  incarnation);
	return NULL;
}

static const fleet_part_t boot_part = { .name = "boot", .start = start };

size_t boot_faults_add(fleet_t *fleet)
{
	return fleet_add_part(fleet, &boot_part);
}

uint64_t boot_faults_count(void)
{
	return count;
}
