/* What tables and host lists have in common: revision, rows and the end. */
#ifndef CASSIA_DOCUMENT_INTERNAL_H
#define CASSIA_DOCUMENT_INTERNAL_H

#include "cassia/roster.h"
#include "cassia/table.h"
#include "schema_internal.h"

/*
 * Checks that the [end] table is there, that it is the last thing in the
 * document, and that its row count, when given, is right.
 */
void document_check_end(reader_t *reader, const toml_node_t *root);

/* A kind of row: [[kind]], read by fields into items of size bytes. */
typedef struct row_kind {
	const char *kind;
	const field_t *fields;
	size_t field_count;
	size_t size;
} row_kind_t;

/* Returns the number of rows; 0 when node is NULL or no list of rows. */
size_t document_row_count(reader_t *reader, const toml_node_t *node);

/* Reports an empty list. */
void document_need_rows(reader_t *reader, const toml_node_t *node);

/* Reads one row into *out and returns its name for faults. */
cas_str_t document_read_row(reader_t *reader, const row_kind_t *kind,
			    const toml_node_t *row, size_t index, void *out);

/* Reads the [[host]] rows below root. table is NULL without a table. */
void document_read_hosts(reader_t *reader, const toml_node_t *root,
			 const table_t *table, roster_t *roster);

#endif
