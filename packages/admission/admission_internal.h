/*
 * Internal state of the admission controller: classes of requests, their queues
 * and their demand.
 */
#ifndef CASSIA_ADMISSION_INTERNAL_H
#define CASSIA_ADMISSION_INTERNAL_H

#include <glib.h>

#include "cassia/admission.h"
#include "limit_internal.h"
#include "load_internal.h"
#include "load_report_internal.h"
#include "rate_limit_internal.h"
#include "warm_up_internal.h"

/* Number of latest fractions kept for each class. Child calls are compared with
 * the highest of them, because it may have admitted a root request that is
 * still running. */
#define CLASS_FRACTION_HISTORY 10

/* Link of a circular doubly linked list of tickets. */
typedef struct ticket_link {
	struct ticket_link *next;
	struct ticket_link *prev;
} ticket_link_t;

/* Queued requests of one class, either its child calls or its root requests. */
typedef struct request_queue {
	struct request_class *class;
	ticket_link_t tickets; /* list head */
	int32_t count;
	int32_t deficit; /* requests left in this turn of the round robin */
	/* Circular list of the non-empty queues of one importance and rank. */
	struct request_queue *next;
	struct request_queue *prev;
} request_queue_t;

/* Order in which queues are served, ahead of importance. Child calls go first:
 * their callers occupy a slot while they wait. */
enum queue_rank {
	QUEUE_CHILD,
	QUEUE_ROOT,
	QUEUE_RANKS,
};

/* All requests of one customer at one importance. */
typedef struct request_class {
	int32_t importance;
	cas_id_t customer;
	int32_t weight;
	request_queue_t queues[QUEUE_RANKS];
	/* Demand since the last update. The work of a request is the time in
	 * microseconds that it occupies a slot of the upstream without
	 * queueing in it. */
	double arrived_work_us;
	double early_work_us; /* rejected by entry daemons */
	double child_work_us; /* the part of arrived_work_us in child calls */
	/* The part of child_work_us with draws below the lowest of the latest
	 * fractions, which no entry daemon rejects. */
	double unfiltered_work_us;
	double highest_draw; /* of all arrivals, 0..1 */
	double recent_highest_draw; /* maximum over updates, decaying */
	double mean_request_us; /* smoothed work of one request */
	double demand; /* smoothed, as a number of requests in flight */
	double allocated; /* part of the capacity, in the same unit */
	double above; /* capacity allocated to more important classes */
	double fraction; /* admitted fraction, 0..1 */
	double fraction_history[CLASS_FRACTION_HISTORY]; /* circular buffer */
	int fraction_history_next; /* index of its oldest entry */
	int64_t last_used_us;
} request_class_t;

struct admission_ticket {
	ticket_link_t link; /* first member, so that a link can be cast */
	admission_t *admission;
	request_queue_t *queue;
	latency_kind_t *kind;
	int64_t deadline_us;
	int64_t objective_us; /* 0: none, or not to be reached */
	int64_t latest_start_us; /* for the objective; INT64_MAX: none */
	int64_t order_us; /* place in the queue, see objective_order */
	int64_t state_since_us; /* when it was queued, then when it started */
	int64_t child_us; /* time spent waiting for child calls */
	uint32_t probe_number; /* as returned by limit_start */
	void *private;
	bool running;
	bool confirmed; /* expected to be in time when last looked at */
};

struct admission {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	admission_ops_t ops;
	void *private;
	limit_t limit;
	warm_up_t warm_up;
	rate_limit_t rate; /* that the upstream states */
	load_track_t track;
	recent_load_t recent;
	int32_t listed_slots; /* of the upstream, 0: not known */
	/* Non-empty queues: the next one to serve of each circular list. */
	request_queue_t *active_queues[ADMISSION_IMPORTANCES][QUEUE_RANKS];
	int32_t queued_by_importance[ADMISSION_IMPORTANCES];
	int32_t queued;
	bool dispatching; /* guards against recursion through callbacks */
	/* Division of capacity. */
	GHashTable *classes; /* request_class_t, keyed by itself */
	request_class_t **class_list; /* scratch array of demand_update */
	size_t class_list_size; /* allocated entries */
	int64_t demand_updated_us;
	uint32_t arrivals; /* since the last update */
	double inflight_integral; /* that of limit at the last update */
};

/* Queue (queue.c). */

/* Initializes the empty queues of a class. */
void queue_init(request_class_t *class);
/* Returns the number of queued requests of a class. */
int32_t queue_class_count(const request_class_t *class);
/* Adds a request to the queue named in its ticket, ordered by order_us;
 * after those with the same one. */
void queue_push(admission_t *admission, admission_ticket_t *ticket);
/* Returns how many requests of a queue would be served before a new one with
 * the order order_us. */
int32_t queue_position(const request_queue_t *queue, int64_t order_us);
void queue_remove(admission_t *admission, admission_ticket_t *ticket);
/* Removes and returns the next request in order, or NULL. */
admission_ticket_t *queue_pop(admission_t *admission);
/* Returns the queued request to be dropped in favour of a new one for the queue
 * incoming, or NULL when the new one is to be rejected. The request returned is
 * still in its queue. */
admission_ticket_t *queue_victim(admission_t *admission,
				 const request_queue_t *incoming);

/* Expected waits (expect.c). */

/* Returns the expected time in microseconds until a request starts that has
 * position requests of its queue before it. 0: not known. */
int64_t expect_wait_us(const admission_t *admission,
		       const request_queue_t *queue, int32_t position);

/* Requests and their objectives (objective.c). Times are absolute, in
 * microseconds; an objective of 0 is always met. */

/* Returns whether a request that starts at start_us can be in time. */
bool objective_met(const latency_kind_t *kind, int64_t now_us, int64_t start_us,
		   int64_t objective_us);
/* Returns the objective to apply to a new request, or 0. While the request
 * would miss it even without waiting, it is not applied: all would be refused,
 * and nothing would show that the upstream has become faster. */
int64_t objective_applicable(const admission_request_t *request,
			     const latency_kind_t *kind, int64_t now_us);
/* Returns the latest start that is in time; INT64_MAX without an objective. */
int64_t objective_latest_start(const latency_kind_t *kind, int64_t now_us,
			       int64_t objective_us);
/* Returns the place in the queue of a request that arrives at now_us: half way
 * between its arrival and its latest start. In the order of latest starts alone
 * a request with a long objective would be overtaken until it is nearly late. */
int64_t objective_order(int64_t now_us, int64_t latest_start_us);
/* Returns whether a new request is expected to be in time if it is queued. */
bool objective_fits(const admission_t *admission, const request_queue_t *queue,
		    const latency_kind_t *kind, int64_t now_us,
		    int64_t objective_us);
/* Returns whether a queued request is to be dropped because it is not expected
 * to be in time. position is its place in its queue, from 0. It must have an
 * objective. */
bool objective_is_late(const admission_t *admission, admission_ticket_t *ticket,
		       int32_t position, int64_t now_us);

/* Classes and their demand (demand.c). */

/* Creates the table of classes. Returns 0 or ADMISSION_ENOMEM. */
int demand_init(admission_t *admission);
/* Returns a class, or NULL when there is none. */
request_class_t *demand_find_class(const admission_t *admission,
				   int32_t importance, cas_id_t customer);
/* Returns a class, which is created if there is none, or NULL when out of
 * memory. It is freed by demand_update after 60 s without use. */
request_class_t *demand_ensure_class(admission_t *admission, int32_t importance,
				     cas_id_t customer);
/* Returns the highest recent fraction of the class. */
double demand_highest_fraction(const request_class_t *class);
/* Counts a request that is expected to run for request_us microseconds without
 * queueing in the upstream. */
void demand_record_arrival(request_class_t *class,
			   const admission_request_t *request,
			   double request_us);
/* Updates demands and fractions of all classes. Removes idle ones. */
void demand_update(admission_t *admission, int64_t now_us);

/* Divides the capacity between the first count classes in class_list and sets
 * their fractions (divide.c). elapsed_us is the time since the last call. */
void divide_capacity(admission_t *admission, size_t count, double elapsed_us);

#endif
