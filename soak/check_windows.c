/*
 * A bucket that drains at the rate and gets one token for each admission holds
 * more than the burst exactly when some window had too many admissions. One
 * such meter starts after each table change, for the windows that begin there.
 */
#include "check_windows.h"

#include <stdlib.h>

#define METERS 8
#define SPREAD_TIME (15 * CAS_USEC_PER_SEC)
#define ROUNDING 1e-6 /* tokens */

typedef struct meter {
	int64_t starts_us;
	double rate;
	double burst;
	double level;
	int64_t drained_us;
} meter_t;

typedef struct customer {
	meter_t meters[METERS];
	size_t count;
} customer_t;

struct check_windows {
	sim_t *sim;
	double drift;
	customer_t *customers;
	size_t count;
	uint64_t admissions;
	uint64_t violations;
	double excess;
	uint64_t digest;
};

check_windows_t *check_windows_create(TALLOC_CTX *ctx, sim_t *sim,
				      size_t customers, double drift)
{
	check_windows_t *windows = talloc_zero(ctx, check_windows_t);

	if (!windows)
		abort();
	windows->sim = sim;
	windows->drift = drift;
	windows->count = customers;
	windows->customers = talloc_zero_array(windows, customer_t, customers);
	if (!windows->customers)
		abort();
	return windows;
}

static void drain(meter_t *meter, int64_t now)
{
	if (now > meter->drained_us)
		meter->level -= meter->rate *
				(double)(now - meter->drained_us) /
				CAS_USEC_PER_SEC;
	if (meter->level < 0)
		meter->level = 0;
	meter->drained_us = now;
}

void check_windows_limit(check_windows_t *windows, size_t customer,
			 int64_t rate, int64_t burst)
{
	customer_t *limits = &windows->customers[customer];
	int64_t now = sim_now(windows->sim);
	double fast = (double)rate * (1 + windows->drift);
	meter_t *fresh = NULL;

	for (size_t i = 0; i < limits->count; i++) {
		meter_t *meter = &limits->meters[i];

		drain(meter, now);
		if (meter->rate < fast)
			meter->rate = fast;
		if (meter->burst < (double)burst)
			meter->burst = (double)burst;
	}
	if (limits->count == METERS) {
		for (size_t i = 1; i < METERS; i++)
			limits->meters[i - 1] = limits->meters[i];
		limits->count--;
	}
	fresh = &limits->meters[limits->count++];
	*fresh = (meter_t){ .starts_us = now + SPREAD_TIME,
			    .rate = fast,
			    .burst = (double)burst,
			    .drained_us = now + SPREAD_TIME };
	if (limits->count == 1)
		fresh->starts_us = fresh->drained_us = now;
}

static void admit(check_windows_t *windows, meter_t *meter, int64_t now)
{
	double excess = 0;

	if (now < meter->starts_us)
		return;
	drain(meter, now);
	meter->level += 1;
	excess = meter->level - meter->burst;
	if (excess <= ROUNDING)
		return;
	windows->violations++;
	if (excess > windows->excess)
		windows->excess = excess;
}

void check_windows_admit(check_windows_t *windows, size_t customer)
{
	customer_t *limits = &windows->customers[customer];
	int64_t now = sim_now(windows->sim);

	windows->admissions++;
	windows->digest = windows->digest * UINT64_C(6364136223846793005) +
			  (uint64_t)now * 31 + customer;
	for (size_t i = 0; i < limits->count; i++)
		admit(windows, &limits->meters[i], now);
}

double check_windows_burst(const check_windows_t *windows, size_t customer)
{
	const customer_t *limits = &windows->customers[customer];
	double burst = 0;

	/* The latest meter that has started covers the changes since then. */
	for (size_t i = 0; i < limits->count; i++) {
		if (limits->meters[i].starts_us <= sim_now(windows->sim))
			burst = limits->meters[i].burst;
	}
	return burst;
}

uint64_t check_windows_admissions(const check_windows_t *windows)
{
	return windows->admissions;
}

uint64_t check_windows_violations(const check_windows_t *windows)
{
	return windows->violations;
}

double check_windows_excess(const check_windows_t *windows)
{
	return windows->excess;
}

uint64_t check_windows_digest(const check_windows_t *windows)
{
	return windows->digest;
}
