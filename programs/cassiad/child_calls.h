/*
 * Child calls of the requests that run at this host's upstream, listed by their
 * parent. A child call is itself an entry request.
 */
#ifndef CASSIA_CHILD_CALLS_H
#define CASSIA_CHILD_CALLS_H

#include "daemon.h"

/* Adds a child call to its parent. With the first one, time covered by child
 * calls starts to count. */
void child_calls_add(attempt_live_entry_t *parent, entry_request_t *child);

/* Removes a child call from its parent. With the last one, the time covered by
 * child calls is added to the parent's child_total_us. */
void child_calls_remove(attempt_live_entry_t *parent, entry_request_t *child);

/* Removes all child calls from a parent that ends, and aborts them if cancel is
 * set. */
void child_calls_detach(attempt_live_entry_t *parent, bool cancel);

#endif
