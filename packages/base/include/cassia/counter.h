/*
 * A registry of named counters, gauges and histograms with labels, printed in
 * the Prometheus text format.
 */
#ifndef CASSIA_COUNTER_H
#define CASSIA_COUNTER_H

#include <stdint.h>
#include <talloc.h>

#include "cassia/hist.h"
#include "cassia/str.h"

typedef struct cas_metrics cas_metrics_t;

/* A value that its user adds to or sets directly. */
typedef struct cas_counter {
	int64_t value;
} cas_counter_t;

/* Returns a new empty registry, or NULL when memory is short. */
cas_metrics_t *cas_metrics_create(TALLOC_CTX *ctx);

/*
 * Returns the counter (borrowed, owned by the registry) of a name and its
 * labels, made on first use. labels has the Prometheus form without braces,
 * such as customer="a",importance="3", or is empty. NULL when memory is
 * short.
 */
cas_counter_t *cas_metrics_counter(cas_metrics_t *metrics, const char *name,
				   const char *labels);

/* The same for a histogram of times in microseconds. */
cas_hist_t *cas_metrics_hist(cas_metrics_t *metrics, const char *name,
			     const char *labels);

/* Returns the text form (new reference, owned by ctx), sorted by name. */
cas_str_t cas_metrics_print(cas_metrics_t *metrics, TALLOC_CTX *ctx);

#endif
