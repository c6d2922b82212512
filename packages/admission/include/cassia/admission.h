/*
 * Admission at the upstream's daemon: a concurrency limit that follows the
 * upstream, a queue by importance and customer, and the admitted fractions
 * (thresholds) that entry daemons use to reject early.
 */
#ifndef CASSIA_ADMISSION_H
#define CASSIA_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"

#define ADMISSION_IMPORTANCES 16

enum admission_error {
	ADMISSION_ENOMEM = -1501,
	ADMISSION_EINVAL = -1502,
};

/* One request. The draw is chosen once for a root request, uniformly over
 * all values, and carried by all its child calls. */
typedef struct admission_request {
	int32_t importance; /* 0..15, 15 is the highest */
	uint32_t draw;
	cas_id_t customer;
	int32_t weight; /* of the customer, 1 or more */
	int64_t deadline_us; /* on the module's clock */
	/* A child call of work that was admitted before. It is kept by the
	 * highest recent fraction, because that work is lost otherwise. */
	bool child;
	/* Requests of one kind take similar times; usually the id of the
	 * route, with the position in the call chain if it can be told. */
	cas_id_t kind;
	void *private; /* of the owner, passed to the callbacks */
} admission_request_t;

typedef enum admission_verdict {
	ADMISSION_RUN, /* the caller starts it now */
	ADMISSION_QUEUED, /* run or drop will be called */
	ADMISSION_REJECTED, /* not run; see the reason */
} admission_verdict_t;

typedef enum admission_reason {
	ADMISSION_REASON_NONE,
	ADMISSION_REASON_SHED, /* draw not below the admitted fraction */
	ADMISSION_REASON_DEADLINE, /* could not finish in time */
	ADMISSION_REASON_QUEUE_FULL,
	ADMISSION_REASON_QUEUE_TIME, /* waited for the longest queue time */
	ADMISSION_REASON_MEMORY,
	ADMISSION_REASON_STOPPED, /* the owner stops */
} admission_reason_t;

/* Returns a short name for logs and problem details. */
const char *admission_reason_name(admission_reason_t reason);

/* A request that is queued or running. Valid until admission_finish,
 * admission_cancel or the drop callback. */
typedef struct admission_ticket admission_ticket_t;

/* Calls about requests that were queued. */
typedef struct admission_ops {
	/* The owner checks nothing more and starts the request. */
	void (*run)(void *private, admission_ticket_t *ticket,
		    void *request_private);
	/* The request was not run; the ticket is gone on return. */
	void (*drop)(void *private, void *request_private,
		     admission_reason_t reason);
} admission_ops_t;

typedef enum admission_result {
	ADMISSION_OK,
	ADMISSION_SHED_BY_UPSTREAM, /* the upstream itself rejected it */
	ADMISSION_FAILED, /* error, timeout or aborted response */
	ADMISSION_CANCELLED, /* ended by the caller */
} admission_result_t;

typedef struct admission admission_t;

/* Returns a new module for one upstream, or NULL. clock and rng are
 * borrowed, ops is copied. */
admission_t *admission_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			      cas_rng_t *rng, const admission_ops_t *ops,
			      void *private);

/* Tells how many requests the upstream runs at once, so that the limit need not
 * be found. 0: not known. */
void admission_set_slots(admission_t *admission, int32_t slots);

/* True when the upstream is known to have a free slot, so that a rejection by
 * it is no sign of load. */
bool admission_has_free_slot(const admission_t *admission);

/*
 * Decides on a request. RUN and QUEUED set *ticket; REJECTED sets *reason.
 * The request is copied. QUEUED may call back about other requests before it
 * returns, never about this one.
 */
admission_verdict_t admission_offer(admission_t *admission,
				    const admission_request_t *request,
				    admission_ticket_t **ticket,
				    admission_reason_t *reason);

/* Counts time that a running request spent waiting for its child calls, so
 * that a slow service further down does not look like a full upstream. Call
 * it when a child call ends, for time that no other child call covered. */
void admission_child_time(admission_ticket_t *ticket, int64_t child_us);

/* Ends a running request; may call run and drop for queued ones. */
void admission_finish(admission_t *admission, admission_ticket_t *ticket,
		      admission_result_t result);

/* Ends a queued or running request whose caller is gone; drop is not called
 * for it. */
void admission_cancel(admission_t *admission, admission_ticket_t *ticket);

/* Does what is due. Call it every 10 ms or when admission_next_due says. */
void admission_tick(admission_t *admission);
int64_t admission_next_due(const admission_t *admission);

/* Drops everything queued with ADMISSION_REASON_STOPPED. */
void admission_stop_queue(admission_t *admission);

/* Returns the admitted fraction (0..1) that a response carries. */
double admission_threshold(const admission_t *admission, int32_t importance,
			   cas_id_t customer);

/* Counts requests that entry daemons rejected early since their last
 * report. */
void admission_note_early(admission_t *admission, int32_t importance,
			  cas_id_t customer, uint64_t count);

/* Figures for status and for the hints in responses. */
int32_t admission_limit(const admission_t *admission);
int32_t admission_inflight(const admission_t *admission);
int32_t admission_queued(const admission_t *admission);
int32_t admission_busy_permille(const admission_t *admission);
/* Smoothed time from start to finish in microseconds of successful requests
 * of a kind, 0: not known. */
int64_t admission_typical_us(admission_t *admission, cas_id_t kind);

#endif
