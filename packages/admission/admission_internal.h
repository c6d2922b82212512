/* Classes of requests, the queue and the demand of each class. */
#ifndef CASSIA_ADMISSION_INTERNAL_H
#define CASSIA_ADMISSION_INTERNAL_H

#include <glib.h>

#include "cassia/admission.h"
#include "limit_internal.h"

/* The highest of this many published fractions may have admitted work that is
 * still running. */
#define CLASS_PUBLISHED 10

typedef struct ticket_link {
	struct ticket_link *next;
	struct ticket_link *prev;
} ticket_link_t;

/* Queued requests of one class, either its child calls or the others. */
typedef struct request_queue {
	struct request_class *class;
	ticket_link_t tickets; /* list head */
	int32_t count;
	int32_t deficit;
	struct request_queue *next; /* ring of those that are not empty */
	struct request_queue *prev;
} request_queue_t;

/* Child calls go first: their callers hold a slot while they wait. */
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
	/* Demand since the last update, as time that the requests would hold
	 * the upstream, and smoothed as a number of requests in flight. */
	double arrived_us;
	double early_us; /* rejected by entry daemons */
	double child_us; /* of arrived_us, child calls */
	double sure_us; /* of child_us, with a draw that no daemon rejects */
	double highest_draw; /* of what arrived, 0..1 */
	double reach; /* the highest draw of the last updates */
	double held_us; /* smoothed, of one request */
	double demand;
	double granted; /* by the last division */
	double fraction;
	double published[CLASS_PUBLISHED];
	int published_next;
	int64_t used_us;
} request_class_t;

struct admission_ticket {
	ticket_link_t link; /* first, so that a link is a ticket */
	admission_t *admission;
	request_queue_t *queue;
	latency_kind_t *kind;
	int64_t deadline_us;
	int64_t since_us; /* queued, then started */
	int64_t child_us; /* waiting for child calls */
	uint32_t mark; /* of the limit */
	void *private;
	bool running;
};

struct admission {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	admission_ops_t ops;
	void *private;
	limit_t limit;
	/* Queue. */
	request_queue_t *active[ADMISSION_IMPORTANCES][QUEUE_RANKS];
	int32_t queued_at[ADMISSION_IMPORTANCES];
	int32_t queued;
	bool dispatching;
	/* Division of capacity. */
	GHashTable *classes; /* request_class_t, keyed by itself */
	request_class_t **order; /* scratch space of the division */
	size_t order_size;
	int64_t updated_us;
	uint32_t arrivals; /* since the last update */
	double held_time; /* of the limit at the last update */
};

/* Queue (queue.c). */
void queue_init(request_class_t *class);
int32_t queue_class_count(const request_class_t *class);
void queue_push(admission_t *admission, admission_ticket_t *ticket);
void queue_remove(admission_t *admission, admission_ticket_t *ticket);
/* Returns the next request in order, taken off the queue, or NULL. */
admission_ticket_t *queue_pop(admission_t *admission);
/* Returns a queued request that gives way to one for the queue, still in its
 * own queue, or NULL when the newcomer has the least claim. */
admission_ticket_t *queue_victim(admission_t *admission,
				 const request_queue_t *newcomer);

/* Demand and division (demand.c). */
int demand_init(admission_t *admission);
request_class_t *demand_class(const admission_t *admission, int32_t importance,
			      cas_id_t customer);
request_class_t *demand_class_add(admission_t *admission, int32_t importance,
				  cas_id_t customer);
/* Returns the highest recent fraction of the class. */
double demand_highest_fraction(const request_class_t *class);
/* Counts a request that would hold the upstream for held_us. */
void demand_arrived(request_class_t *class, const admission_request_t *request,
		    double held_us);
void demand_update(admission_t *admission, int64_t now_us);

/* Divides capacity between the first count classes of the scratch array and
 * sets their fractions (divide.c). */
void divide_capacity(admission_t *admission, size_t count, double elapsed_us);

/* Returns whether the draw lies below the fraction. */
static inline bool draw_below(uint32_t draw, double fraction)
{
	return (double)draw < fraction * 4294967296.0;
}

#endif
