/* The membership module on each host: heartbeats, notices and the fence. */
#ifndef SOAK_PART_MEMBERSHIP_H
#define SOAK_PART_MEMBERSHIP_H

#include "cassia/membership.h"
#include "fence.h"

typedef struct part_membership_totals {
	uint64_t beats;
	uint64_t notices;
	uint64_t fetches; /* of rosters, from other daemons */
	uint64_t undecoded;
} part_membership_totals_t;

/* Called when a host hears that another one holds a newer table. */
typedef void (*part_membership_newer_fn)(fleet_host_t *host, int64_t revision,
					 cas_id_t from);

/* Add it behind the platform. */
size_t part_membership_add(fleet_t *fleet);
void part_membership_on_newer_table(part_membership_newer_fn fn);

/* Returns the module of a running host. */
membership_t *part_membership_of(fleet_host_t *host);
part_membership_totals_t *part_membership_totals(fleet_t *fleet);

/* The fence of membership, for fence_use. */
extern const fence_ops_t part_membership_fence;

#endif
