/*
 * Keeps the rate that the upstream states in its responses, for the requests of
 * all daemons, as they all pass this one. Starts are spread evenly by the
 * generic cell rate algorithm, with a small tolerance for requests that arrive
 * together.
 */
#include "rate_limit_internal.h"

#include "cassia/clock.h"
#include "cassia/number.h"

/* How much earlier than due a request may start. */
#define TOLERANCE_US (200 * CAS_USEC_PER_MSEC)
/* Lower rates are raised to this one: without a request there is no response
 * that could state a higher rate. */
#define RATE_MIN 0.25
/* A response without a rate ends the limit only after this time without one that
 * states it: it may be from before, or not be from the upstream itself. */
#define ABSENCE_US CAS_USEC_PER_SEC

static int64_t interval_us(const rate_limit_t *limit)
{
	return (int64_t)((double)CAS_USEC_PER_SEC /
			 cas_max(limit->rate_per_s, RATE_MIN));
}

void rate_limit_state(rate_limit_t *limit, int64_t now_us, double rate_per_s)
{
	int64_t latest_us;

	limit->rate_per_s = rate_per_s;
	limit->stated_us = now_us;
	latest_us = now_us + TOLERANCE_US + interval_us(limit);
	/* Starts from before the limit are not counted. After a change, a start
	 * that was due at a lower rate does not hold up the next one. */
	if (!limit->in_force || limit->due_us > latest_us)
		limit->due_us = latest_us;
	limit->in_force = true;
}

void rate_limit_note_absence(rate_limit_t *limit, int64_t now_us)
{
	if (now_us - limit->stated_us >= ABSENCE_US)
		limit->in_force = false;
}

void rate_limit_clear(rate_limit_t *limit)
{
	limit->in_force = false;
}

int64_t rate_limit_next_start(const rate_limit_t *limit)
{
	return limit->in_force ? limit->due_us - TOLERANCE_US : 0;
}

void rate_limit_record(rate_limit_t *limit, int64_t now_us)
{
	if (!limit->in_force)
		return;
	if (limit->due_us < now_us)
		limit->due_us = now_us;
	limit->due_us += interval_us(limit);
}

int32_t rate_limit_queue_max(const rate_limit_t *limit, int64_t wait_max_us)
{
	int64_t count = wait_max_us / interval_us(limit);

	return count < 1 ? 1 : (int32_t)cas_min((double)count, INT32_MAX);
}

int64_t rate_limit_wait(const rate_limit_t *limit, int64_t now_us,
			int32_t queued)
{
	int64_t wait_us;

	if (!limit->in_force)
		return 0;
	wait_us = rate_limit_next_start(limit) - now_us;
	return (wait_us > 0 ? wait_us : 0) + queued * interval_us(limit);
}

double rate_limit_cap(const rate_limit_t *limit, double concurrency,
		      double mean_us)
{
	if (!limit->in_force || mean_us <= 0)
		return concurrency;
	return cas_min(concurrency,
		       cas_max(mean_us / (double)interval_us(limit), 1));
}
