/*
 * Callers' keys: from the key that a request presents to its customer. Only
 * keyed hashes of keys are held.
 */
#ifndef CASSIA_KEYS_H
#define CASSIA_KEYS_H

#include "cassia/table.h"

enum keys_error {
	KEYS_OK = 0,
	KEYS_ENOMEM = -1201,
	KEYS_EMISSING = -1202, /* no key presented: 401 */
	KEYS_EUNKNOWN = -1203, /* unknown or withdrawn key: 401 */
	KEYS_EFORBIDDEN = -1204, /* another customer's route: 403 */
	KEYS_EINVAL = -1205,
};

#define KEYS_PREFIX "csk_"
#define KEYS_RANDOM_BYTES 32
/* Prefix, 64 hexadecimal digits and a terminator. */
#define KEYS_TEXT_BYTES (sizeof(KEYS_PREFIX) + 2 * KEYS_RANDOM_BYTES)
/* A longer token is unknown without being hashed. */
#define KEYS_TOKEN_MAX_BYTES 512

typedef struct keys keys_t;

/* The result of a lookup, kept with a request or connection while it lives. */
typedef struct keys_lookup {
	cas_id_t customer_id;
	uint64_t generation; /* of the table in which the key was last found */
	uint8_t hash[TABLE_KEY_HASH_BYTES];
} keys_lookup_t;

/* Returns a new set without keys, or NULL when memory is short. */
keys_t *keys_create(TALLOC_CTX *ctx);

/*
 * Takes the keys of a table, which is not needed afterwards. Keys that it
 * lacks stop working at once. Returns 0, or KEYS_ENOMEM, when the former keys
 * stay in force.
 */
int keys_set_table(keys_t *keys, const table_t *table);

/* Returns the generation, which grows with each table. */
uint64_t keys_generation(const keys_t *keys);

/*
 * Finds the customer of a bearer token. Returns 0 with *lookup filled in,
 * KEYS_EMISSING for an empty token, or KEYS_EUNKNOWN.
 */
int keys_lookup(const keys_t *keys, cas_str_t token, keys_lookup_t *lookup);

/*
 * Returns true while the key of an earlier lookup is still in the table for
 * the same customer, and brings the lookup up to date. Cheap when no table
 * came since. A table with a new salt withdraws every earlier lookup.
 */
bool keys_still_valid(const keys_t *keys, keys_lookup_t *lookup);

/* Returns 0 when the customer may use the route, or KEYS_EFORBIDDEN. */
int keys_check_route(const table_route_t *route, cas_id_t customer_id);

/*
 * Takes the key out of the value of an Authorization header. Returns 0 with
 * *token borrowing from value, or KEYS_EMISSING when it is not of the scheme.
 */
int keys_parse_header(cas_str_t value, cas_str_t scheme, cas_str_t *token);

/*
 * Returns true when a header of this name may carry a caller's key and must
 * not go on to an upstream: every name that contains "authorization", in any
 * case, such as Proxy-Authorization and X-Forwarded-Authorization. Cookies
 * are the upstream's own.
 */
bool keys_header_is_secret(cas_str_t name);

/* Writes a new random key in text form. */
void keys_generate(char text[KEYS_TEXT_BYTES]);

/* Writes the hash of a key under the salt of a table. Returns 0, or
 * KEYS_EINVAL for an empty or too long key. */
int keys_hash(const uint8_t salt[TABLE_SALT_BYTES], cas_str_t key,
	      uint8_t hash[TABLE_KEY_HASH_BYTES]);

#endif
