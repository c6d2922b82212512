/*
 * Chooses upstreams by expected completion. Load pattern: many daemons see the
 * same reports, and each has few requests outstanding. Candidates are therefore
 * drawn by capacity, which alone divides the work by speed, and a candidate
 * replaces another with a probability that grows with what is gained, so that
 * daemons do not all converge on an upstream that looks idle. Another region is
 * considered only where it saves the request. The work of a choice does not
 * depend on the number of upstreams.
 */
#include <string.h>

#include "cassia/log.h"
#include "routing_internal.h"

/* Placement is in force for this time after an outcome with a load: longer than
 * the pauses of a service that is used, shorter than a restart of its fleet. */
#define LOAD_SEEN_US (5 * CAS_USEC_PER_SEC)
/* Candidates that are compared, and draws for them: some drawn ones are unfit
 * for the request. */
#define CANDIDATES 3
#define DRAWS_MAX 12
/* Upstreams of a tier that are visited when the draws found none. */
#define SCAN_MAX 64
/* Outstanding requests of this daemon to an upstream without a report. */
#define TRIALS_MAX 1
/* The own host saves the work of a second daemon, which is more than half of
 * that of a small call. */
#define OWN_HOST_FACTOR 3.0
/* How much sooner than by its part of the own time a longer way makes a tier
 * rare. A plain request of 50 ms crosses data centres at a third of the rate,
 * a body of 60 kB hardly ever. */
#define DISTANCE_FACTOR 25.0
/* Shortest time in the comparison of distances: a plain request. */
#define OWN_MIN_US 20000.0
/* A gain below this is within the error of estimates. */
#define GAIN_MIN_US 3000.0
/* A candidate replaces another with this multiple of the part of the cost that
 * it saves. With 1 the mean latency in the fleet test is higher; a certain
 * replacement has upstreams of equal speed differ in their work. */
#define GAIN_FACTOR 1.5
/* Work leaves the region when the region turns away more than this part. */
#define PRESSURE_MIN 0.05

static void log_in_force(const routing_t *routing, placement_service_t *service,
			 bool in_force, int64_t age_us)
{
	if (service->was_in_force == in_force)
		return;
	service->was_in_force = in_force;
	cas_log(CAS_LOG_INFO, "placement",
		CAS_LOG_STR("service",
			    placement_name(routing, service->service)),
		CAS_LOG_INT("by_load", in_force),
		CAS_LOG_INT("load_age_us", age_us));
}

bool placement_in_force(routing_t *routing, cas_id_t service_id)
{
	placement_service_t *service = placement_find(routing, service_id);
	int64_t age_us;
	bool in_force;

	if (!service || !service->estimate.load_seen_us)
		return false;
	age_us = cas_clock_now(routing->clock) - service->estimate.load_seen_us;
	in_force = age_us < LOAD_SEEN_US;
	log_in_force(routing, service, in_force, age_us);
	return in_force;
}

/* A choice in progress. */
typedef struct choice_state {
	routing_t *routing;
	const routing_query_t *query;
	placement_service_t *service;
	const estimate_kind_t *kind;
	int64_t now_us;
	double factors[ROUTING_TIERS]; /* of the weights, by distance */
	bool busy; /* connections in use were met */
} choice_state_t;

bool placement_link_allows(const routing_t *routing,
			   const routing_query_t *query,
			   const upstream_t *upstream)
{
	for (size_t i = 0; i < routing->link_count; i++)
		if (routing->links[i].region == upstream->region)
			return link_allows(&routing->links[i],
					   query->body_bytes,
					   cas_clock_now(routing->clock));
	return true;
}

/* Returns whether the upstream may get one more request of this daemon by its
 * own reports: one without any gets a trial, and one whose pace is limited as
 * many as it has room for. */
static bool has_allowance(const upstream_t *upstream, int64_t now_us)
{
	const estimate_upstream_t *estimate = &upstream->estimate;

	if (!estimate->reported)
		return upstream->outstanding < TRIALS_MAX;
	if (!estimate->report.paced)
		return true;
	if (!(estimate_report_weight(estimate, now_us) > 0))
		return upstream->outstanding < TRIALS_MAX;
	return estimate->sent_since < estimate->report.room ||
	       !upstream->outstanding;
}

static bool is_fit(choice_state_t *state, const upstream_t *upstream)
{
	if (routing_fitness(state->routing, state->query, upstream,
			    state->now_us) != FITNESS_RUNNING ||
	    routing_is_excluded(state->query, upstream->host))
		return false;
	if (upstream->outstanding >= upstream->max_connections) {
		state->busy = true;
		return false;
	}
	if (upstream->tier != ROUTING_OTHER_REGION ||
	    placement_link_allows(state->routing, state->query, upstream))
		return true;
	state->routing->counts.link_refused++;
	return false;
}

static void estimate_upstream(choice_state_t *state, const upstream_t *upstream,
			      estimate_t *estimate)
{
	const estimate_input_t input = {
		.upstream = &upstream->estimate,
		.service = &state->service->estimate,
		.kind = state->kind,
		.tier = upstream->tier,
		.outstanding = upstream->outstanding,
		.failure_rate = upstream->failure_rate,
		.body_bytes = state->query->body_bytes,
		.link_transfer_us =
			upstream->tier == ROUTING_OTHER_REGION
				? link_transfer_us(
					  routing_link(state->routing,
						       upstream->region),
					  state->query->body_bytes)
				: 0,
		.now_us = state->now_us,
	};

	state->routing->counts.visits++;
	estimate_compute(&input, estimate);
}

/* Returns an upstream drawn by weight from the tiers, or NULL. */
static upstream_t *draw(const choice_state_t *state, routing_tier_t first,
			routing_tier_t last)
{
	const placement_list_t *lists = state->service->lists;
	cas_rng_t *rng = state->routing->rng;
	double sum = 0;
	double target;

	for (int tier = (int)first; tier <= (int)last; tier++)
		sum += (double)lists[tier].total * state->factors[tier];
	target = cas_rng_double(rng) * sum;
	for (int tier = (int)first; tier <= (int)last; tier++) {
		double part = (double)lists[tier].total * state->factors[tier];
		size_t position;

		if (!lists[tier].total || target >= part) {
			target -= part;
			continue;
		}
		position = placement_position(
			&lists[tier], (int64_t)(cas_rng_double(rng) *
						(double)lists[tier].total));
		return &state->routing
				->upstreams[lists[tier].members[position]];
	}
	return NULL;
}

/* Returns whether the candidate replaces the best one so far. */
static bool is_preferred(choice_state_t *state, const estimate_t *candidate,
			 const estimate_t *best)
{
	double gain_us = estimate_cost_us(best) - estimate_cost_us(candidate);

	if (gain_us < GAIN_MIN_US)
		return false;
	return cas_rng_double(state->routing->rng) *
		       (estimate_cost_us(best) + best->base_us) <
	       GAIN_FACTOR * gain_us;
}

/* Draws candidates from the tiers and returns the best, or NULL. */
static upstream_t *pick_drawn(choice_state_t *state, routing_tier_t first,
			      routing_tier_t last, estimate_t *best)
{
	upstream_t *chosen = NULL;
	int candidates = 0;

	for (int i = 0; i < DRAWS_MAX && candidates < CANDIDATES; i++) {
		upstream_t *upstream = draw(state, first, last);
		estimate_t estimate;

		if (!upstream)
			break;
		if (upstream == chosen) {
			candidates++;
			continue;
		}
		if (!is_fit(state, upstream) ||
		    !has_allowance(upstream, state->now_us))
			continue;
		candidates++;
		estimate_upstream(state, upstream, &estimate);
		if (chosen && !is_preferred(state, &estimate, best))
			continue;
		chosen = upstream;
		*best = estimate;
	}
	return chosen;
}

/* Returns a fit upstream with few outstanding requests, or NULL: the draws found
 * none, because most are unfit for this request or have only trials. */
static upstream_t *pick_scanned(choice_state_t *state, routing_tier_t first,
				routing_tier_t last, estimate_t *best)
{
	upstream_t *chosen = NULL;

	for (int tier = (int)first; tier <= (int)last; tier++) {
		const placement_list_t *list = &state->service->lists[tier];
		size_t visits = list->count < SCAN_MAX ? list->count : SCAN_MAX;
		size_t begin = list->count
				       ? cas_rng_below(state->routing->rng,
						       (uint32_t)list->count)
				       : 0;

		for (size_t i = 0; i < visits; i++) {
			size_t position = (begin + i) % list->count;
			upstream_t *upstream =
				&state->routing
					 ->upstreams[list->members[position]];

			state->routing->counts.visits++;
			if (!is_fit(state, upstream) ||
			    (chosen &&
			     upstream->outstanding >= chosen->outstanding))
				continue;
			chosen = upstream;
		}
	}
	if (chosen)
		estimate_upstream(state, chosen, best);
	return chosen;
}

/* Returns whether the region leaves the request without a response in time, and
 * the cause. */
static bool needs_other_region(choice_state_t *state, const estimate_t *best,
			       routing_spill_t *cause)
{
	double pressure =
		estimate_turned_away(&state->service->estimate, state->now_us);

	if (state->query->time_left_us > 0 &&
	    estimate_response_us(best) > (double)state->query->time_left_us) {
		*cause = ROUTING_SPILL_LATE;
		return true;
	}
	if (pressure < PRESSURE_MIN || (best->weight > 0 && best->room >= 1))
		return false;
	*cause = state->query->exclude_count ? ROUTING_SPILL_REFUSED
					     : ROUTING_SPILL_FULL;
	/* Only the part that would be rejected leaves the region. */
	return state->query->exclude_count ||
	       cas_rng_double(state->routing->rng) < pressure;
}

/* Returns whether an upstream of another region is expected to serve a request
 * that the own region does not. Without a report one request at a time finds
 * out. */
static bool saves_request(const choice_state_t *state,
			  const upstream_t *upstream,
			  const estimate_t *estimate)
{
	if (state->query->time_left_us > 0 &&
	    estimate_response_us(estimate) > (double)state->query->time_left_us)
		return false;
	if (!(estimate->weight > 0))
		return upstream->outstanding < TRIALS_MAX;
	return estimate->room >= 1;
}

static void set_factors(choice_state_t *state)
{
	double own_us = state->kind && state->kind->own_us > OWN_MIN_US
				? state->kind->own_us
				: OWN_MIN_US;
	double near_us =
		estimate_distance_us(ROUTING_OWN_DC, state->query->body_bytes);

	for (int tier = 0; tier < ROUTING_TIERS; tier++) {
		double more_us = estimate_distance_us((routing_tier_t)tier,
						      state->query->body_bytes);

		more_us = more_us > near_us ? more_us - near_us : 0;
		state->factors[tier] =
			1 / (1 + DISTANCE_FACTOR * more_us / own_us);
	}
	state->factors[ROUTING_OWN_HOST] *= OWN_HOST_FACTOR;
}

static upstream_t *pick_far(choice_state_t *state, routing_spill_t cause)
{
	estimate_t far = { 0 };
	upstream_t *upstream = pick_drawn(state, ROUTING_OTHER_REGION,
					  ROUTING_OTHER_REGION, &far);

	if (!upstream || (cause != ROUTING_SPILL_NONE_LEFT &&
			  !saves_request(state, upstream, &far)))
		return NULL;
	upstream->spill = cause;
	return upstream;
}

/* Fills in the state of a choice. Returns false when the service has no
 * upstream. */
static bool begin_choice(choice_state_t *state, routing_t *routing,
			 const routing_query_t *query)
{
	*state = (choice_state_t){
		.routing = routing,
		.query = query,
		.service = placement_find(routing, query->service),
		.kind = estimate_find_kind(&routing->kinds, query->service,
					   query->kind),
		.now_us = cas_clock_now(routing->clock),
	};
	if (!state->service)
		return false;
	placement_update_weights(routing, state->service, state->now_us);
	set_factors(state);
	return true;
}

upstream_t *placement_pick(routing_t *routing, const routing_query_t *query,
			   bool *busy)
{
	choice_state_t state;
	estimate_t best = { 0 };
	routing_spill_t cause;
	upstream_t *chosen;
	upstream_t *far;

	if (!begin_choice(&state, routing, query))
		return NULL;
	chosen =
		pick_drawn(&state, ROUTING_OWN_HOST, ROUTING_OWN_REGION, &best);
	if (!chosen)
		chosen = pick_scanned(&state, ROUTING_OWN_HOST,
				      ROUTING_OWN_REGION, &best);
	if (chosen && needs_other_region(&state, &best, &cause)) {
		far = pick_far(&state, cause);
		chosen = far ? far : chosen;
	}
	if (!chosen && query->last_resort)
		chosen = pick_far(&state, ROUTING_SPILL_NONE_LEFT);
	*busy = state.busy;
	return chosen;
}

void placement_describe(routing_t *routing, const routing_query_t *query,
			const upstream_t *upstream,
			routing_candidate_t *candidate)
{
	const estimate_upstream_t *known = &upstream->estimate;
	const placement_list_t *list;
	choice_state_t state;
	estimate_t estimate;

	*candidate = (routing_candidate_t){ .host = upstream->host,
					    .tier = upstream->tier };
	if (!begin_choice(&state, routing, query))
		return;
	list = &state.service->lists[upstream->tier];
	estimate_upstream(&state, upstream, &estimate);
	candidate->fit = is_fit(&state, upstream);
	candidate->allowed = has_allowance(upstream, state.now_us);
	if (list->total)
		candidate->share =
			(double)list->weights[upstream->list_position] /
			(double)list->total;
	candidate->outstanding = upstream->outstanding;
	candidate->reported = known->reported;
	candidate->report_age_us = estimate.age_us;
	candidate->report_weight = estimate.weight;
	candidate->room = estimate.room;
	candidate->network_us = (int64_t)estimate.network_us;
	candidate->transfer_us = (int64_t)estimate.transfer_us;
	candidate->wait_us = (int64_t)estimate.wait_us;
	candidate->own_us = (int64_t)estimate.own_us;
	candidate->children_us = (int64_t)estimate.children_us;
	candidate->refusal_us = (int64_t)estimate.refusal_us;
	candidate->response_us = (int64_t)estimate_response_us(&estimate);
	candidate->cost_us = (int64_t)estimate_cost_us(&estimate);
}

void placement_begin(routing_t *routing, upstream_t *upstream)
{
	upstream->estimate.sent_since++;
	if (!placement_in_force(routing, upstream->service))
		return;
	routing->counts.chosen[upstream->tier]++;
	if (upstream->tier == ROUTING_OTHER_REGION)
		routing->counts.spilled[upstream->spill]++;
}

/* Returns whether the result says that a body may not have arrived. */
static bool is_lost(routing_outcome_t outcome)
{
	return outcome == ROUTING_FAILED || outcome == ROUTING_EXPIRED ||
	       outcome == ROUTING_UNREACHABLE;
}

static void learn_link(routing_t *routing, const upstream_t *upstream,
		       const routing_result_t *result, int64_t transfer_us,
		       int64_t spread_us, int64_t now_us)
{
	link_t *link;
	int64_t held_at_us;

	if (upstream->tier != ROUTING_OTHER_REGION || !result->body_bytes)
		return;
	link = routing_link(routing, upstream->region);
	if (!link)
		return;
	held_at_us = link->shrunk_at_us;
	link_finish(link, result->body_bytes, transfer_us, spread_us,
		    now_us - result->latency_us, is_lost(result->outcome),
		    now_us);
	if (link->shrunk_at_us != held_at_us)
		cas_log(CAS_LOG_WARN, "link_held",
			CAS_LOG_STR("region",
				    placement_name(routing, link->region)),
			CAS_LOG_INT("lost", is_lost(result->outcome)),
			CAS_LOG_INT("transfer_us", transfer_us),
			CAS_LOG_INT("usual_us",
				    (int64_t)link_transfer_us(
					    link, result->body_bytes)),
			CAS_LOG_INT("latency_us", result->latency_us),
			CAS_LOG_INT("in_flight_bytes", link->in_flight_bytes),
			CAS_LOG_INT("window_bytes",
				    (int64_t)link->window_bytes),
			CAS_LOG_INT("hold_us", link->hold_us));
}

void placement_learn(routing_t *routing, upstream_t *upstream,
		     const routing_result_t *result)
{
	placement_service_t *service =
		placement_find(routing, upstream->service);
	int64_t now_us = cas_clock_now(routing->clock);
	int64_t transfer_us = -1;
	int64_t spread_us = 0;

	if (service && !result->load.known && result->busy_permille >= 0) {
		estimate_learn_plain(&upstream->estimate, &service->estimate,
				     result, now_us);
		placement_update_weight(routing, service, upstream);
	}
	if (service && result->load.known) {
		if (!estimate_learn(&upstream->estimate, &service->estimate,
				    &routing->kinds, service->service,
				    upstream->tier, result, now_us,
				    &transfer_us, &spread_us))
			routing->counts.stale_reports++;
		placement_update_weight(routing, service, upstream);
	}
	learn_link(routing, upstream, result, transfer_us, spread_us, now_us);
}
