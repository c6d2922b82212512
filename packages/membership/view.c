/* The hosts of the data centre at one roster revision, and their groups. */
#include <math.h>
#include <stdlib.h>

#include "membership_internal.h"

static size_t quorum_of(size_t hosts)
{
	return hosts >= 4 ? 2 * hosts / 3 + 1 : hosts;
}

view_t *membership_view_create(TALLOC_CTX *ctx, const roster_t *roster,
			       cas_id_t dc, cas_id_t self)
{
	view_t *view = talloc_zero(ctx, view_t);
	size_t count = 0;

	if (!view)
		return NULL;
	for (size_t i = 0; i < roster->host_count; i++)
		count += roster->hosts[i].data_centre_id == dc;
	view->ids = talloc_array(view, cas_id_t, count);
	view->confirms = talloc_zero_array(view, confirmation_t, count);
	if (!view->ids || !view->confirms) {
		talloc_free(view);
		return NULL;
	}
	for (size_t i = 0; i < roster->host_count; i++) {
		if (roster->hosts[i].data_centre_id == dc)
			view->ids[view->count++] = roster->hosts[i].id;
	}
	view->revision = roster->revision;
	view->quorum = quorum_of(count);
	view->self = membership_view_find(view, self);
	return view;
}

static int order_id(const void *a, const void *b)
{
	cas_id_t x = *(const cas_id_t *)a;
	cas_id_t y = *(const cas_id_t *)b;

	return (x > y) - (x < y);
}

int membership_view_find(const view_t *view, cas_id_t id)
{
	const cas_id_t *found;

	if (!view || !view->count)
		return -1;
	found = bsearch(&id, view->ids, view->count, sizeof(id), order_id);
	return found ? (int)(found - view->ids) : -1;
}

view_t *membership_view_at(const membership_t *m, int64_t revision)
{
	if (m->view && m->view->revision == revision)
		return m->view;
	if (m->previous && m->previous->revision == revision)
		return m->previous;
	return NULL;
}

/* The fewest hosts of a quorum that are among the common ones. */
static size_t least_common(const view_t *view, size_t common)
{
	size_t apart = view->count - common;

	return view->quorum > apart ? view->quorum - apart : 0;
}

bool membership_view_is_replaced(const view_t *old, const view_t *new)
{
	size_t common = 0;
	size_t more = old->count > new->count ? old->count : new->count;

	for (size_t i = 0; i < old->count; i++)
		common += membership_view_find(new, old->ids[i]) >= 0;
	if (3 * (more - common) >= more)
		return true;
	return least_common(old, common) + least_common(new, common) <= common;
}

void membership_view_confirm(view_t *view, size_t index, int64_t since_us,
			     int64_t expire_us)
{
	confirmation_t *confirm = &view->confirms[index];

	if ((int)index == view->self || expire_us <= confirm->expire_us)
		return;
	confirm->expire_us = expire_us;
	confirm->since_us = since_us;
}

size_t membership_group_count(size_t hosts)
{
	if (hosts <= SINGLE_GROUP_MAX)
		return 1;
	return (size_t)lround(sqrt((double)hosts));
}

size_t membership_group_of(size_t hosts, size_t index)
{
	return ((index + 1) * membership_group_count(hosts) - 1) / hosts;
}

size_t membership_group_start(size_t hosts, size_t group)
{
	return group * hosts / membership_group_count(hosts);
}
