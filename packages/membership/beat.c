/* Heartbeats and their replies. */
#include "membership_internal.h"

/* A stamp may seem this far ahead when two clocks drift apart. */
#define STAMP_AHEAD_MS 100
#define HELD_MAX_MS ((1 << (32 - MEMBERSHIP_FLAG_BITS)) - 1)

uint32_t membership_stamp(const membership_t *m, int64_t now)
{
	return (uint32_t)(now / 1000) + m->stamp_offset_ms;
}

/* Turns a stamp of the own clock back into a time. Returns false when it is
 * older than a lease, or of another incarnation. */
static bool time_of_stamp(const membership_t *m, uint32_t stamp, int64_t now,
			  int64_t *time_us)
{
	int32_t age_ms = (int32_t)(membership_stamp(m, now) - stamp);

	if (age_ms < -STAMP_AHEAD_MS || age_ms > MEMBERSHIP_LEASE_US / 1000)
		return false;
	*time_us = (now / 1000 - age_ms) * 1000;
	if (*time_us > now)
		*time_us = now;
	return true;
}

void membership_note_revisions(membership_t *m, cas_id_t from,
			       int64_t roster_revision, int64_t table_revision)
{
	int index = membership_view_find(m->view, from);

	if (index >= 0) {
		m->members[index].roster_revision = roster_revision;
		m->members[index].table_revision = table_revision;
	}
	if (table_revision > m->newest.table_revision) {
		m->newest.table_revision = table_revision;
		m->newest.table_host = from;
	}
	if (roster_revision > m->newest.roster_revision) {
		m->newest.roster_revision = roster_revision;
		m->newest.roster_host = from;
	}
	if (table_revision > m->table_revision && m->ops->on_newer_table)
		m->ops->on_newer_table(table_revision, from, m->private_data);
	if ((!m->view || roster_revision > m->view->revision) &&
	    roster_revision > 0 && m->ops->on_newer_roster)
		m->ops->on_newer_roster(roster_revision, from, m->private_data);
}

/* Fills the echo of the last reply of a host: its stamp and the time that has
 * passed since, so never more than the present time of its clock. */
static void put_echo(const membership_t *m, cas_id_t to, membership_beat *beat,
		     int64_t now)
{
	int index = membership_view_find(m->view, to);
	const member_t *member;

	if (index < 0 || m->members[index].stamp_at_us == 0)
		return;
	member = &m->members[index];
	beat->echo_ms = member->stamp_ms +
			(uint32_t)((now - member->stamp_at_us) / 1000);
	beat->flags |= MEMBERSHIP_FLAG_ECHO;
}

static u_int held_ms(const membership_t *m, int64_t now)
{
	int64_t held = (now - m->view->self_since_us) / 1000;

	return (u_int)(held < HELD_MAX_MS ? held : HELD_MAX_MS);
}

/* Adds the confirmations that a message of this kind relays. */
static void put_runs(membership_t *m, uint32_t kind, relay_buffer_t *buffer,
		     u_int *len, membership_run **runs, int64_t now)
{
	size_t hosts = m->view->count;
	size_t group = membership_own_group(m);
	size_t start = membership_group_start(hosts, group);
	size_t end = membership_group_start(hosts, group + 1);

	if (kind == MEMBERSHIP_KIND_GROUP)
		membership_relay_run(m, buffer, start, end - start, now);
	else if (kind == MEMBERSHIP_KIND_SIBLING)
		membership_relay_run(m, buffer, m->relay_first,
				     hosts - m->relay_first, now);
	else
		return;
	*len = 1;
	*runs = &buffer->run;
}

void membership_send_beat(membership_t *m, cas_id_t to, uint32_t kind,
			  int64_t now)
{
	membership_beat beat = {
		.roster_revision = m->view->revision,
		.table_revision = m->table_revision,
		.stamp_ms = membership_stamp(m, now),
		.flags = kind,
	};

	put_echo(m, to, &beat, now);
	if (m->draining)
		beat.flags |= MEMBERSHIP_FLAG_DRAINING;
	if (membership_confirming(m, now)) {
		beat.flags |= MEMBERSHIP_FLAG_CONFIRMING;
		beat.flags |= held_ms(m, now) << MEMBERSHIP_FLAG_BITS;
	}
	put_runs(m, kind, &m->beat_buffer, &beat.runs.runs_len,
		 &beat.runs.runs_val, now);
	m->ops->send_beat(to, &beat, m->private_data);
}

static void mark_heard(membership_t *m, cas_id_t from, int64_t now)
{
	int index = membership_view_find(m->view, from);
	member_t *member;

	if (index < 0 || index == m->view->self)
		return;
	member = &m->members[index];
	member->known = true;
	member->direct_us = now;
	member->heard_until_us = now + MEMBERSHIP_LEASE_US;
}

/* Takes the sender's own confirmation and what it relays. Lifetimes count
 * from the time by this clock at which the beat was at the earliest made. */
static void take_beat(membership_t *m, cas_id_t from,
		      const membership_beat *beat, int64_t now)
{
	view_t *view = membership_view_at(m, beat->roster_revision);
	int index = membership_view_find(view, from);
	int64_t held_ms = beat->flags >> MEMBERSHIP_FLAG_BITS;
	int64_t made_us;

	if (!(beat->flags & MEMBERSHIP_FLAG_ECHO) ||
	    !time_of_stamp(m, beat->echo_ms, now, &made_us))
		return;
	if (index >= 0 && (beat->flags & MEMBERSHIP_FLAG_CONFIRMING))
		membership_view_confirm(view, (size_t)index,
					now - held_ms * 1000,
					made_us + MEMBERSHIP_LEASE_US);
	membership_merge_runs(m, beat->roster_revision, beat->runs.runs_val,
			      beat->runs.runs_len, made_us, now);
}

int membership_on_beat(membership_t *m, cas_id_t from, uint64_t incarnation,
		       const membership_beat *beat, membership_reply *reply)
{
	uint32_t kind = beat->flags & MEMBERSHIP_KIND_MASK;
	int64_t now = cas_clock_now(m->clock);
	int index;

	(void)incarnation;
	membership_note_revisions(m, from, beat->roster_revision,
				  beat->table_revision);
	mark_heard(m, from, now);
	index = membership_view_find(m->view, from);
	if (index >= 0) {
		m->members[index].draining =
			beat->flags & MEMBERSHIP_FLAG_DRAINING;
		take_beat(m, from, beat, now);
	}
	reply->roster_revision = m->view ? m->view->revision : 0;
	reply->table_revision = m->table_revision;
	reply->stamp_ms = membership_stamp(m, now);
	reply->echo_ms = beat->stamp_ms;
	if (index < 0)
		return 0;
	if (kind == MEMBERSHIP_KIND_MEMBER)
		membership_relay_summary(m, reply, now);
	else
		put_runs(m, kind, &m->reply_buffer, &reply->runs.runs_len,
			 &reply->runs.runs_val, now);
	return 0;
}

static void take_reply(membership_t *m, size_t index,
		       const membership_reply *reply, int64_t now)
{
	member_t *member = &m->members[index];
	int64_t sent_us;

	if (!time_of_stamp(m, reply->echo_ms, now, &sent_us))
		return;
	member->stamp_ms = reply->stamp_ms;
	member->stamp_at_us = now;
	if (reply->summary)
		membership_merge_summary(m, index, reply->roster_revision,
					 reply->summary, sent_us, now);
	membership_merge_runs(m, reply->roster_revision, reply->runs.runs_val,
			      reply->runs.runs_len, sent_us, now);
}

void membership_on_reply(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_reply *reply)
{
	int64_t now = cas_clock_now(m->clock);
	int index;

	(void)incarnation;
	membership_note_revisions(m, from, reply->roster_revision,
				  reply->table_revision);
	membership_exchange_replied(m, from);
	index = membership_view_find(m->view, from);
	if (index >= 0)
		take_reply(m, (size_t)index, reply, now);
	/* Last, since an entry that is older than the last word of its host is
	 * passed over, and the sender's own state comes as an entry. */
	mark_heard(m, from, now);
}
