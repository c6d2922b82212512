/* Live hosts, leaders of groups, watchers. */
#include "membership_internal.h"

/* Key of the rendezvous hashing that chooses the watchers. */
#define WATCHER_KEY UINT64_C(0x7761746368657273)

size_t membership_own_group(const membership_t *m)
{
	if (m->view->self < 0)
		return 0;
	return membership_group_of(m->view->count, (size_t)m->view->self);
}

bool membership_is_live(const membership_t *m, size_t index, int64_t now)
{
	int64_t left_us = m->members[index].heard_until_us - now;
	bool own = membership_group_of(m->view->count, index) ==
		   membership_own_group(m);

	if ((int)index == m->view->self ||
	    m->members[index].told_until_us > now)
		return true;
	return left_us >
	       MEMBERSHIP_LEASE_US - (own ? LIVE_GROUP_US : LIVE_OTHER_US);
}

static bool is_staying(const membership_t *m, size_t index)
{
	return !m->members[index].leaving && !m->members[index].draining;
}

static void collect_leaders(const membership_t *m, size_t group, int64_t now,
			    bool any, leaders_t *leaders)
{
	size_t end = membership_group_start(m->view->count, group + 1);

	leaders->count = 0;
	for (size_t i = membership_group_start(m->view->count, group);
	     i < end && leaders->count < LEADER_COUNT; i++) {
		if (membership_is_live(m, i, now) && (any || is_staying(m, i)))
			leaders->index[leaders->count++] = i;
	}
}

void membership_leaders(const membership_t *m, size_t group, int64_t now,
			leaders_t *leaders)
{
	collect_leaders(m, group, now, false, leaders);
	if (leaders->count == 0)
		collect_leaders(m, group, now, true, leaders);
}

int membership_rank(const membership_t *m, int64_t now)
{
	leaders_t leaders;

	if (!m->view || m->view->self < 0)
		return -1;
	membership_leaders(m, membership_own_group(m), now, &leaders);
	for (size_t i = 0; i < leaders.count; i++) {
		if ((int)leaders.index[i] == m->view->self)
			return (int)i;
	}
	return -1;
}

bool membership_is_leader(const membership_t *m)
{
	return membership_rank(m, cas_clock_now(m->clock)) >= 0;
}

bool membership_is_watcher(const membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);
	uint64_t own = cas_rendezvous_weight(m->self, WATCHER_KEY);
	int ahead = 0;

	/* Without a host list nobody else is known to watch. */
	if (!m->view || m->view->self < 0)
		return true;
	if (!is_staying(m, (size_t)m->view->self))
		return false;
	for (size_t i = 0; i < m->view->count; i++) {
		if ((int)i != m->view->self && is_staying(m, i) &&
		    membership_is_live(m, i, now) &&
		    cas_rendezvous_weight(m->view->ids[i], WATCHER_KEY) > own)
			ahead++;
	}
	return ahead < WATCHER_COUNT;
}

membership_state_t membership_state_of(const membership_t *m, cas_id_t host)
{
	int64_t now = cas_clock_now(m->clock);
	int index = membership_view_find(m->view, host);

	if (index < 0)
		return MEMBERSHIP_UNKNOWN;

	if (index == m->view->self)
		return m->draining ? MEMBERSHIP_DRAINING : MEMBERSHIP_ALIVE;
	if (!membership_is_live(m, (size_t)index, now))
		return MEMBERSHIP_SUSPECT;
	if (!m->members[index].known)
		return MEMBERSHIP_UNKNOWN;
	return is_staying(m, (size_t)index) ? MEMBERSHIP_ALIVE
					    : MEMBERSHIP_DRAINING;
}
