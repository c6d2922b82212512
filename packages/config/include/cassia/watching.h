/*
 * The data centre whose watchers read the platform for the daemons of a region.
 * What the daemons of a region read crosses the same links between regions, and
 * inside the region one copy of it is enough.
 */
#ifndef CASSIA_WATCHING_H
#define CASSIA_WATCHING_H

#include "cassia/roster.h"
#include "cassia/table.h"

/* Returns that data centre for the region of data_centre: the same on all daemons
 * with the same table and host list, and one with hosts that do not leave if there
 * is any. Returns data_centre if the table does not have it. */
cas_id_t watching_data_centre(const table_t *table, const roster_t *roster,
			      cas_id_t data_centre);

#endif
