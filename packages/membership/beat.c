/* Encoding and handling of beats (heartbeats) and their replies. */
#include "membership_internal.h"

/* An echoed stamp may be ahead of this clock by up to this much, as the echo
 * includes time that the other host has measured with a drifting clock. */
#define STAMP_AHEAD_MAX_MS 100
/* Longest time for which a revision was held that fits into a beat's flags. */
#define HELD_MAX_MS ((1 << (32 - MEMBERSHIP_FLAG_BITS)) - 1)

uint32_t membership_stamp(const membership_t *m, int64_t now)
{
	return (uint32_t)(now / 1000) + m->stamp_offset_ms;
}

/* Converts an echoed stamp of this daemon back to a time of its clock. Returns
 * false when the stamp is older than a lease or too far in the future, as one
 * of an earlier incarnation is. */
static bool stamp_to_time(const membership_t *m, uint32_t stamp, int64_t now,
			  int64_t *time_us)
{
	int32_t age_ms = (int32_t)(membership_stamp(m, now) - stamp);

	if (age_ms < -STAMP_AHEAD_MAX_MS || age_ms > MEMBERSHIP_LEASE_US / 1000)
		return false;
	*time_us = (now / 1000 - age_ms) * 1000;
	if (*time_us > now)
		*time_us = now;
	return true;
}

void membership_record_revisions(membership_t *m, cas_id_t from,
				 int64_t roster_revision,
				 int64_t table_revision)
{
	int index = membership_view_find(m->view, from);

	if (index >= 0) {
		m->host_states[index].roster_revision = roster_revision;
		m->host_states[index].table_revision = table_revision;
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

/* Sets the echo of a beat: the stamp in the receiver's last reply plus the time
 * since that reply was received. The reply took time to arrive, so the echo is
 * never ahead of the receiver's clock, except by drift. */
static void set_echo(const membership_t *m, cas_id_t to, membership_beat *beat,
		     int64_t now)
{
	int index = membership_view_find(m->view, to);
	const host_state_t *host;

	if (index < 0 || m->host_states[index].stamp_received_us == 0)
		return;
	host = &m->host_states[index];
	beat->echo_ms = host->stamp_ms +
			(uint32_t)((now - host->stamp_received_us) / 1000);
	beat->flags |= MEMBERSHIP_FLAG_ECHO;
}

/* Returns for how many milliseconds this host has held the revision in use. */
static u_int own_held_ms(const membership_t *m, int64_t now)
{
	int64_t held = (now - m->view->self_since_us) / 1000;

	return (u_int)(held < HELD_MAX_MS ? held : HELD_MAX_MS);
}

/* Adds the run that a message of this kind relays: the own group to another
 * group's leader, all hosts (or the current part of them) to the sibling. */
static void set_runs(membership_t *m, uint32_t kind, relay_buffer_t *buffer,
		     u_int *len, membership_run **runs, int64_t now)
{
	size_t hosts = m->view->count;
	size_t group = membership_own_group(m);
	size_t start = membership_group_start(hosts, group);
	size_t end = membership_group_start(hosts, group + 1);

	if (kind == MEMBERSHIP_KIND_GROUP)
		membership_relay_fill_run(m, buffer, start, end - start, now);
	else if (kind == MEMBERSHIP_KIND_SIBLING)
		membership_relay_fill_run(m, buffer, m->relay_first_index,
					  hosts - m->relay_first_index, now);
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

	set_echo(m, to, &beat, now);
	if (m->draining)
		beat.flags |= MEMBERSHIP_FLAG_DRAINING;
	if (membership_is_confirming(m, now)) {
		beat.flags |= MEMBERSHIP_FLAG_CONFIRMING;
		beat.flags |= own_held_ms(m, now) << MEMBERSHIP_FLAG_BITS;
	}
	set_runs(m, kind, &m->beat_buffer, &beat.runs.runs_len,
		 &beat.runs.runs_val, now);
	m->ops->send_beat(to, &beat, m->private_data);
}

/* Records that a message of a host has just been received. */
static void mark_heard(membership_t *m, cas_id_t from, int64_t now)
{
	int index = membership_view_find(m->view, from);
	host_state_t *host;

	if (index < 0 || index == m->view->self_index)
		return;
	host = &m->host_states[index];
	host->known = true;
	host->last_direct_us = now;
	host->notified_us = 0;
	host->liveness_expire_us = now + MEMBERSHIP_LEASE_US;
}

/* Takes over the sender's own confirmation and what it relays. Lifetimes count
 * from the earliest time by this clock at which the beat can have been sent,
 * so that a delayed beat does not extend them. */
static void merge_beat(membership_t *m, cas_id_t from,
		       const membership_beat *beat, int64_t now)
{
	view_t *view = membership_view_of_revision(m, beat->roster_revision);
	int index = membership_view_find(view, from);
	int64_t held_ms = beat->flags >> MEMBERSHIP_FLAG_BITS;
	int64_t earliest_sent_us;

	if (!(beat->flags & MEMBERSHIP_FLAG_ECHO) ||
	    !stamp_to_time(m, beat->echo_ms, now, &earliest_sent_us))
		return;
	if (index >= 0 && (beat->flags & MEMBERSHIP_FLAG_CONFIRMING))
		membership_view_record_confirmation(
			view, (size_t)index, now - held_ms * 1000,
			earliest_sent_us + MEMBERSHIP_LEASE_US);
	membership_merge_runs(m, beat->roster_revision, beat->runs.runs_val,
			      beat->runs.runs_len, earliest_sent_us, now);
}

int membership_on_beat(membership_t *m, cas_id_t from, uint64_t incarnation,
		       const membership_beat *beat, membership_reply *reply)
{
	uint32_t kind = beat->flags & MEMBERSHIP_KIND_MASK;
	int64_t now = cas_clock_now(m->clock);
	int index;

	(void)incarnation;
	membership_record_revisions(m, from, beat->roster_revision,
				    beat->table_revision);
	mark_heard(m, from, now);
	index = membership_view_find(m->view, from);
	if (index >= 0) {
		m->host_states[index].draining =
			beat->flags & MEMBERSHIP_FLAG_DRAINING;
		merge_beat(m, from, beat, now);
	}
	reply->roster_revision = m->view ? m->view->revision : 0;
	reply->table_revision = m->table_revision;
	reply->stamp_ms = membership_stamp(m, now);
	reply->echo_ms = beat->stamp_ms;
	if (index < 0)
		return 0;
	if (kind == MEMBERSHIP_KIND_MEMBER)
		membership_relay_fill_summary(m, reply, now);
	else
		set_runs(m, kind, &m->reply_buffer, &reply->runs.runs_len,
			 &reply->runs.runs_val, now);
	return 0;
}

/* Stores the sender's stamp, to be echoed in the next beat, and takes over what
 * the reply relays. Lifetimes count from when this daemon sent the beat. */
static void merge_reply(membership_t *m, size_t index,
			const membership_reply *reply, int64_t now)
{
	host_state_t *host = &m->host_states[index];
	int64_t sent_us;

	if (!stamp_to_time(m, reply->echo_ms, now, &sent_us))
		return;
	host->stamp_ms = reply->stamp_ms;
	host->stamp_received_us = now;
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
	membership_record_revisions(m, from, reply->roster_revision,
				    reply->table_revision);
	membership_exchange_replied(m, from);
	index = membership_view_find(m->view, from);
	if (index >= 0)
		merge_reply(m, (size_t)index, reply, now);
	/* Done last: merging skips an entry that does not extend the host's
	 * liveness, which would then include the sender's entry on itself. */
	mark_heard(m, from, now);
}
