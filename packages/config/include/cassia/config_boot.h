/*
 * State machine that delays serving after a daemon has started until its table
 * and host list are up to date. The platform may return a stale revision, so
 * the daemon asks some peers for theirs, for up to 2 s, and fetches newer
 * documents from them.
 */
#ifndef CASSIA_CONFIG_BOOT_H
#define CASSIA_CONFIG_BOOT_H

#include "cassia/clock.h"
#include "cassia/config_store.h"

/* Longest time to wait for answers and documents of peers. */
#define CONFIG_BOOT_WAIT_US (2 * CAS_USEC_PER_SEC)
/* Interval after which a query or a fetch without a result is repeated. */
#define CONFIG_BOOT_RESEND_US (200 * CAS_USEC_PER_MSEC)
/* Number of peers to ask: enough that one of them has the newest revision, few
 * enough that a simultaneous restart of all daemons does not flood the network
 * with queries. */
#define CONFIG_BOOT_PEERS_MAX 8

typedef struct config_boot config_boot_t;

/* Callbacks for messages to peers; private is the pointer passed to
 * config_boot_create. */
typedef struct config_boot_ops {
	/* Asks a peer for its revisions; the answer goes to
	 * config_boot_answer. Called again until the peer has answered. */
	void (*query_revisions)(void *private, cas_id_t peer);
	/* Fetches from a peer a document of a revision above the stored one
	 * and offers it to the store. Called again until the store has that
	 * revision. */
	void (*fetch)(void *private, cas_id_t peer, config_document_t document,
		      int64_t revision);
} config_boot_ops_t;

/* Returns a new state machine (owned by ctx), or NULL when out of memory.
 * clock, store and ops are borrowed and must outlive it; store is only read. */
config_boot_t *config_boot_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				  const config_store_t *store,
				  const config_boot_ops_t *ops, void *private);

/*
 * Selects the peers to ask from a host list. The first call starts the wait of
 * CONFIG_BOOT_WAIT_US; later calls keep the answers of peers that are selected
 * again.
 */
void config_boot_set_roster(config_boot_t *boot, const roster_t *roster,
			    cas_id_t own_host);

/* Records the revisions that a peer has, 0 for a document it does not have.
 * Ignored for a peer that was not selected, and once the daemon is ready. */
void config_boot_answer(config_boot_t *boot, cas_id_t peer,
			int64_t table_revision, int64_t hosts_revision);

/*
 * Sends the queries and fetches that are due. Call it at the time that
 * config_boot_next_due returns, after each answer, and before
 * config_boot_ready: more than 400 ms between two calls count as a pause of
 * the process, by which the wait is extended.
 */
void config_boot_tick(config_boot_t *boot);

/* Returns the time at which config_boot_tick must be called next, in
 * microseconds of the clock, or INT64_MAX when the daemon is ready or there is
 * no host list. */
int64_t config_boot_next_due(const config_boot_t *boot);

/*
 * Returns whether the daemon may serve: it has a table and a host list, and
 * either all selected peers have answered and none has a newer revision, or
 * CONFIG_BOOT_WAIT_US has passed. Once true, it stays true.
 */
bool config_boot_ready(config_boot_t *boot);

/*
 * Returns whether the table is that of the fleet: some peers, or all of the
 * selected ones if these are fewer, have answered that they have a table, and
 * none of them has a newer one. It does not say whether the host list is the
 * newest one.
 */
bool config_boot_has_fleet_table(const config_boot_t *boot);

#endif
