/* Conditions for sending a request to the upstream of this host. */
#include "upstream_gate.h"

reason_t upstream_gate_check(const cassiad_t *daemon,
			     const attempt_context *context)
{
	if (cas_clock_now(daemon->clock) >= context->deadline)
		return REASON_DEADLINE;
	if (!drain_accepts_upstream_work(daemon->drain))
		return REASON_DRAINING;
	return REASON_NONE;
}
