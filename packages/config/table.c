/* Lookups in a table. */
#include "cassia/table.h"

#include <stdlib.h>

/* Every row type below starts with its id. */
static int id_compare(const void *left, const void *right)
{
	const cas_id_t *a = left;
	const cas_id_t *b = right;

	return (*a > *b) - (*a < *b);
}

static const void *find(const void *rows, size_t count, size_t size,
			cas_id_t id)
{
	return count ? bsearch(&id, rows, count, size, id_compare) : NULL;
}

const table_data_centre_t *table_find_data_centre(const table_t *table,
						  cas_id_t id)
{
	return find(table->data_centres, table->data_centre_count,
		    sizeof(*table->data_centres), id);
}

const table_service_t *table_find_service(const table_t *table, cas_id_t id)
{
	return find(table->services, table->service_count,
		    sizeof(*table->services), id);
}

const table_customer_t *table_find_customer(const table_t *table, cas_id_t id)
{
	return find(table->customers, table->customer_count,
		    sizeof(*table->customers), id);
}

const table_route_t *table_find_route(const table_t *table, cas_id_t id)
{
	for (size_t i = 0; i < table->route_count; i++)
		if (table->routes[i].id == id)
			return &table->routes[i];
	return NULL;
}

/* A prefix matches whole path segments: /pay matches /pay/1, not /payments. */
static bool prefix_matches(cas_str_t prefix, cas_str_t path)
{
	if (!cas_str_starts_with(path, prefix))
		return false;
	return path.len == prefix.len || prefix.ptr[prefix.len - 1] == '/' ||
	       path.ptr[prefix.len] == '/' || path.ptr[prefix.len] == '?';
}

static bool route_matches(const table_route_t *route, cas_str_t method,
			  cas_str_t path)
{
	return (!route->method.len || cas_str_equal(route->method, method)) &&
	       prefix_matches(route->path_prefix, path);
}

static bool route_is_better(const table_route_t *route,
			    const table_route_t *best)
{
	if (!best)
		return true;
	if (route->path_prefix.len != best->path_prefix.len)
		return route->path_prefix.len > best->path_prefix.len;
	return route->method.len && !best->method.len;
}

const table_route_t *table_match_route(const table_t *table, cas_str_t method,
				       cas_str_t path)
{
	const table_route_t *best = NULL;

	for (size_t i = 0; i < table->route_count; i++) {
		const table_route_t *route = &table->routes[i];

		if (route_matches(route, method, path) &&
		    route_is_better(route, best))
			best = route;
	}
	return best;
}
