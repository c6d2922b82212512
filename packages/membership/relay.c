/* Confirmations and liveness that leaders relay, as remaining lifetimes. */
#include <stdlib.h>
#include <string.h>

#include "membership_internal.h"

#define LIFE_UNIT_US (25 * CAS_USEC_PER_MSEC)
#define HELD_UNIT_US (128 * CAS_USEC_PER_MSEC)
#define HELD_CODE_MAX 127
#define HELD_CODE_MASK 0x7f
#define DRAINING_BIT 0x80
#define HELD_MAX_US ((HELD_CODE_MAX - 1) * HELD_UNIT_US)
#define BITMAP_HOSTS_MAX (MEMBERSHIP_BITMAP_MAX * 8)

static int resize(membership_t *m, relay_buffer_t *buffer)
{
	size_t count = m->view->count;
	char *entries = talloc_realloc(m, buffer->entries, char, 2 * count + 1);

	if (!entries)
		return MEMBERSHIP_ENOMEM;
	buffer->entries = entries;
	for (size_t i = 0; i < 3; i++) {
		char *bitmap = talloc_realloc(m, buffer->bitmaps[i], char,
					      count / 8 + 1);

		if (!bitmap)
			return MEMBERSHIP_ENOMEM;
		buffer->bitmaps[i] = bitmap;
	}
	return 0;
}

int membership_relay_resize(membership_t *m)
{
	int error = resize(m, &m->beat_buffer);

	return error ? error : resize(m, &m->reply_buffer);
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Reads the confirmation of the revision in use by a host, its own one
 * included. Returns false when there is none. */
static bool confirmation_of(const membership_t *m, size_t index, int64_t now,
			    int64_t *life_us, int64_t *held_us)
{
	const confirmation_t *confirm = &m->view->confirms[index];

	if ((int)index == m->view->self) {
		*life_us = MEMBERSHIP_LEASE_US;
		*held_us = min64(now - m->view->self_since_us, HELD_MAX_US);
		return membership_confirming(m, now);
	}
	*life_us = confirm->expire_us - now;
	*held_us = min64(now - confirm->since_us, HELD_MAX_US);
	return *life_us > 0;
}

static void put_entry(const membership_t *m, size_t index, int64_t now,
		      uint8_t entry[2])
{
	const member_t *member = &m->members[index];
	int64_t life_us;
	int64_t held_us;

	if (confirmation_of(m, index, now, &life_us, &held_us)) {
		entry[1] = (uint8_t)(1 + held_us / HELD_UNIT_US);
	} else {
		entry[1] = 0;
		life_us = (int)index == m->view->self ? MEMBERSHIP_LEASE_US
			  : member->known ? member->heard_until_us - now
					  : 0;
	}
	entry[0] = life_us > 0 ? (uint8_t)(life_us / LIFE_UNIT_US) : 0;
	if (member->draining)
		entry[1] |= DRAINING_BIT;
}

void membership_relay_run(membership_t *m, relay_buffer_t *buffer, size_t first,
			  size_t count, int64_t now)
{
	if (count > MEMBERSHIP_RUN_HOSTS)
		count = MEMBERSHIP_RUN_HOSTS;
	for (size_t i = 0; i < count; i++)
		put_entry(m, first + i, now,
			  (uint8_t *)buffer->entries + 2 * i);
	buffer->run.first = (u_int)first;
	buffer->run.entries.entries_val = buffer->entries;
	buffer->run.entries.entries_len = (u_int)(2 * count);
}

static int descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

typedef struct choice {
	int64_t *sorted; /* room for each host */
	int64_t least_life_us;
	int64_t least_held_us;
	size_t count;
} choice_t;

/* Returns the quorum-th largest life or time held among the confirmations
 * that meet the choice's limits, or -1 when they are too few. */
static int64_t limit_of(const membership_t *m, choice_t *choice, bool life,
			int64_t now)
{
	size_t count = 0;
	int64_t life_us;
	int64_t held_us;

	for (size_t i = 0; i < m->view->count; i++) {
		if (confirmation_of(m, i, now, &life_us, &held_us) &&
		    held_us >= choice->least_held_us)
			choice->sorted[count++] = life ? life_us : held_us;
	}
	if (count < m->view->quorum || count == 0)
		return -1;
	qsort(choice->sorted, count, sizeof(int64_t), descending);
	return choice->sorted[m->view->quorum - 1];
}

/*
 * Chooses the confirmations to report with one common lifetime and one common
 * time held: the longest time held that a quorum reaches, then the longest
 * life that a quorum of these reaches.
 */
static bool choose(membership_t *m, choice_t *choice, int64_t now)
{
	choice->sorted = talloc_array(m, int64_t, m->view->count);
	choice->least_held_us = 0;
	choice->least_life_us = -1;
	if (!choice->sorted)
		return false;
	choice->least_held_us = limit_of(m, choice, false, now);
	if (choice->least_held_us >= 0)
		choice->least_life_us = limit_of(m, choice, true, now);
	talloc_free(choice->sorted);
	return choice->least_life_us >= 0;
}

static void set_bit(char *bitmap, size_t index)
{
	bitmap[index / 8] = (char)(bitmap[index / 8] | 1 << (index % 8));
}

static bool get_bit(const char *bitmap, u_int len, size_t index)
{
	return index / 8 < len && (bitmap[index / 8] >> (index % 8)) & 1;
}

void membership_relay_summary(membership_t *m, membership_reply *reply,
			      int64_t now)
{
	char **bitmaps = m->reply_buffer.bitmaps;
	size_t hosts = (size_t)min64((int64_t)m->view->count, BITMAP_HOSTS_MAX);
	u_int len = (u_int)((hosts + 7) / 8);
	bool any_draining = false;
	choice_t choice;
	bool chosen = choose(m, &choice, now);
	int64_t life_us;
	int64_t held_us;

	for (size_t i = 0; i < 3; i++)
		memset(bitmaps[i], 0, len);
	for (size_t i = 0; i < hosts; i++) {
		const member_t *member = &m->members[i];

		if (chosen && confirmation_of(m, i, now, &life_us, &held_us) &&
		    life_us >= choice.least_life_us &&
		    held_us >= choice.least_held_us)
			set_bit(bitmaps[0], i);
		if (membership_is_live(m, i, now) &&
		    (member->known || (int)i == m->view->self))
			set_bit(bitmaps[1], i);
		if (member->draining) {
			set_bit(bitmaps[2], i);
			any_draining = true;
		}
	}
	if (chosen) {
		reply->life_ms = (u_int)(choice.least_life_us / 1000);
		reply->held_ms = (u_int)(choice.least_held_us / 1000);
		reply->confirming.confirming_val = bitmaps[0];
		reply->confirming.confirming_len = len;
	}
	reply->alive.alive_val = bitmaps[1];
	reply->alive.alive_len = len;
	reply->draining.draining_val = bitmaps[2];
	reply->draining.draining_len = any_draining ? len : 0;
}

/* Takes an entry that its sender knew to be true at base_us or later. */
static void merge_entry(membership_t *m, view_t *view, size_t index,
			const uint8_t entry[2], int64_t base_us, int64_t now)
{
	int64_t until_us = base_us + entry[0] * LIFE_UNIT_US;
	int code = entry[1] & HELD_CODE_MASK;
	member_t *member;

	if ((int)index == view->self || entry[0] == 0 ||
	    entry[0] * LIFE_UNIT_US > MEMBERSHIP_LEASE_US)
		return;
	if (code > 0)
		membership_view_confirm(
			view, index, now - (code - 1) * HELD_UNIT_US, until_us);
	member = &m->members[index];
	if (view != m->view || until_us <= member->heard_until_us)
		return;
	member->heard_until_us = until_us;
	member->known = true;
	member->draining = entry[1] & DRAINING_BIT;
}

void membership_merge_runs(membership_t *m, int64_t revision,
			   const membership_run *runs, size_t count,
			   int64_t base_us, int64_t now)
{
	view_t *view = membership_view_at(m, revision);

	if (!view)
		return;
	for (size_t i = 0; i < count; i++) {
		const uint8_t *entries =
			(const uint8_t *)runs[i].entries.entries_val;
		size_t hosts = runs[i].entries.entries_len / 2;

		for (size_t k = 0; k < hosts; k++) {
			size_t index = (size_t)runs[i].first + k;

			if (index >= view->count)
				break;
			merge_entry(m, view, index, entries + 2 * k, base_us,
				    now);
		}
	}
}

static void merge_alive(membership_t *m, const membership_reply *reply,
			size_t index, int64_t now)
{
	member_t *member = &m->members[index];
	bool own = membership_group_of(m->view->count, index) ==
		   membership_own_group(m);
	int64_t limit_us = now + MEMBERSHIP_LEASE_US -
			   (own ? LIVE_GROUP_US : LIVE_OTHER_US);

	if (get_bit(reply->alive.alive_val, reply->alive.alive_len, index)) {
		int64_t until_us = min64(limit_us + LIVE_SUMMARY_US,
					 now + MEMBERSHIP_LEASE_US);

		if (until_us > member->heard_until_us)
			member->heard_until_us = until_us;
		member->known = true;
	} else if (member->known && now - member->direct_us > LIVE_GROUP_US &&
		   member->heard_until_us > limit_us) {
		member->heard_until_us = limit_us;
	}
	member->draining = get_bit(reply->draining.draining_val,
				   reply->draining.draining_len, index);
}

void membership_merge_summary(membership_t *m, const membership_reply *reply,
			      int64_t base_us, int64_t now)
{
	view_t *view = membership_view_at(m, reply->roster_revision);
	int64_t expire_us = base_us + (int64_t)reply->life_ms * 1000;
	int64_t since_us = now - (int64_t)reply->held_ms * 1000;

	if (!view || reply->life_ms * INT64_C(1000) > MEMBERSHIP_LEASE_US)
		return;
	for (size_t i = 0; i < view->count; i++) {
		if ((int)i == view->self)
			continue;
		if (get_bit(reply->confirming.confirming_val,
			    reply->confirming.confirming_len, i))
			membership_view_confirm(view, i, since_us, expire_us);
		if (view == m->view && reply->alive.alive_len)
			merge_alive(m, reply, i, now);
	}
}
