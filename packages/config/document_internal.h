/* Functions for both tables and host lists: rows and the [end] section. */
#ifndef CASSIA_DOCUMENT_INTERNAL_H
#define CASSIA_DOCUMENT_INTERNAL_H

#include "cassia/roster.h"
#include "cassia/table.h"
#include "schema_internal.h"

/*
 * Checks that the document has an [end] section, that nothing follows it, and
 * that its number of rows, if given, is correct. Without it, a truncated
 * document could pass as complete.
 */
void document_check_end(reader_t *reader, const toml_node_t *root);

/*
 * Describes the rows of one kind, [[key]], and the structure they are kept in.
 * A row may be read into a larger structure that begins with the kept one;
 * fields with an offset of size or more are needed only while reading.
 */
typedef struct row_schema {
	const char *key;
	const field_t *fields;
	size_t field_count;
	size_t size; /* of the kept structure, in bytes */
} row_schema_t;

/* Returns the number of rows below node; 0 if node is NULL or not a list of
 * rows, which is reported. */
size_t document_row_count(reader_t *reader, const toml_node_t *node);

/* Reports a fault if node is an empty list. */
void document_require_rows(reader_t *reader, const toml_node_t *node);

/* Reads one row into *out and returns its name for fault messages, see
 * reader_row_name. index counts from 0. */
cas_str_t document_read_row(reader_t *reader, const row_schema_t *schema,
			    const toml_node_t *row, size_t index, void *out);

/* Reads the [[host]] rows below root into roster. If table is not NULL, the
 * services and data centres of the hosts must be in it. */
void document_read_hosts(reader_t *reader, const toml_node_t *root,
			 const table_t *table, roster_t *roster);

#endif
