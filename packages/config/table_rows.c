/* The keys of each kind of table row with their ranges. */
#include "table_rows_internal.h"

#define MICRO INT64_C(1000000)

/*
 * Rates and bursts: micro-tokens a second times microseconds must stay below
 * 2^63 for several seconds, which holds up to a million tokens.
 */
#define RATE_MAX_MICRO (MICRO * MICRO)
#define RATE_MIN_MICRO 1
#define CONNECTIONS_MAX 1000000
#define WEIGHT_MAX 10000
#define PART_WEIGHT_MAX 1000000
#define TIMEOUT_MAX_MS 600000
#define BODY_MAX (INT64_C(1) << 30)
#define RETRIES_MAX 100
#define PATH_MAX_BYTES 256
#define METHOD_MAX_BYTES 16
#define HOST_MAX_BYTES 253
#define LABEL_MAX_BYTES 128

#define ROOT(key, kind, required, member, min, max)                            \
	{                                                                      \
		key, kind, required, offsetof(table_root_t, member), min, max  \
	}
#define KIND(name, fields, type)                                               \
	{                                                                      \
		name, fields, sizeof(fields) / sizeof((fields)[0]),            \
			sizeof(type)                                           \
	}

static const field_t root_fields[] = {
	ROOT("revision", FIELD_INT64, true, revision, 1, INT64_MAX),
	ROOT("salt", FIELD_HEX, true, salt, 0, TABLE_SALT_BYTES),
	ROOT("hosts_revision", FIELD_INT64, false, hosts_revision, 1,
	     INT64_MAX),
	ROOT("customer_first", FIELD_BOOL, false, customer_first, 0, 0),
	ROOT("data_centre", FIELD_NODE, true, data_centres, 0, 0),
	ROOT("service", FIELD_NODE, false, services, 0, 0),
	ROOT("route", FIELD_NODE, false, routes, 0, 0),
	ROOT("customer", FIELD_NODE, false, customers, 0, 0),
	ROOT("key", FIELD_NODE, false, keys, 0, 0),
	ROOT("host", FIELD_NODE, false, hosts, 0, 0),
	ROOT("end", FIELD_NODE, false, end, 0, 0),
};

static const field_t data_centre_fields[] = {
	{ "name", FIELD_NAME, true, offsetof(table_data_centre_t, name), 0, 0 },
	{ "region", FIELD_NAME, true, offsetof(table_data_centre_t, region), 0,
	  0 },
	{ "share", FIELD_INT32, false,
	  offsetof(table_data_centre_t, share_permille), 0, TABLE_SHARE_WHOLE },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, offsetof(table_service_t, name), 0, 0 },
	{ "connections", FIELD_INT32, false,
	  offsetof(table_service_t, connections), 0, CONNECTIONS_MAX },
};

#define ROUTE(key, kind, required, member, min, max)                           \
	{                                                                      \
		key, kind, required, offsetof(table_route_t, member), min, max \
	}

static const field_t route_fields[] = {
	ROUTE("name", FIELD_NAME, true, name, 0, 0),
	ROUTE("host", FIELD_TEXT, false, host, 1, HOST_MAX_BYTES),
	ROUTE("path", FIELD_TEXT, true, path_prefix, 1, PATH_MAX_BYTES),
	ROUTE("method", FIELD_TEXT, false, method, 0, METHOD_MAX_BYTES),
	ROUTE("service", FIELD_NAME, false, service, 0, 0),
	{ "split", FIELD_NODE, false, offsetof(route_row_t, split), 0, 0 },
	ROUTE("importance", FIELD_INT32, true, importance, 0,
	      TABLE_IMPORTANCE_MAX),
	ROUTE("open", FIELD_BOOL, false, open, 0, 0),
	ROUTE("idempotent", FIELD_BOOL, false, idempotent, 0, 0),
	ROUTE("timeout_ms", FIELD_INT32, false, timeout_ms, 1, TIMEOUT_MAX_MS),
	ROUTE("objective_ms", FIELD_INT32, false, objective_ms, 1,
	      TIMEOUT_MAX_MS),
	ROUTE("max_body", FIELD_INT64, false, max_body_bytes, 0, BODY_MAX),
	ROUTE("retries", FIELD_INT32, false, retries, 0, RETRIES_MAX),
	{ "customers", FIELD_NODE, false, offsetof(route_row_t, customers), 0,
	  0 },
};

static const field_t part_fields[] = {
	{ "service", FIELD_NAME, true, offsetof(table_part_t, service), 0, 0 },
	{ "weight", FIELD_INT32, true, offsetof(table_part_t, weight), 0,
	  PART_WEIGHT_MAX },
};

#define CUSTOMER(key, kind, required, member, min, max)                        \
	{                                                                      \
		key, kind, required, offsetof(table_customer_t, member), min,  \
			max                                                    \
	}

static const field_t customer_fields[] = {
	CUSTOMER("name", FIELD_NAME, true, name, 0, 0),
	CUSTOMER("weight", FIELD_INT32, false, weight, 1, WEIGHT_MAX),
	CUSTOMER("rate", FIELD_MICRO, true, rate_micro, RATE_MIN_MICRO,
		 RATE_MAX_MICRO),
	CUSTOMER("burst", FIELD_MICRO, true, burst_micro, MICRO,
		 RATE_MAX_MICRO),
	CUSTOMER("importance", FIELD_INT32, false, importance, 0,
		 TABLE_IMPORTANCE_MAX),
};

static const field_t key_fields[] = {
	{ "customer", FIELD_NAME, true, offsetof(key_row_t, customer), 0, 0 },
	{ "hash", FIELD_HEX, true, offsetof(table_key_t, hash), 0,
	  TABLE_KEY_HASH_BYTES },
	{ "label", FIELD_TEXT, false, offsetof(table_key_t, label), 0,
	  LABEL_MAX_BYTES },
};

const row_kind_t table_root_kind = KIND("", root_fields, table_root_t);
const row_kind_t table_data_centre_kind =
	KIND("data_centre", data_centre_fields, table_data_centre_t);
const row_kind_t table_service_kind =
	KIND("service", service_fields, table_service_t);
const row_kind_t table_route_kind = KIND("route", route_fields, table_route_t);
const row_kind_t table_part_kind = KIND("split", part_fields, table_part_t);
const row_kind_t table_customer_kind =
	KIND("customer", customer_fields, table_customer_t);
const row_kind_t table_key_kind = KIND("key", key_fields, table_key_t);
