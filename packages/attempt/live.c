/* The set of running requests, by handle. */
#include <glib.h>
#include <string.h>

#include "cassia/attempt.h"
#include "id_hash_internal.h"

struct attempt_live {
	/* Keys are the handles of the entries (borrowed). NULL when the set is
	 * being freed. */
	GHashTable *by_handle;
	/* Keys are the id_key of the entries (borrowed). Of several requests
	 * with one id it has the newest. */
	GHashTable *by_id;
};

/* An entry with the set that it is in. The entry is the first member, so a
 * pointer to it points to the record as well. */
typedef struct live_record {
	attempt_live_entry_t entry;
	attempt_live_t *live;
} live_record_t;

static int live_destroy(attempt_live_t *live)
{
	g_hash_table_destroy(live->by_handle);
	g_hash_table_destroy(live->by_id);
	live->by_handle = NULL;
	return 0;
}

attempt_live_t *attempt_live_create(TALLOC_CTX *ctx)
{
	attempt_live_t *live = talloc_zero(ctx, attempt_live_t);

	if (!live)
		return NULL;
	live->by_handle = g_hash_table_new(id_hash, id_equal);
	live->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	talloc_set_destructor(live, live_destroy);
	return live;
}

static int record_destroy(live_record_t *record)
{
	attempt_live_t *live = record->live;
	attempt_live_entry_t *entry = &record->entry;

	if (!live->by_handle)
		return 0;
	g_hash_table_remove(live->by_handle, entry->handle);
	if (g_hash_table_lookup(live->by_id, &entry->id_key) == entry)
		g_hash_table_remove(live->by_id, &entry->id_key);
	return 0;
}

attempt_live_entry_t *attempt_live_add(attempt_live_t *live,
				       const attempt_context *context,
				       cas_str_t request_id)
{
	live_record_t *record = talloc_zero(live, live_record_t);

	if (!record)
		return NULL;
	record->live = live;
	record->entry.context = *context;
	record->entry.context.early.early_len = 0;
	record->entry.context.early.early_val = NULL;
	record->entry.budget = retry_budget_of((int32_t)context->budget);
	record->entry.fraction = 1;
	attempt_generate_id(record->entry.handle);
	g_hash_table_add(live->by_handle, record->entry.handle);
	if (request_id.len) {
		record->entry.id_key = cas_id_of(request_id);
		g_hash_table_replace(live->by_id, &record->entry.id_key,
				     &record->entry);
	}
	talloc_set_destructor(record, record_destroy);
	return &record->entry;
}

attempt_live_entry_t *attempt_live_find(attempt_live_t *live, cas_str_t text)
{
	char handle[ATTEMPT_ID_BYTES];

	if (attempt_parse_id(text, handle))
		return NULL;
	return g_hash_table_lookup(live->by_handle, handle);
}

attempt_live_entry_t *attempt_live_find_parent(const attempt_live_t *live,
					       cas_str_t call_id)
{
	const char *dot =
		call_id.len ? memrchr(call_id.ptr, '.', call_id.len) : NULL;
	cas_id_t id_key;

	if (!dot)
		return NULL;
	id_key = cas_id_of(
		(cas_str_t){ call_id.ptr, (size_t)(dot - call_id.ptr) });
	return g_hash_table_lookup(live->by_id, &id_key);
}

size_t attempt_live_count(const attempt_live_t *live)
{
	return g_hash_table_size(live->by_handle);
}
