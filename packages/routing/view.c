/* Adopts tables and host lists and keeps what traffic has shown. */
#include <stdlib.h>

#include "routing_internal.h"

cas_id_t routing_region(const table_t *table, cas_id_t data_centre)
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

static routing_tier_t tier_of(const roster_host_t *host, cas_id_t region,
			      cas_id_t self, cas_id_t self_dc,
			      cas_id_t self_region)
{
	if (host->id == self)
		return ROUTING_OWN_HOST;
	if (host->data_centre_id == self_dc)
		return ROUTING_OWN_DC;
	return region == self_region ? ROUTING_OWN_REGION
				     : ROUTING_OTHER_REGION;
}

static const roster_host_t *find_host(const roster_t *roster, cas_id_t id)
{
	for (size_t i = 0; i < roster->host_count; i++)
		if (roster->hosts[i].id == id)
			return &roster->hosts[i];
	return NULL;
}

/* Carries over what is known about a host that was listed before. */
static void inherit(const routing_t *routing, upstream_t *upstream)
{
	const upstream_t *old = routing_find(routing, upstream->host);
	upstream_t view = *upstream;

	upstream->busy_permille = -1;
	upstream->slow_start_us = cas_clock_now(routing->clock);
	if (!old)
		return;
	*upstream = *old;
	upstream->service = view.service;
	upstream->region = view.region;
	upstream->tier = view.tier;
	upstream->leaving = view.leaving;
	if (old->leaving && !view.leaving)
		upstream->slow_start_us = cas_clock_now(routing->clock);
}

static upstream_t *list_upstreams(const routing_t *routing,
				  const table_t *table, const roster_t *roster,
				  cas_id_t self, cas_id_t self_dc)
{
	cas_id_t self_region = routing_region(table, self_dc);
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
		upstream->region = routing_region(table, host->data_centre_id);
		upstream->tier = tier_of(host, upstream->region, self, self_dc,
					 self_region);
		inherit(routing, upstream);
	}
	qsort(upstreams, roster->host_count, sizeof(*upstreams),
	      compare_upstreams);
	return upstreams;
}

static int32_t connection_limit(const table_t *table, cas_id_t service)
{
	for (size_t i = 0; i < table->service_count; i++)
		if (table->services[i].id == service)
			return table->services[i].connections;
	return 0;
}

static int set_subsets(routing_t *routing, upstream_t *upstreams,
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
		err = routing_set_subset(routing, upstreams + begin,
					 end - begin,
					 connection_limit(table, service),
					 table, roster, self, self_dc);
		if (err)
			return err;
		begin = end;
	}
	return 0;
}

int routing_set_view(routing_t *routing, const table_t *table,
		     const roster_t *roster, cas_id_t self, cas_id_t self_dc)
{
	const roster_host_t *own = find_host(roster, self);
	upstream_t *upstreams;
	int err;

	if (own)
		self_dc = own->data_centre_id;
	if (!routing_region(table, self_dc))
		return ROUTING_ESELF;
	upstreams = list_upstreams(routing, table, roster, self, self_dc);
	if (!upstreams)
		return ROUTING_ENOMEM;
	err = set_subsets(routing, upstreams, table, roster, self, self_dc);
	if (err) {
		talloc_free(upstreams);
		return err;
	}
	talloc_free(routing->upstreams);
	routing->upstreams = upstreams;
	routing->count = roster->host_count;
	routing->region = routing_region(table, self_dc);
	return 0;
}
