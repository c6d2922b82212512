/*
 * Fake of the platform, which is the source of the table and the roster (the
 * host list of one revision). Keeps every revision of both and gives the newest
 * to the hosts, to each after a random delay.
 */
#ifndef SOAK_FAKE_PLATFORM_H
#define SOAK_FAKE_PLATFORM_H

#include "fleet.h"

/* The limit of a customer in the next table. */
typedef struct fake_customer {
	const char *name;
	cas_id_t id; /* filled in by fake_platform_add */
	int64_t rate; /* tokens per second */
	int64_t burst; /* tokens */
} fake_customer_t;

/* Adds the part to the fleet and makes the first table and roster, with every
 * customer (borrowed) and every host. Returns the index of the part. Must be
 * called before other parts are added, so that a tick first updates the table
 * and the roster. */
size_t fake_platform_add(fleet_t *fleet, fake_customer_t *customers,
			 size_t count);

/* Starts a host with the newest table and roster. */
void fake_platform_start(fleet_host_t *host);

/* Makes a new table from the current limits of the customers. Each host gets it
 * within spread_us, or later if it is isolated or paused. */
void fake_platform_change_table(fleet_t *fleet, int64_t spread_us);

/* State of a host in a roster. */
typedef enum fake_listing {
	FAKE_LISTING_ACTIVE,
	FAKE_LISTING_LEAVING,
	FAKE_LISTING_ABSENT
} fake_listing_t;

/* Set and return the state of a host (index) in the next roster. */
void fake_platform_set_listing(fleet_t *fleet, size_t host,
			       fake_listing_t listing);
fake_listing_t fake_platform_listing(fleet_t *fleet, size_t host);

/* Makes a new roster from the states of the hosts. Each host gets it within
 * spread_us or, with a chance of one in six, up to 30 s later. */
void fake_platform_change_roster(fleet_t *fleet, int64_t spread_us);

/* Returns the roster of a revision (borrowed), or NULL. */
const roster_t *fake_platform_roster(fleet_t *fleet, int64_t revision);

/* Returns the newest table (borrowed). */
const table_t *fake_platform_table(fleet_t *fleet);

/* Returns true when two rosters differ in a third or more of the hosts of a
 * data centre, as a part of the hosts in the larger one. */
bool fake_platform_replaces_third(const roster_t *old, const roster_t *fresh,
				  cas_id_t dc);

#endif
