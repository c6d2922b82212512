/*
 * The check uses leaky buckets as meters. A bucket that leaks at the rate and
 * gets one token for each admission holds more than the burst exactly when some
 * window had too many admissions. After each table change another meter is
 * added, for the windows that begin when only the new limit applies.
 */
#include "check_windows.h"

#define METERS_MAX 8 /* per customer; the oldest is dropped */
/* Time for which the previous limit also applies after a table change. */
#define TABLE_SPREAD_MAX_US (15 * CAS_USEC_PER_SEC)
#define ROUNDING_TOKENS 1e-6 /* tolerated */

/* A leaky bucket for the windows that begin at starts_us or later. */
typedef struct meter {
	int64_t starts_us;
	double rate; /* tokens per second */
	double burst; /* tokens */
	double level; /* tokens */
	int64_t drained_us; /* time of the last update of level */
} meter_t;

typedef struct customer_state {
	meter_t meters[METERS_MAX]; /* oldest first */
	size_t meter_count;
} customer_state_t;

struct check_windows {
	sim_t *sim;
	double drift; /* limit of the clock error, as a fraction */
	customer_state_t *customers;
	size_t customer_count;
	uint64_t admissions;
	uint64_t violations;
	double max_excess; /* tokens */
	uint64_t digest; /* hash of the admissions */
};

check_windows_t *check_windows_create(TALLOC_CTX *ctx, sim_t *sim,
				      size_t customers, double drift)
{
	check_windows_t *windows = sim_zero(ctx, check_windows_t);

	windows->sim = sim;
	windows->drift = drift;
	windows->customer_count = customers;
	windows->customers =
		sim_zero_array(windows, customer_state_t, customers);
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

void check_windows_set_limit(check_windows_t *windows, size_t customer,
			     int64_t rate, int64_t burst)
{
	customer_state_t *state = &windows->customers[customer];
	int64_t now = sim_now(windows->sim);
	double max_rate = (double)rate * (1 + windows->drift);
	meter_t *added = NULL;

	for (size_t i = 0; i < state->meter_count; i++) {
		meter_t *meter = &state->meters[i];

		drain(meter, now);
		if (meter->rate < max_rate)
			meter->rate = max_rate;
		if (meter->burst < (double)burst)
			meter->burst = (double)burst;
	}
	if (state->meter_count == METERS_MAX) {
		for (size_t i = 1; i < METERS_MAX; i++)
			state->meters[i - 1] = state->meters[i];
		state->meter_count--;
	}
	added = &state->meters[state->meter_count++];
	*added = (meter_t){ .starts_us = now + TABLE_SPREAD_MAX_US,
			    .rate = max_rate,
			    .burst = (double)burst,
			    .drained_us = now + TABLE_SPREAD_MAX_US };
	if (state->meter_count == 1)
		added->starts_us = added->drained_us = now;
}

static void meter_admission(check_windows_t *windows, meter_t *meter,
			    int64_t now)
{
	double excess = 0;

	if (now < meter->starts_us)
		return;
	drain(meter, now);
	meter->level += 1;
	excess = meter->level - meter->burst;
	if (excess <= ROUNDING_TOKENS)
		return;
	windows->violations++;
	if (excess > windows->max_excess)
		windows->max_excess = excess;
}

void check_windows_admit(check_windows_t *windows, size_t customer)
{
	customer_state_t *state = &windows->customers[customer];
	int64_t now = sim_now(windows->sim);

	windows->admissions++;
	windows->digest = windows->digest * UINT64_C(6364136223846793005) +
			  (uint64_t)now * 31 + customer;
	for (size_t i = 0; i < state->meter_count; i++)
		meter_admission(windows, &state->meters[i], now);
}

double check_windows_burst(const check_windows_t *windows, size_t customer)
{
	const customer_state_t *state = &windows->customers[customer];
	double burst = 0;

	/* The last meter that has started; later changes raise its burst. */
	for (size_t i = 0; i < state->meter_count; i++) {
		if (state->meters[i].starts_us <= sim_now(windows->sim))
			burst = state->meters[i].burst;
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
	return windows->max_excess;
}

uint64_t check_windows_digest(const check_windows_t *windows)
{
	return windows->digest;
}
