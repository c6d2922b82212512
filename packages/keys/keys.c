/*
 * Lookup of API keys by binary search over their hashes. Results are not
 * cached: a lookup takes about half a microsecond, and a cached result could
 * outlive the withdrawal of its key.
 */
#include "cassia/keys.h"

#include <sodium.h>

/* The keys of one table, replaced as a whole. */
typedef struct key_set {
	uint8_t salt[TABLE_SALT_BYTES];
	table_key_t *items; /* sorted by hash; labels are empty */
	size_t count;
} key_set_t;

struct keys {
	key_set_t *set; /* NULL before the first table */
	uint64_t generation;
};

_Static_assert(TABLE_SALT_BYTES >= crypto_generichash_KEYBYTES_MIN,
	       "the salt is the key of the hash");
_Static_assert(TABLE_KEY_HASH_BYTES == crypto_generichash_BYTES, "BLAKE2b-256");

keys_t *keys_create(TALLOC_CTX *ctx)
{
	keys_t *keys = sodium_init() < 0 ? NULL : talloc_zero(ctx, keys_t);

	/* Generations start at 1, so that a zeroed lookup is never valid. */
	if (keys)
		keys->generation = 1;
	return keys;
}

int keys_set_table(keys_t *keys, const table_t *table)
{
	key_set_t *set = talloc_zero(keys, key_set_t);

	if (!set)
		return KEYS_ENOMEM;
	memcpy(set->salt, table->salt, sizeof(set->salt));
	set->count = table->key_count;
	set->items = talloc_array(set, table_key_t, set->count);
	if (!set->items) {
		talloc_free(set);
		return KEYS_ENOMEM;
	}
	for (size_t i = 0; i < set->count; i++) {
		set->items[i] = table->keys[i];
		set->items[i].label = (cas_str_t){ NULL, 0 };
	}
	talloc_free(keys->set);
	keys->set = set;
	keys->generation++;
	return 0;
}

uint64_t keys_generation(const keys_t *keys)
{
	return keys->generation;
}

int keys_hash(const uint8_t salt[TABLE_SALT_BYTES], cas_str_t key,
	      uint8_t hash[TABLE_KEY_HASH_BYTES])
{
	if (!key.len || key.len > KEYS_TOKEN_MAX_BYTES)
		return KEYS_EINVAL;
	crypto_generichash(hash, TABLE_KEY_HASH_BYTES,
			   (const unsigned char *)key.ptr, key.len, salt,
			   TABLE_SALT_BYTES);
	return 0;
}

/*
 * Returns the index of the first key whose hash is not less than hash, or
 * count. The search is not constant-time, but its duration depends only on the
 * hash, which a caller cannot compute without the salt.
 */
static size_t lower_bound(const key_set_t *set, const uint8_t *hash)
{
	size_t low = 0;
	size_t high = set->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (memcmp(set->items[middle].hash, hash,
			   TABLE_KEY_HASH_BYTES) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns a borrowed pointer, or NULL when no key has this hash. */
static const table_key_t *find_key(const keys_t *keys, const uint8_t *hash)
{
	const key_set_t *set = keys->set;
	size_t i;

	if (!set || !set->count)
		return NULL;
	i = lower_bound(set, hash);
	if (i == set->count)
		return NULL;
	if (sodium_memcmp(set->items[i].hash, hash, TABLE_KEY_HASH_BYTES) != 0)
		return NULL;
	return &set->items[i];
}

int keys_lookup(const keys_t *keys, cas_str_t token, keys_lookup_t *lookup)
{
	const table_key_t *key;

	if (!token.len)
		return KEYS_EMISSING;
	if (!keys->set || keys_hash(keys->set->salt, token, lookup->hash))
		return KEYS_EUNKNOWN;
	key = find_key(keys, lookup->hash);
	if (!key)
		return KEYS_EUNKNOWN;
	lookup->customer_id = key->customer_id;
	lookup->generation = keys->generation;
	return 0;
}

bool keys_still_valid(const keys_t *keys, keys_lookup_t *lookup)
{
	const table_key_t *key;

	if (lookup->generation == keys->generation)
		return true;
	key = find_key(keys, lookup->hash);
	if (!key || key->customer_id != lookup->customer_id)
		return false;
	lookup->generation = keys->generation;
	return true;
}

int keys_check_route(const table_route_t *route, cas_id_t customer_id)
{
	if (route->open || !route->customer_count)
		return 0;
	for (size_t i = 0; i < route->customer_count; i++)
		if (route->customers[i] == customer_id)
			return 0;
	return KEYS_EFORBIDDEN;
}
