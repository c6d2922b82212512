/* State of the upstreams known to the router. */
#ifndef CASSIA_ROUTING_INTERNAL_H
#define CASSIA_ROUTING_INTERNAL_H

#include "cassia/routing.h"

#define ROUTING_NO_LIMIT INT32_MAX

typedef struct upstream {
	/* From the view. */
	cas_id_t host;
	cas_id_t service;
	cas_id_t region;
	routing_tier_t tier;
	bool leaving;
	int32_t connections; /* 0: not in the subset */
	/* From traffic; kept over view changes. */
	int64_t slow_start_us; /* when its slow start began */
	int32_t outstanding;
	int32_t limit; /* last hint, 0: not known */
	int32_t busy_permille;
	int64_t busy_at_us;
	double latency_us; /* smoothed, of successes since the last ejection */
	int32_t successes;
	int32_t failures; /* consecutive */
	double failure_share; /* smoothed, of all results */
	int32_t results; /* in failure_share, at most FAILURE_RESULTS */
	int32_t ejections; /* since the last long time without one */
	int64_t ejected_until_us;
} upstream_t;

typedef struct link_bytes {
	cas_id_t region;
	uint64_t sent;
	uint64_t received;
} link_bytes_t;

struct routing {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	routing_ops_t ops;
	void *private;
	upstream_t *upstreams; /* by service, then host id */
	size_t count;
	link_bytes_t *links;
	size_t link_count;
	cas_id_t region; /* the own one */
};

/* Returns the first upstream of the service and how many there are. */
upstream_t *routing_service(const routing_t *routing, cas_id_t service,
			    size_t *count);
upstream_t *routing_find(const routing_t *routing, cas_id_t host);

/* Slow start: the share of normal traffic (0..1]. */
double routing_share(const routing_t *routing, const upstream_t *upstream);

/* Evaluates an outcome and ejects the upstream when it is an outlier. */
void routing_judge(routing_t *routing, upstream_t *upstream,
		   const routing_result_t *result);

/* Sets connections of the count upstreams of one service. limit is the
 * table's bound on connections to one upstream, 0 for none. */
int routing_set_subset(routing_t *routing, upstream_t *upstreams, size_t count,
		       int32_t limit, const table_t *table,
		       const roster_t *roster, cas_id_t self, cas_id_t self_dc);

/* Returns the region of a data centre, 0 when it is not in the table. */
cas_id_t routing_region(const table_t *table, cas_id_t data_centre);

#endif
