/*
 * Invariant 6: over every window of time t a customer's admissions are at most
 * rate * t + burst. While a table change spreads, the larger of the old and
 * the new rate and burst hold.
 */
#ifndef SOAK_CHECK_WINDOWS_H
#define SOAK_CHECK_WINDOWS_H

#include "sim.h"

typedef struct check_windows check_windows_t;

/* drift is the largest clock error, as a fraction; rates are checked in true
 * time. */
check_windows_t *check_windows_create(TALLOC_CTX *ctx, sim_t *sim,
				      size_t customers, double drift);

/* A table with this limit (tokens a second, tokens) starts to spread. */
void check_windows_limit(check_windows_t *windows, size_t customer,
			 int64_t rate, int64_t burst);

/* Returns the burst (tokens) that holds now for a customer. */
double check_windows_burst(const check_windows_t *windows, size_t customer);

/* Counts one admission now. */
void check_windows_admit(check_windows_t *windows, size_t customer);

uint64_t check_windows_admissions(const check_windows_t *windows);

/* Admissions beyond the bound, and the largest excess in tokens. */
uint64_t check_windows_violations(const check_windows_t *windows);
double check_windows_excess(const check_windows_t *windows);

/* A number that depends on every admission and its time. */
uint64_t check_windows_digest(const check_windows_t *windows);

#endif
