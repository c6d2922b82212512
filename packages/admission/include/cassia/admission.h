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
#include "cassia/load_report.h"
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
	/* The upstream is cold or its concurrency is being found, so that the
	 * request would wait too long. */
	ADMISSION_REASON_WARMING_UP,
	ADMISSION_REASON_LATE, /* would finish, but not within its objective */
	ADMISSION_REASON_RATE, /* the upstream states that it takes fewer */
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

/* Why an upstream is taken for one that has just started. */
typedef enum admission_warm_up_cause {
	ADMISSION_WARM_UP_DAEMON_STARTED,
	ADMISSION_WARM_UP_LISTED, /* a new instance is in the host list */
	/* It refused or broke a connection. Its warm-up begins when it answers
	 * again. */
	ADMISSION_WARM_UP_REFUSED,
	ADMISSION_WARM_UP_BROKEN,
	ADMISSION_WARM_UP_RETURNED, /* a drain or an evacuation has ended */
	ADMISSION_WARM_UP_TOLD_COLD, /* its entry or health response says so */
} admission_warm_up_cause_t;

/* Why the concurrency of an upstream that warms up was reduced. */
typedef enum admission_fall_back {
	ADMISSION_FALL_BACK_SLOW, /* slow responses */
	ADMISSION_FALL_BACK_REJECTED, /* the upstream rejected a request */
	ADMISSION_FALL_BACK_FAILED, /* a request failed */
} admission_fall_back_t;

/* Rules for an upstream that has started or recovered. Without a call of
 * admission_set_warm_up they are not in force. */
typedef struct admission_warm_up_rules {
	bool in_force;
	/* Most requests that a cold upstream gets in any one second; 0: no
	 * bound. */
	double cold_rate_per_s;
	int64_t cold_max_us; /* how long it is cold after a start; 0: unknown */
} admission_warm_up_rules_t;

typedef struct admission_warm_up_status {
	bool limits; /* the warm-up limits the requests of the upstream */
	int64_t cold_left_us; /* expected; 0: not cold */
	/* A health response would tell how long the upstream is cold. */
	bool in_doubt;
	double allowed; /* requests at once; 0: not limited by the warm-up */
	double base_ratio; /* of response times to usual ones, at the begin */
	double recent_ratio; /* the same of the latest responses; 0: none */
	admission_warm_up_cause_t cause; /* of the last begin */
	admission_fall_back_t fall_back_cause; /* of the last one */
	/* Since the start of the daemon. */
	uint64_t begin_count;
	uint64_t end_count;
	uint64_t fall_back_count;
} admission_warm_up_status_t;

/* Return names for logs. */
const char *admission_warm_up_cause_name(admission_warm_up_cause_t cause);
const char *admission_fall_back_name(admission_fall_back_t cause);

/* Sets the rules; the same ones have no effect. When a bound is new, the
 * upstream counts as cold and the starts of the last second as used up. Returns
 * 0 or ADMISSION_ENOMEM. */
int admission_set_warm_up(admission_t *admission,
			  const admission_warm_up_rules_t *rules);

/* Takes the upstream for one that has just started. cold_us is how long it is
 * cold as far as it is known, 0: not known, so the longest time that the rules
 * state is assumed. */
void admission_begin_warm_up(admission_t *admission,
			     admission_warm_up_cause_t cause, int64_t cold_us);

/* Takes over what a health response says: the upstream is cold for cold_us from
 * now on. asked_us is when the health request was sent; a response to one from
 * before the last event is ignored. */
void admission_note_cold_left(admission_t *admission, int64_t cold_us,
			      int64_t asked_us);

admission_warm_up_status_t
admission_warm_up_status(const admission_t *admission);

/* Returns after how many microseconds a request that is rejected now because of
 * the warm-up is likely to be taken; 0: not known. */
int64_t admission_warm_up_retry_us(const admission_t *admission);

/* Takes over the request rate that the upstream states in a response. Starts are
 * held to it as long as responses state it, see admission_note_no_rate. */
void admission_note_rate(admission_t *admission, double rate_per_s);

/* Takes note of a response that states no rate. The first one that comes a
 * second or more after the last rate ends the limit. */
void admission_note_no_rate(admission_t *admission);

/* Forgets the rate: another run of the upstream has begun. */
void admission_clear_rate(admission_t *admission);

/* Returns the rate in force in requests a second, negative: none. */
double admission_rate(const admission_t *admission);

/* Returns after how many microseconds a request that is rejected now because of
 * the rate is likely to be taken. */
int64_t admission_rate_retry_us(const admission_t *admission);

/* The load of the upstream and its queue, for senders. */
typedef struct admission_load {
	int32_t slowdown; /* of its host, in percent; 0: not known */
	int32_t room; /* requests that could start now */
	int64_t wait_us; /* expected wait of a new request */
	/* Usual time of the kind without child calls, 0: not known. With a
	 * slowdown, the time at a slowdown of 100: the product is what a
	 * request takes now. Without one, the time on this host. */
	int64_t own_us;
	int32_t refused_permille; /* of the arrivals lately */
	bool warming_up;
	bool rate_limited; /* the upstream states a rate */
} admission_load_t;

/* Returns the load as it concerns a kind of request. */
admission_load_t admission_load(admission_t *admission, cas_id_t kind);

/* Takes over what the upstream reports of its load, as far as its responses
 * bear it out. May change the limit at the next tick. */
void admission_note_load(admission_t *admission, const load_report_t *report);

/* Returns the number of reports that the responses contradicted. */
uint64_t admission_refused_reports(const admission_t *admission);

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
 * importance and customer without recent requests, and during a warm-up, in
 * which requests are rejected by the length of the queue instead. */
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

/* Returns the concurrency limit, in requests. It includes the warm-up and the
 * rate. */
int32_t admission_limit(const admission_t *admission);
/* Returns the number of running requests. */
int32_t admission_inflight(const admission_t *admission);
/* Returns the number of queued requests. */
int32_t admission_queued(const admission_t *admission);
/* Returns running and queued requests per mille of the limit; may exceed 1000.
 * At least 1000 while the rate that the upstream states allows no start. */
int32_t admission_busy_permille(const admission_t *admission);
/* Returns the smoothed time from start to finish of successful requests of a
 * kind, in microseconds. 0: not known. */
int64_t admission_typical_us(admission_t *admission, cas_id_t kind);

#endif
