/* Latency of an upstream, normalised over kinds of requests. */
#ifndef CASSIA_LATENCY_INTERNAL_H
#define CASSIA_LATENCY_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/hash.h"

/* Further kinds share the last entry. */
#define LATENCY_KINDS 64

typedef struct latency_kind {
	cas_id_t id;
	int32_t samples; /* successes, up to the smoothing window */
	int32_t finishes; /* any outcome, up to the smoothing window */
	double typical_us; /* smoothed total of successes */
	int64_t typical_at_us;
	double own_held_us; /* smoothed own time, any outcome */
	double child_held_us; /* smoothed time in child calls, any outcome */
	double base_us; /* own time without queueing in the upstream */
	/* Successes of the current period. */
	double own_us;
	double total_us;
	int32_t count;
} latency_kind_t;

typedef struct latency {
	latency_kind_t kinds[LATENCY_KINDS];
	int count;
} latency_t;

/* What a period showed. */
typedef struct latency_period {
	double inflation; /* own time divided by base time */
	double own_share; /* own time divided by total time */
	int count;
} latency_period_t;

/* Returns the kind of an id, made on first use. */
latency_kind_t *latency_kind(latency_t *latency, cas_id_t id);

/* Adds a request that held the upstream for total_us, own_us of it without
 * child calls. */
void latency_add(latency_kind_t *kind, int64_t now_us, int64_t total_us,
		 int64_t own_us, bool ok);

/* Returns how long a request would hold the upstream if nothing queued in
 * it, 0 when it is not known. */
double latency_held(const latency_kind_t *kind);

/* Adds a successful request to the current period. own_us is the time that
 * was not spent in child calls. */
void latency_sample(latency_kind_t *kind, int64_t total_us, int64_t own_us);

/* Returns the usual time of a successful request, 0 when it is not known. */
int64_t latency_typical(const latency_kind_t *kind, int64_t now_us);

/* Forgets the samples of the period. */
void latency_restart(latency_t *latency);

/* Ends a period and adapts the proportions of the base times to each
 * other. */
latency_period_t latency_end_period(latency_t *latency);

/* Multiplies all base times. */
void latency_scale(latency_t *latency, double factor);

#endif
