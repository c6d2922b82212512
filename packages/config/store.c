/* Store of the table and the host list with the highest revisions. */
#include "cassia/config_store.h"

#include <xxhash.h>

/* The last refused offer of a document, kept until one is accepted. */
typedef struct refusal {
	config_faults_t *faults; /* NULL: no offer was refused */
	int error; /* CONFIG_EFAULTS or CONFIG_ECONFLICT */
	XXH128_hash_t text_hash; /* of the refused text */
} refusal_t;

struct config_store {
	const config_store_ops_t *ops;
	void *private;
	table_t *table; /* NULL if none was accepted */
	roster_t *roster; /* NULL if none was accepted */
	refusal_t refusals[CONFIG_DOCUMENT_COUNT];
	/* Hash of the last text that was accepted or stale. It stays stale,
	 * because stored revisions only grow, so that the text need not be
	 * parsed when it is offered again. */
	XXH128_hash_t stale_hash[CONFIG_DOCUMENT_COUNT];
};

config_store_t *config_store_create(TALLOC_CTX *ctx,
				    const config_store_ops_t *ops,
				    void *private)
{
	config_store_t *store = talloc_zero(ctx, config_store_t);

	if (!store)
		return NULL;
	store->ops = ops;
	store->private = private;
	return store;
}

static void clear_refusal(config_store_t *store, config_document_t document)
{
	TALLOC_FREE(store->refusals[document].faults);
}

/* Returns whether the last refused offer had this text and this error. */
static bool was_refused(const config_store_t *store, config_document_t document,
			int error, XXH128_hash_t text_hash)
{
	const refusal_t *refusal = &store->refusals[document];

	return refusal->faults && refusal->error == error &&
	       XXH128_isEqual(refusal->text_hash, text_hash);
}

/* Records a refused offer and calls the refused callback, unless the same text
 * was refused last. Takes ownership of faults. Returns error. */
static int record_refusal(config_store_t *store, config_document_t document,
			  int error, config_faults_t *faults, cas_str_t text)
{
	refusal_t *refusal = &store->refusals[document];
	XXH128_hash_t text_hash = XXH3_128bits(text.ptr, text.len);

	if (was_refused(store, document, error, text_hash)) {
		talloc_free(faults);
		return error;
	}
	talloc_free(refusal->faults);
	refusal->faults = talloc_steal(store, faults);
	refusal->error = error;
	refusal->text_hash = text_hash;
	if (store->ops->refused)
		store->ops->refused(store->private, document, error, faults);
	return error;
}

/* Refuses a document with the stored revision and different content. */
static int refuse_conflict(config_store_t *store, config_document_t document,
			   int64_t revision, cas_str_t text)
{
	config_faults_t *faults = config_faults_create(store);

	if (!faults)
		return CONFIG_ENOMEM;
	config_faults_add(faults, 0, 0, CAS_STR(""), CAS_STR("revision"),
			  "revision %lld is already in force with other "
			  "content; a change needs a higher revision",
			  (long long)revision);
	return record_refusal(store, document, CONFIG_ECONFLICT, faults, text);
}

/* Stores a table and calls the callback; the previous one is freed after it. */
static int replace_table(config_store_t *store, table_t *table)
{
	table_t *previous = store->table;

	store->table = talloc_steal(store, table);
	clear_refusal(store, CONFIG_TABLE);
	if (store->ops->table_changed)
		store->ops->table_changed(store->private, table);
	talloc_free(previous);
	return 0;
}

/* As replace_table, for a host list. */
static int replace_roster(config_store_t *store, roster_t *roster)
{
	roster_t *previous = store->roster;

	store->roster = talloc_steal(store, roster);
	clear_refusal(store, CONFIG_HOSTS);
	if (store->ops->hosts_changed)
		store->ops->hosts_changed(store->private, roster);
	talloc_free(previous);
	return 0;
}

/* Stores a table if it is newer; returns as config_store_offer. */
static int accept_table(config_store_t *store, table_t *table)
{
	const table_t *stored = store->table;

	if (!stored || table->revision > stored->revision)
		return replace_table(store, table);
	if (table->revision < stored->revision ||
	    table->fingerprint == stored->fingerprint)
		return CONFIG_ESTALE;
	return refuse_conflict(store, CONFIG_TABLE, table->revision,
			       table->source);
}

/* As accept_table, for a host list. */
static int accept_roster(config_store_t *store, roster_t *roster)
{
	const roster_t *stored = store->roster;

	if (!stored || roster->revision > stored->revision)
		return replace_roster(store, roster);
	if (roster->revision < stored->revision ||
	    roster->fingerprint == stored->fingerprint)
		return CONFIG_ESTALE;
	return refuse_conflict(store, CONFIG_HOSTS, roster->revision,
			       roster->source);
}

/* Parses a table and offers it, and the host list it embeds separately. */
static int offer_table(config_store_t *store, TALLOC_CTX *scratch,
		       config_faults_t *faults, cas_str_t text)
{
	table_t *table = NULL;
	roster_t *hosts;
	int table_rc = table_read(scratch, text, faults, &table);
	int hosts_rc;

	if (table_rc)
		return table_rc;
	hosts = talloc_steal(scratch, table->hosts);
	table->hosts = NULL;
	table_rc = accept_table(store, table);
	if (!hosts)
		return table_rc;
	hosts_rc = accept_roster(store, hosts);
	/* An accepted document outweighs any error of the other one; otherwise
	 * a conflict of the host list outweighs the result of the table. */
	if (!table_rc || !hosts_rc)
		return 0;
	return hosts_rc == CONFIG_ECONFLICT ? hosts_rc : table_rc;
}

static int offer_hosts(config_store_t *store, TALLOC_CTX *scratch,
		       config_faults_t *faults, cas_str_t text)
{
	roster_t *roster = NULL;
	int rc = roster_read(scratch, text, faults, &roster);

	return rc ? rc : accept_roster(store, roster);
}

/* Offers a text that was not recognized by its hash. */
static int read_and_offer(config_store_t *store, config_document_t document,
			  cas_str_t text)
{
	TALLOC_CTX *scratch = talloc_new(store);
	config_faults_t *faults = config_faults_create(scratch);
	int rc = CONFIG_ENOMEM;

	if (!faults)
		goto error;
	if (document == CONFIG_TABLE)
		rc = offer_table(store, scratch, faults, text);
	else
		rc = offer_hosts(store, scratch, faults, text);
	if (rc == CONFIG_EFAULTS)
		record_refusal(store, document, rc, faults, text);
error:
	talloc_free(scratch);
	return rc;
}

int config_store_offer(config_store_t *store, config_document_t document,
		       cas_str_t text)
{
	XXH128_hash_t text_hash = XXH3_128bits(text.ptr, text.len);
	int rc;

	if (XXH128_isEqual(store->stale_hash[document], text_hash))
		return CONFIG_ESTALE;
	if (was_refused(store, document, CONFIG_EFAULTS, text_hash))
		return CONFIG_EFAULTS;
	rc = read_and_offer(store, document, text);
	if (!rc || rc == CONFIG_ESTALE)
		store->stale_hash[document] = text_hash;
	return rc;
}

const table_t *config_store_table(const config_store_t *store)
{
	return store->table;
}

const roster_t *config_store_roster(const config_store_t *store)
{
	return store->roster;
}

int64_t config_store_revision(const config_store_t *store,
			      config_document_t document)
{
	if (document == CONFIG_TABLE)
		return store->table ? store->table->revision : 0;
	return store->roster ? store->roster->revision : 0;
}

const config_faults_t *config_store_faults(const config_store_t *store,
					   config_document_t document)
{
	return store->refusals[document].faults;
}
