/* Creates the components of the daemon, runs its event loop, and frees it. */
#include "daemon.h"

#include <signal.h>
#include <sys/resource.h>

#include "cassia/log.h"
#include "cassia/peer.h"
#include "cassia/platform.h"
#include "control.h"
#include "crash_watch.h"
#include "processor_use.h"
#include "stated_leaving.h"
#include "stats.h"
#include "stop.h"
#include "tick.h"
#include "upstream_rate.h"
#include "warm_up_watch.h"

/* How long one report of a slowdown shows that hosts are shared. */
#define SLOWDOWN_KEEP_US (60 * CAS_USEC_PER_SEC)
/* For a whole header, and for a whole body. */
#define READ_TIMEOUT_US (10 * CAS_USEC_PER_SEC)
#define OPERATOR_CONNECTIONS 64U
#define PEER_CONNECTIONS 16384U
/* Pipelined requests of one caller connection that run at the same time. */
#define PIPELINE_DEPTH 8U
/* Room for the signed context that is added to the header of the caller. */
#define CONTEXT_HEADER_BYTES 2048
#define ATTEMPTS_MAX ((size_t)256 * 1024) /* remembered at a time */
#define CLIENT_CONNECTIONS 8192L /* kept open by each HTTP client */

/* One HTTP server: its endpoint, its callbacks and its limits. */
typedef struct listener {
	const char *name; /* for the log */
	http_server_t **server; /* where the server is stored */
	const settings_endpoint_t *endpoint;
	const http_server_ops_t *ops;
	unsigned int connections; /* at most */
	size_t header_bytes; /* at most */
	unsigned int idle_s; /* timeout of an idle connection */
	unsigned int pipeline_depth;
} listener_t;

static int listen_on(cassiad_t *daemon, const listener_t *listener)
{
	const http_server_settings_t settings = {
		.address = listener->endpoint->address,
		.port = listener->endpoint->port,
		.connections_max = listener->connections,
		.header_max_bytes = listener->header_bytes,
		.read_timeout_us = READ_TIMEOUT_US,
		.idle_timeout_s = listener->idle_s,
		.pipeline_depth = listener->pipeline_depth,
	};
	int error;

	*listener->server =
		http_server_create(daemon, daemon->ev, daemon->clock, &settings,
				   listener->ops, daemon, &error);
	if (error) {
		cas_log(CAS_LOG_ERROR, "listen_failed",
			CAS_LOG_CSTR("listener", listener->name),
			CAS_LOG_INT("port", listener->endpoint->port));
		return error;
	}
	cas_log(CAS_LOG_INFO, "listening",
		CAS_LOG_CSTR("listener", listener->name),
		CAS_LOG_INT("port", http_server_port(*listener->server)));
	return 0;
}

static int listen_all(cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;
	unsigned int connections = (unsigned int)settings->max_connections;
	size_t header = (size_t)settings->max_header_bytes;
	unsigned int idle_s = (unsigned int)(settings->idle_timeout_ms / 1000);
	const listener_t listeners[] = {
		{ "operators", &daemon->operator_server, &settings->operators,
		  &operator_server_ops, OPERATOR_CONNECTIONS, header,
		  idle_s + 1, 0 },
		{ "peer", &daemon->peer_server, &settings->peer,
		  &peer_server_ops, PEER_CONNECTIONS,
		  header + CONTEXT_HEADER_BYTES, idle_s + 1, 0 },
		{ "local", &daemon->local_server, &settings->local,
		  &entry_local_ops, connections, header, idle_s + 1, 0 },
		{ "front", &daemon->front_server, &settings->front,
		  &entry_front_ops, connections, header, idle_s + 1,
		  PIPELINE_DEPTH },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		int error = 0;

		if (listeners[i].server != &daemon->local_server ||
		    settings->has_local)
			error = listen_on(daemon, &listeners[i]);
		if (error)
			return error;
	}
	return 0;
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

/* Each connection to a caller, a daemon or the upstream needs a descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int create_components(cassiad_t *daemon)
{
	const http_client_settings_t client_settings = {
		.connections_max = CLIENT_CONNECTIONS
	};

	daemon->metrics = cas_metrics_create(daemon);
	daemon->stats = stats_create(daemon);
	daemon->keys = keys_create(daemon);
	daemon->peer_client =
		http_client_create(daemon, daemon->ev, &client_settings);
	daemon->upstream_client =
		http_client_create(daemon, daemon->ev, &client_settings);
	daemon->attempts =
		attempt_table_create(daemon, daemon->clock, ATTEMPTS_MAX);
	daemon->live_requests = attempt_live_create(daemon);
	daemon->thresholds = thresholds_create(daemon, daemon->clock);
	daemon->tree_shares = tree_shares_create(daemon, daemon->clock);
	daemon->routing =
		routing_create(daemon, daemon->clock, daemon->rng, NULL, NULL);
	daemon->throttle = retry_throttle_create(daemon, daemon->clock);
	daemon->retry_plan = entry_create_retry_plan(daemon);
	daemon->known_incarnations = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	if (!daemon->metrics || !daemon->stats || !daemon->keys ||
	    !daemon->peer_client || !daemon->upstream_client ||
	    !daemon->attempts || !daemon->live_requests ||
	    !daemon->thresholds || !daemon->tree_shares || !daemon->routing ||
	    !daemon->throttle || !daemon->retry_plan || stop_create(daemon) ||
	    processor_use_create(daemon))
		return BASE_ENOMEM;
	retry_throttle_set_ratio(daemon->throttle,
				 (uint32_t)daemon->settings->first_per_retry);
	if (warm_up_watch_create(daemon) || upstream_rate_create(daemon) ||
	    stated_leaving_create(daemon) || crash_watch_create(daemon))
		return BASE_ENOMEM;
	return admit_create(daemon);
}

static void add_signals(cassiad_t *daemon)
{
	const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		tevent_add_signal(daemon->ev, daemon, numbers[i], 0, on_signal,
				  daemon);
}

bool daemon_hosts_are_shared(const cassiad_t *daemon)
{
	return daemon->slowdown_seen_us &&
	       cas_clock_now(daemon->clock) - daemon->slowdown_seen_us <
		       SLOWDOWN_KEEP_US;
}

cas_id_t daemon_data_centre(const cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, settings->host_id)
			       : NULL;

	return host ? host->data_centre_id : settings->data_centre_id;
}

int daemon_start(cassiad_t *daemon)
{
	int error;

	raise_descriptor_limit();
	daemon->profile =
		daemon->settings->protocol == SETTINGS_PROTOCOL_PLATFORM
			? &platform_http_profile
			: &http_profile_cassia;
	daemon->started_us = cas_clock_now(daemon->clock);
	daemon->incarnation = peer_incarnation_new();
	config_set_secrets(daemon);
	add_signals(daemon);
	error = create_components(daemon);
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
	return tick_start(daemon);
}

/* Frees the servers first: that ends the requests, which use the other
 * components. */
static void free_components(cassiad_t *daemon)
{
	TALLOC_FREE(daemon->front_server);
	TALLOC_FREE(daemon->local_server);
	TALLOC_FREE(daemon->peer_server);
	TALLOC_FREE(daemon->operator_server);
	TALLOC_FREE(daemon->source);
	TALLOC_FREE(daemon->upstream_client);
	TALLOC_FREE(daemon->peer_client);
	g_hash_table_destroy(daemon->known_incarnations);
}

int daemon_run(cassiad_t *daemon)
{
	int result;

	while (!daemon->stopped)
		tevent_loop_once(daemon->ev);
	result = drain_state(daemon->drain) == DRAIN_TIMED_OUT;
	free_components(daemon);
	return result;
}
