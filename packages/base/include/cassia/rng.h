/*
 * Pseudo-random numbers from a seed, so that tests and soak runs are
 * reproducible. Not for secrets, which come from libsodium.
 */
#ifndef CASSIA_RNG_H
#define CASSIA_RNG_H

#include <stdint.h>
#include <talloc.h>

typedef struct cas_rng cas_rng_t;

/* Returns a new generator (owned by ctx), or NULL when out of memory. */
cas_rng_t *cas_rng_create(TALLOC_CTX *ctx, uint32_t seed);

/* Returns a number in [0, limit); limit is at least 1. */
uint32_t cas_rng_below(cas_rng_t *rng, uint32_t limit);

/* Returns a number in [0, 1). */
double cas_rng_double(cas_rng_t *rng);

/* Returns an exponentially distributed number with the given mean. */
double cas_rng_exponential(cas_rng_t *rng, double mean);

/* Returns 64 random bits. */
uint64_t cas_rng_u64(cas_rng_t *rng);

#endif
