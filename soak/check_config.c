/* Tracks when faults last affected each host, and checks the tables of the
 * hosts that were free of faults long enough. */
#include "check_config.h"

#include <stdlib.h>

#include "violations.h"

/* Time after which a published table must be in use, and a withdrawn key
 * gone. */
#define TABLE_SPREAD_LIMIT_US (6 * CAS_USEC_PER_SEC)
#define KEY_WITHDRAWAL_LIMIT_US (2 * CAS_USEC_PER_SEC)
/* How long before a publication a host must have been free of faults: after a
 * fault its peers hear from it again within 3 heartbeats. */
#define HOST_FAULT_FREE_US (3 * CAS_USEC_PER_SEC)
/* The same for all hosts of a data centre: longer than any lease, so that
 * leaders and watchers are elected again. */
#define DC_FAULT_FREE_US (10 * CAS_USEC_PER_SEC)
#define PENDING_TABLES_MAX 64

/* The start of a daemon, until it is ready. The arrays are indexed by host. */
typedef struct boot {
	uint64_t incarnation; /* 0: no start is tracked */
	bool *reachable; /* without interruption since the start */
	uint64_t *peer_incarnations; /* at the start */
	int64_t *peer_revisions; /* tables held at the start */
} boot_t;

/* A valid table that was published less than TABLE_SPREAD_LIMIT_US ago. */
typedef struct pending_table {
	int64_t revision;
	int64_t published_us; /* true time */
	bool key_checked;
} pending_table_t;

struct check_config {
	fleet_t *fleet;
	const documents_t *documents;
	int64_t *last_fault_us; /* true time of the last fault, by host */
	int64_t platform_fault_us; /* true time of its last fault */
	boot_t *boots;
	pending_table_t pending_tables[PENDING_TABLES_MAX];
	size_t pending_table_count;
	int64_t last_revision; /* newest table that was seen */
	check_config_totals_t totals;
};

check_config_t *check_config_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const documents_t *documents)
{
	check_config_t *check = sim_zero(ctx, check_config_t);
	size_t count = fleet->host_count;

	check->fleet = fleet;
	check->documents = documents;
	check->last_fault_us = sim_zero_array(check, int64_t, count);
	check->boots = sim_zero_array(check, boot_t, count);
	for (size_t i = 0; i < count; i++) {
		boot_t *boot = &check->boots[i];

		boot->reachable = sim_zero_array(check, bool, count);
		boot->peer_incarnations =
			sim_zero_array(check, uint64_t, count);
		boot->peer_revisions = sim_zero_array(check, int64_t, count);
	}
	return check;
}

static bool network_is_fault_free(const fleet_t *fleet)
{
	return fleet->faults.loss_probability <= 0 &&
	       fleet->faults.delay_probability <= 0;
}

/* Returns whether messages pass between two hosts in both directions. */
static bool reaches(const fleet_host_t *a, const fleet_host_t *b)
{
	return network_is_fault_free(a->fleet) && fleet_passes(a, b) &&
	       fleet_passes(b, a);
}

static bool host_is_fault_free(fleet_host_t *host)
{
	const fleet_t *fleet = host->fleet;
	size_t dcs = fleet->config.dcs;

	if (!host->running || host->paused || !part_config_ready(host) ||
	    fleet->isolated[host->index] || !network_is_fault_free(fleet))
		return false;
	for (size_t i = 0; i < dcs; i++) {
		if (fleet->blocked[host->dc * dcs + i] ||
		    fleet->blocked[i * dcs + host->dc])
			return false;
	}
	return true;
}

static int64_t table_revision_of(fleet_host_t *host)
{
	return config_store_revision(part_config_store(host), CONFIG_TABLE);
}

static bool is_executing(const fleet_host_t *host)
{
	return host->running && !host->paused;
}

static void begin_boot(check_config_t *check, fleet_host_t *host)
{
	boot_t *boot = &check->boots[host->index];

	boot->incarnation = host->incarnation;
	for (size_t i = 0; i < check->fleet->host_count; i++) {
		fleet_host_t *peer = &check->fleet->hosts[i];

		boot->reachable[i] = peer != host && is_executing(peer) &&
				     reaches(host, peer);
		boot->peer_incarnations[i] = peer->incarnation;
		boot->peer_revisions[i] =
			peer->running ? table_revision_of(peer) : 0;
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
		if (table_revision_of(host) < boot->peer_revisions[i])
			violations_add(host->fleet, host,
				       "check=boot table=%lld "
				       "peer=host-%zu peer_table=%lld",
				       (long long)table_revision_of(host), i,
				       (long long)boot->peer_revisions[i]);
	}
}

static void track_boot(check_config_t *check, fleet_host_t *host)
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
			boot->reachable[i] && is_executing(peer) &&
			peer->incarnation == boot->peer_incarnations[i] &&
			reaches(host, peer);
	}
	if (part_config_ready(host))
		end_boot(check, host);
}

static bool dc_was_fault_free(const check_config_t *check, size_t dc,
			      int64_t since_us)
{
	const fleet_t *fleet = check->fleet;

	for (size_t i = dc; i < fleet->host_count; i += fleet->config.dcs) {
		if (check->last_fault_us[i] >= since_us)
			return false;
	}
	return true;
}

/* Checks that the key which a table withdraws is not accepted any more. */
static void check_keys(check_config_t *check, const pending_table_t *pending)
{
	fleet_t *fleet = check->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet_host_t *host = &fleet->hosts[i];
		const table_t *table = NULL;

		if (!dc_was_fault_free(check, host->dc,
				       pending->published_us -
					       DC_FAULT_FREE_US))
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

/* Checks that the hosts free of faults use a published table. */
static void check_tables(check_config_t *check, const pending_table_t *pending)
{
	fleet_t *fleet = check->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet_host_t *host = &fleet->hosts[i];

		if (check->last_fault_us[i] >=
		    pending->published_us - HOST_FAULT_FREE_US)
			continue;
		check->totals.tables++;
		if (table_revision_of(host) < pending->revision)
			violations_add(fleet, host,
				       "check=table_spread table=%lld "
				       "published=%lld",
				       (long long)table_revision_of(host),
				       (long long)pending->revision);
	}
}

static void add_pending_table(check_config_t *check, int64_t now)
{
	int64_t newest = documents_newest(check->documents, CONFIG_TABLE);

	if (newest == check->last_revision)
		return;
	check->last_revision = newest;
	if (!documents_valid(check->documents, CONFIG_TABLE, newest))
		return;
	if (check->pending_table_count == PENDING_TABLES_MAX)
		abort();
	check->pending_tables[check->pending_table_count++] = (pending_table_t){
		.revision = newest,
		.published_us = now,
	};
}

static void check_pending_tables(check_config_t *check, int64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < check->pending_table_count; i++) {
		pending_table_t *pending = &check->pending_tables[i];

		if (check->platform_fault_us >= pending->published_us)
			continue;
		if (!pending->key_checked &&
		    now >= pending->published_us + KEY_WITHDRAWAL_LIMIT_US) {
			pending->key_checked = true;
			check_keys(check, pending);
		}
		if (now < pending->published_us + TABLE_SPREAD_LIMIT_US)
			check->pending_tables[kept++] = *pending;
		else
			check_tables(check, pending);
	}
	check->pending_table_count = kept;
}

void check_config_step(check_config_t *check)
{
	fleet_t *fleet = check->fleet;
	int64_t now = sim_now(fleet->sim);

	if (!documents_healthy(check->documents))
		check->platform_fault_us = now;
	for (size_t i = 0; i < fleet->host_count; i++) {
		if (!host_is_fault_free(&fleet->hosts[i]))
			check->last_fault_us[i] = now;
		track_boot(check, &fleet->hosts[i]);
	}
	add_pending_table(check, now);
	check_pending_tables(check, now);
}

const check_config_totals_t *check_config_totals(const check_config_t *check)
{
	return &check->totals;
}
