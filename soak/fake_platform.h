/* The configuration service and the host list: every revision of the table and
 * the roster, and their spread to the hosts with delays. */
#ifndef SOAK_FAKE_PLATFORM_H
#define SOAK_FAKE_PLATFORM_H

#include "fleet.h"

typedef struct fake_customer {
	const char *name;
	cas_id_t id; /* filled in */
	int64_t rate; /* tokens a second */
	int64_t burst; /* tokens */
} fake_customer_t;

/* Adds the part; call it before other parts so that views come first. The
 * first table and roster hold every customer and host. */
size_t fake_platform_add(fleet_t *fleet, fake_customer_t *customers,
			 size_t count);

/* Starts a host with the newest table and roster. */
void fake_platform_start(fleet_host_t *host);

/* Makes a new table from the customers as they are now; each host gets it
 * within spread_us. */
void fake_platform_change_table(fleet_t *fleet, int64_t spread_us);

typedef enum fake_listing {
	FAKE_LIVE,
	FAKE_LEAVING,
	FAKE_ABSENT
} fake_listing_t;

/* The state of a host in the next roster. */
void fake_platform_list(fleet_t *fleet, size_t host, fake_listing_t listing);
fake_listing_t fake_platform_listing(fleet_t *fleet, size_t host);
void fake_platform_change_roster(fleet_t *fleet, int64_t spread_us);

/* Returns the roster of a revision (borrowed), or NULL. */
const roster_t *fake_platform_roster(fleet_t *fleet, int64_t revision);
const table_t *fake_platform_table(fleet_t *fleet);

/* True when a third or more of the data centre's hosts were replaced. */
bool fake_platform_replaced(const roster_t *old, const roster_t *fresh,
			    cas_id_t dc);

#endif
