/*
 * Internal state of the processor limit: measurements, learned costs, the
 * capacity that follows from them, and the demand of each class of requests.
 */
#ifndef CASSIA_PROCESSOR_INTERNAL_H
#define CASSIA_PROCESSOR_INTERNAL_H

#include <glib.h>

#include "cassia/processor.h"

/* Latest fractions kept for each class, for calls of started trees: one of them
 * may have admitted the root request of a call that arrives now. */
#define PROCESSOR_FRACTION_HISTORY 10
/* Index of the cost of one timer tick, which stands for all work that does not
 * depend on the number of requests. */
#define PROCESSOR_TICK PROCESSOR_WORK_COUNT
#define PROCESSOR_COST_COUNT (PROCESSOR_WORK_COUNT + 1)
/* Duration of a measurement window: a whole period of a quota that the kernel
 * enforces per tenth of a second. */
#define PROCESSOR_WINDOW_US (100 * CAS_USEC_PER_MSEC)

/* All requests of one customer at one importance, of started trees or not. */
typedef struct processor_class {
	cas_id_t customer;
	int32_t importance;
	bool child;
	int32_t weight;
	/* Since the last division. */
	uint64_t arrived;
	uint64_t early; /* rejected by other daemons */
	uint64_t unfiltered; /* arrived, with a draw that nobody refuses */
	double net_us; /* cost of one request beyond that of its refusal */
	double demand; /* smoothed, in cores beyond the cost of refusals */
	double fraction; /* taken in, 0..1 */
	double history[PROCESSOR_FRACTION_HISTORY]; /* circular buffer */
	int history_next; /* index of its oldest entry */
	/* Part of the burst allowance that the class may fill, 0..1. */
	double burst_share;
	int64_t last_used_us;
} processor_class_t;

/* Measurements and what is learned from them (processor_capacity.c). */
typedef struct processor_capacity {
	double ceiling; /* most that is ever taken in, in cores */
	/* The processor clock is wrong: the time in which the loop is not idle
	 * is used in its place, and one core stands for all of the time. */
	bool uses_loop_time;
	double speed; /* smoothed use while the loop is not idle, in cores */
	double capacity; /* taken in now, in cores */
	double late_capacity; /* at which the loop was late, 0: none lately */
	double used; /* smoothed use, in cores */
	double cost_us[PROCESSOR_COST_COUNT];
	int64_t wait_us; /* mean wait in the last window */
	int64_t measured_us; /* end of the last window, 0: none */
	uint64_t discarded;
	/* The current window. */
	bool started;
	int64_t window_start_us;
	int64_t window_used_us; /* counters at its start */
	int64_t window_idle_us;
	double late_integral; /* of the lateness over its time, in us^2 */
	int64_t last_us; /* time of the last measurement */
	uint64_t count[PROCESSOR_COST_COUNT];
} processor_capacity_t;

struct processor {
	const cas_clock_t *clock;
	int64_t share_micro;
	processor_capacity_t capacity;
	GHashTable *classes; /* processor_class_t, keyed by itself */
	processor_class_t **class_list; /* scratch array of the division */
	size_t class_list_size; /* allocated entries */
	int64_t divided_us; /* time of the last division */
	uint64_t arrived; /* of all classes since then */
	double offered; /* smoothed demand of all classes, in cores */
	/* Part of the child calls of an importance that is taken in, over all
	 * customers; 1: all of them. */
	double child_fraction[PROCESSOR_IMPORTANCES];
	/* Factor of the capacity that is divided, see update_boost. */
	double boost;
	bool limiting;
	/* Work taken in and not yet worked off, in microseconds. */
	double backlog_us;
	int64_t backlog_as_of_us;
	uint64_t burst_refused; /* by the burst allowance, since the division */
	uint64_t admitted;
	uint64_t refused;
};

/* Sets the initial costs and the capacity for a share of a core; 0: unknown. */
void processor_capacity_init(processor_capacity_t *capacity,
			     int64_t share_micro);

/* Starts a new window at the next measurement. */
void processor_capacity_restart(processor_capacity_t *capacity);

/* Takes in a measurement, see processor_measure. Returns true at the end of a
 * window, when costs and capacity have been updated. */
bool processor_capacity_measure(processor_capacity_t *capacity, int64_t now_us,
				const processor_sample_t *sample);

/* Divides the capacity between the classes and sets their fractions
 * (processor_divide.c). */
void processor_divide(processor_t *processor, int64_t now_us);

/* Returns the fraction below which all draws of a class arrive, whichever of
 * the recent fractions another daemon uses. */
double processor_unfiltered_fraction(const processor_class_t *class);

#endif
