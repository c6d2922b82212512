/* The bound on the starts of requests that the upstream states itself. */
#ifndef CASSIA_RATE_LIMIT_INTERNAL_H
#define CASSIA_RATE_LIMIT_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

/* Times are in microseconds on the clock. */
typedef struct rate_limit {
	bool in_force;
	double rate_per_s; /* as stated */
	int64_t stated_us; /* the latest response that stated a rate */
	/* When the next start is due if all starts keep the interval. */
	int64_t due_us;
} rate_limit_t;

/* Takes over the rate of a response. */
void rate_limit_state(rate_limit_t *limit, int64_t now_us, double rate_per_s);

/* Takes note of a response without a rate. */
void rate_limit_note_absence(rate_limit_t *limit, int64_t now_us);

/* Forgets the rate: it was that of an earlier run of the upstream. */
void rate_limit_clear(rate_limit_t *limit);

/* Returns when the next request may start; 0 or a time in the past: now. */
int64_t rate_limit_next_start(const rate_limit_t *limit);

/* Counts a start. */
void rate_limit_record(rate_limit_t *limit, int64_t now_us);

/* Returns how many requests may wait so that each starts within wait_max_us.
 * Call it only while the limit is in force. */
int32_t rate_limit_queue_max(const rate_limit_t *limit, int64_t wait_max_us);

/* Returns the expected wait in microseconds of a request that comes after queued
 * other ones. */
int64_t rate_limit_wait(const rate_limit_t *limit, int64_t now_us,
			int32_t queued);

/* Returns a concurrency limit, reduced to the requests of mean_us that run at
 * the rate; at least 1. mean_us 0: not known. */
double rate_limit_cap(const rate_limit_t *limit, double concurrency,
		      double mean_us);

#endif
