/*
 * API keys of callers: finds the customer to whom the key of a request belongs.
 * Keys are stored only as hashes that are keyed with the salt of the table.
 */
#ifndef CASSIA_KEYS_H
#define CASSIA_KEYS_H

#include "cassia/table.h"

enum keys_error {
	KEYS_OK = 0,
	KEYS_ENOMEM = -1201,
	KEYS_EMISSING = -1202, /* request without a key: 401 */
	KEYS_EUNKNOWN = -1203, /* unknown or withdrawn key: 401 */
	KEYS_EFORBIDDEN = -1204, /* customer may not use the route: 403 */
	KEYS_EINVAL = -1205,
};

/* Start of every generated key. */
#define KEYS_PREFIX "csk_"
#define KEYS_RANDOM_BYTES 32
/* Size of a key in text form: prefix, 64 hexadecimal digits and a
 * terminator. */
#define KEYS_TEXT_BYTES (sizeof(KEYS_PREFIX) + 2 * KEYS_RANDOM_BYTES)
/* Longer tokens are rejected as unknown without being hashed. */
#define KEYS_TOKEN_MAX_BYTES 512

/* The keys of the table that is in use. */
typedef struct keys keys_t;

/* The result of a lookup, kept with a request or connection as long as that
 * exists. */
typedef struct keys_lookup {
	cas_id_t customer_id;
	uint64_t generation; /* of the table in which the key was last found */
	uint8_t hash[TABLE_KEY_HASH_BYTES]; /* of the token */
} keys_lookup_t;

/* Returns a new set without keys (owned by ctx), or NULL when out of memory
 * or libsodium does not start. */
keys_t *keys_create(TALLOC_CTX *ctx);

/*
 * Replaces all keys by those of a table, which are copied. Keys that are not in
 * the table are rejected from then on. Returns 0, or KEYS_ENOMEM, in which case
 * the previous keys stay valid.
 */
int keys_set_table(keys_t *keys, const table_t *table);

/* Returns the generation, which increases by one with each table. */
uint64_t keys_generation(const keys_t *keys);

/*
 * Finds the customer of a bearer token. Returns 0 with *lookup filled in,
 * KEYS_EMISSING for an empty token, or KEYS_EUNKNOWN; on error its customer_id
 * and generation are not set.
 */
int keys_lookup(const keys_t *keys, cas_str_t token, keys_lookup_t *lookup);

/*
 * Returns whether the key of an earlier lookup is still in the table for the
 * same customer, and if so updates the generation of the lookup. Searches only
 * if a table was set since. A table with a new salt makes all earlier lookups
 * invalid, as their hashes have the old salt.
 */
bool keys_still_valid(const keys_t *keys, keys_lookup_t *lookup);

/* Returns 0 when the customer may use the route, which includes open routes and
 * those without a list of customers, or KEYS_EFORBIDDEN. */
int keys_check_route(const table_route_t *route, cas_id_t customer_id);

/*
 * Parses the value of an Authorization header. Returns 0 with *token borrowing
 * from value, or KEYS_EMISSING when the value has another scheme or no token.
 */
int keys_parse_header(cas_str_t value, cas_str_t scheme, cas_str_t *token);

/*
 * Returns whether a header of this name may contain a caller's key and must not
 * be forwarded to an upstream: true for every name that contains
 * "authorization" in any case, such as Proxy-Authorization and
 * X-Forwarded-Authorization. Cookies are forwarded, since they belong to the
 * upstream.
 */
bool keys_header_is_secret(cas_str_t name);

/* Writes a new random key in text form, with a terminator. */
void keys_generate(char text[KEYS_TEXT_BYTES]);

/* Writes the hash of a key, keyed with the salt of a table. Returns 0, or
 * KEYS_EINVAL when the key is empty or longer than KEYS_TOKEN_MAX_BYTES. */
int keys_hash(const uint8_t salt[TABLE_SALT_BYTES], cas_str_t key,
	      uint8_t hash[TABLE_KEY_HASH_BYTES]);

#endif
