/*
 * The bucket that one place would keep for the customer. The main holder sees
 * nearly every request; it refuses those that this bucket refuses, and lets the
 * others wait for tokens that are on their way. Requests that wait for tokens
 * still to be added would take them from requests that come later.
 */
#include "quota_internal.h"

/* Error of the estimated arrival times. */
#define TIMING_ERROR CAS_USEC_PER_MSEC

/* Longest usual time from a request to the ask that tells of it. */
#define NEWS_DELAY (50 * CAS_USEC_PER_MSEC)

/* Above a multiple of the rate and some requests a second, which a short burst
 * inside the rate does not reach, the askers share a limited ask rate. */
#define FLOOD_FACTOR 3
#define FLOOD_NEED (20 * QUOTA_TOKEN)
#define FLOOD_ASKS 50 /* a second, over all askers */

static int64_t rate_times(const quota_bucket_t *bucket, int64_t time_us)
{
	return (int64_t)((__int128)bucket->customer->rate * time_us /
			 CAS_USEC_PER_SEC);
}

/* News of a request comes late. Until then the level may stand above the burst
 * by what is added meanwhile. */
void quota_ideal_add(quota_bucket_t *bucket, int64_t amount)
{
	int64_t most = bucket->customer->burst + rate_times(bucket, NEWS_DELAY);

	bucket->ideal_level =
		quota_clamp(bucket->ideal_level + amount, 0, most);
}

/* Tokens promised before a time to requests that still wait. */
static int64_t promised(const quota_bucket_t *bucket, int64_t before_us,
			int64_t now)
{
	int64_t sum = 0;

	for (const quota_account_t *a = bucket->accounts; a; a = a->next) {
		if (a->promised_us < before_us &&
		    now - a->touched_us <= QUOTA_WAIT_LIMIT)
			sum += a->promised;
	}
	return sum;
}

int64_t quota_ideal_before(const quota_bucket_t *bucket,
			   const quota_account_t *account, int64_t now)
{
	return bucket->main ? promised(bucket, account->promised_us, now) : 0;
}

static void grow(quota_bucket_t *bucket, int64_t usable, int64_t now)
{
	int64_t elapsed = quota_min(now - bucket->ideal_us, QUOTA_GROWTH_DELAY);

	quota_ideal_add(bucket, rate_times(bucket, elapsed));
	bucket->ideal_us = now;
	/* Tokens that nobody waits for are never held back. */
	bucket->ideal_level = quota_max(
		bucket->ideal_level, usable - promised(bucket, now + 1, now));
}

static int64_t refuse_time(const quota_bucket_t *bucket)
{
	int64_t rate = quota_max(bucket->customer->rate, 1);
	int64_t missing = QUOTA_TOKEN - bucket->ideal_level;
	int64_t time = 0;

	if (missing <= 0)
		return 0;
	time = (int64_t)((__int128)missing * CAS_USEC_PER_SEC / rate);
	if (bucket->need_rate > FLOOD_FACTOR * (double)rate + FLOOD_NEED)
		time = quota_max(time, (int64_t)bucket->account_count *
					       CAS_USEC_PER_SEC / FLOOD_ASKS);
	return quota_min(time, QUOTA_GRANT_LIFE);
}

/* Takes a token at the time of arrival; the bucket has grown since then. */
static void charge(quota_bucket_t *bucket, int64_t level, int64_t age_us,
		   int64_t now)
{
	bucket->ideal_level = level - QUOTA_TOKEN + rate_times(bucket, age_us);
	bucket->charged_us[bucket->charge_count++ % QUOTA_CHARGES] =
		now - age_us;
}

/* Tokens charged for requests that came later but were heard of earlier. */
static int64_t charged_after(const quota_bucket_t *bucket, int64_t arrived_us)
{
	size_t count = bucket->charge_count < QUOTA_CHARGES
			       ? bucket->charge_count
			       : QUOTA_CHARGES;
	int64_t sum = 0;

	for (size_t i = 0; i < count; i++) {
		if (bucket->charged_us[i] > arrived_us)
			sum += QUOTA_TOKEN;
	}
	return sum;
}

int64_t quota_ideal_admit(quota_bucket_t *bucket, quota_account_t *account,
			  const quota_ask *ask, int64_t usable, int64_t now,
			  quota_reply *reply)
{
	int64_t error = rate_times(bucket, TIMING_ERROR);
	int64_t level = 0;
	int64_t fresh = 0;
	int64_t late = 0;

	account->promised = quota_min(account->promised, ask->need);
	grow(bucket, usable, now);
	level = quota_min(bucket->ideal_level - rate_times(bucket, ask->age),
			  bucket->customer->burst);
	late = charged_after(bucket, now - ask->age);
	fresh = ask->need - account->promised;
	if (account->promised == 0)
		account->promised_us = now - ask->age;
	for (; fresh > 0 && level + late >= QUOTA_TOKEN - error;
	     fresh -= QUOTA_TOKEN) {
		/* Otherwise the ideal bucket may have refused this request, or
		 * a later one in its place. */
		if (level >= QUOTA_TOKEN + error)
			charge(bucket, level, ask->age, now);
		level -= QUOTA_TOKEN;
		account->promised += QUOTA_TOKEN;
	}
	if (fresh > 0)
		reply->refused =
			(uint32_t)((fresh + QUOTA_TOKEN - 1) / QUOTA_TOKEN);
	reply->refuse = (uint32_t)refuse_time(bucket);
	return account->promised;
}
