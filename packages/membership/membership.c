/*
 * Creation of a membership, adoption of host lists and table revisions, and
 * the timer that drives its beats and notices.
 */
#include "cassia/membership.h"

#include "membership_internal.h"

/* The first beat after a new host list is sent after a random delay below
 * this. */
#define ADOPT_BEAT_DELAY_MAX_MS 200
/* How long beats are sent at a shorter period after a new host list. */
#define ADOPT_FAST_US (2 * CAS_USEC_PER_SEC)
/* Minimum time between two such intervals, so that a host list that changes
 * constantly does not triple the number of messages. */
#define ADOPT_FAST_GAP_US (4 * CAS_USEC_PER_SEC)

membership_t *membership_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				cas_rng_t *rng, const membership_ops_t *ops,
				void *private_data, cas_id_t self,
				uint64_t self_incarnation, cas_id_t data_centre)
{
	membership_t *m = talloc_zero(ctx, membership_t);

	if (!m)
		return NULL;
	m->clock = clock;
	m->rng = rng;
	m->ops = ops;
	m->private_data = private_data;
	m->self_id = self;
	m->dc_id = data_centre;
	m->incarnation = self_incarnation;
	m->stamp_offset_ms = (uint32_t)cas_rng_u64(rng);
	m->fence_last_held_us = INT64_MIN / 2;
	m->fast_beats_until_us = INT64_MIN / 2;
	m->sibling_beat_us = INT64_MAX;
	m->next_retry_us = INT64_MAX;
	m->next_notice_us = INT64_MAX;
	m->next_beat_us = cas_clock_now(clock);
	m->announce_state = true;
	return m;
}

/* Counts the hosts outside data centre dc. */
static size_t count_remote_hosts(const roster_t *roster, cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++)
		count += roster->hosts[i].data_centre_id != dc;
	return count;
}

static remote_dc_t *find_remote_dc(remote_dc_t *remote_dcs, size_t count,
				   cas_id_t id)
{
	for (size_t i = 0; i < count; i++) {
		if (remote_dcs[i].id == id)
			return &remote_dcs[i];
	}
	return NULL;
}

/* Adds an entry with the number of hosts for each data centre but dc, in the
 * order in which they first appear in the list. Returns how many there are.
 * remote_dcs must be zeroed and have room for all of them. */
static size_t count_remote_dcs(remote_dc_t *remote_dcs, const roster_t *roster,
			       cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++) {
		cas_id_t id = roster->hosts[i].data_centre_id;
		remote_dc_t *remote_dc = find_remote_dc(remote_dcs, count, id);

		if (id == dc)
			continue;
		if (!remote_dc) {
			remote_dc = &remote_dcs[count++];
			remote_dc->id = id;
		}
		remote_dc->count++;
	}
	return count;
}

/* Replaces the hosts of the other data centres by those of a new host list. */
static int set_remote_dcs(membership_t *m, const roster_t *roster)
{
	remote_dc_t *remote_dcs = talloc_zero_array(
		m, remote_dc_t, count_remote_hosts(roster, m->dc_id) + 1);
	size_t count;

	if (!remote_dcs)
		return MEMBERSHIP_ENOMEM;
	count = count_remote_dcs(remote_dcs, roster, m->dc_id);
	remote_dcs = talloc_realloc(m, remote_dcs, remote_dc_t, count + 1);
	for (size_t i = 0; i < count; i++) {
		remote_dcs[i].hosts =
			talloc_array(remote_dcs, cas_id_t, remote_dcs[i].count);
		if (!remote_dcs[i].hosts) {
			talloc_free(remote_dcs);
			return MEMBERSHIP_ENOMEM;
		}
		remote_dcs[i].count = 0;
	}
	for (size_t i = 0; i < roster->host_count; i++) {
		remote_dc_t *remote_dc = find_remote_dc(
			remote_dcs, count, roster->hosts[i].data_centre_id);

		if (remote_dc)
			remote_dc->hosts[remote_dc->count++] =
				roster->hosts[i].id;
	}
	for (size_t i = 0; i < count; i++) {
		const remote_dc_t *previous = find_remote_dc(
			m->remote_dcs, m->remote_dc_count, remote_dcs[i].id);

		if (previous)
			remote_dcs[i].notified_us = previous->notified_us;
	}
	talloc_free(m->remote_dcs);
	m->remote_dcs = remote_dcs;
	m->remote_dc_count = count;
	return 0;
}

/* Returns the state of each host in a new view, owned by the view, or NULL when
 * memory runs out. What is known of a host is kept. A host that was not listed
 * before counts as live at first, to give it time to be heard from. */
static host_state_t *create_host_states(const membership_t *m, view_t *view,
					const roster_t *roster, int64_t now)
{
	host_state_t *states =
		talloc_zero_array(view, host_state_t, view->count);
	size_t roster_index = 0;

	if (!states)
		return NULL;
	for (size_t i = 0; i < view->count; i++) {
		int old_index = membership_view_find(m->view, view->ids[i]);

		if (old_index >= 0)
			states[i] = m->host_states[old_index];
		else
			states[i].liveness_expire_us =
				now + MEMBERSHIP_LEASE_US;
		while (roster->hosts[roster_index].id != view->ids[i])
			roster_index++;
		states[i].leaving = roster->hosts[roster_index].leaving;
	}
	if (view->self_index >= 0)
		states[view->self_index].draining = m->draining;
	return states;
}

/* Drops all targets and makes room for those of the view in use. */
static int resize_targets(membership_t *m)
{
	size_t beat_targets_max = membership_group_count(m->view->count) +
				  m->remote_dc_count + 2 * LEADER_COUNT;
	size_t notice_targets_max =
		m->view->count + m->remote_dc_count + DROPPED_HOSTS_MAX;

	talloc_free(m->beat_targets);
	m->beat_target_count = 0;
	m->beat_targets = talloc_zero_array(m, beat_target_t, beat_targets_max);
	talloc_free(m->notice_targets);
	m->notice_target_count = 0;
	m->notice_targets =
		talloc_zero_array(m, notice_target_t, notice_targets_max);
	if (!m->beat_targets || !m->notice_targets)
		return MEMBERSHIP_ENOMEM;
	return membership_relay_resize(m);
}

/* Keeps the view in use as the previous one. After a major change it is freed
 * instead, and this daemon confirms no revision for two leases. */
static void retire_current_view(membership_t *m, view_t *new_view, int64_t now)
{
	bool major_change = membership_view_is_major_change(m->view, new_view);

	talloc_free(m->previous_view);
	m->previous_view = NULL;
	if (new_view->revision != m->view->revision + 1 || major_change)
		m->fence_epoch++;
	if (major_change) {
		m->confirm_from_us = now + 2 * MEMBERSHIP_LEASE_US;
		talloc_free(m->view);
		return;
	}
	if (membership_is_confirming(m, now))
		m->view->self_expire_us = now + MEMBERSHIP_LEASE_US;
	m->previous_view = m->view;
}

int membership_set_roster(membership_t *m, const roster_t *roster)
{
	int64_t now = cas_clock_now(m->clock);
	int64_t first_beat_us =
		now + cas_rng_below(m->rng, ADOPT_BEAT_DELAY_MAX_MS) * 1000;
	view_t *view;
	host_state_t *host_states;

	if (m->view && roster->revision <= m->view->revision)
		return MEMBERSHIP_EREVISION;
	view = membership_view_create(m, roster, m->dc_id, m->self_id);
	if (!view)
		return MEMBERSHIP_ENOMEM;
	host_states = create_host_states(m, view, roster, now);
	if (!host_states || set_remote_dcs(m, roster)) {
		talloc_free(view);
		return MEMBERSHIP_ENOMEM;
	}
	talloc_free(m->host_states);
	membership_notice_dropped(m, view, now);
	if (m->view)
		retire_current_view(m, view, now);
	m->view = view;
	m->host_states = host_states;
	view->self_since_us =
		now > m->confirm_from_us ? now : m->confirm_from_us;
	m->relay_first_index = 0;
	if (roster->revision > m->newest.roster_revision) {
		m->newest.roster_revision = roster->revision;
		m->newest.roster_host = 0;
	}
	if (now >= m->fast_beats_until_us + ADOPT_FAST_GAP_US)
		m->fast_beats_until_us = now + ADOPT_FAST_US;
	if (m->next_beat_us > first_beat_us)
		m->next_beat_us = first_beat_us;
	if (resize_targets(m))
		return MEMBERSHIP_ENOMEM;
	membership_notice_adopted(m);
	return 0;
}

int membership_set_table_revision(membership_t *m, int64_t revision)
{
	if (revision <= m->table_revision)
		return MEMBERSHIP_EREVISION;
	m->table_revision = revision;
	if (revision > m->newest.table_revision) {
		m->newest.table_revision = revision;
		m->newest.table_host = 0;
	}
	membership_notice_adopted(m);
	return 0;
}

void membership_set_draining(membership_t *m, bool draining)
{
	if (draining != m->draining) {
		m->announce_state = true;
		m->next_beat_us = cas_clock_now(m->clock);
	}
	m->draining = draining;
	if (m->view && m->view->self_index >= 0)
		m->host_states[m->view->self_index].draining = draining;
}

void membership_tick(membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);

	membership_fence_update_epoch(m, now);
	membership_exchange_tick(m, now);
	membership_notice_tick(m, now);
}

int64_t membership_next_due(const membership_t *m)
{
	int64_t due = m->view ? m->next_beat_us : INT64_MAX;

	if (m->sibling_beat_us < due)
		due = m->sibling_beat_us;
	if (m->next_retry_us < due)
		due = m->next_retry_us;
	return m->next_notice_us < due ? m->next_notice_us : due;
}

membership_newest_t membership_newest(const membership_t *m)
{
	membership_newest_t newest = m->newest;

	if (newest.table_revision <= m->table_revision)
		newest.table_host = 0;
	if (m->view && newest.roster_revision <= m->view->revision)
		newest.roster_host = 0;
	return newest;
}
