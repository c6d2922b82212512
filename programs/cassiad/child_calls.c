/* Lists of child calls; the private pointer of a parent is the first one. */
#include "child_calls.h"

#include "entry.h"

void child_calls_add(attempt_live_entry_t *parent, entry_request_t *child)
{
	entry_request_t *first = parent->private;

	if (!first)
		parent->child_period_started_us =
			cas_clock_now(child->daemon->clock);
	child->parent = parent;
	child->next_child = first;
	if (first)
		first->prev_child = child;
	parent->private = child;
}

void child_calls_remove(attempt_live_entry_t *parent, entry_request_t *child)
{
	if (child->next_child)
		child->next_child->prev_child = child->prev_child;
	if (child->prev_child)
		child->prev_child->next_child = child->next_child;
	else
		parent->private = child->next_child;
	child->next_child = NULL;
	child->prev_child = NULL;
	if (!parent->private)
		parent->child_total_us += cas_clock_now(child->daemon->clock) -
					  parent->child_period_started_us;
}

void child_calls_detach(attempt_live_entry_t *parent, bool cancel)
{
	while (parent->private) {
		entry_request_t *child = parent->private;

		child_calls_remove(parent, child);
		child->parent = NULL;
		if (cancel)
			http_exchange_abort(child->exchange);
	}
}
