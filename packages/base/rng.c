/* Seeded pseudo-random numbers from GRand of GLib. */
#include "cassia/rng.h"

#include <glib.h>
#include <math.h>

struct cas_rng {
	GRand *rand;
};

static int rng_destroy(cas_rng_t *rng)
{
	g_rand_free(rng->rand);
	return 0;
}

cas_rng_t *cas_rng_create(TALLOC_CTX *ctx, uint32_t seed)
{
	cas_rng_t *rng = talloc_zero(ctx, cas_rng_t);

	if (!rng)
		return NULL;
	rng->rand = g_rand_new_with_seed(seed);
	talloc_set_destructor(rng, rng_destroy);
	return rng;
}

uint32_t cas_rng_below(cas_rng_t *rng, uint32_t limit)
{
	return (uint32_t)(((uint64_t)g_rand_int(rng->rand) * limit) >> 32);
}

double cas_rng_double(cas_rng_t *rng)
{
	return g_rand_double(rng->rand);
}

double cas_rng_exponential(cas_rng_t *rng, double mean)
{
	return -mean * log1p(-g_rand_double(rng->rand));
}

uint64_t cas_rng_u64(cas_rng_t *rng)
{
	return ((uint64_t)g_rand_int(rng->rand) << 32) | g_rand_int(rng->rand);
}
