/* The asker's side of one bucket: asks, resends, replies and reports. */
#include "quota_internal.h"

/* A grant is considered for return this long before it expires. */
#define RETURN_BEFORE_EXPIRY_US (300 * CAS_USEC_PER_MSEC)

int64_t quota_link_unused(const quota_link_t *link)
{
	int64_t unused = 0;

	for (size_t i = 0; i < link->grants.count; i++) {
		if (link->grants.items[i].host == link->to)
			unused += link->grants.items[i].amount;
	}
	return unused;
}

/* Passes the ask to the bucket on this host, and handles its reply. */
static void handle_locally(quota_t *quota, quota_customer_t *customer,
			   quota_link_t *link)
{
	quota_bucket_t *bucket = quota_bucket_find(customer, link->to_slot);
	quota_ask ask = link->last_ask;
	quota_reply reply = { 0 };

	if (!bucket) {
		quota_link_abandon(link);
		return;
	}
	quota_bucket_on_ask(quota, bucket, quota->self, quota->incarnation,
			    &ask, &reply);
	if (link->from_slot == QUOTA_FROM_DAEMON)
		quota_client_on_reply(quota, customer, quota->self,
				      quota->incarnation, &reply);
	else
		quota_borrow_on_reply(
			quota, quota_bucket_find(customer, link->from_slot),
			quota->self, quota->incarnation, &reply);
}

void quota_link_send(quota_t *quota, quota_customer_t *customer,
		     quota_link_t *link, int64_t need, int64_t ahead,
		     int64_t returned)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t age_us =
		now - customer->last_arrival_us + link->round_trip_us / 2;

	link->last_ask = (quota_ask){
		.customer = customer->id,
		.slots = (uint32_t)link->from_slot << 16 | link->to_slot,
		.sequence = ++quota->last_sequence,
		.received = link->received_sequence,
		.need = need,
		.ahead = ahead,
		.left = quota_link_unused(link),
		.returned = returned,
		.age = (uint32_t)quota_clamp(age_us, 0, QUOTA_WAIT_LIMIT_US),
	};
	link->in_flight = true;
	/* Grants that are kept now are not considered for return again. */
	for (size_t i = 0; i < link->grants.count; i++) {
		if (link->grants.items[i].expires_us -
			    RETURN_BEFORE_EXPIRY_US <=
		    now)
			link->return_checked_us =
				link->grants.items[i].expires_us;
	}
	link->first_sent_us = now;
	link->last_sent_us = now;
	link->report_due_us = QUOTA_NEVER;
	if (link->to == quota->self) {
		handle_locally(quota, customer, link);
		return;
	}
	quota->stats.asks_sent++;
	quota->ops->send_ask(quota->private_data, link->to, &link->last_ask);
}

bool quota_link_resend(quota_t *quota, quota_link_t *link, int64_t limit)
{
	int64_t now = cas_clock_now(quota->clock);

	if (now - link->first_sent_us >= limit) {
		quota_link_abandon(link);
		return false;
	}
	if (now - link->last_sent_us < QUOTA_RESEND_PERIOD_US)
		return true;
	link->last_sent_us = now;
	quota->stats.asks_sent++;
	quota->ops->send_ask(quota->private_data, link->to, &link->last_ask);
	return true;
}

/* Measures only asks that were not resent: a reply does not tell which copy it
 * answers (Karn's algorithm). */
static void record_round_trip(quota_link_t *link, int64_t now)
{
	int64_t sample = now - link->first_sent_us;

	if (link->last_sent_us != link->first_sent_us)
		return;
	if (link->round_trip_us == 0)
		link->round_trip_us = sample;
	else
		link->round_trip_us = (3 * link->round_trip_us + sample) / 4;
}

bool quota_link_accept(quota_t *quota, quota_link_t *link, cas_id_t from,
		       uint64_t incarnation, const quota_reply *reply,
		       int64_t *granted)
{
	int64_t now = cas_clock_now(quota->clock);
	int64_t life = quota_min(reply->life, QUOTA_GRANT_LIFE_US);
	int64_t expires_us = link->first_sent_us + life;

	*granted = 0;
	if (!link->in_flight || link->to != from ||
	    reply->sequence != link->last_ask.sequence)
		return false;
	link->in_flight = false;
	record_round_trip(link, now);
	link->refuse_until_us = now - link->round_trip_us / 2 +
				quota_min(reply->refuse, QUOTA_GRANT_LIFE_US);
	link->received_sequence = reply->sequence;
	link->incarnation = incarnation;
	link->wait_until_us = now + quota_min(reply->wait, QUOTA_WAIT_LIMIT_US);
	link->report_due_us =
		now + quota_min(reply->report, QUOTA_GRANT_LIFE_US);
	link->outstanding_at_target =
		link->last_ask.left + quota_max(reply->granted, 0);
	if (reply->granted <= 0 || expires_us <= now ||
	    quota_grant_list_full(&link->grants))
		return true;
	*granted = reply->granted;
	/* A delegated share replaces the earlier delegation and is recorded by
	 * quota_delegate_on_reply. */
	if (link->from_slot != QUOTA_FROM_DAEMON && link->last_ask.ahead != 0)
		return true;
	quota_grant_list_add(&link->grants,
			     (quota_grant_t){ .amount = reply->granted,
					      .expires_us = expires_us,
					      .host = from,
					      .incarnation = incarnation });
	return true;
}

int64_t quota_link_return(quota_link_t *link, int64_t amount)
{
	quota_grant_list_t remaining = { 0 };
	int64_t returned = 0;

	for (size_t i = 0; i < link->grants.count; i++) {
		quota_grant_t grant = link->grants.items[i];
		int64_t part = quota_min(grant.amount, amount - returned);

		if (grant.host == link->to &&
		    grant.incarnation == link->incarnation) {
			grant.amount -= part;
			returned += part;
		}
		quota_grant_list_add(&remaining, grant);
	}
	link->grants = remaining;
	return returned;
}

void quota_link_abandon(quota_link_t *link)
{
	link->in_flight = false;
	link->outstanding_at_target = quota_link_unused(link);
}

int64_t quota_link_report_due(const quota_link_t *link)
{
	int64_t due = QUOTA_NEVER;

	if (link->in_flight || link->to == 0)
		return QUOTA_NEVER;
	if (quota_link_unused(link) < link->outstanding_at_target)
		due = link->report_due_us;
	for (size_t i = 0; i < link->grants.count; i++) {
		const quota_grant_t *grant = &link->grants.items[i];

		if (grant->host == link->to &&
		    grant->incarnation == link->incarnation &&
		    grant->expires_us > link->return_checked_us)
			return quota_min(due, grant->expires_us -
						      RETURN_BEFORE_EXPIRY_US);
	}
	return due;
}

int64_t quota_link_due(const quota_link_t *link)
{
	if (link->in_flight)
		return link->last_sent_us + QUOTA_RESEND_PERIOD_US;
	return quota_link_report_due(link);
}
