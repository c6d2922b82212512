/*
 * Views: the hosts of this data centre in the host list of one revision, their
 * confirmations of that revision, and how they are divided into groups.
 */
#include <math.h>
#include <stdlib.h>

#include "membership_internal.h"

/* Returns the smallest number of hosts above two thirds, or all hosts when
 * there are fewer than four. */
static size_t quorum_size(size_t hosts)
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
	view->confirmations = talloc_zero_array(view, confirmation_t, count);
	if (!view->ids || !view->confirmations) {
		talloc_free(view);
		return NULL;
	}
	for (size_t i = 0; i < roster->host_count; i++) {
		if (roster->hosts[i].data_centre_id == dc)
			view->ids[view->count++] = roster->hosts[i].id;
	}
	view->revision = roster->revision;
	view->quorum = quorum_size(count);
	view->self_index = membership_view_find(view, self);
	return view;
}

static int compare_ids(const void *a, const void *b)
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
	found = bsearch(&id, view->ids, view->count, sizeof(id), compare_ids);
	return found ? (int)(found - view->ids) : -1;
}

view_t *membership_view_of_revision(const membership_t *m, int64_t revision)
{
	if (m->view && m->view->revision == revision)
		return m->view;
	if (m->previous_view && m->previous_view->revision == revision)
		return m->previous_view;
	return NULL;
}

/* Returns the minimum number of hosts of any quorum of the view that are among
 * the common hosts, which both lists have. */
static size_t min_quorum_overlap(const view_t *view, size_t common)
{
	size_t not_common = view->count - common;

	return view->quorum > not_common ? view->quorum - not_common : 0;
}

bool membership_view_is_major_change(const view_t *old, const view_t *new)
{
	size_t common = 0;
	size_t larger = old->count > new->count ? old->count : new->count;

	for (size_t i = 0; i < old->count; i++)
		common += membership_view_find(new, old->ids[i]) >= 0;
	if (3 * (larger - common) >= larger)
		return true;
	return min_quorum_overlap(old, common) +
		       min_quorum_overlap(new, common) <=
	       common;
}

void membership_view_record_confirmation(view_t *view, size_t index,
					 int64_t since_us, int64_t expire_us)
{
	confirmation_t *confirmation = &view->confirmations[index];

	if ((int)index == view->self_index ||
	    expire_us <= confirmation->expire_us)
		return;
	confirmation->expire_us = expire_us;
	confirmation->since_us = since_us;
}

size_t membership_group_count(size_t hosts)
{
	if (hosts <= SINGLE_GROUP_HOSTS_MAX)
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
