/*
 * Holds the newest table and host list. Takes offers from any origin in any
 * order and never returns to an older revision.
 */
#ifndef CASSIA_CONFIG_STORE_H
#define CASSIA_CONFIG_STORE_H

#include "cassia/roster.h"
#include "cassia/table.h"

typedef enum config_document {
	CONFIG_TABLE,
	CONFIG_HOSTS,
} config_document_t;

#define CONFIG_DOCUMENT_COUNT 2

typedef struct config_store config_store_t;

/*
 * Called when an offer is accepted or refused. The former table or list stays
 * valid until the changed callback returns. refused gets CONFIG_EFAULTS with
 * the faults of the text, or CONFIG_ECONFLICT with one fault; it is called
 * once for a text that is offered repeatedly. Each may be NULL.
 */
typedef struct config_store_ops {
	void (*table_changed)(void *private, const table_t *table);
	void (*hosts_changed)(void *private, const roster_t *roster);
	void (*refused)(void *private, config_document_t document, int error,
			const config_faults_t *faults);
} config_store_ops_t;

/* Returns a new store that holds nothing, or NULL when memory is short. */
config_store_t *config_store_create(TALLOC_CTX *ctx,
				    const config_store_ops_t *ops,
				    void *private);

/*
 * Offers the text of a document. A table that embeds a host list offers both.
 * Returns 0 when something newer was accepted, CONFIG_ESTALE when the held
 * revision is the same or newer, CONFIG_EFAULTS, CONFIG_ECONFLICT when the
 * held revision is the same with other content, or CONFIG_ENOMEM. Whatever is
 * not accepted leaves the store as it was.
 */
int config_store_offer(config_store_t *store, config_document_t document,
		       cas_str_t text);

/* Return what is held (borrowed), or NULL. */
const table_t *config_store_table(const config_store_t *store);
const roster_t *config_store_roster(const config_store_t *store);

/* Returns the held revision, or 0. */
int64_t config_store_revision(const config_store_t *store,
			      config_document_t document);

/* Returns the faults (borrowed) of the last offer of a document when it was
 * refused and nothing was accepted since, or NULL. */
const config_faults_t *config_store_faults(const config_store_t *store,
					   config_document_t document);

#endif
