/* Decides whether an upstream may get a request now. */
#include "routing_internal.h"

/* Returns 0, or why the upstream must not get the request whatever its state
 * is. */
static int check_rules(const routing_t *routing, const routing_query_t *query,
		       const upstream_t *upstream)
{
	if (upstream->evacuated)
		return ROUTING_EEVACUATED;
	if (!region_limits_allow(routing->limits, query, upstream->region))
		return ROUTING_EREGION;
	return 0;
}

fitness_t routing_fitness(const routing_t *routing,
			  const routing_query_t *query,
			  const upstream_t *upstream, int64_t now_us)
{
	if (upstream->leaving || !upstream->max_connections ||
	    check_rules(routing, query, upstream))
		return FITNESS_UNFIT;
	if (now_us < upstream->ejected_until_us)
		return upstream->unreachable ? FITNESS_UNFIT : FITNESS_EJECTED;
	return upstream->stopping ? FITNESS_STOPPING : FITNESS_RUNNING;
}

bool routing_may_use(const routing_t *routing, const routing_query_t *query,
		     cas_id_t host)
{
	const upstream_t *upstream = routing_find_upstream(routing, host);

	return upstream && routing_fitness(routing, query, upstream,
					   cas_clock_now(routing->clock)) ==
				   FITNESS_RUNNING;
}

int routing_check_host(const routing_t *routing, const routing_query_t *query,
		       cas_id_t host)
{
	bool is_limited = routing->limits || query->regions;
	const upstream_t *upstream;

	if (!is_limited && !routing->has_evacuations)
		return 0;
	upstream = routing_find_upstream(routing, host);
	if (!upstream)
		return is_limited ? ROUTING_EREGION : 0;
	return check_rules(routing, query, upstream);
}

cas_id_t routing_own_region(const routing_t *routing)
{
	return routing->self_region;
}
