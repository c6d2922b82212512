/* Lookups in a table. */
#include "cassia/table.h"

#include <stdlib.h>
#include <string.h>

#define TABLE_UPPER_LEVELS 4

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

static char lower(char c)
{
	return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

/* Host names are compared without case and without the port. */
static bool host_matches(cas_str_t wanted, cas_str_t host)
{
	const char *colon = memchr(host.ptr, ':', host.len);
	size_t len = colon ? (size_t)(colon - host.ptr) : host.len;

	if (!wanted.len)
		return true;
	if (wanted.len != len)
		return false;
	for (size_t i = 0; i < len; i++)
		if (lower(wanted.ptr[i]) != lower(host.ptr[i]))
			return false;
	return true;
}

static bool route_matches(const table_route_t *route, cas_str_t host,
			  cas_str_t method, cas_str_t path)
{
	return host_matches(route->host, host) &&
	       (!route->method.len || cas_str_equal(route->method, method)) &&
	       prefix_matches(route->path_prefix, path);
}

static bool route_is_better(const table_route_t *route,
			    const table_route_t *best)
{
	if (!best)
		return true;
	if (!route->host.len != !best->host.len)
		return route->host.len;
	if (route->path_prefix.len != best->path_prefix.len)
		return route->path_prefix.len > best->path_prefix.len;
	return route->method.len && !best->method.len;
}

const table_route_t *table_match_route(const table_t *table, cas_str_t host,
				       cas_str_t method, cas_str_t path)
{
	const table_route_t *best = NULL;

	for (size_t i = 0; i < table->route_count; i++) {
		const table_route_t *route = &table->routes[i];

		if (route_matches(route, host, method, path) &&
		    route_is_better(route, best))
			best = route;
	}
	return best;
}

const table_part_t *table_pick_part(const table_route_t *route, double point)
{
	double weights = 0;

	for (size_t i = 0; i < route->part_count; i++)
		weights += route->parts[i].weight;
	point *= weights;
	for (size_t i = 0; i < route->part_count; i++) {
		point -= route->parts[i].weight;
		if (point < 0)
			return &route->parts[i];
	}
	return route->part_count ? &route->parts[0] : NULL;
}

/* The upper levels of each kind of row, which share the 16 levels. */
static int32_t upper_level(int32_t importance)
{
	int32_t level =
		importance - (TABLE_IMPORTANCE_MAX + 1 - TABLE_UPPER_LEVELS);

	return level > 0 ? level : 0;
}

int32_t table_importance(const table_t *table, const table_route_t *route,
			 const table_customer_t *customer)
{
	int32_t own = customer ? customer->importance : TABLE_IMPORTANCE_MAX;

	if (table->customer_first)
		return upper_level(own) * TABLE_UPPER_LEVELS +
		       upper_level(route->importance);
	return own < route->importance ? own : route->importance;
}
