/* Requests of one customer at this daemon: tokens at hand, waiting requests,
 * asks ahead of demand, and the choice of the holder to ask. */
#include "quota_internal.h"

#include <math.h>

#define DEMAND_WINDOW 1e6 /* averaging time, microseconds */
#define ASK_GAP (5 * CAS_USEC_PER_MSEC)
#define HOLDER_SILENT (60 * CAS_USEC_PER_MSEC)
#define HOME_RETRY (2 * CAS_USEC_PER_SEC)
#define PENDING_SPARE 8
#define IDLE_TIME (200 * CAS_USEC_PER_MSEC)

static void set_target(quota_t *quota, quota_customer_t *customer,
		       size_t target)
{
	quota_link_t *link = &customer->link;
	size_t slot = target;
	size_t dc = 0;

	customer->target = target;
	while (dc < quota->view->dc_count && slot >= customer->slots[dc])
		slot -= customer->slots[dc++];
	if (link->to == customer->holders[target] &&
	    link->to_slot == (uint16_t)slot)
		return;
	quota_link_abandon(link);
	link->to = customer->holders[target];
	link->to_slot = (uint16_t)slot;
	link->wait_until_us = 0;
	link->refuse_until_us = 0;
	link->round_trip_us = 0;
	link->counted = quota_link_left(link);
}

void quota_client_home(quota_t *quota, quota_customer_t *customer)
{
	customer->link.from_slot = QUOTA_FROM_DAEMON;
	if (customer->holder_count > 0)
		set_target(quota, customer, customer->home);
}

/* Chooses another holder when the present one does not answer. */
static void fail_over(quota_t *quota, quota_customer_t *customer)
{
	int64_t now = cas_clock_now(quota->clock);
	size_t count = customer->holder_count;
	size_t start = cas_rng_below(quota->rng, (uint32_t)count);

	quota_link_abandon(&customer->link);
	customer->home_at_us = now + HOME_RETRY;
	if (customer->target != customer->local &&
	    customer->holders[customer->local] != customer->link.to &&
	    customer->holders[customer->local] != 0) {
		set_target(quota, customer, customer->local);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		size_t index = (start + i) % count;

		if (customer->holders[index] == 0 ||
		    customer->holders[index] == customer->link.to ||
		    index == customer->home)
			continue;
		set_target(quota, customer, index);
		return;
	}
	customer->link.wait_until_us = now + QUOTA_WAIT_LIMIT;
}

static int64_t balance_of(quota_t *quota, quota_customer_t *customer)
{
	int64_t now = cas_clock_now(quota->clock);

	quota->stats.expired_micro +=
		quota_lots_expire(&customer->link.lots, now, NULL);
	return quota_lots_total(&customer->link.lots);
}

static bool take_token(quota_t *quota, quota_customer_t *customer)
{
	if (balance_of(quota, customer) < QUOTA_TOKEN)
		return false;
	quota_lots_take(&customer->link.lots, QUOTA_TOKEN, NULL);
	quota->stats.granted++;
	return true;
}

double quota_demand(const quota_customer_t *customer, int64_t now)
{
	double elapsed = (double)(now - customer->demand_us);

	return customer->demand * exp(-elapsed / DEMAND_WINDOW);
}

void quota_note_demand(quota_customer_t *customer, int64_t now)
{
	customer->demand = quota_demand(customer, now);
	customer->demand += (double)CAS_USEC_PER_SEC / DEMAND_WINDOW;
	customer->demand_us = now;
}

/* Tokens for the demand expected within the horizon; none below a token. */
static int64_t forecast(const quota_customer_t *customer, int64_t now)
{
	double demand = quota_demand(customer, now);
	double most = (double)customer->rate / (double)QUOTA_TOKEN;
	double tokens = fmin(demand, most) * (double)quota_horizon(customer) /
			CAS_USEC_PER_SEC;

	return (int64_t)tokens * QUOTA_TOKEN;
}

/* Tokens to ask for ahead of demand. Between two such asks passes a part of the
 * horizon, unless the forecast has doubled at the start of a burst. */
static int64_t ahead_of_demand(const quota_customer_t *customer, int64_t now,
			       int64_t balance)
{
	int64_t ahead;

	if (customer->central)
		return 0;
	ahead = forecast(customer, now);
	if (now < customer->ahead_at_us && ahead < 2 * customer->ahead)
		return 0;
	return balance > ahead / 2 ? 0 : ahead;
}

static void ask(quota_t *quota, quota_customer_t *customer, int64_t waiting)
{
	quota_link_t *link = &customer->link;
	int64_t now = cas_clock_now(quota->clock);
	int64_t balance = balance_of(quota, customer);
	int64_t need = quota_max(waiting * QUOTA_TOKEN - balance, 0);
	int64_t ahead = 0;

	if (link->in_flight || link->to == 0 || now < link->wait_until_us ||
	    quota_lots_full(&link->lots))
		return;
	if (link->to != quota->self) {
		if (need == 0 && now < link->first_sent_us + ASK_GAP)
			return;
		ahead = ahead_of_demand(customer, now, balance);
	}
	if (need == 0 && ahead == 0)
		return;
	if (ahead > 0) {
		customer->ahead = ahead;
		customer->ahead_at_us = now + quota_horizon(customer) / 4;
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
		customer->first = pending->next;
	if (pending->next)
		pending->next->previous = pending->previous;
	else
		customer->last = pending->previous;
	customer->pending_count--;
	pending->quota->stats.waiting--;
}

void quota_pending_finish(quota_pending_t *pending, quota_verdict_t verdict,
			  int64_t retry_after_us)
{
	quota_done_fn done = pending->done;
	void *private_data = pending->private_data;

	unlink_pending(pending);
	talloc_free(pending);
	done(private_data, verdict, retry_after_us);
}

static int64_t retry_after(const quota_customer_t *customer, int64_t now)
{
	int64_t one = (int64_t)((double)QUOTA_TOKEN * CAS_USEC_PER_SEC /
				(double)quota_max(customer->rate, 1));

	return quota_max(quota_max(customer->link.wait_until_us,
				   customer->link.refuse_until_us) -
				 now,
			 one);
}

void quota_client_run(quota_t *quota, quota_customer_t *customer)
{
	while (customer->first && take_token(quota, customer))
		quota_pending_finish(customer->first, QUOTA_GRANTED, 0);
	ask(quota, customer, (int64_t)customer->pending_count);
}

static void give_up(quota_t *quota, quota_customer_t *customer, int64_t now)
{
	quota_pending_t *pending = customer->first;
	int64_t earliest = QUOTA_NEVER;

	if (now < customer->give_up_us)
		return;
	customer->give_up_us = QUOTA_NEVER;
	while (pending) {
		quota_pending_t *next = pending->next;

		if (now >= pending->give_up_us) {
			quota->stats.refused++;
			quota_pending_finish(pending, QUOTA_REFUSED,
					     retry_after(customer, now));
			/* The callback may have changed the list. */
			next = customer->first;
			earliest = QUOTA_NEVER;
		} else {
			earliest = quota_min(earliest, pending->give_up_us);
		}
		pending = next;
	}
	customer->give_up_us = quota_min(customer->give_up_us, earliest);
}

/* When tokens at hand are no longer expected to be used. Load may have moved to
 * other daemons, which need them. */
static int64_t idle_at(const quota_customer_t *customer)
{
	const quota_link_t *link = &customer->link;

	if (link->in_flight || quota_link_left(link) == 0 || link->to == 0 ||
	    link->lots.items[0].expires_us <= link->looked_at_us)
		return QUOTA_NEVER;
	return customer->demand_us +
	       quota_max(2 * quota_horizon(customer), IDLE_TIME);
}

/* Reports use, and gives back tokens that will not be used in time. */
static void report(quota_t *quota, quota_customer_t *customer, int64_t now)
{
	quota_link_t *link = &customer->link;
	int64_t surplus = 0;
	int64_t returned = 0;

	if (now < quota_link_report_at(link) && now < idle_at(customer))
		return;
	surplus = quota_lots_total(&link->lots);
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
	for (; count > 0 && customer->last; count--) {
		quota->stats.refused++;
		quota_pending_finish(customer->last, QUOTA_REFUSED,
				     retry_after(customer, now));
	}
}

void quota_client_reply(quota_t *quota, quota_customer_t *customer,
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
	quota_client_run(quota, customer);
	report(quota, customer, cas_clock_now(quota->clock));
}

void quota_client_tick(quota_t *quota, quota_customer_t *customer)
{
	quota_link_t *link = &customer->link;
	int64_t now = cas_clock_now(quota->clock);

	balance_of(quota, customer);
	if (link->in_flight && !quota_link_resend(quota, link, HOLDER_SILENT))
		fail_over(quota, customer);
	if (customer->target != customer->home && !link->in_flight &&
	    now >= customer->home_at_us)
		set_target(quota, customer, customer->home);
	quota_client_run(quota, customer);
	give_up(quota, customer, now);
	report(quota, customer, now);
}

int64_t quota_client_due(const quota_customer_t *customer)
{
	const quota_link_t *link = &customer->link;
	int64_t due = quota_min(quota_link_due(link), idle_at(customer));

	if (customer->pending_count == 0)
		return due;
	due = quota_min(due, customer->give_up_us);
	if (!link->in_flight)
		due = quota_min(due, quota_max(link->wait_until_us,
					       link->first_sent_us + ASK_GAP));
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
	pending->previous = customer->last;
	if (customer->last)
		customer->last->next = pending;
	else
		customer->first = pending;
	customer->last = pending;
	if (customer->pending_count++ == 0)
		customer->give_up_us = give_up_us;
	customer->give_up_us = quota_min(customer->give_up_us, give_up_us);
	quota->stats.waiting++;
	return pending;
}

static bool may_wait(const quota_customer_t *customer, int64_t now,
		     int64_t give_up_us)
{
	double most = (double)customer->rate / (double)QUOTA_TOKEN *
		      (double)QUOTA_WAIT_LIMIT / CAS_USEC_PER_SEC;

	return give_up_us > now && customer->link.wait_until_us < give_up_us &&
	       (double)customer->pending_count < most + PENDING_SPARE;
}

static quota_verdict_t try_now(quota_t *quota, quota_customer_t *customer,
			       int64_t now)
{
	bool closed = now < customer->link.refuse_until_us;

	customer->refused_now = false;
	if (customer->pending_count > 0)
		return closed ? QUOTA_REFUSED : QUOTA_PENDING;
	if (!take_token(quota, customer)) {
		customer->arrived_us = now;
		ask(quota, customer, 1);
		return take_token(quota, customer) ? QUOTA_GRANTED
						   : QUOTA_PENDING;
	}
	ask(quota, customer, 0);
	return QUOTA_GRANTED;
}

int quota_acquire(quota_t *quota, cas_id_t customer_id, int64_t deadline_us,
		  quota_done_fn done, void *private_data,
		  quota_pending_t **pending, int64_t *retry_after_us)
{
	quota_customer_t *customer = quota_customer_find(quota, customer_id);
	int64_t now = cas_clock_now(quota->clock);
	int64_t give_up_us = quota_min(deadline_us, now + QUOTA_WAIT_LIMIT);
	quota_verdict_t verdict = QUOTA_REFUSED;

	*pending = NULL;
	*retry_after_us = CAS_USEC_PER_SEC;
	if (!customer || !customer->listed ||
	    (customer->holder_count == 0 && !quota_is_tolerant(quota))) {
		quota->stats.refused++;
		return QUOTA_ECUSTOMER;
	}
	if (quota_is_tolerant(quota)) {
		verdict = quota_pool_acquire(quota, customer, give_up_us,
					     pending);
		*retry_after_us = quota_pool_retry_after(customer, now);
	} else {
		quota_note_demand(customer, now);
		verdict = try_now(quota, customer, now);
		*retry_after_us = retry_after(customer, now);
		customer->arrived_us = now;
		if (verdict == QUOTA_PENDING &&
		    may_wait(customer, now, give_up_us))
			*pending =
				quota_pending_add(quota, customer, give_up_us);
	}
	if (verdict == QUOTA_GRANTED) {
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
