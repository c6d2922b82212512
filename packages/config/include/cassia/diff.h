/* What changes from one table or host list to the next. */
#ifndef CASSIA_DIFF_H
#define CASSIA_DIFF_H

#include "cassia/roster.h"
#include "cassia/table.h"

typedef struct config_change {
	cas_str_t row; /* such as: customer "a" */
	cas_str_t key; /* empty when the whole row is new or gone */
	cas_str_t before; /* empty for a new row or value */
	cas_str_t after; /* empty for a removed row or value */
} config_change_t;

typedef struct config_diff {
	config_change_t *changes;
	size_t change_count;
	cas_str_t *warnings; /* steps that the operators should avoid */
	size_t warning_count;
} config_diff_t;

/* Returns the changes (new reference, owned by ctx), or NULL when memory is
 * short. */
config_diff_t *table_diff(TALLOC_CTX *ctx, const table_t *from,
			  const table_t *to);

/* The same for host lists. */
config_diff_t *roster_diff(TALLOC_CTX *ctx, const roster_t *from,
			   const roster_t *to);

#endif
