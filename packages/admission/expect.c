/* Expected waits, from the length of the queues and the rate at which the
 * upstream serves. */
#include "admission_internal.h"
#include "cassia/return_time.h"

/* Part of the limit that is taken to remain for a class at least, whatever more
 * important classes use. */
#define REMAINING_MIN 0.1

static int64_t ring_count(const request_queue_t *head)
{
	const request_queue_t *queue = head;
	int64_t count = 0;

	if (!head)
		return 0;
	do {
		count += queue->count;
		queue = queue->next;
	} while (queue != head);
	return count;
}

/* Returns how many requests of other queues of the same importance and rank the
 * round robin serves before the one at a position of its queue. */
static double count_in_turns(const request_queue_t *head,
			     const request_queue_t *own, int32_t position)
{
	const request_queue_t *queue = head;
	double turns = (double)(position + 1) / own->class->weight;
	double count = 0;

	if (!head)
		return 0;
	do {
		double share = turns * queue->class->weight;

		if (queue != own)
			count += share < queue->count ? share : queue->count;
		queue = queue->next;
	} while (queue != head);
	return count;
}

/* Returns how many requests are served before the one at a position of a
 * queue. */
static double count_before(const admission_t *admission,
			   const request_queue_t *queue, int32_t position)
{
	int32_t importance = queue->class->importance;
	ptrdiff_t rank = queue - queue->class->queues;
	double count = position;

	for (int r = 0; r <= rank; r++)
		for (int i = ADMISSION_IMPORTANCES - 1;
		     i >= (r < rank ? 0 : importance + 1); i--)
			count += (double)ring_count(
				admission->active_queues[i][r]);
	return count +
	       count_in_turns(admission->active_queues[importance][rank], queue,
			      position);
}

int64_t expect_wait_us(const admission_t *admission,
		       const request_queue_t *queue, int32_t position)
{
	const limit_t *limit = &admission->limit;
	double slots = (int)limit->limit; /* as in limit_allows */
	double remaining = slots - queue->class->above;

	if (remaining < slots * REMAINING_MIN)
		remaining = slots * REMAINING_MIN;
	return (int64_t)((count_before(admission, queue, position) + 1) *
			 limit->mean_total_us / remaining);
}

int64_t admission_retry_after_us(const admission_t *admission,
				 int32_t importance, cas_id_t customer)
{
	const request_class_t *class =
		demand_find_class(admission, importance, customer);
	const request_queue_t *queue;
	int64_t wait_us;
	int64_t shed_us = 0;

	if (!class)
		return return_time_when_shed(1);
	queue = &class->queues[QUEUE_ROOT];
	wait_us = expect_wait_us(admission, queue, queue->count);
	if (class->fraction < 1)
		shed_us = return_time_when_shed(class->fraction);
	return wait_us > shed_us ? wait_us : shed_us;
}
