/* The bound on the requests that are started in any one second. */
#ifndef CASSIA_START_WINDOW_INTERNAL_H
#define CASSIA_START_WINDOW_INTERNAL_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Starts of requests, counted also while the bound is not in force, so that it
 * covers the second before. */
typedef struct start_window {
	double rate_per_s; /* 0: no bound */
	int64_t interval_us; /* between two starts at the rate */
	int64_t *starts; /* circular buffer of the latest start times */
	size_t size; /* of starts: most starts in one second */
	size_t oldest; /* index of the oldest start */
	/* When the next start is due if all starts keep the interval. */
	int64_t due_us;
} start_window_t;

/* Sets the rate; when it differs from the present one, the last second counts
 * as used up. ctx owns the buffer. Returns 0 or ADMISSION_ENOMEM; the window is
 * unchanged on error. */
int start_window_set_rate(start_window_t *window, TALLOC_CTX *ctx,
			  double rate_per_s, int64_t now_us);

/* Returns the earliest time at which another start keeps the bound, 0 without a
 * bound. */
int64_t start_window_next(const start_window_t *window);

/* Counts a start. */
void start_window_record(start_window_t *window, int64_t now_us);

#endif
