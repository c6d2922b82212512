/* Failure detection, and election of group leaders and watchers. */
#include "membership_internal.h"

/* Key of the rendezvous hash that elects the watchers: "watchers" in ASCII. */
#define WATCHER_KEY UINT64_C(0x7761746368657273)

size_t membership_own_group(const membership_t *m)
{
	if (m->view->self_index < 0)
		return 0;
	return membership_group_of(m->view->count, (size_t)m->view->self_index);
}

bool membership_is_live(const membership_t *m, size_t index, int64_t now)
{
	int64_t remaining_us = m->host_states[index].liveness_expire_us - now;
	bool own_group = membership_group_of(m->view->count, index) ==
			 membership_own_group(m);

	if ((int)index == m->view->self_index ||
	    m->host_states[index].reported_until_us > now)
		return true;
	return remaining_us >
	       MEMBERSHIP_LEASE_US -
		       (own_group ? LIVE_OWN_GROUP_US : LIVE_OTHER_GROUP_US);
}

/* Returns true when the host is neither draining nor listed as leaving. */
static bool is_staying(const membership_t *m, size_t index)
{
	return !m->host_states[index].leaving &&
	       !m->host_states[index].draining;
}

/* Fills leaders with the first live hosts of a group. Hosts that are draining
 * or leaving are skipped unless include_departing is set. */
static void collect_leaders(const membership_t *m, size_t group, int64_t now,
			    bool include_departing, leaders_t *leaders)
{
	size_t end = membership_group_start(m->view->count, group + 1);

	leaders->count = 0;
	for (size_t i = membership_group_start(m->view->count, group);
	     i < end && leaders->count < LEADER_COUNT; i++) {
		if (membership_is_live(m, i, now) &&
		    (include_departing || is_staying(m, i)))
			leaders->indexes[leaders->count++] = i;
	}
}

void membership_find_leaders(const membership_t *m, size_t group, int64_t now,
			     leaders_t *leaders)
{
	collect_leaders(m, group, now, false, leaders);
	if (leaders->count == 0)
		collect_leaders(m, group, now, true, leaders);
}

int membership_leader_rank(const membership_t *m, int64_t now)
{
	leaders_t leaders;

	if (!m->view || m->view->self_index < 0)
		return -1;
	membership_find_leaders(m, membership_own_group(m), now, &leaders);
	for (size_t i = 0; i < leaders.count; i++) {
		if ((int)leaders.indexes[i] == m->view->self_index)
			return (int)i;
	}
	return -1;
}

bool membership_is_leader(const membership_t *m)
{
	return membership_leader_rank(m, cas_clock_now(m->clock)) >= 0;
}

bool membership_is_watcher(const membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);
	uint64_t own_weight = cas_rendezvous_weight(m->self_id, WATCHER_KEY);
	int higher_count = 0;

	/* Without a host list, no other host is known to watch. A host that is
	 * not in its list watches as well. */
	if (!m->view || m->view->self_index < 0)
		return true;
	if (!is_staying(m, (size_t)m->view->self_index))
		return false;
	for (size_t i = 0; i < m->view->count; i++) {
		if ((int)i != m->view->self_index && is_staying(m, i) &&
		    membership_is_live(m, i, now) &&
		    cas_rendezvous_weight(m->view->ids[i], WATCHER_KEY) >
			    own_weight)
			higher_count++;
	}
	return higher_count < WATCHER_COUNT;
}

bool membership_is_draining(const membership_t *m, cas_id_t host)
{
	int index = membership_view_find(m->view, host);

	if (index < 0)
		return false;
	return index == m->view->self_index ? m->draining
					    : m->host_states[index].draining;
}

membership_state_t membership_state_of(const membership_t *m, cas_id_t host)
{
	int64_t now = cas_clock_now(m->clock);
	int index = membership_view_find(m->view, host);

	if (index < 0)
		return MEMBERSHIP_UNKNOWN;

	if (index == m->view->self_index)
		return m->draining ? MEMBERSHIP_DRAINING : MEMBERSHIP_ALIVE;
	if (!membership_is_live(m, (size_t)index, now))
		return MEMBERSHIP_SUSPECT;
	if (!m->host_states[index].known)
		return MEMBERSHIP_UNKNOWN;
	return is_staying(m, (size_t)index) ? MEMBERSHIP_ALIVE
					    : MEMBERSHIP_DRAINING;
}
