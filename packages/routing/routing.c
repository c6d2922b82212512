/* Chooses upstreams and keeps account of what is outstanding at each. */
#include "routing_internal.h"

#define SLOW_START_US (10 * CAS_USEC_PER_SEC)
#define SLOW_START_MIN 0.1
/* Used for upstreams whose limit is not known yet. */
#define LIMIT_ASSUMED 8
/* A reported load is believed for this time. */
#define BUSY_FRESH_US (100 * CAS_USEC_PER_MSEC)
#define BUSY_PERMILLE 1000

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

upstream_t *routing_service(const routing_t *routing, cas_id_t service,
			    size_t *count)
{
	size_t low = 0;
	size_t high = routing->count;
	size_t end;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (routing->upstreams[middle].service < service)
			low = middle + 1;
		else
			high = middle;
	}
	for (end = low; end < routing->count; end++)
		if (routing->upstreams[end].service != service)
			break;
	*count = end - low;
	return routing->upstreams + low;
}

upstream_t *routing_find(const routing_t *routing, cas_id_t host)
{
	for (size_t i = 0; i < routing->count; i++)
		if (routing->upstreams[i].host == host)
			return &routing->upstreams[i];
	return NULL;
}

double routing_share(const routing_t *routing, const upstream_t *upstream)
{
	int64_t age_us =
		cas_clock_now(routing->clock) - upstream->slow_start_us;
	double share = (double)age_us / (double)SLOW_START_US;

	if (share < SLOW_START_MIN)
		return SLOW_START_MIN;
	return share < 1 ? share : 1;
}

static bool is_excluded(cas_id_t host, const cas_id_t *exclude, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (exclude[i] == host)
			return true;
	return false;
}

/* Work outstanding for what the upstream is known to take. Slow start only
 * lowers the chance to be drawn: an idle new upstream would never win here. */
static double load_of(const upstream_t *upstream)
{
	int32_t limit = upstream->limit > 0 ? upstream->limit : LIMIT_ASSUMED;

	return (upstream->outstanding + 1.0) / limit;
}

static bool is_saturated(const routing_t *routing, const upstream_t *upstream)
{
	int64_t age_us = cas_clock_now(routing->clock) - upstream->busy_at_us;

	if (upstream->limit > 0 && upstream->outstanding >= upstream->limit)
		return true;
	return upstream->busy_permille >= BUSY_PERMILLE &&
	       age_us < BUSY_FRESH_US;
}

/* The candidates of one tier. */
typedef struct candidates {
	upstream_t *upstreams;
	size_t count;
	routing_tier_t tier;
	const cas_id_t *exclude;
	size_t exclude_count;
	bool full; /* one was passed over because its connections are used */
} candidates_t;

static bool is_candidate(const routing_t *routing, candidates_t *from,
			 const upstream_t *upstream)
{
	int64_t now_us = cas_clock_now(routing->clock);

	if (upstream->tier != from->tier || upstream->leaving ||
	    !upstream->connections || now_us < upstream->ejected_until_us)
		return false;
	if (is_excluded(upstream->host, from->exclude, from->exclude_count))
		return false;
	if (upstream->outstanding < upstream->connections)
		return true;
	from->full = true;
	return false;
}

/* Returns a random candidate other than other, by slow-start share, or NULL. */
static upstream_t *draw_one(const routing_t *routing, candidates_t *from,
			    const upstream_t *other)
{
	upstream_t *chosen = NULL;
	double sum = 0;

	for (size_t i = 0; i < from->count; i++) {
		upstream_t *upstream = &from->upstreams[i];
		double share;

		if (upstream == other || !is_candidate(routing, from, upstream))
			continue;
		share = routing_share(routing, upstream);
		sum += share;
		if (cas_rng_double(routing->rng) * sum < share)
			chosen = upstream;
	}
	return chosen;
}

static upstream_t *pick_in_tier(const routing_t *routing, candidates_t *from)
{
	upstream_t *first = draw_one(routing, from, NULL);
	upstream_t *second;

	if (!first)
		return NULL;
	second = draw_one(routing, from, first);
	if (second && load_of(second) < load_of(first))
		return second;
	return first;
}

static upstream_t *pick(const routing_t *routing, candidates_t *from,
			routing_tier_t last)
{
	upstream_t *nearest = NULL;

	for (int tier = ROUTING_OWN_HOST; tier <= (int)last; tier++) {
		upstream_t *upstream;

		from->tier = (routing_tier_t)tier;
		upstream = pick_in_tier(routing, from);
		if (upstream && !is_saturated(routing, upstream))
			return upstream;
		if (!nearest)
			nearest = upstream;
	}
	return nearest;
}

int routing_pick(routing_t *routing, cas_id_t service, const cas_id_t *exclude,
		 size_t exclude_count, bool other_regions,
		 routing_choice_t *choice)
{
	candidates_t from = { .exclude = exclude,
			      .exclude_count = exclude_count };
	routing_tier_t last =
		other_regions ? ROUTING_OTHER_REGION : ROUTING_OWN_REGION;
	upstream_t *upstream;

	from.upstreams = routing_service(routing, service, &from.count);
	if (!from.count)
		return ROUTING_ESERVICE;
	upstream = pick(routing, &from, last);
	if (!upstream)
		return from.full ? ROUTING_EBUSY : ROUTING_ENONE;
	choice->host = upstream->host;
	choice->tier = upstream->tier;
	return 0;
}

void routing_begin(routing_t *routing, cas_id_t host)
{
	upstream_t *upstream = routing_find(routing, host);

	if (upstream)
		upstream->outstanding++;
}

void routing_finish(routing_t *routing, cas_id_t host,
		    const routing_result_t *result)
{
	upstream_t *upstream = routing_find(routing, host);

	if (!upstream)
		return;
	if (upstream->outstanding > 0)
		upstream->outstanding--;
	if (result->limit_hint > 0)
		upstream->limit = result->limit_hint;
	if (result->busy_permille >= 0) {
		upstream->busy_permille = result->busy_permille;
		upstream->busy_at_us = cas_clock_now(routing->clock);
	}
	routing_judge(routing, upstream, result);
}

static link_bytes_t *find_link(const routing_t *routing, cas_id_t region)
{
	for (size_t i = 0; i < routing->link_count; i++)
		if (routing->links[i].region == region)
			return &routing->links[i];
	return NULL;
}

static link_bytes_t *add_link(routing_t *routing, cas_id_t region)
{
	link_bytes_t *links = talloc_realloc(
		routing, routing->links, link_bytes_t, routing->link_count + 1);

	if (!links)
		return NULL;
	routing->links = links;
	links[routing->link_count] = (link_bytes_t){ .region = region };
	return &links[routing->link_count++];
}

void routing_count_bytes(routing_t *routing, cas_id_t host, uint64_t sent,
			 uint64_t received)
{
	const upstream_t *upstream = routing_find(routing, host);
	link_bytes_t *link;

	if (!upstream || upstream->tier != ROUTING_OTHER_REGION)
		return;
	link = find_link(routing, upstream->region);
	if (!link)
		link = add_link(routing, upstream->region);
	if (!link)
		return;
	link->sent += sent;
	link->received += received;
}

void routing_link_bytes(const routing_t *routing, cas_id_t region_id,
			uint64_t *sent, uint64_t *received)
{
	const link_bytes_t *link = find_link(routing, region_id);

	*sent = link ? link->sent : 0;
	*received = link ? link->received : 0;
}

size_t routing_subset_size(const routing_t *routing, cas_id_t service)
{
	size_t size = 0;
	size_t count;
	const upstream_t *upstreams = routing_service(routing, service, &count);

	for (size_t i = 0; i < count; i++)
		size += upstreams[i].connections > 0;
	return size;
}

int32_t routing_connections(const routing_t *routing, cas_id_t service,
			    cas_id_t host)
{
	const upstream_t *upstream = routing_find(routing, host);

	if (!upstream || upstream->service != service)
		return 0;
	return upstream->connections == ROUTING_NO_LIMIT
		       ? 0
		       : upstream->connections;
}

int32_t routing_outstanding(const routing_t *routing, cas_id_t host)
{
	const upstream_t *upstream = routing_find(routing, host);

	return upstream ? upstream->outstanding : 0;
}
