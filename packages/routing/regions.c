/* Allowed regions of routes and customers, taken from the table. */
#include <stdlib.h>

#include "routing_internal.h"

/* The regions that one route or customer allows. */
typedef struct region_limit {
	cas_id_t id; /* of the route or customer */
	cas_id_t *regions;
	size_t region_count;
} region_limit_t;

/* Only rows that limit their regions, sorted by id. */
typedef struct limit_list {
	region_limit_t *limits;
	size_t count;
} limit_list_t;

struct region_limits {
	limit_list_t routes;
	limit_list_t customers;
};

static int compare_limits(const void *left, const void *right)
{
	const region_limit_t *a = left;
	const region_limit_t *b = right;

	return (a->id > b->id) - (a->id < b->id);
}

/* Adds the list of a row; list has room for it. Returns 0 or ROUTING_ENOMEM. */
static int add_limit(region_limits_t *limits, limit_list_t *list, cas_id_t id,
		     const name_list_t *regions)
{
	region_limit_t *limit = &list->limits[list->count];

	if (!regions->count)
		return 0;
	limit->id = id;
	limit->region_count = regions->count;
	limit->regions = talloc_memdup(limits, regions->ids,
				       regions->count * sizeof(cas_id_t));
	if (!limit->regions)
		return ROUTING_ENOMEM;
	list->count++;
	return 0;
}

static int add_all_limits(region_limits_t *limits, const table_t *table)
{
	limit_list_t *routes = &limits->routes;
	limit_list_t *customers = &limits->customers;
	int error = 0;

	routes->limits = talloc_zero_array(limits, region_limit_t,
					   table->route_count + 1);
	customers->limits = talloc_zero_array(limits, region_limit_t,
					      table->customer_count + 1);
	if (!routes->limits || !customers->limits)
		return ROUTING_ENOMEM;
	for (size_t i = 0; i < table->route_count && !error; i++)
		error = add_limit(limits, routes, table->routes[i].id,
				  &table->routes[i].regions);
	for (size_t i = 0; i < table->customer_count && !error; i++)
		error = add_limit(limits, customers, table->customers[i].id,
				  &table->customers[i].regions);
	qsort(routes->limits, routes->count, sizeof(region_limit_t),
	      compare_limits);
	qsort(customers->limits, customers->count, sizeof(region_limit_t),
	      compare_limits);
	return error;
}

int region_limits_create(TALLOC_CTX *ctx, const table_t *table,
			 region_limits_t **limits)
{
	region_limits_t *created = talloc_zero(ctx, region_limits_t);
	int error = created ? add_all_limits(created, table) : ROUTING_ENOMEM;

	*limits = NULL;
	if (!error && (created->routes.count || created->customers.count))
		*limits = created;
	else
		talloc_free(created);
	return error;
}

static bool has_id(const cas_id_t *ids, size_t count, cas_id_t id)
{
	for (size_t i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

/* Returns whether the route or customer allows the region; one without a list
 * allows all. */
static bool list_allows(const limit_list_t *list, cas_id_t id, cas_id_t region)
{
	const region_limit_t key = { .id = id };
	const region_limit_t *limit =
		list->count ? bsearch(&key, list->limits, list->count,
				      sizeof(region_limit_t), compare_limits)
			    : NULL;

	return !limit || has_id(limit->regions, limit->region_count, region);
}

bool region_limits_allow(const region_limits_t *limits,
			 const routing_query_t *query, cas_id_t region)
{
	if (query->regions &&
	    !has_id(query->regions, query->region_count, region))
		return false;
	return !limits ||
	       (list_allows(&limits->routes, query->route, region) &&
		list_allows(&limits->customers, query->customer, region));
}

static bool list_names(const limit_list_t *list, cas_id_t region)
{
	for (size_t i = 0; i < list->count; i++)
		if (has_id(list->limits[i].regions,
			   list->limits[i].region_count, region))
			return true;
	return false;
}

bool region_limits_name(const region_limits_t *limits, cas_id_t region)
{
	return limits && (list_names(&limits->routes, region) ||
			  list_names(&limits->customers, region));
}
