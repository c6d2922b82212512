/* Which hosts and peers were free of faults, and what they had to know. */
#include "check_config.h"

#include <stdlib.h>

#include "violations.h"

#define TABLE_TIME (6 * CAS_USEC_PER_SEC)
#define KEY_TIME (2 * CAS_USEC_PER_SEC)
/* A host that comes back is heard by its peers within 3 heartbeats. */
#define HOST_CALM (3 * CAS_USEC_PER_SEC)
/* Longer than any lease, so that leaders and watchers are settled. */
#define CENTRE_CALM (10 * CAS_USEC_PER_SEC)
#define PENDING_MAX 64

typedef struct boot {
	uint64_t incarnation; /* 0: none watched */
	bool *reachable; /* by peer, all the time so far */
	uint64_t *incarnations; /* of the peers at the start */
	int64_t *revisions; /* held by the peers at the start */
} boot_t;

typedef struct pending {
	int64_t revision;
	int64_t published_us;
	bool key_done;
} pending_t;

struct check_config {
	fleet_t *fleet;
	const documents_t *documents;
	int64_t *dirty_us; /* last time a fault hit, by host */
	int64_t platform_dirty_us;
	boot_t *boots;
	pending_t pending[PENDING_MAX];
	size_t pending_count;
	int64_t seen;
	check_config_totals_t totals;
};

check_config_t *check_config_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const documents_t *documents)
{
	check_config_t *check = talloc_zero(ctx, check_config_t);
	size_t count = fleet->host_count;

	if (!check)
		abort();
	check->fleet = fleet;
	check->documents = documents;
	check->dirty_us = talloc_zero_array(check, int64_t, count);
	check->boots = talloc_zero_array(check, boot_t, count);
	if (!check->dirty_us || !check->boots)
		abort();
	for (size_t i = 0; i < count; i++) {
		boot_t *boot = &check->boots[i];

		boot->reachable = talloc_zero_array(check, bool, count);
		boot->incarnations = talloc_zero_array(check, uint64_t, count);
		boot->revisions = talloc_zero_array(check, int64_t, count);
		if (!boot->reachable || !boot->incarnations || !boot->revisions)
			abort();
	}
	return check;
}

static bool network_calm(const fleet_t *fleet)
{
	return fleet->faults.loss <= 0 && fleet->faults.late <= 0;
}

static bool reaches(const fleet_host_t *a, const fleet_host_t *b)
{
	const fleet_t *fleet = a->fleet;
	size_t dcs = fleet->config.dcs;

	return network_calm(fleet) && !fleet->isolated[a->index] &&
	       !fleet->isolated[b->index] && !fleet->cut[a->dc * dcs + b->dc] &&
	       !fleet->cut[b->dc * dcs + a->dc];
}

static bool is_calm(fleet_host_t *host)
{
	const fleet_t *fleet = host->fleet;
	size_t dcs = fleet->config.dcs;

	if (!host->running || host->paused || !part_config_ready(host) ||
	    fleet->isolated[host->index] || !network_calm(fleet))
		return false;
	for (size_t i = 0; i < dcs; i++) {
		if (fleet->cut[host->dc * dcs + i] ||
		    fleet->cut[i * dcs + host->dc])
			return false;
	}
	return true;
}

static int64_t revision_of(fleet_host_t *host)
{
	return config_store_revision(part_config_store(host), CONFIG_TABLE);
}

static bool is_up(const fleet_host_t *host)
{
	return host->running && !host->paused;
}

static void begin_boot(check_config_t *check, fleet_host_t *host)
{
	boot_t *boot = &check->boots[host->index];

	boot->incarnation = host->incarnation;
	for (size_t i = 0; i < check->fleet->host_count; i++) {
		fleet_host_t *peer = &check->fleet->hosts[i];

		boot->reachable[i] =
			peer != host && is_up(peer) && reaches(host, peer);
		boot->incarnations[i] = peer->incarnation;
		boot->revisions[i] = peer->running ? revision_of(peer) : 0;
	}
}

static void end_boot(check_config_t *check, fleet_host_t *host)
{
	boot_t *boot = &check->boots[host->index];
	size_t asked = 0;

	boot->incarnation = 0;
	check->totals.boots++;
	for (size_t i = 0; i < check->fleet->host_count; i++)
		asked += part_config_asked(host, i);
	if (asked == 0)
		violations_add(host->fleet, host, "check=boot asked=0");
	for (size_t i = 0; i < check->fleet->host_count; i++) {
		if (!boot->reachable[i] || !part_config_asked(host, i))
			continue;
		check->totals.boot_peers++;
		if (revision_of(host) < boot->revisions[i])
			violations_add(host->fleet, host,
				       "check=boot table=%lld "
				       "peer=host-%zu peer_table=%lld",
				       (long long)revision_of(host), i,
				       (long long)boot->revisions[i]);
	}
}

static void follow_boot(check_config_t *check, fleet_host_t *host)
{
	boot_t *boot = &check->boots[host->index];

	if (!host->running) {
		boot->incarnation = 0;
		return;
	}
	if (boot->incarnation != host->incarnation) {
		if (part_config_ready(host))
			return;
		begin_boot(check, host);
	}
	for (size_t i = 0; i < check->fleet->host_count; i++) {
		const fleet_host_t *peer = &check->fleet->hosts[i];

		boot->reachable[i] =
			boot->reachable[i] && is_up(peer) &&
			peer->incarnation == boot->incarnations[i] &&
			reaches(host, peer);
	}
	if (part_config_ready(host))
		end_boot(check, host);
}

static bool centre_was_calm(const check_config_t *check, size_t dc,
			    int64_t since_us)
{
	const fleet_t *fleet = check->fleet;

	for (size_t i = dc; i < fleet->host_count; i += fleet->config.dcs) {
		if (check->dirty_us[i] >= since_us)
			return false;
	}
	return true;
}

static void check_keys(check_config_t *check, const pending_t *pending)
{
	fleet_t *fleet = check->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet_host_t *host = &fleet->hosts[i];
		const table_t *table = NULL;

		if (!centre_was_calm(check, host->dc,
				     pending->published_us - CENTRE_CALM))
			continue;
		check->totals.keys++;
		table = config_store_table(part_config_store(host));
		if (documents_has_key(table, pending->revision - 1) ||
		    table->revision < pending->revision)
			violations_add(fleet, host,
				       "check=withdrawn_key table=%lld "
				       "withdrawn_by=%lld",
				       (long long)table->revision,
				       (long long)pending->revision);
	}
}

static void check_tables(check_config_t *check, const pending_t *pending)
{
	fleet_t *fleet = check->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet_host_t *host = &fleet->hosts[i];

		if (check->dirty_us[i] >= pending->published_us - HOST_CALM)
			continue;
		check->totals.tables++;
		if (revision_of(host) < pending->revision)
			violations_add(fleet, host,
				       "check=table_spread table=%lld "
				       "published=%lld",
				       (long long)revision_of(host),
				       (long long)pending->revision);
	}
}

static void add_pending(check_config_t *check, int64_t now)
{
	int64_t newest = documents_newest(check->documents, CONFIG_TABLE);

	if (newest == check->seen)
		return;
	check->seen = newest;
	if (!documents_valid(check->documents, CONFIG_TABLE, newest))
		return;
	if (check->pending_count == PENDING_MAX)
		abort();
	check->pending[check->pending_count++] = (pending_t){
		.revision = newest,
		.published_us = now,
	};
}

static void follow_tables(check_config_t *check, int64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < check->pending_count; i++) {
		pending_t *pending = &check->pending[i];

		if (check->platform_dirty_us >= pending->published_us)
			continue;
		if (!pending->key_done &&
		    now >= pending->published_us + KEY_TIME) {
			pending->key_done = true;
			check_keys(check, pending);
		}
		if (now < pending->published_us + TABLE_TIME)
			check->pending[kept++] = *pending;
		else
			check_tables(check, pending);
	}
	check->pending_count = kept;
}

void check_config_step(check_config_t *check)
{
	fleet_t *fleet = check->fleet;
	int64_t now = sim_now(fleet->sim);

	if (!documents_healthy(check->documents))
		check->platform_dirty_us = now;
	for (size_t i = 0; i < fleet->host_count; i++) {
		if (!is_calm(&fleet->hosts[i]))
			check->dirty_us[i] = now;
		follow_boot(check, &fleet->hosts[i]);
	}
	add_pending(check, now);
	follow_tables(check, now);
}

const check_config_totals_t *check_config_totals(const check_config_t *check)
{
	return &check->totals;
}
