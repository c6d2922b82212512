/* The quota module of a daemon: customers, dispatch of messages, timer. */
#include "quota_internal.h"

#include <stdlib.h>

/* Held buckets are updated at least this often. */
#define FENCE_CHECK_PERIOD_US (100 * CAS_USEC_PER_MSEC)
/* A customer that left the table is kept for this time, longer than its grants
 * live. */
#define UNLISTED_HOLD_TIME_US (5 * CAS_USEC_PER_SEC)
/* Largest amount accepted in a message, so that the sum of a few hundred does
 * not overflow an int64_t. */
#define AMOUNT_MAX (INT64_MAX / 1024)

quota_t *quota_create(TALLOC_CTX *ctx, cas_clock_t *clock, cas_rng_t *rng,
		      const quota_ops_t *ops, void *private_data, cas_id_t self,
		      uint64_t incarnation)
{
	quota_t *quota = talloc_zero(ctx, quota_t);

	if (!quota)
		return NULL;
	quota->clock = clock;
	quota->rng = rng;
	quota->ops = ops;
	quota->private_data = private_data;
	quota->self = self;
	quota->incarnation = incarnation;
	quota->created_us = cas_clock_now(clock);
	return quota;
}

void quota_set_tolerance(quota_t *quota, const quota_tolerance_t *tolerance)
{
	quota->tolerance = *tolerance;
}

static int compare_customers(const void *a, const void *b)
{
	const quota_customer_t *x = *(quota_customer_t *const *)a;
	const quota_customer_t *y = *(quota_customer_t *const *)b;

	return (x->id > y->id) - (x->id < y->id);
}

quota_customer_t *quota_customer_find(quota_t *quota, cas_id_t id)
{
	size_t low = 0;
	size_t high = quota->customer_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		quota_customer_t *customer = quota->customers[middle];

		if (customer->id == id)
			return customer;
		if (customer->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static quota_customer_t *customer_create(quota_t *quota, cas_id_t id)
{
	quota_customer_t *customer = talloc_zero(quota, quota_customer_t);

	if (!customer)
		return NULL;
	customer->id = id;
	customer->demand_updated_us = cas_clock_now(quota->clock);
	customer->link.report_due_us = QUOTA_NEVER;
	customer->next_give_up_us = QUOTA_NEVER;
	return customer;
}

/* Frees customers that left the table and whose tokens have expired. */
static void drop_unlisted(quota_t *quota, int64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < quota->customer_count; i++) {
		quota_customer_t *customer = quota->customers[i];

		if (!customer->listed && customer->pending_count == 0 &&
		    now - customer->unlisted_us > UNLISTED_HOLD_TIME_US)
			talloc_free(customer);
		else
			quota->customers[kept++] = customer;
	}
	quota->customer_count = kept;
}

static int add_customers(quota_t *quota, const table_t *table)
{
	size_t count = quota->customer_count;
	quota_customer_t **all =
		talloc_realloc(quota, quota->customers, quota_customer_t *,
			       count + table->customer_count + 1);

	if (!all)
		return QUOTA_ENOMEM;
	quota->customers = all;
	for (size_t i = 0; i < table->customer_count; i++) {
		cas_id_t id = table->customers[i].id;

		/* Searches only the customers that were added by earlier
		 * calls and are sorted. */
		if (quota_customer_find(quota, id))
			continue;
		all[count] = customer_create(quota, id);
		if (!all[count])
			return QUOTA_ENOMEM;
		count++;
	}
	quota->customer_count = count;
	qsort(all, count, sizeof(void *), compare_customers);
	return QUOTA_OK;
}

static void unlist_customers(quota_t *quota)
{
	int64_t now = cas_clock_now(quota->clock);

	for (size_t i = 0; i < quota->customer_count; i++) {
		if (quota->customers[i]->listed)
			quota->customers[i]->unlisted_us = now;
		quota->customers[i]->listed = false;
	}
}

static int update_customer(quota_t *quota, quota_customer_t *customer,
			   bool table_changed)
{
	int error = quota_customer_assign_holders(quota->view, customer);

	if (!error)
		error = quota_bucket_reconcile(quota, customer, table_changed);
	if (!error)
		quota_client_target_preferred(quota, customer);
	return error;
}

static int update_customers(quota_t *quota, const table_t *table,
			    bool table_changed)
{
	unlist_customers(quota);
	for (size_t i = 0; i < table->customer_count; i++) {
		const table_customer_t *entry = &table->customers[i];
		quota_customer_t *customer =
			quota_customer_find(quota, entry->id);
		bool changed = table_changed && customer->ever_listed;

		customer->listed = true;
		customer->ever_listed = true;
		customer->rate = entry->rate_micro;
		customer->burst = entry->burst_micro;
		if (quota_is_tolerant(quota))
			quota_pool_update_share(quota, customer);
		else if (update_customer(quota, customer, changed))
			return QUOTA_ENOMEM;
	}
	for (size_t i = 0; i < quota->customer_count; i++) {
		if (!quota->customers[i]->listed)
			quota_bucket_reconcile(quota, quota->customers[i],
					       true);
	}
	return QUOTA_OK;
}

int quota_set_view(quota_t *quota, const table_t *table, const roster_t *roster)
{
	quota_view_t *view =
		quota_view_create(quota, table, roster, quota->self);
	bool table_changed = false;

	if (!view)
		return QUOTA_ENOMEM;
	if (quota->view) {
		table_changed =
			quota->view->table_revision != view->table_revision;
		talloc_free(quota->view);
	}
	quota->view = view;
	drop_unlisted(quota, cas_clock_now(quota->clock));
	if (add_customers(quota, table) ||
	    update_customers(quota, table, table_changed))
		return QUOTA_ENOMEM;
	return view->self_dc < view->dc_count ? QUOTA_OK : QUOTA_EHOST;
}

static bool in_range(int64_t amount)
{
	return amount >= 0 && amount <= AMOUNT_MAX;
}

void quota_on_ask(quota_t *quota, cas_id_t from, uint64_t incarnation,
		  const quota_ask *ask, quota_reply *reply)
{
	quota_customer_t *customer = quota_customer_find(quota, ask->customer);
	quota_bucket_t *bucket = NULL;

	quota->stats.asks_received++;
	*reply = (quota_reply){ .customer = ask->customer,
				.slots = ask->slots,
				.sequence = ask->sequence,
				.wait = QUOTA_WAIT_LIMIT_US / 2,
				.report = QUOTA_NOT_HOLDER };
	if (!customer || !in_range(ask->need) || !in_range(ask->ahead) ||
	    !in_range(ask->left) || !in_range(ask->returned))
		return;
	if (quota_is_tolerant(quota))
		quota_pool_on_ask(quota, customer, ask, reply);
	else
		bucket = quota_bucket_find(customer, ask->slots & 0xffff);
	if (bucket && bucket->state != QUOTA_RETIRED)
		quota_bucket_on_ask(quota, bucket, from, incarnation, ask,
				    reply);
}

void quota_on_reply(quota_t *quota, cas_id_t from, uint64_t incarnation,
		    const quota_reply *reply)
{
	quota_customer_t *customer =
		quota_customer_find(quota, reply->customer);
	uint32_t from_slot = reply->slots >> 16;
	quota_bucket_t *bucket = NULL;

	if (!customer || !in_range(reply->granted) ||
	    !in_range(reply->filled) || !in_range(reply->rate))
		return;
	if (quota_is_tolerant(quota)) {
		quota_pool_on_reply(quota, customer, reply);
		return;
	}
	if (from_slot == QUOTA_FROM_DAEMON) {
		quota_client_on_reply(quota, customer, from, incarnation,
				      reply);
		return;
	}
	bucket = quota_bucket_find(customer, from_slot);
	if (bucket)
		quota_borrow_on_reply(quota, bucket, from, incarnation, reply);
}

void quota_tick(quota_t *quota)
{
	quota->last_tick_us = cas_clock_now(quota->clock);
	for (size_t i = 0; i < quota->customer_count; i++) {
		quota_customer_t *customer = quota->customers[i];

		for (quota_bucket_t *b = customer->buckets; b; b = b->next) {
			quota_bucket_update(quota, b);
			quota_borrow_tick(quota, b);
		}
		if (quota_is_tolerant(quota))
			quota_pool_tick(quota, customer);
		else if (customer->holder_count > 0)
			quota_client_tick(quota, customer);
	}
}

int64_t quota_next_due(const quota_t *quota)
{
	int64_t due = QUOTA_NEVER;

	for (size_t i = 0; i < quota->customer_count; i++) {
		const quota_customer_t *customer = quota->customers[i];

		if (quota_is_tolerant(quota)) {
			due = quota_min(due, quota_pool_due(customer));
			continue;
		}
		due = quota_min(due, quota_client_due(customer));
		for (const quota_bucket_t *b = customer->buckets; b;
		     b = b->next) {
			due = quota_min(due, quota_borrow_due(b));
			due = quota_min(due, quota->last_tick_us +
						     FENCE_CHECK_PERIOD_US);
		}
	}
	return due;
}

const quota_stats_t *quota_stats(const quota_t *quota)
{
	return &quota->stats;
}

static void fill_info(quota_t *quota, quota_bucket_t *bucket,
		      quota_bucket_info_t *info)
{
	quota_bucket_update(quota, bucket);
	*info = (quota_bucket_info_t){
		.customer = bucket->customer->id,
		.slot = bucket->slot,
		.level = bucket->level,
		.outstanding = bucket->outstanding_own,
		.burst_share = bucket->burst,
		.rate_share = bucket->rate,
		.adding = bucket->state == QUOTA_ADDING,
	};
}

size_t quota_buckets(quota_t *quota, quota_bucket_info_t *infos, size_t limit)
{
	size_t count = 0;

	for (size_t i = 0; i < quota->customer_count; i++) {
		quota_bucket_t *b = quota->customers[i]->buckets;

		for (; b; b = b->next) {
			if (b->state == QUOTA_RETIRED)
				continue;
			if (count < limit)
				fill_info(quota, b, &infos[count]);
			count++;
		}
	}
	return count;
}

/* Returns the tokens of the list that have not expired at now. */
static int64_t unexpired(const quota_grant_list_t *list, int64_t now)
{
	int64_t total = 0;

	for (size_t i = 0; i < list->count; i++) {
		if (list->items[i].expires_us > now)
			total += list->items[i].amount;
	}
	return total;
}

static int64_t bucket_tokens(const quota_bucket_t *bucket, int64_t now)
{
	int64_t own = 0;
	int64_t loans = 0;

	if ((bucket->state == QUOTA_ADDING || bucket->state == QUOTA_FROZEN) &&
	    now - bucket->fence_last_held_us <= QUOTA_FENCE_GRACE_PERIOD_US)
		own = bucket->level;
	for (size_t i = 0; i < bucket->lender_count; i++)
		loans += unexpired(&bucket->lenders[i].grants, now);
	return own + quota_min(bucket->borrowed_level, loans);
}

int64_t quota_tokens(quota_t *quota, cas_id_t id, int64_t now)
{
	quota_customer_t *customer = quota_customer_find(quota, id);
	int64_t tokens = 0;

	if (!customer)
		return 0;
	tokens = unexpired(&customer->link.grants, now);
	for (quota_bucket_t *b = customer->buckets; b; b = b->next)
		tokens += bucket_tokens(b, now);
	return tokens;
}
