/* Discrete event simulation: the event queue is a binary heap. */
#include "sim.h"

#include <stdlib.h>

/* Time at which a simulation starts. */
#define SIM_START_US CAS_USEC_PER_SEC

typedef struct sim_event {
	int64_t at_us; /* true time */
	uint64_t sequence; /* order of events at the same time */
	sim_event_fn fn;
	void *owner;
	void *data;
} sim_event_t;

struct sim {
	cas_rng_t *rng;
	int64_t now_us;
	uint64_t next_sequence;
	sim_event_t *heap; /* the earliest event is first */
	size_t count; /* of events in heap */
	size_t capacity;
};

void *sim_require(void *memory)
{
	if (!memory)
		abort();
	return memory;
}

sim_t *sim_create(TALLOC_CTX *ctx, uint32_t seed)
{
	sim_t *sim = sim_zero(ctx, sim_t);

	sim->rng = cas_rng_create(sim, seed);
	sim->now_us = SIM_START_US;
	return sim;
}

int64_t sim_now(const sim_t *sim)
{
	return sim->now_us;
}

cas_rng_t *sim_rng(sim_t *sim)
{
	return sim->rng;
}

bool sim_chance(sim_t *sim, double probability)
{
	return cas_rng_double(sim->rng) < probability;
}

static bool event_before(const sim_event_t *a, const sim_event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void swap_events(sim_event_t *a, sim_event_t *b)
{
	sim_event_t saved = *a;

	*a = *b;
	*b = saved;
}

static void sift_up(sim_t *sim, size_t index)
{
	while (index > 0 &&
	       event_before(&sim->heap[index], &sim->heap[(index - 1) / 2])) {
		swap_events(&sim->heap[index], &sim->heap[(index - 1) / 2]);
		index = (index - 1) / 2;
	}
}

static void sift_down(sim_t *sim, size_t index)
{
	for (;;) {
		size_t child = 2 * index + 1;

		if (child >= sim->count)
			return;
		if (child + 1 < sim->count &&
		    event_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!event_before(&sim->heap[child], &sim->heap[index]))
			return;
		swap_events(&sim->heap[child], &sim->heap[index]);
		index = child;
	}
}

void sim_schedule(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *owner,
		  void *data)
{
	if (sim->count == sim->capacity) {
		sim->capacity = sim->capacity ? 2 * sim->capacity : 1024;
		sim->heap = sim_require(talloc_realloc(
			sim, sim->heap, sim_event_t, sim->capacity));
	}
	sim->heap[sim->count] = (sim_event_t){ .at_us = sim->now_us + delay_us,
					       .sequence = sim->next_sequence++,
					       .fn = fn,
					       .owner = owner,
					       .data = data };
	talloc_steal(sim, data);
	sift_up(sim, sim->count++);
}

void sim_run(sim_t *sim, int64_t until_us)
{
	while (sim->count > 0 && sim->heap[0].at_us <= until_us) {
		sim_event_t event = sim->heap[0];

		sim->heap[0] = sim->heap[--sim->count];
		sift_down(sim, 0);
		sim->now_us = event.at_us;
		event.fn(event.owner, event.data);
		talloc_free(event.data);
	}
	sim->now_us = until_us;
}
