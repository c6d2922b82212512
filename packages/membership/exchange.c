/*
 * Schedules beats and chooses which hosts get them. A member sends its beats to
 * one leader of its group, chosen by the parity of its index, or to both when
 * the data centre is one group. The two leaders of a group divide the other
 * groups between them by parity. Of each two groups only one sends beats to the
 * other, as a beat and its reply carry the confirmations of both. The first
 * leader of a group also exchanges everything it knows with the second. A daemon
 * that starts, or begins or ends to drain, tells its whole group at once.
 */
#include "membership_internal.h"

/* A host's first reply carries the stamp that a beat must echo to confirm a
 * revision, so the next beat is sent this soon after the reply, but not sooner
 * than the gap after the beat before. */
#define EARLY_BEAT_DELAY_US (100 * CAS_USEC_PER_MSEC)
#define EARLY_BEAT_GAP_US (300 * CAS_USEC_PER_MSEC)
/* Period of beats for a short time after a new host list, so that the fence is
 * held at the new revision before the confirmations of the earlier expire. */
#define FAST_PERIOD_US (300 * CAS_USEC_PER_MSEC)
/* The beat to the sibling is sent this long after those to other groups, so
 * that it carries what their replies relayed. */
#define SIBLING_BEAT_DELAY_US (100 * CAS_USEC_PER_MSEC)
/* The second leader sends beats to the first one after this silence. */
#define SIBLING_SILENT_US (1500 * CAS_USEC_PER_MSEC)
/* After a leader has been silent for this long, other groups send beats to it
 * even if its group should send them, and its sibling takes over its work. */
#define LEADER_SILENT_US (2500 * CAS_USEC_PER_MSEC)

/* Adds a host that is to get a beat in this period, unless it is this host or
 * already there. */
static void add_target(membership_t *m, cas_id_t to, uint32_t kind, bool probe)
{
	if (to == m->self_id ||
	    m->beat_target_count >= talloc_array_length(m->beat_targets))
		return;
	for (size_t i = 0; i < m->beat_target_count; i++) {
		if (m->beat_targets[i].to == to)
			return;
	}
	m->beat_targets[m->beat_target_count++] =
		(beat_target_t){ .to = to, .kind = kind, .is_probe = probe };
}

/* Returns the index of a random host of a group. */
static size_t random_index_in_group(const membership_t *m, size_t group)
{
	size_t start = membership_group_start(m->view->count, group);
	size_t end = membership_group_start(m->view->count, group + 1);

	return start + cas_rng_below(m->rng, (uint32_t)(end - start));
}

/* Returns true when a target of this period has replied, or there was none. */
static bool has_any_reply(const membership_t *m)
{
	for (size_t i = 0; i < m->beat_target_count; i++) {
		if (m->beat_targets[i].replied)
			return true;
	}
	return m->beat_target_count == 0;
}

/* Adds the first leader of a random group, to serve a member until its own
 * group has leaders again. Used when no target replied in the last period.
 * If that group has no leader, or is the only one, a random host of it is
 * probed. */
static void add_fallback_target(membership_t *m, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	size_t group = cas_rng_below(m->rng, (uint32_t)groups);
	leaders_t leaders;

	membership_find_leaders(m, group, now, &leaders);
	if (groups > 1 && leaders.count > 0)
		add_target(m, m->view->ids[leaders.indexes[0]],
			   MEMBERSHIP_KIND_MEMBER, false);
	else
		add_target(m, m->view->ids[random_index_in_group(m, group)],
			   MEMBERSHIP_KIND_MEMBER, true);
}

/* Adds the leaders to which a member, or a host that is not listed, sends its
 * beats. */
static void add_member_targets(membership_t *m, const leaders_t *leaders)
{
	size_t self =
		m->view->self_index >= 0 ? (size_t)m->view->self_index : 0;
	bool single_group = membership_group_count(m->view->count) == 1;

	for (size_t i = 0; i < leaders->count; i++) {
		if (single_group || leaders->count == 1 ||
		    self % LEADER_COUNT == i)
			add_target(m, m->view->ids[leaders->indexes[i]],
				   MEMBERSHIP_KIND_MEMBER, false);
	}
}

/* Adds a host of the group that is not live, if one is found from a random
 * index on. Without such probes, hosts that have lost contact with each other
 * would not find each other again. */
static void add_probe_target(membership_t *m, size_t group, int64_t now)
{
	size_t index = random_index_in_group(m, group);
	size_t end = membership_group_start(m->view->count, group + 1);

	for (; index < end; index++) {
		if (!membership_is_live(m, index, now)) {
			add_target(m, m->view->ids[index],
				   MEMBERSHIP_KIND_MEMBER, true);
			return;
		}
	}
}

/* Returns true when group a sends beats to group b. For any two groups, exactly
 * one of them sends beats to the other. */
static bool is_initiator(size_t a, size_t b)
{
	return ((((a + b) >> 1) & 1) == 1) == (a < b);
}

/* Returns true when this daemon has received neither a beat nor a reply of the
 * host for longer than limit_us. */
static bool is_silent(const membership_t *m, size_t index, int64_t now,
		      int64_t limit_us)
{
	return now - m->host_states[index].last_direct_us > limit_us;
}

/* Adds the leader of another group with which this leader exchanges beats, if
 * this group sends them or that leader is silent. A random host of the group is
 * probed when the group has no live leader. */
static void add_group_target(membership_t *m, size_t own_group,
			     size_t other_group, int64_t now)
{
	size_t rank = (own_group + other_group) % LEADER_COUNT;
	leaders_t leaders;
	size_t index;

	membership_find_leaders(m, other_group, now, &leaders);
	if (leaders.count > 0)
		index = leaders.indexes[rank < leaders.count ? rank : 0];
	else
		index = random_index_in_group(m, other_group);
	if (is_initiator(own_group, other_group) ||
	    is_silent(m, index, now, LEADER_SILENT_US))
		add_target(m, m->view->ids[index], MEMBERSHIP_KIND_GROUP,
			   leaders.count == 0);
}

/* Returns a random host of another data centre. The first hosts of each group,
 * which probably lead it, are avoided to spread the load: any host can pass
 * revisions on. */
static cas_id_t random_remote_host(const membership_t *m,
				   const remote_dc_t *remote_dc)
{
	size_t index = cas_rng_below(m->rng, (uint32_t)remote_dc->count);
	size_t group = membership_group_of(remote_dc->count, index);
	size_t start = membership_group_start(remote_dc->count, group);
	size_t end = membership_group_start(remote_dc->count, group + 1);

	if (index < start + LEADER_COUNT && start + LEADER_COUNT < end)
		index = end - 1;
	return remote_dc->hosts[index];
}

/* Adds the contact in another data centre; chooses one if there is none. */
static void add_remote_target(membership_t *m, remote_dc_t *remote_dc)
{
	if (!remote_dc->contact && remote_dc->count)
		remote_dc->contact = random_remote_host(m, remote_dc);
	if (remote_dc->contact)
		add_target(m, remote_dc->contact, MEMBERSHIP_KIND_REMOTE,
			   false);
}

/*
 * Adds this leader's share of the other data centres. The first leaders of all
 * groups divide them, or both leaders of a single group. Beats to them are sent
 * in every second period only: notices already spread new revisions, and
 * traffic between regions is billed by volume.
 */
static void add_remote_targets(membership_t *m, size_t leader_count,
			       size_t rank)
{
	size_t groups = membership_group_count(m->view->count);
	size_t share_count = groups > 1 ? groups : leader_count;
	size_t share = groups > 1 ? membership_own_group(m) : rank;

	m->skip_remote_dcs = !m->skip_remote_dcs;
	if (m->skip_remote_dcs || share_count == 0 || (groups > 1 && rank > 0))
		return;
	for (size_t i = share; i < m->remote_dc_count; i += share_count)
		add_remote_target(m, &m->remote_dcs[i]);
}

/* Adds the other leader of the own group. The second leader does so only when
 * the first one is silent. */
static void add_sibling_target(membership_t *m, const leaders_t *own_leaders,
			       size_t rank, int64_t now)
{
	size_t index;

	if (own_leaders->count < LEADER_COUNT)
		return;
	index = own_leaders->indexes[1 - rank];
	if (rank == 0 ||
	    now - m->host_states[index].last_direct_us > SIBLING_SILENT_US)
		add_target(m, m->view->ids[index], MEMBERSHIP_KIND_SIBLING,
			   false);
}

/* Adds the hosts to which this leader, of the given rank, sends its beats. */
static void add_leader_targets(membership_t *m, const leaders_t *own_leaders,
			       size_t rank, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	size_t group = membership_own_group(m);
	bool sibling_silent = own_leaders->count < LEADER_COUNT ||
			      is_silent(m, own_leaders->indexes[1 - rank], now,
					LEADER_SILENT_US);

	add_sibling_target(m, own_leaders, rank, now);
	for (size_t i = 0; i < groups; i++) {
		bool own_share =
			sibling_silent || (group + i) % LEADER_COUNT == rank;

		if (i != group && own_share)
			add_group_target(m, group, i, now);
	}
	add_remote_targets(m, own_leaders->count, rank);
	add_probe_target(m, group, now);
}

/* Chooses the hosts that get a beat in this period. A host that is not in its
 * own host list sends beats to the leaders of the first group, to learn of
 * newer lists. */
static void choose_targets(membership_t *m, int64_t now)
{
	size_t group = membership_own_group(m);
	int rank = membership_leader_rank(m, now);
	bool any_reply = has_any_reply(m);
	leaders_t leaders;

	m->beat_target_count = 0;
	if (m->view->count == 0)
		return;
	membership_find_leaders(m, group, now, &leaders);
	if (rank >= 0)
		add_leader_targets(m, &leaders, (size_t)rank, now);
	else
		add_member_targets(m, &leaders);
	if (rank < 0 && !any_reply)
		add_fallback_target(m, now);
	if (m->beat_target_count == 0 || m->non_leader_replied)
		add_probe_target(m, group, now);
	m->non_leader_replied = false;
}

/* Sends the beats to the sibling, or those to all other targets. */
static void send_beats(membership_t *m, bool to_sibling, int64_t now)
{
	/* A send may call back into this module and replace the targets. */
	for (size_t i = 0; i < m->beat_target_count; i++) {
		const beat_target_t *target = &m->beat_targets[i];

		if ((target->kind == MEMBERSHIP_KIND_SIBLING) == to_sibling)
			membership_send_beat(m, target->to, target->kind, now);
	}
}

static bool is_target(const membership_t *m, cas_id_t host)
{
	for (size_t i = 0; i < m->beat_target_count; i++) {
		if (m->beat_targets[i].to == host)
			return true;
	}
	return false;
}

/* Sends a beat to each host of the own group that is not a target anyway, since
 * the state of this daemon has changed and these would learn of it only in one
 * or two periods. */
static void announce_state(membership_t *m, int64_t now)
{
	size_t group = membership_own_group(m);
	size_t end = membership_group_start(m->view->count, group + 1);

	for (size_t i = membership_group_start(m->view->count, group); i < end;
	     i++) {
		cas_id_t host = m->view->ids[i];

		if (host != m->self_id && !is_target(m, host))
			membership_send_beat(m, host, MEMBERSHIP_KIND_MEMBER,
					     now);
	}
}

/* Chooses the targets of a new period and sends them beats. The beat to the
 * sibling is sent later. */
static void start_beat_round(membership_t *m, int64_t now)
{
	size_t count = m->view->count;

	/* The hosts of a large data centre do not fit into one run, so sibling
	 * beats relay one part of them after the other. */
	m->relay_first_index += RUN_HOSTS_MAX;
	if (m->relay_first_index >= count)
		m->relay_first_index = 0;
	choose_targets(m, now);
	send_beats(m, false, now);
	if (m->announce_state && m->view->self_index >= 0) {
		m->announce_state = false;
		announce_state(m, now);
	}
}

/* Adds both leaders of the own group, so that a member whose leader did not
 * reply also tries the other one. */
static void add_own_leaders(membership_t *m, int64_t now)
{
	leaders_t leaders;

	membership_find_leaders(m, membership_own_group(m), now, &leaders);
	for (size_t i = 0; i < leaders.count; i++)
		add_target(m, m->view->ids[leaders.indexes[i]],
			   MEMBERSHIP_KIND_MEMBER, false);
}

/* Sends the beats of this period that had no reply once more. Contacts in other
 * data centres are dropped instead, and another host is chosen next time. */
static void retry_unanswered(membership_t *m, int64_t now)
{
	size_t count = m->beat_target_count;

	for (size_t i = 0; i < count && i < m->beat_target_count; i++) {
		const beat_target_t *target = &m->beat_targets[i];

		if (target->replied || target->is_probe)
			continue;
		if (target->kind == MEMBERSHIP_KIND_REMOTE) {
			for (size_t k = 0; k < m->remote_dc_count; k++) {
				if (m->remote_dcs[k].contact == target->to)
					m->remote_dcs[k].contact = 0;
			}
			continue;
		}
		if (target->kind == MEMBERSHIP_KIND_MEMBER)
			add_own_leaders(m, now);
		membership_send_beat(m, m->beat_targets[i].to,
				     m->beat_targets[i].kind, now);
	}
	for (size_t i = count; i < m->beat_target_count; i++)
		membership_send_beat(m, m->beat_targets[i].to,
				     m->beat_targets[i].kind, now);
}

void membership_exchange_replied(membership_t *m, cas_id_t from)
{
	int64_t now = cas_clock_now(m->clock);
	int64_t early_us = now + EARLY_BEAT_DELAY_US;
	int index = membership_view_find(m->view, from);

	for (size_t i = 0; i < m->beat_target_count; i++) {
		if (m->beat_targets[i].to == from)
			m->beat_targets[i].replied = true;
	}
	if (index < 0 || m->host_states[index].stamp_received_us != 0)
		return;
	if (early_us < m->last_beat_us + EARLY_BEAT_GAP_US)
		early_us = m->last_beat_us + EARLY_BEAT_GAP_US;
	if (early_us < m->next_beat_us)
		m->next_beat_us = early_us;
}

void membership_exchange_tick(membership_t *m, int64_t now)
{
	int64_t period_us = now < m->fast_beats_until_us ? FAST_PERIOD_US
							 : MEMBERSHIP_PERIOD_US;

	if (!m->view)
		return;
	if (now >= m->next_beat_us) {
		m->next_beat_us += period_us;
		if (m->next_beat_us <= now)
			m->next_beat_us = now + period_us;
		m->last_beat_us = now;
		m->next_retry_us = now + RETRY_DELAY_US;
		m->sibling_beat_us = now + SIBLING_BEAT_DELAY_US;
		start_beat_round(m, now);
	} else if (now >= m->sibling_beat_us) {
		m->sibling_beat_us = INT64_MAX;
		send_beats(m, true, now);
	} else if (now >= m->next_retry_us) {
		m->next_retry_us = INT64_MAX;
		retry_unanswered(m, now);
	}
}
