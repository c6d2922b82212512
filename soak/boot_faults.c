/* Pauses half of the starting daemons within 25 ms, for up to 5 s. The faults
 * of faults.c rarely hit the short time before a daemon serves. */
#include "boot_faults.h"

#define PAUSE_PROBABILITY 0.5
#define MAX_PAUSE_DELAY_US (25 * CAS_USEC_PER_MSEC) /* since the start */
#define MAX_PAUSE_LENGTH_US (5 * CAS_USEC_PER_SEC)

static uint64_t boot_pause_count;

static void on_pause(void *owner, void *data)
{
	fleet_host_t *host = owner;
	const uint64_t *incarnation = data;

	if (!host->running || host->paused || host->incarnation != *incarnation)
		return;
	boot_pause_count++;
	fleet_pause_host(host, 1 + cas_rng_below(sim_rng(host->fleet->sim),
						 MAX_PAUSE_LENGTH_US));
}

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	sim_t *sim = host->fleet->sim;
	uint64_t *incarnation = NULL;

	(void)ctx;
	if (!sim_chance(sim, PAUSE_PROBABILITY))
		return NULL;
	incarnation = sim_require(talloc(NULL, uint64_t));
	*incarnation = host->incarnation;
	sim_schedule(sim, cas_rng_below(sim_rng(sim), MAX_PAUSE_DELAY_US),
		     on_pause, host, incarnation);
	return NULL;
}

static const fleet_part_t boot_faults_part = { .name = "boot", .start = start };

size_t boot_faults_add(fleet_t *fleet)
{
	return fleet_add_part(fleet, &boot_faults_part);
}

uint64_t boot_faults_count(void)
{
	return boot_pause_count;
}
