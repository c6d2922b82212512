/* Timing of the sources, which tests shorten. */
#ifndef CASSIA_SOURCE_INTERNAL_H
#define CASSIA_SOURCE_INTERNAL_H

#include "cassia/clock.h"
#include "cassia/source.h"

#define SOURCE_FILE_CHECK_US (200 * CAS_USEC_PER_MSEC)

typedef struct source_timing {
	int64_t period_us; /* between reads of a reader, on average */
	int64_t gap_us; /* between long polls that end early */
	int64_t backoff_min_us; /* after the first failure */
	int64_t backoff_reader_us; /* upper bound for a reader */
	int64_t backoff_watcher_us; /* upper bound for a watcher */
	int64_t wait_s; /* how long the platform may hold a long poll */
	int64_t reply_ms; /* bound on the rest of a read */
	int64_t connect_ms;
} source_timing_t;

/*
 * A connection may go silent: a watcher notices after wait_s + reply_ms, which
 * leaves time to have a revision in force everywhere within 6 s.
 */
#define SOURCE_TIMING_DEFAULT                                                  \
	((source_timing_t){                                                    \
		.period_us = 60 * CAS_USEC_PER_SEC,                            \
		.gap_us = CAS_USEC_PER_SEC,                                    \
		.backoff_min_us = 250 * CAS_USEC_PER_MSEC,                     \
		.backoff_reader_us = 60 * CAS_USEC_PER_SEC,                    \
		.backoff_watcher_us = 2 * CAS_USEC_PER_SEC,                    \
		.wait_s = 3,                                                   \
		.reply_ms = 1500,                                              \
		.connect_ms = 1000,                                            \
	})

/* As source_create_http with other timing. */
source_t *source_create_http_timed(TALLOC_CTX *ctx, struct tevent_context *ev,
				   cas_rng_t *rng, const char *base_url,
				   const source_sink_t *sink, void *private,
				   const source_timing_t *timing);

#endif
