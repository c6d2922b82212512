/*
 * Floods newly held revisions: from a watcher to the leaders of the data
 * centre, from a leader to its group and to other data centres. A daemon
 * passes a revision on when it holds it, so that whoever hears of it can fetch
 * it from the sender.
 */
#include "membership_internal.h"

#define REPEAT_US (200 * CAS_USEC_PER_MSEC)
#define ATTEMPTS_MAX 8

static void add_notice(membership_t *m, cas_id_t to, other_dc_t *other)
{
	if (to == m->self || m->notice_count >= talloc_array_length(m->notices))
		return;
	for (size_t i = 0; i < m->notice_count; i++) {
		if (m->notices[i].to == to)
			return;
	}
	m->notices[m->notice_count++] =
		(notice_target_t){ .to = to, .other = other };
}

static void add_leaders(membership_t *m, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	leaders_t leaders;

	for (size_t group = 0; group < groups; group++) {
		membership_leaders(m, group, now, &leaders);
		for (size_t i = 0; i < leaders.count; i++)
			add_notice(m, m->view->ids[leaders.index[i]], NULL);
	}
}

/* The other leader, and the members that this leader serves. */
static void add_group(membership_t *m, int64_t now, size_t rank)
{
	size_t group = membership_own_group(m);
	size_t end = membership_group_start(m->view->count, group + 1);
	leaders_t leaders;

	membership_leaders(m, group, now, &leaders);
	for (size_t i = 0; i < leaders.count; i++)
		add_notice(m, m->view->ids[leaders.index[i]], NULL);
	for (size_t i = membership_group_start(m->view->count, group); i < end;
	     i++) {
		bool served = leaders.count == 1 || i % LEADER_COUNT == rank;

		if (served && membership_is_live(m, i, now))
			add_notice(m, m->view->ids[i], NULL);
	}
}

/* The leader of this rank in the group of the same number, as listed. */
static void add_others(membership_t *m, size_t rank)
{
	for (size_t i = 0; i < m->other_count; i++) {
		other_dc_t *other = &m->others[i];
		size_t groups = membership_group_count(other->count);
		size_t index;

		if (other->count == 0)
			continue;
		index = membership_group_start(
			other->count, membership_own_group(m) % groups);
		if (index + rank < other->count)
			index += rank;
		add_notice(m, other->hosts[index], other);
	}
}

static void flood(membership_t *m, int64_t now, int rank)
{
	m->notice_count = 0;
	if (rank >= 0) {
		add_group(m, now, (size_t)rank);
		add_others(m, (size_t)rank);
	}
	if (rank < 0 || membership_is_watcher(m))
		add_leaders(m, now);
	m->notice_attempts = 0;
	m->notice_us = now;
}

void membership_notice_held(membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);

	if (m->view && m->view->count)
		flood(m, now, membership_rank(m, now));
}

void membership_notice_adopted(membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);
	int rank = membership_rank(m, now);

	if (m->view && m->view->count &&
	    (rank >= 0 || membership_is_watcher(m)))
		flood(m, now, rank);
}

/* True when the host is known to hold what this daemon holds. */
static bool is_told(const membership_t *m, const notice_target_t *target)
{
	int index = membership_view_find(m->view, target->to);

	if (target->done)
		return true;
	return index >= 0 &&
	       m->members[index].table_revision >= m->table_revision &&
	       m->members[index].roster_revision >= m->view->revision;
}

void membership_notice_tick(membership_t *m, int64_t now)
{
	membership_notice notice;

	if (now < m->notice_us || !m->view)
		return;
	notice.roster_revision = m->view->revision;
	notice.table_revision = m->table_revision;
	m->notice_us = ++m->notice_attempts < ATTEMPTS_MAX ? now + REPEAT_US
							   : INT64_MAX;
	/* Sending may call back and replace the targets. */
	for (size_t i = 0; i < m->notice_count; i++) {
		notice_target_t *target = &m->notices[i];
		const other_dc_t *other = target->other;

		if (is_told(m, target))
			continue;
		/* Who leads elsewhere is not known; another host may answer. */
		if (other && m->notice_attempts > 2)
			target->to = other->hosts[cas_rng_below(
				m->rng, (uint32_t)other->count)];
		m->ops->send_notice(target->to, &notice, m->private_data);
	}
}

int membership_on_notice(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_notice *notice,
			 membership_notice_reply *reply)
{
	(void)incarnation;
	membership_note_revisions(m, from, notice->roster_revision,
				  notice->table_revision);
	reply->roster_revision = m->newest.roster_revision;
	reply->table_revision = m->newest.table_revision;
	return 0;
}

void membership_on_notice_reply(membership_t *m, cas_id_t from,
				uint64_t incarnation,
				const membership_notice_reply *reply)
{
	(void)incarnation;
	if (!m->view || reply->table_revision < m->table_revision ||
	    reply->roster_revision < m->view->revision)
		return;
	for (size_t i = 0; i < m->notice_count; i++) {
		if (m->notices[i].to == from)
			m->notices[i].done = true;
	}
}
