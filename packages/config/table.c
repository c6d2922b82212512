/* Looks up rows and routes in a table and computes the importance of a
 * request. */
#include "cassia/table.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* With customer_first, 4 levels of customers times 4 levels of routes make up
 * the 16 levels of importance. */
#define COMBINED_LEVELS 4

/* Compares an id with the id of a row; every row structure starts with it. */
static int id_compare(const void *left, const void *right)
{
	const cas_id_t *a = left;
	const cas_id_t *b = right;

	return (*a > *b) - (*a < *b);
}

/* Finds a row by id in an array sorted by id; size is that of a row. */
static const void *find_row(const void *rows, size_t count, size_t size,
			    cas_id_t id)
{
	return count ? bsearch(&id, rows, count, size, id_compare) : NULL;
}

const table_data_centre_t *table_find_data_centre(const table_t *table,
						  cas_id_t id)
{
	return find_row(table->data_centres, table->data_centre_count,
			sizeof(*table->data_centres), id);
}

bool table_may_share_region(const table_t *table, cas_id_t first,
			    cas_id_t second)
{
	const table_data_centre_t *a = table_find_data_centre(table, first);
	const table_data_centre_t *b = table_find_data_centre(table, second);

	return !a || !b || a->region_id == b->region_id;
}

const table_service_t *table_find_service(const table_t *table, cas_id_t id)
{
	return find_row(table->services, table->service_count,
			sizeof(*table->services), id);
}

const table_customer_t *table_find_customer(const table_t *table, cas_id_t id)
{
	return find_row(table->customers, table->customer_count,
			sizeof(*table->customers), id);
}

const table_route_t *table_find_route(const table_t *table, cas_id_t id)
{
	for (size_t i = 0; i < table->route_count; i++)
		if (table->routes[i].id == id)
			return &table->routes[i];
	return NULL;
}

static char to_lower(char c)
{
	return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

/* Returns whether a path starts with a prefix. In an escape such as %C3, the
 * case of the digits does not count (RFC 3986, section 6.2.2.1). */
static bool starts_with_prefix(cas_str_t prefix, cas_str_t path)
{
	int digits = 0; /* left in an escape */

	if (path.len < prefix.len)
		return false;
	for (size_t i = 0; i < prefix.len; i++) {
		char expected = prefix.ptr[i];
		char found = path.ptr[i];

		if (digits ? to_lower(expected) != to_lower(found)
			   : expected != found)
			return false;
		digits = expected == '%' ? 2 : digits - (digits > 0);
	}
	return true;
}

/* Returns whether a path starts with the whole path segments of a prefix: /pay
 * matches /pay/1, but not /payments. */
static bool prefix_matches(cas_str_t prefix, cas_str_t path)
{
	if (!starts_with_prefix(prefix, path))
		return false;
	return path.len == prefix.len || prefix.ptr[prefix.len - 1] == '/' ||
	       path.ptr[prefix.len] == '/' || path.ptr[prefix.len] == '?';
}

/* Returns whether a request's host, which may include a port, is the expected
 * one; case does not count. An empty expected host matches every host. */
static bool host_matches(cas_str_t expected, cas_str_t host)
{
	const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;
	size_t len = colon ? (size_t)(colon - host.ptr) : host.len;

	if (!expected.len)
		return true;
	if (expected.len != len)
		return false;
	for (size_t i = 0; i < len; i++)
		if (to_lower(expected.ptr[i]) != to_lower(host.ptr[i]))
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

/* Returns whether a matching route is preferred to the best one so far, which
 * may be NULL. */
static bool route_is_more_specific(const table_route_t *route,
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
		    route_is_more_specific(route, best))
			best = route;
	}
	return best;
}

const table_part_t *table_pick_part(const table_route_t *route, double point)
{
	double total_weight = 0;

	for (size_t i = 0; i < route->part_count; i++)
		total_weight += route->parts[i].weight;
	point *= total_weight;
	for (size_t i = 0; i < route->part_count; i++) {
		point -= route->parts[i].weight;
		if (point < 0)
			return &route->parts[i];
	}
	/* The point was at or above the total weight. */
	return route->part_count ? &route->parts[0] : NULL;
}

/* Reduces an importance to COMBINED_LEVELS levels: 12..15 become 0..3, lower
 * ones 0. */
static int32_t combined_level(int32_t importance)
{
	int32_t level =
		importance - (TABLE_IMPORTANCE_MAX + 1 - COMBINED_LEVELS);

	return level > 0 ? level : 0;
}

int32_t table_importance(const table_t *table, const table_route_t *route,
			 const table_customer_t *customer)
{
	int32_t customer_importance =
		customer ? customer->importance : TABLE_IMPORTANCE_MAX;

	if (table->customer_first)
		return combined_level(customer_importance) * COMBINED_LEVELS +
		       combined_level(route->importance);
	return customer_importance < route->importance ? customer_importance
						       : route->importance;
}

static bool allows_region(const name_list_t *regions, cas_id_t region)
{
	return !regions->count || name_list_has(regions, region);
}

bool table_allows_region(const table_t *table, cas_id_t route,
			 cas_id_t customer, cas_id_t region)
{
	const table_route_t *route_row = table_find_route(table, route);
	const table_customer_t *customer_row =
		table_find_customer(table, customer);

	return (!route_row || allows_region(&route_row->regions, region)) &&
	       (!customer_row || allows_region(&customer_row->regions, region));
}

bool table_customers_limit_regions(const table_t *table)
{
	for (size_t i = 0; i < table->customer_count; i++)
		if (table->customers[i].regions.count)
			return true;
	return false;
}

bool table_limits_regions(const table_t *table)
{
	for (size_t i = 0; i < table->route_count; i++)
		if (table->routes[i].regions.count)
			return true;
	return table_customers_limit_regions(table);
}

/* Returns whether a '%' with two hexadecimal digits is at index. */
static bool is_escape_at(cas_str_t path, size_t index)
{
	return index + 2 < path.len &&
	       isxdigit((unsigned char)path.ptr[index + 1]) &&
	       isxdigit((unsigned char)path.ptr[index + 2]);
}

bool table_path_is_valid(cas_str_t path)
{
	for (size_t i = 0; i < path.len; i++) {
		char c = path.ptr[i];

		if (c <= ' ' || c > '~' || strchr("?#\\\"<>", c))
			return false;
		if (c == '%' && !is_escape_at(path, i))
			return false;
	}
	return path.len && path.len <= TABLE_PATH_MAX_BYTES &&
	       path.ptr[0] == '/';
}
