/*
 * What a daemon that has just started does before it serves: the platform may
 * be stale, so it asks peers for their newest revisions for up to 2 s.
 */
#ifndef CASSIA_CONFIG_BOOT_H
#define CASSIA_CONFIG_BOOT_H

#include "cassia/clock.h"
#include "cassia/config_store.h"

#define CONFIG_BOOT_WAIT_US (2 * CAS_USEC_PER_SEC)
#define CONFIG_BOOT_RESEND_US (200 * CAS_USEC_PER_MSEC)
/* Enough that one of them has the newest revision, few enough that a restart
 * of the fleet does not flood it. */
#define CONFIG_BOOT_PEERS_MAX 8

typedef struct config_boot config_boot_t;

typedef struct config_boot_ops {
	/* Asks a peer for its revisions; a lost question is repeated. */
	void (*ask)(void *private, cas_id_t peer);
	/* Fetches a document that is newer than the held one from a peer and
	 * offers it to the store. Repeated while the revision is not held. */
	void (*fetch)(void *private, cas_id_t peer, config_document_t document,
		      int64_t revision);
} config_boot_ops_t;

/* Returns a new state machine, or NULL when memory is short. store is
 * borrowed and read only. */
config_boot_t *config_boot_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				  const config_store_t *store,
				  const config_boot_ops_t *ops, void *private);

/*
 * Chooses the peers to ask from a host list. The first call starts the 2 s;
 * later calls keep the answers that have come.
 */
void config_boot_set_roster(config_boot_t *boot, const roster_t *roster,
			    cas_id_t own_host);

/* Takes the revisions that a peer holds; 0 for none. */
void config_boot_answer(config_boot_t *boot, cas_id_t peer,
			int64_t table_revision, int64_t hosts_revision);

/* Sends what is due. Call it at next_due, after each answer, and before
 * config_boot_ready: more than 400 ms between two ticks count as a pause of
 * the process and prolong the 2 s. */
void config_boot_tick(config_boot_t *boot);

/* Returns when the next tick is due, in microseconds of the clock, or
 * INT64_MAX when it is ready or there is no host list. */
int64_t config_boot_next_due(const config_boot_t *boot);

/*
 * Returns true when the daemon may serve: it holds a table and a host list,
 * and either they are as new as every asked peer says, or 2 s have passed.
 * Once true, it stays true.
 */
bool config_boot_ready(config_boot_t *boot);

#endif
