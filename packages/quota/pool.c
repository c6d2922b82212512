/*
 * Admission within a tolerance. Every daemon adds the same part of the tokens
 * of a customer, whatever the others do. The parts therefore never add up to
 * more than the customer's limit plus the tolerance, and a daemon can admit
 * requests right after its start. A daemon that runs short borrows tokens from
 * others, the nearest first. Borrowed tokens are not paid back, and a lost
 * reply loses the tokens in it.
 */
#include "quota_internal.h"

/* A lender keeps what it expects to use itself in this time, and a borrower
 * asks for its need in it, so that it asks a few times a second at most. */
#define RESERVE_TIME_US (500 * CAS_USEC_PER_MSEC)
/* Borrowed tokens are not lent again; those unused after this time are
 * dropped. */
#define BORROWED_LIFE_US CAS_USEC_PER_SEC
/* Lenders that have not answered after this time are not waited for. */
#define ROUND_TIMEOUT_US (60 * CAS_USEC_PER_MSEC)
/* Time to the next round after one in which the lenders had too few tokens,
 * doubled each time. */
#define BACKOFF_MIN_US (250 * CAS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * CAS_USEC_PER_SEC)
#define NEAR_LENDERS_MAX 8 /* asked at once in the own data centre or region */
#define FAR_LENDERS_MAX 4 /* asked at once in other regions */
/* Part of the burst that is divided among the daemons. The rest covers borrowed
 * tokens that are not yet used. */
#define BURST_PERCENT 90
/* Hosts that were removed from the host list may still run, and are counted for
 * this time. */
#define HOST_COUNT_HOLD_TIME_US (10 * CAS_USEC_PER_SEC)

enum pool_tier {
	POOL_OWN_DC,
	POOL_OWN_REGION,
	POOL_ANYWHERE,
	POOL_TIERS,
};

/* Returns the number of hosts among which tokens are divided. It rises at once
 * with the host list, and falls only after HOST_COUNT_HOLD_TIME_US. */
static int64_t count_hosts(quota_t *quota)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t listed = 0;

	for (size_t i = 0; i < quota->view->dc_count; i++)
		listed += (int64_t)quota->view->dcs[i].host_count;
	if (quota->view->self_dc == quota->view->dc_count)
		listed++;
	if (listed >= quota->pool_hosts || now >= quota->pool_hosts_until_us) {
		quota->pool_hosts = listed;
		quota->pool_hosts_until_us = now + HOST_COUNT_HOLD_TIME_US;
	}
	return quota_max(quota->pool_hosts, 1);
}

/* Returns the amount plus the relative part of the tolerance. */
static int64_t plus_tolerance(const quota_t *quota, int64_t amount)
{
	return amount +
	       (int64_t)((double)amount * (double)quota->tolerance.over_micro /
			 QUOTA_TOKEN);
}

void quota_pool_update_share(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t hosts = count_hosts(quota);
	int64_t burst = plus_tolerance(quota, customer->burst) +
			quota->tolerance.slack_micro;

	if (!pool->updated_us)
		pool->updated_us = cas_clock_now(quota->clock);
	pool->rate = plus_tolerance(quota, customer->rate) / hosts;
	pool->burst = burst / hosts / 100 * BURST_PERCENT;
	pool->level = quota_min(pool->level, pool->burst);
}

/* Adds the tokens since the last call and drops expired borrowed ones. */
static void refill(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	double added = (double)pool->rate * (double)(now - pool->updated_us) /
		       CAS_USEC_PER_SEC;

	pool->updated_us = now;
	if (added >= (double)(pool->burst - pool->level))
		pool->level = pool->burst;
	else
		pool->level += (int64_t)added;
	if (pool->borrowed && now >= pool->borrowed_until_us) {
		quota->stats.expired_micro += pool->borrowed;
		pool->borrowed = 0;
	}
}

/* Takes borrowed tokens first, because they expire. */
static bool take_token(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t from_borrowed = quota_min(pool->borrowed, QUOTA_TOKEN);

	if (pool->level + pool->borrowed < QUOTA_TOKEN)
		return false;
	pool->borrowed -= from_borrowed;
	pool->level -= QUOTA_TOKEN - from_borrowed;
	quota->stats.granted++;
	return true;
}

/* Returns the tokens that this daemon will probably use in RESERVE_TIME_US. */
static int64_t forecast(const quota_customer_t *customer, int64_t now)
{
	return (int64_t)(quota_demand(customer, now) * (double)RESERVE_TIME_US /
			 CAS_USEC_PER_SEC * (double)QUOTA_TOKEN);
}

static enum pool_tier tier_of(const quota_view_t *view, const quota_dc_t *dc)
{
	const quota_dc_t *own = &view->dcs[view->self_dc];

	if (view->self_dc == view->dc_count)
		return POOL_ANYWHERE;
	if (dc == own)
		return POOL_OWN_DC;
	return dc->region_id == own->region_id ? POOL_OWN_REGION
					       : POOL_ANYWHERE;
}

/* Picks hosts of a tier at random, each with the same probability (reservoir
 * sampling). Returns their number. */
static size_t pick_lenders(quota_t *quota, enum pool_tier tier,
			   cas_id_t *picked)
{
	const quota_view_t *view = quota->view;
	size_t limit =
		tier == POOL_ANYWHERE ? FAR_LENDERS_MAX : NEAR_LENDERS_MAX;
	size_t seen = 0;

	for (size_t i = 0; i < view->dc_count; i++) {
		const quota_dc_t *dc = &view->dcs[i];

		if (tier_of(view, dc) != tier)
			continue;
		for (size_t j = 0; j < dc->live_count; j++) {
			size_t index = seen;

			if (dc->live_hosts[j] == quota->self)
				continue;
			if (seen >= limit)
				index = cas_rng_below(quota->rng,
						      (uint32_t)seen + 1);
			if (index < limit)
				picked[index] = dc->live_hosts[j];
			seen++;
		}
	}
	return seen < limit ? seen : limit;
}

/* Returns the tokens that pending and expected requests lack. */
static int64_t shortfall(const quota_customer_t *customer, int64_t now)
{
	const quota_pool_t *pool = &customer->pool;

	return (int64_t)customer->pending_count * QUOTA_TOKEN +
	       forecast(customer, now) - pool->level - pool->borrowed;
}

static void ask_lenders(quota_t *quota, quota_customer_t *customer,
			const cas_id_t *lenders, size_t count)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	/* Some lenders have few tokens, so each is asked for up to twice
	 * its part. */
	int64_t need = shortfall(customer, now) * 2 / (int64_t)(count + 1);
	quota_ask ask = {
		.customer = customer->id,
		.slots = QUOTA_FROM_DAEMON << 16 | QUOTA_FROM_DAEMON,
		.need = need,
	};

	pool->first_sequence = quota->last_sequence + 1;
	pool->unanswered = count;
	pool->timeout_us = now + ROUND_TIMEOUT_US;
	for (size_t i = 0; i < count; i++) {
		ask.sequence = ++quota->last_sequence;
		quota->stats.asks_sent++;
		quota->ops->send_ask(quota->private_data, lenders[i], &ask);
	}
}

/* Refuses all pending requests after a failed round; doubles the backoff. */
static void refuse_all(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	pool->backoff_us = quota_clamp(pool->backoff_us * 2, BACKOFF_MIN_US,
				       BACKOFF_MAX_US);
	pool->next_round_us = now + pool->backoff_us;
	while (customer->first_pending) {
		quota->stats.refused++;
		quota_pending_finish(customer->first_pending, QUOTA_REFUSED,
				     quota_pool_retry_after(customer, now));
	}
}

static void serve_pending(quota_t *quota, quota_customer_t *customer)
{
	refill(quota, customer);
	while (customer->first_pending && take_token(quota, customer)) {
		customer->pool.backoff_us = 0;
		quota_pending_finish(customer->first_pending, QUOTA_GRANTED, 0);
	}
}

/* Asks the next tier that has hosts. After the last tier the round fails. */
static void ask_next_tier(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	cas_id_t lenders[NEAR_LENDERS_MAX];

	pool->unanswered = 0;
	while (customer->pending_count && pool->next_tier < POOL_TIERS) {
		size_t count = pick_lenders(quota, pool->next_tier++, lenders);

		if (!count)
			continue;
		ask_lenders(quota, customer, lenders, count);
		return;
	}
	if (customer->pending_count)
		refuse_all(quota, customer);
}

int64_t quota_pool_retry_after(const quota_customer_t *customer, int64_t now)
{
	const quota_pool_t *pool = &customer->pool;
	double token_time = (double)(QUOTA_TOKEN - pool->level) *
			    CAS_USEC_PER_SEC / (double)quota_max(pool->rate, 1);

	return quota_clamp(
		quota_max(pool->next_round_us - now, (int64_t)token_time),
		BACKOFF_MIN_US, BACKOFF_MAX_US);
}

quota_result_t quota_pool_acquire(quota_t *quota, quota_customer_t *customer,
				  int64_t give_up_us, quota_pending_t **pending)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	refill(quota, customer);
	quota_record_demand(customer, now);
	if (!customer->pending_count && take_token(quota, customer))
		return QUOTA_GRANTED;
	if (now < pool->next_round_us)
		return QUOTA_REFUSED;
	*pending = quota_pending_add(quota, customer, give_up_us);
	if (!*pending)
		return QUOTA_REFUSED;
	if (customer->pending_count == 1 && !pool->unanswered)
		pool->start_round = true;
	return QUOTA_PENDING;
}

void quota_pool_on_ask(quota_t *quota, quota_customer_t *customer,
		       const quota_ask *ask, quota_reply *reply)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	int64_t spare;

	refill(quota, customer);
	spare = pool->level - forecast(customer, now) -
		(int64_t)customer->pending_count * QUOTA_TOKEN;
	reply->granted = quota_clamp(spare, 0, ask->need);
	reply->filled = reply->granted;
	pool->level -= reply->granted;
	quota->stats.lent_micro += reply->granted;
}

void quota_pool_on_reply(quota_t *quota, quota_customer_t *customer,
			 const quota_reply *reply)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	int64_t limit = plus_tolerance(quota, customer->burst) +
			quota->tolerance.slack_micro;

	refill(quota, customer);
	if (reply->granted > 0) {
		int64_t granted =
			quota_min(reply->granted, limit - pool->borrowed);

		pool->borrowed += quota_max(granted, 0);
		pool->borrowed_until_us = now + BORROWED_LIFE_US;
		quota->stats.borrowed_micro += granted;
	}
	serve_pending(quota, customer);
	if (!pool->unanswered ||
	    (int32_t)(reply->sequence - pool->first_sequence) < 0)
		return;
	if (--pool->unanswered == 0 || !customer->pending_count)
		ask_next_tier(quota, customer);
}

void quota_pool_tick(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	if (!customer->pending_count && !pool->unanswered)
		return;
	serve_pending(quota, customer);
	if (pool->start_round ||
	    (pool->unanswered && now >= pool->timeout_us)) {
		if (pool->start_round)
			pool->next_tier = POOL_OWN_DC;
		pool->start_round = false;
		ask_next_tier(quota, customer);
	}
}

int64_t quota_pool_due(const quota_customer_t *customer)
{
	const quota_pool_t *pool = &customer->pool;

	if (pool->start_round)
		return 0;
	return pool->unanswered ? pool->timeout_us : QUOTA_NEVER;
}
