/* State machine of a graceful stop and of the drain of an upstream. */
#include "cassia/drain.h"

struct drain {
	const cas_clock_t *clock;
	const drain_ops_t *ops;
	void *private_data;
	drain_state_t state;
	drain_goal_t goal;
	int64_t started_us; /* time of drain_begin */
	int64_t timeout_us; /* from started_us */
	uint64_t inflight;
};

drain_t *drain_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
		      const drain_ops_t *ops, void *private_data)
{
	drain_t *drain = talloc_zero(ctx, drain_t);

	if (!drain)
		return NULL;
	drain->clock = clock;
	drain->ops = ops;
	drain->private_data = private_data;
	return drain;
}

static bool may_begin(const drain_t *drain, drain_goal_t goal)
{
	if (drain->state == DRAIN_SERVING)
		return true;
	return goal == DRAIN_GOAL_STOP && drain->goal == DRAIN_GOAL_UPSTREAM;
}

int drain_begin(drain_t *drain, drain_goal_t goal, int64_t timeout_us)
{
	if (!may_begin(drain, goal))
		return DRAIN_EALREADY;
	drain->goal = goal;
	drain->state = DRAIN_ANNOUNCING;
	drain->started_us = cas_clock_now(drain->clock);
	drain->timeout_us = timeout_us;
	drain->ops->announce(drain->private_data);
	return 0;
}

void drain_cancel(drain_t *drain)
{
	if (drain->goal == DRAIN_GOAL_UPSTREAM)
		drain->state = DRAIN_SERVING;
}

void drain_set_inflight(drain_t *drain, uint64_t inflight)
{
	drain->inflight = inflight;
}

static void finish(drain_t *drain, drain_state_t state)
{
	drain->state = state;
	drain->ops->finished(drain->private_data, state);
}

static void end_announcement(drain_t *drain)
{
	drain->state = DRAIN_FINISHING;
	if (drain->goal == DRAIN_GOAL_STOP)
		drain->ops->stop_listening(drain->private_data);
}

/* Returns the duration of the announcement in microseconds. */
static int64_t announcement_us(const drain_t *drain)
{
	return drain->goal == DRAIN_GOAL_STOP ? DRAIN_STOP_ANNOUNCE_US
					      : DRAIN_UPSTREAM_ANNOUNCE_US;
}

void drain_tick(drain_t *drain)
{
	int64_t elapsed = cas_clock_now(drain->clock) - drain->started_us;

	if (drain->state == DRAIN_ANNOUNCING &&
	    elapsed >= announcement_us(drain))
		end_announcement(drain);
	if (drain->state != DRAIN_FINISHING)
		return;
	if (drain->inflight == 0)
		finish(drain, DRAIN_DONE);
	else if (elapsed >= drain->timeout_us)
		finish(drain, DRAIN_TIMED_OUT);
}

drain_state_t drain_state(const drain_t *drain)
{
	return drain->state;
}

bool drain_accepts_upstream_work(const drain_t *drain)
{
	return drain->state == DRAIN_SERVING ||
	       drain->state == DRAIN_ANNOUNCING;
}
