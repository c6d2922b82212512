/*
 * Processor use of this daemon: measures it, and decides which requests are
 * taken in. In force only while upstreams share their hosts with others
 * (daemon_hosts_are_shared); otherwise everything is taken in.
 */
#ifndef CASSIA_PROCESSOR_USE_H
#define CASSIA_PROCESSOR_USE_H

#include "cassia/attempt.h"
#include "cassia/processor.h"
#include "daemon.h"

/* Creates the limit. Returns 0 or ADMISSION_ENOMEM. */
int processor_use_create(cassiad_t *daemon);

/* Measures; called every 10 ms. late_us is how much later than planned this
 * call is, in microseconds. */
void processor_use_tick(cassiad_t *daemon, int64_t late_us);

/* Returns whether to take in a request of which only the context is known, and
 * counts it. */
bool processor_use_admits(cassiad_t *daemon, processor_work_t work,
			  const attempt_context *context);

/* Counts a request that was refused without processor_use_admits. */
void processor_use_count_refusal(cassiad_t *daemon);

/* Takes back a request that processor_use_admits took in and that another check
 * has refused since. */
void processor_use_turned_away(cassiad_t *daemon, processor_work_t work,
			       const attempt_context *context);

/* Takes the early rejections that a context reports. */
void processor_use_count_early(cassiad_t *daemon,
			       const attempt_context *context);

/* Returns the share (0..1) of request trees whose calls to the upstream of this
 * host are taken in, for the importance of a child call; 1 for other requests. */
double processor_use_tree_share(const cassiad_t *daemon,
				const attempt_context *context);

/* Returns the fraction of requests like this one that is taken in, 0..1. */
double processor_use_fraction(const cassiad_t *daemon,
			      const attempt_context *context);

/* Returns when a request that processor_use_admits refused can be expected to be
 * taken in, in microseconds from now. */
int64_t processor_use_retry_after_us(const cassiad_t *daemon,
				     const attempt_context *context);

/* Fills in the processor use of a report that carries the load. */
void processor_use_fill_load(const cassiad_t *daemon, attempt_outcome *report);

/* Sets the metrics of the limit. */
void processor_use_set_metrics(cassiad_t *daemon);

#endif
