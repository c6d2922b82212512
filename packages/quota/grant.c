/* Handling of asks by a holder: reports of use, returned tokens, grants, and
 * hints when to ask again. */
#include "quota_internal.h"

#include <assert.h>

/* Averaging time of the need of the daemons. */
#define NEED_AVERAGING_US 500000.0
/* A holder lends to other holders only what its daemons are not expected to
 * need in this time. */
#define RESERVE_WINDOW_US (20 * CAS_USEC_PER_MSEC)
/* Time from the moment a report is due until it arrives. */
#define REPORT_LATENCY_US (40 * CAS_USEC_PER_MSEC)
/* Unmet need is remembered for this time beyond the wait hint, so that the next
 * ask arrives in time. */
#define UNMET_MARGIN_US (30 * CAS_USEC_PER_MSEC)
/* Borrowed tokens are not granted for a shorter life. */
#define BORROWED_LIFE_MIN_US (20 * CAS_USEC_PER_MSEC)

/* Finds or creates the account of an asker; NULL when the limit is reached or
 * memory runs out. */
static quota_account_t *account_find(quota_t *quota, quota_bucket_t *bucket,
				     cas_id_t from, uint64_t incarnation,
				     uint16_t from_slot)
{
	quota_account_t *account = bucket->accounts;

	while (account &&
	       (account->host != from || account->incarnation != incarnation ||
		account->from_slot != from_slot))
		account = account->next;
	if (account || bucket->account_count == QUOTA_ACCOUNTS_MAX)
		return account;
	account = talloc_zero(bucket, quota_account_t);
	if (!account)
		return NULL;
	account->host = from;
	account->incarnation = incarnation;
	account->from_slot = from_slot;
	account->last_ask_us = cas_clock_now(quota->clock);
	account->next = bucket->accounts;
	bucket->accounts = account;
	bucket->account_count++;
	return account;
}

/* Moves tokens that the asker will not use from outstanding to the level, up to
 * the burst. */
static void return_tokens(quota_bucket_t *bucket, int64_t amount,
			  int64_t borrowed)
{
	quota_ideal_adjust(bucket, amount);
	bucket->outstanding_own -= amount - borrowed;
	bucket->outstanding_borrowed -= borrowed;
	bucket->borrowed_level += borrowed;
	if (bucket->state == QUOTA_ADDING || bucket->state == QUOTA_FROZEN) {
		int64_t headroom =
			bucket->burst - bucket->outstanding_own - bucket->level;

		bucket->level += quota_clamp(amount - borrowed, 0,
					     quota_max(headroom, 0));
	}
}

/* Applies what an ask says about earlier grants: whether the last one was lost,
 * which tokens are returned, and which are left. All others were used. */
static void apply_usage_report(quota_bucket_t *bucket, quota_account_t *account,
			       const quota_ask *ask)
{
	int64_t borrowed = 0;
	int64_t outstanding = 0;
	int64_t used = 0;
	int64_t amount = 0;

	/* The last grant was lost and is taken back, unless it was a delegated
	 * share: its earlier delegation may still be in force at the asker. */
	if (account->reply.granted > 0 && account->reply.rate == 0 &&
	    (int32_t)(ask->received - account->last_sequence) < 0) {
		amount = quota_grant_list_take_latest(
			&account->grants, account->reply.granted, &borrowed);
		return_tokens(bucket, amount, borrowed);
	}
	outstanding = quota_grant_list_total(&account->grants);
	amount = quota_clamp(ask->returned, 0, outstanding);
	used = quota_max(outstanding - amount - quota_max(ask->left, 0), 0);
	used = quota_grant_list_take(&account->grants, used, &borrowed);
	bucket->outstanding_own -= used - borrowed;
	bucket->outstanding_borrowed -= borrowed;
	amount = quota_grant_list_take(&account->grants, amount, &borrowed);
	return_tokens(bucket, amount, borrowed);
}

static void record_need(quota_bucket_t *bucket, int64_t amount, int64_t now)
{
	double elapsed = (double)(now - bucket->need_updated_us);
	double decay = NEED_AVERAGING_US / (NEED_AVERAGING_US + elapsed);

	bucket->need_rate *= decay;
	bucket->need_rate +=
		(double)amount * (double)CAS_USEC_PER_SEC / NEED_AVERAGING_US;
	bucket->need_updated_us = now;
}

static int64_t round_down_to_tokens(int64_t amount)
{
	return amount / QUOTA_TOKEN * QUOTA_TOKEN;
}

static int64_t usable_own(const quota_bucket_t *bucket)
{
	return bucket->state == QUOTA_ADDING ? bucket->level : 0;
}

static int64_t usable_borrowed(const quota_bucket_t *bucket, int64_t now)
{
	int64_t expiry = quota_borrow_expiry(bucket, bucket->borrowed_level);

	if (expiry - now < QUOTA_DRIFT_MARGIN_US + BORROWED_LIFE_MIN_US)
		return 0;
	return bucket->borrowed_level;
}

/* Records a grant. Its borrowed tokens are listed first, and so counted as used
 * first, because loans expire first. */
static void record_grant(quota_t *quota, quota_bucket_t *bucket,
			 quota_account_t *account, int64_t own,
			 int64_t borrowed, quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t expires_us = now + QUOTA_GRANT_LIFE_US + QUOTA_DRIFT_MARGIN_US;

	if (borrowed > 0)
		expires_us = quota_min(expires_us,
				       quota_borrow_expiry(bucket, borrowed));
	bucket->level -= own;
	bucket->outstanding_own += own;
	bucket->borrowed_level -= borrowed;
	bucket->outstanding_borrowed += borrowed;
	quota_grant_list_add(&account->grants,
			     (quota_grant_t){ .amount = borrowed,
					      .expires_us = expires_us,
					      .borrowed = true });
	quota_grant_list_add(
		&account->grants,
		(quota_grant_t){ .amount = own, .expires_us = expires_us });
	reply->granted = own + borrowed;
	reply->filled = own + borrowed;
	reply->life = (uint32_t)(expires_us - now - QUOTA_DRIFT_MARGIN_US);
}

/* Returns the part of a grant that is taken from borrowed tokens. Plain loans
 * are used first, because they expire first. Delegated shares and the own share
 * are kept equally full, so that all of them have room for new tokens. */
static int64_t part_from_borrowed(const quota_bucket_t *bucket, int64_t amount,
				  int64_t own, int64_t borrowed)
{
	int64_t part = amount;

	if (bucket->is_main && bucket->borrowed_total > 0) {
		double whole = (double)(bucket->burst + bucket->borrowed_total);
		double remaining = (double)(own + borrowed - amount);

		part = borrowed -
		       (int64_t)(remaining * (double)bucket->borrowed_total /
				 whole);
	}
	return quota_clamp(part, quota_max(amount - own, 0),
			   quota_min(amount, borrowed));
}

/* Handles an ask from a daemon. Tokens ahead of demand come from the own tokens
 * only, at most half of what is left of them. */
static void grant_daemon(quota_t *quota, quota_bucket_t *bucket,
			 quota_account_t *account, const quota_ask *ask,
			 quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t own = usable_own(bucket);
	int64_t borrowed = usable_borrowed(bucket, now);
	int64_t wanted = bucket->is_main
				 ? quota_ideal_admit(bucket, account, ask,
						     own + borrowed, now, reply)
				 : ask->need;
	int64_t available = own + borrowed -
			    quota_ideal_promised_before(bucket, account, now);
	int64_t need = quota_clamp(round_down_to_tokens(available), 0, wanted);
	int64_t from_borrowed = part_from_borrowed(bucket, need, own, borrowed);
	int64_t from_own = need - from_borrowed;
	int64_t ahead = quota_min(ask->ahead, (own - from_own) / 2);

	ahead = round_down_to_tokens(quota_max(ahead, 0));
	bucket->last_daemon_ask_us = now;
	record_need(bucket, ask->need + ahead, now);
	from_own += ahead;
	if (from_own + from_borrowed > 0)
		record_grant(quota, bucket, account, from_own, from_borrowed,
			     reply);
	quota_ideal_adjust(bucket, -ahead);
	account->promised -= quota_min(account->promised, need);
	account->unmet = wanted - need;
}

/* Two holders that both run short would each keep a part of a token. The one
 * with the larger id lends its part to the other. */
static bool yields_to(const quota_t *quota, const quota_bucket_t *bucket,
		      cas_id_t from, int64_t unmet)
{
	return unmet > 0 && from < quota->self &&
	       usable_own(bucket) + bucket->borrowed_level < QUOTA_TOKEN;
}

/* Handles an ask from another holder, for a loan or a delegation. */
static void grant_holder(quota_t *quota, quota_bucket_t *bucket,
			 quota_account_t *account, const quota_ask *ask,
			 quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t unmet = quota_bucket_unmet(bucket, now);
	int64_t reserve = 0;
	int64_t amount = 0;

	record_need(bucket, 0, now);
	if (ask->ahead != 0) {
		quota_delegate_on_ask(quota, bucket, account, reply);
		return;
	}
	if (!yields_to(quota, bucket, account->host, unmet))
		reserve = unmet + round_down_to_tokens(
					  (int64_t)(bucket->need_rate *
						    (double)RESERVE_WINDOW_US /
						    CAS_USEC_PER_SEC));
	amount = quota_clamp(usable_own(bucket) - reserve, 0, ask->need);
	if (amount > 0) {
		record_grant(quota, bucket, account, amount, 0, reply);
		quota->stats.lent_micro += amount;
	}
	reply->wait = QUOTA_RESEND_PERIOD_US;
	if (unmet > 0)
		reply->wait = QUOTA_WAIT_LIMIT_US / 2;
}

/* Returns how long the asker has to wait: until the whole rate of the customer
 * has added the shortfall, or one resend period while a lender may have
 * tokens. */
static int64_t wait_hint(quota_t *quota, const quota_bucket_t *bucket,
			 int64_t shortfall)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t rate = quota_max(bucket->customer->rate, 1);

	if (quota_borrow_possible(bucket, now))
		return QUOTA_RESEND_PERIOD_US;
	return quota_clamp(
		(int64_t)((double)shortfall * CAS_USEC_PER_SEC / (double)rate),
		QUOTA_RESEND_PERIOD_US, QUOTA_WAIT_LIMIT_US);
}

static int64_t fill_time(int64_t headroom, int64_t rate)
{
	return (int64_t)((double)headroom * CAS_USEC_PER_SEC /
			 (double)quota_max(rate, 1));
}

/* Returns the time after which unreported use would keep the level, or that of
 * a delegated share, from growing. */
static int64_t report_hint(const quota_bucket_t *bucket)
{
	int64_t headroom =
		bucket->burst - bucket->level - bucket->outstanding_own;
	int64_t tolerance = quota_report_tolerance(bucket->customer);

	if (bucket->is_main) {
		headroom += bucket->borrowed_total - bucket->borrowed_level -
			    bucket->outstanding_borrowed;
		return quota_clamp(fill_time(headroom, bucket->customer->rate) -
					   REPORT_LATENCY_US,
				   0, QUOTA_GRANT_LIFE_US / 2);
	}
	if (bucket->state != QUOTA_ADDING)
		return tolerance;
	return quota_clamp(fill_time(headroom, bucket->rate), tolerance,
			   QUOTA_GRANT_LIFE_US / 2);
}

/* Grants what the bucket can give, borrows for what a daemon still lacks, and
 * fills in the reply. */
static void fill_reply(quota_t *quota, quota_bucket_t *bucket,
		       quota_account_t *account, const quota_ask *ask,
		       quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);

	account->unmet = 0;
	if (account->grants.count + 2 > QUOTA_GRANTS_MAX)
		reply->wait = QUOTA_RESEND_PERIOD_US;
	else if (account->from_slot == QUOTA_FROM_DAEMON)
		grant_daemon(quota, bucket, account, ask, reply);
	else
		grant_holder(quota, bucket, account, ask, reply);
	reply->report = (uint32_t)report_hint(bucket);
	if (account->unmet == 0)
		return;
	account->unmet_until_us = now + QUOTA_WAIT_LIMIT_US;
	quota_borrow_ask_lenders(quota, bucket);
	reply->wait = (uint32_t)wait_hint(quota, bucket,
					  quota_bucket_unmet(bucket, now) -
						  usable_own(bucket) -
						  bucket->borrowed_level);
	account->unmet_until_us = now + reply->wait + UNMET_MARGIN_US;
}

void quota_bucket_on_ask(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
			 uint64_t incarnation, const quota_ask *ask,
			 quota_reply *reply)
{
	uint16_t from_slot = (uint16_t)(ask->slots >> 16);
	quota_account_t *account = NULL;

	*reply = (quota_reply){ .customer = ask->customer,
				.slots = ask->slots,
				.sequence = ask->sequence,
				.wait = QUOTA_RESEND_PERIOD_US };
	quota_bucket_update(quota, bucket);
	account = account_find(quota, bucket, from, incarnation, from_slot);
	if (!account)
		return;
	if (account->last_sequence == ask->sequence) {
		*reply = account->reply;
		return;
	}
	if ((int32_t)(ask->sequence - account->last_sequence) < 0 &&
	    account->last_sequence != 0)
		return;
	apply_usage_report(bucket, account, ask);
	account->last_sequence = ask->sequence;
	account->last_ask_us = cas_clock_now(quota->clock);
	reply->wait = 0;
	fill_reply(quota, bucket, account, ask, reply);
	account->reply = *reply;
	quota_bucket_check(bucket);
}
