/*
 * What a daemon does when other daemons name newer revisions of the table or
 * the host list than it has.
 *
 * A source that delivers usually brings such a revision by itself. If it does not,
 * it is checked. A document that is still missing then is fetched from a daemon
 * that has it: the source may have gone silent without an error, or hold an older
 * table, for instance after the platform was restored from a copy.
 *
 * Without such a source, the document is fetched at once from a daemon of the own
 * region. Daemons of other regions are asked after a random time, in which the
 * document usually reaches the own region: otherwise the link between the regions
 * would carry a copy for each daemon that learns of it from there.
 */
#ifndef CASSIA_CONFIG_NOTICES_H
#define CASSIA_CONFIG_NOTICES_H

#include "cassia/clock.h"
#include "cassia/config_store.h"
#include "cassia/rng.h"

/* Time in which the source usually delivers a revision that another daemon has
 * named, in addition to its own delay (see delivery_delay). */
#define CONFIG_NOTICES_CHECK_US (100 * CAS_USEC_PER_MSEC)
/* Time for a check of the source. Together with CONFIG_NOTICES_CHECK_US, it is
 * what a daemon adds to the way of a revision from daemon to daemon. */
#define CONFIG_NOTICES_ANSWER_US (300 * CAS_USEC_PER_MSEC)

/* Shortest and longest time before a small document is fetched from another region,
 * and what each byte adds: the readers of the region need the time to get it over
 * the same link. */
#define CONFIG_NOTICES_REMOTE_MIN_US (200 * CAS_USEC_PER_MSEC)
#define CONFIG_NOTICES_REMOTE_MAX_US (800 * CAS_USEC_PER_MSEC)
#define CONFIG_NOTICES_REMOTE_US_PER_BYTE 1

typedef struct config_notices config_notices_t;

/* Callbacks; private is the pointer passed to config_notices_create. */
typedef struct config_notices_ops {
	/* Returns whether neither this daemon nor its source has a revision of
	 * a document. */
	bool (*lacks)(void *private, config_document_t document,
		      int64_t revision);
	/* Returns whether the source gets each revision by itself. */
	bool (*source_delivers)(void *private);
	/* Returns whether a host is in the own region. */
	bool (*in_own_region)(void *private, cas_id_t host);
	/* Returns the size of the document in force, in bytes, 0: none. The next
	 * one is mostly of about that size. */
	int64_t (*size)(void *private, config_document_t document);
	/* Returns for how long the source puts off its next read, in
	 * microseconds. */
	int64_t (*delivery_delay)(void *private);
	/* Reads the documents from the source now. */
	void (*check_source)(void *private);
	/* Fetches a document from a host and offers it to the store. */
	void (*fetch)(void *private, config_document_t document, cas_id_t host);
} config_notices_ops_t;

/* Returns a new object (owned by ctx), or NULL when out of memory. clock, rng and
 * ops are borrowed and must outlive it. */
config_notices_t *
config_notices_create(TALLOC_CTX *ctx, const cas_clock_t *clock, cas_rng_t *rng,
		      const config_notices_ops_t *ops, void *private);

/* Handles a notice that a host has a revision of a document. */
void config_notices_add(config_notices_t *notices, config_document_t document,
			int64_t revision, cas_id_t host);

/* Checks the source and fetches documents when they are due; call it about
 * every 100 ms. A fetch that brings nothing is repeated with a later notice. */
void config_notices_tick(config_notices_t *notices);

#endif
