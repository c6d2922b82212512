/*
 * Checks invariant 6: in every window of length t the admissions of a customer
 * are at most rate * t + burst. While a new table reaches the hosts, the larger
 * of the old and the new rate applies, and likewise of the burst.
 */
#ifndef SOAK_CHECK_WINDOWS_H
#define SOAK_CHECK_WINDOWS_H

#include "sim.h"

typedef struct check_windows check_windows_t;

/* Returns a new check, owned by ctx. sim is borrowed. drift is the limit of the
 * clock error of a host, as a fraction: rates are checked in true time, so they
 * may be higher by this fraction. Aborts when memory runs out. */
check_windows_t *check_windows_create(TALLOC_CTX *ctx, sim_t *sim,
				      size_t customers, double drift);

/* Sets the limit of a customer (index) when a table with it is published: rate
 * in tokens per second, burst in tokens. */
void check_windows_set_limit(check_windows_t *windows, size_t customer,
			     int64_t rate, int64_t burst);

/* Returns the burst in tokens that applies now to a customer. */
double check_windows_burst(const check_windows_t *windows, size_t customer);

/* Counts one admission of a customer now. */
void check_windows_admit(check_windows_t *windows, size_t customer);

/* Returns the number of admissions of all customers. */
uint64_t check_windows_admissions(const check_windows_t *windows);

/* Return the number of admissions beyond the limit, and the largest excess in
 * tokens. */
uint64_t check_windows_violations(const check_windows_t *windows);
double check_windows_excess(const check_windows_t *windows);

/* Returns a hash of every admission and its time, to compare runs. */
uint64_t check_windows_digest(const check_windows_t *windows);

#endif
