/*
 * Workloads for the simulated benchmarks: the services, routes and customers of
 * two organisations. Times are microseconds.
 */
#ifndef CASSIA_WORKLOAD_H
#define CASSIA_WORKLOAD_H

#include <stdint.h>

#define WORKLOAD_SERVICES 4
#define WORKLOAD_DCS 6
#define WORKLOAD_REGIONS 3
#define WORKLOAD_CUSTOMERS 8
#define WORKLOAD_DEPTH 6
#define WORKLOAD_ROUTES_MAX 8

typedef struct workload_service {
	const char *name;
	int slots; /* calls that an upstream runs at once */
	int connections; /* running and queued calls of an upstream */
	int64_t mean_service_us; /* of one call, without child calls */
} workload_service_t;

typedef struct workload_route {
	const char *name;
	int importance;
	int permille; /* of all requests */
	int depth; /* length of the chain */
	int chain[WORKLOAD_DEPTH]; /* indices of services, outermost first */
	int retry_budget; /* retry units of a root request */
} workload_route_t;

typedef struct workload_customer {
	const char *name;
	int weight;
	int permille; /* of all requests */
} workload_customer_t;

typedef struct workload {
	const char *name;
	workload_service_t services[WORKLOAD_SERVICES];
	workload_route_t routes[WORKLOAD_ROUTES_MAX];
	int route_count;
	workload_customer_t customers[WORKLOAD_CUSTOMERS];
	const char *regions[WORKLOAD_REGIONS];
	/* Network delays, one way. */
	int64_t same_dc_delay_us; /* between hosts of a data centre */
	int64_t same_region_delay_us; /* between data centres of a region */
	int64_t cross_region_delay_us;
	int64_t client_delay_us; /* between a client and an entry daemon */
	int64_t client_timeout_us; /* for one attempt */
} workload_t;

extern const workload_t workload_kalebasi;
extern const workload_t workload_tuatara;

#endif
