/*
 * The operators' table: data centres, services, routes, customers and keys.
 * A table is read as a whole and never changed afterwards; a new revision is
 * a new table. Arrays are sorted by id, except routes, which keep file order.
 */
#ifndef CASSIA_TABLE_H
#define CASSIA_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/roster.h"
#include "cassia/str.h"

/* Largest settings, table or host list document, in bytes. */
#define CONFIG_DOCUMENT_MAX (1 << 20)

#define TABLE_IMPORTANCE_MAX 15
#define TABLE_KEY_HASH_BYTES 32
#define TABLE_SALT_BYTES 16
#define TABLE_SHARE_WHOLE 1000

typedef struct table_data_centre {
	cas_id_t id;
	cas_str_t name;
	cas_str_t region;
	cas_id_t region_id;
	int32_t share_permille; /* part of each customer's rate and burst */
} table_data_centre_t;

typedef struct table_service {
	cas_id_t id;
	cas_str_t name;
	int32_t connections; /* most connections to one upstream, 0: no limit */
} table_service_t;

/* A part of the requests of a route that is split between services. */
typedef struct table_part {
	cas_id_t service_id;
	cas_str_t service;
	int32_t weight; /* 0 or more */
} table_part_t;

typedef struct table_route {
	cas_id_t id;
	cas_str_t name;
	cas_str_t host; /* empty: every host */
	cas_str_t path_prefix; /* the longest matching prefix wins */
	cas_str_t method; /* empty: every method */
	cas_id_t service_id; /* of a split route, that of its first part */
	cas_str_t service;
	table_part_t *parts; /* count 0: all requests go to the service */
	size_t part_count;
	int32_t importance; /* 0..15, 15 is the highest */
	bool open; /* needs no key, uses no quota */
	bool idempotent;
	int32_t timeout_ms;
	int32_t objective_ms; /* a later response is worth less, 0: none */
	int64_t max_body_bytes;
	int32_t retries; /* retry budget of a root request */
	cas_id_t *customers; /* only these; count 0: every customer */
	size_t customer_count;
} table_route_t;

typedef struct table_customer {
	cas_id_t id;
	cas_str_t name;
	int32_t weight; /* 1 or more */
	int64_t rate_micro; /* micro-tokens a second */
	int64_t burst_micro; /* micro-tokens, at least one token */
	int32_t importance; /* added to nothing; caps the route's, default 15 */
} table_customer_t;

typedef struct table_key {
	uint8_t hash[TABLE_KEY_HASH_BYTES]; /* keyed BLAKE2b-256 of the key */
	cas_id_t customer_id;
	cas_str_t label; /* operators' name of the key, never the key */
} table_key_t;

typedef struct table {
	int64_t revision; /* 1 or more */
	uint8_t salt[TABLE_SALT_BYTES];
	/* The customer's importance goes before the route's; else the lower
	 * one counts. */
	bool customer_first;
	table_data_centre_t *data_centres;
	size_t data_centre_count;
	table_service_t *services;
	size_t service_count;
	table_route_t *routes;
	size_t route_count;
	table_customer_t *customers;
	size_t customer_count;
	table_key_t *keys; /* sorted by hash */
	size_t key_count;
	cas_str_t source; /* the text it was read from, passed to peers */
	roster_t *hosts; /* host list in the same file, or NULL */
	uint64_t fingerprint; /* of the content, without the host list */
} table_t;

/*
 * Reads a table from TOML text. The verdict depends on the text only, so all
 * daemons agree. Returns 0 and *table (new reference, owned by ctx),
 * CONFIG_EFAULTS with every fault added to faults, or CONFIG_ENOMEM.
 *
 * The last line of a table is [end], optionally followed by rows = N, the
 * number of rows of all kinds. A text without it counts as cut off.
 */
int table_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
	       table_t **table);

/* Checks a table without keeping it; returns as table_read. */
int table_check(cas_str_t text, config_faults_t *faults);

/* Lookups return a borrowed pointer into the table, or NULL. */
const table_data_centre_t *table_find_data_centre(const table_t *table,
						  cas_id_t id);
const table_service_t *table_find_service(const table_t *table, cas_id_t id);
const table_customer_t *table_find_customer(const table_t *table, cas_id_t id);
const table_route_t *table_find_route(const table_t *table, cas_id_t id);

/* Returns the route of a request, the longest prefix first and one with a host
 * before one without, or NULL. host may have a port. */
const table_route_t *table_match_route(const table_t *table, cas_str_t host,
				       cas_str_t method, cas_str_t path);

/* Returns the part of a split route that a point of 0..1 falls into, each part
 * taking up its weight's share, or NULL when the route is not split. */
const table_part_t *table_pick_part(const table_route_t *route, double point);

/* Returns the importance of a customer's request, 0..15. customer is NULL for
 * requests without one. */
int32_t table_importance(const table_t *table, const table_route_t *route,
			 const table_customer_t *customer);

#endif
