/* Hash table functions for random identifiers of ATTEMPT_ID_BYTES. */
#ifndef CASSIA_ID_HASH_INTERNAL_H
#define CASSIA_ID_HASH_INTERNAL_H

#include <glib.h>
#include <string.h>

#include "cassia/attempt.h"

/* Identifiers are random, so their first bytes serve as the hash. */
static inline guint id_hash(gconstpointer id)
{
	guint hash;

	memcpy(&hash, id, sizeof(hash));
	return hash;
}

static inline gboolean id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, ATTEMPT_ID_BYTES) == 0;
}

#endif
