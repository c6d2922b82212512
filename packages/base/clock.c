/* The real clock, which reads CLOCK_BOOTTIME, and the manual clock. */
#include "cassia/clock.h"

#include <assert.h>
#include <time.h>

/* What differs between the kinds of clock. */
typedef struct cas_clock_ops {
	int64_t (*now)(const cas_clock_t *clock);
} cas_clock_ops_t;

struct cas_clock {
	const cas_clock_ops_t *ops;
	int64_t manual_us; /* time of the manual clock */
};

static int64_t real_now(const cas_clock_t *clock)
{
	struct timespec ts;

	(void)clock;
	/* Unlike CLOCK_MONOTONIC it counts the time during which the host is
	 * suspended, so that leases expire meanwhile. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * CAS_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t manual_now(const cas_clock_t *clock)
{
	return clock->manual_us;
}

static const cas_clock_ops_t real_ops = { .now = real_now };
static const cas_clock_ops_t manual_ops = { .now = manual_now };

static cas_clock_t *clock_create(TALLOC_CTX *ctx, const cas_clock_ops_t *ops,
				 int64_t start_us)
{
	cas_clock_t *clock = talloc_zero(ctx, cas_clock_t);

	if (!clock)
		return NULL;
	clock->ops = ops;
	clock->manual_us = start_us;
	return clock;
}

cas_clock_t *cas_clock_create_real(TALLOC_CTX *ctx)
{
	return clock_create(ctx, &real_ops, 0);
}

cas_clock_t *cas_clock_create_manual(TALLOC_CTX *ctx, int64_t start_us)
{
	return clock_create(ctx, &manual_ops, start_us);
}

int64_t cas_clock_now(const cas_clock_t *clock)
{
	return clock->ops->now(clock);
}

void cas_clock_advance(cas_clock_t *clock, int64_t delta_us)
{
	assert(clock->ops == &manual_ops);
	assert(delta_us >= 0);
	clock->manual_us += delta_us;
}
