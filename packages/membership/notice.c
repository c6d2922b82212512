/*
 * Notices, which flood newly adopted revisions: watchers and leaders send them to
 * the leaders of the data centre, and a leader also to its group and to the other
 * data centres. Any other daemon reports a revision to the leaders of its group
 * unless one of them has named it first. A daemon announces a revision only once
 * it holds it, so that the receiver can fetch it from the sender. Watchers and
 * leaders also tell the hosts that a host list has dropped. Leaders that do
 * not acknowledge it may have ended: their groups then get the notices directly.
 */
#include "membership_internal.h"

/* How long a member waits for a leader to name a revision that it holds. */
#define REPORT_DELAY_US (200 * CAS_USEC_PER_MSEC)
/* Interval between rounds of notices, and the maximum number of rounds. */
#define NOTICE_RETRY_US (200 * CAS_USEC_PER_MSEC)
#define NOTICE_ATTEMPTS_MAX 8
/* How long a leader may leave notices unanswered. Counted over all notices, as new
 * revisions may come faster. */
#define LEADER_ANSWER_US (400 * CAS_USEC_PER_MSEC)

/* Adds a host to the targets, unless it is this host or already there. */
static void add_notice_target(membership_t *m, cas_id_t to,
			      remote_dc_t *remote_dc)
{
	if (to == m->self_id ||
	    m->notice_target_count >= talloc_array_length(m->notice_targets))
		return;
	for (size_t i = 0; i < m->notice_target_count; i++) {
		if (m->notice_targets[i].to == to)
			return;
	}
	m->notice_targets[m->notice_target_count++] =
		(notice_target_t){ .to = to, .remote_dc = remote_dc };
}

/* Adds the leaders of a group. */
static void add_leaders(membership_t *m, size_t group, int64_t now)
{
	leaders_t leaders;

	membership_find_leaders(m, group, now, &leaders);
	for (size_t i = 0; i < leaders.count; i++)
		add_notice_target(m, m->view->ids[leaders.indexes[i]], NULL);
}

/* Adds the leaders of each group of the data centre. */
static void add_all_leaders(membership_t *m, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);

	for (size_t group = 0; group < groups; group++)
		add_leaders(m, group, now);
}

/* Adds this leader's share of the live members of its group. Two leaders divide
 * the members by the parity of the index. */
static void add_own_group(membership_t *m, int64_t now, size_t rank)
{
	size_t group = membership_own_group(m);
	size_t end = membership_group_start(m->view->count, group + 1);
	leaders_t leaders;

	membership_find_leaders(m, group, now, &leaders);
	for (size_t i = membership_group_start(m->view->count, group); i < end;
	     i++) {
		bool own_share = leaders.count == 1 || i % LEADER_COUNT == rank;

		if (own_share && membership_is_live(m, i, now))
			add_notice_target(m, m->view->ids[i], NULL);
	}
}

/* Adds one host in each other data centre: the one that leads the group of the
 * same number at this rank, if all hosts there are live. */
static void add_remote_hosts(membership_t *m, size_t rank)
{
	for (size_t i = 0; i < m->remote_dc_count; i++) {
		remote_dc_t *remote_dc = &m->remote_dcs[i];
		size_t groups = membership_group_count(remote_dc->count);
		size_t index;

		if (remote_dc->count == 0)
			continue;
		index = membership_group_start(
			remote_dc->count, membership_own_group(m) % groups);
		if (index + rank < remote_dc->count)
			index += rank;
		add_notice_target(m, remote_dc->hosts[index], remote_dc);
	}
}

static void remove_dropped(membership_t *m, size_t index)
{
	m->dropped[index] = m->dropped[--m->dropped_count];
}

void membership_notice_dropped(membership_t *m, const view_t *view, int64_t now)
{
	for (size_t i = m->dropped_count; i-- > 0;)
		if (now >= m->dropped[i].until_us ||
		    membership_view_find(view, m->dropped[i].id) >= 0)
			remove_dropped(m, i);
	for (size_t i = 0; m->view && i < m->view->count &&
			   m->dropped_count < DROPPED_HOSTS_MAX;
	     i++)
		if (membership_view_find(view, m->view->ids[i]) < 0)
			m->dropped[m->dropped_count++] = (dropped_host_t){
				.id = m->view->ids[i],
				.until_us = now + DROPPED_KEEP_US,
			};
}

/* Adds the dropped hosts: they are in no group any more. */
static void add_dropped(membership_t *m, int64_t now)
{
	for (size_t i = 0; i < m->dropped_count; i++)
		if (now < m->dropped[i].until_us)
			add_notice_target(m, m->dropped[i].id, NULL);
}

/* Chooses the targets by this daemon's roles. rank is its rank as a leader, or
 * -1. The notices are sent by the next tick. */
static void start_flood(membership_t *m, int64_t now, int rank)
{
	m->notice_target_count = 0;
	m->is_reporting = false;
	if (rank >= 0) {
		add_own_group(m, now, (size_t)rank);
		add_remote_hosts(m, (size_t)rank);
	}
	add_all_leaders(m, now);
	add_dropped(m, now);
	m->notice_attempts = 0;
	m->next_notice_us = now;
}

/* Schedules a report to the leaders of the own group. Further revisions do not
 * put off a report that is due. */
static void start_report(membership_t *m, int64_t now)
{
	bool is_due = m->is_reporting && m->next_notice_us != INT64_MAX;

	m->notice_target_count = 0;
	add_leaders(m, membership_own_group(m), now);
	m->is_reporting = true;
	m->notice_attempts = 0;
	if (!is_due)
		m->next_notice_us = now + REPORT_DELAY_US;
}

void membership_notice_adopted(membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);
	int rank;

	if (!m->view || !m->view->count)
		return;
	rank = membership_leader_rank(m, now);
	if (rank >= 0 || membership_is_watcher(m))
		start_flood(m, now, rank);
	else
		start_report(m, now);
}

/* Returns true when the target holds, or has acknowledged, the revisions that
 * this daemon holds. */
static bool is_up_to_date(const membership_t *m, const notice_target_t *target)
{
	int index = membership_view_find(m->view, target->to);

	if (target->acknowledged)
		return true;
	return index >= 0 &&
	       m->host_states[index].table_revision >= m->table_revision &&
	       m->host_states[index].roster_revision >= m->view->revision;
}

/* Returns false when a notice that was sent at notified_us, 0: none, should have
 * been answered. */
static bool is_answering(int64_t notified_us, int64_t now)
{
	return !notified_us || now - notified_us < LEADER_ANSWER_US;
}

/* Returns true when a leader of a group passes revisions on to all of it: this
 * daemon if it is the only one, else one that answers. */
static bool has_answering_leader(const membership_t *m, size_t group,
				 int64_t now)
{
	leaders_t leaders;

	membership_find_leaders(m, group, now, &leaders);
	for (size_t i = 0; i < leaders.count; i++) {
		size_t index = leaders.indexes[i];
		bool is_self = (int)index == m->view->self_index;

		if (is_self ? leaders.count == 1
			    : is_answering(m->host_states[index].notified_us,
					   now))
			return true;
	}
	return false;
}

/* Adds the hosts of the groups whose leaders do not answer, or only the own group
 * if this daemon reports to its leaders. */
static void add_groups_without_leader(membership_t *m, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	bool is_reporting = m->is_reporting;

	for (size_t group = 0; group < groups; group++) {
		size_t end = membership_group_start(m->view->count, group + 1);

		if ((is_reporting && group != membership_own_group(m)) ||
		    has_answering_leader(m, group, now))
			continue;
		for (size_t i = membership_group_start(m->view->count, group);
		     i < end; i++)
			add_notice_target(m, m->view->ids[i], NULL);
		m->is_reporting = false;
	}
}

/* Returns true when a leader of the group passes the revisions on. */
static bool is_reported(const membership_t *m)
{
	for (size_t i = 0; i < m->notice_target_count; i++) {
		if (is_up_to_date(m, &m->notice_targets[i]))
			return true;
	}
	return false;
}

static void note_sent(membership_t *m, const notice_target_t *target,
		      int64_t now)
{
	int index = membership_view_find(m->view, target->to);
	int64_t *notified_us = target->remote_dc
				       ? &target->remote_dc->notified_us
			       : index >= 0 ? &m->host_states[index].notified_us
					    : NULL;

	if (notified_us && !*notified_us)
		*notified_us = now;
}

void membership_notice_tick(membership_t *m, int64_t now)
{
	membership_notice notice;

	if (now < m->next_notice_us || !m->view)
		return;
	if (m->is_reporting && is_reported(m)) {
		m->next_notice_us = INT64_MAX;
		return;
	}
	add_groups_without_leader(m, now);
	notice.roster_revision = m->view->revision;
	notice.table_revision = m->table_revision;
	m->next_notice_us = ++m->notice_attempts < NOTICE_ATTEMPTS_MAX
				    ? now + NOTICE_RETRY_US
				    : INT64_MAX;
	/* A send may call back into this module and replace the targets. */
	for (size_t i = 0; i < m->notice_target_count; i++) {
		notice_target_t *target = &m->notice_targets[i];
		remote_dc_t *remote_dc = target->remote_dc;

		if (is_up_to_date(m, target))
			continue;
		/* The leaders of other data centres are not known, so any host
		 * there is tried if they do not answer. */
		if (remote_dc && !is_answering(remote_dc->notified_us, now))
			target->to = remote_dc->hosts[cas_rng_below(
				m->rng, (uint32_t)remote_dc->count)];
		note_sent(m, target, now);
		m->ops->send_notice(target->to, &notice, m->private_data);
	}
}

int membership_on_notice(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_notice *notice,
			 membership_notice_reply *reply)
{
	(void)incarnation;
	membership_record_revisions(m, from, notice->roster_revision,
				    notice->table_revision);
	reply->roster_revision = m->newest.roster_revision;
	reply->table_revision = m->newest.table_revision;
	return 0;
}

void membership_on_notice_reply(membership_t *m, cas_id_t from,
				uint64_t incarnation,
				const membership_notice_reply *reply)
{
	int index = membership_view_find(m->view, from);
	bool knows_all = m->view &&
			 reply->table_revision >= m->table_revision &&
			 reply->roster_revision >= m->view->revision;

	(void)incarnation;
	if (index >= 0)
		m->host_states[index].notified_us = 0;
	for (size_t i = 0; i < m->notice_target_count; i++) {
		notice_target_t *target = &m->notice_targets[i];

		if (target->to != from)
			continue;
		if (target->remote_dc)
			target->remote_dc->notified_us = 0;
		if (knows_all)
			target->acknowledged = true;
	}
	for (size_t i = 0; knows_all && i < m->dropped_count; i++)
		if (m->dropped[i].id == from) {
			remove_dropped(m, i);
			break;
		}
}
