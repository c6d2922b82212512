/*
 * The table of suspects. A crash without isolation only makes a request a
 * suspect, whatever the number of upstreams: when a rack fails, a popular request
 * runs on many of them. A crash in isolation, seen by another host than the first
 * one, blocks it. One host alone can block nothing on others.
 */
#include "quarantine_internal.h"

/* Most suspects. A crash adds QUARANTINE_DIGESTS_MAX at most. */
#define SUSPECTS_MAX 2048
/* A suspect is forgotten after this time without an event. */
#define KEEP_US (60 * CAS_USEC_PER_SEC)
/* One that was blocked is remembered for longer, so that the next block lasts
 * longer. */
#define KEEP_BLOCKED_US (3600 * CAS_USEC_PER_SEC)
/* Duration of the first block, and the factor for each further one. */
#define BLOCK_US (30 * CAS_USEC_PER_SEC)
#define BLOCK_FACTOR 10
#define BLOCK_MAX_US (1800 * CAS_USEC_PER_SEC)

void suspects_init(suspects_t *suspects)
{
	suspects->by_digest = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
}

void suspects_fini(suspects_t *suspects)
{
	g_hash_table_destroy(suspects->by_digest);
}

static bool is_forgotten(const suspect_t *suspect, int64_t now_us)
{
	int64_t keep_us = suspect->blocks ? KEEP_BLOCKED_US : KEEP_US;

	return now_us >= suspect->blocked_until_us &&
	       now_us - suspect->event_us > keep_us;
}

suspect_t *suspects_find(suspects_t *suspects, quarantine_digest_t digest,
			 int64_t now_us)
{
	suspect_t *suspect = g_hash_table_lookup(suspects->by_digest, &digest);

	if (!suspect || !is_forgotten(suspect, now_us))
		return suspect;
	g_hash_table_remove(suspects->by_digest, &digest);
	return NULL;
}

quarantine_verdict_t suspects_verdict(const suspect_t *suspect, int64_t now_us)
{
	if (!suspect)
		return QUARANTINE_FREE;
	if (now_us < suspect->blocked_until_us)
		return QUARANTINE_BLOCKED;
	return suspect->served < suspect->crashes ? QUARANTINE_SUSPECT
						  : QUARANTINE_FREE;
}

/* Makes room in a full table: removes the forgotten ones, else the one that is
 * not blocked and has had no event for longest. Returns whether there is room. */
static bool make_room(suspects_t *suspects, int64_t now_us)
{
	quarantine_digest_t oldest = 0;
	int64_t oldest_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(suspects->by_digest) < SUSPECTS_MAX)
		return true;
	g_hash_table_iter_init(&iter, suspects->by_digest);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const suspect_t *suspect = value;

		if (is_forgotten(suspect, now_us)) {
			g_hash_table_iter_remove(&iter);
		} else if (now_us >= suspect->blocked_until_us &&
			   suspect->event_us < oldest_us) {
			oldest = suspect->digest;
			oldest_us = suspect->event_us;
		}
	}
	if (g_hash_table_size(suspects->by_digest) < SUSPECTS_MAX)
		return true;
	return oldest && g_hash_table_remove(suspects->by_digest, &oldest);
}

/* Returns the suspect, which is added if there is none, or NULL when the table
 * is full of blocked ones. */
static suspect_t *ensure(suspects_t *suspects, quarantine_digest_t digest,
			 int64_t now_us)
{
	suspect_t *suspect = suspects_find(suspects, digest, now_us);

	if (suspect || !make_room(suspects, now_us))
		return suspect;
	suspect = g_new0(suspect_t, 1);
	suspect->digest = digest;
	suspect->event_us = now_us;
	g_hash_table_insert(suspects->by_digest, &suspect->digest, suspect);
	return suspect;
}

/* Remembers a host. Returns whether it is not the only witness. */
static bool add_witness(suspect_t *suspect, cas_id_t host)
{
	for (int32_t i = 0; i < suspect->witness_count; i++)
		if (suspect->witnesses[i] == host)
			return suspect->witness_count > 1;
	if (suspect->witness_count < WITNESSES_MAX)
		suspect->witnesses[suspect->witness_count++] = host;
	return suspect->witness_count > 1;
}

static void block(suspect_t *suspect, int64_t now_us)
{
	int64_t block_us = BLOCK_US;

	for (int32_t i = 0; i < suspect->blocks && block_us < BLOCK_MAX_US; i++)
		block_us *= BLOCK_FACTOR;
	if (block_us > BLOCK_MAX_US)
		block_us = BLOCK_MAX_US;
	suspect->blocks++;
	suspect->blocked_until_us = now_us + block_us;
}

bool suspects_add_crash(suspects_t *suspects, quarantine_digest_t digest,
			cas_id_t host, bool isolated, bool own, int64_t now_us)
{
	suspect_t *suspect = ensure(suspects, digest, now_us);
	bool was_blocked;
	bool confirmed;

	if (!suspect)
		return false;
	was_blocked = now_us < suspect->blocked_until_us;
	suspect->event_us = now_us;
	suspect->crashes++;
	confirmed = add_witness(suspect, host);
	/* Reports of runs from before the block do not prolong it. */
	if (was_blocked || !isolated ||
	    (!confirmed && !(own && suspect->crashes > 1)) ||
	    suspect->served >= suspect->crashes)
		return false;
	block(suspect, now_us);
	return true;
}

void suspects_add_blocked(suspects_t *suspects, quarantine_digest_t digest,
			  cas_id_t host, int64_t now_us)
{
	suspect_t *suspect = ensure(suspects, digest, now_us);

	if (!suspect || now_us < suspect->blocked_until_us)
		return;
	suspect->event_us = now_us;
	if (!suspect->crashes)
		suspect->crashes = 1;
	if (add_witness(suspect, host))
		block(suspect, now_us);
}

void suspects_add_served(suspects_t *suspects, quarantine_digest_t digest,
			 int64_t now_us)
{
	suspect_t *suspect = suspects_find(suspects, digest, now_us);

	if (!suspect)
		return;
	suspect->served++;
	suspect->event_us = now_us;
	if (suspect->served < suspect->crashes ||
	    now_us < suspect->blocked_until_us)
		return;
	g_hash_table_remove(suspects->by_digest, &digest);
}
