/*
 * Log-linear histograms of durations in microseconds: 16 buckets for each power
 * of two, so the relative error of a quantile is at most 1/16. Values of
 * 2^36 us (19 hours) and more share the last bucket.
 */
#ifndef CASSIA_HIST_H
#define CASSIA_HIST_H

#include <stdint.h>
#include <talloc.h>

typedef struct cas_hist cas_hist_t;

/* Returns a new empty histogram (owned by ctx), or NULL when out of
 * memory. */
cas_hist_t *cas_hist_create(TALLOC_CTX *ctx);

/* Adds a value in microseconds; a negative value is added as 0. */
void cas_hist_add(cas_hist_t *hist, int64_t value_us);

/* Returns the number of values. */
uint64_t cas_hist_count(const cas_hist_t *hist);

/* Returns the sum of the values in microseconds. */
int64_t cas_hist_sum(const cas_hist_t *hist);

/* Returns the number of values that are at most limit_us microseconds,
 * including all values in the bucket of limit_us. */
uint64_t cas_hist_count_up_to(const cas_hist_t *hist, int64_t limit_us);

/* Returns the upper bound in microseconds of the bucket that contains the
 * quantile (0..1), or 0 for an empty histogram. */
int64_t cas_hist_quantile(const cas_hist_t *hist, double quantile);

/* Removes all values. */
void cas_hist_reset(cas_hist_t *hist);

#endif
