/*
 * The periodic work of the components. While the daemon has requests, starts or
 * drains, there is a tick every TICK_US. Otherwise ticks at which nothing is due
 * are skipped: they would be most of what an idle daemon does.
 */
#include "tick.h"

#include "control.h"
#include "processor_use.h"
#include "stated_leaving.h"
#include "stats.h"
#include "stop.h"
#include "warm_up_watch.h"

#define TICK_US (10 * CAS_USEC_PER_MSEC)
/* Period of config_tick, and the longest time between two ticks. */
#define CONFIG_TICK_US (100 * CAS_USEC_PER_MSEC)
/* Period of the work that only bounds memory and log lines. */
#define SLOW_TICK_US CAS_USEC_PER_SEC

static void run_tick(cassiad_t *daemon)
{
	int64_t now = cas_clock_now(daemon->clock);

	admission_tick(daemon->admission);
	control_tick(daemon);
	if (now >= daemon->config_tick_due_us) {
		daemon->config_tick_due_us = now + CONFIG_TICK_US;
		config_tick(daemon);
		warm_up_watch_tick(daemon);
	}
	if (now >= daemon->slow_tick_due_us) {
		daemon->slow_tick_due_us = now + SLOW_TICK_US;
		thresholds_tick(daemon->thresholds);
		stats_tick(daemon);
		stated_leaving_tick(daemon);
	}
	stop_tick(daemon);
}

static bool is_busy(const cassiad_t *daemon)
{
	return daemon->requests || daemon->peer_requests ||
	       daemon->upstream_running ||
	       admission_inflight(daemon->admission) ||
	       admission_queued(daemon->admission) || !daemon->ready ||
	       drain_state(daemon->drain) != DRAIN_SERVING;
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Returns when the next tick has something to do, at the earliest one tick from
 * now. */
static int64_t next_due(const cassiad_t *daemon, int64_t now)
{
	int64_t due;

	if (is_busy(daemon))
		return now + TICK_US;
	due = earlier(daemon->config_tick_due_us,
		      earlier(control_next_due(daemon),
			      admission_next_due(daemon->admission)));
	return due < now + TICK_US ? now + TICK_US : due;
}

static void arm(cassiad_t *daemon, int64_t now, int64_t due)
{
	daemon->tick_due_us = due;
	cas_timer_arm(daemon->tick_timer, due - now);
}

static void on_tick(void *private)
{
	cassiad_t *daemon = private;
	int64_t now = cas_clock_now(daemon->clock);

	processor_use_tick(daemon,
			   daemon->tick_due_us ? now - daemon->tick_due_us : 0);
	run_tick(daemon);
	now = cas_clock_now(daemon->clock);
	arm(daemon, now, next_due(daemon, now));
}

void tick_request_arrived(cassiad_t *daemon)
{
	int64_t now;

	if (daemon->requests || daemon->peer_requests || !daemon->tick_timer)
		return;
	now = cas_clock_now(daemon->clock);
	if (daemon->tick_due_us <= now + TICK_US)
		return;
	/* What the skipped ticks would have done: the measurement of the
	 * concurrency limit does not count the idle time. */
	admission_tick(daemon->admission);
	arm(daemon, now, now + TICK_US);
}

void tick_control_changed(cassiad_t *daemon)
{
	int64_t now;
	int64_t due;

	if (!daemon->tick_timer)
		return;
	now = cas_clock_now(daemon->clock);
	if (daemon->tick_due_us <= now + TICK_US)
		return;
	due = next_due(daemon, now);
	if (due < daemon->tick_due_us)
		arm(daemon, now, due);
}

int tick_start(cassiad_t *daemon)
{
	daemon->tick_timer =
		cas_timer_create(daemon, daemon->ev, on_tick, daemon);
	if (!daemon->tick_timer)
		return BASE_ENOMEM;
	on_tick(daemon);
	return 0;
}
