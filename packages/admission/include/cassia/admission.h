/*
 * Admission control for one upstream, run by the daemon of its host: a
 * concurrency limit that follows the upstream's capacity, a queue ordered by
 * importance and customer, and the admitted fractions (thresholds) by which
 * entry daemons reject requests before they forward them.
 */
#ifndef CASSIA_ADMISSION_H
#define CASSIA_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"

/* Number of importance levels. */
#define ADMISSION_IMPORTANCES 16

enum admission_error {
	ADMISSION_ENOMEM = -1501,
	ADMISSION_EINVAL = -1502,
};

/* One request that asks for admission. */
typedef struct admission_request {
	int32_t importance; /* 0..15, 15 is the highest */
	/* Random number, uniform over all values. It is drawn once for a root
	 * request and inherited by all its child calls, so that every daemon
	 * compares the same number with its admitted fraction. */
	uint32_t draw;
	cas_id_t customer;
	int32_t weight; /* share of the customer, 1 or more */
	int64_t deadline_us; /* absolute, on the clock of the controller */
	/* Until when a response has its full value, absolute; 0: not known.
	 * Requests of one importance and customer then wait in the order in
	 * which they have to start, and one that cannot be in time is refused
	 * early. Not applied to child calls. */
	int64_t objective_us;
	/* A child call of a request that was admitted earlier. Its draw is
	 * compared with the highest recent fraction instead of the current one,
	 * because a rejection wastes the work already done for its parent. */
	bool child;
	/* Latency is measured for each kind, so requests of one kind should
	 * take similar times. Usually the id of the route, combined with the
	 * position in the call chain where it is known. */
	cas_id_t kind;
	void *private; /* of the owner, passed to the callbacks */
} admission_request_t;

typedef enum admission_verdict {
	ADMISSION_RUN, /* admitted; the owner starts the request now */
	ADMISSION_QUEUED, /* run or drop is called later */
	ADMISSION_REJECTED, /* not run; see the reason */
} admission_verdict_t;

/* Why a request was rejected or dropped from the queue. */
typedef enum admission_reason {
	ADMISSION_REASON_NONE,
	ADMISSION_REASON_SHED, /* draw not below the admitted fraction */
	ADMISSION_REASON_DEADLINE, /* would not finish before its deadline */
	ADMISSION_REASON_QUEUE_FULL,
	ADMISSION_REASON_QUEUE_TIME, /* waited for the maximum queue time */
	ADMISSION_REASON_MEMORY, /* out of memory */
	ADMISSION_REASON_STOPPED, /* by admission_stop_queue */
	ADMISSION_REASON_LATE, /* would finish, but not within its objective */
} admission_reason_t;

/* Returns a short name for logs and problem details. */
const char *admission_reason_name(admission_reason_t reason);

/* A queued or running request. Valid until admission_finish, admission_cancel
 * or the drop callback; it is owned by the controller. */
typedef struct admission_ticket admission_ticket_t;

/* Callbacks for requests that were queued. private is the pointer given to
 * admission_create, request_private the one in admission_request_t. */
typedef struct admission_ops {
	/* The request is admitted; the owner starts it without another check
	 * and ends it with admission_finish or admission_cancel. */
	void (*run)(void *private, admission_ticket_t *ticket,
		    void *request_private);
	/* The request is not run. Its ticket has already been freed. */
	void (*drop)(void *private, void *request_private,
		     admission_reason_t reason);
} admission_ops_t;

/* How a running request ended. */
typedef enum admission_result {
	ADMISSION_OK,
	ADMISSION_SHED_BY_UPSTREAM, /* the upstream itself rejected it */
	ADMISSION_FAILED, /* error, timeout or aborted response */
	ADMISSION_CANCELLED, /* ended by the caller */
} admission_result_t;

/* Admission controller of one upstream. */
typedef struct admission admission_t;

/* Returns a new controller for one upstream, or NULL when out of memory. clock
 * and rng are borrowed and must outlive it, ops is copied. */
admission_t *admission_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			      cas_rng_t *rng, const admission_ops_t *ops,
			      void *private);

/* Sets the number of requests that the upstream can run at once. The limit is
 * then fixed just below it instead of being estimated. 0: not known. May call
 * run and drop for queued requests. */
void admission_set_slots(admission_t *admission, int32_t slots);

/* Returns whether the upstream is known to have a free slot, so that a
 * rejection by it is not a sign of overload. False when the number of slots is
 * not known. */
bool admission_has_free_slot(const admission_t *admission);

/*
 * Decides on a request, which is copied. RUN and QUEUED set *ticket; REJECTED
 * sets *ticket to NULL and *reason. May call run and drop for other, queued
 * requests before it returns, but never for this one.
 */
admission_verdict_t admission_offer(admission_t *admission,
				    const admission_request_t *request,
				    admission_ticket_t **ticket,
				    admission_reason_t *reason);

/* Adds child_us microseconds that a running request spent waiting for its
 * child calls, so that a slow callee is not taken for an overloaded upstream.
 * Call it when a child call ends, for time that no other child call covered.
 * Values below 1 are ignored. */
void admission_add_child_time(admission_ticket_t *ticket, int64_t child_us);

/* Ends a running request and frees its ticket; may call run and drop for
 * queued ones. */
void admission_finish(admission_t *admission, admission_ticket_t *ticket,
		      admission_result_t result);

/* Ends a queued or running request whose caller is gone and frees its ticket.
 * drop is not called for it. */
void admission_cancel(admission_t *admission, admission_ticket_t *ticket);

/* Adjusts the limit, drops expired requests, updates the thresholds and starts
 * queued requests, each when it is due. Call it every 10 ms or at the time
 * that admission_next_due returns. */
void admission_tick(admission_t *admission);
/* Returns the time of the next tick in microseconds on the clock. */
int64_t admission_next_due(const admission_t *admission);

/* Drops all queued requests with ADMISSION_REASON_STOPPED. */
void admission_stop_queue(admission_t *admission);

/* Returns the admitted fraction (0..1) to be sent with a response; 1 for an
 * importance and customer without recent requests. */
double admission_threshold(const admission_t *admission, int32_t importance,
			   cas_id_t customer);

/* Adds count requests that an entry daemon rejected early since its last
 * report. They count as demand. */
void admission_add_early_rejections(admission_t *admission, int32_t importance,
				    cas_id_t customer, uint64_t count);

/* Returns the time in microseconds until a request of an importance and
 * customer that is refused now can be expected to be admitted. */
int64_t admission_retry_after_us(const admission_t *admission,
				 int32_t importance, cas_id_t customer);

/* Returns the concurrency limit, in requests. */
int32_t admission_limit(const admission_t *admission);
/* Returns the number of running requests. */
int32_t admission_inflight(const admission_t *admission);
/* Returns the number of queued requests. */
int32_t admission_queued(const admission_t *admission);
/* Returns running and queued requests per mille of the limit; may exceed
 * 1000. */
int32_t admission_busy_permille(const admission_t *admission);
/* Returns the smoothed time from start to finish of successful requests of a
 * kind, in microseconds. 0: not known. */
int64_t admission_typical_us(admission_t *admission, cas_id_t kind);

#endif
