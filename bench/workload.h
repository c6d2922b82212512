/* Workloads of the two organisations, as data for benchmarks. */
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
	int slots;
	int connections;
	int64_t service_us; /* mean own work of one call */
} workload_service_t;

typedef struct workload_route {
	const char *name;
	int importance;
	int permille; /* of all requests */
	int depth;
	int chain[WORKLOAD_DEPTH]; /* indices of services, outermost first */
	int retries; /* budget of a root request */
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
	int64_t rack_us; /* one way inside a data centre */
	int64_t dc_us; /* one way between data centres of a region */
	int64_t region_us; /* one way between regions */
	int64_t client_us; /* one way to clients */
	int64_t timeout_us; /* of clients */
} workload_t;

extern const workload_t workload_kalebasi;
extern const workload_t workload_tuatara;

#endif
