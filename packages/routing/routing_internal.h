/* State of the router and of its upstreams, shared by its source files. */
#ifndef CASSIA_ROUTING_INTERNAL_H
#define CASSIA_ROUTING_INTERNAL_H

#include "cassia/routing.h"

/* Value of max_connections for an upstream without a limit. */
#define ROUTING_NO_LIMIT INT32_MAX

/* Allowed regions of the routes and customers that have a list. */
typedef struct region_limits region_limits_t;

typedef struct upstream {
	/* From the table and the host list. */
	cas_id_t host;
	cas_id_t service;
	cas_id_t region;
	routing_tier_t tier;
	bool leaving; /* listed as leaving: gets no new requests */
	bool evacuated; /* its data centre is: gets no new requests */
	int32_t max_connections; /* of this daemon, 0: not in the subset */
	bool stopping; /* its daemon announces a stop, see routing_set_stopping */
	/* From traffic; kept when the table or the host list changes. */
	int64_t slow_start_at_us; /* start of the last slow start */
	int32_t outstanding; /* requests */
	int32_t concurrency_limit; /* last one reported, 0: unknown */
	int32_t busy_permille; /* last load reported, -1: unknown */
	int64_t busy_at_us; /* time of that report */
	double smoothed_latency_us; /* of successes since the last ejection */
	int32_t latency_samples; /* counted up to LATENCY_SAMPLES_MIN */
	int32_t consecutive_failures;
	double failure_rate; /* 0..1, smoothed */
	int32_t failure_rate_samples; /* up to FAILURE_RATE_SAMPLES_MIN */
	int32_t recent_ejections; /* doublings of the next ejection */
	int64_t ejected_until_us; /* end of the last ejection */
	int64_t refused_at_us; /* start of the last ejection for a refusal */
	/* Doublings by ejections for refusals since the last response. */
	int32_t refusal_doublings;
	bool refused; /* last ejected for a refusal, no response since */
	bool unreachable; /* the same, and the host was silent */
} upstream_t;

/* Bytes exchanged with another region. */
typedef struct link_bytes {
	cas_id_t region;
	uint64_t sent;
	uint64_t received;
} link_bytes_t;

struct routing {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	routing_ops_t ops;
	void *private; /* argument of ops */
	upstream_t *upstreams; /* sorted by service, then host id */
	size_t upstream_count;
	link_bytes_t *links; /* one for each region, added when first used */
	size_t link_count;
	cas_id_t self_region; /* of the own host */
	bool has_evacuations; /* a data centre is evacuated */
	region_limits_t *limits; /* NULL: the table limits no regions */
};

/* Whether an upstream is fit for a request, the best first. */
typedef enum fitness {
	FITNESS_RUNNING,
	FITNESS_STOPPING, /* its daemon announces a stop */
	FITNESS_EJECTED,
	FITNESS_UNFIT, /* must not get the request */
} fitness_t;

/* Returns whether an upstream may get a request now, the only place that every
 * choice asks. Connections in use are not considered. */
fitness_t routing_fitness(const routing_t *routing,
			  const routing_query_t *query,
			  const upstream_t *upstream, int64_t now_us);

/* Returns whether the host list closes the upstream for new requests. */
static inline bool routing_is_closed(const upstream_t *upstream)
{
	return upstream->leaving || upstream->evacuated;
}

/* Returns the upstreams of the service (borrowed) and their count. */
upstream_t *routing_service_upstreams(const routing_t *routing,
				      cas_id_t service, size_t *count);

/* Returns the upstream on the host (borrowed), or NULL. */
upstream_t *routing_find_upstream(const routing_t *routing, cas_id_t host);

/* Returns the weight of the upstream in random choices, (0..1]. It grows during
 * slow start and is 1 afterwards. */
double routing_slow_start_weight(const routing_t *routing,
				 const upstream_t *upstream);

/* Updates the health statistics of the upstream and ejects it when it is an
 * outlier. */
void routing_record_result(routing_t *routing, upstream_t *upstream,
			   const routing_result_t *result);

/* Sets the max_connections of this daemon for the count upstreams of one
 * service. The parameter max_connections is the table's bound on the
 * connections of all daemons to one upstream, 0 for none. Returns 0 or
 * ROUTING_ENOMEM. */
int routing_assign_connections(routing_t *routing, upstream_t *upstreams,
			       size_t count, int32_t max_connections,
			       const table_t *table, const roster_t *roster,
			       cas_id_t self, cas_id_t self_dc);

/* Copies the lists of allowed regions of a table to *limits (owned by ctx),
 * which is NULL if it has none. Returns 0 or ROUTING_ENOMEM. */
int region_limits_create(TALLOC_CTX *ctx, const table_t *table,
			 region_limits_t **limits);

/* Returns whether a request may be run in a region. limits may be NULL. */
bool region_limits_allow(const region_limits_t *limits,
			 const routing_query_t *query, cas_id_t region);

/* Returns whether the list of a route or customer has the region. limits may be
 * NULL. */
bool region_limits_name(const region_limits_t *limits, cas_id_t region);

/* Returns the region of a data centre, or 0 when it is not in the table. */
cas_id_t routing_region_of(const table_t *table, cas_id_t data_centre);

#endif
