/*
 * Subsets: how many connections this daemon may keep to each upstream. The
 * connections of an upstream are divided between the daemons of its data
 * centre, of its region and of other regions. At each distance, the daemons
 * with the highest rendezvous weights for the upstream get connections until
 * the share of that distance is used up, so the sum over all daemons stays
 * within the table's bound. Each daemon computes this alone from the same host
 * list.
 */
#include "routing_internal.h"

/* 1/16 of the connections is reserved for daemons that would otherwise get no
 * upstream of a service. */
#define RESERVE_DIVISOR 16

/* Distance between a daemon and an upstream. */
typedef enum distance {
	SAME_DC,
	SAME_REGION,
	OTHER_REGION,
	DISTANCES, /* number of distances */
} distance_t;

/* Relative shares of an upstream's connections by distance. */
static const int32_t distance_weight[DISTANCES] = { 2, 1, 1 };

/* Location of a daemon or of an upstream. */
typedef struct daemon_location {
	cas_id_t host;
	cas_id_t dc;
	cas_id_t region;
} daemon_location_t;

static distance_t distance_of(const daemon_location_t *a,
			      const daemon_location_t *b)
{
	if (a->dc == b->dc)
		return SAME_DC;
	return a->region == b->region ? SAME_REGION : OTHER_REGION;
}

/* Position of this daemon among the daemons that may get connections of one
 * upstream. */
typedef struct ranking {
	int32_t daemon_counts[DISTANCES]; /* by distance from the upstream */
	int32_t rank; /* daemons at its distance with higher weights */
} ranking_t;

/* Ranks the daemon self for the upstream. The upstream's own daemon does not
 * count: it has no connection limit. */
static void rank_self(const daemon_location_t *locations, size_t count,
		      const daemon_location_t *self,
		      const daemon_location_t *upstream, ranking_t *ranking)
{
	distance_t own_distance = distance_of(self, upstream);
	uint64_t weight = cas_rendezvous_weight(self->host, upstream->host);

	*ranking = (ranking_t){ 0 };
	for (size_t i = 0; i < count; i++) {
		distance_t distance = distance_of(&locations[i], upstream);

		if (locations[i].host == upstream->host)
			continue;
		ranking->daemon_counts[distance]++;
		if (distance == own_distance &&
		    locations[i].host != self->host &&
		    cas_rendezvous_weight(locations[i].host, upstream->host) >
			    weight)
			ranking->rank++;
	}
}

/* Returns the connections of this daemon out of the max_connections of all, 0
 * when it is not in the subset. */
static int32_t own_connections(const ranking_t *ranking,
			       distance_t own_distance, int32_t max_connections)
{
	int32_t weight_sum = 0;
	int32_t distance_share;
	int32_t per_daemon;

	for (int i = 0; i < DISTANCES; i++)
		if (ranking->daemon_counts[i])
			weight_sum += distance_weight[i];
	if (!weight_sum)
		return 0;
	max_connections -= max_connections / RESERVE_DIVISOR;
	distance_share =
		max_connections * distance_weight[own_distance] / weight_sum;
	per_daemon =
		ranking->daemon_counts[own_distance]
			? distance_share / ranking->daemon_counts[own_distance]
			: distance_share;
	if (per_daemon < 1)
		per_daemon = 1;
	return ranking->rank < distance_share / per_daemon ? per_daemon : 0;
}

/* Returns the locations of all listed hosts (owned by ctx), or NULL. */
static daemon_location_t *list_daemon_locations(TALLOC_CTX *ctx,
						const table_t *table,
						const roster_t *roster)
{
	daemon_location_t *locations =
		talloc_array(ctx, daemon_location_t, roster->host_count + 1);

	if (!locations)
		return NULL;
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];

		locations[i].host = host->id;
		locations[i].dc = host->data_centre_id;
		locations[i].region =
			routing_region_of(table, host->data_centre_id);
	}
	return locations;
}

/* A daemon that got no upstream of the service takes one connection from the
 * reserve, to the upstream with the highest rendezvous weight. region 0: among
 * all upstreams; else among those of the region. Evacuated ones do not count. */
static void assign_reserve(upstream_t *upstreams, size_t count, cas_id_t self,
			   cas_id_t region)
{
	upstream_t *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t weight =
			cas_rendezvous_weight(upstreams[i].host, self);

		if (upstreams[i].evacuated ||
		    (region && upstreams[i].region != region))
			continue;
		if (upstreams[i].max_connections)
			return;
		if (best && weight <= best_weight)
			continue;
		best = &upstreams[i];
		best_weight = weight;
	}
	if (best)
		best->max_connections = 1;
}

/* Requests that are limited to a region need a connection to an upstream there,
 * also when the daemon has upstreams in other regions. */
static void assign_region_reserves(const region_limits_t *limits,
				   upstream_t *upstreams, size_t count,
				   cas_id_t self)
{
	for (size_t i = 0; i < count; i++)
		if (region_limits_name(limits, upstreams[i].region))
			assign_reserve(upstreams, count, self,
				       upstreams[i].region);
}

/* Sets the connections of the daemon self to one upstream. */
static void assign_upstream_connections(upstream_t *upstream,
					const daemon_location_t *locations,
					size_t location_count,
					const daemon_location_t *self,
					int32_t max_connections)
{
	daemon_location_t location = { .host = upstream->host,
				       .region = upstream->region };
	ranking_t ranking;

	for (size_t i = 0; i < location_count; i++)
		if (locations[i].host == upstream->host)
			location.dc = locations[i].dc;
	rank_self(locations, location_count, self, &location, &ranking);
	upstream->max_connections = own_connections(
		&ranking, distance_of(self, &location), max_connections);
}

int routing_assign_connections(routing_t *routing, upstream_t *upstreams,
			       size_t count, int32_t max_connections,
			       const table_t *table, const roster_t *roster,
			       cas_id_t self, cas_id_t self_dc)
{
	daemon_location_t self_location = { self, self_dc,
					    routing_region_of(table, self_dc) };
	daemon_location_t *locations =
		list_daemon_locations(routing, table, roster);

	if (!locations)
		return ROUTING_ENOMEM;
	for (size_t i = 0; i < count; i++) {
		if (upstreams[i].tier == ROUTING_OWN_HOST || !max_connections)
			upstreams[i].max_connections = ROUTING_NO_LIMIT;
		else
			assign_upstream_connections(
				&upstreams[i], locations, roster->host_count,
				&self_location, max_connections);
	}
	assign_reserve(upstreams, count, self, 0);
	if (routing->limits)
		assign_region_reserves(routing->limits, upstreams, count, self);
	talloc_free(locations);
	return 0;
}
