/* The newest table and host list, by revision order. */
#include "cassia/config_store.h"

#include <xxhash.h>

typedef struct refusal {
	config_faults_t *faults; /* of the last refused offer, or NULL */
	int error;
	XXH128_hash_t text_hash;
} refusal_t;

struct config_store {
	const config_store_ops_t *ops;
	void *private;
	table_t *table;
	roster_t *roster;
	refusal_t refusals[CONFIG_DOCUMENT_COUNT];
	/* Text that was stale or accepted last: it stays stale, as held
	 * revisions only grow, so it need not be parsed again. */
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

static void forget_refusal(config_store_t *store, config_document_t document)
{
	TALLOC_FREE(store->refusals[document].faults);
}

static bool is_refused(const config_store_t *store, config_document_t document,
		       int error, XXH128_hash_t hash)
{
	const refusal_t *refusal = &store->refusals[document];

	return refusal->faults && refusal->error == error &&
	       XXH128_isEqual(refusal->text_hash, hash);
}

/* Keeps the faults (takes the reference) and reports them once a text. */
static int refuse(config_store_t *store, config_document_t document, int error,
		  config_faults_t *faults, cas_str_t text)
{
	refusal_t *refusal = &store->refusals[document];
	XXH128_hash_t hash = XXH3_128bits(text.ptr, text.len);

	if (is_refused(store, document, error, hash)) {
		talloc_free(faults);
		return error;
	}
	talloc_free(refusal->faults);
	refusal->faults = talloc_steal(store, faults);
	refusal->error = error;
	refusal->text_hash = hash;
	if (store->ops->refused)
		store->ops->refused(store->private, document, error, faults);
	return error;
}

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
	return refuse(store, document, CONFIG_ECONFLICT, faults, text);
}

static int adopt_table(config_store_t *store, table_t *table)
{
	table_t *former = store->table;

	store->table = talloc_steal(store, table);
	forget_refusal(store, CONFIG_TABLE);
	if (store->ops->table_changed)
		store->ops->table_changed(store->private, table);
	talloc_free(former);
	return 0;
}

static int adopt_roster(config_store_t *store, roster_t *roster)
{
	roster_t *former = store->roster;

	store->roster = talloc_steal(store, roster);
	forget_refusal(store, CONFIG_HOSTS);
	if (store->ops->hosts_changed)
		store->ops->hosts_changed(store->private, roster);
	talloc_free(former);
	return 0;
}

static int take_table(config_store_t *store, table_t *table)
{
	const table_t *held = store->table;

	if (!held || table->revision > held->revision)
		return adopt_table(store, table);
	if (table->revision < held->revision ||
	    table->fingerprint == held->fingerprint)
		return CONFIG_ESTALE;
	return refuse_conflict(store, CONFIG_TABLE, table->revision,
			       table->source);
}

static int take_roster(config_store_t *store, roster_t *roster)
{
	const roster_t *held = store->roster;

	if (!held || roster->revision > held->revision)
		return adopt_roster(store, roster);
	if (roster->revision < held->revision ||
	    roster->fingerprint == held->fingerprint)
		return CONFIG_ESTALE;
	return refuse_conflict(store, CONFIG_HOSTS, roster->revision,
			       roster->source);
}

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
	table_rc = take_table(store, table);
	if (!hosts)
		return table_rc;
	hosts_rc = take_roster(store, hosts);
	/* The worse news counts, but something new is always good news. */
	if (!table_rc || !hosts_rc)
		return 0;
	return hosts_rc == CONFIG_ECONFLICT ? hosts_rc : table_rc;
}

static int offer_hosts(config_store_t *store, TALLOC_CTX *scratch,
		       config_faults_t *faults, cas_str_t text)
{
	roster_t *roster = NULL;
	int rc = roster_read(scratch, text, faults, &roster);

	return rc ? rc : take_roster(store, roster);
}

static int offer_unseen(config_store_t *store, config_document_t document,
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
		refuse(store, document, rc, faults, text);
error:
	talloc_free(scratch);
	return rc;
}

int config_store_offer(config_store_t *store, config_document_t document,
		       cas_str_t text)
{
	XXH128_hash_t hash = XXH3_128bits(text.ptr, text.len);
	int rc;

	if (XXH128_isEqual(store->stale_hash[document], hash))
		return CONFIG_ESTALE;
	if (is_refused(store, document, CONFIG_EFAULTS, hash))
		return CONFIG_EFAULTS;
	rc = offer_unseen(store, document, text);
	if (!rc || rc == CONFIG_ESTALE)
		store->stale_hash[document] = hash;
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
