/*
 * Clients that send at random times and retry at once, several times, when
 * an attempt fails or takes too long.
 */
#include "sim.h"

#include <stdlib.h>

void sim_attempt_unref(sim_attempt_t *attempt)
{
	if (--attempt->refs == 0)
		free(attempt);
}

static sim_bin_t *bin_at(sim_t *sim, int64_t at_us)
{
	int64_t bin = at_us / SIM_BIN_US;

	return &sim->bins[bin < SIM_BINS ? bin : SIM_BINS - 1];
}

static bool measured(const sim_t *sim, int64_t at_us)
{
	return at_us >= sim->measure_from_us && at_us < sim->measure_to_us;
}

double sim_hold_us(const workload_t *workload, int route, int service)
{
	const workload_route_t *r = &workload->routes[route];
	double below = 0;
	double hold = 0;

	for (int level = r->depth - 1; level >= 0; level--) {
		below += (double)workload->services[r->chain[level]].service_us;
		if (r->chain[level] == service)
			hold += below;
		below += 2.0 * (double)workload->rack_us;
	}
	return hold;
}

double sim_capacity(const workload_t *workload)
{
	double lowest = 0;

	for (int service = 0; service < WORKLOAD_SERVICES; service++) {
		double slots = workload->services[service].slots * WORKLOAD_DCS;
		double hold = 0;
		double capacity;

		for (int i = 0; i < workload->route_count; i++)
			hold += sim_hold_us(workload, i, service) *
				workload->routes[i].permille / 1000;
		capacity = slots * (double)CAS_USEC_PER_SEC / hold;
		if (lowest <= 0 || capacity < lowest)
			lowest = capacity;
	}
	return lowest;
}

int sim_retry_bound(const workload_t *workload)
{
	int bound = 0;

	for (int i = 0; i < workload->route_count; i++)
		if (workload->routes[i].retries > bound)
			bound = workload->routes[i].retries;
	return bound;
}

double sim_goodput(const sim_t *sim)
{
	double time = (double)(sim->measure_to_us - sim->measure_from_us);
	double highest = 0;

	for (int i = 0; i < WORKLOAD_SERVICES; i++) {
		double slots = sim->workload->services[i].slots * WORKLOAD_DCS;
		double share = sim->useful_us[i] / (slots * time);

		if (share > highest)
			highest = share;
	}
	return highest;
}

static void count_served(sim_t *sim, sim_root_t *root)
{
	int importance = sim->workload->routes[root->route].importance;
	bool first = root->attempts == 1;

	bin_at(sim, root->arrived_us)->served++;
	bin_at(sim, sim_now(sim))->completed++;
	if (measured(sim, sim_now(sim)))
		for (int i = 0; i < WORKLOAD_SERVICES; i++)
			sim->useful_us[i] +=
				sim_hold_us(sim->workload, root->route, i);
	if (!measured(sim, root->arrived_us))
		return;
	sim->customers[root->customer].served++;
	sim->customers[root->customer].first_try += first;
	sim->importances[importance].served++;
	sim->importances[importance].first_try += first;
}

static void send_attempt(sim_t *sim, sim_root_t *root);

static void attempt_over(sim_t *sim, sim_attempt_t *attempt, bool ok)
{
	sim_root_t *root = attempt->root;

	if (attempt->over)
		return;
	attempt->over = true;
	if (ok)
		count_served(sim, root);
	else if (root->attempts < sim->client_attempts)
		send_attempt(sim, root);
	else
		root->done = true;
	if (ok)
		root->done = true;
}

static void receive_ok(sim_t *sim, void *arg)
{
	attempt_over(sim, arg, true);
	sim_attempt_unref(arg);
}

static void receive_failure(sim_t *sim, void *arg)
{
	attempt_over(sim, arg, false);
	sim_attempt_unref(arg);
}

void sim_client_response(sim_t *sim, sim_attempt_t *attempt, bool ok)
{
	attempt->refs++;
	sim_at(sim, sim->workload->client_us, ok ? receive_ok : receive_failure,
	       attempt);
}

static void time_out(sim_t *sim, void *arg)
{
	attempt_over(sim, arg, false);
	sim_attempt_unref(arg);
}

static void enter(sim_t *sim, void *arg)
{
	sim_attempt_t *attempt = arg;
	int host = (int)cas_rng_below(sim->rng, SIM_HOSTS);

	sim_daemon_call(sim, attempt, NULL, host,
			sim->workload->routes[attempt->root->route].retries);
	sim_attempt_unref(attempt);
}

static void send_attempt(sim_t *sim, sim_root_t *root)
{
	sim_attempt_t *attempt = calloc(1, sizeof(*attempt));

	if (!attempt)
		abort();
	root->attempts++;
	attempt->root = root;
	attempt->draw = (uint32_t)cas_rng_u64(sim->rng);
	attempt->deadline_us = sim_now(sim) + sim->workload->timeout_us -
			       sim->workload->client_us;
	attempt->refs = 2; /* arrival and time-out */
	sim_at(sim, sim->workload->client_us, enter, attempt);
	sim_at(sim, sim->workload->timeout_us, time_out, attempt);
}

static int pick_route(sim_t *sim)
{
	int left = (int)cas_rng_below(sim->rng, 1000);
	int route = 0;

	while (route + 1 < sim->workload->route_count &&
	       left >= sim->workload->routes[route].permille)
		left -= sim->workload->routes[route++].permille;
	return route;
}

typedef struct source {
	int customer;
} source_t;

static void next_request(sim_t *sim, void *arg)
{
	const source_t *source = arg;
	double rate = sim->rate[source->customer];
	sim_root_t *root = talloc_zero(sim, sim_root_t);
	int importance;

	if (!root)
		abort();
	root->customer = source->customer;
	root->route = pick_route(sim);
	root->arrived_us = sim_now(sim);
	importance = sim->workload->routes[root->route].importance;
	bin_at(sim, root->arrived_us)->arrived++;
	if (measured(sim, root->arrived_us)) {
		sim->customers[root->customer].sent++;
		sim->importances[importance].sent++;
	}
	send_attempt(sim, root);
	sim_at(sim,
	       (int64_t)cas_rng_exponential(sim->rng,
					    (double)CAS_USEC_PER_SEC / rate),
	       next_request, arg);
}

void sim_client_set_load(sim_t *sim, double load)
{
	double rate = sim_capacity(sim->workload) * load;

	for (int i = 0; i < WORKLOAD_CUSTOMERS; i++)
		sim->rate[i] =
			rate * sim->workload->customers[i].permille / 1000;
}

void sim_client_start(sim_t *sim, double load)
{
	sim_client_set_load(sim, load);
	for (int i = 0; i < WORKLOAD_CUSTOMERS; i++) {
		source_t *source = talloc_zero(sim, source_t);

		if (!source)
			abort();
		source->customer = i;
		sim_at(sim, 0, next_request, source);
	}
}
