/*
 * Reads TOML tables into C structures by a description of their keys, and
 * reports every fault with its position.
 */
#ifndef CASSIA_SCHEMA_INTERNAL_H
#define CASSIA_SCHEMA_INTERNAL_H

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "toml_internal.h"

typedef enum field_kind {
	FIELD_NAME, /* cas_str_t: letters, digits, '.', '_', '-' */
	FIELD_TEXT, /* cas_str_t: printable ASCII, min..max bytes */
	FIELD_BOOL, /* bool */
	FIELD_INT32, /* int32_t in min..max */
	FIELD_INT64, /* int64_t in min..max */
	FIELD_PORT, /* uint16_t in min..max */
	FIELD_MICRO, /* int64_t in millionths, min..max, from a number */
	FIELD_ADDRESS, /* struct in_addr from a dotted IPv4 address */
	FIELD_ENDPOINT, /* settings_endpoint_t from ADDRESS:PORT */
	FIELD_HEX, /* uint8_t[max] from 2 * max hexadecimal digits */
	FIELD_NODE, /* const toml_node_t *: read by the caller */
} field_kind_t;

typedef struct field {
	const char *key;
	field_kind_t kind;
	bool required;
	size_t offset;
	int64_t min;
	int64_t max;
} field_t;

typedef struct reader {
	TALLOC_CTX *ctx; /* owner of what is read */
	config_faults_t *faults;
	int rc; /* CONFIG_ENOMEM once memory was short */
} reader_t;

/* A row that must differ from its fellows by id. */
typedef struct unique {
	cas_id_t id;
	cas_str_t row; /* name of the row for faults */
	const toml_node_t *node;
} unique_t;

#define NAME_MAX_BYTES 64

/* Parses text of at most CONFIG_DOCUMENT_MAX bytes; NULL after a fault. */
const toml_node_t *reader_parse(reader_t *reader, TALLOC_CTX *ctx,
				cas_str_t text);

/* Reads the keys of a table into *out; absent keys leave *out unchanged. */
void reader_fields(reader_t *reader, const toml_node_t *table, cas_str_t row,
		   const field_t *fields, size_t count, void *out);

/* Returns the name of a row for faults, such as: customer "a". */
cas_str_t reader_row_name(reader_t *reader, const char *kind,
			  const toml_node_t *row, size_t index);

/* Reports a fault at a node, or at the row when node is NULL. */
void reader_fault(reader_t *reader, const toml_node_t *node,
		  const toml_node_t *row, cas_str_t row_name,
		  const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* Checks that node is an array of tables. */
bool reader_is_rows(reader_t *reader, const toml_node_t *node);

/* Reports rows with the same id. The array is sorted by id. */
void reader_unique(reader_t *reader, unique_t *rows, size_t count,
		   const char *what);

/* Returns the index of the candidate nearest to text by edit distance, or -1
 * without candidates. Candidates over 32 bytes are left out. */
int nearest_pick(cas_str_t text, const char *const *candidates, size_t count);

/* Returns count zeroed items owned by the reader's ctx; NULL for none. */
void *reader_array(reader_t *reader, size_t size, size_t count);

/* Returns a hash of keys and values; positions and comments do not count. */
uint64_t toml_fingerprint(const toml_node_t *node, uint64_t seed);

#endif
