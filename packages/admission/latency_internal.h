/* Latency of one upstream, measured for each kind of request. */
#ifndef CASSIA_LATENCY_INTERNAL_H
#define CASSIA_LATENCY_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/hash.h"

/* Size of the table of kinds. When it is full, all further kinds share its
 * last entry. */
#define LATENCY_KINDS 64

/*
 * Latency of one kind of request. The total time of a request runs from its
 * start to its end; its own time is the total without the time spent waiting
 * for child calls.
 */
typedef struct latency_kind {
	cas_id_t id;
	int32_t success_samples; /* up to the smoothing window */
	int32_t finish_samples; /* any outcome, up to the smoothing window */
	double typical_us; /* smoothed total time of successful requests */
	int64_t last_success_us; /* time of the last successful request */
	double mean_own_us; /* smoothed own time, any outcome */
	double mean_child_us; /* smoothed time in child calls, any outcome */
	/* Own time without queueing in the upstream, 0: not known. */
	double base_us;
	/* Usual own time by which responses are judged in a warm-up, 0: not
	 * known, and whether it is from before the warm-up. */
	double usual_us;
	bool usual_known;
	int32_t usual_samples; /* responses that it was learned from since */
	/* Sums over the successful requests of the current period. */
	double period_own_us;
	double period_total_us;
	int32_t period_count;
} latency_kind_t;

typedef struct latency {
	latency_kind_t kinds[LATENCY_KINDS];
	int kind_count;
} latency_t;

/* Result of one measurement period, over all kinds with a base time. */
typedef struct latency_period {
	double inflation; /* own time divided by base time */
	double own_share; /* own time divided by total time */
	int sample_count;
} latency_period_t;

/* Returns the entry of a kind, which is added on first use. */
latency_kind_t *latency_kind(latency_t *latency, cas_id_t id);

/* Updates the means of a kind with a finished request that ran for total_us,
 * own_us of it without child calls. ok: it was successful. */
void latency_record(latency_kind_t *kind, int64_t now_us, int64_t total_us,
		    int64_t own_us, bool ok);

/* Returns the expected total time in microseconds of a request that does not
 * queue in the upstream, 0 when it is not known. */
double latency_unqueued(const latency_kind_t *kind);

/* Adds a successful request to the current period. own_us is its time without
 * child calls. */
void latency_add_sample(latency_kind_t *kind, int64_t total_us, int64_t own_us);

/* Returns the smoothed total time in microseconds of successful requests, 0
 * when it is not known. It decays while no request succeeds. */
int64_t latency_typical(const latency_kind_t *kind, int64_t now_us);

/* Discards the samples of the current period. */
void latency_reset_period(latency_t *latency);

/* Ends the current period and returns its result. Moves the base time of each
 * kind towards its mean own time in the period, divided by the inflation over
 * all kinds. */
latency_period_t latency_end_period(latency_t *latency);

/* Multiplies the base times of all kinds by factor. */
void latency_scale_base(latency_t *latency, double factor);

#endif
