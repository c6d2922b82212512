/* Confirmations and liveness that leaders relay, as remaining lifetimes. */
#include <stdlib.h>
#include <string.h>

#include "membership_internal.h"

#define LIFE_UNIT_US (25 * CAS_USEC_PER_MSEC)
#define HELD_UNIT_US (128 * CAS_USEC_PER_MSEC)
/* The longest time told; above MEMBERSHIP_SETTLE_US. */
#define HELD_CODE_MAX 66
#define HELD_CODE_MASK 0x7f
#define DRAINING_BIT 0x80
#define HELD_MAX_US ((HELD_CODE_MAX - 1) * HELD_UNIT_US)
#define BITMAP_HOSTS_MAX (MEMBERSHIP_BITMAP_MAX * 8)

static bool resize_one(membership_t *m, char **storage, size_t size)
{
	char *resized = talloc_realloc(m, *storage, char, size);

	if (resized)
		*storage = resized;
	return resized;
}

static int resize(membership_t *m, relay_buffer_t *buffer)
{
	size_t count = m->view->count;

	if (!resize_one(m, &buffer->lives, count + 1) ||
	    !resize_one(m, &buffer->helds, count + 1))
		return MEMBERSHIP_ENOMEM;
	for (size_t i = 0; i < 3; i++) {
		if (!resize_one(m, &buffer->bitmaps[i], count / 8 + 1))
			return MEMBERSHIP_ENOMEM;
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

/* Writes one host's bytes. Returns true when the second one says more than
 * that the host has confirmed for long. */
static bool put_entry(const membership_t *m, size_t index, int64_t now,
		      char *life, char *held)
{
	const member_t *member = &m->members[index];
	int64_t life_us;
	int64_t held_us;
	uint8_t code = 0;

	if (confirmation_of(m, index, now, &life_us, &held_us))
		code = (uint8_t)(1 + held_us / HELD_UNIT_US);
	else if ((int)index == m->view->self)
		life_us = MEMBERSHIP_LEASE_US;
	else
		life_us = member->known ? member->heard_until_us - now : 0;
	*life = (char)(life_us > 0 ? life_us / LIFE_UNIT_US : 0);
	*held = (char)(code | (member->draining ? DRAINING_BIT : 0));
	return *life && (code != HELD_CODE_MAX || member->draining);
}

void membership_relay_run(membership_t *m, relay_buffer_t *buffer, size_t first,
			  size_t count, int64_t now)
{
	bool any_held = false;

	if (count > MEMBERSHIP_RUN_HOSTS)
		count = MEMBERSHIP_RUN_HOSTS;
	for (size_t i = 0; i < count; i++) {
		if (put_entry(m, first + i, now, &buffer->lives[i],
			      &buffer->helds[i]))
			any_held = true;
	}
	buffer->run.first = (u_int)first;
	buffer->run.lives.lives_val = buffer->lives;
	buffer->run.lives.lives_len = (u_int)count;
	buffer->run.helds.helds_val = buffer->helds;
	buffer->run.helds.helds_len = any_held ? (u_int)count : 0;
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

static bool is_chosen(const membership_t *m, const choice_t *choice,
		      size_t index, int64_t now)
{
	int64_t life_us;
	int64_t held_us;

	return confirmation_of(m, index, now, &life_us, &held_us) &&
	       life_us >= choice->least_life_us &&
	       held_us >= choice->least_held_us;
}

static bool is_heard(const membership_t *m, size_t index, int64_t now)
{
	return (int)index == m->view->self ||
	       (m->members[index].known && membership_is_live(m, index, now));
}

void membership_relay_summary(membership_t *m, membership_reply *reply,
			      int64_t now)
{
	membership_summary *summary = &m->reply_buffer.summary;
	char **bitmaps = m->reply_buffer.bitmaps;
	size_t hosts = (size_t)min64((int64_t)m->view->count, BITMAP_HOSTS_MAX);
	u_int len = (u_int)((hosts + 7) / 8);
	choice_t choice;
	bool chosen = choose(m, &choice, now);
	bool leads = membership_rank(m, now) >= 0;
	bool any_dead = false;
	bool any_draining = false;

	for (size_t i = 0; i < 3; i++)
		memset(bitmaps[i], 0, len);
	for (size_t i = 0; i < hosts; i++) {
		if (chosen && is_chosen(m, &choice, i, now))
			set_bit(bitmaps[0], i);
		if (is_heard(m, i, now))
			set_bit(bitmaps[1], i);
		else
			any_dead = true;
		if (m->members[i].draining) {
			set_bit(bitmaps[2], i);
			any_draining = true;
		}
	}
	*summary = (membership_summary){
		.life_ms = chosen ? (u_int)(choice.least_life_us / 1000) : 0,
		.held_ms = chosen ? (u_int)(choice.least_held_us / 1000) : 0,
		.confirming = { chosen ? len : 0, bitmaps[0] },
		.leads = leads,
		.alive = { leads && any_dead ? len : 0, bitmaps[1] },
		.draining = { any_draining ? len : 0, bitmaps[2] },
	};
	reply->summary = summary;
}

/* Takes an entry that its sender knew to be true at base_us or later. */
static void merge_entry(membership_t *m, view_t *view, size_t index,
			uint8_t life, uint8_t held, int64_t base_us,
			int64_t now)
{
	int64_t until_us = base_us + life * LIFE_UNIT_US;
	int code = held & HELD_CODE_MASK;
	member_t *member;

	if ((int)index == view->self || life == 0 ||
	    life * LIFE_UNIT_US > MEMBERSHIP_LEASE_US)
		return;
	if (code > 0)
		membership_view_confirm(
			view, index, now - (code - 1) * HELD_UNIT_US, until_us);
	if (view != m->view)
		return;
	member = &m->members[index];
	if (until_us <= member->heard_until_us)
		return;
	member->heard_until_us = until_us;
	member->known = true;
	member->draining = held & DRAINING_BIT;
}

static void merge_run(membership_t *m, view_t *view, const membership_run *run,
		      int64_t base_us, int64_t now)
{
	const char *helds = run->helds.helds_val;

	if (run->helds.helds_len &&
	    run->helds.helds_len != run->lives.lives_len)
		return;
	for (size_t i = 0; i < run->lives.lives_len; i++) {
		size_t index = (size_t)run->first + i;

		if (index >= view->count)
			break;
		merge_entry(m, view, index, (uint8_t)run->lives.lives_val[i],
			    run->helds.helds_len ? (uint8_t)helds[i]
						 : HELD_CODE_MAX,
			    base_us, now);
	}
}

void membership_merge_runs(membership_t *m, int64_t revision,
			   const membership_run *runs, size_t count,
			   int64_t base_us, int64_t now)
{
	view_t *view = membership_view_at(m, revision);

	for (size_t i = 0; view && i < count; i++)
		merge_run(m, view, &runs[i], base_us, now);
}

/* What a leader tells is no lifetime. It is kept apart from what is relayed,
 * else hosts that told it each other would keep a lost host alive. */
static void merge_alive(membership_t *m, const membership_summary *summary,
			size_t index, int64_t now)
{
	member_t *member = &m->members[index];

	if (summary->alive.alive_len == 0 ||
	    get_bit(summary->alive.alive_val, summary->alive.alive_len,
		    index)) {
		member->told_until_us = now + LIVE_TOLD_US;
		member->known = true;
	} else if (member->known && now - member->direct_us > LIVE_GROUP_US) {
		member->told_until_us = now;
		member->heard_until_us = now;
	}
	member->draining = get_bit(summary->draining.draining_val,
				   summary->draining.draining_len, index);
}

/* A host that does not lead is believed only about itself. */
static void take_own_state(membership_t *m, const membership_summary *summary,
			   size_t from)
{
	m->members[from].draining =
		get_bit(summary->draining.draining_val,
			summary->draining.draining_len, from);
	m->misdirected = true;
}

void membership_merge_summary(membership_t *m, size_t from, int64_t revision,
			      const membership_summary *summary,
			      int64_t base_us, int64_t now)
{
	view_t *view = membership_view_at(m, revision);
	int64_t expire_us = base_us + (int64_t)summary->life_ms * 1000;
	int64_t since_us = now - (int64_t)summary->held_ms * 1000;

	if (!view || summary->life_ms * INT64_C(1000) > MEMBERSHIP_LEASE_US)
		return;
	for (size_t i = 0; i < view->count; i++) {
		if ((int)i == view->self)
			continue;
		if (get_bit(summary->confirming.confirming_val,
			    summary->confirming.confirming_len, i))
			membership_view_confirm(view, i, since_us, expire_us);
		if (view == m->view && summary->leads)
			merge_alive(m, summary, i, now);
	}
	if (view == m->view && !summary->leads)
		take_own_state(m, summary, from);
}
