/*
 * The queue: child calls first, since their root request has cost work elsewhere;
 * then by importance, and inside one weighted deficit round robin by customer.
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

static request_queue_t **head_of(admission_t *admission,
				 const request_queue_t *queue)
{
	const request_class_t *class = queue->class;
	ptrdiff_t rank = queue - class->queues;

	return &admission->active[class->importance][rank];
}

static void activate(admission_t *admission, request_queue_t *queue)
{
	request_queue_t **head = head_of(admission, queue);

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

static void deactivate(admission_t *admission, request_queue_t *queue)
{
	request_queue_t **head = head_of(admission, queue);

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

	ticket->link.next = head;
	ticket->link.prev = head->prev;
	head->prev->next = &ticket->link;
	head->prev = &ticket->link;
	if (!queue->count++)
		activate(admission, queue);
	admission->queued_at[queue->class->importance]++;
	admission->queued++;
}

void queue_remove(admission_t *admission, admission_ticket_t *ticket)
{
	request_queue_t *queue = ticket->queue;

	ticket->link.prev->next = ticket->link.next;
	ticket->link.next->prev = ticket->link.prev;
	if (!--queue->count)
		deactivate(admission, queue);
	admission->queued_at[queue->class->importance]--;
	admission->queued--;
}

static admission_ticket_t *pop_from(admission_t *admission,
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
			if (admission->active[i][rank])
				return pop_from(admission,
						&admission->active[i][rank]);
	return NULL;
}

/* Returns the longest queue for its weight in a ring. */
static request_queue_t *longest(request_queue_t *head)
{
	request_queue_t *best = head;

	for (request_queue_t *queue = head->next; queue != head;
	     queue = queue->next)
		if ((int64_t)queue->count * best->class->weight >
		    (int64_t)best->count * queue->class->weight)
			best = queue;
	return best;
}

/* Returns whether the newcomer's queue has more for its weight, with the
 * newcomer, than the other. */
static bool has_least_claim(const request_queue_t *newcomer,
			    const request_queue_t *other)
{
	return (int64_t)(newcomer->count + 1) * other->class->weight >=
	       (int64_t)other->count * newcomer->class->weight;
}

admission_ticket_t *queue_victim(admission_t *admission,
				 const request_queue_t *newcomer)
{
	int32_t importance = newcomer->class->importance;
	ptrdiff_t newcomer_rank = newcomer - newcomer->class->queues;

	for (int32_t i = 0; i <= importance; i++)
		for (int rank = QUEUE_RANKS - 1; rank >= 0; rank--) {
			request_queue_t *head = admission->active[i][rank];
			request_queue_t *from;

			if (i == importance && rank < newcomer_rank)
				return NULL;
			if (!head)
				continue;
			from = longest(head);
			if (i == importance && rank == newcomer_rank &&
			    has_least_claim(newcomer, from))
				return NULL;
			return (admission_ticket_t *)from->tickets.prev;
		}
	return NULL;
}
