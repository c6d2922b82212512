/* State of the router and of its upstreams, shared by its source files. */
#ifndef CASSIA_ROUTING_INTERNAL_H
#define CASSIA_ROUTING_INTERNAL_H

#include "cassia/routing.h"
#include "estimate.h"
#include "links.h"

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
	int64_t limit_at_us; /* time of that report */
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
	estimate_upstream_t estimate;
	size_t list_position; /* in the list of its service and tier */
	routing_spill_t spill; /* cause of its last choice, in another region */
	int64_t body_bytes; /* of its outstanding requests */
} upstream_t;

/* The upstreams of one service in one tier. A Fenwick tree of their weights
 * draws one in O(log count) without a visit of the others. */
typedef struct placement_list {
	size_t *members; /* indexes of routing->upstreams */
	int64_t *tree; /* count + 1 entries; the first is unused */
	int64_t *weights;
	size_t count;
	int64_t total; /* of the weights */
} placement_list_t;

/* What placement keeps of a service. Sorted by service. */
typedef struct placement_service {
	estimate_service_t estimate; /* kept when the view changes */
	cas_id_t service;
	placement_list_t lists[ROUTING_TIERS];
	/* Weights are valid until then, or until an ejection. */
	int64_t weights_until_us;
	bool was_in_force; /* at the last choice, for the log */
} placement_service_t;

/* A name from the table, for log lines. */
typedef struct placement_name {
	cas_id_t id;
	cas_str_t name;
} placement_name_t;

/* The candidate lists of one view. */
typedef struct placement {
	placement_name_t *names; /* of services and regions */
	size_t name_count;
	placement_service_t *services;
	size_t service_count;
	size_t host_count; /* daemons of the fleet */
} placement_t;

struct routing {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	routing_ops_t ops;
	void *private; /* argument of ops */
	upstream_t *upstreams; /* sorted by service, then host id */
	size_t upstream_count;
	/* Indexes of upstreams, sorted by host id. */
	size_t *by_host;
	placement_t *placement; /* NULL before the first view */
	estimate_kinds_t kinds;
	link_t *links; /* one for each region, added when first used */
	size_t link_count;
	cas_id_t self_region; /* of the own host */
	bool has_evacuations; /* a data centre is evacuated */
	region_limits_t *limits; /* NULL: the table limits no regions */
	routing_counts_t counts;
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

/* Returns whether a host is among those that the query excludes. */
bool routing_is_excluded(const routing_query_t *query, cas_id_t host);

/* Returns the state of the link to a region (borrowed), which is added on first
 * use, or NULL when out of memory. */
link_t *routing_link(routing_t *routing, cas_id_t region);

/* Builds the candidate lists for sorted upstreams. What is known of a service
 * is taken over from the present lists. table is borrowed during the call.
 * Returns the lists (owned by routing),
 * or NULL when out of memory. */
placement_t *placement_create(routing_t *routing, upstream_t *upstreams,
			      size_t count, const table_t *table);

/* Returns the name of a service or region (borrowed), "-" if it has none. */
cas_str_t placement_name(const routing_t *routing, cas_id_t id);

/* Returns what is kept of the service (borrowed), or NULL. */
placement_service_t *placement_find(const routing_t *routing, cas_id_t service);

/* Returns the position in the list at which the sum of weights exceeds target,
 * which is in [0, total). */
size_t placement_position(const placement_list_t *list, int64_t target);

/* Computes all weights of the service if they are no longer valid. Upstreams
 * that no request may get have none. */
void placement_update_weights(routing_t *routing, placement_service_t *service,
			      int64_t now_us);

/* Computes the weight of one upstream. It stays 0 for one that no request may
 * get. */
void placement_update_weight(routing_t *routing, placement_service_t *service,
			     const upstream_t *upstream);

/* Returns whether the choice for the service is by expected completion:
 * outcomes of its upstreams have carried a load lately. */
bool placement_in_force(routing_t *routing, cas_id_t service);

/* Chooses by expected completion. Returns the upstream (borrowed), or NULL when
 * no running one is found; then *busy is set if connections in use were the
 * reason for one of them. */
upstream_t *placement_pick(routing_t *routing, const routing_query_t *query,
			   bool *busy);

/* Learns from a request that has ended, before its result is recorded. */
void placement_learn(routing_t *routing, upstream_t *upstream,
		     const routing_result_t *result);

/* Writes what a choice for the query knows of the upstream to candidate. */
void placement_describe(routing_t *routing, const routing_query_t *query,
			const upstream_t *upstream,
			routing_candidate_t *candidate);

/* Counts a request that is sent to the upstream. */
void placement_begin(routing_t *routing, upstream_t *upstream);

/* Returns whether the link to the region of the upstream has room for the body
 * of the request. */
bool placement_link_allows(const routing_t *routing,
			   const routing_query_t *query,
			   const upstream_t *upstream);

/* Has the weights of the service computed again before the next choice. */
void placement_invalidate(routing_t *routing, cas_id_t service);

/* Returns the region of a data centre, or 0 when it is not in the table. */
cas_id_t routing_region_of(const table_t *table, cas_id_t data_centre);

#endif
