/* Times that the sources use. Tests pass shorter ones. */
#ifndef CASSIA_SOURCE_INTERNAL_H
#define CASSIA_SOURCE_INTERNAL_H

#include "cassia/clock.h"
#include "cassia/source.h"

/* Interval at which a file source checks its files. */
#define SOURCE_FILE_CHECK_US (200 * CAS_USEC_PER_MSEC)

/* Times of an HTTP source. See cassia/source.h for readers and watchers. */
typedef struct source_timing {
	int64_t poll_period_us; /* mean time between reads of a reader */
	/* Pause of a watcher after a long poll that the platform answered
	 * early and without a change. */
	int64_t poll_gap_us;
	int64_t backoff_min_us; /* delay after the first failure */
	int64_t backoff_reader_max_us; /* upper bound of the delay */
	int64_t backoff_watcher_max_us;
	int64_t long_poll_s; /* how long the platform may hold a long poll */
	int64_t response_timeout_ms; /* of a read, without long_poll_s */
	int64_t connect_timeout_ms;
} source_timing_t;

/*
 * If a connection stops responding, a watcher detects it after long_poll_s +
 * response_timeout_ms. With 4.5 s in total, a new revision can still take
 * effect on all daemons within 6 s.
 */
#define SOURCE_TIMING_DEFAULT                                                  \
	((source_timing_t){                                                    \
		.poll_period_us = 60 * CAS_USEC_PER_SEC,                       \
		.poll_gap_us = CAS_USEC_PER_SEC,                               \
		.backoff_min_us = 250 * CAS_USEC_PER_MSEC,                     \
		.backoff_reader_max_us = 60 * CAS_USEC_PER_SEC,                \
		.backoff_watcher_max_us = 2 * CAS_USEC_PER_SEC,                \
		.long_poll_s = 3,                                              \
		.response_timeout_ms = 1500,                                   \
		.connect_timeout_ms = 1000,                                    \
	})

/* As source_create_http, with the given times (copied). */
source_t *source_create_http_timed(TALLOC_CTX *ctx, struct tevent_context *ev,
				   cas_rng_t *rng, const char *base_url,
				   const source_sink_t *sink, void *private,
				   const source_timing_t *timing);

#endif
