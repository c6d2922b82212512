/*
 * Reads TOML tables into C structures according to an array of field
 * descriptions, and reports every fault with its position.
 */
#ifndef CASSIA_SCHEMA_INTERNAL_H
#define CASSIA_SCHEMA_INTERNAL_H

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/name_list.h"
#include "toml_internal.h"

/* Kind of a field: the C type of the structure member and the accepted values.
 * min and max are those of field_t. */
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
	FIELD_NAMES, /* name_list_t of up to max different names */
	FIELD_NODE, /* const toml_node_t *: read by the caller */
} field_kind_t;

/* A key of a TOML table and the structure member that its value goes to. */
typedef struct field {
	const char *key;
	field_kind_t kind;
	bool required;
	size_t offset; /* of the member, in bytes */
	int64_t min;
	int64_t max;
} field_t;

/* State of reading one document. */
typedef struct reader {
	TALLOC_CTX *ctx; /* owner of the values read */
	config_faults_t *faults; /* faults are added here */
	int rc; /* CONFIG_ENOMEM once an allocation failed, else 0 */
} reader_t;

/* Entry of a list in which every id must be unique, such as the names of the
 * rows of one kind. */
typedef struct unique_entry {
	cas_id_t id; /* 0: not compared */
	cas_str_t row_name; /* for fault messages */
	const toml_node_t *node; /* position of the row or value */
} unique_entry_t;

/* Longest value of FIELD_NAME. */
#define NAME_MAX_BYTES 64

/* Parses text of at most CONFIG_DOCUMENT_MAX bytes into a tree owned by ctx.
 * Returns NULL after a fault or when out of memory. */
const toml_node_t *reader_parse(reader_t *reader, TALLOC_CTX *ctx,
				cas_str_t text);

/* Reads the keys of a table into *out, the structure that fields describe.
 * Members of absent keys are left unchanged. Reports unknown keys, invalid
 * values and missing required keys. */
void reader_read_fields(reader_t *reader, const toml_node_t *table,
			cas_str_t row_name, const field_t *fields, size_t count,
			void *out);

/* Returns the name of a row for fault messages, such as: customer "a", or with
 * the number of the row, index + 1, if it has no valid name. Owned by the
 * faults of the reader. */
cas_str_t reader_row_name(reader_t *reader, const char *kind,
			  const toml_node_t *row, size_t index);

/* Reports a fault at the position of node, or of row if node is NULL. Both may
 * be NULL for a fault without a position. Arguments as for printf follow. */
void reader_add_fault(reader_t *reader, const toml_node_t *node,
		      const toml_node_t *row, cas_str_t row_name,
		      const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* Returns whether node is an array of tables; reports a fault if not. */
bool reader_check_rows(reader_t *reader, const toml_node_t *node);

/* Reports every entry whose id occurred before. description says in the message
 * what must be unique, such as "the name". Sorts the array by id. */
void reader_check_unique(reader_t *reader, unique_entry_t *entries,
			 size_t count, const char *description);

/* Returns the index of the candidate with the smallest edit distance to text,
 * or -1 if there is none. Candidates longer than 32 bytes are ignored. */
int nearest_find(cas_str_t text, const char *const *candidates, size_t count);

/* Returns an array of count zeroed items of size bytes, owned by the reader's
 * ctx. Returns NULL if count is 0, or when out of memory, and then sets the
 * reader's rc. */
void *reader_alloc_array(reader_t *reader, size_t size, size_t count);

/* Returns a hash of the keys and values below node, starting from seed. Their
 * positions in the text and comments do not count. */
uint64_t toml_fingerprint(const toml_node_t *node, uint64_t seed);

#endif
