/* Revisions of peers at the start of a daemon. */
#include "cassia/config_boot.h"

/* A longer time without a tick is a pause of the process, during which no
 * answer was read. It does not count towards CONFIG_BOOT_WAIT_US. */
#define PAUSE_US (2 * CONFIG_BOOT_RESEND_US)

typedef struct boot_peer {
	cas_id_t id;
	bool answered;
	int64_t revisions[CONFIG_DOCUMENT_COUNT];
} boot_peer_t;

typedef struct boot_fetch {
	int64_t revision; /* asked for last */
	int64_t next_us; /* when to repeat it */
} boot_fetch_t;

struct config_boot {
	const cas_clock_t *clock;
	const config_store_t *store;
	const config_boot_ops_t *ops;
	void *private;
	boot_peer_t peers[CONFIG_BOOT_PEERS_MAX];
	size_t peer_count;
	size_t turn; /* first peer to look at, so that equals take turns */
	boot_fetch_t fetches[CONFIG_DOCUMENT_COUNT];
	bool started;
	bool ready;
	int64_t deadline_us;
	int64_t next_ask_us;
	int64_t ticked_us; /* time of the latest tick */
};

config_boot_t *config_boot_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				  const config_store_t *store,
				  const config_boot_ops_t *ops, void *private)
{
	config_boot_t *boot = talloc_zero(ctx, config_boot_t);

	if (!boot)
		return NULL;
	boot->clock = clock;
	boot->store = store;
	boot->ops = ops;
	boot->private = private;
	return boot;
}

static boot_peer_t *find_peer(boot_peer_t *peers, size_t count, cas_id_t id)
{
	for (size_t i = 0; i < count; i++)
		if (peers[i].id == id)
			return &peers[i];
	return NULL;
}

/* Keeps the peers with the highest weights for this host, in that order. */
static void insert_peer(config_boot_t *boot, cas_id_t id, cas_id_t own_host)
{
	uint64_t weight = cas_rendezvous_weight(id, own_host);
	size_t at = boot->peer_count;

	while (at &&
	       cas_rendezvous_weight(boot->peers[at - 1].id, own_host) < weight)
		at--;
	if (at == CONFIG_BOOT_PEERS_MAX)
		return;
	if (boot->peer_count < CONFIG_BOOT_PEERS_MAX)
		boot->peer_count++;
	memmove(&boot->peers[at + 1], &boot->peers[at],
		(boot->peer_count - at - 1) * sizeof(boot->peers[0]));
	boot->peers[at] = (boot_peer_t){ .id = id };
}

void config_boot_set_roster(config_boot_t *boot, const roster_t *roster,
			    cas_id_t own_host)
{
	boot_peer_t former[CONFIG_BOOT_PEERS_MAX];
	size_t former_count = boot->peer_count;

	memcpy(former, boot->peers, sizeof(former));
	boot->peer_count = 0;
	for (size_t i = 0; i < roster->host_count; i++)
		if (roster->hosts[i].id != own_host)
			insert_peer(boot, roster->hosts[i].id, own_host);
	for (size_t i = 0; i < boot->peer_count; i++) {
		boot_peer_t *known =
			find_peer(former, former_count, boot->peers[i].id);

		if (known)
			boot->peers[i] = *known;
	}
	boot->next_ask_us = cas_clock_now(boot->clock);
	if (!boot->started) {
		boot->deadline_us = boot->next_ask_us + CONFIG_BOOT_WAIT_US;
		boot->ticked_us = boot->next_ask_us;
	}
	boot->started = true;
}

void config_boot_answer(config_boot_t *boot, cas_id_t peer,
			int64_t table_revision, int64_t hosts_revision)
{
	boot_peer_t *known = find_peer(boot->peers, boot->peer_count, peer);

	if (!known || boot->ready)
		return;
	known->answered = true;
	known->revisions[CONFIG_TABLE] = table_revision;
	known->revisions[CONFIG_HOSTS] = hosts_revision;
}

static const boot_peer_t *newest_peer(const config_boot_t *boot,
				      config_document_t document)
{
	const boot_peer_t *newest = NULL;

	for (size_t i = 0; i < boot->peer_count; i++) {
		const boot_peer_t *peer =
			&boot->peers[(i + boot->turn) % boot->peer_count];

		if (peer->answered &&
		    (!newest ||
		     peer->revisions[document] > newest->revisions[document]))
			newest = peer;
	}
	return newest;
}

static bool is_behind(const config_boot_t *boot, config_document_t document)
{
	const boot_peer_t *newest = newest_peer(boot, document);

	return newest && newest->revisions[document] >
				 config_store_revision(boot->store, document);
}

static bool holds_both(const config_boot_t *boot)
{
	return config_store_table(boot->store) &&
	       config_store_roster(boot->store);
}

static bool all_answered(const config_boot_t *boot)
{
	for (size_t i = 0; i < boot->peer_count; i++)
		if (!boot->peers[i].answered)
			return false;
	return true;
}

bool config_boot_ready(config_boot_t *boot)
{
	if (boot->ready)
		return true;
	if (!boot->started || !holds_both(boot))
		return false;
	boot->ready = cas_clock_now(boot->clock) >= boot->deadline_us ||
		      (all_answered(boot) && !is_behind(boot, CONFIG_TABLE) &&
		       !is_behind(boot, CONFIG_HOSTS));
	return boot->ready;
}

/* A fetch that does not arrive is repeated, from another peer if there is one
 * with the same revision. */
static void send_fetch(config_boot_t *boot, config_document_t document,
		       int64_t now)
{
	const boot_peer_t *peer = newest_peer(boot, document);
	boot_fetch_t *fetch = &boot->fetches[document];
	int64_t revision;

	if (!is_behind(boot, document))
		return;
	revision = peer->revisions[document];
	if (revision == fetch->revision && now < fetch->next_us)
		return;
	*fetch = (boot_fetch_t){ revision, now + CONFIG_BOOT_RESEND_US };
	boot->ops->fetch(boot->private, peer->id, document, revision);
}

static void send_asks(config_boot_t *boot)
{
	cas_id_t ids[CONFIG_BOOT_PEERS_MAX];
	size_t count = 0;

	/* An answer may come, and a list may change, inside ask. */
	for (size_t i = 0; i < boot->peer_count; i++)
		if (!boot->peers[i].answered)
			ids[count++] = boot->peers[i].id;
	for (size_t i = 0; i < count; i++)
		boot->ops->ask(boot->private, ids[i]);
}

static void leave_out_pause(config_boot_t *boot, int64_t now)
{
	int64_t gap = now - boot->ticked_us;

	if (gap > PAUSE_US)
		boot->deadline_us += gap;
	boot->ticked_us = now;
}

void config_boot_tick(config_boot_t *boot)
{
	int64_t now = cas_clock_now(boot->clock);

	if (!boot->started || boot->ready)
		return;
	leave_out_pause(boot, now);
	if (config_boot_ready(boot))
		return;
	if (now >= boot->next_ask_us) {
		boot->next_ask_us = now + CONFIG_BOOT_RESEND_US;
		boot->turn++;
		send_asks(boot);
	}
	send_fetch(boot, CONFIG_TABLE, now);
	send_fetch(boot, CONFIG_HOSTS, now);
}

int64_t config_boot_next_due(const config_boot_t *boot)
{
	if (boot->ready || !boot->started)
		return INT64_MAX;
	return boot->next_ask_us < boot->deadline_us ||
			       cas_clock_now(boot->clock) >= boot->deadline_us
		       ? boot->next_ask_us
		       : boot->deadline_us;
}
