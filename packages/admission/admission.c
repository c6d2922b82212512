/*
 * The admission controller of one upstream: decides on requests with the
 * concurrency limit, the queue and the admitted fractions.
 */
#include "admission_internal.h"

#include "cassia/draw.h"
#include "cassia/number.h"

#define TICK_US (10 * CAS_USEC_PER_MSEC)
#define DEMAND_UPDATE_US (100 * CAS_USEC_PER_MSEC)
/* The maximum queue time is this, or the mean latency times QUEUE_TIME_FACTOR
 * if that is longer. */
#define QUEUE_TIME_MIN_US (50 * CAS_USEC_PER_MSEC)
#define QUEUE_TIME_FACTOR 4
/* The maximum queue length is this, or the limit if that is larger. */
#define QUEUE_LENGTH_MIN 32
/* A child call is dropped only when the time left is at most the typical time
 * divided by this. */
#define CHILD_TYPICAL_DIVISOR 4
/* Longest wait of a root request at a stated rate. */
#define RATE_WAIT_MAX_US (150 * CAS_USEC_PER_MSEC)
/* Share of a known number of slots that is used as the limit. Upstreams become
 * slower when their last slots are in use. */
#define USABLE_SLOT_SHARE 0.95

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
		[ADMISSION_REASON_WARMING_UP] = "warming-up",
		[ADMISSION_REASON_LATE] = "late",
		[ADMISSION_REASON_RATE] = "rate",
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
	admission->demand_updated_us = cas_clock_now(clock);
	limit_init(&admission->limit, admission->demand_updated_us);
	warm_up_init(&admission->warm_up, admission->demand_updated_us);
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

/* Returns whether a request is expected to miss its deadline if it is started
 * now. A child call needs less time left: the work of its parent is lost with
 * it, and the typical time is too high for a while after an upstream has become
 * faster. */
static bool misses_deadline(const latency_kind_t *kind,
			    const request_queue_t *queue, int64_t now_us,
			    int64_t deadline_us)
{
	int64_t needed_us = latency_typical(kind, now_us);

	if (is_child_queue(queue))
		needed_us /= CHILD_TYPICAL_DIVISOR;
	return deadline_us - now_us <= needed_us;
}

static void start_request(admission_t *admission, admission_ticket_t *ticket,
			  int64_t now_us)
{
	ticket->running = true;
	ticket->state_since_us = now_us;
	ticket->probe_number = limit_start(&admission->limit, now_us);
	warm_up_start(&admission->warm_up, now_us);
	rate_limit_record(&admission->rate, now_us);
}

/* Drops a request that was already removed from the queue. */
static void drop_dequeued(admission_t *admission, admission_ticket_t *ticket,
			  admission_reason_t reason)
{
	void *private = ticket->private;

	recent_load_refusal(&admission->recent,
			    cas_clock_now(admission->clock));
	talloc_free(ticket);
	admission->ops.drop(admission->private, private, reason);
}

static void drop_queued(admission_t *admission, admission_ticket_t *ticket,
			admission_reason_t reason)
{
	queue_remove(admission, ticket);
	drop_dequeued(admission, ticket, reason);
}

/* Returns whether one more request may start now. */
static bool may_start(const admission_t *admission, int64_t now_us)
{
	return limit_allows(&admission->limit) &&
	       warm_up_allows(&admission->warm_up, now_us,
			      admission->limit.inflight) &&
	       rate_limit_next_start(&admission->rate) <= now_us;
}

/* Starts queued requests while the limit allows it. A recursive call from a
 * callback returns at once, because the outer loop continues. */
static void dispatch(admission_t *admission)
{
	if (admission->dispatching)
		return;
	admission->dispatching = true;
	while (admission->queued &&
	       may_start(admission, cas_clock_now(admission->clock))) {
		int64_t now_us = cas_clock_now(admission->clock);
		admission_ticket_t *ticket = queue_pop(admission);

		if (misses_deadline(ticket->kind, ticket->queue, now_us,
				    ticket->deadline_us)) {
			drop_dequeued(admission, ticket,
				      ADMISSION_REASON_DEADLINE);
			continue;
		}
		/* A late response is still worth a slot that would be idle. */
		if (admission->queued &&
		    !objective_met(ticket->kind, now_us, now_us,
				   ticket->objective_us)) {
			drop_dequeued(admission, ticket, ADMISSION_REASON_LATE);
			continue;
		}
		start_request(admission, ticket, now_us);
		admission->ops.run(admission->private, ticket, ticket->private);
	}
	admission->dispatching = false;
}

/* Fixes the limit just below the number of slots, or fewer if the upstream
 * shows that it has fewer. */
static void fix_limit(admission_t *admission)
{
	int32_t slots = load_track_slots(&admission->track,
					 cas_clock_now(admission->clock),
					 admission->listed_slots);
	double limit = slots * USABLE_SLOT_SHARE;

	limit_fix(&admission->limit, slots && limit < 1 ? 1 : limit);
}

void admission_set_slots(admission_t *admission, int32_t slots)
{
	admission->listed_slots = slots;
	fix_limit(admission);
	dispatch(admission);
}

bool admission_has_free_slot(const admission_t *admission)
{
	return admission->limit.fixed_limit > 0 && !admission->queued &&
	       limit_allows(&admission->limit);
}

static int64_t queue_time_max_us(const admission_t *admission)
{
	int64_t time_us =
		(int64_t)admission->limit.mean_total_us * QUEUE_TIME_FACTOR;

	return time_us > QUEUE_TIME_MIN_US ? time_us : QUEUE_TIME_MIN_US;
}

static int32_t queue_length_max(const admission_t *admission)
{
	int32_t limit = (int32_t)admission->limit.limit;

	return limit > QUEUE_LENGTH_MIN ? limit : QUEUE_LENGTH_MIN;
}

/* Returns the longest wait at a stated rate. Another upstream can still serve
 * what would wait longer. */
static int64_t rate_wait_max_us(const admission_t *admission)
{
	return (int64_t)cas_min((double)queue_time_max_us(admission),
				(double)RATE_WAIT_MAX_US);
}

/* Returns why no further request may be queued, or ADMISSION_REASON_NONE. In a
 * warm-up or at a stated rate fewer may wait: only those that can start in
 * time. */
static admission_reason_t full_reason(const admission_t *admission)
{
	const warm_up_t *warm_up = &admission->warm_up;
	int64_t now_us = cas_clock_now(admission->clock);

	if (admission->queued >= queue_length_max(admission))
		return ADMISSION_REASON_QUEUE_FULL;
	if (warm_up_limits(warm_up, now_us) &&
	    admission->queued >=
		    warm_up_queue_max(warm_up, now_us,
				      queue_time_max_us(admission),
				      admission->limit.mean_total_us))
		return ADMISSION_REASON_WARMING_UP;
	if (admission->rate.in_force &&
	    admission->queued >=
		    rate_limit_queue_max(&admission->rate,
					 rate_wait_max_us(admission)))
		return ADMISSION_REASON_RATE;
	return ADMISSION_REASON_NONE;
}

/* Makes room for one more request in the queue, if necessary by dropping
 * another. Returns ADMISSION_REASON_NONE, or why the new request is to be
 * rejected. */
static admission_reason_t make_room(admission_t *admission,
				    const request_queue_t *incoming)
{
	admission_reason_t reason = full_reason(admission);
	admission_ticket_t *victim;

	if (reason == ADMISSION_REASON_NONE)
		return ADMISSION_REASON_NONE;
	victim = queue_victim(admission, incoming);
	if (!victim)
		return reason;
	drop_queued(admission, victim, reason);
	return ADMISSION_REASON_NONE;
}

static request_queue_t *queue_for(const admission_request_t *request,
				  request_class_t *class)
{
	return &class->queues[request->child ? QUEUE_CHILD : QUEUE_ROOT];
}

static admission_ticket_t *ticket_create(admission_t *admission,
					 const admission_request_t *request,
					 request_class_t *class,
					 latency_kind_t *kind,
					 int64_t objective_us)
{
	admission_ticket_t *ticket = talloc_zero(admission, admission_ticket_t);

	if (!ticket)
		return NULL;
	ticket->admission = admission;
	ticket->queue = queue_for(request, class);
	ticket->kind = kind;
	ticket->deadline_us = request->deadline_us;
	ticket->state_since_us = cas_clock_now(admission->clock);
	ticket->objective_us = objective_us;
	ticket->latest_start_us = objective_latest_start(
		kind, ticket->state_since_us, objective_us);
	ticket->order_us = objective_order(ticket->state_since_us,
					   ticket->latest_start_us);
	ticket->private = request->private;
	return ticket;
}

static admission_verdict_t reject(admission_reason_t *out,
				  admission_reason_t reason)
{
	*out = reason;
	return ADMISSION_REJECTED;
}

/* Counts a request as demand of its class. Returns the class, or NULL when out
 * of memory. */
static request_class_t *record_arrival(admission_t *admission,
				       const admission_request_t *request,
				       const latency_kind_t *kind)
{
	request_class_t *class = demand_ensure_class(
		admission, request->importance, request->customer);

	if (!class)
		return NULL;
	class->weight = request->weight > 0 ? request->weight : 1;
	class->last_used_us = cas_clock_now(admission->clock);
	admission->arrivals++;
	demand_record_arrival(class, request, latency_unqueued(kind));
	return class;
}

static double admitted_fraction(const admission_request_t *request,
				const request_class_t *class)
{
	return request->child ? demand_highest_fraction(class)
			      : class->fraction;
}

static admission_verdict_t decide(admission_t *admission,
				  const admission_request_t *request,
				  admission_ticket_t **ticket,
				  admission_reason_t *reason)
{
	int64_t now_us = cas_clock_now(admission->clock);
	latency_kind_t *kind =
		latency_kind(&admission->limit.latency, request->kind);
	request_class_t *class = record_arrival(admission, request, kind);
	int64_t objective_us;
	bool start_now;

	*ticket = NULL;
	*reason = ADMISSION_REASON_NONE;
	if (!class)
		return reject(reason, ADMISSION_REASON_MEMORY);
	if (misses_deadline(kind, queue_for(request, class), now_us,
			    request->deadline_us))
		return reject(reason, ADMISSION_REASON_DEADLINE);
	if (!warm_up_limits(&admission->warm_up, now_us) &&
	    !cas_draw_below(request->draw, admitted_fraction(request, class)))
		return reject(reason, ADMISSION_REASON_SHED);
	dispatch(admission);
	start_now = !admission->queued && may_start(admission, now_us);
	objective_us = objective_applicable(request, kind, now_us);
	if (!start_now && !objective_fits(admission, queue_for(request, class),
					  kind, now_us, objective_us))
		return reject(reason, ADMISSION_REASON_LATE);
	if (!start_now)
		*reason = make_room(admission, queue_for(request, class));
	if (*reason != ADMISSION_REASON_NONE)
		return ADMISSION_REJECTED;
	*ticket = ticket_create(admission, request, class, kind, objective_us);
	if (!*ticket)
		return reject(reason, ADMISSION_REASON_MEMORY);
	if (start_now) {
		start_request(admission, *ticket, now_us);
		return ADMISSION_RUN;
	}
	queue_push(admission, *ticket);
	return ADMISSION_QUEUED;
}

admission_verdict_t admission_offer(admission_t *admission,
				    const admission_request_t *request,
				    admission_ticket_t **ticket,
				    admission_reason_t *reason)
{
	int64_t now_us = cas_clock_now(admission->clock);
	admission_verdict_t verdict =
		decide(admission, request, ticket, reason);

	recent_load_arrival(&admission->recent, now_us);
	if (verdict == ADMISSION_REJECTED)
		recent_load_refusal(&admission->recent, now_us);
	return verdict;
}

static limit_outcome_t limit_outcome_of(admission_result_t result)
{
	if (result == ADMISSION_OK)
		return LIMIT_OUTCOME_OK;
	return result == ADMISSION_FAILED ? LIMIT_OUTCOME_FAILED
					  : LIMIT_OUTCOME_OTHER;
}

/* Tells the warm-up and the reported load how a request has ended. Called
 * before the usual times include it. */
static void finish_warm_up(admission_t *admission,
			   const admission_ticket_t *ticket, int64_t now_us,
			   admission_result_t result)
{
	int64_t own_us = now_us - ticket->state_since_us - ticket->child_us;
	double slowdown = load_track_slowdown(&admission->track, now_us);
	const warm_up_response_t response = {
		.kind = ticket->kind,
		.started_us = ticket->state_since_us,
		.own_us = own_us > 0 ? own_us : 1,
		.slowdown = slowdown,
		.inflight = admission->limit.inflight,
		.limit = admission->limit.limit,
		.result = result,
	};

	recent_load_finish(&admission->recent, now_us);
	if (result == ADMISSION_OK)
		load_track_response(&admission->track, (double)response.own_us,
				    ticket->kind->mean_own_us);
	warm_up_note_ratio(&admission->warm_up, now_us,
			   load_track_unexplained(&admission->track, now_us));
	warm_up_finish(&admission->warm_up, now_us, &response);
}

void admission_finish(admission_t *admission, admission_ticket_t *ticket,
		      admission_result_t result)
{
	int64_t now_us = cas_clock_now(admission->clock);
	limit_timing_t timing = {
		.total_us = now_us - ticket->state_since_us,
		.child_us = ticket->child_us,
		.probe_number = ticket->probe_number,
	};

	finish_warm_up(admission, ticket, now_us, result);
	limit_finish(&admission->limit, ticket->kind, now_us, &timing,
		     limit_outcome_of(result));
	if (result == ADMISSION_SHED_BY_UPSTREAM)
		limit_note_shed(&admission->limit, now_us);
	talloc_free(ticket);
	dispatch(admission);
}

void admission_add_child_time(admission_ticket_t *ticket, int64_t child_us)
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

/* Returns what to name as the cause of a wait that was too long. */
static admission_reason_t queue_time_reason(const admission_t *admission,
					    int64_t now_us)
{
	if (warm_up_limits(&admission->warm_up, now_us))
		return ADMISSION_REASON_WARMING_UP;
	return admission->rate.in_force ? ADMISSION_REASON_RATE
					: ADMISSION_REASON_QUEUE_TIME;
}

/* Returns why a queued request must be dropped, or ADMISSION_REASON_NONE.
 * position is its place in its queue. */
static admission_reason_t expiry_reason(const admission_t *admission,
					admission_ticket_t *ticket,
					int32_t position, int64_t now_us)
{
	if (misses_deadline(ticket->kind, ticket->queue, now_us,
			    ticket->deadline_us))
		return ADMISSION_REASON_DEADLINE;
	if (ticket->objective_us)
		return objective_is_late(admission, ticket, position, now_us)
			       ? ADMISSION_REASON_LATE
			       : ADMISSION_REASON_NONE;
	/* A child call may wait until its deadline, because the work of its
	 * parent is lost with it. */
	if (!is_child_queue(ticket->queue) &&
	    now_us - ticket->state_since_us > queue_time_max_us(admission))
		return queue_time_reason(admission, now_us);
	return ADMISSION_REASON_NONE;
}

/* Returns the first expired request in a circular list of queues, and sets
 * *reason, or returns NULL. */
static admission_ticket_t *find_expired(const admission_t *admission,
					request_queue_t *head, int64_t now_us,
					admission_reason_t *reason)
{
	request_queue_t *queue = head;

	if (!head)
		return NULL;
	do {
		int32_t position = 0;

		for (ticket_link_t *link = queue->tickets.next;
		     link != &queue->tickets; link = link->next) {
			admission_ticket_t *ticket = (void *)link;

			*reason = expiry_reason(admission, ticket, position++,
						now_us);
			if (*reason != ADMISSION_REASON_NONE)
				return ticket;
		}
		queue = queue->next;
	} while (queue != head);
	return NULL;
}

/* Drops all expired requests. The search restarts after each callback, because
 * the callback may change the queues. */
static void drop_expired(admission_t *admission, int64_t now_us)
{
	for (int i = 0; i < ADMISSION_IMPORTANCES * QUEUE_RANKS; i++) {
		request_queue_t **head =
			&admission->active_queues[i / QUEUE_RANKS]
						 [i % QUEUE_RANKS];
		admission_reason_t reason;
		admission_ticket_t *ticket;

		while ((ticket = find_expired(admission, *head, now_us,
					      &reason)))
			drop_queued(admission, ticket, reason);
	}
}

void admission_tick(admission_t *admission)
{
	int64_t now_us = cas_clock_now(admission->clock);

	fix_limit(admission);
	limit_tick(&admission->limit, now_us);
	warm_up_tick(&admission->warm_up, now_us, admission->limit.limit);
	drop_expired(admission, now_us);
	if (now_us - admission->demand_updated_us >= DEMAND_UPDATE_US)
		demand_update(admission, now_us);
	dispatch(admission);
}

int64_t admission_next_due(const admission_t *admission)
{
	int64_t now_us = cas_clock_now(admission->clock);
	int64_t start_us = warm_up_next_start(&admission->warm_up, now_us);
	int64_t rate_us = rate_limit_next_start(&admission->rate);

	if (rate_us > start_us)
		start_us = rate_us;
	/* A paced queue continues when the next start is due. */
	if (admission->queued && start_us > now_us &&
	    start_us < now_us + TICK_US)
		return start_us;
	if (admission->queued || admission->limit.inflight)
		return now_us + TICK_US;
	return admission->demand_updated_us + DEMAND_UPDATE_US;
}

void admission_stop_queue(admission_t *admission)
{
	while (admission->queued)
		drop_dequeued(admission, queue_pop(admission),
			      ADMISSION_REASON_STOPPED);
}

double admission_threshold(const admission_t *admission, int32_t importance,
			   cas_id_t customer)
{
	const request_class_t *class =
		demand_find_class(admission, importance, customer);

	/* Senders apply the fraction to the whole service, whose other
	 * upstreams may have room. */
	if (warm_up_limits(&admission->warm_up,
			   cas_clock_now(admission->clock)))
		return 1;
	return class ? class->fraction : 1;
}

void admission_add_early_rejections(admission_t *admission, int32_t importance,
				    cas_id_t customer, uint64_t count)
{
	request_class_t *class =
		demand_ensure_class(admission, importance, customer);

	if (!class)
		return;
	class->early_work_us += (double)count * class->mean_request_us;
	class->last_used_us = cas_clock_now(admission->clock);
}

int32_t admission_limit(const admission_t *admission)
{
	double limit = warm_up_cap(&admission->warm_up, admission->limit.limit);

	return (int32_t)rate_limit_cap(&admission->rate, limit,
				       admission->limit.mean_total_us);
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
	int64_t permille = work * 1000 / admission_limit(admission);

	if (permille < 1000 && rate_limit_next_start(&admission->rate) >
				       cas_clock_now(admission->clock))
		return 1000;
	return (int32_t)permille;
}
