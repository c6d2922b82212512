/*
 * A registry of metrics: counters, gauges and histograms with a name and
 * labels, printed in the Prometheus text format.
 */
#ifndef CASSIA_METRICS_H
#define CASSIA_METRICS_H

#include <stdint.h>
#include <talloc.h>

#include "cassia/hist.h"
#include "cassia/str.h"

typedef struct cas_metrics cas_metrics_t;

/* A counter or gauge, whose value its user changes directly. Both are printed
 * with the type gauge. */
typedef struct cas_counter {
	int64_t value;
} cas_counter_t;

/* Returns a new empty registry (owned by ctx), or NULL when out of memory. */
cas_metrics_t *cas_metrics_create(TALLOC_CTX *ctx);

/*
 * Returns the counter with a name and labels (borrowed, owned by the registry),
 * which is created on first use, or NULL when out of memory. labels has the
 * Prometheus form without braces, such as customer="a",importance="3", or is
 * empty.
 */
cas_counter_t *cas_metrics_counter(cas_metrics_t *metrics, const char *name,
				   const char *labels);

/* Sets a counter, or adds one to it. Does nothing when out of memory. */
void cas_metrics_set(cas_metrics_t *metrics, const char *name,
		     const char *labels, int64_t value);
void cas_metrics_increment(cas_metrics_t *metrics, const char *name,
			   const char *labels);

/* The same for a histogram of durations in microseconds. A name and labels
 * belong either to a counter or to a histogram. */
cas_hist_t *cas_metrics_hist(cas_metrics_t *metrics, const char *name,
			     const char *labels);

/* Returns the text form (new reference, owned by ctx), sorted by name and
 * labels. */
cas_str_t cas_metrics_print(cas_metrics_t *metrics, TALLOC_CTX *ctx);

#endif
