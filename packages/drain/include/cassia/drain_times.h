/*
 * How long requests of each kind have taken lately. A daemon that stops accepts
 * a new request only if it can be expected to end before the process does.
 */
#ifndef CASSIA_DRAIN_TIMES_H
#define CASSIA_DRAIN_TIMES_H

#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

/* A time is remembered for one to two windows. */
#define DRAIN_TIMES_WINDOW_US (60 * CAS_USEC_PER_SEC)
/* With fewer remembered requests of a kind, the longest one tells too little. */
#define DRAIN_TIMES_SAMPLES_MIN 5

typedef struct drain_times drain_times_t;

/* Returns an empty record (owned by ctx), or NULL when out of memory. clock is
 * borrowed. */
drain_times_t *drain_times_create(TALLOC_CTX *ctx, const cas_clock_t *clock);

/* Adds a request of the kind that was served after time_us microseconds. */
void drain_times_add(drain_times_t *times, cas_id_t kind, int64_t time_us);

/* Returns the longest remembered time of the kind in microseconds, or INT64_MAX
 * when fewer than DRAIN_TIMES_SAMPLES_MIN requests are remembered. */
int64_t drain_times_longest(drain_times_t *times, cas_id_t kind);

#endif
