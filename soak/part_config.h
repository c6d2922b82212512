/* The config store and the boot rule on each host. */
#ifndef SOAK_PART_CONFIG_H
#define SOAK_PART_CONFIG_H

#include "documents.h"

typedef struct part_config_totals {
	uint64_t offers;
	uint64_t accepted;
	uint64_t stale;
	uint64_t refused;
	uint64_t asks;
	uint64_t fetches;
	uint64_t boots;
	uint64_t digest;
} part_config_totals_t;

/* Add it behind membership. */
size_t part_config_add(fleet_t *fleet, documents_t *documents);

const part_config_totals_t *part_config_totals(fleet_t *fleet);

/* Of a running host: what it holds, whether it may serve, and whether it has
 * asked another host since its start. */
const config_store_t *part_config_store(fleet_host_t *host);
bool part_config_ready(fleet_host_t *host);
bool part_config_asked(fleet_host_t *host, size_t peer);

#endif
