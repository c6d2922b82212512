/*
 * Processor time of the daemon as a resource: decides which of the offered work
 * is taken in, so that the event loop stays on time when more is offered than
 * the daemon's share of the processor can carry.
 *
 * Load pattern: many daemons call the few upstreams of one service, whose
 * daemons then are the overloaded component, up to ten times beyond what they
 * can carry, while their upstreams have free slots.
 */
#ifndef CASSIA_PROCESSOR_H
#define CASSIA_PROCESSOR_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

/* Number of importance levels. */
#define PROCESSOR_IMPORTANCES 16

/* Kinds of work whose processor cost is learned separately. */
typedef enum processor_work {
	PROCESSOR_ENTRY, /* a request of a caller */
	PROCESSOR_CHILD_CALL, /* a call of the upstream of this host */
	PROCESSOR_ATTEMPT, /* an attempt of another daemon */
	PROCESSOR_REFUSAL, /* one of these, refused */
	PROCESSOR_WORK_COUNT,
} processor_work_t;

/* One request that is about to cost processor time. */
typedef struct processor_request {
	processor_work_t work; /* not PROCESSOR_REFUSAL */
	int32_t importance; /* 0..15, 15 is the highest */
	uint32_t draw; /* of the root request, see admission_request_t */
	cas_id_t customer;
	int32_t weight; /* share of the customer, 1 or more */
	bool child; /* belongs to a request tree that has started */
} processor_request_t;

/* What the last decisions were based on, for logs and metrics. */
typedef struct processor_state {
	bool limiting; /* some of the offered work is refused */
	int32_t capacity_permille; /* taken in, per mille of one core */
	int32_t used_permille; /* measured use, per mille of one core */
	int32_t speed_permille; /* of one core, while the loop is not idle */
	int32_t offered_permille; /* demand, per mille of one core */
	int64_t wait_us; /* mean wait of ready work for the event loop */
	int64_t cost_us[PROCESSOR_WORK_COUNT]; /* learned, of one request */
	int64_t measured_age_us; /* since the last complete measurement */
	/* The processor clock is wrong, so use and capacity are shares of the
	 * time of the event loop instead. */
	bool uses_loop_time;
	uint64_t admitted; /* since the start */
	uint64_t refused;
	uint64_t discarded; /* measurements that could not be right */
} processor_state_t;

typedef struct processor processor_t;

/* Returns a new limit, or NULL when out of memory. clock is borrowed and must
 * outlive it. share_micro is the share of one core that the process may use, in
 * millionths; 0: not known, then only the wait for the event loop limits. */
processor_t *processor_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			      int64_t share_micro);

/* What the program measures, in microseconds. */
typedef struct processor_sample {
	int64_t used_us; /* processor time of the process since its start */
	int64_t idle_us; /* the event loop waited for events, since its start */
	int64_t late_us; /* how much later than planned a timer runs */
} processor_sample_t;

/* Takes in a measurement. Call it from the timer, every 10 ms, and
 * while the timer is overdue also when processor_is_due says so. */
void processor_measure(processor_t *processor,
		       const processor_sample_t *sample);

/* Returns whether the timer is overdue for so long that processor_measure is to
 * be called before it runs: work that is ready before the timer would otherwise
 * be decided on by old measurements. */
bool processor_is_due(const processor_t *processor);

/* Discards the measurements before a time in which processor_measure was not
 * called. Costs are kept. */
void processor_reset(processor_t *processor);

/* Returns whether to take a request in, and counts it as demand. The cost of a
 * refusal is counted as well. */
bool processor_admit(processor_t *processor,
		     const processor_request_t *request);

/* Counts a request that was refused without a decision of this limit, so that
 * its cost is not taken for that of other work. */
void processor_count_refusal(processor_t *processor);

/* Takes back a request that was taken in and has been refused by another check
 * since, before most of its cost was spent. It then counts as a refusal. */
void processor_turned_away(processor_t *processor,
			   const processor_request_t *request);

/* Adds requests that other daemons rejected early for this one. They count as
 * demand, but cost nothing here. */
void processor_add_early_rejections(processor_t *processor, int32_t importance,
				    cas_id_t customer, uint64_t count);

/* Returns the fraction of requests of an importance and customer that is taken
 * in (0..1); 1 when nothing is refused or the customer is not known. child: of
 * those that belong to a request tree that has started. */
double processor_fraction(const processor_t *processor, int32_t importance,
			  cas_id_t customer, bool child);

/* Returns the fraction (0..1) of the child calls of an importance that is taken
 * in, over all customers. */
double processor_child_fraction(const processor_t *processor,
				int32_t importance);

/* Returns the use of the daemon's share in per mille; of one core when the
 * share is not known. */
int32_t processor_permille(const processor_t *processor);

/* Returns the time in microseconds until a request that was refused now can be
 * expected to be taken in. */
int64_t processor_retry_after_us(const processor_t *processor,
				 int32_t importance, cas_id_t customer);

void processor_get_state(const processor_t *processor,
			 processor_state_t *state);

#endif
