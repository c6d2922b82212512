/* Compares two revisions of a table or a host list, for display. */
#ifndef CASSIA_DIFF_H
#define CASSIA_DIFF_H

#include "cassia/roster.h"
#include "cassia/table.h"

/* One changed value, or one added or removed row. */
typedef struct config_change {
	cas_str_t row; /* such as: customer "a"; empty at the top level */
	cas_str_t key; /* empty if the whole row was added or removed */
	cas_str_t before; /* old value; empty for a new row or value */
	cas_str_t after; /* new value; empty for a removed row or value */
} config_change_t;

/* An added or removed row has the text "row" as its after or before value. */
typedef struct config_diff {
	config_change_t *changes;
	size_t change_count;
	cas_str_t *warnings; /* changes that are unsafe or will be refused */
	size_t warning_count;
} config_diff_t;

/* Returns the changes from one table to another (new reference, owned by ctx),
 * or NULL when out of memory. */
config_diff_t *table_diff(TALLOC_CTX *ctx, const table_t *from,
			  const table_t *to);

/* As table_diff, for host lists. */
config_diff_t *roster_diff(TALLOC_CTX *ctx, const roster_t *from,
			   const roster_t *to);

#endif
