/*
 * Delegation of whole shares to the main holder of a customer with a low rate.
 * The lender counts its whole burst share as outstanding and adds nothing; the
 * receiver adds at the lender's rate until the term ends.
 */
#include "quota_internal.h"

#include <assert.h>

#define TERM_RENEWAL CAS_USEC_PER_SEC
#define IDLE_TIME (5 * CAS_USEC_PER_SEC)

/* Two receivers of one share would both add at its rate. */
static bool taken_by_other(const quota_bucket_t *bucket,
			   const quota_account_t *account, int64_t now)
{
	return now < bucket->delegated_until_us &&
	       (bucket->delegate != account->host ||
		bucket->delegate_incarnation != account->incarnation ||
		bucket->delegate_slot != account->from_slot);
}

void quota_delegate(quota_t *quota, quota_bucket_t *bucket,
		    quota_account_t *account, quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t expires = now + QUOTA_GRANT_LIFE + QUOTA_DRIFT_MARGIN;
	int64_t before = quota_lots_total(&account->lots);
	int64_t amount = bucket->burst - (bucket->out_own - before);

	reply->wait = QUOTA_WAIT_LIMIT / 2;
	/* A share that has shrunk ends its term before the next one. */
	if (bucket->state != QUOTA_ADDING || bucket->main || amount <= 0 ||
	    amount < before || taken_by_other(bucket, account, now))
		return;
	reply->wait = 0;
	reply->granted = amount;
	reply->filled = bucket->level;
	reply->rate = bucket->rate;
	reply->life = QUOTA_GRANT_LIFE;
	quota->stats.lent_micro += bucket->level;
	quota_lots_take(&account->lots, before, NULL);
	quota_lots_add(&account->lots, (quota_lot_t){ .amount = amount,
						      .expires_us = expires });
	bucket->out_own += amount - before;
	bucket->level = 0;
	bucket->remainder = 0;
	bucket->delegated_until_us = expires;
	bucket->delegate = account->host;
	bucket->delegate_incarnation = account->incarnation;
	bucket->delegate_slot = account->from_slot;
}

void quota_delegate_reply(quota_t *quota, quota_bucket_t *bucket,
			  quota_link_t *link, const quota_reply *reply)
{
	int64_t life = quota_min(reply->life, QUOTA_GRANT_LIFE);
	int64_t expires = link->first_sent_us + life;
	int64_t before = quota_lots_total(&link->lots);
	int64_t room = 0;

	if (reply->granted < before || reply->granted <= 0 ||
	    expires <= cas_clock_now(quota->clock))
		return;
	quota_lots_take(&link->lots, before, NULL);
	quota_lots_add(&link->lots,
		       (quota_lot_t){ .amount = reply->granted,
				      .expires_us = expires,
				      .host = link->to,
				      .incarnation = link->incarnation });
	link->rate = reply->rate;
	link->rate_until_us = expires;
	link->renew_at_us = link->first_sent_us + TERM_RENEWAL;
	bucket->lent_total += reply->granted - before;
	room = bucket->lent_total - bucket->lent_level - bucket->out_lent;
	bucket->lent_level += quota_clamp(reply->filled, 0, room);
}

void quota_delegate_grow(quota_bucket_t *bucket, int64_t now)
{
	int64_t room =
		bucket->lent_total - bucket->lent_level - bucket->out_lent;
	int64_t grown = 0;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		const quota_link_t *link = &bucket->lenders[i];
		int64_t until = 0;

		until = quota_min(now, link->rate_until_us);
		if (until > bucket->touched_us)
			grown += (int64_t)((__int128)link->rate *
					   (until - bucket->touched_us) /
					   CAS_USEC_PER_SEC);
	}
	bucket->lent_level += quota_clamp(grown, 0, quota_max(room, 0));
}

void quota_delegate_tick(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (now - bucket->asked_us > IDLE_TIME)
		return;
	for (size_t i = 0; i < bucket->lender_count; i++) {
		quota_link_t *link = &bucket->lenders[i];

		if (link->to == 0 || link->in_flight ||
		    now < link->wait_until_us)
			continue;
		if (link->lots.count > 0 && now < link->renew_at_us)
			continue;
		quota_link_send(quota, bucket->customer, link, 0, 1, 0);
	}
}
