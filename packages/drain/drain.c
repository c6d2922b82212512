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
	int64_t gave_up_us; /* valid in DRAIN_GIVING_UP */
	int64_t upstream_until_us; /* the upstream accepts work before this */
	bool upstream_closed; /* ops->upstream_closed was called */
	bool upstream_held; /* see drain_hold_upstream */
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
	drain->upstream_until_us = INT64_MAX;
	return drain;
}

static bool may_begin(const drain_t *drain, drain_goal_t goal)
{
	if (drain->state == DRAIN_SERVING)
		return true;
	return goal == DRAIN_GOAL_STOP && drain->goal == DRAIN_GOAL_UPSTREAM;
}

static void limit_upstream_work(drain_t *drain, int64_t until_us)
{
	if (until_us < drain->upstream_until_us)
		drain->upstream_until_us = until_us;
}

int drain_begin(drain_t *drain, drain_goal_t goal, int64_t timeout_us)
{
	if (!may_begin(drain, goal))
		return DRAIN_EALREADY;
	drain->goal = goal;
	drain->state = DRAIN_ANNOUNCING;
	drain->started_us = cas_clock_now(drain->clock);
	drain->timeout_us = timeout_us;
	if (goal == DRAIN_GOAL_UPSTREAM)
		limit_upstream_work(drain, drain->started_us +
						   DRAIN_UPSTREAM_ANNOUNCE_US);
	drain->ops->announce(drain->private_data);
	return 0;
}

static void close_upstream_if_due(drain_t *drain)
{
	if (drain->upstream_closed ||
	    cas_clock_now(drain->clock) < drain->upstream_until_us)
		return;
	drain->upstream_closed = true;
	drain->ops->upstream_closed(drain->private_data);
}

void drain_close_upstream(drain_t *drain)
{
	limit_upstream_work(drain, cas_clock_now(drain->clock));
	close_upstream_if_due(drain);
}

void drain_hold_upstream(drain_t *drain, bool held)
{
	bool was_held = drain->upstream_held;

	drain->upstream_held = held;
	if (held && !was_held)
		drain->ops->upstream_closed(drain->private_data);
}

void drain_cancel(drain_t *drain)
{
	drain->upstream_until_us = INT64_MAX;
	drain->upstream_closed = false;
	if (drain->goal == DRAIN_GOAL_UPSTREAM)
		drain->state = DRAIN_SERVING;
}

bool drain_is_stop(const drain_t *drain)
{
	return drain->state != DRAIN_SERVING && drain->goal == DRAIN_GOAL_STOP;
}

static void finish(drain_t *drain, drain_state_t state)
{
	drain->state = state;
	drain->ops->finished(drain->private_data, state);
}

/* Returns the duration of the announcement in microseconds. The second half of
 * a short limit is left for the requests accepted in the first. */
static int64_t announcement_us(const drain_t *drain)
{
	if (drain->goal == DRAIN_GOAL_UPSTREAM)
		return DRAIN_UPSTREAM_ANNOUNCE_US;
	return drain->timeout_us / 2 < DRAIN_STOP_ANNOUNCE_US
		       ? drain->timeout_us / 2
		       : DRAIN_STOP_ANNOUNCE_US;
}

static void give_up(drain_t *drain)
{
	bool listening = drain->state != DRAIN_CLOSING;

	drain->state = DRAIN_GIVING_UP;
	drain->gave_up_us = cas_clock_now(drain->clock);
	drain->ops->give_up(drain->private_data);
	if (listening)
		drain->ops->stop_listening(drain->private_data);
}

/* The final answers get the time to be sent even if the process was paused
 * until after the limit. */
static void tick_giving_up(drain_t *drain, const drain_load_t *load)
{
	int64_t elapsed = cas_clock_now(drain->clock) - drain->gave_up_us;

	if (elapsed >= DRAIN_GIVE_UP_US ||
	    (!load->inflight && load->connections_idle))
		finish(drain, DRAIN_TIMED_OUT);
}

static void tick_stop(drain_t *drain, const drain_load_t *load)
{
	int64_t now = cas_clock_now(drain->clock);
	int64_t elapsed = now - drain->started_us;

	if (drain->state == DRAIN_ANNOUNCING &&
	    elapsed >= announcement_us(drain)) {
		drain->state = DRAIN_FINISHING;
		drain->ops->end_intake(drain->private_data);
	}
	if (drain->state == DRAIN_GIVING_UP) {
		tick_giving_up(drain, load);
	} else if (drain->state == DRAIN_FINISHING && !load->inflight) {
		drain->state = DRAIN_CLOSING;
		drain->ops->stop_listening(drain->private_data);
	} else if (drain->state == DRAIN_CLOSING && !load->inflight) {
		if (load->connections_idle || elapsed >= drain->timeout_us)
			finish(drain, DRAIN_DONE);
	} else if (drain->state < DRAIN_GIVING_UP && load->inflight &&
		   now >= drain_deadline(drain)) {
		give_up(drain);
	}
}

static void tick_upstream(drain_t *drain, const drain_load_t *load)
{
	int64_t elapsed = cas_clock_now(drain->clock) - drain->started_us;

	if (drain->state == DRAIN_ANNOUNCING &&
	    elapsed >= announcement_us(drain))
		drain->state = DRAIN_FINISHING;
	if (drain->state != DRAIN_FINISHING)
		return;
	if (!load->inflight)
		finish(drain, DRAIN_DONE);
	else if (elapsed >= drain->timeout_us)
		finish(drain, DRAIN_TIMED_OUT);
}

void drain_tick(drain_t *drain, const drain_load_t *load)
{
	close_upstream_if_due(drain);
	if (drain->goal == DRAIN_GOAL_STOP)
		tick_stop(drain, load);
	else
		tick_upstream(drain, load);
}

drain_state_t drain_state(const drain_t *drain)
{
	return drain->state;
}

bool drain_has_time(const drain_t *drain, int64_t expected_us)
{
	return !drain_is_stop(drain) ||
	       expected_us <=
		       drain_deadline(drain) - cas_clock_now(drain->clock);
}

bool drain_accepts_request(const drain_t *drain, int64_t expected_us)
{
	return (!drain_is_stop(drain) || drain->state == DRAIN_ANNOUNCING) &&
	       drain_has_time(drain, expected_us);
}

static bool serves_accepted_work(const drain_t *drain)
{
	return !drain_is_stop(drain) || drain->state <= DRAIN_FINISHING;
}

bool drain_accepts_child_call(const drain_t *drain)
{
	return serves_accepted_work(drain);
}

bool drain_accepts_possible_child_call(const drain_t *drain,
				       int64_t expected_us)
{
	if (!drain_is_stop(drain) || drain->state == DRAIN_ANNOUNCING)
		return drain_has_time(drain, expected_us);
	return drain->state == DRAIN_FINISHING &&
	       drain_has_time(drain, 2 * expected_us);
}

bool drain_accepts_upstream_work(const drain_t *drain)
{
	return !drain->upstream_held &&
	       cas_clock_now(drain->clock) < drain->upstream_until_us &&
	       serves_accepted_work(drain);
}

int64_t drain_deadline(const drain_t *drain)
{
	int64_t give_up_us = drain->timeout_us - DRAIN_GIVE_UP_US;

	if (!drain_is_stop(drain))
		return INT64_MAX;
	return drain->started_us + (give_up_us > 0 ? give_up_us : 0);
}
