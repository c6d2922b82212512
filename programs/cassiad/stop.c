/* Graceful stop of the daemon, and drain of its upstream without a stop. */
#include "stop.h"

#include "cassia/log.h"
#include "control.h"
#include "entry.h"
#include "tick.h"

/* Time without traffic after which an open connection counts as idle. */
#define CONNECTION_IDLE_US (300 * CAS_USEC_PER_MSEC)

static void on_announce(void *private)
{
	cassiad_t *daemon = private;

	control_set_draining(daemon, true);
	config_apply(daemon);
	if (daemon->stopping)
		http_server_close_connections(daemon->front_server);
	cas_log(CAS_LOG_INFO, "draining",
		CAS_LOG_CSTR("goal", daemon->stopping ? "stop" : "upstream"));
}

/* Without a server for child calls, the one for callers serves them. Refusals
 * close the connections of other daemons, so that few are left that a late
 * attempt could use while the last ones close. */
static void on_end_intake(void *private)
{
	cassiad_t *daemon = private;

	if (daemon->local_server)
		http_server_drain(daemon->front_server);
	http_server_close_connections(daemon->peer_server);
	cas_log(CAS_LOG_INFO, "intake_ended");
}

static void on_stop_listening(void *private)
{
	cassiad_t *daemon = private;

	http_server_drain(daemon->front_server);
	if (daemon->local_server)
		http_server_drain(daemon->local_server);
	http_server_drain(daemon->peer_server);
	cas_log(CAS_LOG_INFO, "listeners_closed");
}

static int64_t count_exchanges(const http_server_t *server)
{
	return server ? http_server_exchanges(server) : 0;
}

/* Logs what is running, by who has sent it: callers, the upstream (child calls)
 * and other daemons. */
static void log_load(const cassiad_t *daemon, const char *event, bool timed_out)
{
	cas_log(CAS_LOG_INFO, event, CAS_LOG_INT("timed_out", timed_out),
		CAS_LOG_INT("callers", count_exchanges(daemon->front_server)),
		CAS_LOG_INT("child_calls",
			    count_exchanges(daemon->local_server)),
		CAS_LOG_INT("peers", count_exchanges(daemon->peer_server)),
		CAS_LOG_INT("upstream", daemon->upstream_running),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
}

/* The attempts of other daemons come first: requests of callers that wait for
 * them here are then answered with what is known of the attempt. */
static void on_give_up(void *private)
{
	cassiad_t *daemon = private;

	log_load(daemon, "given_up", true);
	peer_server_give_up(daemon);
	entry_give_up(daemon);
}

static void on_finished(void *private, drain_state_t state)
{
	cassiad_t *daemon = private;

	log_load(daemon, "drained", state == DRAIN_TIMED_OUT);
	daemon->stopped = daemon->stopping;
}

static void on_upstream_closed(void *private)
{
	cassiad_t *daemon = private;

	cas_log(CAS_LOG_INFO, "upstream_closed",
		CAS_LOG_INT("leaving_us",
			    daemon->own_listing == OWN_LISTING_LEAVING
				    ? cas_clock_now(daemon->clock) -
					      daemon->leaving_since_us
				    : 0),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)),
		CAS_LOG_INT("running", daemon->upstream_running));
	admission_stop_queue(daemon->admission);
}

static const drain_ops_t drain_ops = {
	.announce = on_announce,
	.end_intake = on_end_intake,
	.stop_listening = on_stop_listening,
	.give_up = on_give_up,
	.finished = on_finished,
	.upstream_closed = on_upstream_closed,
};

int stop_create(cassiad_t *daemon)
{
	daemon->drain = drain_create(daemon, daemon->clock, &drain_ops, daemon);
	daemon->times = drain_times_create(daemon, daemon->clock);
	return daemon->drain && daemon->times ? 0 : BASE_ENOMEM;
}

int daemon_drain(cassiad_t *daemon, drain_goal_t goal)
{
	int error;

	if (goal == DRAIN_GOAL_STOP)
		daemon->stopping = true;
	error = drain_begin(daemon->drain, goal,
			    daemon->settings->drain_timeout_ms *
				    CAS_USEC_PER_MSEC);
	tick_control_changed(daemon);
	return error;
}

const char *daemon_state(const cassiad_t *daemon)
{
	switch (drain_state(daemon->drain)) {
	case DRAIN_SERVING:
		return daemon->ready ? "serving" : "starting";
	case DRAIN_ANNOUNCING:
	case DRAIN_FINISHING:
	case DRAIN_CLOSING:
	case DRAIN_GIVING_UP:
		return "draining";
	case DRAIN_DONE:
	case DRAIN_TIMED_OUT:
		break;
	}
	return "drained";
}

static bool are_connections_idle(const cassiad_t *daemon)
{
	return http_server_is_idle(daemon->front_server, CONNECTION_IDLE_US) &&
	       http_server_is_idle(daemon->peer_server, CONNECTION_IDLE_US);
}

/* A stop waits for the work of every server, the drain of an upstream only for
 * the upstream. */
static drain_load_t current_load(const cassiad_t *daemon)
{
	drain_load_t load = {
		.inflight = daemon->upstream_running +
			    (uint64_t)admission_queued(daemon->admission),
	};

	if (!daemon->stopping)
		return load;
	load.inflight += (uint64_t)(count_exchanges(daemon->front_server) +
				    count_exchanges(daemon->local_server) +
				    count_exchanges(daemon->peer_server));
	load.connections_idle = !load.inflight && are_connections_idle(daemon);
	return load;
}

void stop_tick(cassiad_t *daemon)
{
	drain_load_t load;

	if (drain_state(daemon->drain) == DRAIN_SERVING)
		return;
	load = current_load(daemon);
	drain_tick(daemon->drain, &load);
}

/* Returns how long a request is expected to take: until its deadline, or as
 * long as the longest one of its kind took lately. */
static int64_t expected_time_us(const cassiad_t *daemon,
				const attempt_context *context)
{
	int64_t left_us = context->deadline - cas_clock_now(daemon->clock);
	int64_t longest_us =
		drain_times_longest(daemon->times, entry_chain_key(context));

	return longest_us < left_us ? longest_us : left_us;
}

bool stop_accepts_request(const cassiad_t *daemon,
			  const attempt_context *context)
{
	return !drain_is_stop(daemon->drain) ||
	       drain_accepts_request(daemon->drain,
				     expected_time_us(daemon, context));
}

bool stop_accepts_possible_child_call(const cassiad_t *daemon,
				      const attempt_context *context)
{
	return !drain_is_stop(daemon->drain) ||
	       drain_accepts_possible_child_call(
		       daemon->drain, expected_time_us(daemon, context));
}

bool stop_has_time(const cassiad_t *daemon, const attempt_context *context,
		   int64_t previous_us)
{
	int64_t expected_us;

	if (!drain_is_stop(daemon->drain))
		return true;
	expected_us = expected_time_us(daemon, context);
	return drain_has_time(daemon->drain, expected_us > previous_us
						     ? expected_us
						     : previous_us);
}

void stop_limit_deadline(const cassiad_t *daemon, attempt_context *context)
{
	int64_t stop_us = drain_deadline(daemon->drain);

	if (context->deadline > stop_us)
		context->deadline = stop_us;
}

void stop_record_time(cassiad_t *daemon, const attempt_context *context,
		      int64_t time_us)
{
	drain_times_add(daemon->times, entry_chain_key(context), time_us);
}
