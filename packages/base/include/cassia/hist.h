/*
 * Log-linear histograms of times in microseconds: 16 buckets for each power
 * of two, so a quantile is off by at most 1/16.
 */
#ifndef CASSIA_HIST_H
#define CASSIA_HIST_H

#include <stdint.h>
#include <talloc.h>

typedef struct cas_hist cas_hist_t;

/* Returns a new empty histogram, or NULL when memory is short. */
cas_hist_t *cas_hist_create(TALLOC_CTX *ctx);

/* Counts one value; negative values count as 0. */
void cas_hist_add(cas_hist_t *hist, int64_t value_us);

uint64_t cas_hist_count(const cas_hist_t *hist);
int64_t cas_hist_sum(const cas_hist_t *hist);

/* Returns how many values are at most limit_us, to bucket precision. */
uint64_t cas_hist_count_below(const cas_hist_t *hist, int64_t limit_us);

/* Returns the upper edge of the bucket of the quantile (0..1) in
 * microseconds, or 0 for an empty histogram. */
int64_t cas_hist_quantile(const cas_hist_t *hist, double quantile);

void cas_hist_reset(cas_hist_t *hist);

#endif
