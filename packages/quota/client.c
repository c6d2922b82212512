/* Requests of one customer at this daemon: tokens granted to it, waiting
 * requests, asks ahead of demand, and the choice of the holder to ask. */
#include "quota_internal.h"

#include <math.h>

/* Averaging time of the demand. */
#define DEMAND_AVERAGING_US 1e6
/* Shortest time from one ask to a next one that is only ahead of demand. */
#define ASK_INTERVAL_MIN_US (5 * CAS_USEC_PER_MSEC)
/* Another holder is asked when one has not answered for this time. */
#define HOLDER_TIMEOUT_US (60 * CAS_USEC_PER_MSEC)
/* The preferred holder is asked again after this time. */
#define PREFERRED_RETRY_DELAY_US (2 * CAS_USEC_PER_SEC)
/* Requests that may wait in addition to those that the rate serves within
 * QUOTA_WAIT_LIMIT_US. */
#define PENDING_ALLOWANCE 8
/* Unused tokens count as idle no sooner than this after the latest request. */
#define IDLE_TIME_US (200 * CAS_USEC_PER_MSEC)

/* Points the link at the bucket with this index in the holders. */
static void set_target(quota_t *quota, quota_customer_t *customer,
		       size_t target)
{
	quota_link_t *link = &customer->link;
	size_t slot = target;
	size_t dc = 0;

	customer->target_index = target;
	while (dc < quota->view->dc_count && slot >= customer->slot_counts[dc])
		slot -= customer->slot_counts[dc++];
	if (link->to == customer->holders[target] &&
	    link->to_slot == (uint16_t)slot)
		return;
	quota_link_abandon(link);
	link->to = customer->holders[target];
	link->to_slot = (uint16_t)slot;
	link->wait_until_us = 0;
	link->refuse_until_us = 0;
	link->round_trip_us = 0;
	link->outstanding_at_target = quota_link_unused(link);
}

void quota_client_target_preferred(quota_t *quota, quota_customer_t *customer)
{
	customer->link.from_slot = QUOTA_FROM_DAEMON;
	if (customer->holder_count > 0)
		set_target(quota, customer, customer->preferred_index);
}

/* Chooses another bucket when the present holder does not answer or no longer
 * holds it: first the one in this data centre, then others from a random
 * start. */
static void fail_over(quota_t *quota, quota_customer_t *customer)
{
	int64_t now = cas_clock_now(quota->clock);
	size_t count = customer->holder_count;
	size_t start = cas_rng_below(quota->rng, (uint32_t)count);

	quota_link_abandon(&customer->link);
	customer->retry_preferred_us = now + PREFERRED_RETRY_DELAY_US;
	if (customer->target_index != customer->local_index &&
	    customer->holders[customer->local_index] != customer->link.to &&
	    customer->holders[customer->local_index] != 0) {
		set_target(quota, customer, customer->local_index);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		size_t index = (start + i) % count;

		if (customer->holders[index] == 0 ||
		    customer->holders[index] == customer->link.to ||
		    index == customer->preferred_index)
			continue;
		set_target(quota, customer, index);
		return;
	}
	customer->link.wait_until_us = now + QUOTA_WAIT_LIMIT_US;
}

/* Drops expired tokens and returns the others. */
static int64_t available_tokens(quota_t *quota, quota_customer_t *customer)
{
	int64_t now = cas_clock_now(quota->clock);

	quota->stats.expired_micro +=
		quota_grant_list_expire(&customer->link.grants, now, NULL);
	return quota_grant_list_total(&customer->link.grants);
}

static bool take_token(quota_t *quota, quota_customer_t *customer)
{
	if (available_tokens(quota, customer) < QUOTA_TOKEN)
		return false;
	quota_grant_list_take(&customer->link.grants, QUOTA_TOKEN, NULL);
	quota->stats.granted++;
	return true;
}

double quota_demand(const quota_customer_t *customer, int64_t now)
{
	double elapsed = (double)(now - customer->demand_updated_us);

	return customer->demand_rate * exp(-elapsed / DEMAND_AVERAGING_US);
}

void quota_record_demand(quota_customer_t *customer, int64_t now)
{
	customer->demand_rate = quota_demand(customer, now);
	customer->demand_rate += (double)CAS_USEC_PER_SEC / DEMAND_AVERAGING_US;
	customer->demand_updated_us = now;
}

/* Returns the tokens for the demand expected within the horizon, rounded down
 * to whole tokens. */
static int64_t forecast(const quota_customer_t *customer, int64_t now)
{
	double demand = quota_demand(customer, now);
	double limit = (double)customer->rate / (double)QUOTA_TOKEN;
	double tokens = fmin(demand, limit) *
			(double)quota_forecast_horizon(customer) /
			CAS_USEC_PER_SEC;

	return (int64_t)tokens * QUOTA_TOKEN;
}

/* Returns the tokens to have ahead of demand, or 0 for no such ask now. Two of
 * these asks are a quarter of the horizon apart, unless the forecast doubles
 * meanwhile, as at the start of a burst. */
static int64_t ahead_of_demand(const quota_customer_t *customer, int64_t now,
			       int64_t balance)
{
	int64_t ahead;

	if (customer->is_centralized)
		return 0;
	ahead = forecast(customer, now);
	if (now < customer->next_ahead_ask_us &&
	    ahead < 2 * customer->last_ahead_forecast)
		return 0;
	return balance > ahead / 2 ? 0 : ahead;
}

/* Asks the holder for the tokens that the waiting requests need, and for tokens
 * ahead of demand, unless an ask is in flight or it is too early. */
static void ask_for_tokens(quota_t *quota, quota_customer_t *customer,
			   int64_t waiting)
{
	quota_link_t *link = &customer->link;
	int64_t now = cas_clock_now(quota->clock);
	int64_t balance = available_tokens(quota, customer);
	int64_t need = quota_max(waiting * QUOTA_TOKEN - balance, 0);
	int64_t ahead = 0;

	if (link->in_flight || link->to == 0 || now < link->wait_until_us ||
	    quota_grant_list_full(&link->grants))
		return;
	if (link->to != quota->self) {
		if (need == 0 &&
		    now < link->first_sent_us + ASK_INTERVAL_MIN_US)
			return;
		ahead = ahead_of_demand(customer, now, balance);
	}
	if (need == 0 && ahead == 0)
		return;
	if (ahead > 0) {
		customer->last_ahead_forecast = ahead;
		customer->next_ahead_ask_us =
			now + quota_forecast_horizon(customer) / 4;
	}
	quota_link_send(quota, customer, link, need,
			quota_max(ahead - quota_max(balance, 0), 0), 0);
}

static void unlink_pending(quota_pending_t *pending)
{
	quota_customer_t *customer = pending->customer;

	if (pending->previous)
		pending->previous->next = pending->next;
	else
		customer->first_pending = pending->next;
	if (pending->next)
		pending->next->previous = pending->previous;
	else
		customer->last_pending = pending->previous;
	customer->pending_count--;
	pending->quota->stats.waiting--;
}

void quota_pending_finish(quota_pending_t *pending, quota_result_t result,
			  int64_t retry_after_us)
{
	quota_done_fn done = pending->done;
	void *private_data = pending->private_data;

	unlink_pending(pending);
	talloc_free(pending);
	done(private_data, result, retry_after_us);
}

static int64_t retry_after(const quota_customer_t *customer, int64_t now)
{
	int64_t token_time = (int64_t)((double)QUOTA_TOKEN * CAS_USEC_PER_SEC /
				       (double)quota_max(customer->rate, 1));

	return quota_max(quota_max(customer->link.wait_until_us,
				   customer->link.refuse_until_us) -
				 now,
			 token_time);
}

void quota_client_serve(quota_t *quota, quota_customer_t *customer)
{
	while (customer->first_pending && take_token(quota, customer))
		quota_pending_finish(customer->first_pending, QUOTA_GRANTED, 0);
	ask_for_tokens(quota, customer, (int64_t)customer->pending_count);
}

/* Refuses the pending requests whose time to give up has come. */
static void refuse_overdue(quota_t *quota, quota_customer_t *customer,
			   int64_t now)
{
	quota_pending_t *pending = customer->first_pending;
	int64_t earliest = QUOTA_NEVER;

	if (now < customer->next_give_up_us)
		return;
	customer->next_give_up_us = QUOTA_NEVER;
	while (pending) {
		quota_pending_t *next = pending->next;

		if (now >= pending->give_up_us) {
			quota->stats.refused++;
			quota_pending_finish(pending, QUOTA_REFUSED,
					     retry_after(customer, now));
			/* The callback may have changed the list. */
			next = customer->first_pending;
			earliest = QUOTA_NEVER;
		} else {
			earliest = quota_min(earliest, pending->give_up_us);
		}
		pending = next;
	}
	customer->next_give_up_us =
		quota_min(customer->next_give_up_us, earliest);
}

/* Returns when unused tokens are no longer expected to be used here. The load
 * may have moved to other daemons, which then need them. */
static int64_t idle_at(const quota_customer_t *customer)
{
	const quota_link_t *link = &customer->link;

	if (link->in_flight || quota_link_unused(link) == 0 || link->to == 0 ||
	    link->grants.items[0].expires_us <= link->return_checked_us)
		return QUOTA_NEVER;
	return customer->demand_updated_us +
	       quota_max(2 * quota_forecast_horizon(customer), IDLE_TIME_US);
}

/* Reports use when it is due, and returns tokens that will not be used in
 * time. */
static void report_use(quota_t *quota, quota_customer_t *customer, int64_t now)
{
	quota_link_t *link = &customer->link;
	int64_t surplus = 0;
	int64_t returned = 0;

	if (now < quota_link_report_due(link) && now < idle_at(customer))
		return;
	surplus = quota_grant_list_total(&link->grants);
	if (now < idle_at(customer))
		surplus -= forecast(customer, now);
	if (surplus > 0 && customer->pending_count == 0)
		returned = quota_link_return(link, surplus);
	quota->stats.returned_micro += returned;
	quota_link_send(quota, customer, link, 0, 0, returned);
}

static void refuse_newest(quota_t *quota, quota_customer_t *customer,
			  uint32_t count)
{
	int64_t now = cas_clock_now(quota->clock);

	customer->refused_now = count > customer->pending_count;
	for (; count > 0 && customer->last_pending; count--) {
		quota->stats.refused++;
		quota_pending_finish(customer->last_pending, QUOTA_REFUSED,
				     retry_after(customer, now));
	}
}

void quota_client_on_reply(quota_t *quota, quota_customer_t *customer,
			   cas_id_t from, uint64_t incarnation,
			   const quota_reply *reply)
{
	int64_t granted = 0;

	if (!quota_link_accept(quota, &customer->link, from, incarnation, reply,
			       &granted))
		return;
	if (reply->report == QUOTA_NOT_HOLDER)
		fail_over(quota, customer);
	refuse_newest(quota, customer, reply->refused);
	quota_client_serve(quota, customer);
	report_use(quota, customer, cas_clock_now(quota->clock));
}

void quota_client_tick(quota_t *quota, quota_customer_t *customer)
{
	quota_link_t *link = &customer->link;
	int64_t now = cas_clock_now(quota->clock);

	available_tokens(quota, customer);
	if (link->in_flight &&
	    !quota_link_resend(quota, link, HOLDER_TIMEOUT_US))
		fail_over(quota, customer);
	if (customer->target_index != customer->preferred_index &&
	    !link->in_flight && now >= customer->retry_preferred_us)
		set_target(quota, customer, customer->preferred_index);
	quota_client_serve(quota, customer);
	refuse_overdue(quota, customer, now);
	report_use(quota, customer, now);
}

int64_t quota_client_due(const quota_customer_t *customer)
{
	const quota_link_t *link = &customer->link;
	int64_t due = quota_min(quota_link_due(link), idle_at(customer));

	if (customer->pending_count == 0)
		return due;
	due = quota_min(due, customer->next_give_up_us);
	if (!link->in_flight)
		due = quota_min(due, quota_max(link->wait_until_us,
					       link->first_sent_us +
						       ASK_INTERVAL_MIN_US));
	return due;
}

quota_pending_t *quota_pending_add(quota_t *quota, quota_customer_t *customer,
				   int64_t give_up_us)
{
	quota_pending_t *pending = talloc_zero(customer, quota_pending_t);

	if (!pending)
		return NULL;
	pending->quota = quota;
	pending->customer = customer;
	pending->give_up_us = give_up_us;
	pending->previous = customer->last_pending;
	if (customer->last_pending)
		customer->last_pending->next = pending;
	else
		customer->first_pending = pending;
	customer->last_pending = pending;
	if (customer->pending_count++ == 0)
		customer->next_give_up_us = give_up_us;
	customer->next_give_up_us =
		quota_min(customer->next_give_up_us, give_up_us);
	quota->stats.waiting++;
	return pending;
}

/* Returns whether another request may wait for a token. */
static bool may_wait(const quota_customer_t *customer, int64_t now,
		     int64_t give_up_us)
{
	double limit = (double)customer->rate / (double)QUOTA_TOKEN *
		       (double)QUOTA_WAIT_LIMIT_US / CAS_USEC_PER_SEC;

	return give_up_us > now && customer->link.wait_until_us < give_up_us &&
	       (double)customer->pending_count < limit + PENDING_ALLOWANCE;
}

/* Takes a token granted earlier or, if the bucket is on this host, one that it
 * grants now. PENDING means that the request may wait. */
static quota_result_t
acquire_from_holder(quota_t *quota, quota_customer_t *customer, int64_t now)
{
	bool refusing = now < customer->link.refuse_until_us;

	customer->refused_now = false;
	if (customer->pending_count > 0)
		return refusing ? QUOTA_REFUSED : QUOTA_PENDING;
	if (!take_token(quota, customer)) {
		customer->last_arrival_us = now;
		ask_for_tokens(quota, customer, 1);
		return take_token(quota, customer) ? QUOTA_GRANTED
						   : QUOTA_PENDING;
	}
	ask_for_tokens(quota, customer, 0);
	return QUOTA_GRANTED;
}

int quota_acquire(quota_t *quota, cas_id_t customer_id, int64_t deadline_us,
		  quota_done_fn done, void *private_data,
		  quota_pending_t **pending, int64_t *retry_after_us)
{
	quota_customer_t *customer = quota_customer_find(quota, customer_id);
	int64_t now = cas_clock_now(quota->clock);
	int64_t give_up_us = quota_min(deadline_us, now + QUOTA_WAIT_LIMIT_US);
	quota_result_t result = QUOTA_REFUSED;

	*pending = NULL;
	*retry_after_us = CAS_USEC_PER_SEC;
	if (!customer || !customer->listed ||
	    (customer->holder_count == 0 && !quota_is_tolerant(quota))) {
		quota->stats.refused++;
		return QUOTA_ECUSTOMER;
	}
	if (quota_is_tolerant(quota)) {
		result = quota_pool_acquire(quota, customer, give_up_us,
					    pending);
		*retry_after_us = quota_pool_retry_after(customer, now);
	} else {
		quota_record_demand(customer, now);
		result = acquire_from_holder(quota, customer, now);
		*retry_after_us = retry_after(customer, now);
		customer->last_arrival_us = now;
		if (result == QUOTA_PENDING &&
		    may_wait(customer, now, give_up_us))
			*pending =
				quota_pending_add(quota, customer, give_up_us);
	}
	if (result == QUOTA_GRANTED) {
		*retry_after_us = 0;
		return QUOTA_GRANTED;
	}
	if (!*pending) {
		quota->stats.refused++;
		return QUOTA_REFUSED;
	}
	(*pending)->done = done;
	(*pending)->private_data = private_data;
	return QUOTA_PENDING;
}

void quota_cancel(quota_pending_t *pending)
{
	unlink_pending(pending);
	talloc_free(pending);
}
