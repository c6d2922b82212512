/*
 * Graceful stop of the daemon, and drain of its upstream without a stop: what
 * the steps of cassia/drain.h do to the components of the daemon.
 */
#ifndef CASSIA_STOP_H
#define CASSIA_STOP_H

#include "daemon.h"

/* Creates drain and times of the daemon. Returns 0 or BASE_ENOMEM. */
int stop_create(cassiad_t *daemon);

/* Makes the steps that are due; called every 10 ms. */
void stop_tick(cassiad_t *daemon);

/* Starts a drain. Returns 0, or DRAIN_EALREADY as drain_begin does. */
int daemon_drain(cassiad_t *daemon, drain_goal_t goal);

/* Returns the state for status pages: "starting", "serving", "draining" or
 * "drained". */
const char *daemon_state(const cassiad_t *daemon);

/* Returns whether to accept a new request: always, unless the daemon stops. */
bool stop_accepts_request(const cassiad_t *daemon,
			  const attempt_context *context);

/* As stop_accepts_request, for a request that may be a call of a request at the
 * upstream of this host. */
bool stop_accepts_possible_child_call(const cassiad_t *daemon,
				      const attempt_context *context);

/* Returns whether an attempt can be expected to end before the daemon stops.
 * previous_us: time that the previous attempt of the request took, or 0. */
bool stop_has_time(const cassiad_t *daemon, const attempt_context *context,
		   int64_t previous_us);

/* Moves the deadline to the end of a stop that ends before it, so that upstreams
 * and other daemons know how long the result is waited for. */
void stop_limit_deadline(const cassiad_t *daemon, attempt_context *context);

/* Records how long a served request took, for stop_accepts_request. */
void stop_record_time(cassiad_t *daemon, const attempt_context *context,
		      int64_t time_us);

#endif
