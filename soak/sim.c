/* Binary heap of events. */
#include "sim.h"

#include <stdlib.h>

#define SIM_START CAS_USEC_PER_SEC

typedef struct sim_event {
	int64_t at_us;
	uint64_t order;
	sim_event_fn fn;
	void *owner;
	void *data;
} sim_event_t;

struct sim {
	cas_rng_t *rng;
	int64_t now_us;
	uint64_t order;
	sim_event_t *heap;
	size_t count;
	size_t room;
};

sim_t *sim_create(TALLOC_CTX *ctx, uint32_t seed)
{
	sim_t *sim = talloc_zero(ctx, sim_t);

	if (!sim)
		abort();
	sim->rng = cas_rng_create(sim, seed);
	sim->now_us = SIM_START;
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

static bool before(const sim_event_t *a, const sim_event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void swap_events(sim_event_t *a, sim_event_t *b)
{
	sim_event_t other = *a;

	*a = *b;
	*b = other;
}

static void sift_up(sim_t *sim, size_t at)
{
	while (at > 0 && before(&sim->heap[at], &sim->heap[(at - 1) / 2])) {
		swap_events(&sim->heap[at], &sim->heap[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
}

static void sift_down(sim_t *sim, size_t at)
{
	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= sim->count)
			return;
		if (child + 1 < sim->count &&
		    before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!before(&sim->heap[child], &sim->heap[at]))
			return;
		swap_events(&sim->heap[child], &sim->heap[at]);
		at = child;
	}
}

void sim_after(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *owner,
	       void *data)
{
	if (sim->count == sim->room) {
		sim->room = sim->room ? 2 * sim->room : 1024;
		sim->heap =
			talloc_realloc(sim, sim->heap, sim_event_t, sim->room);
		if (!sim->heap)
			abort();
	}
	sim->heap[sim->count] = (sim_event_t){ .at_us = sim->now_us + delay_us,
					       .order = sim->order++,
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
