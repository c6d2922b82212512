/* Schema of each kind of table row, defaults of absent keys, and the structures
 * that rows are read into. */
#ifndef CASSIA_TABLE_ROWS_INTERNAL_H
#define CASSIA_TABLE_ROWS_INTERNAL_H

#include "document_internal.h"

/* share_permille of a data centre without the key share, while reading. */
#define TABLE_SHARE_UNSET (-1)
#define TABLE_WEIGHT_DEFAULT 1
#define TABLE_TIMEOUT_DEFAULT_MS 1000
#define TABLE_BODY_DEFAULT_BYTES (1 << 20)
#define TABLE_RETRIES_DEFAULT 2

/* Top level of a table. The nodes are NULL if the key is absent. */
typedef struct table_root {
	int64_t revision;
	uint8_t salt[TABLE_SALT_BYTES];
	bool customer_first;
	int64_t hosts_revision;
	const toml_node_t *data_centres;
	const toml_node_t *services;
	const toml_node_t *routes;
	const toml_node_t *customers;
	const toml_node_t *keys;
	const toml_node_t *hosts;
	const toml_node_t *end;
} table_root_t;

/* A [[route]] row while it is read. */
typedef struct route_row {
	table_route_t route; /* must be first: fields use its offsets */
	const toml_node_t *customers;
	const toml_node_t *split;
} route_row_t;

/* A [[key]] row while it is read. */
typedef struct key_row {
	table_key_t key; /* must be first: fields use its offsets */
	cas_str_t customer; /* name of the customer */
} key_row_t;

extern const row_schema_t table_root_schema;
extern const row_schema_t table_data_centre_schema;
extern const row_schema_t table_service_schema;
extern const row_schema_t table_route_schema;
extern const row_schema_t table_part_schema;
extern const row_schema_t table_customer_schema;
extern const row_schema_t table_key_schema;

#endif
