/* Live contexts by handle. */
#include <glib.h>

#include "cassia/attempt.h"
#include "id_hash_internal.h"

struct attempt_live {
	GHashTable *by_handle;
};

/* Entry with the set it is in. */
typedef struct live_slot {
	attempt_live_entry_t entry;
	attempt_live_t *live;
} live_slot_t;

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

static int slot_destroy(live_slot_t *slot)
{
	if (slot->live->by_handle)
		g_hash_table_remove(slot->live->by_handle, slot->entry.handle);
	return 0;
}

attempt_live_entry_t *attempt_live_add(attempt_live_t *live,
				       const attempt_context *context)
{
	live_slot_t *slot = talloc_zero(live, live_slot_t);

	if (!slot)
		return NULL;
	slot->live = live;
	slot->entry.context = *context;
	slot->entry.context.early.early_len = 0;
	slot->entry.context.early.early_val = NULL;
	slot->entry.budget = retry_budget_of((int32_t)context->budget);
	slot->entry.fraction = 1;
	attempt_draw_id(slot->entry.handle);
	g_hash_table_add(live->by_handle, slot->entry.handle);
	talloc_set_destructor(slot, slot_destroy);
	return &slot->entry;
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
