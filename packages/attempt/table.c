/*
 * The table of received attempts: a hash table of their identifiers, and a
 * timing wheel of one-second slots that removes them some time after their
 * deadline.
 */
#include <glib.h>

#include "cassia/attempt.h"
#include "id_hash_internal.h"

/* Seconds for which an attempt is remembered after its deadline. Its sender may
 * still wait for an outcome then: it computed the clock offset from a response
 * that took time to arrive, so by its own clock the deadline is later by up to
 * that time. */
#define RETENTION_S 4
/* More seconds than ATTEMPT_LIFETIME_MAX_US and RETENTION_S together, 124 s, so
 * that all attempts in a slot have deadlines in the same second. */
#define WHEEL_SLOTS 128

/* A received attempt, allocated with g_try_malloc. */
typedef struct seen_attempt {
	struct seen_attempt *next;
	char id[ATTEMPT_ID_BYTES];
} seen_attempt_t;

struct attempt_table {
	const cas_clock_t *clock;
	size_t limit; /* of count */
	size_t count; /* attempts in the table */
	GHashTable *by_id; /* keys are ids in the slots (borrowed) */
	/* Lists by second of the deadline modulo WHEEL_SLOTS (owned). */
	seen_attempt_t *slots[WHEEL_SLOTS];
	int64_t purged_s; /* deadlines up to this second are removed */
};

/* Removes all attempts of a slot. */
static void free_slot(attempt_table_t *table, size_t slot)
{
	while (table->slots[slot]) {
		seen_attempt_t *seen = table->slots[slot];

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

/* Returns the last second whose deadlines need not be remembered, or -1 when
 * there is none because the clock is near 0. */
static int64_t last_expired_s(int64_t now_us)
{
	int64_t expired_s = now_us / CAS_USEC_PER_SEC - 1 - RETENTION_S;

	return expired_s > -1 ? expired_s : -1;
}

attempt_table_t *attempt_table_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				      size_t limit)
{
	attempt_table_t *table = talloc_zero(ctx, attempt_table_t);

	if (!table)
		return NULL;
	table->clock = clock;
	table->limit = limit;
	table->purged_s = last_expired_s(cas_clock_now(clock));
	table->by_id = g_hash_table_new(id_hash, id_equal);
	talloc_set_destructor(table, table_destroy);
	return table;
}

/* Removes the attempts whose retention has ended by now_us. */
static void purge_expired(attempt_table_t *table, int64_t now_us)
{
	int64_t expired_s = last_expired_s(now_us);

	if (expired_s - table->purged_s > WHEEL_SLOTS)
		table->purged_s = expired_s - WHEEL_SLOTS;
	while (table->purged_s < expired_s)
		free_slot(table, (size_t)(++table->purged_s % WHEEL_SLOTS));
}

int attempt_table_begin(attempt_table_t *table, const char *id,
			int64_t deadline_us)
{
	int64_t now_us = cas_clock_now(table->clock);
	seen_attempt_t *seen;
	size_t slot;

	purge_expired(table, now_us);
	if (g_hash_table_contains(table->by_id, id))
		return ATTEMPT_EDUPLICATE;
	if (deadline_us <= now_us ||
	    deadline_us > now_us + ATTEMPT_LIFETIME_MAX_US)
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
