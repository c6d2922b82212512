/* The set of running requests, by handle. */
#include <glib.h>

#include "cassia/attempt.h"
#include "id_hash_internal.h"

struct attempt_live {
	/* Keys are the handles of the entries (borrowed). NULL when the set is
	 * being freed. */
	GHashTable *by_handle;
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
	live->by_handle = NULL;
	return 0;
}

attempt_live_t *attempt_live_create(TALLOC_CTX *ctx)
{
	attempt_live_t *live = talloc_zero(ctx, attempt_live_t);

	if (!live)
		return NULL;
	live->by_handle = g_hash_table_new(id_hash, id_equal);
	talloc_set_destructor(live, live_destroy);
	return live;
}

static int record_destroy(live_record_t *record)
{
	if (record->live->by_handle)
		g_hash_table_remove(record->live->by_handle,
				    record->entry.handle);
	return 0;
}

attempt_live_entry_t *attempt_live_add(attempt_live_t *live,
				       const attempt_context *context)
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

size_t attempt_live_count(const attempt_live_t *live)
{
	return g_hash_table_size(live->by_handle);
}
