/* The concurrency limit of one upstream. */
#ifndef CASSIA_LIMIT_INTERNAL_H
#define CASSIA_LIMIT_INTERNAL_H

#include "latency_internal.h"

typedef enum limit_phase {
	LIMIT_STARTUP, /* grows quickly until the latency shows the knee */
	LIMIT_CRUISE,
	LIMIT_PROBE, /* reduced, to see the latency without queueing */
} limit_phase_t;

typedef struct limit {
	latency_t latency;
	limit_phase_t phase;
	double limit;
	double effective; /* the limit in force, lower while probing */
	double floor; /* showed no queueing in the last probe */
	double step; /* of the next growth, as a part of the limit */
	double ceiling; /* above it the upstream sheds, 0: not known */
	double fixed; /* known from elsewhere, 0: to be found */
	/* Smoothed over all kinds, for the length of periods. */
	double typical_us;
	double own_us;
	int64_t probe_start_us;
	int64_t next_probe_us;
	int64_t early_probe_us; /* not before, when latency is high */
	int64_t next_shed_us;
	double startup_limit; /* at the start of the current period */
	double startup_inflation; /* smoothed over single requests */
	double probe_inflight; /* before the probe */
	latency_period_t probe_before;
	/* A probe takes the latency of the requests that it marks. */
	double probe_limit; /* in force during the probe */
	bool probed; /* a probe has measured the base */
	bool probe_settled;
	uint32_t probe_number;
	int marked;
	int marks_wanted;
	int marked_done;
	double held_time; /* integral of requests over microseconds, ever */
	/* The period that is being measured. */
	int64_t start_us;
	int64_t changed_us;
	int inflight;
	double inflight_time; /* integral of requests over microseconds */
	double bound_time; /* microseconds at the limit */
	int completions;
} limit_t;

void limit_init(limit_t *limit, int64_t now_us);

/* Uses a known limit, or goes on to look for one when it is 0. */
void limit_fix(limit_t *limit, double fixed);

/* Returns whether one more request may start. */
bool limit_allows(const limit_t *limit);
/* Counts a request as started. Returns its mark, to be passed back. */
uint32_t limit_start(limit_t *limit, int64_t now_us);

/* How a request ended, as far as the limit is concerned. */
typedef enum limit_end {
	LIMIT_END_OK,
	LIMIT_END_FAILED, /* held the upstream, but its latency tells little */
	LIMIT_END_OTHER, /* cancelled or rejected by the upstream */
} limit_end_t;

/* How long a request held the upstream. */
typedef struct limit_held {
	int64_t total_us;
	int64_t child_us; /* of that, waiting for child calls */
	uint32_t mark; /* from limit_start */
} limit_held_t;

void limit_finish(limit_t *limit, latency_kind_t *kind, int64_t now_us,
		  const limit_held_t *held, limit_end_t end);

/* Lowers the limit after the upstream rejected a request. */
void limit_shed(limit_t *limit, int64_t now_us);
void limit_tick(limit_t *limit, int64_t now_us);

#endif
