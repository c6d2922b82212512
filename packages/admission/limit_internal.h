/* The concurrency limit of one upstream. */
#ifndef CASSIA_LIMIT_INTERNAL_H
#define CASSIA_LIMIT_INTERNAL_H

#include "latency_internal.h"

typedef enum limit_phase {
	/* A limit that is reached grows with each completion, until the
	 * latency rises. */
	LIMIT_STARTUP,
	/* The limit is adjusted at the end of each measurement period. */
	LIMIT_STEADY,
	/* The limit is lowered for a short time to measure the latency without
	 * queueing in the upstream. */
	LIMIT_PROBE,
} limit_phase_t;

/*
 * State of the limit. The knee is the number of requests in flight above which
 * further requests only queue in the upstream. Limits are numbers of requests,
 * times are in microseconds on the clock, and integrals are numbers of requests
 * in flight integrated over time in microseconds.
 */
typedef struct limit {
	latency_t latency;
	limit_phase_t phase;
	double limit;
	double effective_limit; /* in force; below limit during a probe */
	double floor; /* limit of the last probe, which showed no queueing */
	double growth_step; /* next growth, as a fraction of the limit */
	double ceiling; /* the upstream shed above it, 0: not known */
	double fixed_limit; /* known number, 0: the limit is estimated */
	/* Smoothed over all kinds of requests. */
	double mean_total_us;
	double mean_own_us; /* without time in child calls */
	int64_t probe_start_us;
	int64_t next_probe_us; /* when a probe is due at any latency */
	int64_t early_probe_after_us; /* when one is due at high latency */
	/* Further rejections by the upstream before this time do not lower the
	 * limit. */
	int64_t shed_ignored_until_us;
	double period_start_limit; /* limit at the start of the period */
	double startup_inflation; /* smoothed over single requests */
	double pre_probe_inflight; /* mean in the period before the probe */
	latency_period_t pre_probe_period; /* latency in that period */
	/* A probe measures a sample of the requests that start after the number
	 * in flight has come down to its limit. */
	double probe_limit; /* in force during the probe */
	bool base_measured; /* a probe has measured the base latency */
	bool probe_settled; /* the number in flight has come down */
	uint32_t probe_number; /* of the current or last probe, 0: none yet */
	int probe_samples_started;
	int probe_samples_target; /* number of requests to sample */
	int probe_samples_finished;
	double inflight_integral; /* since limit_init */
	/* The current measurement period. */
	int64_t period_start_us;
	int64_t integrated_until_us;
	int inflight; /* started and not finished */
	double period_inflight_integral;
	double period_limited_us; /* time with the limit reached */
	int period_completions; /* successful requests */
} limit_t;

/* Initializes a limit that is to be estimated. */
void limit_init(limit_t *limit, int64_t now_us);

/* Uses a known limit, or resumes the estimation when fixed_limit is 0. */
void limit_fix(limit_t *limit, double fixed_limit);

/* Returns whether one more request may start. */
bool limit_allows(const limit_t *limit);
/* Counts a request as started. Returns the number of the probe that samples
 * it, 0 for none, to be passed to limit_finish. */
uint32_t limit_start(limit_t *limit, int64_t now_us);

/* How a request ended, as far as the limit is concerned. */
typedef enum limit_outcome {
	LIMIT_OUTCOME_OK,
	/* It occupied the upstream, but its latency is not representative. */
	LIMIT_OUTCOME_FAILED,
	LIMIT_OUTCOME_OTHER, /* cancelled or rejected by the upstream */
} limit_outcome_t;

/* How long a request ran. */
typedef struct limit_timing {
	int64_t total_us;
	int64_t child_us; /* part of total_us spent waiting for child calls */
	uint32_t probe_number; /* as returned by limit_start */
} limit_timing_t;

/* Counts a request as finished and takes its latency into account. */
void limit_finish(limit_t *limit, latency_kind_t *kind, int64_t now_us,
		  const limit_timing_t *timing, limit_outcome_t outcome);

/* Lowers the limit after the upstream rejected a request. */
void limit_note_shed(limit_t *limit, int64_t now_us);

/* Ends the current period or probe when it is over, and adjusts the limit. */
void limit_tick(limit_t *limit, int64_t now_us);

#endif
