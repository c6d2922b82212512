/* The asking side towards one bucket: asks, resends, replies, reports. */
#include "quota_internal.h"

#define RETURN_BEFORE_EXPIRY (300 * CAS_USEC_PER_MSEC)

int64_t quota_link_left(const quota_link_t *link)
{
	int64_t left = 0;

	for (size_t i = 0; i < link->lots.count; i++) {
		if (link->lots.items[i].host == link->to)
			left += link->lots.items[i].amount;
	}
	return left;
}

static void answer_here(quota_t *quota, quota_customer_t *customer,
			quota_link_t *link)
{
	quota_bucket_t *bucket = quota_bucket_find(customer, link->to_slot);
	quota_ask ask = link->message;
	quota_reply reply = { 0 };

	if (!bucket) {
		quota_link_abandon(link);
		return;
	}
	quota_bucket_ask(quota, bucket, quota->self, quota->incarnation, &ask,
			 &reply);
	if (link->from_slot == QUOTA_FROM_DAEMON)
		quota_client_reply(quota, customer, quota->self,
				   quota->incarnation, &reply);
	else
		quota_borrow_reply(quota,
				   quota_bucket_find(customer, link->from_slot),
				   quota->self, quota->incarnation, &reply);
}

void quota_link_send(quota_t *quota, quota_customer_t *customer,
		     quota_link_t *link, int64_t need, int64_t ahead,
		     int64_t returned)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t age_us = now - customer->arrived_us + link->round_trip_us / 2;

	link->message = (quota_ask){
		.customer = customer->id,
		.slots = (uint32_t)link->from_slot << 16 | link->to_slot,
		.sequence = ++quota->sequence,
		.received = link->received,
		.need = need,
		.ahead = ahead,
		.left = quota_link_left(link),
		.returned = returned,
		.age = (uint32_t)quota_clamp(age_us, 0, QUOTA_WAIT_LIMIT),
	};
	link->in_flight = true;
	/* Lots that are kept now are not considered for return again. */
	for (size_t i = 0; i < link->lots.count; i++) {
		if (link->lots.items[i].expires_us - RETURN_BEFORE_EXPIRY <=
		    now)
			link->looked_at_us = link->lots.items[i].expires_us;
	}
	link->first_sent_us = now;
	link->last_sent_us = now;
	link->report_due_us = QUOTA_NEVER;
	if (link->to == quota->self) {
		answer_here(quota, customer, link);
		return;
	}
	quota->stats.asks_sent++;
	quota->ops->send_ask(quota->private_data, link->to, &link->message);
}

bool quota_link_resend(quota_t *quota, quota_link_t *link, int64_t limit)
{
	int64_t now = cas_clock_now(quota->clock);

	if (now - link->first_sent_us >= limit) {
		quota_link_abandon(link);
		return false;
	}
	if (now - link->last_sent_us < QUOTA_RESEND_PERIOD)
		return true;
	link->last_sent_us = now;
	quota->stats.asks_sent++;
	quota->ops->send_ask(quota->private_data, link->to, &link->message);
	return true;
}

/* A resent ask does not tell which copy was answered. */
static void note_round_trip(quota_link_t *link, int64_t now)
{
	int64_t fresh = now - link->first_sent_us;

	if (link->last_sent_us != link->first_sent_us)
		return;
	if (link->round_trip_us == 0)
		link->round_trip_us = fresh;
	else
		link->round_trip_us = (3 * link->round_trip_us + fresh) / 4;
}

bool quota_link_accept(quota_t *quota, quota_link_t *link, cas_id_t from,
		       uint64_t incarnation, const quota_reply *reply,
		       int64_t *granted)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t life = quota_min(reply->life, QUOTA_GRANT_LIFE);
	int64_t expires = link->first_sent_us + life;

	*granted = 0;
	if (!link->in_flight || link->to != from ||
	    reply->sequence != link->message.sequence)
		return false;
	link->in_flight = false;
	note_round_trip(link, now);
	link->refuse_until_us = now - link->round_trip_us / 2 +
				quota_min(reply->refuse, QUOTA_GRANT_LIFE);
	link->received = reply->sequence;
	link->incarnation = incarnation;
	link->wait_until_us = now + quota_min(reply->wait, QUOTA_WAIT_LIMIT);
	link->report_due_us = now + quota_min(reply->report, QUOTA_GRANT_LIFE);
	link->counted = link->message.left + quota_max(reply->granted, 0);
	if (reply->granted <= 0 || expires <= now ||
	    quota_lots_full(&link->lots))
		return true;
	*granted = reply->granted;
	/* A delegated share replaces its earlier term. */
	if (link->from_slot != QUOTA_FROM_DAEMON && link->message.ahead != 0)
		return true;
	quota_lots_add(&link->lots,
		       (quota_lot_t){ .amount = reply->granted,
				      .expires_us = expires,
				      .host = from,
				      .incarnation = incarnation });
	return true;
}

int64_t quota_link_return(quota_link_t *link, int64_t amount)
{
	quota_lots_t rest = { 0 };
	int64_t returned = 0;

	for (size_t i = 0; i < link->lots.count; i++) {
		quota_lot_t lot = link->lots.items[i];
		int64_t part = quota_min(lot.amount, amount - returned);

		if (lot.host == link->to &&
		    lot.incarnation == link->incarnation) {
			lot.amount -= part;
			returned += part;
		}
		quota_lots_add(&rest, lot);
	}
	link->lots = rest;
	return returned;
}

void quota_link_abandon(quota_link_t *link)
{
	link->in_flight = false;
	link->counted = quota_link_left(link);
}

int64_t quota_link_report_at(const quota_link_t *link)
{
	int64_t due = QUOTA_NEVER;

	if (link->in_flight || link->to == 0)
		return QUOTA_NEVER;
	if (quota_link_left(link) < link->counted)
		due = link->report_due_us;
	for (size_t i = 0; i < link->lots.count; i++) {
		const quota_lot_t *lot = &link->lots.items[i];

		if (lot->host == link->to &&
		    lot->incarnation == link->incarnation &&
		    lot->expires_us > link->looked_at_us)
			return quota_min(due, lot->expires_us -
						      RETURN_BEFORE_EXPIRY);
	}
	return due;
}

int64_t quota_link_due(const quota_link_t *link)
{
	if (link->in_flight)
		return link->last_sent_us + QUOTA_RESEND_PERIOD;
	return quota_link_report_at(link);
}
