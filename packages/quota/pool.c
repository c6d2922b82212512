/*
 * Admission within a tolerance. The keepers of a customer each add the same part
 * of its tokens, whatever the others do. The parts therefore never add up to
 * more than the customer's limit plus the tolerance, and no daemon needs to
 * remember anything from before its start. A daemon that runs short borrows
 * tokens from the keepers, the nearest first. Borrowed tokens are not paid back,
 * and a lost reply loses the tokens in it.
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
/* A round that fails is repeated once after this time, unless the one before it
 * failed as well: the keepers add tokens meanwhile, and a caller that waits is
 * better off than one that is refused. */
#define REPEAT_DELAY_US (50 * CAS_USEC_PER_MSEC)
/* Time to the next round after one in which the lenders had too few tokens,
 * doubled each time. */
#define BACKOFF_MIN_US (250 * CAS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * CAS_USEC_PER_SEC)
/* Part of the tokens beyond the rate that is divided among the keepers. The rest
 * covers borrowed tokens that are not yet used. */
#define DIVIDED_PERCENT 90
/* Keepers that are no longer in the host list may still run, and are counted for
 * this time. */
#define DIVISOR_HOLD_TIME_US (10 * CAS_USEC_PER_SEC)
/* A daemon that becomes a keeper by a new host list adds no tokens for this
 * time, in which the list reaches the one that it replaces. One that it does not
 * reach is out of touch with the others, and lends them nothing. */
#define NEW_KEEPER_WAIT_US (3 * CAS_USEC_PER_SEC)

/* Chooses the keepers and the number among which the tokens are divided. After a
 * change of the host list, the keepers by the older one may go on for a while: a
 * new keeper waits, and the number falls only after DIVISOR_HOLD_TIME_US. After a
 * change of the customer's burst, on which their number depends, the keepers
 * before add tokens by the limit before, so there is nothing to wait for. */
static void update_keepers(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	bool same_burst = pool->keepers_burst == customer->burst;
	bool was_keeper = pool->keepers.is_self;
	int64_t total;

	quota_keepers_assign(quota->view, quota->self, customer,
			     &pool->keepers);
	pool->keepers_burst = customer->burst;
	if (same_burst && !was_keeper && pool->keepers.is_self)
		pool->adds_from_us = now + NEW_KEEPER_WAIT_US;
	total = quota_max((int64_t)pool->keepers.total, 1);
	if (same_burst && total < pool->divisor && now < pool->divisor_until_us)
		return;
	pool->divisor = total;
	pool->divisor_until_us = now + DIVISOR_HOLD_TIME_US;
}

/* Returns the amount plus the relative part of the tolerance. */
static int64_t plus_tolerance(const quota_t *quota, int64_t amount)
{
	return amount +
	       (int64_t)((double)amount * (double)quota->tolerance.over_micro /
			 QUOTA_TOKEN);
}

/*
 * In each window, a bucket admits at most its burst and what its rate adds. Of
 * the tokens that the window allows beyond the rate, the burst gets those of
 * the customer, and the rest goes to the rate: spread over the daemons, a larger
 * burst is mostly held by those that get no requests, and lost there.
 */
void quota_pool_update_share(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t beyond_rate = (plus_tolerance(quota, customer->burst) +
			       quota->tolerance.slack_micro) /
			      100 * DIVIDED_PERCENT;
	int64_t burst = quota_min(customer->burst, beyond_rate);
	double windows_per_s =
		CAS_USEC_PER_SEC / (double)quota->tolerance.window_us;
	int64_t rate = plus_tolerance(quota, customer->rate) +
		       (int64_t)((double)(beyond_rate - burst) * windows_per_s);

	update_keepers(quota, customer);
	if (!pool->updated_us)
		pool->updated_us = cas_clock_now(quota->clock);
	if (!pool->keepers.is_self)
		rate = burst = 0;
	pool->rate = rate / pool->divisor;
	pool->burst = burst / pool->divisor;
	pool->level = quota_min(pool->level, pool->burst);
}

/* Adds the tokens since the last call and drops expired borrowed ones. */
static void refill(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);
	int64_t since = quota_max(pool->updated_us, pool->adds_from_us);
	double added = (double)pool->rate * (double)quota_max(now - since, 0) /
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

/* Returns the tokens for the requests that this daemon expects in
 * RESERVE_TIME_US, without parts of a token. */
static int64_t forecast(const quota_customer_t *customer, int64_t now)
{
	return (int64_t)(quota_demand(customer, now) * (double)RESERVE_TIME_US /
			 CAS_USEC_PER_SEC) *
	       QUOTA_TOKEN;
}

/* Returns the tokens that pending and expected requests lack. */
static int64_t shortfall(const quota_customer_t *customer, int64_t now)
{
	const quota_pool_t *pool = &customer->pool;

	return (int64_t)customer->pending_count * QUOTA_TOKEN +
	       forecast(customer, now) - pool->level - pool->borrowed;
}

/* Returns the keeper that a round asks after those that it has asked. The own
 * region comes first; inside, the order is rotated. */
static cas_id_t next_keeper(const quota_pool_t *pool)
{
	const quota_keepers_t *keepers = &pool->keepers;
	bool near = pool->asked < keepers->near_count;
	size_t first = near ? 0 : keepers->near_count;
	size_t count = near ? keepers->near_count
			    : keepers->count - keepers->near_count;

	return keepers
		->hosts[first + (pool->asked - first + pool->rotation) % count];
}

/* Asks the next keepers of the round, not those of the own region and others at
 * once. Each is asked for an equal part of what is lacking, in whole tokens. */
static void ask_keepers(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	const quota_keepers_t *keepers = &pool->keepers;
	int64_t now = cas_clock_now(quota->clock);
	int64_t lacking =
		(shortfall(customer, now) + QUOTA_TOKEN - 1) / QUOTA_TOKEN;
	size_t end = pool->asked < keepers->near_count ? keepers->near_count
						       : keepers->count;
	int64_t count =
		quota_clamp(quota_max(lacking, (int64_t)pool->step_count), 1,
			    (int64_t)(end - pool->asked));
	quota_ask ask = {
		.customer = customer->id,
		.slots = (uint32_t)QUOTA_FROM_DAEMON << 16 | QUOTA_FROM_DAEMON,
		.need = (lacking + count - 1) / count * QUOTA_TOKEN,
	};

	pool->step_count *= 2;
	pool->first_sequence = quota->last_sequence + 1;
	pool->unanswered = (size_t)count;
	pool->timeout_us = now + ROUND_TIMEOUT_US;
	for (; count > 0; count--) {
		cas_id_t keeper = next_keeper(pool);

		pool->asked++;
		ask.sequence = ++quota->last_sequence;
		quota->stats.asks_sent++;
		quota->ops->send_ask(quota->private_data, keeper, &ask);
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
	pool->repeat_us = 0;
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

/* Goes on with the round. It fails when all keepers were asked. */
static void continue_round(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;

	pool->unanswered = 0;
	if (!customer->pending_count)
		pool->repeat_us = 0;
	else if (pool->asked < pool->keepers.count)
		ask_keepers(quota, customer);
	else if (pool->backoff_us || pool->repeat_us)
		refuse_all(quota, customer);
	else
		pool->repeat_us = cas_clock_now(quota->clock) + REPEAT_DELAY_US;
}

static void start_round(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;

	pool->rotation = cas_rng_below(quota->rng, QUOTA_KEEPERS_MAX);
	pool->asked = 0;
	pool->step_count = 1;
	continue_round(quota, customer);
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
	if (customer->pending_count == 1 && !pool->unanswered &&
	    !pool->repeat_us)
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
	reply->granted =
		quota_clamp(spare, 0, ask->need) / QUOTA_TOKEN * QUOTA_TOKEN;
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
		continue_round(quota, customer);
}

void quota_pool_tick(quota_t *quota, quota_customer_t *customer)
{
	quota_pool_t *pool = &customer->pool;
	int64_t now = cas_clock_now(quota->clock);

	if (!customer->pending_count)
		pool->start_round = false;
	if (!customer->pending_count && !pool->unanswered && !pool->repeat_us)
		return;
	serve_pending(quota, customer);
	if (pool->start_round ||
	    (pool->repeat_us && !pool->unanswered && now >= pool->repeat_us)) {
		pool->start_round = false;
		start_round(quota, customer);
	} else if (pool->unanswered && now >= pool->timeout_us) {
		continue_round(quota, customer);
	}
}

int64_t quota_pool_due(const quota_customer_t *customer)
{
	const quota_pool_t *pool = &customer->pool;

	if (pool->start_round)
		return 0;
	if (pool->unanswered)
		return pool->timeout_us;
	return pool->repeat_us ? pool->repeat_us : QUOTA_NEVER;
}
