/*
 * Selects the fence of the quota part: that of membership, or a fake one. The
 * fence of a roster revision is held while a quorum of the hosts of a data
 * centre confirms the revision, so no other roster has a quorum. It is settled
 * when the quorum has held the revision so long that grants made under earlier
 * rosters have expired.
 */
#ifndef SOAK_FENCE_H
#define SOAK_FENCE_H

#include "fleet.h"

/* The implementation of a fence. */
typedef struct fence_ops {
	bool (*held)(fleet_host_t *host, int64_t revision);
	bool (*settled)(fleet_host_t *host, int64_t revision);
	/* May be NULL; the epoch is then always 0. */
	uint64_t (*epoch)(fleet_host_t *host);
} fence_ops_t;

/* Sets the implementation (borrowed), before the hosts start. */
void fence_set_ops(const fence_ops_t *ops);

/* Return whether the daemon of host knows that the fence of its data centre is
 * held or settled at a roster revision. */
bool fence_held(fleet_host_t *host, int64_t revision);
bool fence_settled(fleet_host_t *host, int64_t revision);

/* Returns a number that changes when another host may have held a bucket in the
 * meantime, see fence_epoch in cassia/quota.h. */
uint64_t fence_epoch(fleet_host_t *host);

#endif
