/*
 * The configuration table that operators write: data centres, services,
 * routes, customers and keys. A table is read as a whole and not modified
 * afterwards; a new revision is a new table. Arrays are sorted by id, except
 * routes and their parts, which keep the order of the file, and keys, which are
 * sorted by hash. An id is the hash of a name, see cas_id_of; 0 means no name.
 */
#ifndef CASSIA_TABLE_H
#define CASSIA_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/name_list.h"
#include "cassia/roster.h"
#include "cassia/str.h"

/* Largest settings, table or host list document, in bytes. A configuration of the
 * users' platform has up to 1 MiB of JSON. As a table it grows fivefold in the
 * worst case, that of nearly nothing but keys. */
#define CONFIG_DOCUMENT_MAX (8 << 20)

#define TABLE_IMPORTANCE_MAX 15
/* Limits of values in a table. */
#define TABLE_CONNECTIONS_MAX 1000000
#define TABLE_WEIGHT_MAX 1000000 /* of a part of a split */
#define TABLE_TIMEOUT_MAX_MS 600000
#define TABLE_BODY_MAX_BYTES (INT64_C(1) << 30)
#define TABLE_RETRIES_MAX 100
#define TABLE_PATH_MAX_BYTES 1024
#define TABLE_HOST_MAX_BYTES 253
#define TABLE_KEY_HASH_BYTES 32
#define TABLE_SALT_BYTES 16
/* Sum of the shares of all data centres, in thousandths. */
#define TABLE_SHARE_TOTAL 1000

typedef struct table_data_centre {
	cas_id_t id;
	cas_str_t name;
	cas_str_t region;
	cas_id_t region_id;
	int32_t share_permille; /* of each customer's rate and burst */
} table_data_centre_t;

typedef struct table_service {
	cas_id_t id;
	cas_str_t name;
	int32_t connections; /* limit of connections to one upstream, 0: none */
	/* Requests a second, in millionths, that an upstream can take while it
	 * is cold; 0: no bound. */
	int64_t warm_up_rate_micro;
	int32_t warm_up_ms; /* how long an upstream is cold after its start */
	cas_str_t
		health_path; /* of the upstreams' health checks; may be empty */
} table_service_t;

/* One of the services that the requests of a route are split between. */
typedef struct table_part {
	cas_id_t service_id;
	cas_str_t service;
	int32_t weight; /* 0 or more; relative to the sum over all parts */
} table_part_t;

typedef struct table_route {
	cas_id_t id;
	cas_str_t name;
	cas_str_t host; /* host name of the requests; empty: every host */
	cas_str_t path_prefix; /* the longest matching prefix wins */
	cas_str_t method; /* empty: every method */
	cas_id_t service_id; /* of a split route, that of its first part */
	cas_str_t service;
	table_part_t *parts; /* empty: all requests go to service */
	size_t part_count;
	int32_t importance; /* 0..15, 15 is the highest */
	bool open; /* requests need no key and use no quota */
	bool idempotent;
	int32_t timeout_ms; /* until the response */
	int32_t objective_ms; /* response time objective: a later response is
			       * worth less; 0: none */
	int64_t max_body_bytes; /* of a request */
	int32_t retries; /* retry budget of a root request */
	cas_id_t *customers; /* allowed customers, sorted; empty: all */
	size_t customer_count;
	name_list_t regions; /* that may run the requests; empty: all */
} table_route_t;

typedef struct table_customer {
	cas_id_t id;
	cas_str_t name;
	int32_t weight; /* 1 or more */
	int64_t rate_micro; /* quota in micro-tokens a second */
	int64_t burst_micro; /* micro-tokens, at least one token */
	int32_t importance; /* upper bound of the route's, unless
			     * customer_first; default 15 */
	name_list_t regions; /* that may run the requests; empty: all */
} table_customer_t;

typedef struct table_key {
	uint8_t hash[TABLE_KEY_HASH_BYTES]; /* keyed BLAKE2b-256 of the key */
	cas_id_t customer_id;
	cas_str_t label; /* operators' name of the key, never the key itself */
} table_key_t;

typedef struct table {
	int64_t revision; /* 1 or more */
	uint8_t salt[TABLE_SALT_BYTES]; /* of the key hashes */
	/* How the importance of a request is computed: true: the customer's
	 * takes precedence over the route's; false: the lower of both. See
	 * table_importance. */
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
	cas_str_t source; /* the text it was read from, sent to peers */
	roster_t *hosts; /* host list embedded in the table, or NULL */
	/* Hash of the content without the host list; comments and layout do
	 * not count. */
	uint64_t fingerprint;
} table_t;

/*
 * Reads a table from TOML text. Whether it is accepted depends on the text
 * only, so all daemons agree. Returns 0 and *table (new reference, owned by
 * ctx), CONFIG_EFAULTS with every fault added to faults, or CONFIG_ENOMEM.
 *
 * A table ends with the section [end], which may contain rows = N, the number
 * of rows of all kinds. A text without [end] is rejected as truncated.
 */
int table_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
	       table_t **table);

/* Checks a table without returning it; returns as table_read. */
int table_check(cas_str_t text, config_faults_t *faults);

/* Return the row with this id (borrowed from the table), or NULL. */
const table_data_centre_t *table_find_data_centre(const table_t *table,
						  cas_id_t id);

/* Returns whether two data centres may be in one region: they are, or the table
 * lacks one of them. */
bool table_may_share_region(const table_t *table, cas_id_t first,
			    cas_id_t second);
const table_service_t *table_find_service(const table_t *table, cas_id_t id);
const table_customer_t *table_find_customer(const table_t *table, cas_id_t id);
const table_route_t *table_find_route(const table_t *table, cas_id_t id);

/*
 * Returns the route of a request (borrowed), or NULL. Of several matching
 * routes, one with a host is preferred to one without, then the one with the
 * longest path prefix, then one with a method. host may include a port, path a
 * query.
 */
const table_route_t *table_match_route(const table_t *table, cas_str_t host,
				       cas_str_t method, cas_str_t path);

/* Selects a part of a split route by weight: point is uniformly distributed
 * from 0 to below 1. Returns NULL when the route is not split. */
const table_part_t *table_pick_part(const table_route_t *route, double point);

/* Returns whether a path may be the path of a route: it starts with '/', has no
 * character that ends the path of a URL or has to be escaped, and no incomplete
 * escape. */
bool table_path_is_valid(cas_str_t path);

/* Returns whether the requests of a route and customer may be run in a region:
 * it must be allowed by each of them that limits its regions. A route or
 * customer that is not in the table limits nothing. */
bool table_allows_region(const table_t *table, cas_id_t route,
			 cas_id_t customer, cas_id_t region);

/* Returns whether any customer, or any route or customer, limits its regions. */
bool table_customers_limit_regions(const table_t *table);
bool table_limits_regions(const table_t *table);

/*
 * Returns the importance of a request, 0..15. customer is NULL for a request
 * without one, and then counts as the highest importance. With customer_first,
 * the result is 4 * c + r, where c and r are 0..3 for a customer's or route's
 * importance of 12..15 and 0 below.
 */
int32_t table_importance(const table_t *table, const table_route_t *route,
			 const table_customer_t *customer);

#endif
