/*
 * The bound on the requests that a cold upstream gets in any one second.
 * Addresses bursts and steady overload of an upstream that crashes above a
 * certain number of requests a second.
 *
 * Two rules hold at once. No more than a second's requests start in any one
 * second: the time of that many starts ago is kept, which makes the window
 * exact. And starts are spread over the second: a start may precede its regular
 * time by a few intervals only, because a burst at the end of one second and
 * another one at the start of the next would otherwise reach the upstream
 * together when they are delayed differently.
 */
#include "start_window_internal.h"

#include "cassia/admission.h"

/* Starts that may follow each other at once after a pause. Requests that arrive
 * together need not wait then. Must stay below the slack of the settings (8),
 * which also covers the starts of a former process. */
#define BURST 3
/* Largest buffer, in starts. A rate above it is spread but not counted. */
#define SIZE_MAX_STARTS 4096
#define WINDOW_US CAS_USEC_PER_SEC

/* Dates the starts of the last second as if they had kept the rate. */
static void assume_used(start_window_t *window, int64_t now_us)
{
	int64_t size = (int64_t)window->size;

	for (int64_t i = 0; i < size; i++)
		window->starts[i] = now_us - WINDOW_US * (size - 1 - i) / size;
	window->oldest = 0;
	window->due_us = now_us + BURST * window->interval_us;
}

int start_window_set_rate(start_window_t *window, TALLOC_CTX *ctx,
			  double rate_per_s, int64_t now_us)
{
	size_t size;
	int64_t *starts;

	if (rate_per_s == window->rate_per_s)
		return 0;
	if (rate_per_s <= 0) {
		TALLOC_FREE(window->starts);
		*window = (start_window_t){ 0 };
		return 0;
	}
	size = rate_per_s < 1		      ? 1
	       : rate_per_s > SIZE_MAX_STARTS ? SIZE_MAX_STARTS
					      : (size_t)rate_per_s;
	starts = talloc_array(ctx, int64_t, size);
	if (!starts)
		return ADMISSION_ENOMEM;
	talloc_free(window->starts);
	*window = (start_window_t){
		.rate_per_s = rate_per_s,
		.interval_us = (int64_t)((double)WINDOW_US / rate_per_s),
		.starts = starts,
		.size = size,
	};
	assume_used(window, now_us);
	return 0;
}

int64_t start_window_next(const start_window_t *window)
{
	int64_t spread_us;
	int64_t counted_us;

	if (window->rate_per_s <= 0)
		return 0;
	spread_us = window->due_us - (BURST - 1) * window->interval_us;
	if (window->rate_per_s > SIZE_MAX_STARTS)
		return spread_us;
	/* Both ends of the second belong to the window. */
	counted_us = window->starts[window->oldest] + WINDOW_US + 1;
	return counted_us > spread_us ? counted_us : spread_us;
}

void start_window_record(start_window_t *window, int64_t now_us)
{
	int64_t due_max_us;

	if (window->rate_per_s <= 0)
		return;
	window->starts[window->oldest] = now_us;
	window->oldest = (window->oldest + 1) % window->size;
	if (window->due_us < now_us)
		window->due_us = now_us;
	window->due_us += window->interval_us;
	/* Without a bound in force, starts run far ahead of the rate. What is
	 * older than a second no longer counts. */
	due_max_us = now_us + WINDOW_US + (BURST - 1) * window->interval_us;
	if (window->due_us > due_max_us)
		window->due_us = due_max_us;
}
