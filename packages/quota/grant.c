/* Asks at a holder: reports of use, returns, grants and wait hints. */
#include "quota_internal.h"

#include <assert.h>

#define NEED_WINDOW 500000.0 /* averaging time of the demand, microseconds */
#define KEEP_WINDOW (20 * CAS_USEC_PER_MSEC)
#define REPORT_TRANSIT (40 * CAS_USEC_PER_MSEC)
#define UNMET_SLACK (30 * CAS_USEC_PER_MSEC)
#define LENT_LIFE_MIN (20 * CAS_USEC_PER_MSEC)

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
	account->touched_us = cas_clock_now(quota->clock);
	account->next = bucket->accounts;
	bucket->accounts = account;
	bucket->account_count++;
	return account;
}

/* Moves tokens that the asker will not use from outstanding to the level. */
static void give_back(quota_bucket_t *bucket, int64_t amount, int64_t lent)
{
	quota_ideal_add(bucket, amount);
	bucket->out_own -= amount - lent;
	bucket->out_lent -= lent;
	bucket->lent_level += lent;
	if (bucket->state == QUOTA_ADDING || bucket->state == QUOTA_FROZEN) {
		int64_t room = bucket->burst - bucket->out_own - bucket->level;

		bucket->level +=
			quota_clamp(amount - lent, 0, quota_max(room, 0));
	}
}

/* Takes in what the asker says about earlier grants: the last one was lost,
 * some were used, some are given back, the rest is left. */
static void settle(quota_bucket_t *bucket, quota_account_t *account,
		   const quota_ask *ask)
{
	int64_t lent = 0;
	int64_t out = 0;
	int64_t used = 0;
	int64_t amount = 0;

	/* An earlier term of a delegated share may still run at the asker. */
	if (account->reply.granted > 0 && account->reply.rate == 0 &&
	    (int32_t)(ask->received - account->sequence) < 0) {
		amount = quota_lots_take_latest(&account->lots,
						account->reply.granted, &lent);
		give_back(bucket, amount, lent);
	}
	out = quota_lots_total(&account->lots);
	amount = quota_clamp(ask->returned, 0, out);
	used = quota_max(out - amount - quota_max(ask->left, 0), 0);
	used = quota_lots_take(&account->lots, used, &lent);
	bucket->out_own -= used - lent;
	bucket->out_lent -= lent;
	amount = quota_lots_take(&account->lots, amount, &lent);
	give_back(bucket, amount, lent);
}

static void note_need(quota_bucket_t *bucket, int64_t amount, int64_t now)
{
	double elapsed = (double)(now - bucket->need_seen_us);
	double keep = NEED_WINDOW / (NEED_WINDOW + elapsed);

	bucket->need_rate *= keep;
	bucket->need_rate +=
		(double)amount * (double)CAS_USEC_PER_SEC / NEED_WINDOW;
	bucket->need_seen_us = now;
}

static int64_t whole_tokens(int64_t amount)
{
	return amount / QUOTA_TOKEN * QUOTA_TOKEN;
}

static int64_t own_usable(const quota_bucket_t *bucket)
{
	return bucket->state == QUOTA_ADDING ? bucket->level : 0;
}

static int64_t lent_usable(const quota_bucket_t *bucket, int64_t now)
{
	int64_t expiry = quota_borrow_expiry(bucket, bucket->lent_level);

	if (expiry - now < QUOTA_DRIFT_MARGIN + LENT_LIFE_MIN)
		return 0;
	return bucket->lent_level;
}

/* Records a grant; lent tokens go first because they expire first. */
static void hand_out(quota_t *quota, quota_bucket_t *bucket,
		     quota_account_t *account, int64_t own, int64_t lent,
		     quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t expires = now + QUOTA_GRANT_LIFE + QUOTA_DRIFT_MARGIN;

	if (lent > 0)
		expires = quota_min(expires, quota_borrow_expiry(bucket, lent));
	bucket->level -= own;
	bucket->out_own += own;
	bucket->lent_level -= lent;
	bucket->out_lent += lent;
	quota_lots_add(&account->lots, (quota_lot_t){ .amount = lent,
						      .expires_us = expires,
						      .borrowed = true });
	quota_lots_add(&account->lots,
		       (quota_lot_t){ .amount = own, .expires_us = expires });
	reply->granted = own + lent;
	reply->filled = own + lent;
	reply->life = (uint32_t)(expires - now - QUOTA_DRIFT_MARGIN);
}

/* The part of a grant that is taken from lent tokens. Plain loans expire first
 * and go first; delegated shares and the own one are kept equally full, so
 * that all of them have room to grow. */
static int64_t split(const quota_bucket_t *bucket, int64_t amount, int64_t own,
		     int64_t lent)
{
	int64_t part = amount;

	if (bucket->main && bucket->lent_total > 0) {
		double whole = (double)(bucket->burst + bucket->lent_total);
		double rest = (double)(own + lent - amount);

		part = lent -
		       (int64_t)(rest * (double)bucket->lent_total / whole);
	}
	return quota_clamp(part, quota_max(amount - own, 0),
			   quota_min(amount, lent));
}

static void grant_daemon(quota_t *quota, quota_bucket_t *bucket,
			 quota_account_t *account, const quota_ask *ask,
			 quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t own = own_usable(bucket);
	int64_t lent = lent_usable(bucket, now);
	int64_t wanted = bucket->main
				 ? quota_ideal_admit(bucket, account, ask,
						     own + lent, now, reply)
				 : ask->need;
	int64_t free = own + lent - quota_ideal_before(bucket, account, now);
	int64_t need = quota_clamp(whole_tokens(free), 0, wanted);
	int64_t from_lent = split(bucket, need, own, lent);
	int64_t from_own = need - from_lent;
	int64_t ahead = quota_min(ask->ahead, (own - from_own) / 2);

	ahead = whole_tokens(quota_max(ahead, 0));
	bucket->asked_us = now;
	note_need(bucket, ask->need + ahead, now);
	from_own += ahead;
	if (from_own + from_lent > 0)
		hand_out(quota, bucket, account, from_own, from_lent, reply);
	quota_ideal_add(bucket, -ahead);
	account->promised -= quota_min(account->promised, need);
	account->unmet = wanted - need;
}

/* Two short holders would each keep a part of a token; the one with the
 * smaller id gets both parts. */
static bool yields_to(const quota_t *quota, const quota_bucket_t *bucket,
		      cas_id_t from, int64_t unmet)
{
	return unmet > 0 && from < quota->self &&
	       own_usable(bucket) + bucket->lent_level < QUOTA_TOKEN;
}

static void grant_holder(quota_t *quota, quota_bucket_t *bucket,
			 quota_account_t *account, const quota_ask *ask,
			 quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t unmet = quota_bucket_unmet(bucket, now);
	int64_t keep = 0;
	int64_t amount = 0;

	note_need(bucket, 0, now);
	if (ask->ahead != 0) {
		quota_delegate(quota, bucket, account, reply);
		return;
	}
	if (!yields_to(quota, bucket, account->host, unmet))
		keep = unmet + whole_tokens((int64_t)(bucket->need_rate *
						      (double)KEEP_WINDOW /
						      CAS_USEC_PER_SEC));
	amount = quota_clamp(own_usable(bucket) - keep, 0, ask->need);
	if (amount > 0) {
		hand_out(quota, bucket, account, amount, 0, reply);
		quota->stats.lent_micro += amount;
	}
	reply->wait = QUOTA_RESEND_PERIOD;
	if (unmet > 0)
		reply->wait = QUOTA_WAIT_LIMIT / 2;
}

/* The time until the fleet's rate has made up for what is missing. */
static int64_t wait_hint(quota_t *quota, const quota_bucket_t *bucket,
			 int64_t missing)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t rate = quota_max(bucket->customer->rate, 1);

	if (quota_borrow_possible(bucket, now))
		return QUOTA_RESEND_PERIOD;
	return quota_clamp(
		(int64_t)((double)missing * CAS_USEC_PER_SEC / (double)rate),
		QUOTA_RESEND_PERIOD, QUOTA_WAIT_LIMIT);
}

static int64_t fill_time(int64_t room, int64_t rate)
{
	return (int64_t)((double)room * CAS_USEC_PER_SEC /
			 (double)quota_max(rate, 1));
}

/* When unreported use would keep the level from growing. */
static int64_t report_hint(const quota_bucket_t *bucket)
{
	int64_t room = bucket->burst - bucket->level - bucket->out_own;
	int64_t tolerance = quota_report_tolerance(bucket->customer);

	if (bucket->main) {
		room += bucket->lent_total - bucket->lent_level -
			bucket->out_lent;
		return quota_clamp(fill_time(room, bucket->customer->rate) -
					   REPORT_TRANSIT,
				   0, QUOTA_GRANT_LIFE / 2);
	}
	if (bucket->state != QUOTA_ADDING)
		return tolerance;
	return quota_clamp(fill_time(room, bucket->rate), tolerance,
			   QUOTA_GRANT_LIFE / 2);
}

static void answer(quota_t *quota, quota_bucket_t *bucket,
		   quota_account_t *account, const quota_ask *ask,
		   quota_reply *reply)
{
	int64_t now = cas_clock_now(quota->clock);

	account->unmet = 0;
	if (account->lots.count + 2 > QUOTA_LOTS_MAX)
		reply->wait = QUOTA_RESEND_PERIOD;
	else if (account->from_slot == QUOTA_FROM_DAEMON)
		grant_daemon(quota, bucket, account, ask, reply);
	else
		grant_holder(quota, bucket, account, ask, reply);
	reply->report = (uint32_t)report_hint(bucket);
	if (account->unmet == 0)
		return;
	account->unmet_until_us = now + QUOTA_WAIT_LIMIT;
	quota_borrow(quota, bucket);
	reply->wait = (uint32_t)wait_hint(quota, bucket,
					  quota_bucket_unmet(bucket, now) -
						  own_usable(bucket) -
						  bucket->lent_level);
	account->unmet_until_us = now + reply->wait + UNMET_SLACK;
}

void quota_bucket_ask(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
		      uint64_t incarnation, const quota_ask *ask,
		      quota_reply *reply)
{
	uint16_t from_slot = (uint16_t)(ask->slots >> 16);
	quota_account_t *account = NULL;

	*reply = (quota_reply){ .customer = ask->customer,
				.slots = ask->slots,
				.sequence = ask->sequence,
				.wait = QUOTA_RESEND_PERIOD };
	quota_bucket_touch(quota, bucket);
	account = account_find(quota, bucket, from, incarnation, from_slot);
	if (!account)
		return;
	if (account->sequence == ask->sequence) {
		*reply = account->reply;
		return;
	}
	if ((int32_t)(ask->sequence - account->sequence) < 0 &&
	    account->sequence != 0)
		return;
	settle(bucket, account, ask);
	account->sequence = ask->sequence;
	account->touched_us = cas_clock_now(quota->clock);
	reply->wait = 0;
	answer(quota, bucket, account, ask, reply);
	account->reply = *reply;
	quota_bucket_check(bucket);
}
