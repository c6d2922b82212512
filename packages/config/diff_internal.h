/* Functions that compare rows of any kind and record the differences. */
#ifndef CASSIA_DIFF_INTERNAL_H
#define CASSIA_DIFF_INTERNAL_H

#include "cassia/diff.h"
#include "document_internal.h"

/* All rows of one kind in a document. Their structure begins with id and
 * name. */
typedef struct diff_rows {
	const row_schema_t *schema;
	const void *rows; /* array of schema->size bytes each */
	size_t count;
} diff_rows_t;

/* Adds the changes between two lists of rows of the same kind: rows added,
 * rows removed and values changed. */
void diff_add_rows(config_diff_t *diff, const diff_rows_t *from,
		   const diff_rows_t *to);

/* Adds one change; see config_change_t. The texts are copied. When out of
 * memory, all changes are dropped. */
void diff_add(config_diff_t *diff, cas_str_t row, const char *key,
	      cas_str_t before, cas_str_t after);

/* Adds a warning; arguments as for printf. */
void diff_warn(config_diff_t *diff, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the value of a field of a row as text, owned by ctx or, for text
 * fields, by the row. Nested nodes and endpoints give the empty text. */
cas_str_t diff_format_value(TALLOC_CTX *ctx, const field_t *field,
			    const void *row);

/* Schema of [[host]] rows, read into roster_host_t. */
extern const row_schema_t roster_host_schema;

#endif
