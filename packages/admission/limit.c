/*
 * The concurrency limit: highest completion rate times lowest latency. The
 * rate comes from recent periods at the limit. The latency comes from probes
 * that lower the limit until the latency stops falling with it. The limit
 * only falls on the result of a probe or when the upstream sheds load,
 * because a rate measured now times a latency measured before a slowdown
 * would lower it again and again.
 */
#include "limit_internal.h"

#include <string.h>

#include "cassia/clock.h"

#define LIMIT_START 8.0
#define LIMIT_MIN 2.0
#define LIMIT_MAX 100000.0
/* Room above rate times latency, so that noise does not idle the upstream. */
#define LIMIT_GAIN 1.2
#define LIMIT_GROWTH 1.25
#define LIMIT_STARTUP_GROWTH 1.5
#define LIMIT_FALL 0.5
#define LIMIT_SHED_FALL 0.8
#define LIMIT_CEILING_GROWTH 1.02
#define PERIOD_MIN_US (50 * CAS_USEC_PER_MSEC)
#define PERIOD_MAX_US CAS_USEC_PER_SEC
#define PERIOD_LATENCIES 4
#define PERIOD_COMPLETIONS 32
#define PROBE_INTERVAL_US (2 * CAS_USEC_PER_SEC)
#define PROBE_EARLY_US (CAS_USEC_PER_SEC / 2)
#define PROBE_EARLY_RATIO 1.5
#define PROBE_STEP 0.85
/* A latency that falls by more than 6% on a step of 15% shows queueing. */
#define PROBE_STILL_QUEUEING 0.94
#define PROBE_MAX_STEPS 12
#define TYPICAL_WEIGHT 0.05
/* Without successes the typical latency halves in each such time, so that a
 * stale value does not keep every request out. */
#define TYPICAL_STALE_US (CAS_USEC_PER_SEC / 2)

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

static double max_of(double a, double b)
{
	return a > b ? a : b;
}

static void start_period(limit_t *limit, int64_t start_us)
{
	limit->start_us = start_us;
	limit->changed_us = start_us;
	limit->inflight_time = 0;
	limit->bound_time = 0;
	limit->latency_sum_us = 0;
	limit->completions = 0;
}

void limit_init(limit_t *limit, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_START;
	limit->effective = LIMIT_START;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
	limit->typical_at_us = now_us;
	start_period(limit, now_us);
}

bool limit_allows(const limit_t *limit)
{
	return limit->inflight < (int)limit->effective;
}

static void account(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->changed_us);

	if (elapsed <= 0)
		return;
	limit->changed_us = now_us;
	limit->inflight_time += elapsed * limit->inflight;
	if (!limit_allows(limit))
		limit->bound_time += elapsed;
}

void limit_start(limit_t *limit, int64_t now_us)
{
	account(limit, now_us);
	limit->inflight++;
}

void limit_finish(limit_t *limit, int64_t now_us, int64_t latency_us, bool ok,
		  bool counted)
{
	account(limit, now_us);
	limit->inflight--;
	if (!counted || now_us < limit->start_us)
		return;
	limit->completions++;
	limit->latency_sum_us += latency_us;
	if (!ok)
		return;
	limit->typical_at_us = now_us;
	if (limit->typical_us <= 0)
		limit->typical_us = (double)latency_us;
	limit->typical_us +=
		TYPICAL_WEIGHT * ((double)latency_us - limit->typical_us);
}

static void set_limit(limit_t *limit, double value)
{
	if (limit->ceiling > 0)
		value = min_of(value, limit->ceiling);
	limit->limit = min_of(max_of(value, LIMIT_MIN), LIMIT_MAX);
	limit->effective = limit->limit;
}

void limit_shed(limit_t *limit, int64_t now_us)
{
	if (now_us < limit->next_shed_us)
		return;
	limit->next_shed_us =
		now_us + (int64_t)limit->typical_us + 20 * CAS_USEC_PER_MSEC;
	limit->ceiling = max_of(min_of(limit->limit, limit->inflight + 1.0) *
					LIMIT_SHED_FALL,
				LIMIT_MIN);
	limit->phase = LIMIT_CRUISE;
	set_limit(limit, limit->ceiling);
}

static double highest_rate(const limit_t *limit)
{
	double highest = 0;

	for (int i = 0; i < LIMIT_RATES; i++)
		highest = max_of(highest, limit->rates[i]);
	return highest;
}

static void push_rate(limit_t *limit, double rate)
{
	limit->rates[limit->rate_next] = rate;
	limit->rate_next = (limit->rate_next + 1) % LIMIT_RATES;
}

/* Rate times latency, with the gain. */
static double target(const limit_t *limit)
{
	return highest_rate(limit) * (double)limit->base_us /
	       (double)CAS_USEC_PER_SEC * LIMIT_GAIN;
}

static void start_probe_step(limit_t *limit, int64_t now_us, double inflight,
			     double latency_us)
{
	limit->effective = max_of(inflight * PROBE_STEP, LIMIT_MIN);
	limit->probe_latency_us = latency_us;
	limit->probe_steps++;
	/* Requests from before the step still queue in the upstream. */
	start_period(limit, now_us + (int64_t)(latency_us * 1.5));
}

static void start_probe(limit_t *limit, int64_t now_us, double inflight,
			double latency_us, double rate)
{
	limit->phase = LIMIT_PROBE;
	limit->probe_steps = 0;
	limit->probe_rate = rate;
	start_probe_step(limit, now_us, inflight, latency_us);
}

static void end_probe(limit_t *limit, int64_t now_us, double latency_us,
		      double rate)
{
	double before = limit->limit;

	limit->phase = LIMIT_CRUISE;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
	limit->base_us = (int64_t)latency_us;
	memset(limit->rates, 0, sizeof(limit->rates));
	push_rate(limit, max_of(limit->probe_rate, rate));
	set_limit(limit, min_of(max_of(target(limit), before * LIMIT_FALL),
				before * LIMIT_GROWTH));
	start_period(limit, now_us);
}

static void probe_period(limit_t *limit, int64_t now_us, double inflight,
			 double latency_us, double rate)
{
	bool queueing =
		latency_us < limit->probe_latency_us * PROBE_STILL_QUEUEING;

	if (queueing && limit->probe_steps < PROBE_MAX_STEPS &&
	    limit->effective > LIMIT_MIN)
		start_probe_step(limit, now_us, inflight, latency_us);
	else
		end_probe(limit, now_us, latency_us, rate);
}

/* Grows quickly until a period brings neither more rate nor an unchanged
 * latency. */
static void startup_period(limit_t *limit, double latency_us, double rate)
{
	bool slower = latency_us > (double)limit->base_us * 1.3;
	bool faster = rate > highest_rate(limit) * 1.15;

	limit->flat_periods = faster ? 0 : limit->flat_periods + 1;
	push_rate(limit, rate);
	if (slower || limit->flat_periods >= 2)
		limit->phase = LIMIT_CRUISE;
	else
		set_limit(limit, limit->limit * LIMIT_STARTUP_GROWTH);
}

static bool probe_due(const limit_t *limit, int64_t now_us, double latency_us)
{
	int64_t early_us =
		limit->next_probe_us - PROBE_INTERVAL_US + PROBE_EARLY_US;

	if (now_us >= limit->next_probe_us)
		return true;
	return now_us >= early_us &&
	       latency_us > (double)limit->base_us * PROBE_EARLY_RATIO;
}

static void cruise_period(limit_t *limit, int64_t now_us, double inflight,
			  double latency_us, double rate)
{
	double wanted;

	push_rate(limit, rate);
	if (limit->ceiling > 0)
		limit->ceiling *= LIMIT_CEILING_GROWTH;
	if (probe_due(limit, now_us, latency_us)) {
		start_probe(limit, now_us, inflight, latency_us, rate);
		return;
	}
	wanted = target(limit);
	if (wanted > limit->limit)
		set_limit(limit, min_of(wanted, limit->limit * LIMIT_GROWTH));
}

static void end_period(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->start_us);
	double latency = (double)limit->latency_sum_us / limit->completions;
	double rate = limit->completions * (double)CAS_USEC_PER_SEC / elapsed;
	double inflight = limit->inflight_time / elapsed;
	bool bound = limit->bound_time > elapsed / 2;

	start_period(limit, now_us);
	if (limit->phase == LIMIT_PROBE) {
		probe_period(limit, now_us, inflight, latency, rate);
		return;
	}
	if (!limit->base_us || latency < (double)limit->base_us)
		limit->base_us = (int64_t)latency;
	else if (inflight < limit->limit * 0.6)
		limit->base_us += ((int64_t)latency - limit->base_us) / 2;
	if (!bound)
		return;
	if (limit->phase == LIMIT_STARTUP)
		startup_period(limit, latency, rate);
	else
		cruise_period(limit, now_us, inflight, latency, rate);
}

static void age_typical(limit_t *limit, int64_t now_us)
{
	if (now_us - limit->typical_at_us < TYPICAL_STALE_US)
		return;
	limit->typical_at_us = now_us;
	limit->typical_us /= 2;
}

void limit_tick(limit_t *limit, int64_t now_us)
{
	int64_t elapsed = now_us - limit->start_us;
	double wanted = limit->typical_us * PERIOD_LATENCIES;

	account(limit, now_us);
	age_typical(limit, now_us);
	if (elapsed < PERIOD_MIN_US || (double)elapsed < wanted)
		if (elapsed < PERIOD_MAX_US)
			return;
	if (limit->completions < PERIOD_COMPLETIONS && elapsed < PERIOD_MAX_US)
		return;
	if (limit->completions)
		end_period(limit, now_us);
	else
		start_period(limit, now_us);
}
