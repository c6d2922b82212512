/*
 * Relaying of confirmations and liveness as remaining lifetimes: leaders
 * exchange runs, with separate times for each host, and send their members a
 * summary, with common times and bitmaps. Received ones are merged into the
 * confirmations of the views and the states of the hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "membership_internal.h"

/* Units of a run's lives and helds (see membership.x). */
#define LIFE_UNIT_US (25 * CAS_USEC_PER_MSEC)
#define HELD_UNIT_US (128 * CAS_USEC_PER_MSEC)
/* Byte of helds for the longest time that it can express, which must be above
 * MEMBERSHIP_SETTLE_US. */
#define HELD_BYTE_MAX 66
#define HELD_BYTE_MASK 0x7f
#define HELD_BYTE_DRAINING 0x80
#define HELD_MAX_US ((HELD_BYTE_MAX - 1) * HELD_UNIT_US)
#define BITMAP_HOSTS_MAX (MEMBERSHIP_BITMAP_MAX * 8)

static bool resize_array(membership_t *m, char **storage, size_t size)
{
	char *resized = talloc_realloc(m, *storage, char, size);

	if (resized)
		*storage = resized;
	return resized;
}

static int resize_buffer(membership_t *m, relay_buffer_t *buffer)
{
	size_t count = m->view->count;

	if (!resize_array(m, &buffer->lives, count + 1) ||
	    !resize_array(m, &buffer->helds, count + 1))
		return MEMBERSHIP_ENOMEM;
	for (size_t i = 0; i < 3; i++) {
		if (!resize_array(m, &buffer->bitmaps[i], count / 8 + 1))
			return MEMBERSHIP_ENOMEM;
	}
	return 0;
}

int membership_relay_resize(membership_t *m)
{
	int error = resize_buffer(m, &m->beat_buffer);

	return error ? error : resize_buffer(m, &m->reply_buffer);
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Gets the confirmation of the revision in use by a host, which may be this
 * one: its remaining lease and the time, up to HELD_MAX_US, for which the host
 * has held the revision. Returns false when there is none. */
static bool get_confirmation(const membership_t *m, size_t index, int64_t now,
			     int64_t *life_us, int64_t *held_us)
{
	const confirmation_t *confirmation = &m->view->confirmations[index];

	if ((int)index == m->view->self_index) {
		*life_us = MEMBERSHIP_LEASE_US;
		*held_us = min64(now - m->view->self_since_us, HELD_MAX_US);
		return membership_is_confirming(m, now);
	}
	*life_us = confirmation->expire_us - now;
	*held_us = min64(now - confirmation->since_us, HELD_MAX_US);
	return *life_us > 0;
}

/* Encodes one host's bytes of a run. Returns true when a receiver needs the
 * helds byte: the host has a lease left, and the byte differs from the default
 * of the longest time held and not draining. */
static bool encode_entry(const membership_t *m, size_t index, int64_t now,
			 char *life_byte, char *held_byte)
{
	const host_state_t *host = &m->host_states[index];
	int64_t life_us;
	int64_t held_us;
	uint8_t held_code = 0;

	if (get_confirmation(m, index, now, &life_us, &held_us))
		held_code = (uint8_t)(1 + held_us / HELD_UNIT_US);
	else if ((int)index == m->view->self_index)
		life_us = MEMBERSHIP_LEASE_US;
	else
		life_us = host->known ? host->liveness_expire_us - now : 0;
	*life_byte = (char)(life_us > 0 ? life_us / LIFE_UNIT_US : 0);
	*held_byte =
		(char)(held_code | (host->draining ? HELD_BYTE_DRAINING : 0));
	return *life_byte && (held_code != HELD_BYTE_MAX || host->draining);
}

void membership_relay_fill_run(membership_t *m, relay_buffer_t *buffer,
			       size_t first, size_t count, int64_t now)
{
	bool needs_helds = false;

	if (count > RUN_HOSTS_MAX)
		count = RUN_HOSTS_MAX;
	for (size_t i = 0; i < count; i++) {
		if (encode_entry(m, first + i, now, &buffer->lives[i],
				 &buffer->helds[i]))
			needs_helds = true;
	}
	buffer->run.first = (u_int)first;
	buffer->run.lives.lives_val = buffer->lives;
	buffer->run.lives.lives_len = (u_int)count;
	buffer->run.helds.helds_val = buffer->helds;
	buffer->run.helds.helds_len = needs_helds ? (u_int)count : 0;
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* Which confirmations a summary reports: those with at least these times. */
typedef struct selection {
	int64_t *sorted; /* scratch space with room for each host */
	int64_t min_life_us; /* remaining lease */
	int64_t min_held_us; /* time for which the revision was held */
	size_t count; /* not used */
} selection_t;

/* Returns the largest remaining lease (by_life) or held time that a quorum of
 * confirmations reaches, counting those with at least min_held_us. Returns -1
 * when these are fewer than a quorum. */
static int64_t quorum_threshold(const membership_t *m, selection_t *selection,
				bool by_life, int64_t now)
{
	size_t count = 0;
	int64_t life_us;
	int64_t held_us;

	for (size_t i = 0; i < m->view->count; i++) {
		if (get_confirmation(m, i, now, &life_us, &held_us) &&
		    held_us >= selection->min_held_us)
			selection->sorted[count++] =
				by_life ? life_us : held_us;
	}
	if (count < m->view->quorum || count == 0)
		return -1;
	qsort(selection->sorted, count, sizeof(int64_t), compare_descending);
	return selection->sorted[m->view->quorum - 1];
}

/*
 * Chooses the confirmations that a summary reports with one common remaining
 * lease and one common held time: the longest held time that a quorum reaches,
 * then the longest remaining lease that a quorum of these reaches. Returns
 * false when there is no such quorum, or when memory runs out.
 */
static bool select_confirmations(membership_t *m, selection_t *selection,
				 int64_t now)
{
	selection->sorted = talloc_array(m, int64_t, m->view->count);
	selection->min_held_us = 0;
	selection->min_life_us = -1;
	if (!selection->sorted)
		return false;
	selection->min_held_us = quorum_threshold(m, selection, false, now);
	if (selection->min_held_us >= 0)
		selection->min_life_us =
			quorum_threshold(m, selection, true, now);
	talloc_free(selection->sorted);
	return selection->min_life_us >= 0;
}

static void set_bit(char *bitmap, size_t index)
{
	bitmap[index / 8] = (char)(bitmap[index / 8] | 1 << (index % 8));
}

static bool get_bit(const char *bitmap, u_int len, size_t index)
{
	return index / 8 < len && (bitmap[index / 8] >> (index % 8)) & 1;
}

/* Returns true when the host's confirmation is to be reported. */
static bool is_selected(const membership_t *m, const selection_t *selection,
			size_t index, int64_t now)
{
	int64_t life_us;
	int64_t held_us;

	return get_confirmation(m, index, now, &life_us, &held_us) &&
	       life_us >= selection->min_life_us &&
	       held_us >= selection->min_held_us;
}

/* Returns true when a summary reports the host as alive. */
static bool is_known_live(const membership_t *m, size_t index, int64_t now)
{
	return (int)index == m->view->self_index ||
	       (m->host_states[index].known &&
		membership_is_live(m, index, now));
}

void membership_relay_fill_summary(membership_t *m, membership_reply *reply,
				   int64_t now)
{
	membership_summary *summary = &m->reply_buffer.summary;
	char **bitmaps = m->reply_buffer.bitmaps;
	size_t hosts = (size_t)min64((int64_t)m->view->count, BITMAP_HOSTS_MAX);
	u_int len = (u_int)((hosts + 7) / 8);
	selection_t selection;
	bool selected = select_confirmations(m, &selection, now);
	bool leads = membership_leader_rank(m, now) >= 0;
	bool any_not_live = false;
	bool any_draining = false;

	for (size_t i = 0; i < 3; i++)
		memset(bitmaps[i], 0, len);
	for (size_t i = 0; i < hosts; i++) {
		if (selected && is_selected(m, &selection, i, now))
			set_bit(bitmaps[0], i);
		if (is_known_live(m, i, now))
			set_bit(bitmaps[1], i);
		else
			any_not_live = true;
		if (m->host_states[i].draining) {
			set_bit(bitmaps[2], i);
			any_draining = true;
		}
	}
	*summary = (membership_summary){
		.life_ms = selected ? (u_int)(selection.min_life_us / 1000) : 0,
		.held_ms = selected ? (u_int)(selection.min_held_us / 1000) : 0,
		.confirming = { selected ? len : 0, bitmaps[0] },
		.leads = leads,
		.alive = { leads && any_not_live ? len : 0, bitmaps[1] },
		.draining = { any_draining ? len : 0, bitmaps[2] },
	};
	reply->summary = summary;
}

/* Merges one host's bytes of a run, which its sender knew to be true at base_us
 * or later. Ignores a lifetime above the lease, which no sender can have. */
static void merge_entry(membership_t *m, view_t *view, size_t index,
			uint8_t life_byte, uint8_t held_byte, int64_t base_us,
			int64_t now)
{
	int64_t expire_us = base_us + life_byte * LIFE_UNIT_US;
	int held_code = held_byte & HELD_BYTE_MASK;
	host_state_t *host;

	if ((int)index == view->self_index || life_byte == 0 ||
	    life_byte * LIFE_UNIT_US > MEMBERSHIP_LEASE_US)
		return;
	if (held_code > 0)
		membership_view_record_confirmation(
			view, index, now - (held_code - 1) * HELD_UNIT_US,
			expire_us);
	if (view != m->view)
		return;
	host = &m->host_states[index];
	if (expire_us <= host->liveness_expire_us)
		return;
	host->liveness_expire_us = expire_us;
	host->known = true;
	host->draining = held_byte & HELD_BYTE_DRAINING;
}

/* Merges a run of the hosts of a view. Ignores one whose arrays differ in
 * length, unless helds is empty. */
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
						 : HELD_BYTE_MAX,
			    base_us, now);
	}
}

void membership_merge_runs(membership_t *m, int64_t revision,
			   const membership_run *runs, size_t count,
			   int64_t base_us, int64_t now)
{
	view_t *view = membership_view_of_revision(m, revision);

	for (size_t i = 0; view && i < count; i++)
		merge_run(m, view, &runs[i], base_us, now);
}

/* Merges what a leader reports on a host: alive or not, without a lifetime, and
 * draining or not. Reported liveness is kept apart from what this daemon relays
 * itself; otherwise hosts that report a lost host to each other would keep it
 * alive. */
static void merge_liveness(membership_t *m, const membership_summary *summary,
			   size_t index, int64_t now)
{
	host_state_t *host = &m->host_states[index];

	if (summary->alive.alive_len == 0 ||
	    get_bit(summary->alive.alive_val, summary->alive.alive_len,
		    index)) {
		host->reported_until_us = now + LIVE_REPORTED_US;
		host->known = true;
	} else if (host->known &&
		   now - host->last_direct_us > LIVE_OWN_GROUP_US) {
		host->reported_until_us = now;
		host->liveness_expire_us = now;
	}
	/* What the leader knows may be a period old. */
	if (now - host->last_direct_us > MEMBERSHIP_PERIOD_US)
		host->draining = get_bit(summary->draining.draining_val,
					 summary->draining.draining_len, index);
}

/* Merges the summary of a sender that does not lead its group. It is believed
 * neither on liveness nor on which other hosts are draining. */
static void merge_non_leader_state(membership_t *m,
				   const membership_summary *summary,
				   size_t from)
{
	m->host_states[from].draining =
		get_bit(summary->draining.draining_val,
			summary->draining.draining_len, from);
	m->non_leader_replied = true;
}

void membership_merge_summary(membership_t *m, size_t from, int64_t revision,
			      const membership_summary *summary,
			      int64_t base_us, int64_t now)
{
	view_t *view = membership_view_of_revision(m, revision);
	int64_t expire_us = base_us + (int64_t)summary->life_ms * 1000;
	int64_t since_us = now - (int64_t)summary->held_ms * 1000;

	if (!view || summary->life_ms * INT64_C(1000) > MEMBERSHIP_LEASE_US)
		return;
	for (size_t i = 0; i < view->count; i++) {
		if ((int)i == view->self_index)
			continue;
		if (get_bit(summary->confirming.confirming_val,
			    summary->confirming.confirming_len, i))
			membership_view_record_confirmation(view, i, since_us,
							    expire_us);
		if (view == m->view && summary->leads)
			merge_liveness(m, summary, i, now);
	}
	if (view == m->view && !summary->leads)
		merge_non_leader_state(m, summary, from);
}
