/* What an upstream and its queue have done lately. */
#ifndef CASSIA_LOAD_INTERNAL_H
#define CASSIA_LOAD_INTERNAL_H

#include <stdint.h>

/* Counts in which older events have less weight. */
typedef struct recent_load {
	int64_t updated_us;
	double arrivals;
	double refused; /* rejected, or dropped from the queue */
	double finished;
} recent_load_t;

/* Add an event. */
void recent_load_arrival(recent_load_t *recent, int64_t now_us);
void recent_load_refusal(recent_load_t *recent, int64_t now_us);
void recent_load_finish(recent_load_t *recent, int64_t now_us);

#endif
