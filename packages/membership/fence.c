/* The quorum fence of the data centre. */
#include "membership_internal.h"

/* Grants of quota live this long; a bucket left alone for less is not lost. */
#define LAPSE_US (2 * CAS_USEC_PER_SEC)

bool membership_confirming(const membership_t *m, int64_t now)
{
	return m->view && m->view->self >= 0 && now >= m->silent_until_us;
}

static bool self_confirms(const membership_t *m, const view_t *view,
			  int64_t now)
{
	if (view == m->view)
		return membership_confirming(m, now);
	return now < view->self_until_us;
}

/* True when a quorum has live confirmations and is at the revision since
 * since_us or before. */
static bool has_quorum(const membership_t *m, const view_t *view, int64_t now,
		       int64_t since_us)
{
	size_t count = 0;

	if (!view || view->self < 0)
		return false;
	if (self_confirms(m, view, now) && view->self_since_us <= since_us)
		count++;
	for (size_t i = 0; i < view->count; i++) {
		const confirmation_t *confirm = &view->confirms[i];

		if ((int)i != view->self && confirm->expire_us > now &&
		    confirm->since_us <= since_us)
			count++;
	}
	return count >= view->quorum;
}

bool membership_fence_held(const membership_t *m, int64_t revision)
{
	return has_quorum(m, membership_view_at(m, revision),
			  cas_clock_now(m->clock), INT64_MAX);
}

bool membership_fence_settled(const membership_t *m, int64_t revision)
{
	int64_t now = cas_clock_now(m->clock);

	return has_quorum(m, membership_view_at(m, revision), now,
			  now - MEMBERSHIP_SETTLE_US);
}

uint64_t membership_fence_epoch(const membership_t *m)
{
	int64_t now = cas_clock_now(m->clock);

	return m->epoch + (now - m->last_held_us >= LAPSE_US);
}

void membership_fence_sample(membership_t *m, int64_t now)
{
	if (!has_quorum(m, m->view, now, INT64_MAX) &&
	    !has_quorum(m, m->previous, now, INT64_MAX))
		return;
	m->epoch = membership_fence_epoch(m);
	m->last_held_us = now;
}
