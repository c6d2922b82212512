/* Loans between holders, on the borrower's side. */
#include "quota_internal.h"

#include <stdlib.h>

#define LENDERS_PER_ROUND 8
#define LOANS_MAX 128 /* further loans are not counted as cover */
/* An ask is given up when the lender has not answered for this time. */
#define LENDER_TIMEOUT_US (100 * CAS_USEC_PER_MSEC)
/* A holder that lacks tokens also borrows what it expects to need in this
 * time. */
#define BORROW_HORIZON_US (100 * CAS_USEC_PER_MSEC)
/* Borrowed tokens are returned after this time without an ask from a daemon. */
#define IDLE_TIME_US (200 * CAS_USEC_PER_MSEC)
/* A lender that did not answer is not asked again for this time. */
#define SILENT_LENDER_BACKOFF_US CAS_USEC_PER_SEC

static uint32_t distance_of(const quota_view_t *view, size_t dc)
{
	if (dc == view->self_dc)
		return 0;
	return view->dcs[dc].region_id == view->dcs[view->self_dc].region_id
		       ? 1
		       : 2;
}

/* Keeps the loans of a lender also when its bucket moves to another host. */
static void update_lender(quota_bucket_t *bucket, quota_link_t *link,
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

int quota_borrow_update_lenders(quota_t *quota, quota_bucket_t *bucket)
{
	const quota_view_t *view = quota->view;
	const quota_customer_t *customer = bucket->customer;
	size_t index = 0;

	if (grow_lenders(bucket, customer->holder_count))
		return QUOTA_ENOMEM;
	for (size_t dc = 0; dc < view->dc_count; dc++) {
		for (uint32_t slot = 0; slot < customer->slot_counts[dc];
		     slot++) {
			cas_id_t holder = customer->holders[index];

			if (dc == view->self_dc && slot == bucket->slot)
				holder = 0;
			update_lender(bucket, &bucket->lenders[index++], holder,
				      distance_of(view, dc), slot);
		}
	}
	while (index < bucket->lender_count)
		update_lender(bucket, &bucket->lenders[index++], 0, 2, 0);
	return QUOTA_OK;
}

void quota_borrow_expire(quota_t *quota, quota_bucket_t *bucket, int64_t now)
{
	int64_t amount = 0;

	for (size_t i = 0; i < bucket->lender_count; i++)
		amount += quota_grant_list_expire(&bucket->lenders[i].grants,
						  now, NULL);
	if (amount == 0)
		return;
	bucket->borrowed_total -= amount;
	amount = bucket->borrowed_level;
	bucket->borrowed_level = quota_clamp(
		bucket->borrowed_total - bucket->outstanding_borrowed, 0,
		amount);
	quota->stats.expired_micro += amount - bucket->borrowed_level;
}

static int compare_expiry_descending(const void *a, const void *b)
{
	const quota_grant_t *x = a;
	const quota_grant_t *y = b;

	return (x->expires_us < y->expires_us) -
	       (x->expires_us > y->expires_us);
}

/* The borrowed tokens that are outstanding, and the new amount, have to be
 * covered by loans that expire no sooner, so that tokens granted to an asker
 * never outlive the loan that they come from. */
int64_t quota_borrow_expiry(const quota_bucket_t *bucket, int64_t amount)
{
	quota_grant_t loans[LOANS_MAX];
	int64_t covered = 0;
	size_t count = 0;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		const quota_grant_list_t *grants = &bucket->lenders[i].grants;

		for (size_t j = 0; j < grants->count && count < LOANS_MAX; j++)
			loans[count++] = grants->items[j];
	}
	qsort(loans, count, sizeof(loans[0]), compare_expiry_descending);
	for (size_t i = 0; i < count; i++) {
		covered += loans[i].amount;
		if (covered >= bucket->outstanding_borrowed + amount)
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

/* Returns the lender link with the loan that expires first, or NULL. */
static quota_link_t *link_of_earliest_loan(quota_bucket_t *bucket)
{
	quota_link_t *best = NULL;

	for (size_t i = 0; i < bucket->lender_count; i++) {
		quota_link_t *link = &bucket->lenders[i];

		if (link->grants.count > 0 &&
		    (!best || link->grants.items[0].expires_us <
				      best->grants.items[0].expires_us))
			best = link;
	}
	return best;
}

/* Drops the part of the loans whose tokens were used, earliest expiry first.
 * The lenders learn of it from the next ask. */
static void release_excess_loans(quota_bucket_t *bucket)
{
	int64_t excess = bucket->borrowed_total - bucket->borrowed_level -
			 bucket->outstanding_borrowed;

	while (excess > 0) {
		quota_link_t *link = link_of_earliest_loan(bucket);
		int64_t part = quota_min(excess, link->grants.items[0].amount);

		quota_grant_list_take(&link->grants, part, NULL);
		bucket->borrowed_total -= part;
		excess -= part;
	}
}

static int64_t usable_tokens(const quota_bucket_t *bucket)
{
	return bucket->borrowed_level +
	       (bucket->state == QUOTA_ADDING ? bucket->level : 0);
}

/* Returns the tokens to borrow: those that daemons wait for and, if there are
 * any, those that will probably be needed beyond the own rate. */
static int64_t wanted_loans(const quota_bucket_t *bucket, int64_t now)
{
	int64_t unmet = quota_bucket_unmet(bucket, now);
	double excess_rate = bucket->need_rate - (double)bucket->rate;
	int64_t ahead = 0;

	if (unmet == 0)
		return 0;
	ahead = (int64_t)(excess_rate * (double)BORROW_HORIZON_US /
			  CAS_USEC_PER_SEC);
	if (ahead >= QUOTA_TOKEN)
		unmet += ahead;
	return unmet - usable_tokens(bucket);
}

/* Picks up to LENDERS_PER_ROUND of the nearest lenders that may be asked
 * now. Returns their number. */
static size_t pick_lenders(quota_bucket_t *bucket, int64_t now,
			   quota_link_t **picked)
{
	size_t count = 0;

	for (uint32_t distance = 0; distance <= 2; distance++) {
		for (size_t i = 0; i < bucket->lender_count; i++) {
			quota_link_t *link = &bucket->lenders[i];

			if (count == LENDERS_PER_ROUND)
				return count;
			if (link->to == 0 || link->distance != distance ||
			    link->in_flight || now < link->wait_until_us ||
			    link->grants.count + 1 >= QUOTA_GRANTS_MAX)
				continue;
			picked[count++] = link;
		}
	}
	return count;
}

/* Returns whether an ask for a loan is in flight. */
static bool round_in_progress(const quota_bucket_t *bucket)
{
	for (size_t i = 0; i < bucket->lender_count; i++) {
		if (bucket->lenders[i].in_flight &&
		    bucket->lenders[i].last_ask.need > 0)
			return true;
	}
	return false;
}

void quota_borrow_ask_lenders(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t need = wanted_loans(bucket, now);
	quota_link_t *picked[LENDERS_PER_ROUND];
	size_t count = 0;

	if (bucket->is_main) {
		quota_delegate_tick(quota, bucket);
		return;
	}
	if (need <= 0 || now < bucket->next_round_us ||
	    round_in_progress(bucket) || bucket->state == QUOTA_RETIRED ||
	    now < bucket->delegated_until_us)
		return;
	count = pick_lenders(bucket, now, picked);
	if (count == 0)
		return;
	bucket->next_round_us = now + QUOTA_RESEND_PERIOD_US;
	release_excess_loans(bucket);
	for (size_t i = 0; i < count; i++)
		quota_link_send(quota, bucket->customer, picked[i],
				need * 2 / (int64_t)(count + 1), 0, 0);
}

/* Returns the most that the other holders can lend: the burst of the customer
 * without the own share and without earlier loans. A delegated share replaces
 * its earlier delegation, which therefore does not count. */
static int64_t loan_limit(const quota_bucket_t *bucket,
			  const quota_link_t *link)
{
	int64_t limit = bucket->customer->burst - bucket->burst -
			bucket->borrowed_total;

	if (link->last_ask.ahead != 0)
		limit += quota_grant_list_total(&link->grants);
	return quota_max(limit, 0);
}

void quota_borrow_on_reply(quota_t *quota, quota_bucket_t *bucket,
			   cas_id_t from, uint64_t incarnation,
			   const quota_reply *reply)
{
	uint16_t to_slot = (uint16_t)(reply->slots & 0xffff);
	quota_reply loan = *reply;
	int64_t granted = 0;

	quota_bucket_update(quota, bucket);
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
		if (link->last_ask.ahead != 0) {
			quota_delegate_on_reply(quota, bucket, link, &loan);
		} else {
			bucket->borrowed_total += granted;
			bucket->borrowed_level += granted;
		}
		quota->stats.borrowed_micro +=
			quota_min(granted, reply->filled);
		break;
	}
	quota_bucket_check(bucket);
	if (!bucket->is_main && !round_in_progress(bucket))
		quota_borrow_ask_lenders(quota, bucket);
}

/* Reports released loans to a lender, and returns borrowed tokens that nobody
 * waits for. Only the loan that expires first may shrink: the later ones cover
 * outstanding tokens. */
static void report_use(quota_t *quota, quota_bucket_t *bucket,
		       quota_link_t *link)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t returned = 0;

	if (wanted_loans(bucket, now) <= 0 && bucket->borrowed_level > 0 &&
	    link_of_earliest_loan(bucket) == link) {
		returned = quota_min(bucket->borrowed_level,
				     link->grants.items[0].amount);
		returned = quota_link_return(link, returned);
		bucket->borrowed_level -= returned;
		bucket->borrowed_total -= returned;
		quota->stats.returned_micro += returned;
	}
	quota_link_send(quota, bucket->customer, link, 0, 0, returned);
}

/* Returns when daemons are no longer expected to ask for borrowed tokens. */
static int64_t idle_at(const quota_bucket_t *bucket)
{
	if (bucket->borrowed_level == 0 || bucket->is_main)
		return QUOTA_NEVER;
	return bucket->last_daemon_ask_us + IDLE_TIME_US;
}

static void tick_link(quota_t *quota, quota_bucket_t *bucket,
		      quota_link_t *link, int64_t now)
{
	if (link->in_flight &&
	    !quota_link_resend(quota, link, LENDER_TIMEOUT_US))
		link->wait_until_us = now + SILENT_LENDER_BACKOFF_US;
	if (bucket->is_main)
		return;
	if (now >= quota_link_report_due(link) ||
	    (now >= idle_at(bucket) && link_of_earliest_loan(bucket) == link))
		report_use(quota, bucket, link);
}

void quota_borrow_tick(quota_t *quota, quota_bucket_t *bucket)
{
	int64_t now = cas_clock_now(quota->clock);

	if (!bucket->is_main)
		release_excess_loans(bucket);
	for (size_t i = 0; i < bucket->lender_count; i++)
		tick_link(quota, bucket, &bucket->lenders[i], now);
	quota_borrow_ask_lenders(quota, bucket);
}

int64_t quota_borrow_due(const quota_bucket_t *bucket)
{
	int64_t due = idle_at(bucket);

	for (size_t i = 0; i < bucket->lender_count; i++)
		due = quota_min(due, quota_link_due(&bucket->lenders[i]));
	return due;
}
