/*
 * Routing: chooses an upstream of a service. Nearer tiers come first, the
 * less loaded of two random choices wins, outliers are ejected, and new
 * upstreams get their traffic gradually.
 */
#ifndef CASSIA_ROUTING_H
#define CASSIA_ROUTING_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"
#include "cassia/roster.h"
#include "cassia/table.h"

enum routing_error {
	ROUTING_ENOMEM = -1601,
	ROUTING_ESERVICE = -1602, /* no upstream of the service is listed */
	ROUTING_ENONE = -1603, /* all are excluded, leaving, ejected or far */
	ROUTING_ESELF = -1604, /* the own host has no known data centre */
	ROUTING_EBUSY = -1605, /* all connections to usable ones are in use */
};

typedef enum routing_tier {
	ROUTING_OWN_HOST,
	ROUTING_OWN_DC,
	ROUTING_OWN_REGION,
	ROUTING_OTHER_REGION,
	ROUTING_TIERS,
} routing_tier_t;

typedef enum routing_outcome {
	ROUTING_OK,
	ROUTING_SHED, /* rejected by overload control; no sign of a fault */
	/* Answered with a server error or turned work away without load; the
	 * cause may lie behind it and concern its peers too. */
	ROUTING_ERROR,
	ROUTING_FAILED, /* broke off */
	ROUTING_REFUSED, /* connection refused: ejects at once */
	ROUTING_EXPIRED, /* no response before the deadline */
	ROUTING_CANCELLED, /* ended by the caller; says nothing */
} routing_outcome_t;

typedef struct routing_choice {
	cas_id_t host;
	routing_tier_t tier;
} routing_choice_t;

typedef struct routing_result {
	routing_outcome_t outcome;
	int64_t latency_us;
	int32_t limit_hint; /* admission limit from the response, 0: none */
	int32_t busy_permille; /* (in flight + queued) / limit, -1: unknown */
} routing_result_t;

/* Calls to the owner; NULL members are left out. */
typedef struct routing_ops {
	void (*ejected)(void *private, cas_id_t host, int64_t until_us);
} routing_ops_t;

typedef struct routing routing_t;

/* Returns a new router without upstreams, or NULL. clock and rng are
 * borrowed; ops may be NULL. */
routing_t *routing_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			  cas_rng_t *rng, const routing_ops_t *ops,
			  void *private);

/* Adopts a table and a host list. Both are borrowed during the call only.
 * self is the own host; self_dc is its data centre from the settings, used
 * while the host is not listed. Returns 0, ROUTING_ENOMEM or ROUTING_ESELF;
 * on error the previous view stays. */
int routing_set_view(routing_t *routing, const table_t *table,
		     const roster_t *roster, cas_id_t self, cas_id_t self_dc);

/*
 * Chooses an upstream of the service that is not among the excluded hosts.
 * other_regions allows the last tier; set it only for work that would
 * otherwise be rejected. Returns 0, ROUTING_ESERVICE, ROUTING_ENONE or
 * ROUTING_EBUSY.
 */
int routing_pick(routing_t *routing, cas_id_t service, const cas_id_t *exclude,
		 size_t exclude_count, bool other_regions,
		 routing_choice_t *choice);

/* Counts a request to the host as outstanding, until routing_finish. */
void routing_begin(routing_t *routing, cas_id_t host);
void routing_finish(routing_t *routing, cas_id_t host,
		    const routing_result_t *result);

/* Counts bytes sent or received over the link to the host's region. */
void routing_count_bytes(routing_t *routing, cas_id_t host, uint64_t sent,
			 uint64_t received);

/* Returns bytes exchanged with a region since start. */
void routing_link_bytes(const routing_t *routing, cas_id_t region_id,
			uint64_t *sent, uint64_t *received);

/* Returns the number of hosts of the service to which this daemon may keep
 * connections, and the connections to each of them that it may open; 0
 * connections means no limit. */
size_t routing_subset_size(const routing_t *routing, cas_id_t service);
int32_t routing_connections(const routing_t *routing, cas_id_t service,
			    cas_id_t host);

/* State of one host for status pages and tests. */
bool routing_is_ejected(const routing_t *routing, cas_id_t host);
int32_t routing_outstanding(const routing_t *routing, cas_id_t host);

#endif
