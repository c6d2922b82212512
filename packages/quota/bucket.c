/* The bucket of a holder: states, growth of the level, expiry of grants. */
#include "quota_internal.h"

#include <assert.h>

#define ACCOUNT_IDLE (5 * CAS_USEC_PER_SEC)

quota_bucket_t *quota_bucket_find(quota_customer_t *customer, uint32_t slot)
{
	quota_bucket_t *bucket = customer->buckets;

	while (bucket && bucket->slot != slot)
		bucket = bucket->next;
	return bucket;
}

/* The holder invariant. Tokens granted under a larger share may still be
 * outstanding after the share has shrunk; the level is 0 until they expire. */
void quota_bucket_check(const quota_bucket_t *bucket)
{
	assert(bucket->level >= 0 && bucket->out_own >= 0);
	assert(bucket->level == 0 ||
	       bucket->level + bucket->out_own <= bucket->burst);
	assert(bucket->lent_level >= 0 && bucket->out_lent >= 0);
	assert(bucket->lent_level + bucket->out_lent <= bucket->lent_total);
}

static void trim_level(quota_bucket_t *bucket)
{
	int64_t room = quota_max(bucket->burst - bucket->out_own, 0);

	bucket->level = quota_min(bucket->level, room);
}

/* While the share is delegated, its receiver adds the tokens. */
static int64_t growth_start(const quota_bucket_t *bucket)
{
	return quota_max(bucket->touched_us, bucket->delegated_until_us);
}

static void grow_level(quota_bucket_t *bucket, int64_t elapsed_us)
{
	__int128 grown =
		(__int128)bucket->rate * elapsed_us + bucket->remainder;
	int64_t room = bucket->burst - bucket->out_own - bucket->level;
	int64_t whole = (int64_t)(grown / CAS_USEC_PER_SEC);

	if (elapsed_us <= 0)
		return;
	bucket->remainder = (int64_t)(grown % CAS_USEC_PER_SEC);
	if (whole >= room) {
		whole = quota_max(room, 0);
		bucket->remainder = 0;
	}
	bucket->level += whole;
}

/* Asks for the fence of the newest roster first; the fence of the roster under
 * which the bucket was already held serves until then. */
static bool fence_held(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t newest = quota->view->roster_revision;

	if (quota->ops->fence_held(quota->private_data, newest)) {
		bucket->revision = newest;
		return true;
	}
	return bucket->revision != newest && bucket->state != QUOTA_WAITING &&
	       quota->ops->fence_held(quota->private_data, bucket->revision);
}

static bool may_start(quota_t *quota, int64_t now)
{
	int64_t newest = quota->view->roster_revision;

	/* Grants of an earlier process on this host may still be in use. */
	return now - quota->created_us >=
		       QUOTA_GRANT_LIFE + QUOTA_DRIFT_MARGIN &&
	       quota->ops->fence_held(quota->private_data, newest) &&
	       quota->ops->fence_settled(quota->private_data, newest);
}

static void lapse(quota_t *quota, quota_bucket_t *bucket)
{
	bucket->state = QUOTA_WAITING;
	bucket->level = 0;
	bucket->remainder = 0;
	quota->stats.lapses++;
}

static uint64_t fence_epoch(const quota_t *quota)
{
	if (!quota->ops->fence_epoch)
		return 0;
	return quota->ops->fence_epoch(quota->private_data);
}

/* Without a lapse no other host can have added to the bucket. */
static bool has_lapsed(const quota_t *quota, const quota_bucket_t *bucket,
		       int64_t now)
{
	return now - bucket->held_us > QUOTA_KEEP_TIME ||
	       bucket->epoch != fence_epoch(quota);
}

static void step_state(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	if (bucket->state == QUOTA_ADDING || bucket->state == QUOTA_FROZEN) {
		if (has_lapsed(quota, bucket, now)) {
			lapse(quota, bucket);
		} else if (fence_held(quota, bucket)) {
			if (bucket->state == QUOTA_ADDING)
				grow_level(bucket, now - growth_start(bucket));
			bucket->state = QUOTA_ADDING;
			bucket->held_us = now;
		} else {
			bucket->state = QUOTA_FROZEN;
		}
	}
	if (bucket->state == QUOTA_WAITING && now >= bucket->growth_at_us &&
	    may_start(quota, now)) {
		bucket->state = QUOTA_ADDING;
		bucket->epoch = fence_epoch(quota);
		bucket->revision = quota->view->roster_revision;
		bucket->held_us = now;
	}
}

/* A share grows only when no other holder can still use the earlier division
 * of slots. */
static void step_share(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	if (bucket->rate == bucket->target_rate &&
	    bucket->burst == bucket->target_burst)
		return;
	if (now < bucket->growth_at_us || !may_start(quota, now))
		return;
	bucket->rate = bucket->target_rate;
	bucket->burst = bucket->target_burst;
}

static void expire_account(quota_t *quota, quota_bucket_t *bucket,
			   quota_account_t *account, int64_t now)
{
	int64_t lent = 0;
	int64_t gone = quota_lots_expire(&account->lots, now, &lent);

	(void)quota;
	bucket->out_own -= gone - lent;
	bucket->out_lent -= lent;
}

static void expire_accounts(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	quota_account_t **at = &bucket->accounts;

	while (*at) {
		quota_account_t *account = *at;

		expire_account(quota, bucket, account, now);
		if (account->lots.count == 0 &&
		    now - account->touched_us > ACCOUNT_IDLE) {
			*at = account->next;
			bucket->account_count--;
			talloc_free(account);
		} else {
			at = &account->next;
		}
	}
}

void quota_bucket_touch(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (bucket->state != QUOTA_RETIRED) {
		step_state(quota, bucket, now);
		step_share(quota, bucket, now);
	}
	quota_delegate_grow(bucket, now);
	bucket->touched_us = now;
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

static void set_share(quota_t *quota, quota_bucket_t *bucket, int64_t rate,
		      int64_t burst, bool table_changed)
{
	int64_t now = cas_clock_now(quota->clock);

	bucket->target_rate = rate;
	bucket->target_burst = burst;
	bucket->rate = quota_min(bucket->rate, rate);
	bucket->burst = quota_min(bucket->burst, burst);
	if (table_changed)
		bucket->growth_at_us = now + QUOTA_GROWTH_DELAY;
	trim_level(bucket);
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
	bucket->touched_us = cas_clock_now(quota->clock);
	bucket->need_seen_us = bucket->touched_us;
	bucket->next = customer->buckets;
	customer->buckets = bucket;
	return bucket;
}

static int place_slot(quota_t *quota, quota_customer_t *customer, size_t first,
		      uint32_t slot, bool table_changed)
{
	const quota_dc_t *dc = &quota->view->dcs[quota->view->self_dc];
	int64_t count = customer->slots[quota->view->self_dc];
	quota_bucket_t *bucket = quota_bucket_find(customer, slot);
	int64_t rate = quota_share_of(customer->rate, dc->share_before,
				      dc->share, quota->view->whole);
	int64_t burst = quota_share_of(customer->burst, dc->share_before,
				       dc->share, quota->view->whole);

	if (!bucket)
		bucket = bucket_create(quota, customer, slot);
	if (!bucket)
		return QUOTA_ENOMEM;
	if (bucket->state == QUOTA_RETIRED)
		bucket->state = QUOTA_WAITING;
	bucket->main = customer->central && customer->main == first + slot;
	set_share(quota, bucket, quota_share_of(rate, slot, 1, count),
		  quota_share_of(burst, slot, 1, count), table_changed);
	return quota_borrow_place(quota, bucket);
}

static void retire(quota_t *quota, quota_bucket_t *bucket)
{
	if (bucket->state == QUOTA_RETIRED)
		return;
	bucket->state = QUOTA_RETIRED;
	bucket->main = false;
	bucket->retired_us = cas_clock_now(quota->clock);
	bucket->level = 0;
	bucket->rate = 0;
	bucket->burst = 0;
}

/* Makes the buckets of a customer that this host holds match the view. */
int quota_bucket_place(quota_t *quota, quota_customer_t *customer,
		       bool table_changed)
{
	const quota_view_t *view = quota->view;
	size_t first = 0;
	uint32_t count = 0;
	int error = QUOTA_OK;

	if (customer->listed && view->self_dc < view->dc_count)
		count = customer->slots[view->self_dc];
	for (size_t i = 0; count > 0 && i < view->self_dc; i++)
		first += customer->slots[i];
	for (quota_bucket_t *b = customer->buckets; b; b = b->next) {
		quota_bucket_touch(quota, b);
		if (b->slot >= count ||
		    customer->holders[first + b->slot] != quota->self)
			retire(quota, b);
	}
	for (uint32_t slot = 0; slot < count && !error; slot++) {
		if (customer->holders[first + slot] == quota->self)
			error = place_slot(quota, customer, first, slot,
					   table_changed);
	}
	return error;
}
