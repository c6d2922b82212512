/* Chooses upstreams, and counts outstanding requests and bytes. */
#include "routing_internal.h"

/* A new or returned upstream reaches its full weight after this time. */
#define SLOW_START_US (10 * CAS_USEC_PER_SEC)
#define SLOW_START_MIN_WEIGHT 0.1
/* An older report of the load is ignored. */
#define BUSY_REPORT_MAX_AGE_US (100 * CAS_USEC_PER_MSEC)
/* Limits are compared only if they were reported within this time. */
#define LIMIT_REPORT_MAX_AGE_US CAS_USEC_PER_SEC
/* From this load on, the upstream queues further requests. */
#define SATURATED_PERMILLE 1000

routing_t *routing_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			  cas_rng_t *rng, const routing_ops_t *ops,
			  void *private)
{
	routing_t *routing = talloc_zero(ctx, routing_t);

	if (!routing)
		return NULL;
	routing->clock = clock;
	routing->rng = rng;
	if (ops)
		routing->ops = *ops;
	routing->private = private;
	return routing;
}

upstream_t *routing_service_upstreams(const routing_t *routing,
				      cas_id_t service, size_t *count)
{
	size_t low = 0;
	size_t high = routing->upstream_count;
	size_t end;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (routing->upstreams[middle].service < service)
			low = middle + 1;
		else
			high = middle;
	}
	for (end = low; end < routing->upstream_count; end++)
		if (routing->upstreams[end].service != service)
			break;
	*count = end - low;
	return routing->upstreams + low;
}

upstream_t *routing_find_upstream(const routing_t *routing, cas_id_t host)
{
	size_t low = 0;
	size_t high = routing->upstream_count;
	upstream_t *upstream;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (routing->upstreams[routing->by_host[middle]].host < host)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == routing->upstream_count)
		return NULL;
	upstream = &routing->upstreams[routing->by_host[low]];
	return upstream->host == host ? upstream : NULL;
}

double routing_slow_start_weight(const routing_t *routing,
				 const upstream_t *upstream)
{
	int64_t age_us =
		cas_clock_now(routing->clock) - upstream->slow_start_at_us;
	double weight = (double)age_us / (double)SLOW_START_US;

	if (weight < SLOW_START_MIN_WEIGHT)
		return SLOW_START_MIN_WEIGHT;
	return weight < 1 ? weight : 1;
}

bool routing_is_excluded(const routing_query_t *query, cas_id_t host)
{
	for (size_t i = 0; i < query->exclude_count; i++)
		if (query->exclude[i] == host)
			return true;
	return false;
}

/* Returns the load after one more request, relative to the concurrency limit.
 * It leaves out the slow-start weight, which already lowers the probability of
 * being drawn: with the weight, an idle new upstream would never be chosen. */
static double relative_load(const upstream_t *upstream)
{
	int32_t concurrency_limit = upstream->concurrency_limit > 0
					    ? upstream->concurrency_limit
					    : DEFAULT_CONCURRENCY_LIMIT;

	return (upstream->outstanding + 1.0) / concurrency_limit;
}

/* Returns whether a request would be queued at the upstream. */
static bool is_saturated(const routing_t *routing, const upstream_t *upstream)
{
	int64_t age_us = cas_clock_now(routing->clock) - upstream->busy_at_us;

	if (upstream->concurrency_limit > 0 &&
	    upstream->outstanding >= upstream->concurrency_limit)
		return true;
	return upstream->busy_permille >= SATURATED_PERMILLE &&
	       age_us < BUSY_REPORT_MAX_AGE_US;
}

/* The upstreams of a service and the conditions for a candidate. */
typedef struct candidates {
	upstream_t *upstreams; /* all of the service */
	size_t count;
	routing_tier_t tier; /* the only one considered */
	fitness_t fitness; /* the only one considered */
	const routing_query_t *query;
	/* An upstream was skipped because all its connections are in use. */
	bool connections_exhausted;
	/* Includes such upstreams if they have room for a request. */
	bool beyond_share;
	/* Leaves out upstreams behind a link without room for the body. */
	bool guards_links;
} candidates_t;

/* Returns whether the upstream would run one more request at once, as far as
 * this daemon knows. */
static bool has_room(const routing_t *routing, const upstream_t *upstream)
{
	return relative_load(upstream) <= 1 && !is_saturated(routing, upstream);
}

/* Returns whether the upstream may be chosen. Sets connections_exhausted. */
static bool is_candidate(const routing_t *routing, candidates_t *candidates,
			 const upstream_t *upstream)
{
	int64_t now_us = cas_clock_now(routing->clock);

	if (upstream->tier != candidates->tier ||
	    routing_fitness(routing, candidates->query, upstream, now_us) !=
		    candidates->fitness)
		return false;
	if (routing_is_excluded(candidates->query, upstream->host))
		return false;
	if (candidates->guards_links &&
	    upstream->tier == ROUTING_OTHER_REGION &&
	    !placement_link_allows(routing, candidates->query, upstream))
		return false;
	if (upstream->outstanding < upstream->max_connections)
		return true;
	candidates->connections_exhausted = true;
	return candidates->beyond_share && has_room(routing, upstream);
}

/* Returns a random candidate other than except, weighted by slow start, or
 * NULL. Reservoir sampling takes one pass and no list of the candidates. */
static upstream_t *draw_candidate(const routing_t *routing,
				  candidates_t *candidates,
				  const upstream_t *except)
{
	upstream_t *chosen = NULL;
	double weight_sum = 0;

	for (size_t i = 0; i < candidates->count; i++) {
		upstream_t *upstream = &candidates->upstreams[i];
		double weight;

		if (upstream == except ||
		    !is_candidate(routing, candidates, upstream))
			continue;
		weight = routing_slow_start_weight(routing, upstream);
		weight_sum += weight;
		if (cas_rng_double(routing->rng) * weight_sum < weight)
			chosen = upstream;
	}
	return chosen;
}

static bool has_recent_limit(const routing_t *routing,
			     const upstream_t *upstream)
{
	return upstream->concurrency_limit > 0 &&
	       cas_clock_now(routing->clock) - upstream->limit_at_us <=
		       LIMIT_REPORT_MAX_AGE_US;
}

/* Returns whether a request to the first upstream would meet less load. Only
 * recent limits are compared: an upstream with an old low one, or with the
 * default after an ejection, would get no requests, and so report no other. */
static bool is_less_loaded(const routing_t *routing, const upstream_t *first,
			   const upstream_t *second)
{
	if (!has_recent_limit(routing, first) ||
	    !has_recent_limit(routing, second))
		return first->outstanding < second->outstanding;
	return relative_load(first) < relative_load(second);
}

/* Returns the less loaded of two random candidates, or NULL. */
static upstream_t *pick_in_tier(const routing_t *routing,
				candidates_t *candidates)
{
	upstream_t *first = draw_candidate(routing, candidates, NULL);
	upstream_t *second;

	if (!first)
		return NULL;
	second = draw_candidate(routing, candidates, first);
	if (second && is_less_loaded(routing, second, first))
		return second;
	return first;
}

/* Picks one upstream in each tier, nearest first, and returns the first that is
 * not saturated. When all are saturated, returns the nearest; NULL when no tier
 * has a candidate. */
static upstream_t *pick_from_tiers(const routing_t *routing,
				   candidates_t *candidates,
				   routing_tier_t last_tier)
{
	upstream_t *fallback = NULL;

	for (int tier = ROUTING_OWN_HOST; tier <= (int)last_tier; tier++) {
		upstream_t *upstream;

		candidates->tier = (routing_tier_t)tier;
		upstream = pick_in_tier(routing, candidates);
		if (upstream && !is_saturated(routing, upstream))
			return upstream;
		if (!fallback)
			fallback = upstream;
	}
	return fallback;
}

/* Picks an upstream of the best fitness that has a candidate, up to the last
 * one. Returns NULL when there is none. */
static upstream_t *pick_fittest(const routing_t *routing,
				candidates_t *candidates,
				fitness_t last_fitness,
				routing_tier_t last_tier)
{
	upstream_t *upstream = NULL;

	for (int i = FITNESS_RUNNING; i <= (int)last_fitness && !upstream;
	     i++) {
		candidates->fitness = (fitness_t)i;
		upstream = pick_from_tiers(routing, candidates, last_tier);
	}
	return upstream;
}

int routing_pick(routing_t *routing, const routing_query_t *query,
		 routing_choice_t *choice)
{
	candidates_t candidates = { .query = query };
	bool last_resort = query->last_resort;
	routing_tier_t last_tier =
		last_resort ? ROUTING_OTHER_REGION : ROUTING_OWN_REGION;
	upstream_t *upstream;

	candidates.upstreams = routing_service_upstreams(
		routing, query->service, &candidates.count);
	if (!candidates.count)
		return ROUTING_ESERVICE;
	if (placement_in_force(routing, query->service)) {
		bool busy = false;

		upstream = placement_pick(routing, query, &busy);
		if (upstream || !last_resort) {
			if (!upstream)
				return busy ? ROUTING_EBUSY : ROUTING_ENONE;
			choice->host = upstream->host;
			choice->tier = upstream->tier;
			return 0;
		}
		candidates.guards_links = true;
	}
	upstream = pick_fittest(routing, &candidates,
				last_resort ? FITNESS_EJECTED : FITNESS_RUNNING,
				last_tier);
	if (!upstream && last_resort && candidates.connections_exhausted) {
		candidates.beyond_share = true;
		upstream = pick_fittest(routing, &candidates, FITNESS_STOPPING,
					last_tier);
	}
	if (!upstream)
		return candidates.connections_exhausted ? ROUTING_EBUSY
							: ROUTING_ENONE;
	upstream->spill = ROUTING_SPILL_NONE_LEFT;
	choice->host = upstream->host;
	choice->tier = upstream->tier;
	return 0;
}

void routing_set_stopping(routing_t *routing, cas_id_t host, bool stopping)
{
	upstream_t *upstream = routing_find_upstream(routing, host);

	if (!upstream || upstream->stopping == stopping)
		return;
	upstream->stopping = stopping;
	placement_invalidate(routing, upstream->service);
}

void routing_begin_body(routing_t *routing, cas_id_t host, int64_t body_bytes)
{
	upstream_t *upstream = routing_find_upstream(routing, host);
	link_t *link;

	if (!upstream)
		return;
	upstream->outstanding++;
	placement_begin(routing, upstream);
	upstream->body_bytes += link_body_bytes(body_bytes);
	if (upstream->tier != ROUTING_OTHER_REGION || !body_bytes)
		return;
	link = routing_link(routing, upstream->region);
	if (link)
		link_begin(link, body_bytes);
}

void routing_begin(routing_t *routing, cas_id_t host)
{
	routing_begin_body(routing, host, 0);
}

void routing_finish(routing_t *routing, cas_id_t host,
		    const routing_result_t *result)
{
	upstream_t *upstream = routing_find_upstream(routing, host);

	if (!upstream)
		return;
	if (upstream->outstanding > 0)
		upstream->outstanding--;
	if (result->limit_hint > 0) {
		upstream->concurrency_limit = result->limit_hint;
		upstream->limit_at_us = cas_clock_now(routing->clock);
	}
	if (result->busy_permille >= 0) {
		upstream->busy_permille = result->busy_permille;
		upstream->busy_at_us = cas_clock_now(routing->clock);
	}
	upstream->body_bytes -= link_body_bytes(result->body_bytes);
	if (upstream->body_bytes < 0)
		upstream->body_bytes = 0;
	placement_learn(routing, upstream, result);
	routing_record_result(routing, upstream, result);
}

static link_t *find_link(const routing_t *routing, cas_id_t region)
{
	for (size_t i = 0; i < routing->link_count; i++)
		if (routing->links[i].region == region)
			return &routing->links[i];
	return NULL;
}

link_t *routing_link(routing_t *routing, cas_id_t region)
{
	link_t *links = find_link(routing, region);

	if (links)
		return links;
	links = talloc_realloc(routing, routing->links, link_t,
			       routing->link_count + 1);
	if (!links)
		return NULL;
	routing->links = links;
	links[routing->link_count] = (link_t){ .region = region };
	return &links[routing->link_count++];
}

void routing_count_bytes(routing_t *routing, cas_id_t host, uint64_t sent,
			 uint64_t received)
{
	const upstream_t *upstream = routing_find_upstream(routing, host);
	link_t *link;

	if (!upstream || upstream->tier != ROUTING_OTHER_REGION)
		return;
	link = routing_link(routing, upstream->region);
	if (!link)
		return;
	link->sent += sent;
	link->received += received;
}

void routing_link_bytes(const routing_t *routing, cas_id_t region_id,
			uint64_t *sent, uint64_t *received)
{
	const link_t *link = find_link(routing, region_id);

	*sent = link ? link->sent : 0;
	*received = link ? link->received : 0;
}

const routing_counts_t *routing_counts(const routing_t *routing)
{
	return &routing->counts;
}

size_t routing_subset_size(const routing_t *routing, cas_id_t service)
{
	size_t size = 0;
	size_t count;
	const upstream_t *upstreams =
		routing_service_upstreams(routing, service, &count);

	for (size_t i = 0; i < count; i++)
		size += upstreams[i].max_connections > 0;
	return size;
}

int32_t routing_connections(const routing_t *routing, cas_id_t service,
			    cas_id_t host)
{
	const upstream_t *upstream = routing_find_upstream(routing, host);

	if (!upstream || upstream->service != service)
		return 0;
	return upstream->max_connections == ROUTING_NO_LIMIT
		       ? 0
		       : upstream->max_connections;
}

int32_t routing_outstanding(const routing_t *routing, cas_id_t host)
{
	const upstream_t *upstream = routing_find_upstream(routing, host);

	return upstream ? upstream->outstanding : 0;
}
