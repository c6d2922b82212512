/* The concurrency limit of one upstream. */
#ifndef CASSIA_LIMIT_INTERNAL_H
#define CASSIA_LIMIT_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_RATES 4

typedef enum limit_phase {
	LIMIT_STARTUP, /* grows until the rate or the latency shows the knee */
	LIMIT_CRUISE,
	LIMIT_PROBE, /* reduced, to see the latency without queueing */
} limit_phase_t;

typedef struct limit {
	limit_phase_t phase;
	double limit;
	double effective; /* the limit in force, lower while probing */
	double ceiling; /* above it the upstream sheds, 0: not known */
	int64_t base_us; /* latency without queueing in the upstream */
	double typical_us; /* smoothed latency of successful requests */
	int64_t typical_at_us;
	double rates[LIMIT_RATES]; /* per second, of recent full periods */
	int rate_next;
	int flat_periods;
	int64_t next_probe_us;
	int64_t next_shed_us;
	double probe_latency_us; /* of the step before */
	double probe_rate;
	int probe_steps;
	/* The period that is being measured. */
	int64_t start_us;
	int64_t changed_us;
	int inflight;
	double inflight_time; /* integral of requests over microseconds */
	double bound_time; /* microseconds at the limit */
	int64_t latency_sum_us;
	int completions;
} limit_t;

void limit_init(limit_t *limit, int64_t now_us);

/* Returns whether one more request may start. */
bool limit_allows(const limit_t *limit);
void limit_start(limit_t *limit, int64_t now_us);

/* Ends a request that occupied the upstream for latency_us. ok says whether
 * it succeeded; counted is false when its latency says nothing. */
void limit_finish(limit_t *limit, int64_t now_us, int64_t latency_us, bool ok,
		  bool counted);

/* Lowers the limit after the upstream rejected a request. */
void limit_shed(limit_t *limit, int64_t now_us);
void limit_tick(limit_t *limit, int64_t now_us);

#endif
