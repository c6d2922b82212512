/* Makes the parts of a daemon, runs them, and ends them. */
#include "daemon.h"

#include <signal.h>
#include <sys/resource.h>

#include "cassia/log.h"
#include "cassia/peer.h"
#include "cassia/platform.h"
#include "control.h"
#include "stats.h"

#define TICK_MS 10
#define READ_TIMEOUT_US (10 * CAS_USEC_PER_SEC)
#define OPERATOR_CONNECTIONS 64U
#define PEER_CONNECTIONS 16384U
/* Requests of one caller's connection that are served side by side. */
#define PIPELINE_DEPTH 8U
/* A signed context comes on top of the caller's header. */
#define CONTEXT_BYTES 2048
#define ATTEMPTS_MAX ((size_t)256 * 1024)
#define BACK_CONNECTIONS 8192L
/* Connections without traffic for this long are closed at the end. */
#define QUIET_US (300 * CAS_USEC_PER_MSEC)

typedef struct listener {
	const char *name;
	http_front_t **front;
	const settings_endpoint_t *endpoint;
	const http_front_ops_t *ops;
	unsigned int connections;
	size_t header_bytes;
	unsigned int idle_s;
	unsigned int pipeline_depth;
} listener_t;

static int listen_on(cassiad_t *daemon, const listener_t *listener)
{
	const http_front_settings_t settings = {
		.address = listener->endpoint->address,
		.port = listener->endpoint->port,
		.connections_max = listener->connections,
		.header_max_bytes = listener->header_bytes,
		.read_timeout_us = READ_TIMEOUT_US,
		.idle_timeout_s = listener->idle_s,
		.pipeline_depth = listener->pipeline_depth,
	};
	int error;

	*listener->front =
		http_front_create(daemon, daemon->ev, daemon->clock, &settings,
				  listener->ops, daemon, &error);
	if (error) {
		cas_log(CAS_LOG_ERROR, "listen_failed",
			CAS_LOG_Z("port_of", listener->name),
			CAS_LOG_INT("port", listener->endpoint->port));
		return error;
	}
	cas_log(CAS_LOG_INFO, "listening", CAS_LOG_Z("port_of", listener->name),
		CAS_LOG_INT("port", http_front_port(*listener->front)));
	return 0;
}

static int listen_all(cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;
	unsigned int connections = (unsigned int)settings->max_connections;
	size_t header = (size_t)settings->max_header_bytes;
	unsigned int idle_s = (unsigned int)(settings->idle_timeout_ms / 1000);
	const listener_t listeners[] = {
		{ "operators", &daemon->operators, &settings->operators,
		  &operators_ops, OPERATOR_CONNECTIONS, header, idle_s + 1, 0 },
		{ "peer", &daemon->peer, &settings->peer, &serve_peer_ops,
		  PEER_CONNECTIONS, header + CONTEXT_BYTES, idle_s + 1, 0 },
		{ "local", &daemon->local, &settings->local, &entry_local_ops,
		  connections, header, idle_s + 1, 0 },
		{ "front", &daemon->front, &settings->front, &entry_front_ops,
		  connections, header, idle_s + 1, PIPELINE_DEPTH },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		int error = 0;

		if (listeners[i].front != &daemon->local || settings->has_local)
			error = listen_on(daemon, &listeners[i]);
		if (error)
			return error;
	}
	return 0;
}

static void announce(void *private)
{
	cassiad_t *daemon = private;

	control_set_draining(daemon, true);
	config_apply(daemon);
	if (daemon->stopping)
		http_front_close_connections(daemon->front);
	cas_log(CAS_LOG_INFO, "draining",
		CAS_LOG_Z("goal", daemon->stopping ? "stop" : "upstream"));
}

static void stop_listening(void *private)
{
	cassiad_t *daemon = private;

	http_front_drain(daemon->front);
	http_front_drain(daemon->peer);
}

static void finished(void *private, drain_state_t state)
{
	cassiad_t *daemon = private;

	cas_log(CAS_LOG_INFO, "drained",
		CAS_LOG_INT("timed_out", state == DRAIN_TIMED_OUT));
	daemon->stopped = daemon->stopping;
}

static const drain_ops_t drain_ops = {
	.announce = announce,
	.stop_listening = stop_listening,
	.finished = finished,
};

int daemon_drain(cassiad_t *daemon, drain_goal_t goal)
{
	if (goal == DRAIN_GOAL_STOP)
		daemon->stopping = true;
	return drain_begin(daemon->drain, goal,
			   daemon->settings->drain_timeout_ms *
				   CAS_USEC_PER_MSEC);
}

const char *daemon_state(const cassiad_t *daemon)
{
	switch (drain_state(daemon->drain)) {
	case DRAIN_SERVING:
		return daemon->ready ? "serving" : "starting";
	case DRAIN_ANNOUNCING:
	case DRAIN_FINISHING:
		return "draining";
	case DRAIN_DONE:
	case DRAIN_TIMED_OUT:
		break;
	}
	return "drained";
}

/* The caller may still use a connection that was busy a moment ago. */
static uint64_t count_inflight(const cassiad_t *daemon)
{
	uint64_t count =
		daemon->serving + (uint64_t)admission_queued(daemon->admission);

	if (!daemon->stopping)
		return count;
	count += http_front_exchanges(daemon->front);
	if (daemon->local)
		count += http_front_exchanges(daemon->local);
	count += http_front_exchanges(daemon->peer);
	if (!count && !(http_front_is_idle(daemon->front, QUIET_US) &&
			http_front_is_idle(daemon->peer, QUIET_US)))
		count = 1;
	return count;
}

static void tick(cassiad_t *daemon)
{
	uint64_t ticks = daemon->ticks++;

	admission_tick(daemon->admission);
	control_tick(daemon);
	if (ticks % 10 == 0)
		config_tick(daemon);
	if (ticks % 100 == 0) {
		thresholds_tick(daemon->thresholds);
		stats_tick(daemon);
	}
	if (drain_state(daemon->drain) == DRAIN_SERVING)
		return;
	drain_set_inflight(daemon->drain, count_inflight(daemon));
	drain_tick(daemon->drain);
}

static void on_tick(void *private)
{
	cassiad_t *daemon = private;

	tick(daemon);
	cas_timer_arm(daemon->tick_timer, TICK_MS * CAS_USEC_PER_MSEC);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int number, int count, void *info, void *private)
{
	cassiad_t *daemon = private;

	(void)ev;
	(void)se;
	(void)count;
	(void)info;
	if (number == SIGHUP)
		config_reload(daemon);
	else
		daemon_drain(daemon, DRAIN_GOAL_STOP);
}

/* Sockets of callers, peers and the upstream need descriptors. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int make_parts(cassiad_t *daemon)
{
	const http_back_settings_t back = { .connections_max =
						    BACK_CONNECTIONS };

	daemon->metrics = cas_metrics_create(daemon);
	daemon->stats = stats_create(daemon);
	daemon->keys = keys_create(daemon);
	daemon->back = http_back_create(daemon, daemon->ev, &back);
	daemon->upstream = http_back_create(daemon, daemon->ev, &back);
	daemon->attempts =
		attempt_table_create(daemon, daemon->clock, ATTEMPTS_MAX);
	daemon->live = attempt_live_create(daemon);
	daemon->thresholds = thresholds_create(daemon, daemon->clock);
	daemon->routing =
		routing_create(daemon, daemon->clock, daemon->rng, NULL, NULL);
	daemon->throttle = retry_throttle_create(daemon, daemon->clock);
	daemon->drain = drain_create(daemon, daemon->clock, &drain_ops, daemon);
	daemon->bindings = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	if (!daemon->metrics || !daemon->stats || !daemon->keys ||
	    !daemon->back || !daemon->upstream || !daemon->attempts ||
	    !daemon->live || !daemon->thresholds || !daemon->routing ||
	    !daemon->throttle || !daemon->drain)
		return BASE_ENOMEM;
	retry_throttle_set_ratio(daemon->throttle,
				 (uint32_t)daemon->settings->first_per_retry);
	return admit_start(daemon);
}

static int start_tick(cassiad_t *daemon)
{
	daemon->tick_timer =
		cas_timer_create(daemon, daemon->ev, on_tick, daemon);
	if (!daemon->tick_timer)
		return BASE_ENOMEM;
	on_tick(daemon);
	return 0;
}

static void add_signals(cassiad_t *daemon)
{
	const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		tevent_add_signal(daemon->ev, daemon, numbers[i], 0, on_signal,
				  daemon);
}

int daemon_start(cassiad_t *daemon)
{
	int error;

	raise_descriptor_limit();
	daemon->dialect =
		daemon->settings->protocol == SETTINGS_PROTOCOL_PLATFORM
			? &platform_dialect
			: &http_dialect_cassia;
	daemon->started_us = cas_clock_now(daemon->clock);
	daemon->incarnation = peer_incarnation_new();
	config_set_secrets(daemon);
	error = make_parts(daemon);
	if (!error)
		error = config_start(daemon);
	if (!error)
		error = control_start(daemon);
	if (!error)
		error = listen_all(daemon);
	if (!error)
		error = config_open_source(daemon);
	if (error) {
		cas_log(CAS_LOG_ERROR, "start_failed",
			CAS_LOG_INT("error", error));
		return error;
	}
	add_signals(daemon);
	return start_tick(daemon);
}

/* Servers first: they end the requests that use the other parts. */
static void free_parts(cassiad_t *daemon)
{
	TALLOC_FREE(daemon->front);
	TALLOC_FREE(daemon->local);
	TALLOC_FREE(daemon->peer);
	TALLOC_FREE(daemon->operators);
	TALLOC_FREE(daemon->source);
	TALLOC_FREE(daemon->upstream);
	TALLOC_FREE(daemon->back);
	g_hash_table_destroy(daemon->bindings);
}

int daemon_run(cassiad_t *daemon)
{
	int result;

	while (!daemon->stopped)
		tevent_loop_once(daemon->ev);
	result = drain_state(daemon->drain) == DRAIN_TIMED_OUT;
	free_parts(daemon);
	return result;
}
