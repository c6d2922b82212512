/* The keys of each kind of table row, and a table while it is being read. */
#ifndef CASSIA_TABLE_ROWS_INTERNAL_H
#define CASSIA_TABLE_ROWS_INTERNAL_H

#include "document_internal.h"

#define TABLE_SHARE_UNSET (-1)
#define TABLE_WEIGHT_DEFAULT 1
#define TABLE_TIMEOUT_DEFAULT_MS 1000
#define TABLE_BODY_DEFAULT (1 << 20)
#define TABLE_RETRIES_DEFAULT 2

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

typedef struct route_row {
	table_route_t route; /* first: the fields use its offsets */
	const toml_node_t *customers;
	const toml_node_t *split;
} route_row_t;

typedef struct key_row {
	table_key_t key; /* first: the fields use its offsets */
	cas_str_t customer;
} key_row_t;

extern const row_kind_t table_root_kind;
extern const row_kind_t table_data_centre_kind;
extern const row_kind_t table_service_kind;
extern const row_kind_t table_route_kind;
extern const row_kind_t table_part_kind;
extern const row_kind_t table_customer_kind;
extern const row_kind_t table_key_kind;

#endif
