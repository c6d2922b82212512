/* Event queue of the simulation, and the table and host list of its fleet. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#define ADMISSION_TICK_US (10 * CAS_USEC_PER_MSEC)

/* Returns whether event a comes before event b. */
static bool event_precedes(const sim_event_t *a, const sim_event_t *b)
{
	if (a->time_us != b->time_us)
		return a->time_us < b->time_us;
	return a->sequence < b->sequence;
}

/* Moves the event at index i up to its place. */
static void heap_sift_up(sim_t *sim, size_t i)
{
	sim_event_t event = sim->heap[i];

	while (i > 0 && event_precedes(&event, &sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = event;
}

/* Moves the event at the top down to its place. */
static void heap_sift_down(sim_t *sim)
{
	sim_event_t event = sim->heap[0];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= sim->heap_count)
			break;
		if (child + 1 < sim->heap_count &&
		    event_precedes(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!event_precedes(&sim->heap[child], &event))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = event;
}

int64_t sim_now(const sim_t *sim)
{
	return cas_clock_now(sim->clock);
}

void sim_schedule(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *arg)
{
	if (sim->heap_count == sim->heap_capacity) {
		size_t size =
			sim->heap_capacity ? sim->heap_capacity * 2 : 1024;
		sim_event_t *heap =
			talloc_realloc(sim, sim->heap, sim_event_t, size);

		if (!heap)
			abort();
		sim->heap = heap;
		sim->heap_capacity = size;
	}
	sim->heap[sim->heap_count] = (sim_event_t){
		.time_us = sim_now(sim) + delay_us,
		.sequence = sim->next_sequence++,
		.fn = fn,
		.arg = arg,
	};
	heap_sift_up(sim, sim->heap_count++);
}

void sim_run(sim_t *sim, int64_t until_us)
{
	while (sim->heap_count && sim->heap[0].time_us <= until_us) {
		sim_event_t event = sim->heap[0];

		sim->heap[0] = sim->heap[--sim->heap_count];
		if (sim->heap_count)
			heap_sift_down(sim);
		cas_clock_advance(sim->clock, event.time_us - sim_now(sim));
		sim->event_count++;
		event.fn(sim, event.arg);
	}
	cas_clock_advance(sim->clock, until_us - sim_now(sim));
}

/* Calls admission_tick of a host periodically. */
static void tick_admission(sim_t *sim, void *arg)
{
	sim_host_t *host = arg;

	admission_tick(host->admission);
	sim_schedule(sim, ADMISSION_TICK_US, tick_admission, host);
}

/* Two data centres make a region. In each data centre there is one host of each
 * service. */
static void fill_table_and_roster(sim_t *sim)
{
	const workload_t *workload = sim->workload;

	for (int i = 0; i < WORKLOAD_DCS; i++) {
		sim->dcs[i].id = 100 + (cas_id_t)i;
		sim->dcs[i].region_id = 200 + (cas_id_t)i / 2;
	}
	for (int i = 0; i < WORKLOAD_SERVICES; i++) {
		sim->services[i].id = 300 + (cas_id_t)i;
		sim->services[i].connections =
			workload->services[i].connections;
	}
	for (int i = 0; i < SIM_HOSTS; i++) {
		sim->roster_hosts[i].id = 1000 + (cas_id_t)i;
		sim->roster_hosts[i].service_id =
			300 + (cas_id_t)(i % WORKLOAD_SERVICES);
		sim->roster_hosts[i].data_centre_id =
			100 + (cas_id_t)(i / WORKLOAD_SERVICES);
	}
	sim->table = (table_t){ .revision = 1,
				.data_centres = sim->dcs,
				.data_centre_count = WORKLOAD_DCS,
				.services = sim->services,
				.service_count = WORKLOAD_SERVICES };
	sim->roster = (roster_t){ .revision = 1,
				  .hosts = sim->roster_hosts,
				  .host_count = SIM_HOSTS };
}

sim_t *sim_create(const workload_t *workload, bool control, uint32_t seed)
{
	sim_t *sim = talloc_zero(NULL, sim_t);

	if (!sim)
		abort();
	sim->workload = workload;
	sim->control = control;
	sim->clock = cas_clock_create_manual(sim, 0);
	sim->rng = cas_rng_create(sim, seed);
	sim->client_attempts = 5;
	fill_table_and_roster(sim);
	for (int i = 0; i < SIM_HOSTS; i++) {
		sim_host_t *host = &sim->hosts[i];

		host->sim = sim;
		host->id = sim->roster_hosts[i].id;
		host->dc = i / WORKLOAD_SERVICES;
		sim_upstream_init(sim, host, i % WORKLOAD_SERVICES);
		if (sim_daemon_init(sim, host))
			abort();
		sim_schedule(sim, cas_rng_below(sim->rng, ADMISSION_TICK_US),
			     tick_admission, host);
	}
	return sim;
}
