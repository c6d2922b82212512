/* Child calls of the running requests of this host's upstream. */
#ifndef CASSIA_CHILD_CALLS_H
#define CASSIA_CHILD_CALLS_H

#include "daemon.h"

/* Adds a child call to its parent. */
void children_add(attempt_live_entry_t *parent, entry_request_t *child);

/* Takes a child call out of its parent's list; with the last one the time that
 * child calls covered is added up. */
void children_remove(attempt_live_entry_t *parent, entry_request_t *child);

/* Separates all child calls from a parent that ends; with cancel they end
 * too. */
void children_detach(attempt_live_entry_t *parent, bool cancel);

#endif
