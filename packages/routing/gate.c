/* Decides whether an upstream may get a request now. */
#include "routing_internal.h"

fitness_t routing_fitness(const routing_t *routing,
			  const routing_query_t *query,
			  const upstream_t *upstream, int64_t now_us)
{
	(void)routing;
	(void)query;
	if (upstream->leaving || !upstream->max_connections)
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
