/* Part with the membership module on each host: heartbeats, notices and the
 * fence. */
#ifndef SOAK_PART_MEMBERSHIP_H
#define SOAK_PART_MEMBERSHIP_H

#include "cassia/membership.h"
#include "fence.h"

/* Counts of the whole fleet. */
typedef struct part_membership_totals {
	uint64_t beats; /* heartbeats sent */
	uint64_t notices; /* sent */
	uint64_t fetches; /* rosters fetched from other daemons */
	uint64_t undecoded; /* messages that could not be decoded */
} part_membership_totals_t;

/* Called when a host learns that another one (from) holds a newer table. */
typedef void (*part_membership_newer_fn)(fleet_host_t *host, int64_t revision,
					 cas_id_t from);

/* Adds the part to the fleet and returns its index. Must be called after
 * fake_platform_add. */
size_t part_membership_add(fleet_t *fleet);

/* Sets the callback for newer tables. */
void part_membership_on_newer_table(part_membership_newer_fn fn);

/* Returns the module of a running host. */
membership_t *part_membership_of(fleet_host_t *host);

/* Returns the totals (borrowed). */
part_membership_totals_t *part_membership_totals(fleet_t *fleet);

/* The fence of membership, for fence_set_ops. */
extern const fence_ops_t part_membership_fence;

#endif
