/* Division of a customer's rate and burst, and the times derived from them. */
#include "quota_internal.h"

#define SLOT_RATE QUOTA_CENTRAL_RATE /* for each slot at least */
#define SLOT_HOSTS 16

#define HORIZON_MIN (40 * CAS_USEC_PER_MSEC)
#define HORIZON_MAX CAS_USEC_PER_SEC
#define TOLERANCE_MIN (5 * CAS_USEC_PER_MSEC)
#define TOLERANCE_MAX (500 * CAS_USEC_PER_MSEC)

/* Differences of rounded-down prefix sums: the parts add up to the amount when
 * the parts cover the whole, and never to more. */
int64_t quota_share_of(int64_t amount, int64_t part_before, int64_t part,
		       int64_t whole)
{
	__int128 before = (__int128)amount * part_before / whole;
	__int128 after = (__int128)amount * (part_before + part) / whole;

	return (int64_t)(after - before);
}

uint32_t quota_slot_count(int64_t rate_share, size_t hosts)
{
	int64_t most = (int64_t)((hosts + SLOT_HOSTS - 1) / SLOT_HOSTS);

	return (uint32_t)quota_clamp(rate_share / SLOT_RATE, 1,
				     quota_max(most, 1));
}

/* The time in which the rate fills the burst. */
static int64_t fill_time(const quota_customer_t *customer)
{
	if (customer->rate <= 0)
		return CAS_USEC_PER_SEC;
	return (int64_t)((__int128)customer->burst * CAS_USEC_PER_SEC /
			 customer->rate);
}

/* A small burst cannot spare a part of a token; a large one can spare a
 * quarter, since it is rarely used up at a rate that it allows. */
int64_t quota_report_tolerance(const quota_customer_t *customer)
{
	int64_t tokens = customer->burst / QUOTA_TOKEN;
	int64_t part = quota_min(tokens, 160); /* of 640 */

	return quota_clamp(fill_time(customer) / 640 * part, TOLERANCE_MIN,
			   TOLERANCE_MAX);
}

int64_t quota_horizon(const quota_customer_t *customer)
{
	return quota_clamp(fill_time(customer) / 2, HORIZON_MIN, HORIZON_MAX);
}
