/*
 * Handling of a call by the daemon that makes it and the daemon of the
 * upstream, with the admission, routing, thresholds and retry packages. With
 * control off, calls go to a random upstream in the region, and each level
 * makes as many retries as the route's retry budget has units, independently of
 * the others.
 */
#include "sim.h"

#include <stdlib.h>

/* Returns the id that stands for the part of a route's chain from a level on.
 * Thresholds are kept under it instead of the service; it is also the kind of
 * request in admission. */
static cas_id_t threshold_key(const sim_call_t *call, int level)
{
	return 1 +
	       (cas_id_t)call->client_attempt->root->route * WORKLOAD_DEPTH +
	       (cas_id_t)level;
}

static const workload_route_t *route_of(const sim_t *sim,
					const sim_call_t *call)
{
	return &sim->workload->routes[call->client_attempt->root->route];
}

/* Returns whether the upstream makes a child call for this call. */
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
	return 500 + (cas_id_t)call->client_attempt->root->customer;
}

static int importance_of(const sim_t *sim, const sim_call_t *call)
{
	return sim->equal_importance ? 0 : route_of(sim, call)->importance;
}

static int64_t one_way_delay_us(const sim_t *sim, int from, int to)
{
	int from_dc = sim->hosts[from].dc;
	int to_dc = sim->hosts[to].dc;

	if (from == to)
		return 0;
	if (from_dc == to_dc)
		return sim->workload->same_dc_delay_us;
	return from_dc / 2 == to_dc / 2 ? sim->workload->same_region_delay_us
					: sim->workload->cross_region_delay_us;
}

/* Ends a call, reports the result to its caller, and frees it. */
static void end_call(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_call_t *parent = call->parent;
	sim_client_attempt_t *client_attempt = call->client_attempt;

	if (parent) {
		parent->unspent_units = call->budget.left;
		if (parent->ticket)
			admission_add_child_time(parent->ticket,
						 sim_now(sim) -
							 call->created_us);
		sim_upstream_resume(sim, parent, ok);
	} else {
		sim_client_respond(sim, client_attempt, ok);
	}
	free(call);
	sim_client_attempt_unref(client_attempt);
}

static void send_attempt(sim_t *sim, sim_call_t *call);

/* Returns whether to retry a failed call; takes a retry unit if so. With
 * control off, only the number of attempts is limited. */
static bool decide_retry(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->from_host];
	retry_query_t query = {
		.service = service_id(sim, call),
		.outcome = call->outcome,
		.idempotent = true,
		.other_host = true,
		.deadline_us = call->client_attempt->deadline_us,
	};

	if (call->attempts >= SIM_ATTEMPTS_MAX)
		return false;
	if (sim->control)
		return retry_decide(&query, &call->budget, host->throttle,
				    sim_now(sim)) == RETRY_ALLOWED;
	return call->attempts <= route_of(sim, call)->retry_budget;
}

/* Retries a call whose attempt has failed, or ends it. */
static void handle_failure(sim_t *sim, sim_call_t *call)
{
	if (decide_retry(sim, call)) {
		call->client_attempt->daemon_retries++;
		if (call->client_attempt->daemon_retries > sim->retries_max)
			sim->retries_max = call->client_attempt->daemon_retries;
		send_attempt(sim, call);
		return;
	}
	end_call(sim, call, false);
}

static routing_outcome_t routing_outcome(const sim_call_t *call)
{
	if (call->succeeded)
		return ROUTING_OK;
	return call->outcome == RETRY_OUTCOME_SHED ? ROUTING_SHED
						   : ROUTING_FAILED;
}

/* The response arrives at the daemon that made the call. */
static void receive_response(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_host_t *host = &sim->hosts[call->from_host];
	routing_result_t result = {
		.outcome = routing_outcome(call),
		.latency_us = sim_now(sim) - call->attempt_sent_us,
		.limit_hint = call->limit_hint,
		.busy_permille = call->busy_permille,
	};

	if (sim->control) {
		routing_finish(host->routing, sim->hosts[call->to_host].id,
			       &result);
		thresholds_learn(host->thresholds,
				 threshold_key(call, call->level),
				 importance_of(sim, call), customer_id(call),
				 call->fraction);
		retry_budget_return(&call->budget, call->granted_units,
				    call->unspent_units);
	}
	if (call->succeeded)
		end_call(sim, call, true);
	else
		handle_failure(sim, call);
}

/* Sends the response of the upstream's daemon. It carries the load of the
 * upstream, and the smaller of its admitted fraction and that of the child. */
static void send_response(sim_t *sim, sim_call_t *call, bool ok,
			  retry_outcome_t outcome)
{
	sim_host_t *host = &sim->hosts[call->to_host];

	call->succeeded = ok;
	call->outcome = outcome;
	if (sim->control) {
		double child_fraction = 1;

		call->limit_hint = admission_limit(host->admission);
		call->busy_permille = admission_busy_permille(host->admission);
		call->fraction = admission_threshold(host->admission,
						     importance_of(sim, call),
						     customer_id(call));
		if (has_child(sim, call))
			child_fraction = thresholds_fraction(
				host->thresholds,
				threshold_key(call, call->level + 1),
				importance_of(sim, call), customer_id(call));
		if (child_fraction < call->fraction)
			call->fraction = child_fraction;
	}
	sim_schedule(sim, one_way_delay_us(sim, call->from_host, call->to_host),
		     receive_response, call);
}

void sim_daemon_finish(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_host_t *host = &sim->hosts[call->to_host];

	if (call->ticket)
		admission_finish(host->admission, call->ticket,
				 ok ? ADMISSION_OK : ADMISSION_FAILED);
	call->ticket = NULL;
	send_response(sim, call, ok, RETRY_OUTCOME_FAILED);
}

/* Passes an admitted call to the upstream, which may still reject it. */
static void offer_to_upstream(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->to_host];

	if (sim_upstream_offer(sim, call))
		return;
	if (call->ticket)
		admission_finish(host->admission, call->ticket,
				 ADMISSION_SHED_BY_UPSTREAM);
	call->ticket = NULL;
	send_response(sim, call, false, RETRY_OUTCOME_SHED);
}

static void run_queued(void *private, admission_ticket_t *ticket, void *arg)
{
	sim_host_t *host = private;

	(void)ticket;
	offer_to_upstream(host->sim, arg);
}

static void count_rejected(sim_t *sim, const sim_call_t *call, int reason)
{
	sim->rejected[call->client_attempt->root->route][call->level][reason]++;
}

static void drop_queued(void *private, void *arg, admission_reason_t reason)
{
	sim_host_t *host = private;
	sim_call_t *call = arg;

	count_rejected(host->sim, call, (int)reason);
	call->ticket = NULL;
	send_response(host->sim, call, false, RETRY_OUTCOME_SHED);
}

/* Asks the admission of the upstream's daemon, and starts or rejects the call.
 */
static void request_admission(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->to_host];
	admission_request_t request = {
		.importance = importance_of(sim, call),
		.draw = call->client_attempt->draw,
		.customer = customer_id(call),
		.weight = sim->workload
				  ->customers[call->client_attempt->root
						      ->customer]
				  .weight,
		.deadline_us = call->client_attempt->deadline_us,
		.child = call->level > 0,
		.kind = threshold_key(call, call->level),
		.private = call,
	};
	admission_reason_t reason;

	switch (admission_offer(host->admission, &request, &call->ticket,
				&reason)) {
	case ADMISSION_RUN:
		offer_to_upstream(sim, call);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REJECTED:
		count_rejected(sim, call, (int)reason);
		send_response(sim, call, false, RETRY_OUTCOME_SHED);
		break;
	}
}

/* The attempt arrives at the upstream's daemon. */
static void receive_attempt(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_host_t *host = &sim->hosts[call->to_host];

	call->unspent_units = call->granted_units;
	if (!sim->control) {
		offer_to_upstream(sim, call);
		return;
	}
	for (size_t i = 0; i < call->early_rejection_count; i++)
		admission_add_early_rejections(
			host->admission, call->early_rejections[i].importance,
			call->early_rejections[i].customer,
			call->early_rejections[i].count);
	call->early_rejection_count = 0;
	if (has_child(sim, call) &&
	    !thresholds_check(host->thresholds,
			      threshold_key(call, call->level + 1),
			      importance_of(sim, call), customer_id(call),
			      call->client_attempt->draw)) {
		count_rejected(sim, call, SIM_REASON_EARLY);
		send_response(sim, call, false, RETRY_OUTCOME_SHED);
		return;
	}
	request_admission(sim, call);
}

/* Returns a random upstream of the service in the region of the caller. */
static int random_upstream(sim_t *sim, const sim_call_t *call)
{
	int service = route_of(sim, call)->chain[call->level];
	int dc = sim->hosts[call->from_host].dc / 2 * 2 +
		 (int)cas_rng_below(sim->rng, 2);

	return dc * WORKLOAD_SERVICES + service;
}

/* Sets the host of the next attempt, and the retry units and early rejections
 * that are sent with it. Returns false when there is no host. */
static bool choose_upstream(sim_t *sim, sim_call_t *call)
{
	sim_host_t *host = &sim->hosts[call->from_host];
	const routing_query_t query = {
		.service = service_id(sim, call),
		.exclude = call->tried_hosts,
		.exclude_count = (size_t)call->attempts,
		.last_resort = call->attempts > 0,
	};
	routing_choice_t choice;

	if (!sim->control) {
		call->to_host = random_upstream(sim, call);
		return true;
	}
	if (routing_pick(host->routing, &query, &choice))
		return false;
	call->to_host = (int)(choice.host - sim->hosts[0].id);
	call->tried_hosts[call->attempts] = choice.host;
	routing_begin(host->routing, choice.host);
	call->early_rejection_count = thresholds_take_early_rejections(
		host->thresholds, threshold_key(call, call->level),
		call->early_rejections, WORKLOAD_CUSTOMERS);
	call->granted_units = retry_budget_split(&call->budget);
	return true;
}

static void send_attempt(sim_t *sim, sim_call_t *call)
{
	if (!choose_upstream(sim, call)) {
		end_call(sim, call, false);
		return;
	}
	call->attempts++;
	call->attempt_sent_us = sim_now(sim);
	sim_schedule(sim, one_way_delay_us(sim, call->from_host, call->to_host),
		     receive_attempt, call);
}

void sim_daemon_call(sim_t *sim, sim_client_attempt_t *client_attempt,
		     sim_call_t *parent, int from_host, int32_t units)
{
	sim_host_t *host = &sim->hosts[from_host];
	sim_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	client_attempt->refcount++;
	call->client_attempt = client_attempt;
	call->parent = parent;
	call->level = parent ? parent->level + 1 : 0;
	call->from_host = from_host;
	call->created_us = sim_now(sim);
	call->budget = retry_budget_of(units);
	if (sim->control && !parent &&
	    !thresholds_check(host->thresholds,
			      threshold_key(call, call->level),
			      importance_of(sim, call), customer_id(call),
			      client_attempt->draw) &&
	    !thresholds_probe(host->thresholds, threshold_key(call, 0),
			      importance_of(sim, call), customer_id(call))) {
		end_call(sim, call, false);
		return;
	}
	if (sim->control)
		retry_throttle_count_first(host->throttle,
					   service_id(sim, call));
	send_attempt(sim, call);
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
