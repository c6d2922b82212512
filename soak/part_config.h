/* Part with the config store on each host, and with the check at the start of a
 * daemon that its documents are as new as those of its peers (config_boot). */
#ifndef SOAK_PART_CONFIG_H
#define SOAK_PART_CONFIG_H

#include "documents.h"

/* Counts of the whole fleet. */
typedef struct part_config_totals {
	uint64_t offers; /* documents offered to a store */
	uint64_t accepted; /* offers */
	uint64_t stale; /* offers refused as not newer */
	uint64_t refused; /* offers refused as invalid */
	uint64_t asks; /* questions of starting daemons to peers */
	uint64_t fetches; /* documents requested from peers */
	uint64_t boots; /* daemons started */
	uint64_t digest; /* hash of the accepted revisions and their times */
} part_config_totals_t;

/* Adds the part to the fleet and returns its index. documents is borrowed. Must
 * be called after part_membership_add. */
size_t part_config_add(fleet_t *fleet, documents_t *documents);

/* Returns the totals (borrowed). */
const part_config_totals_t *part_config_totals(fleet_t *fleet);

/* For a running host, return its store (borrowed), whether it may serve, and
 * whether it has asked a peer (host index) since its start. */
const config_store_t *part_config_store(fleet_host_t *host);
bool part_config_ready(fleet_host_t *host);
bool part_config_asked(fleet_host_t *host, size_t peer);

#endif
