/*
 * The queue: highest importance first, and weighted deficit round robin by
 * customer within one importance.
 */
#include "admission_internal.h"

static void activate(admission_t *admission, request_class_t *class)
{
	request_class_t **head = &admission->active[class->importance];

	class->deficit = 0;
	if (!*head) {
		class->next_active = class;
		class->prev_active = class;
		*head = class;
		return;
	}
	class->next_active = *head;
	class->prev_active = (*head)->prev_active;
	class->prev_active->next_active = class;
	(*head)->prev_active = class;
}

static void deactivate(admission_t *admission, request_class_t *class)
{
	request_class_t **head = &admission->active[class->importance];

	if (*head == class)
		*head = class->next_active;
	if (*head == class)
		*head = NULL;
	class->next_active->prev_active = class->prev_active;
	class->prev_active->next_active = class->next_active;
}

void queue_push(admission_t *admission, admission_ticket_t *ticket)
{
	request_class_t *class = ticket->class;
	ticket_link_t *head = &class->queue;

	ticket->link.next = head;
	ticket->link.prev = head->prev;
	head->prev->next = &ticket->link;
	head->prev = &ticket->link;
	if (!class->queued++)
		activate(admission, class);
	admission->queued_at[class->importance]++;
	admission->queued++;
}

void queue_remove(admission_t *admission, admission_ticket_t *ticket)
{
	request_class_t *class = ticket->class;

	ticket->link.prev->next = ticket->link.next;
	ticket->link.next->prev = ticket->link.prev;
	if (!--class->queued)
		deactivate(admission, class);
	admission->queued_at[class->importance]--;
	admission->queued--;
}

static admission_ticket_t *pop_from(admission_t *admission,
				    request_class_t **head)
{
	request_class_t *class = *head;
	admission_ticket_t *ticket = (admission_ticket_t *)class->queue.next;

	if (class->deficit <= 0)
		class->deficit = class->weight;
	class->deficit--;
	if (class->deficit <= 0)
		*head = class->next_active;
	queue_remove(admission, ticket);
	return ticket;
}

admission_ticket_t *queue_pop(admission_t *admission)
{
	for (int i = ADMISSION_IMPORTANCES - 1; i >= 0; i--)
		if (admission->active[i])
			return pop_from(admission, &admission->active[i]);
	return NULL;
}

/* Returns the class with the longest queue for its weight. */
static request_class_t *longest(request_class_t *head)
{
	request_class_t *best = head;

	for (request_class_t *class = head->next_active; class != head;
	     class = class->next_active)
		if ((int64_t) class->queued * best->weight >
		    (int64_t)best->queued * class->weight)
			best = class;
	return best;
}

admission_ticket_t *queue_victim(admission_t *admission,
				 const request_class_t *class)
{
	for (int32_t i = 0; i <= class->importance; i++) {
		request_class_t *from;

		if (!admission->active[i])
			continue;
		from = longest(admission->active[i]);
		if (i == class->importance &&
		    (int64_t)(class->queued + 1) * from->weight >=
			    (int64_t)from->queued * class->weight)
			return NULL;
		return (admission_ticket_t *)from->queue.prev;
	}
	return NULL;
}
