/*
 * Candidate lists: the upstreams of each service and tier with their weights, in
 * trees from which one is drawn without a visit of the others. The lists are
 * built for a view; weights follow reports, and are all computed again when the
 * fitness of an upstream may have changed.
 */
#include "routing_internal.h"

/* Weights are computed again at latest after this time, for changes of fitness
 * that are not announced to this module. */
#define WEIGHTS_LIFE_US CAS_USEC_PER_SEC
/* Weight of a capacity of one request of usual speed. */
#define WEIGHT_SCALE 1000
/* A limit counts at most by this factor away from the mean of the service. */
#define LIMIT_RATIO_MAX 4
/* Trials of the whole fleet that an upstream without a report gets at a time,
 * about, and the largest part of the usual weight for it. */
#define FLEET_TRIALS 8
#define TRIAL_WEIGHT_MAX 0.25

placement_service_t *placement_find(const routing_t *routing, cas_id_t service)
{
	placement_t *placement = routing->placement;
	size_t low = 0;
	size_t high = placement ? placement->service_count : 0;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (placement->services[middle].service < service)
			low = middle + 1;
		else
			high = middle;
	}
	if (!placement || low == placement->service_count ||
	    placement->services[low].service != service)
		return NULL;
	return &placement->services[low];
}

static bool allocate_lists(placement_t *placement, placement_service_t *service)
{
	for (int tier = 0; tier < ROUTING_TIERS; tier++) {
		placement_list_t *list = &service->lists[tier];

		list->members =
			talloc_array(placement, size_t, list->count + 1);
		list->weights =
			talloc_zero_array(placement, int64_t, list->count + 1);
		list->tree =
			talloc_zero_array(placement, int64_t, list->count + 1);
		if (!list->members || !list->weights || !list->tree)
			return false;
		list->count = 0;
	}
	return true;
}

/* Builds the lists of the service that starts at upstreams[begin]. Returns the
 * position after its last upstream. */
static size_t fill_service(placement_service_t *service, upstream_t *upstreams,
			   size_t begin, size_t count, placement_t *placement)
{
	size_t end;

	service->service = upstreams[begin].service;
	for (end = begin; end < count; end++) {
		if (upstreams[end].service != service->service)
			break;
		service->lists[upstreams[end].tier].count++;
	}
	if (!allocate_lists(placement, service))
		return 0;
	for (size_t i = begin; i < end; i++) {
		placement_list_t *list = &service->lists[upstreams[i].tier];

		upstreams[i].list_position = list->count;
		list->members[list->count++] = i;
	}
	return end;
}

static bool add_name(placement_t *placement, cas_id_t id, cas_str_t name)
{
	placement_name_t *added = &placement->names[placement->name_count++];

	added->id = id;
	added->name = cas_str_dup(placement, name);
	return added->name.ptr;
}

static bool copy_names(placement_t *placement, const table_t *table)
{
	size_t most = table->service_count + table->data_centre_count;
	bool copied;

	placement->names =
		talloc_zero_array(placement, placement_name_t, most + 1);
	copied = placement->names;
	for (size_t i = 0; copied && i < table->service_count; i++)
		copied = add_name(placement, table->services[i].id,
				  table->services[i].name);
	for (size_t i = 0; copied && i < table->data_centre_count; i++)
		copied = add_name(placement, table->data_centres[i].region_id,
				  table->data_centres[i].region);
	return copied;
}

cas_str_t placement_name(const routing_t *routing, cas_id_t id)
{
	const placement_t *placement = routing->placement;

	for (size_t i = 0; placement && i < placement->name_count; i++)
		if (placement->names[i].id == id)
			return placement->names[i].name;
	return CAS_STR("-");
}

placement_t *placement_create(routing_t *routing, upstream_t *upstreams,
			      size_t count, const table_t *table)
{
	placement_t *placement = talloc_zero(routing, placement_t);
	size_t services = 0;

	if (!placement)
		return NULL;
	for (size_t i = 0; i < count; i++)
		services +=
			!i || upstreams[i].service != upstreams[i - 1].service;
	placement->host_count = count;
	placement->services =
		talloc_zero_array(placement, placement_service_t, services + 1);
	if (!placement->services || !copy_names(placement, table))
		goto error;
	for (size_t begin = 0; begin < count;) {
		placement_service_t *service =
			&placement->services[placement->service_count];
		const placement_service_t *previous;

		begin = fill_service(service, upstreams, begin, count,
				     placement);
		if (!begin)
			goto error;
		previous = placement_find(routing, service->service);
		if (previous) {
			service->estimate = previous->estimate;
			service->was_in_force = previous->was_in_force;
		}
		placement->service_count++;
	}
	return placement;

error:
	talloc_free(placement);
	return NULL;
}

void placement_invalidate(routing_t *routing, cas_id_t service_id)
{
	placement_service_t *service = placement_find(routing, service_id);

	if (service)
		service->weights_until_us = 0;
}

static void set_weight(placement_list_t *list, size_t position, int64_t weight)
{
	int64_t change = weight - list->weights[position];

	if (!change)
		return;
	list->weights[position] = weight;
	list->total += change;
	for (size_t i = position + 1; i <= list->count; i += i & -i)
		list->tree[i] += change;
}

size_t placement_position(const placement_list_t *list, int64_t target)
{
	size_t position = 0;
	size_t step = 1;

	while (step * 2 <= list->count)
		step *= 2;
	for (; step; step /= 2) {
		if (position + step > list->count ||
		    list->tree[position + step] > target)
			continue;
		position += step;
		target -= list->tree[position];
	}
	return position < list->count ? position : list->count - 1;
}

/* Returns the weight of the upstream in draws: the requests that it can serve
 * in a time, as far as its reports agree with those of its peers. */
static int64_t capacity_weight(const routing_t *routing,
			       const placement_service_t *service,
			       const upstream_t *upstream)
{
	const estimate_upstream_t *estimate = &upstream->estimate;
	double usual = service->estimate.limit >= 1 ? service->estimate.limit
						    : DEFAULT_CONCURRENCY_LIMIT;
	double limit = estimate->limit >= 1 ? estimate->limit : usual;
	double capacity;

	if (limit > usual * LIMIT_RATIO_MAX)
		limit = usual * LIMIT_RATIO_MAX;
	if (limit < usual / LIMIT_RATIO_MAX && !estimate->report.paced)
		limit = usual / LIMIT_RATIO_MAX;
	capacity = limit / estimate_usual_speed(estimate);
	/* Responses that are much later than the reports say lower the trust. */
	if (service->estimate.own_us > 0 &&
	    estimate->unexplained_us > service->estimate.own_us)
		capacity *= service->estimate.own_us / estimate->unexplained_us;
	if (!estimate->reported) {
		double part = FLEET_TRIALS /
			      (double)(routing->placement->host_count + 1);

		capacity *= part < TRIAL_WEIGHT_MAX ? part : TRIAL_WEIGHT_MAX;
	}
	return (int64_t)(capacity * WEIGHT_SCALE) + 1;
}

/* Computes all weights of the service. Upstreams that no request may get have
 * none. */
static void refresh_weights(routing_t *routing, placement_service_t *service,
			    int64_t now_us)
{
	const routing_query_t any = { .service = service->service };

	service->weights_until_us = now_us + WEIGHTS_LIFE_US;
	routing->counts.weight_updates++;
	for (int tier = 0; tier < ROUTING_TIERS; tier++) {
		placement_list_t *list = &service->lists[tier];

		for (size_t i = 0; i < list->count; i++) {
			const upstream_t *upstream =
				&routing->upstreams[list->members[i]];
			bool fit = routing_fitness(routing, &any, upstream,
						   now_us) == FITNESS_RUNNING;

			set_weight(list, i,
				   fit ? capacity_weight(routing, service,
							 upstream)
				       : 0);
			if (now_us < upstream->ejected_until_us &&
			    upstream->ejected_until_us <
				    service->weights_until_us)
				service->weights_until_us =
					upstream->ejected_until_us;
		}
	}
}

void placement_update_weights(routing_t *routing, placement_service_t *service,
			      int64_t now_us)
{
	if (now_us >= service->weights_until_us)
		refresh_weights(routing, service, now_us);
}

void placement_update_weight(routing_t *routing, placement_service_t *service,
			     const upstream_t *upstream)
{
	placement_list_t *list = &service->lists[upstream->tier];

	if (list->weights[upstream->list_position])
		set_weight(list, upstream->list_position,
			   capacity_weight(routing, service, upstream));
}
