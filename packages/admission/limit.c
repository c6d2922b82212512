/*
 * The concurrency limit: highest completion rate times lowest latency. By
 * Little's law that is the number of requests in flight divided by the
 * inflation of their latency. The lowest latency comes from probes that lower
 * the limit for a short time. The limit falls only on the result of a probe
 * or when the upstream sheds load, because an inflation against a latency
 * measured before a slowdown would lower it again and again.
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
#define LIMIT_FALL 0.7
#define LIMIT_SHED_FALL 0.8
#define LIMIT_CEILING_GROWTH 1.02
#define STARTUP_INFLATION 1.3
#define STARTUP_WEIGHT (1.0 / 16)
/* A period is long enough for a mean latency that is off by a few percent. */
#define PERIOD_MIN_US (50 * CAS_USEC_PER_MSEC)
#define PERIOD_MAX_US CAS_USEC_PER_SEC
#define PERIOD_LATENCIES 2
#define PERIOD_COMPLETIONS 64
#define STARTUP_COMPLETIONS 16
#define PROBE_INTERVAL_US (3 * CAS_USEC_PER_SEC)
#define PROBE_EARLY_US (CAS_USEC_PER_SEC / 2)
#define PROBE_EARLY_INFLATION 1.5
/* Part of the estimated knee to which a probe lowers the limit. */
#define PROBE_STEP 0.8
#define PROBE_DEEPEST 0.5
#define PROBE_REQUESTS 64
#define PROBE_MAX_US (2 * CAS_USEC_PER_SEC)
#define TYPICAL_WEIGHT 0.05
/* Below this use of the limit there is no queueing in the upstream. */
#define UNLOADED 0.6

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
	limit->completions = 0;
	latency_restart(&limit->latency);
}

void limit_init(limit_t *limit, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_START;
	limit->effective = LIMIT_START;
	limit->startup_inflation = 1;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
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
	if (limit->phase != LIMIT_PROBE || now_us < limit->start_us ||
	    limit->marked >= PROBE_REQUESTS)
		return;
	limit->marked++;
	limit->marked_to_us = now_us;
	/* Those marked are in the upstream ahead of any that now follow. */
	if (limit->marked == PROBE_REQUESTS)
		limit->effective = limit->limit;
}

static void set_limit(limit_t *limit, double value)
{
	if (limit->ceiling > 0)
		value = min_of(value, limit->ceiling);
	limit->limit = min_of(max_of(value, LIMIT_MIN), LIMIT_MAX);
	limit->effective = limit->limit;
}

/* Requests in flight beyond the knee wait in the upstream. By Little's law
 * they are in proportion to the excess of own time over base time. */
static double knee(double inflight, double inflation, double own_share)
{
	double excess = 1 - 1 / max_of(inflation, 1);

	return inflight * (1 - own_share * excess);
}

/* One more for each completion doubles the limit in one latency. */
static void startup_finish(limit_t *limit, const latency_kind_t *kind,
			   double total_us, double own_us, bool was_full)
{
	double inflation;

	if (kind->base_us <= 0)
		return;
	limit->startup_inflation += STARTUP_WEIGHT * (own_us / kind->base_us -
						      limit->startup_inflation);
	inflation = limit->startup_inflation;
	if (inflation < STARTUP_INFLATION) {
		if (was_full)
			set_limit(limit, limit->limit + 1);
		return;
	}
	limit->phase = LIMIT_CRUISE;
	set_limit(limit, knee(limit->inflight, inflation, own_us / total_us) *
				 LIMIT_GAIN);
}

static void smooth(double *mean, double value)
{
	if (*mean <= 0)
		*mean = value;
	*mean += TYPICAL_WEIGHT * (value - *mean);
}

/* Returns whether the latency of a request belongs to the period; notes its
 * end when a probe waits for it. */
static bool is_counted(limit_t *limit, int64_t started_us)
{
	if (limit->phase != LIMIT_PROBE)
		return true;
	if (started_us < limit->start_us || started_us > limit->marked_to_us)
		return false;
	limit->marked_done++;
	return true;
}

void limit_finish(limit_t *limit, latency_kind_t *kind, int64_t now_us,
		  int64_t total_us, int64_t child_us, limit_end_t end)
{
	bool was_full = !limit_allows(limit);
	int64_t own_us = child_us < total_us ? total_us - child_us : 1;
	bool counted;

	account(limit, now_us);
	limit->inflight--;
	counted = is_counted(limit, now_us - total_us);
	if (end == LIMIT_END_OTHER)
		return;
	latency_add(kind, now_us, total_us, end == LIMIT_END_OK);
	if (end != LIMIT_END_OK)
		return;
	if (counted)
		latency_sample(kind, total_us, own_us);
	limit->completions++;
	smooth(&limit->typical_us, (double)total_us);
	smooth(&limit->own_us, (double)own_us);
	if (limit->phase == LIMIT_STARTUP)
		startup_finish(limit, kind, (double)total_us, (double)own_us,
			       was_full);
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

static void start_marking(limit_t *limit, int64_t now_us)
{
	start_period(limit, now_us);
	limit->marked = 0;
	limit->marked_done = 0;
	limit->marked_to_us = now_us - 1;
}

static void start_probe(limit_t *limit, int64_t now_us, double inflight,
			const latency_period_t *period)
{
	double wanted = knee(inflight, period->inflation, period->own_share) *
			PROBE_STEP;

	wanted = max_of(wanted, inflight * PROBE_DEEPEST);
	limit->phase = LIMIT_PROBE;
	limit->probe_inflight = inflight;
	limit->probe_before = *period;
	limit->effective = max_of(wanted, LIMIT_MIN);
	start_marking(limit, now_us);
}

static void end_probe(limit_t *limit, int64_t now_us, double inflation)
{
	const latency_period_t *before = &limit->probe_before;
	double target = knee(limit->probe_inflight,
			     before->inflation / inflation, before->own_share) *
			LIMIT_GAIN;

	limit->phase = LIMIT_CRUISE;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
	limit->early_probe_us = now_us + PROBE_EARLY_US;
	latency_scale(&limit->latency, inflation);
	set_limit(limit, min_of(max_of(target, limit->limit * LIMIT_FALL),
				limit->limit * LIMIT_GROWTH));
}

static bool probe_due(const limit_t *limit, int64_t now_us, double inflation)
{
	if (now_us >= limit->next_probe_us)
		return true;
	return now_us >= limit->early_probe_us &&
	       inflation > PROBE_EARLY_INFLATION;
}

static void cruise_period(limit_t *limit, int64_t now_us, double inflight,
			  const latency_period_t *period)
{
	double wanted = knee(inflight, period->inflation, period->own_share) *
			LIMIT_GAIN;

	if (limit->ceiling > 0)
		limit->ceiling *= LIMIT_CEILING_GROWTH;
	if (probe_due(limit, now_us, period->inflation))
		start_probe(limit, now_us, inflight, period);
	else if (wanted > limit->limit)
		set_limit(limit, min_of(wanted, limit->limit * LIMIT_GROWTH));
}

/* Lower latencies are taken over at any load, higher ones without load. */
static void follow_base(limit_t *limit, double inflight,
			const latency_period_t *period)
{
	bool unloaded = inflight < limit->limit * UNLOADED;
	double weight =
		0.5 * min_of(1, (double)period->count / PERIOD_COMPLETIONS);

	if (period->inflation < 1 || unloaded)
		latency_scale(&limit->latency,
			      1 + weight * (period->inflation - 1));
}

static void end_period(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->start_us);
	double inflight = limit->inflight_time / elapsed;
	bool bound = limit->bound_time > elapsed / 2;
	latency_period_t period = latency_end_period(&limit->latency);

	start_period(limit, now_us);
	if (limit->phase == LIMIT_PROBE) {
		end_probe(limit, now_us, period.inflation);
		return;
	}
	follow_base(limit, inflight, &period);
	if (bound && limit->phase == LIMIT_CRUISE)
		cruise_period(limit, now_us, inflight, &period);
}

/* A probe first waits until the lower limit is reached, so that nothing queues
 * in the upstream. It then marks the next requests and ends when they have. */
static bool probe_is_over(limit_t *limit, int64_t now_us)
{
	int64_t elapsed = now_us - limit->start_us;

	if (!limit->marked && limit->inflight > (int)limit->effective + 1) {
		start_marking(limit, now_us);
		return false;
	}
	if (elapsed >= PROBE_MAX_US)
		return true;
	return limit->marked == PROBE_REQUESTS &&
	       limit->marked_done >= limit->marked;
}

static bool period_is_over(const limit_t *limit, int64_t now_us)
{
	bool startup = limit->phase == LIMIT_STARTUP;
	double latencies = startup ? 1 : PERIOD_LATENCIES;
	int completions = startup ? STARTUP_COMPLETIONS : PERIOD_COMPLETIONS;
	int64_t elapsed = now_us - limit->start_us;

	if (elapsed < PERIOD_MIN_US)
		return false;
	if (elapsed >= PERIOD_MAX_US)
		return true;
	return limit->completions >= completions &&
	       (double)elapsed >= limit->own_us * latencies;
}

void limit_tick(limit_t *limit, int64_t now_us)
{
	bool over;

	account(limit, now_us);
	if (limit->phase == LIMIT_PROBE)
		over = probe_is_over(limit, now_us);
	else
		over = period_is_over(limit, now_us);
	if (!over)
		return;
	if (limit->completions)
		end_period(limit, now_us);
	else
		start_period(limit, now_us);
}
