/* Confirmations with lifetimes, and the quorums made of them. */
#include "fake_fence.h"

#include <stdlib.h>

#include "fake_platform.h"

#define LEASE (6 * CAS_USEC_PER_SEC)
#define SETTLE (8100 * CAS_USEC_PER_MSEC)
#define POLL_PERIOD CAS_USEC_PER_SEC
#define REMEMBERED 2

typedef struct confirmation {
	int64_t revision;
	int64_t expires_us;
	int64_t since_us;
} confirmation_t;

typedef struct fence {
	int64_t next_poll_us;
	int64_t silent_until_us; /* confirms nothing before */
	int64_t adopted_us;
	int64_t revision;
	confirmation_t *peers; /* REMEMBERED for each host of the fleet */
} fence_t;

typedef struct poll {
	bool is_reply;
	int64_t sent_us;
	int64_t revision; /* 0: none */
	int64_t held_us;
} poll_t;

static size_t part_index;

static fence_t *fence_of(fleet_host_t *host)
{
	return host->parts[part_index];
}

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	fence_t *fence = talloc_zero(ctx, fence_t);

	if (!fence)
		abort();
	fence->peers = talloc_zero_array(fence, confirmation_t,
					 host->fleet->host_count * REMEMBERED);
	if (!fence->peers)
		abort();
	return fence;
}

static void note(fence_t *fence, size_t index, confirmation_t fresh)
{
	confirmation_t *slot = &fence->peers[index * REMEMBERED];

	if (slot[0].revision != fresh.revision) {
		slot[1] = slot[0];
		slot[0] = fresh;
	} else if (fresh.expires_us > slot[0].expires_us) {
		slot[0].expires_us = fresh.expires_us;
	}
	if (fresh.since_us > slot[0].since_us)
		slot[0].since_us = fresh.since_us;
}

/* Own confirmation; lives while the host runs, as others count it. */
static void confirm_self(fleet_host_t *host, int64_t now)
{
	fence_t *fence = fence_of(host);

	if (now >= fence->silent_until_us)
		note(fence, host->index,
		     (confirmation_t){ fence->revision, now + LEASE,
				       fence->adopted_us });
}

static void set_view(fleet_host_t *host)
{
	fence_t *fence = fence_of(host);
	int64_t now = cas_clock_now(host->clock);
	const roster_t *old = NULL;

	if (fence->revision == host->roster->revision)
		return;
	old = fake_platform_roster(host->fleet, fence->revision);
	if (old &&
	    fake_platform_replaced(old, host->roster, fleet_dc_id(host->dc)))
		fence->silent_until_us = now + 2 * LEASE;
	fence->revision = host->roster->revision;
	fence->adopted_us = now;
	confirm_self(host, now);
}

static void tick(fleet_host_t *host)
{
	fence_t *fence = fence_of(host);
	int64_t now = cas_clock_now(host->clock);
	poll_t poll = { .sent_us = now };

	confirm_self(host, now);
	if (now < fence->next_poll_us || host->fleet->config.steady)
		return;
	fence->next_poll_us = now + POLL_PERIOD;
	for (size_t i = 0; i < host->fleet->host_count; i++) {
		fleet_host_t *peer = &host->fleet->hosts[i];

		if (peer->dc == host->dc && peer != host)
			fleet_send(host, peer->id, part_index, 0, &poll,
				   sizeof(poll), 0);
	}
}

static void on_reply(fleet_host_t *host, const fleet_host_t *from,
		     const poll_t *poll)
{
	int64_t now = cas_clock_now(host->clock);
	confirmation_t fresh = { .revision = poll->revision,
				 .expires_us = poll->sent_us + LEASE,
				 .since_us = now - poll->held_us };

	if (poll->revision > 0)
		note(fence_of(host), from->index, fresh);
}

static void message(fleet_host_t *host, const fleet_host_t *from,
		    uint64_t incarnation, int kind, const void *bytes)
{
	fence_t *fence = fence_of(host);
	int64_t now = cas_clock_now(host->clock);
	poll_t poll = *(const poll_t *)bytes;

	(void)incarnation;
	(void)kind;
	if (poll.is_reply) {
		on_reply(host, from, &poll);
		return;
	}
	poll.is_reply = true;
	poll.revision = now >= fence->silent_until_us ? fence->revision : 0;
	poll.held_us = now - fence->adopted_us;
	fleet_send(host, from->id, part_index, 0, &poll, sizeof(poll), 0);
}

static size_t quorum_of(size_t hosts)
{
	return hosts >= 4 ? 2 * hosts / 3 + 1 : hosts;
}

static bool confirms(fleet_host_t *host, size_t index, int64_t revision,
		     int64_t least_held_us)
{
	int64_t now = cas_clock_now(host->clock);
	const confirmation_t *peer = &fence_of(host)->peers[index * REMEMBERED];

	for (size_t i = 0; i < REMEMBERED; i++) {
		if (peer[i].revision == revision && peer[i].expires_us > now &&
		    now - peer[i].since_us >= least_held_us)
			return true;
	}
	return false;
}

static bool has_quorum(fleet_host_t *host, int64_t revision,
		       int64_t least_held_us)
{
	const roster_t *roster = fake_platform_roster(host->fleet, revision);
	cas_id_t dc = fleet_dc_id(host->dc);
	size_t hosts = 0;
	size_t live = 0;

	for (size_t i = 0; roster && i < roster->host_count; i++) {
		if (roster->hosts[i].data_centre_id != dc)
			continue;
		hosts++;
		live += confirms(
			host,
			fleet_find(host->fleet, roster->hosts[i].id)->index,
			revision, least_held_us);
	}
	return hosts > 0 && live >= quorum_of(hosts);
}

bool fake_fence_held(fleet_host_t *host, int64_t revision)
{
	return host->fleet->config.steady || has_quorum(host, revision, 0);
}

bool fake_fence_settled(fleet_host_t *host, int64_t revision)
{
	return host->fleet->config.steady || has_quorum(host, revision, SETTLE);
}

static const fleet_part_t fence_part = {
	.name = "fence",
	.start = start,
	.tick = tick,
	.set_view = set_view,
	.message = message,
};

size_t fake_fence_add(fleet_t *fleet)
{
	part_index = fleet_add_part(fleet, &fence_part);
	return part_index;
}
