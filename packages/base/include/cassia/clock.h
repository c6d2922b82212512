/*
 * Monotonic clocks, which all decisions use instead of the wall clock. The real
 * clock also counts the time during which the host is suspended; the manual
 * clock changes only when a test or simulation advances it.
 */
#ifndef CASSIA_CLOCK_H
#define CASSIA_CLOCK_H

#include <stdint.h>
#include <talloc.h>

#define CAS_USEC_PER_MSEC INT64_C(1000)
#define CAS_USEC_PER_SEC INT64_C(1000000)

typedef struct cas_clock cas_clock_t;

/* Returns a new clock (owned by ctx) with the host's monotonic time, or NULL
 * when out of memory. */
cas_clock_t *cas_clock_create_real(TALLOC_CTX *ctx);

/* Returns a new clock (owned by ctx) that starts at start_us microseconds and
 * changes only by cas_clock_advance, or NULL when out of memory. */
cas_clock_t *cas_clock_create_manual(TALLOC_CTX *ctx, int64_t start_us);

/* Returns the current time in microseconds. The origin is arbitrary. */
int64_t cas_clock_now(const cas_clock_t *clock);

/* Advances a manual clock by delta_us microseconds (0 or more). */
void cas_clock_advance(cas_clock_t *clock, int64_t delta_us);

#endif
