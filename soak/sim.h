/*
 * Discrete event simulation for the soak test and the benchmarks. Events run in
 * the order of their time, and those of the same time in the order in which
 * they were scheduled, so the same seed always gives the same run.
 */
#ifndef SOAK_SIM_H
#define SOAK_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/rng.h"

typedef struct sim sim_t;

/* Handles an event. data is the value passed to sim_schedule; it is freed after
 * the call. */
typedef void (*sim_event_fn)(void *owner, void *data);

/* Returns a new simulation, owned by ctx. Aborts when memory runs out. */
sim_t *sim_create(TALLOC_CTX *ctx, uint32_t seed);

/* Returns the simulated true time in microseconds. The clocks of hosts may
 * differ from it. */
int64_t sim_now(const sim_t *sim);
/* Returns the random generator (borrowed) that all parts of a run share. */
cas_rng_t *sim_rng(sim_t *sim);

/* Calls fn(owner, data) after delay_us microseconds. Takes ownership of data (a
 * talloc context, or NULL); owner is borrowed. */
void sim_schedule(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *owner,
		  void *data);

/* Runs the events up to and including until_us and sets the time to it. */
void sim_run(sim_t *sim, int64_t until_us);

/* Like talloc_zero and talloc_zero_array, but abort when memory runs out. */
#define sim_zero(ctx, type) ((type *)sim_require(talloc_zero(ctx, type)))
#define sim_zero_array(ctx, type, count)                                       \
	((type *)sim_require(talloc_zero_array(ctx, type, count)))
/* Returns memory; aborts when it is NULL. */
void *sim_require(void *memory);

/* Returns true with the given probability. */
bool sim_chance(sim_t *sim, double probability);

#endif
