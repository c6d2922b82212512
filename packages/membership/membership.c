/* Creation, host lists, own state and time of a membership. */
#include "cassia/membership.h"

#include "membership_internal.h"

/* The first beat after a new list comes within this time. */
#define ADOPT_BEAT_MS 200
/* How long beats come faster after a new list. */
#define ADOPT_FAST_US (2 * CAS_USEC_PER_SEC)
/* Least time between two such times, so that a list that changes all the time
 * does not triple the messages. */
#define ADOPT_REST_US (4 * CAS_USEC_PER_SEC)

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
	m->self = self;
	m->dc = data_centre;
	m->incarnation = self_incarnation;
	m->stamp_offset_ms = (uint32_t)cas_rng_u64(rng);
	m->last_held_us = INT64_MIN / 2;
	m->fast_until_us = INT64_MIN / 2;
	m->sibling_us = INT64_MAX;
	m->retry_us = INT64_MAX;
	m->notice_us = INT64_MAX;
	m->next_beat_us = cas_clock_now(clock);
	return m;
}

static size_t other_count_max(const roster_t *roster, cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++)
		count += roster->hosts[i].data_centre_id != dc;
	return count;
}

static other_dc_t *find_other(other_dc_t *others, size_t count, cas_id_t id)
{
	for (size_t i = 0; i < count; i++) {
		if (others[i].id == id)
			return &others[i];
	}
	return NULL;
}

/* Counts the hosts of each other data centre, in order of first sight. */
static size_t count_others(other_dc_t *others, const roster_t *roster,
			   cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++) {
		cas_id_t id = roster->hosts[i].data_centre_id;
		other_dc_t *other = find_other(others, count, id);

		if (id == dc)
			continue;
		if (!other) {
			other = &others[count++];
			other->id = id;
		}
		other->count++;
	}
	return count;
}

static int set_others(membership_t *m, const roster_t *roster)
{
	other_dc_t *others = talloc_zero_array(
		m, other_dc_t, other_count_max(roster, m->dc) + 1);
	size_t count;

	if (!others)
		return MEMBERSHIP_ENOMEM;
	count = count_others(others, roster, m->dc);
	others = talloc_realloc(m, others, other_dc_t, count + 1);
	for (size_t i = 0; i < count; i++) {
		others[i].hosts =
			talloc_array(others, cas_id_t, others[i].count);
		if (!others[i].hosts) {
			talloc_free(others);
			return MEMBERSHIP_ENOMEM;
		}
		others[i].count = 0;
	}
	for (size_t i = 0; i < roster->host_count; i++) {
		other_dc_t *other = find_other(others, count,
					       roster->hosts[i].data_centre_id);

		if (other)
			other->hosts[other->count++] = roster->hosts[i].id;
	}
	talloc_free(m->others);
	m->others = others;
	m->other_count = count;
	return 0;
}

/* Makes the state of the view's hosts; what is known of a host is kept. A new
 * host counts as live until it could have been heard. */
static member_t *make_members(const membership_t *m, view_t *view,
			      const roster_t *roster, int64_t now)
{
	member_t *members = talloc_zero_array(view, member_t, view->count);
	size_t next = 0;

	if (!members)
		return NULL;
	for (size_t i = 0; i < view->count; i++) {
		int known = membership_view_find(m->view, view->ids[i]);

		if (known >= 0)
			members[i] = m->members[known];
		else
			members[i].heard_until_us = now + MEMBERSHIP_LEASE_US;
		while (roster->hosts[next].id != view->ids[i])
			next++;
		members[i].leaving = roster->hosts[next].leaving;
	}
	if (view->self >= 0)
		members[view->self].draining = m->draining;
	return members;
}

static int resize_targets(membership_t *m)
{
	size_t targets = membership_group_count(m->view->count) +
			 m->other_count + 2 * LEADER_COUNT;
	size_t notices = m->view->count + m->other_count;

	talloc_free(m->targets);
	m->target_count = 0;
	m->targets = talloc_zero_array(m, target_t, targets);
	talloc_free(m->notices);
	m->notice_count = 0;
	m->notices = talloc_zero_array(m, notice_target_t, notices);
	if (!m->targets || !m->notices)
		return MEMBERSHIP_ENOMEM;
	return membership_relay_resize(m);
}

/* Keeps the view in use as the previous one, unless the new list replaces too
 * much of it; then nothing is confirmed for twice the lease. */
static void retire_view(membership_t *m, view_t *view, int64_t now)
{
	bool replaced = membership_view_is_replaced(m->view, view);

	talloc_free(m->previous);
	m->previous = NULL;
	if (view->revision != m->view->revision + 1 || replaced)
		m->epoch++;
	if (replaced) {
		m->silent_until_us = now + 2 * MEMBERSHIP_LEASE_US;
		talloc_free(m->view);
		return;
	}
	if (membership_confirming(m, now))
		m->view->self_until_us = now + MEMBERSHIP_LEASE_US;
	m->previous = m->view;
}

int membership_set_roster(membership_t *m, const roster_t *roster)
{
	int64_t now = cas_clock_now(m->clock);
	int64_t beat_us = now + cas_rng_below(m->rng, ADOPT_BEAT_MS) * 1000;
	view_t *view;
	member_t *members;

	if (m->view && roster->revision <= m->view->revision)
		return MEMBERSHIP_EREVISION;
	view = membership_view_create(m, roster, m->dc, m->self);
	if (!view)
		return MEMBERSHIP_ENOMEM;
	members = make_members(m, view, roster, now);
	if (!members || set_others(m, roster)) {
		talloc_free(view);
		return MEMBERSHIP_ENOMEM;
	}
	talloc_free(m->members);
	if (m->view)
		retire_view(m, view, now);
	m->view = view;
	m->members = members;
	view->self_since_us =
		now > m->silent_until_us ? now : m->silent_until_us;
	m->relay_first = 0;
	if (roster->revision > m->newest.roster_revision) {
		m->newest.roster_revision = roster->revision;
		m->newest.roster_host = 0;
	}
	if (now >= m->fast_until_us + ADOPT_REST_US)
		m->fast_until_us = now + ADOPT_FAST_US;
	if (m->next_beat_us > beat_us)
		m->next_beat_us = beat_us;
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
	m->draining = draining;
	if (m->view && m->view->self >= 0)
		m->members[m->view->self].draining = draining;
}

void membership_tick(membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);

	membership_fence_sample(m, now);
	membership_exchange_tick(m, now);
	membership_notice_tick(m, now);
}

int64_t membership_next_due(const membership_t *m)
{
	int64_t due = m->view ? m->next_beat_us : INT64_MAX;

	if (m->sibling_us < due)
		due = m->sibling_us;
	if (m->retry_us < due)
		due = m->retry_us;
	return m->notice_us < due ? m->notice_us : due;
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
