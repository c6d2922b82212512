/* The fence that the quota part uses: the fake one, or membership. */
#ifndef SOAK_FENCE_H
#define SOAK_FENCE_H

#include "fleet.h"

typedef struct fence_ops {
	bool (*held)(fleet_host_t *host, int64_t revision);
	bool (*settled)(fleet_host_t *host, int64_t revision);
	uint64_t (*epoch)(fleet_host_t *host); /* NULL: always 0 */
} fence_ops_t;

/* Replaces the fake fence, which is used by default; ops is borrowed. */
void fence_use(const fence_ops_t *ops);

bool fence_held(fleet_host_t *host, int64_t revision);
bool fence_settled(fleet_host_t *host, int64_t revision);
uint64_t fence_epoch(fleet_host_t *host);

#endif
