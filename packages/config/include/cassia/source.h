/*
 * Sources of tables and host lists: files that operators place on the host, or
 * the platform's configuration service over HTTP.
 *
 * A daemon polls the service in one of two roles. A reader requests each
 * document about once a minute. A watcher keeps a long poll open and learns of
 * changes at once; its daemon then notifies the others.
 */
#ifndef CASSIA_SOURCE_H
#define CASSIA_SOURCE_H

#include <talloc.h>
#include <tevent.h>

#include "cassia/config_store.h"
#include "cassia/rng.h"
#include "cassia/settings.h"

typedef struct source source_t;

/* Callbacks that receive the documents, usually for a config_store_t. They
 * must not free the source. */
typedef struct source_sink {
	/* Returns the revision of the stored document, or 0. */
	int64_t (*revision)(void *private, config_document_t document);
	/* Offers the text of a document; returns as config_store_offer. */
	int (*offer)(void *private, config_document_t document, cas_str_t text);
	/* Reports that a read failed; called once for consecutive failures
	 * with the same reason. */
	void (*failed)(void *private, config_document_t document,
		       const char *reason);
	/* Returns whether the stored document has this text. */
	bool (*holds)(void *private, config_document_t document,
		      cas_str_t text);
} source_sink_t;

/* Calls of the platform since the start. */
typedef struct source_counters {
	int64_t calls; /* that have ended */
	int64_t failed_calls;
	int64_t dropped_calls; /* ended by this daemon before their reply */
	int64_t received_bytes; /* of bodies */
	int64_t wasted_bytes; /* received by failed and dropped calls */
} source_counters_t;

/* Implementation of a kind of source; see the functions source_check_now to
 * source_set_watching below. */
typedef struct source_ops {
	/* Daemons that do not watch find out when the watchers miss a change, so
	 * that those of one data centre may watch for its region. */
	bool watches_by_region;
	void (*check_now)(source_t *source);
	void (*set_watching)(source_t *source, bool watching);
	/* NULL: always false, so that documents are also fetched from peers. */
	bool (*is_reachable)(source_t *source);
	/* NULL: always false, so that peers are asked when the daemon
	 * starts. */
	bool (*is_current)(source_t *source, config_document_t document);
	/* NULL: always false, as no source but the platform's names instances. */
	bool (*has_left)(source_t *source, cas_str_t instance);
	uint64_t (*change_count)(source_t *source); /* NULL: always 0 */
	/* NULL: always false, so that a newer host list is always missing. */
	bool (*has_read_hosts)(source_t *source, int64_t revision);
	int64_t (*delivery_delay)(source_t *source); /* NULL: always 0 */
	/* NULL: the source does not need it. */
	void (*observe_hosts)(source_t *source, int64_t revision);
	void (*set_host_count)(source_t *source, size_t count); /* as above */
	bool (*refresh_hosts)(source_t *source); /* NULL: never */
	/* NULL: calls are not counted. */
	const source_counters_t *(*counters)(source_t *source);
} source_ops_t;

/* First member of the structure of every kind of source. */
struct source {
	const source_ops_t *ops;
	const source_sink_t *sink;
	void *private; /* argument of the callbacks of sink */
};

/*
 * Returns a source that checks two files for changes every 200 ms (new
 * reference, owned by ctx), or NULL when out of memory. hosts_path may equal
 * table_path: the table then embeds the host list. Both files are read before
 * this function returns. The paths are copied; sink is borrowed.
 */
source_t *source_create_file(TALLOC_CTX *ctx, struct tevent_context *ev,
			     const char *table_path, const char *hosts_path,
			     const source_sink_t *sink, void *private);

/*
 * Returns a source that polls GET <base_url>/table and <base_url>/hosts (new
 * reference, owned by ctx), or NULL when out of memory. It starts in the role
 * of a reader. base_url is copied; rng and sink are borrowed.
 */
source_t *source_create_http(TALLOC_CTX *ctx, struct tevent_context *ev,
			     cas_rng_t *rng, const char *base_url,
			     const source_sink_t *sink, void *private);

/* Returns a file or HTTP source as the settings say (new reference, owned by
 * ctx), or NULL when out of memory. rng and sink are borrowed. */
source_t *source_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			cas_rng_t *rng, const settings_t *settings,
			const source_sink_t *sink, void *private);

/* Reads all documents now instead of at the next scheduled time, for instance
 * on SIGHUP. */
void source_check_now(source_t *source);

/* Returns true while the source itself gets every document that the platform
 * has. When another daemon has a newer document, the caller then checks the
 * source instead of fetching the document from that daemon. */
bool source_is_reachable(source_t *source);

/* Returns true once the source has got what the platform had of a document at
 * some time after the start of this process, so that peers need not be asked
 * for newer ones. */
bool source_is_current(source_t *source, config_document_t document);

/* Returns true when the source has read that an instance of an upstream leaves
 * or has left after an announcement, and no later message of it. A host list of
 * a peer may still show it as usable. */
bool source_has_left(source_t *source, cas_str_t instance);

/* Returns a number that grows when the results of source_has_left may have
 * changed, also if the source offers no other host list then. */
uint64_t source_change_count(source_t *source);

/* Returns whether the source has read as much of the platform as a host list of a
 * revision shows. If its own list has a lower revision, the lists differ only in
 * what follows from the time. */
bool source_has_read_hosts(source_t *source, int64_t revision);

/* Returns for how long the source puts off its next read of the platform, in
 * microseconds. */
int64_t source_delivery_delay(source_t *source);

bool source_watches_by_region(const source_t *source);

/* Tells the source that another daemon has a host list of a revision, in force
 * here or not. */
void source_observe_hosts(source_t *source, int64_t revision);

/* Tells the source that the host list in force may lack hosts, so that others may
 * have a newer one that does not reach this daemon. Returns whether the source
 * reads the list because of this. */
bool source_refresh_hosts(source_t *source);

/* Tells the source how many hosts the list in force has. What all daemons read
 * together is limited. */
void source_set_host_count(source_t *source, size_t count);

/* Returns the calls of the platform (borrowed from the source), or NULL if the
 * source does not count them. */
const source_counters_t *source_counters(source_t *source);

/* Makes this daemon a watcher (true) or a reader (false). */
void source_set_watching(source_t *source, bool watching);

/* Sink that offers documents to a config_store_t, which is its private
 * pointer, and logs failures. */
extern const source_sink_t source_store_sink;

#endif
