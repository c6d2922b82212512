/*
 * The host list of the platform: one entry for each upstream host, live or
 * leaving, with the addresses of its daemon. Never changed after reading.
 */
#ifndef CASSIA_ROSTER_H
#define CASSIA_ROSTER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/str.h"

typedef struct roster_host {
	cas_id_t id;
	cas_str_t name;
	cas_id_t service_id;
	cas_id_t data_centre_id;
	struct in_addr address;
	uint16_t peer_port; /* HTTP between daemons, host byte order */
	uint16_t control_port; /* UDP, ONC RPC between daemons */
	bool leaving;
	cas_str_t instance; /* names one run of the upstream, may be empty */
	int32_t slots; /* requests that the upstream runs at once, 0: unknown */
	int32_t cold_ms; /* how long the upstream is slow after its start */
} roster_host_t;

typedef struct roster {
	int64_t revision; /* 1 or more */
	roster_host_t *hosts; /* sorted by id */
	size_t host_count;
	cas_str_t source; /* the text it was read from, passed to peers */
	uint64_t fingerprint; /* of the content */
} roster_t;

/*
 * Reads a host list from TOML text: a host list of its own, or a table that
 * also has hosts_revision and [[host]] rows, which is then checked as a whole.
 * Returns 0 and *roster (new reference, owned by ctx), CONFIG_EFAULTS with
 * every fault added to faults, or CONFIG_ENOMEM. Ends with [end] like a table.
 */
int roster_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		roster_t **roster);

/* Returns a borrowed pointer into the roster, or NULL. */
const roster_host_t *roster_find(const roster_t *roster, cas_id_t id);

#endif
