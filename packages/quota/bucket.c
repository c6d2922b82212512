/* The bucket of a holder: states, refill of the level, expiry of grants. */
#include "quota_internal.h"

#include <assert.h>

/* An account without grants is freed after this time without an ask. */
#define ACCOUNT_IDLE_TIME_US (5 * CAS_USEC_PER_SEC)

quota_bucket_t *quota_bucket_find(quota_customer_t *customer, uint32_t slot)
{
	quota_bucket_t *bucket = customer->buckets;

	while (bucket && bucket->slot != slot)
		bucket = bucket->next;
	return bucket;
}

/* Level and outstanding tokens together never exceed the burst. After the share
 * has shrunk, tokens granted under the larger share may still exceed it; the
 * level is then 0 until enough of them have been used or have expired. */
void quota_bucket_check(const quota_bucket_t *bucket)
{
	assert(bucket->level >= 0 && bucket->outstanding_own >= 0);
	assert(bucket->level == 0 ||
	       bucket->level + bucket->outstanding_own <= bucket->burst);
	assert(bucket->borrowed_level >= 0 &&
	       bucket->outstanding_borrowed >= 0);
	assert(bucket->borrowed_level + bucket->outstanding_borrowed <=
	       bucket->borrowed_total);
}

static void cap_level(quota_bucket_t *bucket)
{
	int64_t max_level =
		quota_max(bucket->burst - bucket->outstanding_own, 0);

	bucket->level = quota_min(bucket->level, max_level);
}

/* While the share is delegated, its receiver adds the tokens instead. */
static int64_t refill_start(const quota_bucket_t *bucket)
{
	return quota_max(bucket->updated_us, bucket->delegated_until_us);
}

static void refill_level(quota_bucket_t *bucket, int64_t elapsed_us)
{
	__int128 added =
		(__int128)bucket->rate * elapsed_us + bucket->refill_remainder;
	int64_t headroom =
		bucket->burst - bucket->outstanding_own - bucket->level;
	int64_t whole = (int64_t)(added / CAS_USEC_PER_SEC);

	if (elapsed_us <= 0)
		return;
	bucket->refill_remainder = (int64_t)(added % CAS_USEC_PER_SEC);
	if (whole >= headroom) {
		whole = quota_max(headroom, 0);
		bucket->refill_remainder = 0;
	}
	bucket->level += whole;
}

/* Returns whether the fence that the bucket relies on is held: that of the
 * newest roster once it is held, until then the one relied on so far. */
static bool fence_held(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t newest = quota->view->roster_revision;

	if (quota->ops->fence_held(quota->private_data, newest)) {
		bucket->fence_revision = newest;
		return true;
	}
	return bucket->fence_revision != newest &&
	       bucket->state != QUOTA_WAITING &&
	       quota->ops->fence_held(quota->private_data,
				      bucket->fence_revision);
}

static bool may_add_tokens(quota_t *quota, int64_t now)
{
	int64_t newest = quota->view->roster_revision;

	/* Grants of an earlier process on this host may still be in use. */
	return now - quota->created_us >=
		       QUOTA_GRANT_LIFE_US + QUOTA_DRIFT_MARGIN_US &&
	       quota->ops->fence_held(quota->private_data, newest) &&
	       quota->ops->fence_settled(quota->private_data, newest);
}

/* Drops the own tokens: another host may have held the bucket meanwhile. */
static void discard_after_lapse(quota_t *quota, quota_bucket_t *bucket)
{
	bucket->state = QUOTA_WAITING;
	bucket->level = 0;
	bucket->refill_remainder = 0;
	quota->stats.lapses++;
}

static uint64_t fence_epoch(const quota_t *quota)
{
	if (!quota->ops->fence_epoch)
		return 0;
	return quota->ops->fence_epoch(quota->private_data);
}

/* Until a lapse, no other host can have added tokens to the bucket. */
static bool has_lapsed(const quota_t *quota, const quota_bucket_t *bucket,
		       int64_t now)
{
	return now - bucket->fence_last_held_us > QUOTA_FENCE_GRACE_PERIOD_US ||
	       bucket->fence_epoch != fence_epoch(quota);
}

static void update_state(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	if (bucket->state == QUOTA_ADDING || bucket->state == QUOTA_FROZEN) {
		if (has_lapsed(quota, bucket, now)) {
			discard_after_lapse(quota, bucket);
		} else if (fence_held(quota, bucket)) {
			if (bucket->state == QUOTA_ADDING)
				refill_level(bucket,
					     now - refill_start(bucket));
			bucket->state = QUOTA_ADDING;
			bucket->fence_last_held_us = now;
		} else {
			bucket->state = QUOTA_FROZEN;
		}
	}
	if (bucket->state == QUOTA_WAITING &&
	    now >= bucket->growth_allowed_us && may_add_tokens(quota, now)) {
		bucket->state = QUOTA_ADDING;
		bucket->fence_epoch = fence_epoch(quota);
		bucket->fence_revision = quota->view->roster_revision;
		bucket->fence_last_held_us = now;
	}
}

/* Puts a larger share in force once no other holder can still use the earlier
 * division into slots. A smaller one is in force at once; see set_share. */
static void update_share(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	if (bucket->rate == bucket->target_rate &&
	    bucket->burst == bucket->target_burst)
		return;
	if (now < bucket->growth_allowed_us || !may_add_tokens(quota, now))
		return;
	bucket->rate = bucket->target_rate;
	bucket->burst = bucket->target_burst;
}

static void expire_account(quota_t *quota, quota_bucket_t *bucket,
			   quota_account_t *account, int64_t now)
{
	int64_t borrowed = 0;
	int64_t expired =
		quota_grant_list_expire(&account->grants, now, &borrowed);

	(void)quota;
	bucket->outstanding_own -= expired - borrowed;
	bucket->outstanding_borrowed -= borrowed;
}

static void expire_accounts(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	quota_account_t **next_ptr = &bucket->accounts;

	while (*next_ptr) {
		quota_account_t *account = *next_ptr;

		expire_account(quota, bucket, account, now);
		if (account->grants.count == 0 &&
		    now - account->last_ask_us > ACCOUNT_IDLE_TIME_US) {
			*next_ptr = account->next;
			bucket->account_count--;
			talloc_free(account);
		} else {
			next_ptr = &account->next;
		}
	}
}

void quota_bucket_update(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (bucket->state != QUOTA_RETIRED) {
		update_state(quota, bucket, now);
		update_share(quota, bucket, now);
	}
	quota_delegate_refill(bucket, now);
	bucket->updated_us = now;
	expire_accounts(quota, bucket, now);
	quota_borrow_expire(quota, bucket, now);
	quota_bucket_check(bucket);
}

int64_t quota_bucket_unmet(const quota_bucket_t *bucket, int64_t now)
{
	int64_t unmet = 0;

	for (const quota_account_t *a = bucket->accounts; a; a = a->next) {
		if (now < a->unmet_until_us)
			unmet += a->unmet;
	}
	return unmet;
}

/* Sets the share by the latest view; only a decrease takes effect here. */
static void set_share(quota_t *quota, quota_bucket_t *bucket, int64_t rate,
		      int64_t burst, bool table_changed)
{
	int64_t now = cas_clock_now(quota->clock);

	bucket->target_rate = rate;
	bucket->target_burst = burst;
	bucket->rate = quota_min(bucket->rate, rate);
	bucket->burst = quota_min(bucket->burst, burst);
	if (table_changed)
		bucket->growth_allowed_us = now + QUOTA_GROWTH_DELAY_US;
	cap_level(bucket);
}

static quota_bucket_t *bucket_create(quota_t *quota, quota_customer_t *customer,
				     uint32_t slot)
{
	quota_bucket_t *bucket = talloc_zero(customer, quota_bucket_t);

	if (!bucket)
		return NULL;
	bucket->customer = customer;
	bucket->slot = slot;
	bucket->state = QUOTA_WAITING;
	bucket->updated_us = cas_clock_now(quota->clock);
	bucket->need_updated_us = bucket->updated_us;
	bucket->next = customer->buckets;
	customer->buckets = bucket;
	return bucket;
}

/* Creates or changes the bucket of a slot. first is the index of slot 0 of this
 * data centre in the holders. */
static int update_slot(quota_t *quota, quota_customer_t *customer, size_t first,
		       uint32_t slot, bool table_changed)
{
	const quota_dc_t *dc = &quota->view->dcs[quota->view->self_dc];
	int64_t count = customer->slot_counts[quota->view->self_dc];
	quota_bucket_t *bucket = quota_bucket_find(customer, slot);
	int64_t rate =
		quota_share_of(customer->rate, dc->share_before,
			       dc->share_permille, quota->view->share_divisor);
	int64_t burst =
		quota_share_of(customer->burst, dc->share_before,
			       dc->share_permille, quota->view->share_divisor);

	if (!bucket)
		bucket = bucket_create(quota, customer, slot);
	if (!bucket)
		return QUOTA_ENOMEM;
	if (bucket->state == QUOTA_RETIRED)
		bucket->state = QUOTA_WAITING;
	bucket->is_main = customer->is_centralized &&
			  customer->main_index == first + slot;
	set_share(quota, bucket, quota_share_of(rate, slot, 1, count),
		  quota_share_of(burst, slot, 1, count), table_changed);
	return quota_borrow_update_lenders(quota, bucket);
}

static void retire(quota_t *quota, quota_bucket_t *bucket)
{
	if (bucket->state == QUOTA_RETIRED)
		return;
	bucket->state = QUOTA_RETIRED;
	bucket->is_main = false;
	bucket->retired_us = cas_clock_now(quota->clock);
	bucket->level = 0;
	bucket->rate = 0;
	bucket->burst = 0;
}

int quota_bucket_reconcile(quota_t *quota, quota_customer_t *customer,
			   bool table_changed)
{
	const quota_view_t *view = quota->view;
	size_t first = 0;
	uint32_t count = 0;
	int error = QUOTA_OK;

	if (customer->listed && view->self_dc < view->dc_count)
		count = customer->slot_counts[view->self_dc];
	for (size_t i = 0; count > 0 && i < view->self_dc; i++)
		first += customer->slot_counts[i];
	for (quota_bucket_t *b = customer->buckets; b; b = b->next) {
		quota_bucket_update(quota, b);
		if (b->slot >= count ||
		    customer->holders[first + b->slot] != quota->self)
			retire(quota, b);
	}
	for (uint32_t slot = 0; slot < count && !error; slot++) {
		if (customer->holders[first + slot] == quota->self)
			error = update_slot(quota, customer, first, slot,
					    table_changed);
	}
	return error;
}
