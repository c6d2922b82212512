/* Explains a choice: runs it and lists what it was made from. */
#include "routing_internal.h"

/* Runs the choice with other random numbers and takes back what it counts. */
static void run_choice(routing_t *routing, const routing_query_t *query,
		       cas_rng_t *rng, routing_explanation_t *explanation)
{
	const routing_counts_t counts = routing->counts;
	cas_rng_t *usual_rng = routing->rng;
	const upstream_t *upstream;

	routing->rng = rng;
	explanation->error = routing_pick(routing, query, &explanation->choice);
	routing->rng = usual_rng;
	routing->counts = counts;
	if (explanation->error ||
	    explanation->choice.tier != ROUTING_OTHER_REGION)
		return;
	upstream = routing_find_upstream(routing, explanation->choice.host);
	explanation->spilled = true;
	explanation->spill = upstream->spill;
}

routing_explanation_t *routing_explain(TALLOC_CTX *ctx, routing_t *routing,
				       const routing_query_t *query,
				       uint32_t seed)
{
	routing_explanation_t *explanation =
		talloc_zero(ctx, routing_explanation_t);
	const placement_service_t *service =
		placement_find(routing, query->service);
	const routing_counts_t counts = routing->counts;
	const upstream_t *upstreams;
	cas_rng_t *rng;

	if (!explanation)
		return NULL;
	upstreams = routing_service_upstreams(routing, query->service,
					      &explanation->count);
	explanation->candidates = talloc_zero_array(
		explanation, routing_candidate_t, explanation->count + 1);
	rng = cas_rng_create(explanation, seed);
	if (!explanation->candidates || !rng)
		goto error;
	explanation->load_age_us = -1;
	if (service && service->estimate.load_seen_us) {
		int64_t now_us = cas_clock_now(routing->clock);

		explanation->load_age_us =
			now_us - service->estimate.load_seen_us;
		explanation->turned_away =
			estimate_turned_away(&service->estimate, now_us);
	}
	explanation->by_load = placement_in_force(routing, query->service);
	for (size_t i = 0; i < explanation->count; i++)
		placement_describe(routing, query, &upstreams[i],
				   &explanation->candidates[i]);
	routing->counts = counts;
	run_choice(routing, query, rng, explanation);
	return explanation;

error:
	talloc_free(explanation);
	return NULL;
}
