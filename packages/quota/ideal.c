/*
 * The bucket that one place would keep for the customer. The main holder sees
 * nearly every request; it refuses those that this bucket refuses, and lets the
 * others wait for tokens that are on their way. Requests that wait for tokens
 * still to be added would take them from requests that come later.
 */
#include "quota_internal.h"

/* Error of the estimated arrival times. */
#define TIMING_ERROR CAS_USEC_PER_MSEC

/* Above this multiple of the rate the askers share a limited ask rate. */
#define FLOOD_FACTOR 2
#define FLOOD_ASKS 50 /* a second, over all askers */

static int64_t rate_times(const quota_bucket_t *bucket, int64_t time_us)
{
	return (int64_t)((__int128)bucket->customer->rate * time_us /
			 CAS_USEC_PER_SEC);
}

void quota_ideal_add(quota_bucket_t *bucket, int64_t amount)
{
	bucket->ideal_level = quota_clamp(bucket->ideal_level + amount, 0,
					  bucket->customer->burst);
}

static void grow(quota_bucket_t *bucket, int64_t usable, int64_t now)
{
	int64_t elapsed = quota_min(now - bucket->ideal_us, QUOTA_GROWTH_DELAY);

	quota_ideal_add(bucket, rate_times(bucket, elapsed));
	bucket->ideal_us = now;
	/* Tokens at hand are never held back. */
	bucket->ideal_level = quota_max(bucket->ideal_level, usable);
}

static int64_t refuse_time(const quota_bucket_t *bucket)
{
	int64_t rate = quota_max(bucket->customer->rate, 1);
	int64_t missing = QUOTA_TOKEN - bucket->ideal_level;
	int64_t time = 0;

	if (missing <= 0)
		return 0;
	time = (int64_t)((__int128)missing * CAS_USEC_PER_SEC / rate);
	if (bucket->need_rate > FLOOD_FACTOR * (double)rate)
		time = quota_max(time, (int64_t)bucket->account_count *
					       CAS_USEC_PER_SEC / FLOOD_ASKS);
	return quota_min(time, QUOTA_GRANT_LIFE);
}

int64_t quota_ideal_admit(quota_bucket_t *bucket, quota_account_t *account,
			  const quota_ask *ask, int64_t usable, int64_t now,
			  quota_reply *reply)
{
	int64_t error = rate_times(bucket, TIMING_ERROR);
	int64_t level = 0;
	int64_t fresh = 0;

	grow(bucket, usable, now);
	level = bucket->ideal_level - rate_times(bucket, ask->age);
	account->promised = quota_min(account->promised, ask->need);
	fresh = ask->need - account->promised;
	for (; fresh > 0 && level >= QUOTA_TOKEN - error;
	     fresh -= QUOTA_TOKEN) {
		/* Within the error the ideal bucket may have refused it. */
		if (level >= QUOTA_TOKEN + error)
			quota_ideal_add(bucket, -QUOTA_TOKEN);
		level -= QUOTA_TOKEN;
		account->promised += QUOTA_TOKEN;
	}
	if (fresh > 0)
		reply->refused =
			(uint32_t)((fresh + QUOTA_TOKEN - 1) / QUOTA_TOKEN);
	reply->refuse = (uint32_t)refuse_time(bucket);
	return account->promised;
}
