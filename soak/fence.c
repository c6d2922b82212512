/* Forwards calls to the selected fence. */
#include "fence.h"

static const fence_ops_t *current_ops;

void fence_set_ops(const fence_ops_t *ops)
{
	current_ops = ops;
}

bool fence_held(fleet_host_t *host, int64_t revision)
{
	return current_ops->held(host, revision);
}

bool fence_settled(fleet_host_t *host, int64_t revision)
{
	return current_ops->settled(host, revision);
}

uint64_t fence_epoch(fleet_host_t *host)
{
	return current_ops->epoch ? current_ops->epoch(host) : 0;
}
