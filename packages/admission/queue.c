/*
 * The queue of requests. Child calls go first, because work has already been
 * done for their root request; then requests go by importance. Within one
 * importance, customers are served by weighted deficit round robin. The requests
 * of one customer that have an objective are ordered by it (objective_order).
 */
#include "admission_internal.h"

void queue_init(request_class_t *class)
{
	for (int rank = 0; rank < QUEUE_RANKS; rank++) {
		request_queue_t *queue = &class->queues[rank];

		queue->class = class;
		queue->tickets.next = &queue->tickets;
		queue->tickets.prev = &queue->tickets;
	}
}

int32_t queue_class_count(const request_class_t *class)
{
	return class->queues[QUEUE_CHILD].count +
	       class->queues[QUEUE_ROOT].count;
}

/* Returns the head of the circular list to which a queue belongs. */
static request_queue_t **ring_head(admission_t *admission,
				   const request_queue_t *queue)
{
	const request_class_t *class = queue->class;
	ptrdiff_t rank = queue - class->queues;

	return &admission->active_queues[class->importance][rank];
}

/* Adds a queue that is no longer empty to the end of its circular list. */
static void activate(admission_t *admission, request_queue_t *queue)
{
	request_queue_t **head = ring_head(admission, queue);

	queue->deficit = 0;
	if (!*head) {
		queue->next = queue;
		queue->prev = queue;
		*head = queue;
		return;
	}
	queue->next = *head;
	queue->prev = (*head)->prev;
	queue->prev->next = queue;
	(*head)->prev = queue;
}

/* Removes a queue that has become empty from its circular list. */
static void deactivate(admission_t *admission, request_queue_t *queue)
{
	request_queue_t **head = ring_head(admission, queue);

	if (*head == queue)
		*head = queue->next;
	if (*head == queue)
		*head = NULL;
	queue->next->prev = queue->prev;
	queue->prev->next = queue->next;
}

void queue_push(admission_t *admission, admission_ticket_t *ticket)
{
	request_queue_t *queue = ticket->queue;
	ticket_link_t *head = &queue->tickets;

	ticket_link_t *after = head->prev;

	while (after != head &&
	       ((admission_ticket_t *)after)->order_us > ticket->order_us)
		after = after->prev;
	ticket->link.next = after->next;
	ticket->link.prev = after;
	after->next->prev = &ticket->link;
	after->next = &ticket->link;
	if (!queue->count++)
		activate(admission, queue);
	admission->queued_by_importance[queue->class->importance]++;
	admission->queued++;
}

int32_t queue_position(const request_queue_t *queue, int64_t order_us)
{
	const ticket_link_t *link = queue->tickets.prev;
	int32_t position = queue->count;

	while (link != &queue->tickets &&
	       ((const admission_ticket_t *)link)->order_us > order_us) {
		link = link->prev;
		position--;
	}
	return position;
}

void queue_remove(admission_t *admission, admission_ticket_t *ticket)
{
	request_queue_t *queue = ticket->queue;

	ticket->link.prev->next = ticket->link.next;
	ticket->link.next->prev = ticket->link.prev;
	if (!--queue->count)
		deactivate(admission, queue);
	admission->queued_by_importance[queue->class->importance]--;
	admission->queued--;
}

/* Removes and returns the first request of the next queue in a circular list.
 * Each queue yields as many requests in a turn as its class has weight. */
static admission_ticket_t *pop_from_ring(admission_t *admission,
					 request_queue_t **head)
{
	request_queue_t *queue = *head;
	admission_ticket_t *ticket = (admission_ticket_t *)queue->tickets.next;

	if (queue->deficit <= 0)
		queue->deficit = queue->class->weight;
	queue->deficit--;
	if (queue->deficit <= 0)
		*head = queue->next;
	queue_remove(admission, ticket);
	return ticket;
}

admission_ticket_t *queue_pop(admission_t *admission)
{
	for (int rank = 0; rank < QUEUE_RANKS; rank++)
		for (int i = ADMISSION_IMPORTANCES - 1; i >= 0; i--)
			if (admission->active_queues[i][rank])
				return pop_from_ring(
					admission,
					&admission->active_queues[i][rank]);
	return NULL;
}

/* Returns the queue in a circular list with the most requests for its
 * weight. */
static request_queue_t *find_longest(request_queue_t *head)
{
	request_queue_t *best = head;

	for (request_queue_t *queue = head->next; queue != head;
	     queue = queue->next)
		if ((int64_t)queue->count * best->class->weight >
		    (int64_t)best->count * queue->class->weight)
			best = queue;
	return best;
}

/* Returns whether the queue incoming, with one more request, has at least as
 * many requests for its weight as the other. */
static bool would_be_longest(const request_queue_t *incoming,
			     const request_queue_t *other)
{
	return (int64_t)(incoming->count + 1) * other->class->weight >=
	       (int64_t)other->count * incoming->class->weight;
}

/* Chooses the lowest importance, then root requests before child calls, then
 * the longest queue for its weight, and the newest request in it. */
admission_ticket_t *queue_victim(admission_t *admission,
				 const request_queue_t *incoming)
{
	int32_t importance = incoming->class->importance;
	ptrdiff_t incoming_rank = incoming - incoming->class->queues;

	for (int32_t i = 0; i <= importance; i++)
		for (int rank = QUEUE_RANKS - 1; rank >= 0; rank--) {
			request_queue_t *head =
				admission->active_queues[i][rank];
			request_queue_t *longest;

			if (i == importance && rank < incoming_rank)
				return NULL;
			if (!head)
				continue;
			longest = find_longest(head);
			if (i == importance && rank == incoming_rank &&
			    would_be_longest(incoming, longest))
				return NULL;
			return (admission_ticket_t *)longest->tickets.prev;
		}
	return NULL;
}
