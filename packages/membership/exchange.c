/*
 * Who beats to whom. A member beats to one leader of its group, chosen by the
 * parity of its index, or to both when the data centre is one group. The two
 * leaders of a group share the other groups by parity, and each pair of groups
 * has one caller, since an exchange carries both groups' confirmations. The
 * first leader exchanges all it knows with the second.
 */
#include "membership_internal.h"

/* A first reply makes confirmations possible; the next beat comes early. */
#define EARLY_BEAT_US (100 * CAS_USEC_PER_MSEC)
#define EARLY_GAP_US (300 * CAS_USEC_PER_MSEC)
/* Period for a short time after a new list, so that the fence at the new
 * revision is held before the confirmations of the earlier one end. */
#define FAST_PERIOD_US (300 * CAS_USEC_PER_MSEC)
/* A leader that is silent for this long is called by both sides, and its
 * group's other leader does its work. */
/* The other leader is called after the groups, so that it gets their news. */
#define SIBLING_DELAY_US (100 * CAS_USEC_PER_MSEC)
#define SIBLING_SILENT_US (1500 * CAS_USEC_PER_MSEC)
#define LEADER_SILENT_US (2500 * CAS_USEC_PER_MSEC)

static void add_target(membership_t *m, cas_id_t to, uint32_t kind, bool probe)
{
	if (to == m->self || m->target_count >= talloc_array_length(m->targets))
		return;
	for (size_t i = 0; i < m->target_count; i++) {
		if (m->targets[i].to == to)
			return;
	}
	m->targets[m->target_count++] =
		(target_t){ .to = to, .kind = kind, .probe = probe };
}

static size_t any_of_group(const membership_t *m, size_t group)
{
	size_t start = membership_group_start(m->view->count, group);
	size_t end = membership_group_start(m->view->count, group + 1);

	return start + cas_rng_below(m->rng, (uint32_t)(end - start));
}

static bool was_answered(const membership_t *m)
{
	for (size_t i = 0; i < m->target_count; i++) {
		if (m->targets[i].replied)
			return true;
	}
	return m->target_count == 0;
}

/* Without an answer in the last period, any live host elsewhere may serve a
 * member until its group has leaders again. */
static void add_substitute(membership_t *m, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	size_t group = cas_rng_below(m->rng, (uint32_t)groups);
	leaders_t leaders;

	membership_leaders(m, group, now, &leaders);
	if (groups > 1 && leaders.count > 0)
		add_target(m, m->view->ids[leaders.index[0]],
			   MEMBERSHIP_KIND_MEMBER, false);
	else
		add_target(m, m->view->ids[any_of_group(m, group)],
			   MEMBERSHIP_KIND_MEMBER, true);
}

static void add_member_targets(membership_t *m, const leaders_t *leaders)
{
	size_t self = m->view->self >= 0 ? (size_t)m->view->self : 0;
	bool both = membership_group_count(m->view->count) == 1;

	for (size_t i = 0; i < leaders->count; i++) {
		if (both || leaders->count == 1 || self % LEADER_COUNT == i)
			add_target(m, m->view->ids[leaders->index[i]],
				   MEMBERSHIP_KIND_MEMBER, false);
	}
}

/* Beats to a host of the group that is not live, so that hosts that lost each
 * other meet again. */
static void add_probe(membership_t *m, size_t group, int64_t now)
{
	size_t index = any_of_group(m, group);
	size_t end = membership_group_start(m->view->count, group + 1);

	for (; index < end; index++) {
		if (!membership_is_live(m, index, now)) {
			add_target(m, m->view->ids[index],
				   MEMBERSHIP_KIND_MEMBER, true);
			return;
		}
	}
}

/* True when group a calls group b; exactly one of the two does. */
static bool is_caller(size_t a, size_t b)
{
	return ((((a + b) >> 1) & 1) == 1) == (a < b);
}

static bool is_silent(const membership_t *m, size_t index, int64_t now,
		      int64_t limit_us)
{
	return now - m->members[index].direct_us > limit_us;
}

static void add_group_target(membership_t *m, size_t own, size_t other,
			     int64_t now)
{
	size_t rank = (own + other) % LEADER_COUNT;
	leaders_t leaders;
	size_t index;

	membership_leaders(m, other, now, &leaders);
	if (leaders.count > 0)
		index = leaders.index[rank < leaders.count ? rank : 0];
	else
		index = any_of_group(m, other);
	if (is_caller(own, other) || is_silent(m, index, now, LEADER_SILENT_US))
		add_target(m, m->view->ids[index], MEMBERSHIP_KIND_GROUP,
			   leaders.count == 0);
}

/* Returns a host that is not listed among the first of its group, as these
 * carry the leaders' work; any host passes revisions on. */
static cas_id_t any_of_other(const membership_t *m, const other_dc_t *other)
{
	size_t index = cas_rng_below(m->rng, (uint32_t)other->count);
	size_t group = membership_group_of(other->count, index);
	size_t start = membership_group_start(other->count, group);
	size_t end = membership_group_start(other->count, group + 1);

	if (index < start + LEADER_COUNT && start + LEADER_COUNT < end)
		index = end - 1;
	return other->hosts[index];
}

static void add_other_target(membership_t *m, other_dc_t *other)
{
	if (!other->contact && other->count)
		other->contact = any_of_other(m, other);
	if (other->contact)
		add_target(m, other->contact, MEMBERSHIP_KIND_REMOTE, false);
}

/*
 * The first leaders share the other data centres, or both leaders of a single
 * group do. These are called in every second period: news spreads by notices,
 * and links between regions are billed by volume.
 */
static void add_other_targets(membership_t *m, size_t leaders, size_t rank)
{
	size_t groups = membership_group_count(m->view->count);
	size_t slots = groups > 1 ? groups : leaders;
	size_t slot = groups > 1 ? membership_own_group(m) : rank;

	m->other_turn = !m->other_turn;
	if (m->other_turn || slots == 0 || (groups > 1 && rank > 0))
		return;
	for (size_t i = slot; i < m->other_count; i += slots)
		add_other_target(m, &m->others[i]);
}

static void add_sibling(membership_t *m, const leaders_t *own, size_t rank,
			int64_t now)
{
	size_t index;

	if (own->count < LEADER_COUNT)
		return;
	index = own->index[1 - rank];
	if (rank == 0 || now - m->members[index].direct_us > SIBLING_SILENT_US)
		add_target(m, m->view->ids[index], MEMBERSHIP_KIND_SIBLING,
			   false);
}

static void add_leader_targets(membership_t *m, const leaders_t *own,
			       size_t rank, int64_t now)
{
	size_t groups = membership_group_count(m->view->count);
	size_t group = membership_own_group(m);
	bool alone = own->count < LEADER_COUNT ||
		     is_silent(m, own->index[1 - rank], now, LEADER_SILENT_US);

	add_sibling(m, own, rank, now);
	for (size_t i = 0; i < groups; i++) {
		bool mine = alone || (group + i) % LEADER_COUNT == rank;

		if (i != group && mine)
			add_group_target(m, group, i, now);
	}
	add_other_targets(m, own->count, rank);
	add_probe(m, group, now);
}

/* A host that is not in its own list beats to the first group's leaders, to
 * learn of newer lists. */
static void choose_targets(membership_t *m, int64_t now)
{
	size_t group = membership_own_group(m);
	int rank = membership_rank(m, now);
	bool answered = was_answered(m);
	leaders_t leaders;

	m->target_count = 0;
	if (m->view->count == 0)
		return;
	membership_leaders(m, group, now, &leaders);
	if (rank >= 0)
		add_leader_targets(m, &leaders, (size_t)rank, now);
	else
		add_member_targets(m, &leaders);
	if (rank < 0 && !answered)
		add_substitute(m, now);
	if (m->target_count == 0 || m->misdirected)
		add_probe(m, group, now);
	m->misdirected = false;
}

static void send_targets(membership_t *m, bool sibling, int64_t now)
{
	/* Sending may call back and replace the targets. */
	for (size_t i = 0; i < m->target_count; i++) {
		const target_t *target = &m->targets[i];

		if ((target->kind == MEMBERSHIP_KIND_SIBLING) == sibling)
			membership_send_beat(m, target->to, target->kind, now);
	}
}

static void beat_all(membership_t *m, int64_t now)
{
	size_t count = m->view->count;

	/* A large data centre is relayed in parts. */
	m->relay_first += MEMBERSHIP_RUN_HOSTS;
	if (m->relay_first >= count)
		m->relay_first = 0;
	choose_targets(m, now);
	send_targets(m, false, now);
}

/* A member without a reply also tries the other leader. */
static void retry_other_leader(membership_t *m, int64_t now)
{
	leaders_t leaders;

	membership_leaders(m, membership_own_group(m), now, &leaders);
	for (size_t i = 0; i < leaders.count; i++)
		add_target(m, m->view->ids[leaders.index[i]],
			   MEMBERSHIP_KIND_MEMBER, false);
}

static void retry(membership_t *m, int64_t now)
{
	size_t count = m->target_count;

	for (size_t i = 0; i < count && i < m->target_count; i++) {
		const target_t *target = &m->targets[i];

		if (target->replied || target->probe)
			continue;
		if (target->kind == MEMBERSHIP_KIND_REMOTE) {
			for (size_t k = 0; k < m->other_count; k++) {
				if (m->others[k].contact == target->to)
					m->others[k].contact = 0;
			}
			continue;
		}
		if (target->kind == MEMBERSHIP_KIND_MEMBER)
			retry_other_leader(m, now);
		membership_send_beat(m, m->targets[i].to, m->targets[i].kind,
				     now);
	}
	for (size_t i = count; i < m->target_count; i++)
		membership_send_beat(m, m->targets[i].to, m->targets[i].kind,
				     now);
}

void membership_exchange_replied(membership_t *m, cas_id_t from)
{
	int64_t now = cas_clock_now(m->clock);
	int64_t early_us = now + EARLY_BEAT_US;
	int index = membership_view_find(m->view, from);

	for (size_t i = 0; i < m->target_count; i++) {
		if (m->targets[i].to == from)
			m->targets[i].replied = true;
	}
	if (index < 0 || m->members[index].stamp_at_us != 0)
		return;
	if (early_us < m->last_beat_us + EARLY_GAP_US)
		early_us = m->last_beat_us + EARLY_GAP_US;
	if (early_us < m->next_beat_us)
		m->next_beat_us = early_us;
}

void membership_exchange_tick(membership_t *m, int64_t now)
{
	int64_t period_us =
		now < m->fast_until_us ? FAST_PERIOD_US : MEMBERSHIP_PERIOD_US;

	if (!m->view)
		return;
	if (now >= m->next_beat_us) {
		m->next_beat_us += period_us;
		if (m->next_beat_us <= now)
			m->next_beat_us = now + period_us;
		m->last_beat_us = now;
		m->retry_us = now + RETRY_US;
		m->sibling_us = now + SIBLING_DELAY_US;
		beat_all(m, now);
	} else if (now >= m->sibling_us) {
		m->sibling_us = INT64_MAX;
		send_targets(m, true, now);
	} else if (now >= m->retry_us) {
		m->retry_us = INT64_MAX;
		retry(m, now);
	}
}
