/*
 * Admission within a tolerance. Every daemon adds the same part of the tokens
 * of a customer, whatever the others do, so the parts never add up to more
 * than the customer's limit with the tolerance, and a daemon serves at once
 * after a start. A daemon that runs short takes tokens over from others, the
 * nearest first; a lost reply only loses tokens.
 */
#include "quota_internal.h"

/* A lender keeps what it expects to use itself in this time, and a borrower
 * asks for as much, so that it asks a few times a second at most. */
#define KEEP_TIME (500 * CAS_USEC_PER_MSEC)
/* Tokens taken over are of no use to others; what is not used is dropped. */
#define BORROWED_LIFE CAS_USEC_PER_SEC
/* A lender that has not answered by then is not waited for. */
#define ROUND_TIMEOUT (60 * CAS_USEC_PER_MSEC)
/* No lender had tokens: later rounds are put off, longer each time. */
#define BACKOFF_MIN (250 * CAS_USEC_PER_MSEC)
#define BACKOFF_MAX (2 * CAS_USEC_PER_SEC)
#define LENDERS_NEAR 8 /* asked at once in the own data centre or region */
#define LENDERS_FAR 4 /* and beyond it */
/* Part of the burst that is divided; the rest covers tokens taken over and not
 * yet used. */
#define BURST_PERCENT 90
/* Hosts that left the list may still run; they count for this time. */
#define HOSTS_KEEP (10 * CAS_USEC_PER_SEC)

enum pool_tier {
	POOL_OWN_DC,
	POOL_OWN_REGION,
	POOL_ANYWHERE,
	POOL_TIERS,
};

/* Follows the number of hosts up at once and down after HOSTS_KEEP. */
static int64_t count_hosts(quota_t *quota)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t listed = 0;

	for (size_t i = 0; i < quota->view->dc_count; i++)
		listed += (int64_t)quota->view->dcs[i].host_count;
	if (quota->view->self_dc == quota->view->dc_count)
		listed++;
	if (listed >= quota->hosts || now >= quota->hosts_until_us) {
		quota->hosts = listed;
		quota->hosts_until_us = now + HOSTS_KEEP;
	}
	return quota_max(quota->hosts, 1);
}

static int64_t with_tolerance(const quota_t *quota, int64_t amount)
{
	return amount +
	       (int64_t)((double)amount * (double)quota->tolerance.over_micro /
			 QUOTA_TOKEN);
}

void quota_pool_place(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t hosts = count_hosts(quota);
	int64_t burst = with_tolerance(quota, customer->burst) +
			quota->tolerance.slack_micro;

	if (!pool->touched_us)
		pool->touched_us = cas_clock_now(quota->clock);
	pool->rate = with_tolerance(quota, customer->rate) / hosts;
	pool->burst = burst / hosts / 100 * BURST_PERCENT;
	pool->level = quota_min(pool->level, pool->burst);
}

static void touch(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	double added = (double)pool->rate * (double)(now - pool->touched_us) /
		       CAS_USEC_PER_SEC;

	pool->touched_us = now;
	if (added >= (double)(pool->burst - pool->level))
		pool->level = pool->burst;
	else
		pool->level += (int64_t)added;
	if (pool->borrowed && now >= pool->borrowed_until_us) {
		quota->stats.expired_micro += pool->borrowed;
		pool->borrowed = 0;
	}
}

/* Borrowed tokens go first, because they expire. */
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

/* Tokens that this daemon is likely to use soon. */
static int64_t forecast(const quota_customer_t *customer, int64_t now)
{
	return (int64_t)(quota_demand(customer, now) * (double)KEEP_TIME /
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

/* Chooses hosts of a tier at random, all of them equally likely. */
static size_t pick_lenders(quota_t *quota, enum pool_tier tier,
			   cas_id_t *picked)
{
	const quota_view_t *view = quota->view;
	size_t most = tier == POOL_ANYWHERE ? LENDERS_FAR : LENDERS_NEAR;
	size_t seen = 0;

	for (size_t i = 0; i < view->dc_count; i++) {
		const quota_dc_t *dc = &view->dcs[i];

		if (tier_of(view, dc) != tier)
			continue;
		for (size_t j = 0; j < dc->live_count; j++) {
			size_t at = seen;

			if (dc->live[j] == quota->self)
				continue;
			if (seen >= most)
				at = cas_rng_below(quota->rng,
						   (uint32_t)seen + 1);
			if (at < most)
				picked[at] = dc->live[j];
			seen++;
		}
	}
	return seen < most ? seen : most;
}

/* What waits here and what is expected to come. */
static int64_t missing(const quota_customer_t *customer, int64_t now)
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
	/* Some lenders have little, so each is asked for twice its part. */
	int64_t need = missing(customer, now) * 2 / (int64_t)(count + 1);
	quota_ask ask = {
		.customer = customer->id,
		.slots = QUOTA_FROM_DAEMON << 16 | QUOTA_FROM_DAEMON,
		.need = need,
	};

	pool->first_sequence = quota->sequence + 1;
	pool->unanswered = count;
	pool->timeout_us = now + ROUND_TIMEOUT;
	for (size_t i = 0; i < count; i++) {
		ask.sequence = ++quota->sequence;
		quota->stats.asks_sent++;
		quota->ops->send_ask(quota->private_data, lenders[i], &ask);
	}
}

static void refuse_all(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	pool->backoff_us =
		quota_clamp(pool->backoff_us * 2, BACKOFF_MIN, BACKOFF_MAX);
	pool->next_round_us = now + pool->backoff_us;
	while (customer->first) {
		quota->stats.refused++;
		quota_pending_finish(customer->first, QUOTA_REFUSED,
				     quota_pool_retry_after(customer, now));
	}
}

static void serve_pending(quota_t *quota, quota_customer_t *customer)
{
	touch(quota, customer);
	while (customer->first && take_token(quota, customer)) {
		customer->pool.backoff_us = 0;
		quota_pending_finish(customer->first, QUOTA_GRANTED, 0);
	}
}

/* Asks the next tier that has hosts; without one the round has failed. */
static void go_on(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	cas_id_t lenders[LENDERS_NEAR];

	pool->unanswered = 0;
	while (customer->pending_count && pool->tier < POOL_TIERS) {
		size_t count = pick_lenders(quota, pool->tier++, lenders);

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
	double one = (double)(QUOTA_TOKEN - pool->level) * CAS_USEC_PER_SEC /
		     (double)quota_max(pool->rate, 1);

	return quota_clamp(quota_max(pool->next_round_us - now, (int64_t)one),
			   BACKOFF_MIN, BACKOFF_MAX);
}

quota_verdict_t quota_pool_acquire(quota_t *quota, quota_customer_t *customer,
				   int64_t give_up_us,
				   quota_pending_t **pending)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	touch(quota, customer);
	quota_note_demand(customer, now);
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

	touch(quota, customer);
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
	int64_t most = with_tolerance(quota, customer->burst) +
		       quota->tolerance.slack_micro;

	touch(quota, customer);
	if (reply->granted > 0) {
		int64_t granted =
			quota_min(reply->granted, most - pool->borrowed);

		pool->borrowed += quota_max(granted, 0);
		pool->borrowed_until_us = now + BORROWED_LIFE;
		quota->stats.borrowed_micro += granted;
	}
	serve_pending(quota, customer);
	if (!pool->unanswered ||
	    (int32_t)(reply->sequence - pool->first_sequence) < 0)
		return;
	if (--pool->unanswered == 0 || !customer->pending_count)
		go_on(quota, customer);
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
			pool->tier = POOL_OWN_DC;
		pool->start_round = false;
		go_on(quota, customer);
	}
}

int64_t quota_pool_due(const quota_customer_t *customer)
{
	const quota_pool_t *pool = &customer->pool;

	if (pool->start_round)
		return 0;
	return pool->unanswered ? pool->timeout_us : QUOTA_NEVER;
}
