/*
 * The concurrency limit of an upstream, estimated as its highest completion
 * rate times its lowest latency. By Little's law this is the number of requests
 * in flight divided by the inflation of their latency, and is called the knee
 * here: further requests only queue in the upstream.
 *
 * The lowest latency is measured by probes, which lower the limit for a short
 * time. Between probes the limit falls only slowly and never below the limit of
 * the last probe, which showed no queueing. Otherwise an upstream that has
 * become slower would lower it again and again, because its latency seems
 * inflated against the base latency measured before. The limit falls at once
 * when the upstream sheds requests.
 */
#include "limit_internal.h"

#include <string.h>

#include "cassia/clock.h"
#include "cassia/number.h"

/* Limits, in requests. */
#define LIMIT_INITIAL 10.0
#define LIMIT_MIN 2.0
#define LIMIT_MAX 100000.0
/* Factor of the limit above the knee. The headroom keeps noise from leaving the
 * upstream idle. */
#define HEADROOM_FACTOR 1.02
/* Maximum factor by which the limit moves towards the knee after a period or a
 * probe. */
#define LIMIT_FACTOR_MAX 1.08
/* Growth of the limit after a period without queueing, as a fraction of it. The
 * step doubles with each such period in succession, up to GROWTH_STEP_MAX. */
#define GROWTH_STEP 0.06
#define GROWTH_STEP_MAX 0.5
/* Shares of a period during which the limit must be reached: for the limit to
 * be adjusted, and for a probe to be worth its cost. */
#define LIMITED_SHARE_MIN 0.1
#define LIMITED_SHARE_PROBE 0.5
/* Minimum factor by which the limit moves towards the knee after a period. */
#define STEADY_FACTOR_MIN 0.98
/* Nothing queues in the upstream when the knee is above this share of the
 * number in flight. */
#define NO_QUEUE_RATIO 0.93
/* Minimum factor by which the limit moves towards the knee after a probe. */
#define PROBE_FACTOR_MIN 0.5
/* Factor by which the limit falls when the upstream sheds a request. */
#define SHED_FACTOR 0.8
/* Factor by which the ceiling grows after a period in which the limit was
 * reached. */
#define CEILING_FACTOR 1.02
/* The startup ends when the inflation, smoothed with this weight of a single
 * request, reaches the maximum. */
#define STARTUP_INFLATION_MAX 1.3
#define STARTUP_INFLATION_WEIGHT (1.0 / 32)
/* Maximum inflation of a single request in the startup. One long request among
 * short ones is not a sign of queueing. */
#define STARTUP_OUTLIER_MAX 3.0
/* Growth of the limit in the startup, in requests for each completion. */
#define STARTUP_GROWTH 0.7
/* Duration of a period, long enough for a mean latency with an error of a few
 * percent. Between the minimum and the maximum, a period ends when
 * PERIOD_LATENCIES mean own times have passed and enough requests have
 * completed: PERIOD_LATENCIES times the limit, but at least STARTUP_COMPLETIONS
 * and at most PERIOD_COMPLETIONS. In the startup, STARTUP_COMPLETIONS are
 * enough. */
#define PERIOD_MIN_US (50 * CAS_USEC_PER_MSEC)
#define PERIOD_MAX_US CAS_USEC_PER_SEC
#define PERIOD_LATENCIES 3
#define PERIOD_COMPLETIONS 64
#define STARTUP_COMPLETIONS 24
/* Minimum pause between probes, and the pause as a multiple of the duration of
 * the last probe. */
#define PROBE_INTERVAL_US (3 * CAS_USEC_PER_SEC)
#define PROBE_PAUSE_FACTOR 10
/* The pause is divided by this when the number in flight is above the knee by a
 * factor of PROBE_EARLY_EXCESS. */
#define PROBE_EARLY_DIVISOR 6
#define PROBE_EARLY_EXCESS 1.4
/* Share of the estimated knee to which a probe lowers the limit, and the lower
 * bound of the result as a share of the number in flight. */
#define PROBE_KNEE_SHARE 0.9
#define PROBE_INFLIGHT_SHARE_MIN 0.35
/* A change of the base latency by up to this fraction is mostly noise and is
 * multiplied by PROBE_DAMPING. */
#define PROBE_NOISE_RANGE 0.15
#define PROBE_DAMPING 0.5
/* Number of requests that a probe samples, and its maximum duration. */
#define PROBE_REQUESTS_MIN 40.0
#define PROBE_REQUESTS_MAX 64.0
#define PROBE_MAX_US (2 * CAS_USEC_PER_SEC)
/* Weights of a change of the base latency between probes: of one that may be
 * noise, and of one that is not, because the inflation is below BASE_FALL_RATIO
 * or the upstream is not loaded. */
#define BASE_NOISE_WEIGHT 0.1
#define BASE_FALL_RATIO 0.8
#define BASE_CHANGE_WEIGHT 0.5
/* Weight of one request in the mean latencies over all kinds. */
#define MEAN_WEIGHT 0.05

/* Starts a measurement period and discards the samples of the last one. */
static void start_period(limit_t *limit, int64_t start_us)
{
	limit->period_start_us = start_us;
	limit->integrated_until_us = start_us;
	limit->period_inflight_integral = 0;
	limit->period_limited_us = 0;
	limit->period_completions = 0;
	limit->period_start_limit = limit->limit;
	latency_reset_period(&limit->latency);
}

void limit_init(limit_t *limit, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_INITIAL;
	limit->effective_limit = LIMIT_INITIAL;
	limit->startup_inflation = 1;
	limit->growth_step = GROWTH_STEP;
	limit->next_probe_us = now_us + PROBE_INTERVAL_US;
	start_period(limit, now_us);
}

void limit_fix(limit_t *limit, double fixed_limit)
{
	if (limit->fixed_limit == fixed_limit)
		return;
	limit->fixed_limit = fixed_limit;
	limit->phase = LIMIT_STEADY;
	limit->ceiling = 0;
	if (fixed_limit > 0) {
		limit->limit = fixed_limit;
		limit->effective_limit = fixed_limit;
	}
}

bool limit_allows(const limit_t *limit)
{
	return limit->inflight < (int)limit->effective_limit;
}

/* Updates the integrals for the time since the last call. Called before each
 * change of the number in flight. */
static void integrate_inflight(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->integrated_until_us);

	if (elapsed <= 0)
		return;
	limit->integrated_until_us = now_us;
	limit->period_inflight_integral += elapsed * limit->inflight;
	limit->inflight_integral += elapsed * limit->inflight;
	if (!limit_allows(limit))
		limit->period_limited_us += elapsed;
}

uint32_t limit_start(limit_t *limit, int64_t now_us)
{
	integrate_inflight(limit, now_us);
	limit->inflight++;
	if (limit->phase != LIMIT_PROBE || !limit->probe_settled ||
	    limit->probe_samples_started >= limit->probe_samples_target)
		return 0;
	limit->probe_samples_started++;
	/* All sampled requests have started. Requests that now follow queue
	 * behind them in the upstream and do not delay them, so the limit no
	 * longer needs to be lowered. */
	if (limit->probe_samples_started == limit->probe_samples_target)
		limit->effective_limit = limit->limit;
	return limit->probe_number;
}

/* Sets the estimated limit, within its bounds and the ceiling. No effect while
 * the limit is fixed. */
static void set_limit(limit_t *limit, double value)
{
	if (limit->fixed_limit > 0)
		return;
	if (limit->ceiling > 0)
		value = cas_min(value, limit->ceiling);
	limit->limit = cas_min(cas_max(value, LIMIT_MIN), LIMIT_MAX);
	limit->effective_limit = limit->limit;
}

/* Returns the knee. Requests in flight above it queue in the upstream; by
 * Little's law their number is in proportion to the excess of own time over
 * base time. own_share is the share of own time in total time. */
static double inflight_at_knee(double inflight, double inflation,
			       double own_share)
{
	double excess = 1 - 1 / cas_max(inflation, 1);

	return inflight * (1 - own_share * excess);
}

/*
 * Takes a successful request in the startup into account. limit_reached: the
 * limit was reached when it finished. The limit grows by a factor of 1 +
 * STARTUP_GROWTH in the time of one request. The latency that ends the growth
 * is therefore that of requests started under a lower limit, one latency ago.
 */
static void grow_in_startup(limit_t *limit, const latency_kind_t *kind,
			    int64_t now_us, double own_us, bool limit_reached)
{
	double inflation;

	if (kind->base_us <= 0)
		return;
	inflation = cas_min(own_us / kind->base_us, STARTUP_OUTLIER_MAX);
	limit->startup_inflation += STARTUP_INFLATION_WEIGHT *
				    (inflation - limit->startup_inflation);
	inflation = limit->startup_inflation;
	if (inflation < STARTUP_INFLATION_MAX) {
		if (limit_reached)
			set_limit(limit, limit->limit + STARTUP_GROWTH);
		return;
	}
	limit->phase = LIMIT_STEADY;
	limit->next_probe_us = now_us;
	set_limit(
		limit,
		cas_max(inflight_at_knee(
				cas_max(limit->period_start_limit,
					limit->inflight / (1 + STARTUP_GROWTH)),
				inflation,
				limit->mean_own_us / limit->mean_total_us) *
				HEADROOM_FACTOR,
			cas_min(limit->limit, LIMIT_INITIAL)));
}

/* Adds a value to an exponentially weighted mean; the first value sets it. */
static void update_ewma(double *mean, double value)
{
	if (*mean <= 0)
		*mean = value;
	*mean += MEAN_WEIGHT * (value - *mean);
}

/* Returns whether the latency of a finished request belongs to the current
 * period. During a probe only requests sampled by it do, and are counted. */
static bool note_sample(limit_t *limit, uint32_t probe_number)
{
	if (limit->phase != LIMIT_PROBE)
		return true;
	if (probe_number != limit->probe_number)
		return false;
	limit->probe_samples_finished++;
	return true;
}

void limit_finish(limit_t *limit, latency_kind_t *kind, int64_t now_us,
		  const limit_timing_t *timing, limit_outcome_t outcome)
{
	bool limit_reached = !limit_allows(limit);
	bool is_sample = note_sample(limit, timing->probe_number);
	int64_t own_us = timing->total_us - timing->child_us;

	if (own_us < 1)
		own_us = 1;
	integrate_inflight(limit, now_us);
	limit->inflight--;
	if (outcome == LIMIT_OUTCOME_OTHER)
		return;
	latency_record(kind, now_us, timing->total_us, own_us,
		       outcome == LIMIT_OUTCOME_OK);
	if (outcome != LIMIT_OUTCOME_OK)
		return;
	if (is_sample)
		latency_add_sample(kind, timing->total_us, own_us);
	limit->period_completions++;
	update_ewma(&limit->mean_total_us, (double)timing->total_us);
	update_ewma(&limit->mean_own_us, (double)own_us);
	if (limit->phase == LIMIT_STARTUP)
		grow_in_startup(limit, kind, now_us, (double)own_us,
				limit_reached);
}

void limit_note_shed(limit_t *limit, int64_t now_us)
{
	if (now_us < limit->shed_ignored_until_us || limit->fixed_limit > 0)
		return;
	limit->shed_ignored_until_us =
		now_us + (int64_t)limit->mean_total_us + 20 * CAS_USEC_PER_MSEC;
	limit->ceiling = cas_max(cas_min(limit->limit, limit->inflight + 1.0) *
					 SHED_FACTOR,
				 LIMIT_MIN);
	limit->phase = LIMIT_STEADY;
	limit->floor = 0;
	set_limit(limit, limit->ceiling);
}

/* Starts a probe. inflight and period are those of the period before it. */
static void start_probe(limit_t *limit, int64_t now_us, double inflight,
			const latency_period_t *period)
{
	double target = inflight_at_knee(inflight, period->inflation,
					 period->own_share) *
			PROBE_KNEE_SHARE;

	target = cas_max(target, inflight * PROBE_INFLIGHT_SHARE_MIN);
	limit->phase = LIMIT_PROBE;
	limit->probe_start_us = now_us;
	limit->pre_probe_inflight = inflight;
	limit->pre_probe_period = *period;
	limit->effective_limit = cas_max(target, LIMIT_MIN);
	limit->probe_limit = limit->effective_limit;
	limit->probe_samples_target = (int)cas_min(
		cas_max(target, PROBE_REQUESTS_MIN), PROBE_REQUESTS_MAX);
	limit->probe_settled = false;
	limit->probe_number++;
	limit->probe_samples_started = 0;
	limit->probe_samples_finished = 0;
	start_period(limit, now_us);
}

/* Ends the probe phase and schedules the next probe. Regular probes take at
 * most a tenth of the time, so that they cost little where requests are few and
 * a probe lasts long. */
static void leave_probe(limit_t *limit, int64_t now_us)
{
	int64_t pause_us =
		(now_us - limit->probe_start_us) * PROBE_PAUSE_FACTOR;

	if (pause_us < PROBE_INTERVAL_US)
		pause_us = PROBE_INTERVAL_US;
	limit->phase = LIMIT_STEADY;
	limit->effective_limit = limit->limit;
	limit->next_probe_us = now_us + pause_us;
	limit->early_probe_after_us = now_us + pause_us / PROBE_EARLY_DIVISOR;
}

/* Returns the inflation to apply to the base latency: a small difference
 * from an earlier probe is mostly noise and is reduced. */
static double damp_noise(const limit_t *limit, double inflation)
{
	if (!limit->base_measured || inflation < 1 - PROBE_NOISE_RANGE ||
	    inflation > 1 + PROBE_NOISE_RANGE)
		return inflation;
	return 1 + (inflation - 1) * PROBE_DAMPING;
}

/* Takes over the base latency measured by a probe and moves the limit to the
 * knee that follows from it. measured_inflation is that during the probe. */
static void end_probe(limit_t *limit, int64_t now_us, double measured_inflation)
{
	double inflation = damp_noise(limit, measured_inflation);
	const latency_period_t *before = &limit->pre_probe_period;
	double ratio = before->inflation / inflation;
	double target = inflight_at_knee(limit->pre_probe_inflight, ratio,
					 before->own_share) *
			HEADROOM_FACTOR;

	leave_probe(limit, now_us);
	limit->base_measured = true;
	limit->floor = limit->probe_limit;
	latency_scale_base(&limit->latency, inflation);
	set_limit(limit,
		  cas_min(cas_max(target, limit->limit * PROBE_FACTOR_MIN),
			  limit->limit * LIMIT_FACTOR_MAX));
}

/* Returns whether a probe is due, which is earlier when the number in flight is
 * far above the knee. */
static bool probe_due(const limit_t *limit, int64_t now_us, double inflight,
		      double knee)
{
	if (now_us >= limit->next_probe_us)
		return true;
	return now_us >= limit->early_probe_after_us &&
	       inflight > knee * PROBE_EARLY_EXCESS;
}

/*
 * Adjusts the limit after a period. While nothing queues in the upstream, it
 * grows, by a larger step after each such period. Otherwise it moves to the
 * knee, downwards only slowly until a probe has confirmed the base latency.
 */
static void adjust_limit(limit_t *limit, double inflight, double knee)
{
	if (knee > inflight * NO_QUEUE_RATIO) {
		set_limit(limit,
			  cas_max(limit->limit * (1 + limit->growth_step),
				  limit->limit + 1));
		limit->growth_step =
			cas_min(limit->growth_step * 2, GROWTH_STEP_MAX);
		return;
	}
	limit->growth_step = GROWTH_STEP;
	set_limit(limit,
		  cas_min(cas_max(knee * HEADROOM_FACTOR,
				  cas_max(limit->floor,
					  limit->limit * STEADY_FACTOR_MIN)),
			  limit->limit * LIMIT_FACTOR_MAX));
}

static void end_steady_period(limit_t *limit, int64_t now_us, double inflight,
			      double limited_share,
			      const latency_period_t *period)
{
	double knee = inflight_at_knee(inflight, period->inflation,
				       period->own_share);

	if (limited_share < LIMITED_SHARE_MIN)
		return;
	if (limit->ceiling > 0)
		limit->ceiling *= CEILING_FACTOR;
	if (limited_share > LIMITED_SHARE_PROBE &&
	    probe_due(limit, now_us, inflight, knee))
		start_probe(limit, now_us, inflight, period);
	else
		adjust_limit(limit, inflight, knee);
}

/*
 * Moves the base latency towards that of a period. A lower latency is taken
 * over at any load, slowly while the difference may be noise. A higher one is
 * taken over only if it is not caused by queueing: here in the startup while
 * the limit is not reached, otherwise only by a probe.
 */
static void track_base_latency(limit_t *limit, double limited_share,
			       const latency_period_t *period)
{
	bool unloaded = limit->phase == LIMIT_STARTUP &&
			limited_share < LIMITED_SHARE_MIN;
	bool significant = unloaded || period->inflation < BASE_FALL_RATIO;
	double weight = significant ? BASE_CHANGE_WEIGHT : BASE_NOISE_WEIGHT;

	weight *= cas_min(1, (double)period->sample_count / PERIOD_COMPLETIONS);
	if (unloaded || period->inflation < 1)
		latency_scale_base(&limit->latency,
				   1 + weight * (period->inflation - 1));
}

static void end_period(limit_t *limit, int64_t now_us)
{
	double elapsed = (double)(now_us - limit->period_start_us);
	double inflight = limit->period_inflight_integral / elapsed;
	double limited_share = limit->period_limited_us / elapsed;
	latency_period_t period = latency_end_period(&limit->latency);

	start_period(limit, now_us);
	if (limit->phase == LIMIT_PROBE &&
	    limit->probe_samples_started < limit->probe_samples_target) {
		leave_probe(limit, now_us);
		return;
	}
	if (limit->phase == LIMIT_PROBE) {
		end_probe(limit, now_us, period.inflation);
		return;
	}
	track_base_latency(limit, limited_share, &period);
	if (limit->phase == LIMIT_STEADY && limit->fixed_limit <= 0)
		end_steady_period(limit, now_us, inflight, limited_share,
				  &period);
}

/* Returns whether the probe has ended. It first waits until the number in
 * flight has come down to the lowered limit, so that nothing queues in the
 * upstream. It then samples the next requests, and ends when they have
 * finished or after PROBE_MAX_US. */
static bool probe_is_over(limit_t *limit, int64_t now_us)
{
	if (now_us - limit->probe_start_us >= PROBE_MAX_US)
		return true;
	if (!limit->probe_settled) {
		limit->probe_settled =
			limit->inflight <= (int)limit->effective_limit + 1;
		start_period(limit, now_us);
		return false;
	}
	return limit->probe_samples_started == limit->probe_samples_target &&
	       limit->probe_samples_finished >= limit->probe_samples_started;
}

static bool period_is_over(const limit_t *limit, int64_t now_us)
{
	bool startup = limit->phase == LIMIT_STARTUP;
	double target = cas_min(
		cas_max(limit->limit * PERIOD_LATENCIES, STARTUP_COMPLETIONS),
		PERIOD_COMPLETIONS);
	int required_completions = startup ? STARTUP_COMPLETIONS : (int)target;
	int64_t elapsed = now_us - limit->period_start_us;

	if (elapsed < PERIOD_MIN_US)
		return false;
	if (elapsed >= PERIOD_MAX_US)
		return true;
	return limit->period_completions >= required_completions &&
	       (double)elapsed >= limit->mean_own_us * PERIOD_LATENCIES;
}

void limit_tick(limit_t *limit, int64_t now_us)
{
	bool over;

	integrate_inflight(limit, now_us);
	if (limit->phase == LIMIT_PROBE)
		over = probe_is_over(limit, now_us);
	else
		over = period_is_over(limit, now_us);
	if (!over)
		return;
	if (limit->period_completions)
		end_period(limit, now_us);
	else
		start_period(limit, now_us);
}
