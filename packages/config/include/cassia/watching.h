/*
 * Which watchers of a data centre read the platform: those of one data centre do so
 * for its region. What the daemons of a region read crosses the same links between
 * regions, and inside the region one copy of it is enough.
 */
#ifndef CASSIA_WATCHING_H
#define CASSIA_WATCHING_H

#include "cassia/clock.h"
#include "cassia/roster.h"
#include "cassia/table.h"

/* How long a host that has started waits to be listed before it reads the platform
 * by itself. */
#define WATCHING_LISTING_WAIT_US (1500 * CAS_USEC_PER_MSEC)

/* A daemon and the documents in force there. */
typedef struct watching {
	const table_t *table; /* NULL: none */
	const roster_t *roster; /* NULL: none */
	cas_id_t host;
	cas_id_t data_centre;
	int64_t running_us; /* since its start */
} watching_t;

/* Returns whether a daemon reads the platform if it is a watcher of its data
 * centre. One whose host is not listed does so, because others tell it nothing. */
bool watching_reads(const watching_t *watching);

/* Returns the data centre that reads for the region of data_centre: the same on all daemons
 * with the same table and host list, and one with hosts that do not leave if there
 * is any. Returns data_centre if the table does not have it. */
cas_id_t watching_data_centre(const table_t *table, const roster_t *roster,
			      cas_id_t data_centre);

#endif
