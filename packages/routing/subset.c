/*
 * Subsets. The connections of one upstream are divided between the daemons
 * of its data centre, of its region and of other regions. Each upstream takes
 * the daemons with the highest rendezvous weights until its share is used up,
 * so the sum over all daemons stays within the table's bound.
 */
#include "routing_internal.h"

/* Part kept back for daemons that get no upstream of a service at all. */
#define RESERVE_DIVISOR 16

typedef enum distance {
	SAME_DC,
	SAME_REGION,
	OTHER_REGION,
	DISTANCES,
} distance_t;

static const int32_t share_weight[DISTANCES] = { 2, 1, 1 };

/* Where the daemons of the roster are. */
typedef struct daemon_place {
	cas_id_t host;
	cas_id_t dc;
	cas_id_t region;
} daemon_place_t;

static distance_t distance_of(const daemon_place_t *a, const daemon_place_t *b)
{
	if (a->dc == b->dc)
		return SAME_DC;
	return a->region == b->region ? SAME_REGION : OTHER_REGION;
}

typedef struct ranking {
	int32_t daemons[DISTANCES]; /* at each distance from the upstream */
	int32_t rank; /* daemons ahead of this one at its distance */
} ranking_t;

static void rank_self(const daemon_place_t *places, size_t count,
		      const daemon_place_t *self,
		      const daemon_place_t *upstream, ranking_t *ranking)
{
	distance_t own = distance_of(self, upstream);
	uint64_t weight = cas_rendezvous_weight(self->host, upstream->host);

	*ranking = (ranking_t){ 0 };
	for (size_t i = 0; i < count; i++) {
		distance_t distance = distance_of(&places[i], upstream);

		if (places[i].host == upstream->host)
			continue;
		ranking->daemons[distance]++;
		if (distance == own && places[i].host != self->host &&
		    cas_rendezvous_weight(places[i].host, upstream->host) >
			    weight)
			ranking->rank++;
	}
}

/* Returns the connections of this daemon, 0 when it is not chosen. */
static int32_t connections_of(const ranking_t *ranking, distance_t own,
			      int32_t limit)
{
	int32_t weights = 0;
	int32_t share;
	int32_t each;

	for (int i = 0; i < DISTANCES; i++)
		if (ranking->daemons[i])
			weights += share_weight[i];
	if (!weights)
		return 0;
	limit -= limit / RESERVE_DIVISOR;
	share = limit * share_weight[own] / weights;
	each = ranking->daemons[own] ? share / ranking->daemons[own] : share;
	if (each < 1)
		each = 1;
	return ranking->rank < share / each ? each : 0;
}

static daemon_place_t *list_places(TALLOC_CTX *ctx, const table_t *table,
				   const roster_t *roster)
{
	daemon_place_t *places =
		talloc_array(ctx, daemon_place_t, roster->host_count + 1);

	if (!places)
		return NULL;
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];

		places[i].host = host->id;
		places[i].dc = host->data_centre_id;
		places[i].region = routing_region(table, host->data_centre_id);
	}
	return places;
}

/* A daemon without any upstream takes one connection from the reserve. */
static void take_reserve(upstream_t *upstreams, size_t count, cas_id_t self)
{
	upstream_t *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t weight =
			cas_rendezvous_weight(upstreams[i].host, self);

		if (upstreams[i].connections)
			return;
		if (best && weight <= best_weight)
			continue;
		best = &upstreams[i];
		best_weight = weight;
	}
	if (best)
		best->connections = 1;
}

static void set_one(upstream_t *upstream, const daemon_place_t *places,
		    size_t place_count, const daemon_place_t *self,
		    int32_t limit)
{
	daemon_place_t place = { .host = upstream->host,
				 .region = upstream->region };
	ranking_t ranking;

	for (size_t i = 0; i < place_count; i++)
		if (places[i].host == upstream->host)
			place.dc = places[i].dc;
	rank_self(places, place_count, self, &place, &ranking);
	upstream->connections =
		connections_of(&ranking, distance_of(self, &place), limit);
}

int routing_set_subset(routing_t *routing, upstream_t *upstreams, size_t count,
		       int32_t limit, const table_t *table,
		       const roster_t *roster, cas_id_t self, cas_id_t self_dc)
{
	daemon_place_t place = { self, self_dc,
				 routing_region(table, self_dc) };
	daemon_place_t *places = list_places(routing, table, roster);

	if (!places)
		return ROUTING_ENOMEM;
	for (size_t i = 0; i < count; i++) {
		if (upstreams[i].tier == ROUTING_OWN_HOST || !limit)
			upstreams[i].connections = ROUTING_NO_LIMIT;
		else
			set_one(&upstreams[i], places, roster->host_count,
				&place, limit);
	}
	take_reserve(upstreams, count, self);
	talloc_free(places);
	return 0;
}
