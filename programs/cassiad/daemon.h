/*
 * The state of one cassiad process, which owns every component, and the
 * functions by which the source files of the program call each other.
 */
#ifndef CASSIA_DAEMON_H
#define CASSIA_DAEMON_H

#include <glib.h>
#include <tevent.h>

#include "cassia/admission.h"
#include "cassia/attempt.h"
#include "cassia/clock.h"
#include "cassia/config_notices.h"
#include "cassia/config_store.h"
#include "cassia/metrics.h"
#include "cassia/quarantine.h"
#include "cassia/drain.h"
#include "cassia/drain_times.h"
#include "cassia/error.h"
#include "cassia/http_client.h"
#include "cassia/http_profile.h"
#include "cassia/http_server.h"
#include "cassia/keys.h"
#include "cassia/retry.h"
#include "cassia/retry_plan.h"
#include "cassia/rng.h"
#include "cassia/routing.h"
#include "cassia/settings.h"
#include "cassia/source.h"
#include "cassia/thresholds.h"
#include "cassia/timer.h"
#include "cassia/tree_shares.h"
#include "reason.h"

typedef struct control control_t;
typedef struct explain explain_t;
typedef struct compressed_document compressed_document_t;
typedef struct stats stats_t;
typedef struct warm_up_watch warm_up_watch_t;
typedef struct crash_watch crash_watch_t;
typedef struct stated_leaving stated_leaving_t;
typedef struct upstream_rate upstream_rate_t;
typedef struct processor_use processor_use_t;
typedef struct entry_request entry_request_t;
typedef struct peer_request peer_request_t;

/* The incarnation of another daemon and the offset of its clock, both from its
 * last signed outcome. Attempts sent to the daemon name the incarnation. */
typedef struct known_incarnation {
	cas_id_t host;
	uint64_t incarnation;
	int64_t clock_offset_us; /* its clock minus the local one, or less */
} known_incarnation_t;

/* What the host lists since the start say of the upstream of this host. */
typedef enum own_listing {
	OWN_LISTING_NONE, /* no list had it */
	OWN_LISTING_SERVING,
	OWN_LISTING_LEAVING,
	OWN_LISTING_GONE, /* the present list lacks it, an earlier one had it */
} own_listing_t;

/* Fetches of a document from other daemons. */
typedef struct fetch_state {
	int running;
	int64_t progress_us; /* when the last one began or brought bytes */
} fetch_state_t;

/* A revision that another daemon has named and this one lacks. */
typedef struct missing_revision {
	int64_t revision; /* the highest */
	int64_t since_us; /* when the first one was named, 0: none is missing */
} missing_revision_t;

/* Members are owned by the daemon unless they are said to be borrowed. */
typedef struct cassiad {
	struct tevent_context *ev;
	cas_clock_t *clock;
	cas_rng_t *rng;
	settings_t *settings;
	const http_profile_t *profile; /* header fields in use; static */
	const char *settings_path; /* borrowed from the command line */
	attempt_secrets_t secrets; /* sign contexts and outcomes */
	uint64_t incarnation; /* of this process */
	int64_t started_us;
	bool ready; /* requests may be served from table and roster */
	bool stopping; /* the process exits at the end of the drain */
	bool stopped; /* ends the event loop */
	int64_t tick_due_us; /* of the next tick */
	int64_t config_tick_due_us;
	int64_t slow_tick_due_us;
	bool watches_platform; /* for its data centre */
	own_listing_t own_listing; /* by the host list in use */
	uint64_t draining_digest; /* of the ids of the draining hosts */
	uint64_t routed_changes; /* source_change_count of the routing view */

	config_store_t *store;
	source_t *source;
	const table_t *table; /* borrowed from the store */
	bool limits_regions; /* a route or customer of the table does */
	bool customers_limit_regions; /* a customer of the table does */
	const roster_t *roster; /* the host list, borrowed from the store */
	keys_t *keys;
	missing_revision_t missing[CONFIG_DOCUMENT_COUNT];
	fetch_state_t fetches[CONFIG_DOCUMENT_COUNT];
	/* Whose document is offered to the store, 0: that of the source. */
	cas_id_t offering_host;
	config_notices_t *notices; /* of newer revisions on other daemons */
	/* Made at the first fetch by another daemon. */
	compressed_document_t *compressed_documents[CONFIG_DOCUMENT_COUNT];
	int64_t next_seed_fetch_us;
	uint32_t next_seed; /* index in the settings */
	int64_t leaving_since_us; /* own_listing is OWN_LISTING_LEAVING */
	cas_timer_t *tick_timer;

	http_server_t *front_server; /* for callers */
	/* For child calls of the upstream; NULL if not configured. */
	http_server_t *local_server;
	http_server_t *peer_server; /* for other daemons */
	http_server_t *operator_server; /* for operators */
	http_client_t *peer_client; /* calls other daemons */
	http_client_t *upstream_client; /* calls the upstream */

	attempt_table_t *attempts; /* received, so that each runs once */
	attempt_live_t *live_requests; /* at the upstream, by handle */
	GHashTable *known_incarnations; /* cas_id_t to known_incarnation_t */
	admission_t *admission;
	warm_up_watch_t *warm_up_watch; /* of the own upstream */
	upstream_rate_t *upstream_rate; /* of the own upstream */
	stated_leaving_t *stated_leaving; /* upstreams of all hosts */
	crash_watch_t *crash_watch; /* of the own upstream */
	quarantine_t *quarantine; /* requests that crash upstreams */
	/* The request that the own upstream runs in isolation, NULL: none. */
	const struct upstream_request *isolated_request;
	thresholds_t *thresholds; /* admitted fractions from outcomes */
	/* Shares of request trees that can be completed, from outcomes. */
	tree_shares_t *tree_shares;
	routing_t *routing;
	retry_throttle_t *throttle; /* limits retries by service */
	retry_plan_t *retry_plan; /* of calls that services reject */
	control_t *control; /* heartbeats, fence and tokens */
	processor_use_t *processor; /* limits what is taken in */
	drain_t *drain;
	drain_times_t *times; /* of served requests, by entry_chain_key */

	entry_request_t *requests; /* list; owned by their exchanges */
	peer_request_t *peer_requests; /* list; owned by their exchanges */
	unsigned int upstream_running; /* requests at the upstream */
	/* When an upstream last reported the slowdown of its host: the own one,
	 * or another one in an outcome; 0: never. */
	int64_t slowdown_seen_us;

	cas_metrics_t *metrics;
	stats_t *stats;
	explain_t *explain;
} cassiad_t;

/* daemon.c: creates all components and listens. Returns 0, or a negative error
 * number after logging the error. */
int daemon_start(cassiad_t *daemon);

/* Runs the event loop until a drain with DRAIN_GOAL_STOP has ended. Returns 0,
 * or 1 if the drain timed out. */
int daemon_run(cassiad_t *daemon);

/* Returns whether upstreams of this deployment share their hosts with others,
 * as one has reported lately. Placement, admission and retries then follow the
 * reported load. */
bool daemon_hosts_are_shared(const cassiad_t *daemon);

/* Returns the data centre of this host in the host list, by which senders also
 * choose, or that of the settings while the list does not name the host. */
cas_id_t daemon_data_centre(const cassiad_t *daemon);

/* config.c: creates the store of the table and the host list. Returns 0 or
 * CONFIG_ENOMEM. */
int config_start(cassiad_t *daemon);

/* Opens the source of documents that the settings name. Returns 0 or
 * CONFIG_ENOMEM. */
int config_open_source(cassiad_t *daemon);

/* Takes over the secrets of the settings as attempt secrets. */
void config_set_secrets(cassiad_t *daemon);

/* Reloads log level, secrets and drain timeout from the settings file, and
 * checks the source for new documents. */
void config_reload(cassiad_t *daemon);

/* Applies that an upstream has said that it leaves. */
void config_apply_leaving(cassiad_t *daemon);

/* Passes the current table and host list to all components. */
void config_apply(cassiad_t *daemon);

/* evacuation.c: follows the evacuations in the host list that comes into force;
 * previous is the one before, or NULL. */
void evacuation_follow(cassiad_t *daemon, const roster_t *previous);

/* Handles a notice that another host holds a newer revision of a document. */
void config_on_newer_revision(cassiad_t *daemon, config_document_t document,
			      int64_t revision, cas_id_t host);

/* Updates the watcher role and the routing around draining hosts, and checks
 * notices; called every 100 ms. */
void config_tick(cassiad_t *daemon);

/* Sets the metrics of the calls of the platform. */
void config_set_metrics(cassiad_t *daemon);

/* Reads the settings file. Returns the settings (owned by ctx), or NULL after
 * logging the errors. */
settings_t *config_read_settings(TALLOC_CTX *ctx, const char *path);

/* entry.c: callbacks of the servers for callers and for child calls. */
extern const http_server_ops_t entry_front_ops;
extern const http_server_ops_t entry_local_ops;

/* entry_repeats.c: returns a new plan of retries, or NULL when out of memory. */
retry_plan_t *entry_create_retry_plan(cassiad_t *daemon);

/* Rejects requests that were not sent yet and whose key was withdrawn. */
void entry_recheck_keys(cassiad_t *daemon);

/* Answers the requests of callers that have no response yet. */
void entry_give_up(cassiad_t *daemon);

/* peer_server.c: callbacks of the server for other daemons. */
extern const http_server_ops_t peer_server_ops;

/* Answers the attempts of other daemons that have no response yet. */
void peer_server_give_up(cassiad_t *daemon);

/* operator_server.c: callbacks of the server for operators. */
extern const http_server_ops_t operator_server_ops;

/* admit.c: creates the admission of requests to the upstream. Returns 0 or
 * ADMISSION_ENOMEM. */
int admit_create(cassiad_t *daemon);

#endif
