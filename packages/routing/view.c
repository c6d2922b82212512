/*
 * Builds the list of upstreams from a table and a host list. The traffic state
 * of hosts that were listed before is kept.
 */
#include <stdlib.h>

#include "routing_internal.h"

cas_id_t routing_region_of(const table_t *table, cas_id_t data_centre)
{
	for (size_t i = 0; i < table->data_centre_count; i++)
		if (table->data_centres[i].id == data_centre)
			return table->data_centres[i].region_id;
	return 0;
}

static int compare_upstreams(const void *a, const void *b)
{
	const upstream_t *left = a;
	const upstream_t *right = b;

	if (left->service != right->service)
		return left->service < right->service ? -1 : 1;
	if (left->host != right->host)
		return left->host < right->host ? -1 : 1;
	return 0;
}

/* self is the own host, with the data centre self_dc and region self_region. */
static routing_tier_t tier_of(const roster_host_t *host, cas_id_t host_region,
			      cas_id_t self, cas_id_t self_dc,
			      cas_id_t self_region)
{
	if (host->id == self)
		return ROUTING_OWN_HOST;
	if (host->data_centre_id == self_dc)
		return ROUTING_OWN_DC;
	return host_region == self_region ? ROUTING_OWN_REGION
					  : ROUTING_OTHER_REGION;
}

static const roster_host_t *find_host(const roster_t *roster, cas_id_t id)
{
	for (size_t i = 0; i < roster->host_count; i++)
		if (roster->hosts[i].id == id)
			return &roster->hosts[i];
	return NULL;
}

/* Copies the traffic state of a host that was listed before. A new host, and
 * one that is no longer leaving or evacuated, begin a slow start. */
static void carry_over_state(const routing_t *routing, upstream_t *upstream)
{
	const upstream_t *previous =
		routing_find_upstream(routing, upstream->host);
	upstream_t listed = *upstream;

	upstream->busy_permille = -1;
	upstream->slow_start_at_us = cas_clock_now(routing->clock);
	estimate_reset(&upstream->estimate, cas_clock_now(routing->clock));
	if (!previous)
		return;
	*upstream = *previous;
	upstream->service = listed.service;
	upstream->region = listed.region;
	upstream->tier = listed.tier;
	upstream->leaving = listed.leaving;
	upstream->evacuated = listed.evacuated;
	if (routing_is_closed(previous) && !routing_is_closed(&listed)) {
		upstream->slow_start_at_us = cas_clock_now(routing->clock);
		estimate_reset(&upstream->estimate,
			       cas_clock_now(routing->clock));
	}
}

/* Returns the upstreams of the host list (owned by routing), sorted, or NULL
 * when out of memory. */
static upstream_t *create_upstreams(const routing_t *routing,
				    const table_t *table,
				    const roster_t *roster, cas_id_t self,
				    cas_id_t self_dc)
{
	cas_id_t self_region = routing_region_of(table, self_dc);
	upstream_t *upstreams =
		talloc_zero_array(routing, upstream_t, roster->host_count + 1);

	if (!upstreams)
		return NULL;
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];
		upstream_t *upstream = &upstreams[i];

		upstream->host = host->id;
		upstream->service = host->service_id;
		upstream->leaving = host->leaving;
		upstream->evacuated =
			name_list_has(&roster->evacuated, host->data_centre_id);
		upstream->region =
			routing_region_of(table, host->data_centre_id);
		upstream->tier = tier_of(host, upstream->region, self, self_dc,
					 self_region);
		carry_over_state(routing, upstream);
	}
	qsort(upstreams, roster->host_count, sizeof(*upstreams),
	      compare_upstreams);
	return upstreams;
}

/* Returns the table's bound on the connections to one upstream of the service,
 * 0 for none. */
static int32_t service_max_connections(const table_t *table, cas_id_t service)
{
	for (size_t i = 0; i < table->service_count; i++)
		if (table->services[i].id == service)
			return table->services[i].connections;
	return 0;
}

/* Assigns the connections service by service, over the sorted upstreams. */
static int assign_all_connections(routing_t *routing, upstream_t *upstreams,
				  const table_t *table, const roster_t *roster,
				  cas_id_t self, cas_id_t self_dc)
{
	size_t begin = 0;

	while (begin < roster->host_count) {
		cas_id_t service = upstreams[begin].service;
		size_t end = begin;
		int err;

		while (end < roster->host_count &&
		       upstreams[end].service == service)
			end++;
		err = routing_assign_connections(
			routing, upstreams + begin, end - begin,
			service_max_connections(table, service), table, roster,
			self, self_dc);
		if (err)
			return err;
		begin = end;
	}
	return 0;
}

/* Takes over the allowed regions before anything that may fail, so that they
 * also bind when the upstreams stay those of an earlier table. */
static int set_limits(routing_t *routing, const table_t *table)
{
	region_limits_t *limits;
	int err = region_limits_create(routing, table, &limits);

	if (err)
		return err;
	talloc_free(routing->limits);
	routing->limits = limits;
	return 0;
}

/* Counts the bodies in flight by link again: requests to hosts that are no
 * longer listed do not end in this router. */
static void recount_bodies(routing_t *routing)
{
	for (size_t i = 0; i < routing->link_count; i++) {
		link_t *link = &routing->links[i];

		link->in_flight_bytes = 0;
		for (size_t j = 0; j < routing->upstream_count; j++) {
			const upstream_t *upstream = &routing->upstreams[j];

			if (upstream->tier == ROUTING_OTHER_REGION &&
			    upstream->region == link->region)
				link->in_flight_bytes += upstream->body_bytes;
		}
	}
}

/* An entry of the index by host. */
typedef struct host_position {
	cas_id_t host;
	size_t position;
} host_position_t;

static int compare_positions(const void *a, const void *b)
{
	const host_position_t *left = a;
	const host_position_t *right = b;

	if (left->host != right->host)
		return left->host < right->host ? -1 : 1;
	return (left->position > right->position) -
	       (left->position < right->position);
}

/* Returns the indexes of the upstreams sorted by host (owned by upstreams), or
 * NULL when out of memory. */
static size_t *create_index(upstream_t *upstreams, size_t count)
{
	host_position_t *positions =
		talloc_array(upstreams, host_position_t, count + 1);
	size_t *index = talloc_array(upstreams, size_t, count + 1);

	if (positions && index) {
		for (size_t i = 0; i < count; i++)
			positions[i] =
				(host_position_t){ upstreams[i].host, i };
		qsort(positions, count, sizeof(*positions), compare_positions);
		for (size_t i = 0; i < count; i++)
			index[i] = positions[i].position;
	}
	if (!positions)
		index = NULL;
	talloc_free(positions);
	return index;
}

int routing_set_view(routing_t *routing, const table_t *table,
		     const roster_t *roster, cas_id_t self, cas_id_t self_dc)
{
	const roster_host_t *self_host = find_host(roster, self);
	placement_t *placement;
	upstream_t *upstreams;
	size_t *by_host;
	int err = set_limits(routing, table);

	if (err)
		return err;
	if (self_host)
		self_dc = self_host->data_centre_id;
	if (!routing_region_of(table, self_dc))
		return ROUTING_ESELF;
	upstreams = create_upstreams(routing, table, roster, self, self_dc);
	if (!upstreams)
		return ROUTING_ENOMEM;
	err = assign_all_connections(routing, upstreams, table, roster, self,
				     self_dc);
	if (err)
		goto error;
	err = ROUTING_ENOMEM;
	by_host = create_index(upstreams, roster->host_count);
	if (!by_host)
		goto error;
	placement =
		placement_create(routing, upstreams, roster->host_count, table);
	if (!placement)
		goto error;
	talloc_free(routing->placement);
	talloc_free(routing->upstreams);
	routing->placement = placement;
	routing->upstreams = upstreams;
	routing->by_host = by_host;
	routing->upstream_count = roster->host_count;
	routing->has_evacuations = roster->evacuated.count > 0;
	routing->self_region = routing_region_of(table, self_dc);
	recount_bodies(routing);
	return 0;

error:
	talloc_free(upstreams);
	return err;
}
