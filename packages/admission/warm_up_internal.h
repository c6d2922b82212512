/* The cold time and the concurrency of an upstream that has started or
 * recovered. */
#ifndef CASSIA_WARM_UP_INTERNAL_H
#define CASSIA_WARM_UP_INTERNAL_H

#include "cassia/admission.h"
#include "latency_internal.h"
#include "start_window_internal.h"

/* Times are in microseconds on the clock. Ratios are own times of requests
 * divided by the usual own times of their kinds. */
typedef struct warm_up {
	bool in_force; /* otherwise the state is kept without effect */
	/* The cold upstream. */
	start_window_t window;
	int64_t cold_max_us; /* how long an upstream is cold after a start */
	int64_t event_us; /* the latest reason to take it for cold */
	int64_t cold_until_us;
	int64_t doubt_until_us; /* before it, a health response is useful */
	/* Its connections were refused or broken, and it has not answered
	 * since: its cold time begins when it does. */
	bool unreachable;
	bool listed; /* the host list has named an instance since the event */
	int64_t suspected_us; /* the last time that responses raised a doubt */
	/* Responses were as slow as those of a cold upstream that said it was
	 * warm. */
	bool distrusted;
	/* The concurrency. */
	bool active; /* allowed limits the requests that run */
	int64_t began_us;
	int64_t fell_back_us; /* the last time, or the begin */
	double allowed; /* requests that may run at once */
	double careful_above; /* allowed grows slowly from here on */
	double base_ratio; /* at the lowest concurrency */
	int32_t base_samples;
	double recent_ratio; /* smoothed, 0: none yet */
	double slowness; /* sum of what ratios exceed, see warm_up.c */
	int32_t breaks; /* failures since the last response */
	/* For logs and metrics. */
	admission_warm_up_cause_t cause; /* of the last begin */
	admission_fall_back_t fall_back_cause;
	uint64_t begin_count;
	uint64_t end_count;
	uint64_t fall_back_count;
} warm_up_t;

/* A request that has ended. */
typedef struct warm_up_response {
	latency_kind_t *kind;
	int64_t started_us;
	int64_t own_us; /* without child calls */
	double slowdown; /* of the host, relative to the usual; 1: unknown */
	int32_t inflight; /* before it ended */
	double limit; /* of admission */
	admission_result_t result;
} warm_up_response_t;

/* Initializes the state; the daemon has just started. */
void warm_up_init(warm_up_t *warm_up, int64_t now_us);

/* Sets the rules. Returns 0 or ADMISSION_ENOMEM. */
int warm_up_set_rules(warm_up_t *warm_up, TALLOC_CTX *ctx,
		      const admission_warm_up_rules_t *rules, int64_t now_us);

/* See admission_begin_warm_up. */
void warm_up_begin(warm_up_t *warm_up, latency_t *latency, int64_t now_us,
		   admission_warm_up_cause_t cause, int64_t cold_us);

/* See admission_note_cold_left. */
void warm_up_note_cold_left(warm_up_t *warm_up, int64_t now_us, int64_t cold_us,
			    int64_t asked_us);

bool warm_up_is_cold(const warm_up_t *warm_up, int64_t now_us);

/* Returns whether the warm-up limits the requests of the upstream. */
bool warm_up_limits(const warm_up_t *warm_up, int64_t now_us);

/* Returns whether a request may start while inflight are running. */
bool warm_up_allows(const warm_up_t *warm_up, int64_t now_us, int32_t inflight);

/* Returns when the bound of a cold upstream allows the next start; 0 or a time
 * in the past: now. */
int64_t warm_up_next_start(const warm_up_t *warm_up, int64_t now_us);

/* Returns how many requests may wait so that each starts within wait_max_us.
 * mean_us is the mean time of a request, 0: not known. Call it only while
 * warm_up_limits. */
int32_t warm_up_queue_max(const warm_up_t *warm_up, int64_t now_us,
			  int64_t wait_max_us, double mean_us);

/* Returns the expected wait in microseconds of a request that comes after
 * queued other ones, 0: not known or none. mean_us is as above. */
int64_t warm_up_wait(const warm_up_t *warm_up, int64_t now_us, int32_t queued,
		     double mean_us);

/* Returns a concurrency limit, reduced to the concurrency that the warm-up
 * allows. */
double warm_up_cap(const warm_up_t *warm_up, double limit);

/* Counts a request as started. */
void warm_up_start(warm_up_t *warm_up, int64_t now_us);

/* Adapts the allowed concurrency to a request that has ended. */
void warm_up_finish(warm_up_t *warm_up, int64_t now_us,
		    const warm_up_response_t *response);

/* Takes note of how much longer than usual the latest responses took (ratio),
 * beyond what the slowdown of the host explains. May raise a doubt. */
void warm_up_note_ratio(warm_up_t *warm_up, int64_t now_us, double ratio);

/* Ends the warm-up when it is no longer needed. limit is that of admission. */
void warm_up_tick(warm_up_t *warm_up, int64_t now_us, double limit);

#endif
