/*
 * The concurrency limit: highest completion rate times lowest latency. By
 * Little's law that is the number of requests in flight divided by the
 * inflation of their latency. The lowest latency comes from probes that lower
 * the limit for a short time. Between probes the limit falls only slowly and
 * never below what the last probe showed to be free of queueing, because an
 * inflation against a latency measured before a slowdown would lower it again
 * and again. It falls at once when the upstream sheds load.
 */
#include "limit_internal.h"

#include <string.h>

#include "cassia/clock.h"

#define LIMIT_START 10.0
#define LIMIT_MIN 2.0
#define LIMIT_MAX 100000.0
/* Room above rate times latency, so that noise does not idle the upstream. */
#define LIMIT_GAIN 1.02
#define LIMIT_GROWTH 1.08
#define GROWTH_STEP 0.06
#define GROWTH_STEP_MAX 0.5
/* Parts of a period at the limit that let it grow, and that make a probe
 * worth its cost. */
#define BOUND_SOME 0.1
#define BOUND_MOSTLY 0.5
#define CRUISE_FALL 0.98
/* Requests at the knee for those in flight that show no queueing. */
#define NO_QUEUE 0.93
#define LIMIT_FALL 0.5
#define LIMIT_SHED_FALL 0.8
#define LIMIT_CEILING_GROWTH 1.02
#define STARTUP_INFLATION 1.3
#define STARTUP_WEIGHT (1.0 / 32)
/* One long request among short ones is no sign of queueing. */
#define STARTUP_OUTLIER 3.0
#define STARTUP_GROWTH 0.7
/* A period is long enough for a mean latency that is off by a few percent. */
#define PERIOD_MIN_US (50 * CAS_USEC_PER_MSEC)
#define PERIOD_MAX_US CAS_USEC_PER_SEC
#define PERIOD_LATENCIES 3
#define PERIOD_COMPLETIONS 64
#define STARTUP_COMPLETIONS 24
#define PROBE_INTERVAL_US (3 * CAS_USEC_PER_SEC)
#define PROBE_PAUSES 10
#define PROBE_EARLY_DIVISOR 6
/* Requests in flight for those at the knee that call for an early probe. */
#define PROBE_EARLY_EXCESS 1.4
/* Part of the estimated knee to which a probe lowers the limit. */
#define PROBE_STEP 0.9
#define PROBE_DEEPEST 0.35
#define PROBE_NOISE 0.15
#define PROBE_DAMPING 0.5
#define PROBE_REQUESTS_MIN 40.0
#define PROBE_REQUESTS_MAX 64.0
#define PROBE_MAX_US (2 * CAS_USEC_PER_SEC)
#define BASE_WEIGHT 0.1
#define BASE_FALLEN 0.8
#define BASE_WEIGHT_CLEAR 0.5
#define TYPICAL_WEIGHT 0.05

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
	limit->startup_limit = limit->limit;
	latency_restart(&limit->latency);
}

void limit_init(limit_t *limit, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_START;
	limit->effective = LIMIT_START;
	limit->startup_inflation = 1;
	limit->step = GROWTH_STEP;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
	start_period(limit, now_us);
}

void limit_fix(limit_t *limit, double fixed)
{
	if (limit->fixed == fixed)
		return;
	limit->fixed = fixed;
	limit->phase = LIMIT_CRUISE;
	limit->ceiling = 0;
	if (fixed > 0) {
		limit->limit = fixed;
		limit->effective = fixed;
	}
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
	limit->held_time += elapsed * limit->inflight;
	if (!limit_allows(limit))
		limit->bound_time += elapsed;
}

uint32_t limit_start(limit_t *limit, int64_t now_us)
{
	account(limit, now_us);
	limit->inflight++;
	if (limit->phase != LIMIT_PROBE || !limit->probe_settled ||
	    limit->marked >= limit->marks_wanted)
		return 0;
	limit->marked++;
	/* Those marked are in the upstream ahead of any that now follow. */
	if (limit->marked == limit->marks_wanted)
		limit->effective = limit->limit;
	return limit->probe_number;
}

static void set_limit(limit_t *limit, double value)
{
	if (limit->fixed > 0)
		return;
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

/* Grows by a factor of 1 + STARTUP_GROWTH in one latency. The latency that
 * ends the growth is that of the limit one latency ago. */
static void startup_finish(limit_t *limit, const latency_kind_t *kind,
			   int64_t now_us, double own_us, bool was_full)
{
	double inflation;

	if (kind->base_us <= 0)
		return;
	inflation = min_of(own_us / kind->base_us, STARTUP_OUTLIER);
	limit->startup_inflation +=
		STARTUP_WEIGHT * (inflation - limit->startup_inflation);
	inflation = limit->startup_inflation;
	if (inflation < STARTUP_INFLATION) {
		if (was_full)
			set_limit(limit, limit->limit + STARTUP_GROWTH);
		return;
	}
	limit->phase = LIMIT_CRUISE;
	limit->next_probe_us = now_us;
	set_limit(limit,
		  max_of(knee(max_of(limit->startup_limit,
				     limit->inflight / (1 + STARTUP_GROWTH)),
			      inflation, limit->own_us / limit->typical_us) *
				 LIMIT_GAIN,
			 min_of(limit->limit, LIMIT_START)));
}

static void smooth(double *mean, double value)
{
	if (*mean <= 0)
		*mean = value;
	*mean += TYPICAL_WEIGHT * (value - *mean);
}

/* Returns whether the latency of a request belongs to the period; notes its
 * end when a probe waits for it. */
static bool is_counted(limit_t *limit, uint32_t mark)
{
	if (limit->phase != LIMIT_PROBE)
		return true;
	if (mark != limit->probe_number)
		return false;
	limit->marked_done++;
	return true;
}

void limit_finish(limit_t *limit, latency_kind_t *kind, int64_t now_us,
		  const limit_held_t *held, limit_end_t end)
{
	bool was_full = !limit_allows(limit);
	bool counted = is_counted(limit, held->mark);
	int64_t own_us = held->total_us - held->child_us;

	if (own_us < 1)
		own_us = 1;
	account(limit, now_us);
	limit->inflight--;
	if (end == LIMIT_END_OTHER)
		return;
	latency_add(kind, now_us, held->total_us, own_us, end == LIMIT_END_OK);
	if (end != LIMIT_END_OK)
		return;
	if (counted)
		latency_sample(kind, held->total_us, own_us);
	limit->completions++;
	smooth(&limit->typical_us, (double)held->total_us);
	smooth(&limit->own_us, (double)own_us);
	if (limit->phase == LIMIT_STARTUP)
		startup_finish(limit, kind, now_us, (double)own_us, was_full);
}

void limit_shed(limit_t *limit, int64_t now_us)
{
	if (now_us < limit->next_shed_us || limit->fixed > 0)
		return;
	limit->next_shed_us =
		now_us + (int64_t)limit->typical_us + 20 * CAS_USEC_PER_MSEC;
	limit->ceiling = max_of(min_of(limit->limit, limit->inflight + 1.0) *
					LIMIT_SHED_FALL,
				LIMIT_MIN);
	limit->phase = LIMIT_CRUISE;
	limit->floor = 0;
	set_limit(limit, limit->ceiling);
}

static void start_probe(limit_t *limit, int64_t now_us, double inflight,
			const latency_period_t *period)
{
	double wanted = knee(inflight, period->inflation, period->own_share) *
			PROBE_STEP;

	wanted = max_of(wanted, inflight * PROBE_DEEPEST);
	limit->phase = LIMIT_PROBE;
	limit->probe_start_us = now_us;
	limit->probe_inflight = inflight;
	limit->probe_before = *period;
	limit->effective = max_of(wanted, LIMIT_MIN);
	limit->probe_limit = limit->effective;
	limit->marks_wanted = (int)min_of(max_of(wanted, PROBE_REQUESTS_MIN),
					  PROBE_REQUESTS_MAX);
	limit->probe_settled = false;
	limit->probe_number++;
	limit->marked = 0;
	limit->marked_done = 0;
	start_period(limit, now_us);
}

/* Probes take at most a tenth of the time, so that they cost little where
 * requests are few. */
static void leave_probe(limit_t *limit, int64_t now_us)
{
	int64_t pause_us = (now_us - limit->probe_start_us) * PROBE_PAUSES;

	if (pause_us < PROBE_INTERVAL_US)
		pause_us = PROBE_INTERVAL_US;
	limit->phase = LIMIT_CRUISE;
	limit->effective = limit->limit;
	limit->next_probe_us = now_us + pause_us;
	limit->early_probe_us = now_us + pause_us / PROBE_EARLY_DIVISOR;
}

/* Small differences from an earlier probe are mostly noise. */
static double damped(const limit_t *limit, double inflation)
{
	if (!limit->probed || inflation < 1 - PROBE_NOISE ||
	    inflation > 1 + PROBE_NOISE)
		return inflation;
	return 1 + (inflation - 1) * PROBE_DAMPING;
}

static void end_probe(limit_t *limit, int64_t now_us, double measured)
{
	double inflation = damped(limit, measured);
	const latency_period_t *before = &limit->probe_before;
	double ratio = before->inflation / inflation;
	double target = knee(limit->probe_inflight, ratio, before->own_share) *
			LIMIT_GAIN;

	leave_probe(limit, now_us);
	limit->probed = true;
	limit->floor = limit->probe_limit;
	latency_scale(&limit->latency, inflation);
	set_limit(limit, min_of(max_of(target, limit->limit * LIMIT_FALL),
				limit->limit * LIMIT_GROWTH));
}

static bool probe_due(const limit_t *limit, int64_t now_us, double inflight,
		      double at_knee)
{
	if (now_us >= limit->next_probe_us)
		return true;
	return now_us >= limit->early_probe_us &&
	       inflight > at_knee * PROBE_EARLY_EXCESS;
}

/*
 * Without a sign of queueing the limit grows, by larger steps the longer that
 * lasts. With one it moves to the knee, downwards only slowly until a probe
 * has confirmed the base latency.
 */
static void adjust(limit_t *limit, double inflight, double at_knee)
{
	if (at_knee > inflight * NO_QUEUE) {
		set_limit(limit, max_of(limit->limit * (1 + limit->step),
					limit->limit + 1));
		limit->step = min_of(limit->step * 2, GROWTH_STEP_MAX);
		return;
	}
	limit->step = GROWTH_STEP;
	set_limit(limit, min_of(max_of(at_knee * LIMIT_GAIN,
				       max_of(limit->floor,
					      limit->limit * CRUISE_FALL)),
				limit->limit * LIMIT_GROWTH));
}

static void cruise_period(limit_t *limit, int64_t now_us, double inflight,
			  double bound, const latency_period_t *period)
{
	double at_knee = knee(inflight, period->inflation, period->own_share);

	if (bound < BOUND_SOME)
		return;
	if (limit->ceiling > 0)
		limit->ceiling *= LIMIT_CEILING_GROWTH;
	if (bound > BOUND_MOSTLY && probe_due(limit, now_us, inflight, at_knee))
		start_probe(limit, now_us, inflight, period);
	else
		adjust(limit, inflight, at_knee);
}

/*
 * Lower latencies are taken over at any load, slowly while they may be noise.
 * Higher ones are taken over only where they are not due to queueing: by a
 * probe, or before the first probe while the limit is not reached.
 */
static void follow_base(limit_t *limit, double bound,
			const latency_period_t *period)
{
	bool unloaded = limit->phase == LIMIT_STARTUP && bound < BOUND_SOME;
	bool clear = unloaded || period->inflation < BASE_FALLEN;
	double weight = clear ? BASE_WEIGHT_CLEAR : BASE_WEIGHT;

	weight *= min_of(1, (double)period->count / PERIOD_COMPLETIONS);
	if (unloaded || period->inflation < 1)
		latency_scale(&limit->latency,
			      1 + weight * (period->inflation - 1));
}

static void end_period(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->start_us);
	double inflight = limit->inflight_time / elapsed;
	double bound = limit->bound_time / elapsed;
	latency_period_t period = latency_end_period(&limit->latency);

	start_period(limit, now_us);
	if (limit->phase == LIMIT_PROBE &&
	    limit->marked < limit->marks_wanted) {
		leave_probe(limit, now_us);
		return;
	}
	if (limit->phase == LIMIT_PROBE) {
		end_probe(limit, now_us, period.inflation);
		return;
	}
	follow_base(limit, bound, &period);
	if (limit->phase == LIMIT_CRUISE && limit->fixed <= 0)
		cruise_period(limit, now_us, inflight, bound, &period);
}

/* A probe first waits until the lower limit is reached, so that nothing queues
 * in the upstream. It then marks the next requests and ends when they have. */
static bool probe_is_over(limit_t *limit, int64_t now_us)
{
	if (now_us - limit->probe_start_us >= PROBE_MAX_US)
		return true;
	if (!limit->probe_settled) {
		limit->probe_settled =
			limit->inflight <= (int)limit->effective + 1;
		start_period(limit, now_us);
		return false;
	}
	return limit->marked == limit->marks_wanted &&
	       limit->marked_done >= limit->marked;
}

static bool period_is_over(const limit_t *limit, int64_t now_us)
{
	bool startup = limit->phase == LIMIT_STARTUP;
	double wanted = min_of(
		max_of(limit->limit * PERIOD_LATENCIES, STARTUP_COMPLETIONS),
		PERIOD_COMPLETIONS);
	int completions = startup ? STARTUP_COMPLETIONS : (int)wanted;
	int64_t elapsed = now_us - limit->start_us;

	if (elapsed < PERIOD_MIN_US)
		return false;
	if (elapsed >= PERIOD_MAX_US)
		return true;
	return limit->completions >= completions &&
	       (double)elapsed >= limit->own_us * PERIOD_LATENCIES;
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
