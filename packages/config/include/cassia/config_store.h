/*
 * Store of the table and the host list in force. Documents may be offered by
 * any source and in any order; only a higher revision replaces the stored one.
 */
#ifndef CASSIA_CONFIG_STORE_H
#define CASSIA_CONFIG_STORE_H

#include "cassia/roster.h"
#include "cassia/table.h"

typedef enum config_document {
	CONFIG_TABLE,
	CONFIG_HOSTS,
} config_document_t;

/* Number of values of config_document_t, for arrays indexed by it. */
#define CONFIG_DOCUMENT_COUNT 2

typedef struct config_store config_store_t;

/*
 * Callbacks for accepted and refused offers; each may be NULL. private is the
 * pointer passed to config_store_create. The previous table or host list stays
 * valid until the changed callback returns. refused gets error CONFIG_EFAULTS
 * with the faults of the text, or CONFIG_ECONFLICT with one fault (both
 * borrowed); it is called once while the same text is offered repeatedly.
 */
typedef struct config_store_ops {
	void (*table_changed)(void *private, const table_t *table);
	void (*hosts_changed)(void *private, const roster_t *roster);
	void (*refused)(void *private, config_document_t document, int error,
			const config_faults_t *faults);
} config_store_ops_t;

/* Returns a new empty store (owned by ctx), or NULL when out of memory. ops is
 * borrowed and must outlive the store. */
config_store_t *config_store_create(TALLOC_CTX *ctx,
				    const config_store_ops_t *ops,
				    void *private);

/*
 * Parses a document and stores it if its revision is higher than the stored
 * one. A table that embeds a host list counts as an offer of both, each with
 * its own revision. Returns
 *   0 when the table or the host list was accepted,
 *   CONFIG_ESTALE when the stored revision is the same or higher,
 *   CONFIG_EFAULTS when the text has faults,
 *   CONFIG_ECONFLICT when the stored document has the same revision but
 *   different content, or
 *   CONFIG_ENOMEM.
 * A document that is not accepted leaves the stored one unchanged.
 */
int config_store_offer(config_store_t *store, config_document_t document,
		       cas_str_t text);

/* Return the stored table or host list (borrowed, valid until a newer one is
 * accepted), or NULL if there is none. */
const table_t *config_store_table(const config_store_t *store);
const roster_t *config_store_roster(const config_store_t *store);

/* Returns the revision of the stored document, or 0 if there is none. */
int64_t config_store_revision(const config_store_t *store,
			      config_document_t document);

/* Returns the faults (borrowed) of the last refused offer of a document, or
 * NULL if none was refused since the last accepted one. */
const config_faults_t *config_store_faults(const config_store_t *store,
					   config_document_t document);

#endif
