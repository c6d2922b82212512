/* Admission: puts limit, queue and thresholds together for one upstream. */
#include "admission_internal.h"

#define TICK_US (10 * CAS_USEC_PER_MSEC)
#define UPDATE_US (100 * CAS_USEC_PER_MSEC)
#define QUEUE_TIME_MIN_US (50 * CAS_USEC_PER_MSEC)
#define QUEUE_TIME_LATENCIES 4
#define QUEUE_LENGTH_MIN 32
/* A child call is dropped only when less than this part of the typical time is
 * left. */
#define CHILD_TYPICAL_PART 4
/* Upstreams become slower when their last slots are in use. */
#define SLOTS_PART 0.95

const char *admission_reason_name(admission_reason_t reason)
{
	static const char *const names[] = {
		[ADMISSION_REASON_NONE] = "none",
		[ADMISSION_REASON_SHED] = "shed",
		[ADMISSION_REASON_DEADLINE] = "deadline",
		[ADMISSION_REASON_QUEUE_FULL] = "queue-full",
		[ADMISSION_REASON_QUEUE_TIME] = "queue-time",
		[ADMISSION_REASON_MEMORY] = "memory",
		[ADMISSION_REASON_STOPPED] = "stopped",
	};

	return names[reason];
}

admission_t *admission_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			      cas_rng_t *rng, const admission_ops_t *ops,
			      void *private)
{
	admission_t *admission = talloc_zero(ctx, admission_t);

	if (!admission)
		return NULL;
	admission->clock = clock;
	admission->rng = rng;
	admission->ops = *ops;
	admission->private = private;
	admission->updated_us = cas_clock_now(clock);
	limit_init(&admission->limit, admission->updated_us);
	if (demand_init(admission)) {
		talloc_free(admission);
		return NULL;
	}
	return admission;
}

int64_t admission_typical_us(admission_t *admission, cas_id_t kind)
{
	return latency_typical(latency_kind(&admission->limit.latency, kind),
			       cas_clock_now(admission->clock));
}

static bool is_child_queue(const request_queue_t *queue)
{
	return queue == &queue->class->queues[QUEUE_CHILD];
}

/* Work that has led to a child call is lost with it, and the typical time is
 * behind when an upstream becomes faster, so a child call is given the benefit
 * of the doubt. */
static bool too_late(const latency_kind_t *kind, const request_queue_t *queue,
		     int64_t now_us, int64_t deadline_us)
{
	int64_t needed_us = latency_typical(kind, now_us);

	if (is_child_queue(queue))
		needed_us /= CHILD_TYPICAL_PART;
	return deadline_us - now_us <= needed_us;
}

static void start(admission_t *admission, admission_ticket_t *ticket,
		  int64_t now_us)
{
	ticket->running = true;
	ticket->since_us = now_us;
	ticket->mark = limit_start(&admission->limit, now_us);
}

/* Drops a request that is off the queue. */
static void drop_popped(admission_t *admission, admission_ticket_t *ticket,
			admission_reason_t reason)
{
	void *private = ticket->private;

	talloc_free(ticket);
	admission->ops.drop(admission->private, private, reason);
}

static void drop(admission_t *admission, admission_ticket_t *ticket,
		 admission_reason_t reason)
{
	queue_remove(admission, ticket);
	drop_popped(admission, ticket, reason);
}

/* Starts queued requests while the limit allows it. A callback that ends up
 * here again only returns, because the outer loop goes on. */
static void dispatch(admission_t *admission)
{
	if (admission->dispatching)
		return;
	admission->dispatching = true;
	while (admission->queued && limit_allows(&admission->limit)) {
		int64_t now_us = cas_clock_now(admission->clock);
		admission_ticket_t *ticket = queue_pop(admission);

		if (too_late(ticket->kind, ticket->queue, now_us,
			     ticket->deadline_us)) {
			drop_popped(admission, ticket,
				    ADMISSION_REASON_DEADLINE);
			continue;
		}
		start(admission, ticket, now_us);
		admission->ops.run(admission->private, ticket, ticket->private);
	}
	admission->dispatching = false;
}

void admission_set_slots(admission_t *admission, int32_t slots)
{
	double limit = slots * SLOTS_PART;

	limit_fix(&admission->limit, slots && limit < 1 ? 1 : limit);
	dispatch(admission);
}

bool admission_has_free_slot(const admission_t *admission)
{
	return admission->limit.fixed > 0 && !admission->queued &&
	       limit_allows(&admission->limit);
}

static int32_t queue_length_max(const admission_t *admission)
{
	int32_t limit = (int32_t)admission->limit.limit;

	return limit > QUEUE_LENGTH_MIN ? limit : QUEUE_LENGTH_MIN;
}

/* Makes room for one more in the queue. Returns false when there is none. */
static bool make_room(admission_t *admission, const request_queue_t *newcomer)
{
	admission_ticket_t *victim;

	if (admission->queued < queue_length_max(admission))
		return true;
	victim = queue_victim(admission, newcomer);
	if (!victim)
		return false;
	drop(admission, victim, ADMISSION_REASON_QUEUE_FULL);
	return true;
}

static request_queue_t *queue_for(const admission_request_t *request,
				  request_class_t *class)
{
	return &class->queues[request->child ? QUEUE_CHILD : QUEUE_ROOT];
}

static admission_ticket_t *ticket_create(admission_t *admission,
					 const admission_request_t *request,
					 request_class_t *class,
					 latency_kind_t *kind)
{
	admission_ticket_t *ticket = talloc_zero(admission, admission_ticket_t);

	if (!ticket)
		return NULL;
	ticket->admission = admission;
	ticket->queue = queue_for(request, class);
	ticket->kind = kind;
	ticket->deadline_us = request->deadline_us;
	ticket->since_us = cas_clock_now(admission->clock);
	ticket->private = request->private;
	return ticket;
}

static admission_verdict_t reject(admission_reason_t *out,
				  admission_reason_t reason)
{
	*out = reason;
	return ADMISSION_REJECTED;
}

static request_class_t *note_arrival(admission_t *admission,
				     const admission_request_t *request,
				     const latency_kind_t *kind)
{
	request_class_t *class = demand_class_add(
		admission, request->importance, request->customer);

	if (!class)
		return NULL;
	class->weight = request->weight > 0 ? request->weight : 1;
	class->used_us = cas_clock_now(admission->clock);
	admission->arrivals++;
	demand_arrived(class, request, latency_held(kind));
	return class;
}

static double fraction_for(const admission_request_t *request,
			   const request_class_t *class)
{
	return request->child ? demand_highest_fraction(class)
			      : class->fraction;
}

admission_verdict_t admission_offer(admission_t *admission,
				    const admission_request_t *request,
				    admission_ticket_t **ticket,
				    admission_reason_t *reason)
{
	int64_t now_us = cas_clock_now(admission->clock);
	latency_kind_t *kind =
		latency_kind(&admission->limit.latency, request->kind);
	request_class_t *class = note_arrival(admission, request, kind);

	bool at_once;

	*ticket = NULL;
	*reason = ADMISSION_REASON_NONE;
	if (!class)
		return reject(reason, ADMISSION_REASON_MEMORY);
	if (too_late(kind, queue_for(request, class), now_us,
		     request->deadline_us))
		return reject(reason, ADMISSION_REASON_DEADLINE);
	if (!draw_below(request->draw, fraction_for(request, class)))
		return reject(reason, ADMISSION_REASON_SHED);
	dispatch(admission);
	at_once = !admission->queued && limit_allows(&admission->limit);
	if (!at_once && !make_room(admission, queue_for(request, class)))
		return reject(reason, ADMISSION_REASON_QUEUE_FULL);
	*ticket = ticket_create(admission, request, class, kind);
	if (!*ticket)
		return reject(reason, ADMISSION_REASON_MEMORY);
	if (at_once) {
		start(admission, *ticket, now_us);
		return ADMISSION_RUN;
	}
	queue_push(admission, *ticket);
	return ADMISSION_QUEUED;
}

static limit_end_t limit_end_of(admission_result_t result)
{
	if (result == ADMISSION_OK)
		return LIMIT_END_OK;
	return result == ADMISSION_FAILED ? LIMIT_END_FAILED : LIMIT_END_OTHER;
}

void admission_finish(admission_t *admission, admission_ticket_t *ticket,
		      admission_result_t result)
{
	int64_t now_us = cas_clock_now(admission->clock);
	limit_held_t held = {
		.total_us = now_us - ticket->since_us,
		.child_us = ticket->child_us,
		.mark = ticket->mark,
	};

	limit_finish(&admission->limit, ticket->kind, now_us, &held,
		     limit_end_of(result));
	if (result == ADMISSION_SHED_BY_UPSTREAM)
		limit_shed(&admission->limit, now_us);
	talloc_free(ticket);
	dispatch(admission);
}

void admission_child_time(admission_ticket_t *ticket, int64_t child_us)
{
	if (child_us > 0)
		ticket->child_us += child_us;
}

void admission_cancel(admission_t *admission, admission_ticket_t *ticket)
{
	if (ticket->running) {
		admission_finish(admission, ticket, ADMISSION_CANCELLED);
		return;
	}
	queue_remove(admission, ticket);
	talloc_free(ticket);
}

static int64_t queue_time_max(const admission_t *admission)
{
	int64_t time_us =
		(int64_t)admission->limit.typical_us * QUEUE_TIME_LATENCIES;

	return time_us > QUEUE_TIME_MIN_US ? time_us : QUEUE_TIME_MIN_US;
}

static admission_reason_t expired(const admission_t *admission,
				  const admission_ticket_t *ticket,
				  int64_t now_us)
{
	if (too_late(ticket->kind, ticket->queue, now_us, ticket->deadline_us))
		return ADMISSION_REASON_DEADLINE;
	/* A child call waits as long as it can: the work that led to it is lost
	 * otherwise. */
	if (!is_child_queue(ticket->queue) &&
	    now_us - ticket->since_us > queue_time_max(admission))
		return ADMISSION_REASON_QUEUE_TIME;
	return ADMISSION_REASON_NONE;
}

/* Returns a request from the ring of queues that must go, or NULL. */
static admission_ticket_t *find_expired(const admission_t *admission,
					request_queue_t *head, int64_t now_us,
					admission_reason_t *reason)
{
	request_queue_t *queue = head;

	if (!head)
		return NULL;
	do {
		for (ticket_link_t *link = queue->tickets.next;
		     link != &queue->tickets; link = link->next) {
			admission_ticket_t *ticket = (void *)link;

			*reason = expired(admission, ticket, now_us);
			if (*reason != ADMISSION_REASON_NONE)
				return ticket;
		}
		queue = queue->next;
	} while (queue != head);
	return NULL;
}

/* Restarts the search after each callback, since that may change the queue. */
static void drop_expired(admission_t *admission, int64_t now_us)
{
	for (int i = 0; i < ADMISSION_IMPORTANCES * QUEUE_RANKS; i++) {
		request_queue_t **head =
			&admission->active[i / QUEUE_RANKS][i % QUEUE_RANKS];
		admission_reason_t reason;
		admission_ticket_t *ticket;

		while ((ticket = find_expired(admission, *head, now_us,
					      &reason)))
			drop(admission, ticket, reason);
	}
}

void admission_tick(admission_t *admission)
{
	int64_t now_us = cas_clock_now(admission->clock);

	limit_tick(&admission->limit, now_us);
	drop_expired(admission, now_us);
	if (now_us - admission->updated_us >= UPDATE_US)
		demand_update(admission, now_us);
	dispatch(admission);
}

int64_t admission_next_due(const admission_t *admission)
{
	int64_t now_us = cas_clock_now(admission->clock);

	if (admission->queued || admission->limit.inflight)
		return now_us + TICK_US;
	return admission->updated_us + UPDATE_US;
}

void admission_stop_queue(admission_t *admission)
{
	while (admission->queued)
		drop_popped(admission, queue_pop(admission),
			    ADMISSION_REASON_STOPPED);
}

double admission_threshold(const admission_t *admission, int32_t importance,
			   cas_id_t customer)
{
	const request_class_t *class =
		demand_class(admission, importance, customer);

	return class ? class->fraction : 1;
}

void admission_note_early(admission_t *admission, int32_t importance,
			  cas_id_t customer, uint64_t count)
{
	request_class_t *class =
		demand_class_add(admission, importance, customer);

	if (!class)
		return;
	class->early_us += (double)count * class->held_us;
	class->used_us = cas_clock_now(admission->clock);
}

int32_t admission_limit(const admission_t *admission)
{
	return (int32_t)admission->limit.limit;
}

int32_t admission_inflight(const admission_t *admission)
{
	return admission->limit.inflight;
}

int32_t admission_queued(const admission_t *admission)
{
	return admission->queued;
}

int32_t admission_busy_permille(const admission_t *admission)
{
	int64_t work = admission_inflight(admission) + admission->queued;

	return (int32_t)(work * 1000 / admission_limit(admission));
}
