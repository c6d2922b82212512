/*
 * Which requests can still be in time for the objective of their route.
 *
 * Load pattern: somewhat more arrives than the upstream serves, so that the
 * queue grows until each request is served just too late. Those that can still
 * be in time go first, and others are refused while their caller can return.
 */
#include "admission_internal.h"

/* A refusal within an eighth of the objective leaves the caller time to return:
 * a queued request that is not expected to be in time is dropped by then. */
#define EARLY_DIVISOR 8

bool objective_met(const latency_kind_t *kind, int64_t now_us, int64_t start_us,
		   int64_t objective_us)
{
	return !objective_us ||
	       start_us + latency_typical(kind, now_us) <= objective_us;
}

int64_t objective_applicable(const admission_request_t *request,
			     const latency_kind_t *kind, int64_t now_us)
{
	if (request->child ||
	    !objective_met(kind, now_us, now_us, request->objective_us))
		return 0;
	return request->objective_us;
}

int64_t objective_latest_start(const latency_kind_t *kind, int64_t now_us,
			       int64_t objective_us)
{
	return objective_us ? objective_us - latency_typical(kind, now_us)
			    : INT64_MAX;
}

/* Returns the time from the arrival of a queued request after which it is to be
 * refused if it is not expected to be in time. */
static int64_t early_us(const admission_ticket_t *ticket)
{
	return (ticket->objective_us - ticket->state_since_us) / EARLY_DIVISOR;
}

int64_t objective_order(int64_t now_us, int64_t latest_start_us)
{
	return latest_start_us == INT64_MAX
		       ? INT64_MAX
		       : now_us + (latest_start_us - now_us) / 2;
}

bool objective_fits(const admission_t *admission, const request_queue_t *queue,
		    const latency_kind_t *kind, int64_t now_us,
		    int64_t objective_us)
{
	int64_t start_us = now_us;
	int64_t order_us;

	if (!objective_us)
		return true;
	order_us = objective_order(
		now_us, objective_latest_start(kind, now_us, objective_us));
	start_us += expect_wait_us(admission, queue,
				   queue_position(queue, order_us));
	return objective_met(kind, now_us, start_us, objective_us);
}

bool objective_is_late(const admission_t *admission, admission_ticket_t *ticket,
		       int32_t position, int64_t now_us)
{
	int64_t start_us;

	if (ticket->confirmed)
		return now_us > ticket->latest_start_us;
	if (now_us - ticket->state_since_us < early_us(ticket))
		return false;
	start_us = now_us + expect_wait_us(admission, ticket->queue, position);
	ticket->confirmed = objective_met(ticket->kind, now_us, start_us,
					  ticket->objective_us);
	return !ticket->confirmed;
}
