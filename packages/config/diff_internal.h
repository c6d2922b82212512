/* Building blocks of the comparison of two documents. */
#ifndef CASSIA_DIFF_INTERNAL_H
#define CASSIA_DIFF_INTERNAL_H

#include "cassia/diff.h"
#include "document_internal.h"

/* Rows of one kind, each beginning with its id and its name. */
typedef struct diff_rows {
	const row_kind_t *kind;
	const void *rows;
	size_t count;
} diff_rows_t;

/* Adds the rows that are new, gone or changed. */
void diff_add_rows(config_diff_t *diff, const diff_rows_t *from,
		   const diff_rows_t *to);

/* Adds one change; the texts are copied. */
void diff_add(config_diff_t *diff, cas_str_t row, const char *key,
	      cas_str_t before, cas_str_t after);

void diff_warn(config_diff_t *diff, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the text form of a value (owned by ctx). */
cas_str_t diff_print_value(TALLOC_CTX *ctx, const field_t *field,
			   const void *row);

extern const row_kind_t roster_host_kind;

#endif
