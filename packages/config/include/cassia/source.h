/*
 * Where tables and host lists come from: files placed on the host by the
 * operators, or the platform's configuration service over HTTP.
 */
#ifndef CASSIA_SOURCE_H
#define CASSIA_SOURCE_H

#include <talloc.h>
#include <tevent.h>

#include "cassia/config_store.h"
#include "cassia/rng.h"
#include "cassia/settings.h"

typedef struct source source_t;

/* The receiver of documents, usually a config_store_t. It must not free the
 * source from inside a call. */
typedef struct source_sink {
	/* Returns the held revision, or 0. */
	int64_t (*held)(void *private, config_document_t document);
	/* Takes a text; returns as config_store_offer. */
	int (*offer)(void *private, config_document_t document, cas_str_t text);
	/* A read failed; called once for a row of equal failures. */
	void (*failed)(void *private, config_document_t document,
		       const char *reason);
} source_sink_t;

typedef struct source_ops {
	void (*check_now)(source_t *source);
	void (*set_watching)(source_t *source, bool watching);
	/* NULL: never, so that documents also come from peers. */
	bool (*is_reachable)(source_t *source);
	/* NULL: never, so that peers are asked at a start. */
	bool (*is_current)(source_t *source);
} source_ops_t;

/* Common head of every source. */
struct source {
	const source_ops_t *ops;
	const source_sink_t *sink;
	void *private;
};

/*
 * Returns a source that looks at two files every 200 ms (new reference, owned
 * by ctx), or NULL. hosts_path may equal table_path: the table then embeds
 * the host list. Both files are read at once, before this function returns.
 */
source_t *source_create_file(TALLOC_CTX *ctx, struct tevent_context *ev,
			     const char *table_path, const char *hosts_path,
			     const source_sink_t *sink, void *private);

/*
 * Returns a source that reads GET <base>/table and <base>/hosts (new
 * reference, owned by ctx), or NULL. It starts as a reader: about one read a
 * minute. A watcher long-polls.
 */
source_t *source_create_http(TALLOC_CTX *ctx, struct tevent_context *ev,
			     cas_rng_t *rng, const char *base_url,
			     const source_sink_t *sink, void *private);

/* Returns the source that the settings name, or NULL. */
source_t *source_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			cas_rng_t *rng, const settings_t *settings,
			const source_sink_t *sink, void *private);

/* Reads now instead of at the next turn, for instance on SIGHUP. */
void source_check_now(source_t *source);

/* True while the source itself shows all that the platform has. Another daemon
 * that holds something newer is then a reason to check, not to copy it. */
bool source_is_reachable(source_t *source);

/* True once the source has shown all that the platform had at some moment after
 * the start of this process, so that peers need not be asked for more. */
bool source_is_current(source_t *source);

/* Makes this daemon a watcher of the platform, or a reader again. */
void source_set_watching(source_t *source, bool watching);

/* A sink whose private pointer is a config_store_t; failures are logged. */
extern const source_sink_t source_store_sink;

#endif
