/* The parts of one daemon and the functions that join them. */
#ifndef CASSIA_DAEMON_H
#define CASSIA_DAEMON_H

#include <glib.h>
#include <tevent.h>

#include "cassia/admission.h"
#include "cassia/attempt.h"
#include "cassia/clock.h"
#include "cassia/config_store.h"
#include "cassia/counter.h"
#include "cassia/drain.h"
#include "cassia/error.h"
#include "cassia/http_back.h"
#include "cassia/http_dialect.h"
#include "cassia/http_front.h"
#include "cassia/keys.h"
#include "cassia/retry.h"
#include "cassia/rng.h"
#include "cassia/routing.h"
#include "cassia/settings.h"
#include "cassia/source.h"
#include "cassia/thresholds.h"
#include "cassia/timer.h"
#include "reason.h"

typedef struct control control_t;
typedef struct explain explain_t;
typedef struct pack pack_t;
typedef struct stats stats_t;
typedef struct entry_request entry_request_t;

/* What is known of the incarnation of another daemon and of its clock. */
typedef struct binding {
	cas_id_t host;
	uint64_t incarnation;
	int64_t clock_offset_us; /* its clock minus the own one, or less */
} binding_t;

typedef struct cassiad {
	struct tevent_context *ev;
	cas_clock_t *clock;
	cas_rng_t *rng;
	settings_t *settings;
	const http_dialect_t *dialect;
	const char *settings_path;
	attempt_secrets_t secrets;
	uint64_t incarnation;
	int64_t started_us;
	bool ready; /* holds a configuration that may be served from */
	bool stopping; /* the drain ends the process */
	bool stopped;
	uint64_t ticks;
	bool watching;
	bool listed_leaving; /* by the host list in use */
	uint64_t draining_hosts; /* digest of the hosts known to drain */

	config_store_t *store;
	source_t *source;
	const table_t *table; /* borrowed from the store */
	const roster_t *roster;
	keys_t *keys;
	bool fetches[CONFIG_DOCUMENT_COUNT]; /* running */
	int64_t noticed[CONFIG_DOCUMENT_COUNT]; /* newest at another daemon */
	int64_t notice_due_us; /* when to check it, 0: none */
	pack_t *packs[CONFIG_DOCUMENT_COUNT]; /* made on first use */
	int64_t next_seed_us;
	cas_timer_t *tick_timer;

	http_front_t *front; /* callers */
	http_front_t *local; /* child calls of the upstream */
	http_front_t *peer; /* other daemons */
	http_front_t *operators;
	http_back_t *back; /* calls to other daemons */
	http_back_t *upstream; /* calls to the upstream */

	attempt_table_t *attempts;
	attempt_live_t *live;
	GHashTable *bindings; /* cas_id_t to binding_t */
	admission_t *admission;
	thresholds_t *thresholds;
	routing_t *routing;
	retry_brake_t *brake;
	control_t *control;
	drain_t *drain;

	entry_request_t *requests; /* running entry requests */
	unsigned int serving; /* running requests of the upstream */

	cas_metrics_t *metrics;
	stats_t *stats;
	explain_t *explain;
} cassiad_t;

/* daemon.c: makes all parts and listens. Returns 0 or a negative number; the
 * fault is logged. */
int daemon_start(cassiad_t *daemon);

/* Runs until a drain is over. Returns 0, or 1 when it timed out. */
int daemon_run(cassiad_t *daemon);

/* Starts a drain; returns as drain_begin. */
int daemon_drain(cassiad_t *daemon, drain_goal_t goal);

/* Returns the state for status pages: starting, serving, draining... */
const char *daemon_state(const cassiad_t *daemon);

/* config.c */
int config_start(cassiad_t *daemon);
int config_open_source(cassiad_t *daemon);
void config_set_secrets(cassiad_t *daemon);

/* Reads log level, secrets, drain timeout and sources again. */
void config_reload(cassiad_t *daemon);

/* Gives the current table and host list to all parts. */
void config_apply(cassiad_t *daemon);

/* Takes it that another host holds a newer revision of a document. */
void config_noticed(cassiad_t *daemon, config_document_t document,
		    int64_t revision, cas_id_t host);

/* Follows changes of draining hosts and of the watcher's role; called every
 * 100 ms. */
void config_tick(cassiad_t *daemon);

/* Reads the settings file. Returns the settings (new reference), or NULL with
 * the faults logged. */
settings_t *config_read_settings(TALLOC_CTX *ctx, const char *path);

/* entry.c: the server of callers and of child calls. */
extern const http_front_ops_t entry_front_ops;
extern const http_front_ops_t entry_local_ops;

/* Rejects waiting requests whose key was withdrawn. */
void entry_recheck_keys(cassiad_t *daemon);

/* peer_server.c: the server of other daemons. */
extern const http_front_ops_t serve_peer_ops;

/* operator_server.c: the server of the operators. */
extern const http_front_ops_t operators_ops;

/* admit.c: admission of requests to the upstream. */
int admit_start(cassiad_t *daemon);

#endif
