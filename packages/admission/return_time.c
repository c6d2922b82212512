/* When the caller of a refused request is told to return. */
#include "cassia/return_time.h"

#include "cassia/clock.h"

/* Callers wait for at most this part of the time that they have left. */
#define USABLE_DIVISOR 3
/* A shorter time is not worth a return: it is about what the refused request
 * and the next one spend on the way between regions. */
#define USABLE_MIN_US (20 * CAS_USEC_PER_MSEC)
/* Time until a shed class has a chance again: this, divided by the admitted
 * fraction; at most the second. */
#define SHED_BASE_US (200 * CAS_USEC_PER_MSEC)
#define SHED_MAX_US (2 * CAS_USEC_PER_SEC)
/* Range of the spread as a factor of the expected time, and its lower end where
 * there is no capacity before that time. */
#define SPREAD_MIN 0.5
#define SPREAD_MAX 1.5
#define SPREAD_NOT_BEFORE 1.0
/* Lower end of the spread as a factor of the usable time, where that is shorter
 * than the expected time. */
#define USABLE_SPREAD_MIN 0.5

int64_t return_time_when_shed(double fraction)
{
	if (fraction * (double)SHED_MAX_US <= (double)SHED_BASE_US)
		return SHED_MAX_US;
	return (int64_t)((double)SHED_BASE_US / fraction);
}

static double between(cas_rng_t *rng, double low, double high)
{
	return low + (high - low) * cas_rng_double(rng);
}

int64_t return_time_choose(cas_rng_t *rng, int64_t expected_us, int64_t left_us,
			   bool not_before)
{
	int64_t usable_us = left_us / USABLE_DIVISOR;
	double low = not_before ? SPREAD_NOT_BEFORE : SPREAD_MIN;
	double wait_us;

	if (usable_us < USABLE_MIN_US)
		return RETURN_TIME_NONE;
	wait_us = (double)expected_us * between(rng, low, SPREAD_MAX);
	if (wait_us > (double)usable_us)
		wait_us =
			(double)usable_us * between(rng, USABLE_SPREAD_MIN, 1);
	return (int64_t)wait_us;
}
