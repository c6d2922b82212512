/* Poisson arrivals of one customer over the hosts of the fleet. */
#ifndef SOAK_LOAD_H
#define SOAK_LOAD_H

#include "part_quota.h"

typedef enum load_pattern {
	LOAD_EVEN, /* any host */
	LOAD_ONE_DC, /* any host of the first data centre */
	LOAD_MOVING, /* one data centre, the next one every period */
} load_pattern_t;

typedef struct load {
	fleet_t *fleet;
	size_t customer;
	double rate; /* requests a second */
	load_pattern_t pattern;
	int64_t period_us;
	bool stopped;
	/* Called for each arrival; part_quota_request by default. */
	void (*request)(fleet_host_t *host, size_t customer);
} load_t;

/* Starts the arrivals; the fields may be changed at any time. */
load_t *load_start(TALLOC_CTX *ctx, fleet_t *fleet, size_t customer,
		   double rate, load_pattern_t pattern);

#endif
