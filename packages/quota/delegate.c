/*
 * Delegation of whole shares to the main holder of a customer with a low rate.
 * The lender counts its whole burst share as outstanding and adds no tokens;
 * the receiver adds them at the lender's rate until the delegation expires.
 */
#include "quota_internal.h"

#include <assert.h>

/* A delegation is renewed this long after it was asked for. */
#define RENEWAL_INTERVAL_US CAS_USEC_PER_SEC
/* Delegations are not renewed when no daemon has asked for this time. */
#define IDLE_TIME_US (5 * CAS_USEC_PER_SEC)

/* A share must have one receiver at a time: two would both add at its rate. */
static bool delegated_to_other(const quota_bucket_t *bucket,
			       const quota_account_t *account, int64_t now)
{
	return now < bucket->delegated_until_us &&
	       (bucket->delegate != account->host ||
		bucket->delegate_incarnation != account->incarnation ||
		bucket->delegate_slot != account->from_slot);
}

void quota_delegate_on_ask(quota_t *quota, quota_bucket_t *bucket,
			   quota_account_t *account, quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t expires_us = now + QUOTA_GRANT_LIFE_US + QUOTA_DRIFT_MARGIN_US;
	int64_t previous = quota_grant_list_total(&account->grants);
	int64_t amount = bucket->burst - (bucket->outstanding_own - previous);

	reply->wait = QUOTA_WAIT_LIMIT_US / 2;
	/* After the share has shrunk, the larger delegation has to expire
	 * before the smaller one starts. */
	if (bucket->state != QUOTA_ADDING || bucket->is_main || amount <= 0 ||
	    amount < previous || delegated_to_other(bucket, account, now))
		return;
	reply->wait = 0;
	reply->granted = amount;
	reply->filled = bucket->level;
	reply->rate = bucket->rate;
	reply->life = QUOTA_GRANT_LIFE_US;
	quota->stats.lent_micro += bucket->level;
	quota_grant_list_take(&account->grants, previous, NULL);
	quota_grant_list_add(
		&account->grants,
		(quota_grant_t){ .amount = amount, .expires_us = expires_us });
	bucket->outstanding_own += amount - previous;
	bucket->level = 0;
	bucket->refill_remainder = 0;
	bucket->delegated_until_us = expires_us;
	bucket->delegate = account->host;
	bucket->delegate_incarnation = account->incarnation;
	bucket->delegate_slot = account->from_slot;
}

void quota_delegate_on_reply(quota_t *quota, quota_bucket_t *bucket,
			     quota_link_t *link, const quota_reply *reply)
{
	int64_t life = quota_min(reply->life, QUOTA_GRANT_LIFE_US);
	int64_t expires_us = link->first_sent_us + life;
	int64_t previous = quota_grant_list_total(&link->grants);
	int64_t headroom = 0;

	if (reply->granted < previous || reply->granted <= 0 ||
	    expires_us <= cas_clock_now(quota->clock))
		return;
	quota_grant_list_take(&link->grants, previous, NULL);
	quota_grant_list_add(
		&link->grants,
		(quota_grant_t){ .amount = reply->granted,
				 .expires_us = expires_us,
				 .host = link->to,
				 .incarnation = link->incarnation });
	link->delegated_rate = reply->rate;
	link->delegated_until_us = expires_us;
	link->renew_at_us = link->first_sent_us + RENEWAL_INTERVAL_US;
	bucket->borrowed_total += reply->granted - previous;
	headroom = bucket->borrowed_total - bucket->borrowed_level -
		   bucket->outstanding_borrowed;
	bucket->borrowed_level += quota_clamp(reply->filled, 0, headroom);
}

void quota_delegate_refill(quota_bucket_t *bucket, int64_t now)
{
	int64_t headroom = bucket->borrowed_total - bucket->borrowed_level -
			   bucket->outstanding_borrowed;
	int64_t added = 0;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		const quota_link_t *link = &bucket->lenders[i];
		int64_t until = 0;

		until = quota_min(now, link->delegated_until_us);
		if (until > bucket->updated_us)
			added += (int64_t)((__int128)link->delegated_rate *
					   (until - bucket->updated_us) /
					   CAS_USEC_PER_SEC);
	}
	bucket->borrowed_level += quota_clamp(added, 0, quota_max(headroom, 0));
}

void quota_delegate_tick(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (now - bucket->last_daemon_ask_us > IDLE_TIME_US)
		return;
	for (size_t i = 0; i < bucket->lender_count; i++) {
		quota_link_t *link = &bucket->lenders[i];

		if (link->to == 0 || link->in_flight ||
		    now < link->wait_until_us)
			continue;
		if (link->grants.count > 0 && now < link->renew_at_us)
			continue;
		quota_link_send(quota, bucket->customer, link, 0, 1, 0);
	}
}
