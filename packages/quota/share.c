/* Division of a customer's rate and burst, and the times derived from them. */
#include "quota_internal.h"

/* A share is divided into several slots only if each gets this rate, and into
 * one slot at most for every HOSTS_PER_SLOT hosts of the data centre. */
#define SLOT_RATE_MIN QUOTA_CENTRAL_RATE_MAX
#define HOSTS_PER_SLOT 16

#define FORECAST_HORIZON_MIN_US (40 * CAS_USEC_PER_MSEC)
#define FORECAST_HORIZON_MAX_US CAS_USEC_PER_SEC
#define REPORT_TOLERANCE_MIN_US (5 * CAS_USEC_PER_MSEC)
#define REPORT_TOLERANCE_MAX_US (500 * CAS_USEC_PER_MSEC)

/* The result is a difference of rounded-down prefix sums, so parts that cover
 * the whole add up to the amount exactly, and other parts never to more. */
int64_t quota_share_of(int64_t amount, int64_t part_before, int64_t part,
		       int64_t whole)
{
	__int128 before = (__int128)amount * part_before / whole;
	__int128 after = (__int128)amount * (part_before + part) / whole;

	return (int64_t)(after - before);
}

uint32_t quota_slot_count(int64_t rate_share, size_t hosts)
{
	int64_t limit =
		(int64_t)((hosts + HOSTS_PER_SLOT - 1) / HOSTS_PER_SLOT);

	return (uint32_t)quota_clamp(rate_share / SLOT_RATE_MIN, 1,
				     quota_max(limit, 1));
}

/* Returns the time in which the rate fills the burst, microseconds. */
static int64_t fill_time(const quota_customer_t *customer)
{
	if (customer->rate <= 0)
		return CAS_USEC_PER_SEC;
	return (int64_t)((__int128)customer->burst * CAS_USEC_PER_SEC /
			 customer->rate);
}

/* The part of the burst that may stay unreported grows with its size, up to a
 * quarter from 160 tokens on: a large burst is rarely used up by load inside
 * the rate, while a small one cannot spare even a part of a token. */
int64_t quota_report_tolerance(const quota_customer_t *customer)
{
	int64_t tokens = customer->burst / QUOTA_TOKEN;
	int64_t part = quota_min(tokens, 160); /* of 640 */

	return quota_clamp(fill_time(customer) / 640 * part,
			   REPORT_TOLERANCE_MIN_US, REPORT_TOLERANCE_MAX_US);
}

int64_t quota_forecast_horizon(const quota_customer_t *customer)
{
	return quota_clamp(fill_time(customer) / 2, FORECAST_HORIZON_MIN_US,
			   FORECAST_HORIZON_MAX_US);
}
