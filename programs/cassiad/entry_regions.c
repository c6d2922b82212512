/* Regions that an entry request is limited to for its whole life. */
#include "entry.h"

/* Returns whether a request may be run in the region. The parent of a child
 * call ran on this host, so its customer allowed the region of this host: the
 * only one that is certain when the customer is unknown. */
static bool is_allowed(const entry_request_t *request, cas_id_t region,
		       cas_id_t only_region)
{
	const attempt_context *context = &request->context;

	return (!only_region || region == only_region) &&
	       table_allows_region(request->daemon->table, context->route,
				   context->customer, region);
}

static bool is_kept(const entry_request_t *request, cas_id_t region)
{
	for (size_t i = 0; i < request->region_count; i++)
		if (request->regions[i] == region)
			return true;
	return false;
}

/* Returns whether the route or the customer has a list of regions. */
static bool has_list(const entry_request_t *request)
{
	const table_t *table = request->daemon->table;
	const table_route_t *route =
		table_find_route(table, request->context.route);
	const table_customer_t *customer =
		table_find_customer(table, request->context.customer);

	return (route && route->regions.count) ||
	       (customer && customer->regions.count);
}

int entry_keep_regions(entry_request_t *request, bool is_orphan)
{
	const cassiad_t *daemon = request->daemon;
	const table_t *table = daemon->table;
	cas_id_t only_region = 0;

	if (!daemon->limits_regions)
		return 0;
	if (is_orphan && daemon->customers_limit_regions)
		only_region = routing_own_region(daemon->routing);
	if (!only_region && !has_list(request))
		return 0;
	request->regions =
		talloc_array(request, cas_id_t, table->data_centre_count + 1);
	if (!request->regions)
		return -1;
	for (size_t i = 0; i < table->data_centre_count; i++) {
		cas_id_t region = table->data_centres[i].region_id;

		if (is_allowed(request, region, only_region) &&
		    !is_kept(request, region))
			request->regions[request->region_count++] = region;
	}
	return 0;
}
