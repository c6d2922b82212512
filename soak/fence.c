/* Passes calls on to the fence in use. */
#include "fence.h"

#include "fake_fence.h"

static const fence_ops_t fake_ops = {
	.held = fake_fence_held,
	.settled = fake_fence_settled,
};

static const fence_ops_t *in_use = &fake_ops;

void fence_use(const fence_ops_t *ops)
{
	in_use = ops;
}

bool fence_held(fleet_host_t *host, int64_t revision)
{
	return in_use->held(host, revision);
}

bool fence_settled(fleet_host_t *host, int64_t revision)
{
	return in_use->settled(host, revision);
}

uint64_t fence_epoch(fleet_host_t *host)
{
	return in_use->epoch ? in_use->epoch(host) : 0;
}
