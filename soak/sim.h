/*
 * Discrete event simulation for the soak run and the benchmarks: one queue of
 * events ordered by time, so that a seed gives the same run every time.
 */
#ifndef SOAK_SIM_H
#define SOAK_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/rng.h"

typedef struct sim sim_t;

/* An event; data (may be NULL) is freed after the call. */
typedef void (*sim_event_fn)(void *owner, void *data);

sim_t *sim_create(TALLOC_CTX *ctx, uint32_t seed);

/* True time in microseconds. */
int64_t sim_now(const sim_t *sim);
cas_rng_t *sim_rng(sim_t *sim);

/* Calls fn(owner, data) after delay_us; takes ownership of data. */
void sim_after(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *owner,
	       void *data);

/* Runs the events up to and including until_us. */
void sim_run(sim_t *sim, int64_t until_us);

/* Returns true with the given probability. */
bool sim_chance(sim_t *sim, double probability);

#endif
