/*
 * Roster: one revision of the platform's host list. It has one entry for each
 * upstream host, whether it takes new requests or is leaving, with the
 * addresses of its daemon. A roster is not modified after it was read.
 */
#ifndef CASSIA_ROSTER_H
#define CASSIA_ROSTER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/name_list.h"
#include "cassia/str.h"

/* Bounds of a host's fields; a list with a value beyond them is refused as a
 * whole. */
#define ROSTER_INSTANCE_MAX_BYTES 128
#define ROSTER_SLOTS_MAX 100000
#define ROSTER_WARM_UP_MAX_MS INT32_MAX

typedef struct roster_host {
	cas_id_t id; /* of name */
	cas_str_t name;
	cas_id_t service_id; /* of the service that the upstream provides */
	cas_id_t data_centre_id;
	struct in_addr address; /* of the daemon on this host */
	uint16_t peer_port; /* HTTP between daemons, host byte order */
	uint16_t control_port; /* ONC RPC over UDP between daemons */
	bool leaving; /* the host is being removed */
	/* Identifies one run of the upstream; may be empty. */
	cas_str_t instance;
	/* Requests that the upstream can run concurrently; 0: unknown. */
	int32_t slots;
	/* Time after its start during which the upstream is slow. */
	int32_t warm_up_ms;
} roster_host_t;

typedef struct roster {
	int64_t revision; /* 1 or more */
	roster_host_t *hosts; /* sorted by id */
	size_t host_count;
	/* Data centres whose upstreams must get no requests. Their daemons go
	 * on as entry daemons. */
	name_list_t evacuated;
	cas_str_t source; /* the text it was read from, sent to peers */
	/* Hash of the content; comments and layout do not count. */
	uint64_t fingerprint;
} roster_t;

/*
 * Reads a host list from TOML text: either a separate host list, which ends
 * with [end] like a table, or a table that embeds one (hosts_revision and
 * [[host]] rows); the whole table is then checked. Returns 0 and *roster (new
 * reference, owned by ctx), CONFIG_EFAULTS with every fault added to faults, or
 * CONFIG_ENOMEM.
 */
int roster_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		roster_t **roster);

/* Returns the host with this id (borrowed from the roster), or NULL. */
const roster_host_t *roster_find(const roster_t *roster, cas_id_t id);

/* Returns whether the data centre is evacuated. */
bool roster_is_evacuated(const roster_t *roster, cas_id_t data_centre);

#endif
