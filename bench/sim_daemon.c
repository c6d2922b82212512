/*
 * The daemon's path of a call, on the real decision code. With control off,
 * calls go to a random upstream of the region and every hop retries on its
 * own.
 */
#include "sim.h"

#include <stdlib.h>

/* The id under which thresholds of a route from one level on are kept. */
static cas_id_t threshold_key(const sim_call_t *call, int level)
{
	return 1 + (cas_id_t)call->attempt->root->route * WORKLOAD_DEPTH +
	       (cas_id_t)level;
}

static const workload_route_t *route_of(const sim_t *sim,
					const sim_call_t *call)
{
	return &sim->workload->routes[call->attempt->root->route];
}

static bool has_child(const sim_t *sim, const sim_call_t *call)
{
	return call->level + 1 < route_of(sim, call)->depth;
}

static cas_id_t service_id(const sim_t *sim, const sim_call_t *call)
{
	return sim->services[route_of(sim, call)->chain[call->level]].id;
}

static cas_id_t customer_id(const sim_call_t *call)
{
	return 500 + (cas_id_t)call->attempt->root->customer;
}

static int importance_of(const sim_t *sim, const sim_call_t *call)
{
	return sim->flat ? 0 : route_of(sim, call)->importance;
}

static int64_t distance_us(const sim_t *sim, int from, int to)
{
	int a = sim->hosts[from].dc;
	int b = sim->hosts[to].dc;

	if (from == to)
		return 0;
	if (a == b)
		return sim->workload->rack_us;
	return a / 2 == b / 2 ? sim->workload->dc_us : sim->workload->region_us;
}

static void call_over(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_call_t *parent = call->parent;
	sim_attempt_t *attempt = call->attempt;

	if (parent) {
		parent->child_left = call->budget.left;
		if (parent->ticket)
			admission_add_child_time(parent->ticket,
						 sim_now(sim) - call->made_us);
		sim_upstream_resume(sim, parent, ok);
	} else {
		sim_client_response(sim, attempt, ok);
	}
	free(call);
	sim_attempt_unref(attempt);
}

static void send_call(sim_t *sim, sim_call_t *call);

static bool retry(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->from];
	retry_query_t query = {
		.service = service_id(sim, call),
		.outcome = call->outcome,
		.idempotent = true,
		.other_host = true,
		.deadline_us = call->attempt->deadline_us,
	};

	if (call->tries >= SIM_TRIES_MAX)
		return false;
	if (sim->control)
		return retry_decide(&query, &call->budget, host->throttle,
				    sim_now(sim)) == RETRY_ALLOWED;
	return call->tries <= route_of(sim, call)->retries;
}

static void failed(sim_t *sim, sim_call_t *call)
{
	if (retry(sim, call)) {
		call->attempt->retries++;
		if (call->attempt->retries > sim->retries_max)
			sim->retries_max = call->attempt->retries;
		send_call(sim, call);
		return;
	}
	call_over(sim, call, false);
}

static routing_outcome_t routing_outcome(const sim_call_t *call)
{
	if (call->ok)
		return ROUTING_OK;
	return call->outcome == RETRY_OUTCOME_SHED ? ROUTING_SHED
						   : ROUTING_FAILED;
}

static void response(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_host_t *host = &sim->hosts[call->from];
	routing_result_t result = {
		.outcome = routing_outcome(call),
		.latency_us = sim_now(sim) - call->sent_us,
		.limit_hint = call->limit,
		.busy_permille = call->busy,
	};

	if (sim->control) {
		routing_finish(host->routing, sim->hosts[call->to].id, &result);
		thresholds_learn(host->thresholds,
				 threshold_key(call, call->level),
				 importance_of(sim, call), customer_id(call),
				 call->fraction);
		retry_budget_return(&call->budget, call->granted,
				    call->child_left);
	}
	if (call->ok)
		call_over(sim, call, true);
	else
		failed(sim, call);
}

static void respond(sim_t *sim, sim_call_t *call, bool ok,
		    retry_outcome_t outcome)
{
	sim_host_t *host = &sim->hosts[call->to];

	call->ok = ok;
	call->outcome = outcome;
	if (sim->control) {
		double child = 1;

		call->limit = admission_limit(host->admission);
		call->busy = admission_busy_permille(host->admission);
		call->fraction = admission_threshold(host->admission,
						     importance_of(sim, call),
						     customer_id(call));
		if (has_child(sim, call))
			child = thresholds_fraction(
				host->thresholds,
				threshold_key(call, call->level + 1),
				importance_of(sim, call), customer_id(call));
		if (child < call->fraction)
			call->fraction = child;
	}
	sim_at(sim, distance_us(sim, call->from, call->to), response, call);
}

void sim_daemon_done(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_host_t *host = &sim->hosts[call->to];

	if (call->ticket)
		admission_finish(host->admission, call->ticket,
				 ok ? ADMISSION_OK : ADMISSION_FAILED);
	call->ticket = NULL;
	respond(sim, call, ok, RETRY_OUTCOME_FAILED);
}

static void start(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->to];

	if (sim_upstream_offer(sim, call))
		return;
	if (call->ticket)
		admission_finish(host->admission, call->ticket,
				 ADMISSION_SHED_BY_UPSTREAM);
	call->ticket = NULL;
	respond(sim, call, false, RETRY_OUTCOME_SHED);
}

static void run_queued(void *private, admission_ticket_t *ticket, void *arg)
{
	sim_host_t *host = private;

	(void)ticket;
	start(host->sim, arg);
}

static void count_rejected(sim_t *sim, const sim_call_t *call, int reason)
{
	sim->rejected[call->attempt->root->route][call->level][reason]++;
}

static void drop_queued(void *private, void *arg, admission_reason_t reason)
{
	sim_host_t *host = private;
	sim_call_t *call = arg;

	count_rejected(host->sim, call, (int)reason);
	call->ticket = NULL;
	respond(host->sim, call, false, RETRY_OUTCOME_SHED);
}

static void offer(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->to];
	admission_request_t request = {
		.importance = importance_of(sim, call),
		.draw = call->attempt->draw,
		.customer = customer_id(call),
		.weight =
			sim->workload->customers[call->attempt->root->customer]
				.weight,
		.deadline_us = call->attempt->deadline_us,
		.child = call->level > 0,
		.kind = threshold_key(call, call->level),
		.private = call,
	};
	admission_reason_t reason;

	switch (admission_offer(host->admission, &request, &call->ticket,
				&reason)) {
	case ADMISSION_RUN:
		start(sim, call);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REJECTED:
		count_rejected(sim, call, (int)reason);
		respond(sim, call, false, RETRY_OUTCOME_SHED);
		break;
	}
}

static void arrive(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_host_t *host = &sim->hosts[call->to];

	call->child_left = call->granted;
	if (!sim->control) {
		start(sim, call);
		return;
	}
	for (size_t i = 0; i < call->early_count; i++)
		admission_add_early_rejections(
			host->admission, call->early[i].importance,
			call->early[i].customer, call->early[i].count);
	call->early_count = 0;
	if (has_child(sim, call) &&
	    !thresholds_check(host->thresholds,
			      threshold_key(call, call->level + 1),
			      importance_of(sim, call), customer_id(call),
			      call->attempt->draw)) {
		count_rejected(sim, call, SIM_REASON_EARLY);
		respond(sim, call, false, RETRY_OUTCOME_SHED);
		return;
	}
	offer(sim, call);
}

/* With control off: any upstream of the service in the region. */
static int random_upstream(sim_t *sim, const sim_call_t *call)
{
	int service = route_of(sim, call)->chain[call->level];
	int dc = sim->hosts[call->from].dc / 2 * 2 +
		 (int)cas_rng_below(sim->rng, 2);

	return dc * WORKLOAD_SERVICES + service;
}

static bool choose(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->from];
	routing_choice_t choice;

	if (!sim->control) {
		call->to = random_upstream(sim, call);
		return true;
	}
	if (routing_pick(host->routing, service_id(sim, call), call->tried,
			 (size_t)call->tries, call->tries > 0, &choice))
		return false;
	call->to = (int)(choice.host - sim->hosts[0].id);
	call->tried[call->tries] = choice.host;
	routing_begin(host->routing, choice.host);
	call->early_count = thresholds_take_early_rejections(
		host->thresholds, threshold_key(call, call->level), call->early,
		WORKLOAD_CUSTOMERS);
	call->granted = retry_budget_split(&call->budget);
	return true;
}

static void send_call(sim_t *sim, sim_call_t *call)
{
	if (!choose(sim, call)) {
		call_over(sim, call, false);
		return;
	}
	call->tries++;
	call->sent_us = sim_now(sim);
	sim_at(sim, distance_us(sim, call->from, call->to), arrive, call);
}

void sim_daemon_call(sim_t *sim, sim_attempt_t *attempt, sim_call_t *parent,
		     int from, int32_t units)
{
	sim_host_t *host = &sim->hosts[from];
	sim_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	attempt->refs++;
	call->attempt = attempt;
	call->parent = parent;
	call->level = parent ? parent->level + 1 : 0;
	call->from = from;
	call->made_us = sim_now(sim);
	call->budget = retry_budget_of(units);
	if (sim->control && !parent &&
	    !thresholds_check(host->thresholds,
			      threshold_key(call, call->level),
			      importance_of(sim, call), customer_id(call),
			      attempt->draw) &&
	    !thresholds_probe(host->thresholds, threshold_key(call, 0),
			      importance_of(sim, call), customer_id(call))) {
		call_over(sim, call, false);
		return;
	}
	if (sim->control)
		retry_throttle_count_first(host->throttle,
					   service_id(sim, call));
	send_call(sim, call);
}

int sim_daemon_init(sim_t *sim, sim_host_t *host)
{
	static const admission_ops_t ops = { .run = run_queued,
					     .drop = drop_queued };

	host->admission =
		admission_create(sim, sim->clock, sim->rng, &ops, host);
	host->routing = routing_create(sim, sim->clock, sim->rng, NULL, host);
	host->thresholds = thresholds_create(sim, sim->clock);
	host->throttle = retry_throttle_create(sim, sim->clock);
	if (!host->admission || !host->routing || !host->thresholds ||
	    !host->throttle)
		return ADMISSION_ENOMEM;
	return routing_set_view(host->routing, &sim->table, &sim->roster,
				host->id, 0);
}
