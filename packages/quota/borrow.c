/* Lending between holders, on the borrower's side. */
#include "quota_internal.h"

#include <stdlib.h>

#define LENDERS_AT_ONCE 8
#define LOANS_MAX 128
#define ROUND_GIVE_UP (100 * CAS_USEC_PER_MSEC)
#define BORROW_AHEAD (100 * CAS_USEC_PER_MSEC)
#define IDLE_TIME (200 * CAS_USEC_PER_MSEC)
#define SILENT_LENDER_WAIT CAS_USEC_PER_SEC

static uint32_t distance_of(const quota_view_t *view, size_t dc)
{
	if (dc == view->self_dc)
		return 0;
	return view->dcs[dc].region_id == view->dcs[view->self_dc].region_id
		       ? 1
		       : 2;
}

/* Keeps the loans of a lender when its bucket moves to another host. */
static void place_lender(quota_bucket_t *bucket, quota_link_t *link,
			 cas_id_t holder, uint32_t distance, uint32_t slot)
{
	link->from_slot = (uint16_t)bucket->slot;
	link->to_slot = (uint16_t)slot;
	link->distance = distance;
	if (link->to != holder) {
		link->to = holder;
		quota_link_abandon(link);
		link->wait_until_us = 0;
	}
}

static int grow_lenders(quota_bucket_t *bucket, size_t count)
{
	quota_link_t *links = NULL;

	if (count <= bucket->lender_count)
		return QUOTA_OK;
	links = talloc_realloc(bucket, bucket->lenders, quota_link_t, count);
	if (!links)
		return QUOTA_ENOMEM;
	for (size_t i = bucket->lender_count; i < count; i++)
		links[i] = (quota_link_t){ .report_due_us = QUOTA_NEVER };
	bucket->lenders = links;
	bucket->lender_count = count;
	return QUOTA_OK;
}

int quota_borrow_place(quota_t *quota, quota_bucket_t *bucket)
{
	const quota_view_t *view = quota->view;
	const quota_customer_t *customer = bucket->customer;
	size_t at = 0;

	if (grow_lenders(bucket, customer->holder_count))
		return QUOTA_ENOMEM;
	for (size_t dc = 0; dc < view->dc_count; dc++) {
		for (uint32_t slot = 0; slot < customer->slots[dc]; slot++) {
			cas_id_t holder = customer->holders[at];

			if (dc == view->self_dc && slot == bucket->slot)
				holder = 0;
			place_lender(bucket, &bucket->lenders[at++], holder,
				     distance_of(view, dc), slot);
		}
	}
	while (at < bucket->lender_count)
		place_lender(bucket, &bucket->lenders[at++], 0, 2, 0);
	return QUOTA_OK;
}

void quota_borrow_expire(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	int64_t gone = 0;

	for (size_t i = 0; i < bucket->lender_count; i++)
		gone += quota_lots_expire(&bucket->lenders[i].lots, now, NULL);
	if (gone == 0)
		return;
	bucket->lent_total -= gone;
	gone = bucket->lent_level;
	bucket->lent_level =
		quota_clamp(bucket->lent_total - bucket->out_lent, 0, gone);
	quota->stats.expired_micro += gone - bucket->lent_level;
}

static int later_first(const void *a, const void *b)
{
	const quota_lot_t *x = a;
	const quota_lot_t *y = b;

	return (x->expires_us < y->expires_us) -
	       (x->expires_us > y->expires_us);
}

/* The tokens granted on and the new amount have to be covered by loans that
 * live at least as long, so that a loan never ends before its tokens do. */
int64_t quota_borrow_expiry(const quota_bucket_t *bucket, int64_t amount)
{
	quota_lot_t loans[LOANS_MAX];
	int64_t covered = 0;
	size_t count = 0;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		const quota_lots_t *lots = &bucket->lenders[i].lots;

		for (size_t j = 0; j < lots->count && count < LOANS_MAX; j++)
			loans[count++] = lots->items[j];
	}
	qsort(loans, count, sizeof(loans[0]), later_first);
	for (size_t i = 0; i < count; i++) {
		covered += loans[i].amount;
		if (covered >= bucket->out_lent + amount)
			return loans[i].expires_us;
	}
	return 0;
}

bool quota_borrow_possible(const quota_bucket_t *bucket, int64_t now)
{
	for (size_t i = 0; i < bucket->lender_count; i++) {
		const quota_link_t *link = &bucket->lenders[i];

		if (link->in_flight)
			return true;
		if (link->to != 0 && now >= link->wait_until_us &&
		    now >= bucket->next_round_us)
			return true;
	}
	return false;
}

static quota_link_t *earliest_loan(quota_bucket_t *bucket)
{
	quota_link_t *best = NULL;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		quota_link_t *link = &bucket->lenders[i];

		if (link->lots.count > 0 &&
		    (!best || link->lots.items[0].expires_us <
				      best->lots.items[0].expires_us))
			best = link;
	}
	return best;
}

/* Drops the part of the loans that covers nothing any more, earliest first.
 * The lenders learn it from the next ask. */
static void release_slack(quota_bucket_t *bucket)
{
	int64_t slack =
		bucket->lent_total - bucket->lent_level - bucket->out_lent;

	while (slack > 0) {
		quota_link_t *link = earliest_loan(bucket);
		int64_t part = quota_min(slack, link->lots.items[0].amount);

		quota_lots_take(&link->lots, part, NULL);
		bucket->lent_total -= part;
		slack -= part;
	}
}

static int64_t usable(const quota_bucket_t *bucket)
{
	return bucket->lent_level +
	       (bucket->state == QUOTA_ADDING ? bucket->level : 0);
}

/* What waits now, and what is likely to come beyond the own rate. */
static int64_t wanted(const quota_bucket_t *bucket, int64_t now)
{
	int64_t unmet = quota_bucket_unmet(bucket, now);
	double beyond = bucket->need_rate - (double)bucket->rate;
	int64_t ahead = 0;

	if (unmet == 0)
		return 0;
	ahead = (int64_t)(beyond * (double)BORROW_AHEAD / CAS_USEC_PER_SEC);
	if (ahead >= QUOTA_TOKEN)
		unmet += ahead;
	return unmet - usable(bucket);
}

static size_t pick_lenders(quota_bucket_t *bucket, int64_t now,
			   quota_link_t **picked)
{
	size_t count = 0;

	for (uint32_t distance = 0; distance <= 2; distance++) {
		for (size_t i = 0; i < bucket->lender_count; i++) {
			quota_link_t *link = &bucket->lenders[i];

			if (count == LENDERS_AT_ONCE)
				return count;
			if (link->to == 0 || link->distance != distance ||
			    link->in_flight || now < link->wait_until_us ||
			    link->lots.count + 1 >= QUOTA_LOTS_MAX)
				continue;
			picked[count++] = link;
		}
	}
	return count;
}

static bool round_open(const quota_bucket_t *bucket)
{
	for (size_t i = 0; i < bucket->lender_count; i++) {
		if (bucket->lenders[i].in_flight &&
		    bucket->lenders[i].message.need > 0)
			return true;
	}
	return false;
}

void quota_borrow(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t need = wanted(bucket, now);
	quota_link_t *picked[LENDERS_AT_ONCE];
	size_t count = 0;

	if (bucket->main) {
		quota_delegate_tick(quota, bucket);
		return;
	}
	if (need <= 0 || now < bucket->next_round_us || round_open(bucket) ||
	    bucket->state == QUOTA_RETIRED || now < bucket->delegated_until_us)
		return;
	count = pick_lenders(bucket, now, picked);
	if (count == 0)
		return;
	bucket->next_round_us = now + QUOTA_RESEND_PERIOD;
	release_slack(bucket);
	for (size_t i = 0; i < count; i++)
		quota_link_send(quota, bucket->customer, picked[i],
				need * 2 / (int64_t)(count + 1), 0, 0);
}

/* What the other holders can have to lend: the customer's burst without the
 * own share and without what was borrowed before. A delegated share replaces
 * its earlier term. */
static int64_t loan_limit(const quota_bucket_t *bucket,
			  const quota_link_t *link)
{
	int64_t limit =
		bucket->customer->burst - bucket->burst - bucket->lent_total;

	if (link->message.ahead != 0)
		limit += quota_lots_total(&link->lots);
	return quota_max(limit, 0);
}

void quota_borrow_reply(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
			uint64_t incarnation, const quota_reply *reply)
{
	uint16_t to_slot = (uint16_t)(reply->slots & 0xffff);
	quota_reply loan = *reply;
	int64_t granted = 0;

	quota_bucket_touch(quota, bucket);
	for (size_t i = 0; i < bucket->lender_count; i++) {
		quota_link_t *link = &bucket->lenders[i];

		if (link->to != from || link->to_slot != to_slot)
			continue;
		loan.granted =
			quota_min(reply->granted, loan_limit(bucket, link));
		loan.filled = quota_min(reply->filled, loan.granted);
		if (!quota_link_accept(quota, link, from, incarnation, &loan,
				       &granted))
			continue;
		if (link->message.ahead != 0) {
			quota_delegate_reply(quota, bucket, link, &loan);
		} else {
			bucket->lent_total += granted;
			bucket->lent_level += granted;
		}
		quota->stats.borrowed_micro +=
			quota_min(granted, reply->filled);
		break;
	}
	quota_bucket_check(bucket);
	if (!bucket->main && !round_open(bucket))
		quota_borrow(quota, bucket);
}

/* Reports released loans, and returns lent tokens that nobody waits for. Only
 * the loan that ends first may shrink: later ones cover what was granted on. */
static void report(quota_t *quota, quota_bucket_t *bucket, quota_link_t *link)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t returned = 0;

	if (wanted(bucket, now) <= 0 && bucket->lent_level > 0 &&
	    earliest_loan(bucket) == link) {
		returned = quota_min(bucket->lent_level,
				     link->lots.items[0].amount);
		returned = quota_link_return(link, returned);
		bucket->lent_level -= returned;
		bucket->lent_total -= returned;
		quota->stats.returned_micro += returned;
	}
	quota_link_send(quota, bucket->customer, link, 0, 0, returned);
}

/* When nobody is expected to ask for the lent tokens. */
static int64_t idle_at(const quota_bucket_t *bucket)
{
	if (bucket->lent_level == 0 || bucket->main)
		return QUOTA_NEVER;
	return bucket->asked_us + IDLE_TIME;
}

static void tick_link(quota_t *quota, quota_bucket_t *bucket,
		      quota_link_t *link, int64_t now)
{
	if (link->in_flight && !quota_link_resend(quota, link, ROUND_GIVE_UP))
		link->wait_until_us = now + SILENT_LENDER_WAIT;
	if (bucket->main)
		return;
	if (now >= quota_link_report_at(link) ||
	    (now >= idle_at(bucket) && earliest_loan(bucket) == link))
		report(quota, bucket, link);
}

void quota_borrow_tick(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (!bucket->main)
		release_slack(bucket);
	for (size_t i = 0; i < bucket->lender_count; i++)
		tick_link(quota, bucket, &bucket->lenders[i], now);
	quota_borrow(quota, bucket);
}

int64_t quota_borrow_due(const quota_bucket_t *bucket)
{
	int64_t due = idle_at(bucket);

	for (size_t i = 0; i < bucket->lender_count; i++)
		due = quota_min(due, quota_link_due(&bucket->lenders[i]));
	return due;
}
