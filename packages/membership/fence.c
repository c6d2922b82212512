/*
 * The fence of the data centre: proof that a quorum of its hosts uses the same
 * host list.
 */
#include "membership_internal.h"

/* Lifetime of quota grants. A shorter time without the fence does not change
 * the epoch, so that holders keep their buckets. */
#define FENCE_LAPSE_US (2 * CAS_USEC_PER_SEC)

bool membership_is_confirming(const membership_t *m, int64_t now)
{
	return m->view && m->view->self_index >= 0 && now >= m->confirm_from_us;
}

/* Returns true while this host's own confirmation of the view is valid. */
static bool self_confirms(const membership_t *m, const view_t *view,
			  int64_t now)
{
	if (view == m->view)
		return membership_is_confirming(m, now);
	return now < view->self_expire_us;
}

/* Returns true when a quorum of hosts has unexpired confirmations of the view
 * and has held its revision since since_us or before. */
static bool has_quorum(const membership_t *m, const view_t *view, int64_t now,
		       int64_t since_us)
{
	size_t count = 0;

	if (!view || view->self_index < 0)
		return false;
	if (self_confirms(m, view, now) && view->self_since_us <= since_us)
		count++;
	for (size_t i = 0; i < view->count; i++) {
		const confirmation_t *confirmation = &view->confirmations[i];

		if ((int)i != view->self_index &&
		    confirmation->expire_us > now &&
		    confirmation->since_us <= since_us)
			count++;
	}
	return count >= view->quorum;
}

bool membership_fence_held(const membership_t *m, int64_t revision)
{
	return has_quorum(m, membership_view_of_revision(m, revision),
			  cas_clock_now(m->clock), INT64_MAX);
}

bool membership_fence_settled(const membership_t *m, int64_t revision)
{
	int64_t now = cas_clock_now(m->clock);

	return has_quorum(m, membership_view_of_revision(m, revision), now,
			  now - MEMBERSHIP_SETTLE_US);
}

uint64_t membership_fence_epoch(const membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);

	return m->fence_epoch + (now - m->fence_last_held_us >= FENCE_LAPSE_US);
}

void membership_fence_update_epoch(membership_t *m, int64_t now)
{
	if (!has_quorum(m, m->view, now, INT64_MAX) &&
	    !has_quorum(m, m->previous_view, now, INT64_MAX))
		return;
	m->fence_epoch = membership_fence_epoch(m);
	m->fence_last_held_us = now;
}
