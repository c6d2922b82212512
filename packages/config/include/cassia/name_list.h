/* A list of names in a configuration document, with the id of each. */
#ifndef CASSIA_NAME_LIST_H
#define CASSIA_NAME_LIST_H

#include <stdbool.h>
#include <stddef.h>

#include "cassia/hash.h"
#include "cassia/str.h"

/* In the order of the document. Both arrays have count items. */
typedef struct name_list {
	cas_str_t *names;
	cas_id_t *ids;
	size_t count;
} name_list_t;

/* Returns whether the list has the name with this id. */
static inline bool name_list_has(const name_list_t *list, cas_id_t id)
{
	for (size_t i = 0; i < list->count; i++)
		if (list->ids[i] == id)
			return true;
	return false;
}

/* Returns whether text may be a name: 1 to 64 letters, digits, '.', '_' or
 * '-'. */
bool config_name_is_valid(cas_str_t text);

#endif
