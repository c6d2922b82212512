/*
 * Attempts seen: a hash table of identifiers, and a wheel of one-second slots
 * that forgets them some time behind their deadline.
 */
#include <glib.h>

#include "cassia/attempt.h"
#include "id_hash_internal.h"

/* Seconds for which an attempt is remembered behind its deadline. Its sender
 * may still wait for an outcome then: it learnt the clock offset from a response
 * that took time, so it reads the deadline later by up to that time. */
#define LINGER_S 4
/* More seconds than ATTEMPT_LIFE_MAX and LINGER_S together. */
#define WHEEL_SLOTS 128

typedef struct seen {
	struct seen *next;
	char id[ATTEMPT_ID_BYTES];
} seen_t;

struct attempt_table {
	const cas_clock_t *clock;
	size_t limit;
	size_t count;
	GHashTable *by_id;
	seen_t *slots[WHEEL_SLOTS];
	int64_t swept_s; /* slots up to this second are empty */
};

static void free_slot(attempt_table_t *table, size_t slot)
{
	while (table->slots[slot]) {
		seen_t *seen = table->slots[slot];

		table->slots[slot] = seen->next;
		if (table->by_id)
			g_hash_table_remove(table->by_id, seen->id);
		g_free(seen);
		table->count--;
	}
}

static int table_destroy(attempt_table_t *table)
{
	g_hash_table_destroy(table->by_id);
	table->by_id = NULL;
	for (size_t i = 0; i < WHEEL_SLOTS; i++)
		free_slot(table, i);
	return 0;
}

/* The latest second of deadlines that is forgotten, -1 on a young clock. */
static int64_t last_done_s(int64_t now_us)
{
	int64_t done_s = now_us / CAS_USEC_PER_SEC - 1 - LINGER_S;

	return done_s > -1 ? done_s : -1;
}

attempt_table_t *attempt_table_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				      size_t limit)
{
	attempt_table_t *table = talloc_zero(ctx, attempt_table_t);

	if (!table)
		return NULL;
	table->clock = clock;
	table->limit = limit;
	table->swept_s = last_done_s(cas_clock_now(clock));
	table->by_id = g_hash_table_new(id_hash, id_equal);
	talloc_set_destructor(table, table_destroy);
	return table;
}

/* Empties the slots of all seconds up to the last one that is done. */
static void sweep(attempt_table_t *table, int64_t now_us)
{
	int64_t done_s = last_done_s(now_us);

	if (done_s - table->swept_s > WHEEL_SLOTS)
		table->swept_s = done_s - WHEEL_SLOTS;
	while (table->swept_s < done_s)
		free_slot(table, (size_t)(++table->swept_s % WHEEL_SLOTS));
}

int attempt_table_begin(attempt_table_t *table, const char *id,
			int64_t deadline_us)
{
	int64_t now_us = cas_clock_now(table->clock);
	seen_t *seen;
	size_t slot;

	sweep(table, now_us);
	if (g_hash_table_contains(table->by_id, id))
		return ATTEMPT_EDUPLICATE;
	if (deadline_us <= now_us || deadline_us > now_us + ATTEMPT_LIFE_MAX)
		return ATTEMPT_EEXPIRED;
	if (table->count >= table->limit)
		return ATTEMPT_EFULL;
	seen = g_try_malloc(sizeof(*seen));
	if (!seen)
		return ATTEMPT_ENOMEM;
	memcpy(seen->id, id, ATTEMPT_ID_BYTES);
	slot = (size_t)(deadline_us / CAS_USEC_PER_SEC % WHEEL_SLOTS);
	seen->next = table->slots[slot];
	table->slots[slot] = seen;
	g_hash_table_add(table->by_id, seen->id);
	table->count++;
	return 0;
}

size_t attempt_table_count(const attempt_table_t *table)
{
	return table->count;
}
