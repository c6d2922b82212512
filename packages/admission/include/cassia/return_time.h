/*
 * When the caller of a refused request is told to return.
 *
 * Load pattern: many callers are refused at the same moment. Told the same
 * time, they would return together and be refused again.
 */
#ifndef CASSIA_RETURN_TIME_H
#define CASSIA_RETURN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/rng.h"

/* No time is given to the caller. */
#define RETURN_TIME_NONE (-1)

/* Returns the time in microseconds until a class of which only a fraction
 * (0..1) is admitted has a chance again. */
int64_t return_time_when_shed(double fraction);

/*
 * Returns the time in microseconds to tell a caller, spread at random around
 * expected_us, when capacity is expected (1 or more). left_us is the time that
 * the caller has left: callers wait for at most a third of it, so the result is
 * not longer, and it is RETURN_TIME_NONE when that is too short to return.
 * not_before: there is certainly no capacity before expected_us.
 */
int64_t return_time_choose(cas_rng_t *rng, int64_t expected_us, int64_t left_us,
			   bool not_before);

#endif
