/*
 * The ideal bucket: the token bucket, with the whole rate and burst, that a
 * single host would keep if it saw every request of the customer. The main
 * holder sees nearly every request. It refuses those that the ideal bucket
 * refuses, and lets the others wait for tokens that are on their way. Requests
 * that waited for tokens still to be added would take them from later requests.
 */
#include "quota_internal.h"

/* Error of the estimated arrival times. */
#define TIMING_ERROR_US CAS_USEC_PER_MSEC

/* Longest usual time from a request to the ask that reports it. */
#define REQUEST_REPORT_DELAY_US (50 * CAS_USEC_PER_MSEC)

/* In a flood, the askers together are limited to FLOOD_ASK_RATE. A flood is a
 * need above FLOOD_FACTOR times the rate plus FLOOD_RATE_OFFSET, which a short
 * burst inside the rate does not reach. */
#define FLOOD_FACTOR 3
#define FLOOD_RATE_OFFSET (20 * QUOTA_TOKEN) /* a second */
#define FLOOD_ASK_RATE 50 /* a second, over all askers */

/* Returns the tokens that the rate of the customer adds in a time. */
static int64_t refill_amount(const quota_bucket_t *bucket, int64_t time_us)
{
	return (int64_t)((__int128)bucket->customer->rate * time_us /
			 CAS_USEC_PER_SEC);
}

/* The ask that reports a request arrives after it, usually within
 * REQUEST_REPORT_DELAY_US. Until then the level may exceed the burst by what
 * the rate adds in this time. */
void quota_ideal_adjust(quota_bucket_t *bucket, int64_t amount)
{
	int64_t limit = bucket->customer->burst +
			refill_amount(bucket, REQUEST_REPORT_DELAY_US);

	bucket->ideal_level =
		quota_clamp(bucket->ideal_level + amount, 0, limit);
}

/* Returns the tokens promised to waiting requests that came before a time. */
static int64_t sum_promised(const quota_bucket_t *bucket, int64_t before_us,
			    int64_t now)
{
	int64_t sum = 0;

	for (const quota_account_t *a = bucket->accounts; a; a = a->next) {
		if (a->promised_since_us < before_us &&
		    now - a->last_ask_us <= QUOTA_WAIT_LIMIT_US)
			sum += a->promised;
	}
	return sum;
}

int64_t quota_ideal_promised_before(const quota_bucket_t *bucket,
				    const quota_account_t *account, int64_t now)
{
	return bucket->is_main
		       ? sum_promised(bucket, account->promised_since_us, now)
		       : 0;
}

static void refill(quota_bucket_t *bucket, int64_t usable, int64_t now)
{
	int64_t elapsed = quota_min(now - bucket->ideal_updated_us,
				    QUOTA_GROWTH_DELAY_US);

	quota_ideal_adjust(bucket, refill_amount(bucket, elapsed));
	bucket->ideal_updated_us = now;
	/* Tokens that nobody waits for are never held back. */
	bucket->ideal_level =
		quota_max(bucket->ideal_level,
			  usable - sum_promised(bucket, now + 1, now));
}

/* Returns for how long new requests are to be refused. */
static int64_t refusal_time(const quota_bucket_t *bucket)
{
	int64_t rate = quota_max(bucket->customer->rate, 1);
	int64_t shortfall = QUOTA_TOKEN - bucket->ideal_level;
	int64_t time = 0;

	if (shortfall <= 0)
		return 0;
	time = (int64_t)((__int128)shortfall * CAS_USEC_PER_SEC / rate);
	if (bucket->need_rate > FLOOD_FACTOR * (double)rate + FLOOD_RATE_OFFSET)
		time = quota_max(time, (int64_t)bucket->account_count *
					       CAS_USEC_PER_SEC /
					       FLOOD_ASK_RATE);
	return quota_min(time, QUOTA_GRANT_LIFE_US);
}

/* Takes a token as of the arrival of the request. level is the level at that
 * time, to which the rate has added since. */
static void charge(quota_bucket_t *bucket, int64_t level, int64_t age_us,
		   int64_t now)
{
	bucket->ideal_level =
		level - QUOTA_TOKEN + refill_amount(bucket, age_us);
	bucket->charged_us[bucket->charge_count++ % QUOTA_CHARGE_RING_SIZE] =
		now - age_us;
}

/* Returns the tokens charged for requests that came later but were reported
 * earlier. */
static int64_t charged_after(const quota_bucket_t *bucket, int64_t arrived_us)
{
	size_t count = bucket->charge_count < QUOTA_CHARGE_RING_SIZE
			       ? bucket->charge_count
			       : QUOTA_CHARGE_RING_SIZE;
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
	int64_t error = refill_amount(bucket, TIMING_ERROR_US);
	int64_t level = 0;
	int64_t new_need = 0;
	int64_t charged_later = 0;

	account->promised = quota_min(account->promised, ask->need);
	refill(bucket, usable, now);
	level = quota_min(bucket->ideal_level - refill_amount(bucket, ask->age),
			  bucket->customer->burst);
	charged_later = charged_after(bucket, now - ask->age);
	new_need = ask->need - account->promised;
	if (account->promised == 0)
		account->promised_since_us = now - ask->age;
	for (; new_need > 0 && level + charged_later >= QUOTA_TOKEN - error;
	     new_need -= QUOTA_TOKEN) {
		/* A level that may have been too low is not charged: the ideal
		 * bucket may have refused this request, or a later one in its
		 * place. */
		if (level >= QUOTA_TOKEN + error)
			charge(bucket, level, ask->age, now);
		level -= QUOTA_TOKEN;
		account->promised += QUOTA_TOKEN;
	}
	if (new_need > 0)
		reply->refused =
			(uint32_t)((new_need + QUOTA_TOKEN - 1) / QUOTA_TOKEN);
	reply->refuse = (uint32_t)refusal_time(bucket);
	return account->promised;
}
