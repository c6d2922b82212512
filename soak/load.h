/* Generates requests of one customer with Poisson arrivals, distributed over
 * the hosts of the fleet. */
#ifndef SOAK_LOAD_H
#define SOAK_LOAD_H

#include "part_quota.h"

typedef enum load_pattern {
	LOAD_UNIFORM, /* uniformly over all hosts */
	LOAD_ONE_DC, /* uniformly over the hosts of data centre 0 */
	/* Over one data centre at a time, changed every period_us. */
	LOAD_ROTATING_DC,
} load_pattern_t;

typedef struct load {
	fleet_t *fleet;
	size_t customer; /* index */
	double rate; /* requests per second */
	load_pattern_t pattern;
	int64_t period_us;
	bool stopped; /* ends the arrivals for good */
	/* Called for each arrival; part_quota_request by default. */
	void (*request)(fleet_host_t *host, size_t customer);
} load_t;

/* Starts the arrivals of a customer (index) at rate requests per second.
 * Returns the load, owned by ctx; the caller may change its members at any
 * time. Aborts when memory runs out. */
load_t *load_start(TALLOC_CTX *ctx, fleet_t *fleet, size_t customer,
		   double rate, load_pattern_t pattern);

#endif
