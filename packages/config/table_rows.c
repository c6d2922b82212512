/* Schema of each kind of table row: its keys and their ranges of values. */
#include "table_rows_internal.h"

#define MICRO_PER_UNIT INT64_C(1000000)

/*
 * Largest rate (a second) and burst: a million tokens. Products of micro-tokens
 * a second and microseconds must stay below 2^63 for periods of several
 * seconds, which holds up to this rate.
 */
#define RATE_MAX_MICRO (MICRO_PER_UNIT * MICRO_PER_UNIT)
#define RATE_MIN_MICRO 1
#define WEIGHT_MAX 10000
#define METHOD_MAX_BYTES 16
#define LABEL_MAX_BYTES 128
#define REGIONS_MAX 256 /* allowed regions of one row */

#define ROOT_FIELD(key, kind, required, member, min, max)                      \
	{                                                                      \
		key, kind, required, offsetof(table_root_t, member), min, max  \
	}
#define ROW_SCHEMA(key, fields, type)                                          \
	{                                                                      \
		key, fields, sizeof(fields) / sizeof((fields)[0]),             \
			sizeof(type)                                           \
	}

static const field_t root_fields[] = {
	ROOT_FIELD("revision", FIELD_INT64, true, revision, 1, INT64_MAX),
	ROOT_FIELD("salt", FIELD_HEX, true, salt, 0, TABLE_SALT_BYTES),
	ROOT_FIELD("hosts_revision", FIELD_INT64, false, hosts_revision, 1,
		   INT64_MAX),
	ROOT_FIELD("customer_first", FIELD_BOOL, false, customer_first, 0, 0),
	ROOT_FIELD("data_centre", FIELD_NODE, true, data_centres, 0, 0),
	ROOT_FIELD("service", FIELD_NODE, false, services, 0, 0),
	ROOT_FIELD("route", FIELD_NODE, false, routes, 0, 0),
	ROOT_FIELD("customer", FIELD_NODE, false, customers, 0, 0),
	ROOT_FIELD("key", FIELD_NODE, false, keys, 0, 0),
	ROOT_FIELD("host", FIELD_NODE, false, hosts, 0, 0),
	ROOT_FIELD("end", FIELD_NODE, false, end, 0, 0),
};

static const field_t data_centre_fields[] = {
	{ "name", FIELD_NAME, true, offsetof(table_data_centre_t, name), 0, 0 },
	{ "region", FIELD_NAME, true, offsetof(table_data_centre_t, region), 0,
	  0 },
	{ "share", FIELD_INT32, false,
	  offsetof(table_data_centre_t, share_permille), 0, TABLE_SHARE_TOTAL },
};

static const field_t service_fields[] = {
	{ "name", FIELD_NAME, true, offsetof(table_service_t, name), 0, 0 },
	{ "connections", FIELD_INT32, false,
	  offsetof(table_service_t, connections), 0, TABLE_CONNECTIONS_MAX },
	{ "warm_up_rate", FIELD_MICRO, false,
	  offsetof(table_service_t, warm_up_rate_micro), 0, RATE_MAX_MICRO },
	{ "warm_up_ms", FIELD_INT32, false,
	  offsetof(table_service_t, warm_up_ms), 0, TABLE_TIMEOUT_MAX_MS },
	{ "health_path", FIELD_TEXT, false,
	  offsetof(table_service_t, health_path), 1, TABLE_PATH_MAX_BYTES },
};

#define ROUTE_FIELD(key, kind, required, member, min, max)                     \
	{                                                                      \
		key, kind, required, offsetof(table_route_t, member), min, max \
	}

static const field_t route_fields[] = {
	ROUTE_FIELD("name", FIELD_NAME, true, name, 0, 0),
	ROUTE_FIELD("host", FIELD_TEXT, false, host, 1, TABLE_HOST_MAX_BYTES),
	ROUTE_FIELD("path", FIELD_TEXT, true, path_prefix, 1,
		    TABLE_PATH_MAX_BYTES),
	ROUTE_FIELD("method", FIELD_TEXT, false, method, 0, METHOD_MAX_BYTES),
	ROUTE_FIELD("service", FIELD_NAME, false, service, 0, 0),
	{ "split", FIELD_NODE, false, offsetof(route_row_t, split), 0, 0 },
	ROUTE_FIELD("importance", FIELD_INT32, true, importance, 0,
		    TABLE_IMPORTANCE_MAX),
	ROUTE_FIELD("open", FIELD_BOOL, false, open, 0, 0),
	ROUTE_FIELD("idempotent", FIELD_BOOL, false, idempotent, 0, 0),
	ROUTE_FIELD("timeout_ms", FIELD_INT32, false, timeout_ms, 1,
		    TABLE_TIMEOUT_MAX_MS),
	ROUTE_FIELD("objective_ms", FIELD_INT32, false, objective_ms, 1,
		    TABLE_TIMEOUT_MAX_MS),
	ROUTE_FIELD("max_body", FIELD_INT64, false, max_body_bytes, 0,
		    TABLE_BODY_MAX_BYTES),
	ROUTE_FIELD("retries", FIELD_INT32, false, retries, 0,
		    TABLE_RETRIES_MAX),
	{ "customers", FIELD_NODE, false, offsetof(route_row_t, customers), 0,
	  0 },
	ROUTE_FIELD("regions", FIELD_NAMES, false, regions, 0, REGIONS_MAX),
};

static const field_t part_fields[] = {
	{ "service", FIELD_NAME, true, offsetof(table_part_t, service), 0, 0 },
	{ "weight", FIELD_INT32, true, offsetof(table_part_t, weight), 0,
	  TABLE_WEIGHT_MAX },
};

#define CUSTOMER_FIELD(key, kind, required, member, min, max)                  \
	{                                                                      \
		key, kind, required, offsetof(table_customer_t, member), min,  \
			max                                                    \
	}

static const field_t customer_fields[] = {
	CUSTOMER_FIELD("name", FIELD_NAME, true, name, 0, 0),
	CUSTOMER_FIELD("weight", FIELD_INT32, false, weight, 1, WEIGHT_MAX),
	CUSTOMER_FIELD("rate", FIELD_MICRO, true, rate_micro, RATE_MIN_MICRO,
		       RATE_MAX_MICRO),
	CUSTOMER_FIELD("burst", FIELD_MICRO, true, burst_micro, MICRO_PER_UNIT,
		       RATE_MAX_MICRO),
	CUSTOMER_FIELD("importance", FIELD_INT32, false, importance, 0,
		       TABLE_IMPORTANCE_MAX),
	CUSTOMER_FIELD("regions", FIELD_NAMES, false, regions, 0, REGIONS_MAX),
};

static const field_t key_fields[] = {
	{ "customer", FIELD_NAME, true, offsetof(key_row_t, customer), 0, 0 },
	{ "hash", FIELD_HEX, true, offsetof(table_key_t, hash), 0,
	  TABLE_KEY_HASH_BYTES },
	{ "label", FIELD_TEXT, false, offsetof(table_key_t, label), 0,
	  LABEL_MAX_BYTES },
};

const row_schema_t table_root_schema =
	ROW_SCHEMA("", root_fields, table_root_t);
const row_schema_t table_data_centre_schema =
	ROW_SCHEMA("data_centre", data_centre_fields, table_data_centre_t);
const row_schema_t table_service_schema =
	ROW_SCHEMA("service", service_fields, table_service_t);
const row_schema_t table_route_schema =
	ROW_SCHEMA("route", route_fields, table_route_t);
const row_schema_t table_part_schema =
	ROW_SCHEMA("split", part_fields, table_part_t);
const row_schema_t table_customer_schema =
	ROW_SCHEMA("customer", customer_fields, table_customer_t);
const row_schema_t table_key_schema =
	ROW_SCHEMA("key", key_fields, table_key_t);
