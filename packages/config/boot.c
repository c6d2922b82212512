/* Waits at the start of a daemon until its documents are as new as those of its
 * peers; see cassia/config_boot.h. */
#include "cassia/config_boot.h"

/* A longer time between two calls of config_boot_tick is taken for a pause of
 * the process. No answer could be read during it, so it does not count towards
 * CONFIG_BOOT_WAIT_US. */
#define PAUSE_MIN_US (2 * CONFIG_BOOT_RESEND_US)
/* Answers of peers with a table that confirm the own one. Most daemons have the
 * newest table; waiting for every peer would wait for those that are down. */
#define TABLE_ANSWERS 3

/* A peer that is asked, and its answer. */
typedef struct boot_peer {
	cas_id_t id;
	bool answered;
	int64_t revisions[CONFIG_DOCUMENT_COUNT]; /* that it has; 0: none */
} boot_peer_t;

/* The latest fetch of a document. */
typedef struct boot_fetch {
	int64_t revision; /* that was requested */
	int64_t retry_us; /* time at which to repeat the fetch */
} boot_fetch_t;

struct config_boot {
	const cas_clock_t *clock;
	const config_store_t *store;
	const config_boot_ops_t *ops;
	void *private;
	boot_peer_t peers[CONFIG_BOOT_PEERS_MAX];
	size_t peer_count;
	/* Where newest_peer starts its search; incremented so that repeated
	 * fetches alternate between peers with the same revision. */
	size_t rotation;
	boot_fetch_t fetches[CONFIG_DOCUMENT_COUNT];
	bool started; /* the first host list was set */
	bool ready; /* the daemon may serve */
	int64_t deadline_us; /* end of the wait */
	int64_t next_query_us; /* time of the next queries */
	int64_t last_tick_us; /* time of the last config_boot_tick */
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

/*
 * Inserts a peer if it is among the CONFIG_BOOT_PEERS_MAX peers with the
 * highest rendezvous weights for this host; peers are sorted by falling weight.
 * The selection depends on this host, which spreads the queries of all daemons.
 */
static void insert_peer(config_boot_t *boot, cas_id_t id, cas_id_t own_host)
{
	uint64_t weight = cas_rendezvous_weight(id, own_host);
	size_t position = boot->peer_count;

	while (position && cas_rendezvous_weight(boot->peers[position - 1].id,
						 own_host) < weight)
		position--;
	if (position == CONFIG_BOOT_PEERS_MAX)
		return;
	if (boot->peer_count < CONFIG_BOOT_PEERS_MAX)
		boot->peer_count++;
	memmove(&boot->peers[position + 1], &boot->peers[position],
		(boot->peer_count - position - 1) * sizeof(boot->peers[0]));
	boot->peers[position] = (boot_peer_t){ .id = id };
}

void config_boot_set_roster(config_boot_t *boot, const roster_t *roster,
			    cas_id_t own_host)
{
	boot_peer_t previous[CONFIG_BOOT_PEERS_MAX];
	size_t previous_count = boot->peer_count;

	memcpy(previous, boot->peers, sizeof(previous));
	boot->peer_count = 0;
	for (size_t i = 0; i < roster->host_count; i++)
		if (roster->hosts[i].id != own_host)
			insert_peer(boot, roster->hosts[i].id, own_host);
	for (size_t i = 0; i < boot->peer_count; i++) {
		boot_peer_t *previous_peer =
			find_peer(previous, previous_count, boot->peers[i].id);

		if (previous_peer)
			boot->peers[i] = *previous_peer;
	}
	boot->next_query_us = cas_clock_now(boot->clock);
	if (!boot->started) {
		boot->deadline_us = boot->next_query_us + CONFIG_BOOT_WAIT_US;
		boot->last_tick_us = boot->next_query_us;
	}
	boot->started = true;
}

void config_boot_answer(config_boot_t *boot, cas_id_t peer,
			int64_t table_revision, int64_t hosts_revision)
{
	boot_peer_t *recorded = find_peer(boot->peers, boot->peer_count, peer);

	if (!recorded || boot->ready)
		return;
	recorded->answered = true;
	recorded->revisions[CONFIG_TABLE] = table_revision;
	recorded->revisions[CONFIG_HOSTS] = hosts_revision;
}

/* Returns a peer with the highest known revision of a document, or NULL if no
 * peer has answered. */
static const boot_peer_t *newest_peer(const config_boot_t *boot,
				      config_document_t document)
{
	const boot_peer_t *newest = NULL;

	for (size_t i = 0; i < boot->peer_count; i++) {
		const boot_peer_t *peer =
			&boot->peers[(i + boot->rotation) % boot->peer_count];

		if (peer->answered &&
		    (!newest ||
		     peer->revisions[document] > newest->revisions[document]))
			newest = peer;
	}
	return newest;
}

/* Returns whether a peer has a newer revision of a document than the store. */
static bool is_behind(const config_boot_t *boot, config_document_t document)
{
	const boot_peer_t *newest = newest_peer(boot, document);

	return newest && newest->revisions[document] >
				 config_store_revision(boot->store, document);
}

static bool has_both_documents(const config_boot_t *boot)
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
	if (!boot->started || !has_both_documents(boot))
		return false;
	boot->ready = cas_clock_now(boot->clock) >= boot->deadline_us ||
		      (all_answered(boot) && !is_behind(boot, CONFIG_TABLE) &&
		       !is_behind(boot, CONFIG_HOSTS));
	return boot->ready;
}

bool config_boot_has_fleet_table(const config_boot_t *boot)
{
	size_t wanted = boot->peer_count < TABLE_ANSWERS ? boot->peer_count
							 : TABLE_ANSWERS;
	size_t count = 0;

	if (!has_both_documents(boot) || is_behind(boot, CONFIG_TABLE))
		return false;
	for (size_t i = 0; i < boot->peer_count; i++)
		count += boot->peers[i].revisions[CONFIG_TABLE] > 0;
	return count >= wanted;
}

/* Fetches a document if a peer has a newer one. A fetch that brought no
 * document is repeated, from another peer if one has the same revision. */
static void send_fetch(config_boot_t *boot, config_document_t document,
		       int64_t now)
{
	const boot_peer_t *peer = newest_peer(boot, document);
	boot_fetch_t *fetch = &boot->fetches[document];
	int64_t revision;

	if (!is_behind(boot, document))
		return;
	revision = peer->revisions[document];
	if (revision == fetch->revision && now < fetch->retry_us)
		return;
	*fetch = (boot_fetch_t){ revision, now + CONFIG_BOOT_RESEND_US };
	boot->ops->fetch(boot->private, peer->id, document, revision);
}

/* Asks every peer that has not answered yet. */
static void send_queries(config_boot_t *boot)
{
	cas_id_t unanswered[CONFIG_BOOT_PEERS_MAX];
	size_t count = 0;

	/* query_revisions may call config_boot_answer and
	 * config_boot_set_roster, which change peers, so the ids are collected
	 * first. */
	for (size_t i = 0; i < boot->peer_count; i++)
		if (!boot->peers[i].answered)
			unanswered[count++] = boot->peers[i].id;
	for (size_t i = 0; i < count; i++)
		boot->ops->query_revisions(boot->private, unanswered[i]);
}

/* Extends the wait by the time since the last tick if that was a pause. */
static void extend_deadline(config_boot_t *boot, int64_t now)
{
	int64_t elapsed_us = now - boot->last_tick_us;

	if (elapsed_us > PAUSE_MIN_US)
		boot->deadline_us += elapsed_us;
	boot->last_tick_us = now;
}

void config_boot_tick(config_boot_t *boot)
{
	int64_t now = cas_clock_now(boot->clock);

	if (!boot->started || boot->ready)
		return;
	extend_deadline(boot, now);
	if (config_boot_ready(boot))
		return;
	if (now >= boot->next_query_us) {
		boot->next_query_us = now + CONFIG_BOOT_RESEND_US;
		boot->rotation++;
		send_queries(boot);
	}
	send_fetch(boot, CONFIG_TABLE, now);
	send_fetch(boot, CONFIG_HOSTS, now);
}

int64_t config_boot_next_due(const config_boot_t *boot)
{
	if (boot->ready || !boot->started)
		return INT64_MAX;
	/* After the deadline, the daemon can still lack a document; it then
	 * keeps on asking for it. */
	return boot->next_query_us < boot->deadline_us ||
			       cas_clock_now(boot->clock) >= boot->deadline_us
		       ? boot->next_query_us
		       : boot->deadline_us;
}
