/*
 * Simulated clients, and the counts of their requests. Each customer sends root
 * requests at random times. An attempt that fails or times out is retried at
 * once, up to client_attempts attempts in all.
 */
#include "sim.h"

#include <stdlib.h>

void sim_client_attempt_unref(sim_client_attempt_t *attempt)
{
	if (--attempt->refcount == 0)
		free(attempt);
}

/* Returns the bin of a time; later times are counted in the last bin. */
static sim_bin_t *bin_at(sim_t *sim, int64_t time_us)
{
	int64_t index = time_us / SIM_BIN_US;

	return &sim->bins[index < SIM_BIN_COUNT ? index : SIM_BIN_COUNT - 1];
}

static bool in_measured_window(const sim_t *sim, int64_t time_us)
{
	return time_us >= sim->measure_from_us && time_us < sim->measure_to_us;
}

double sim_slot_time_us(const workload_t *workload, int route, int service)
{
	const workload_route_t *path = &workload->routes[route];
	double subtree_us = 0; /* work at this and all deeper levels */
	double slot_time_us = 0;

	for (int level = path->depth - 1; level >= 0; level--) {
		subtree_us += (double)workload->services[path->chain[level]]
				      .mean_service_us;
		if (path->chain[level] == service)
			slot_time_us += subtree_us;
		subtree_us += 2.0 * (double)workload->same_dc_delay_us;
	}
	return slot_time_us;
}

double sim_capacity(const workload_t *workload)
{
	double lowest = 0;

	for (int service = 0; service < WORKLOAD_SERVICES; service++) {
		double slots = workload->services[service].slots * WORKLOAD_DCS;
		double slot_time_us = 0;
		double capacity;

		for (int i = 0; i < workload->route_count; i++)
			slot_time_us += sim_slot_time_us(workload, i, service) *
					workload->routes[i].permille / 1000;
		capacity = slots * (double)CAS_USEC_PER_SEC / slot_time_us;
		if (lowest <= 0 || capacity < lowest)
			lowest = capacity;
	}
	return lowest;
}

int sim_retry_budget_max(const workload_t *workload)
{
	int highest = 0;

	for (int i = 0; i < workload->route_count; i++)
		if (workload->routes[i].retry_budget > highest)
			highest = workload->routes[i].retry_budget;
	return highest;
}

double sim_goodput(const sim_t *sim)
{
	double window_us = (double)(sim->measure_to_us - sim->measure_from_us);
	double highest = 0;

	for (int i = 0; i < WORKLOAD_SERVICES; i++) {
		double slot_count =
			sim->workload->services[i].slots * WORKLOAD_DCS;
		double share =
			sim->useful_slot_us[i] / (slot_count * window_us);

		if (share > highest)
			highest = share;
	}
	return highest;
}

/* Counts a root request that was served now. */
static void count_served(sim_t *sim, sim_root_t *root)
{
	int importance = sim->workload->routes[root->route].importance;
	bool first = root->attempts == 1;

	bin_at(sim, root->arrived_us)->served++;
	bin_at(sim, sim_now(sim))->completed++;
	if (in_measured_window(sim, sim_now(sim)))
		for (int i = 0; i < WORKLOAD_SERVICES; i++)
			sim->useful_slot_us[i] +=
				sim_slot_time_us(sim->workload, root->route, i);
	if (!in_measured_window(sim, root->arrived_us))
		return;
	sim->customer_counts[root->customer].served++;
	sim->customer_counts[root->customer].served_first_attempt += first;
	sim->importance_counts[importance].served++;
	sim->importance_counts[importance].served_first_attempt += first;
}

static void send_attempt(sim_t *sim, sim_root_t *root);

/* Ends an attempt at the client, and retries it if it failed. Does nothing for
 * an attempt that has ended: the response may come after the timeout. */
static void end_attempt(sim_t *sim, sim_client_attempt_t *attempt, bool ok)
{
	sim_root_t *root = attempt->root;

	if (attempt->ended)
		return;
	attempt->ended = true;
	if (ok)
		count_served(sim, root);
	else if (root->attempts < sim->client_attempts)
		send_attempt(sim, root);
	else
		root->done = true;
	if (ok)
		root->done = true;
}

static void on_success(sim_t *sim, void *arg)
{
	end_attempt(sim, arg, true);
	sim_client_attempt_unref(arg);
}

static void on_failure(sim_t *sim, void *arg)
{
	end_attempt(sim, arg, false);
	sim_client_attempt_unref(arg);
}

void sim_client_respond(sim_t *sim, sim_client_attempt_t *attempt, bool ok)
{
	attempt->refcount++;
	sim_schedule(sim, sim->workload->client_delay_us,
		     ok ? on_success : on_failure, attempt);
}

static void on_timeout(sim_t *sim, void *arg)
{
	end_attempt(sim, arg, false);
	sim_client_attempt_unref(arg);
}

/* The attempt arrives at a random host, whose daemon is the entry daemon. */
static void arrive_at_entry_daemon(sim_t *sim, void *arg)
{
	sim_client_attempt_t *attempt = arg;
	int host = (int)cas_rng_below(sim->rng, SIM_HOSTS);

	sim_daemon_call(
		sim, attempt, NULL, host,
		sim->workload->routes[attempt->root->route].retry_budget);
	sim_client_attempt_unref(attempt);
}

static void send_attempt(sim_t *sim, sim_root_t *root)
{
	sim_client_attempt_t *attempt = calloc(1, sizeof(*attempt));

	if (!attempt)
		abort();
	root->attempts++;
	attempt->root = root;
	attempt->draw = (uint32_t)cas_rng_u64(sim->rng);
	attempt->deadline_us = sim_now(sim) + sim->workload->client_timeout_us -
			       sim->workload->client_delay_us;
	attempt->refcount = 2; /* for the arrival and the timeout */
	sim_schedule(sim, sim->workload->client_delay_us,
		     arrive_at_entry_daemon, attempt);
	sim_schedule(sim, sim->workload->client_timeout_us, on_timeout,
		     attempt);
}

/* Returns a random route, weighted by the shares of the workload. */
static int pick_route(sim_t *sim)
{
	int remainder = (int)cas_rng_below(sim->rng, 1000);
	int route = 0;

	while (route + 1 < sim->workload->route_count &&
	       remainder >= sim->workload->routes[route].permille)
		remainder -= sim->workload->routes[route++].permille;
	return route;
}

/* The arrivals of one customer. */
typedef struct load_source {
	int customer;
} load_source_t;

/* Sends a new root request and schedules the next one of the customer. */
static void send_request(sim_t *sim, void *arg)
{
	const load_source_t *source = arg;
	double rate = sim->rates[source->customer];
	sim_root_t *root = talloc_zero(sim, sim_root_t);
	int importance;

	if (!root)
		abort();
	root->customer = source->customer;
	root->route = pick_route(sim);
	root->arrived_us = sim_now(sim);
	importance = sim->workload->routes[root->route].importance;
	bin_at(sim, root->arrived_us)->arrived++;
	if (in_measured_window(sim, root->arrived_us)) {
		sim->customer_counts[root->customer].sent++;
		sim->importance_counts[importance].sent++;
	}
	send_attempt(sim, root);
	sim_schedule(sim,
		     (int64_t)cas_rng_exponential(
			     sim->rng, (double)CAS_USEC_PER_SEC / rate),
		     send_request, arg);
}

void sim_client_set_load(sim_t *sim, double load)
{
	double rate = sim_capacity(sim->workload) * load;

	for (int i = 0; i < WORKLOAD_CUSTOMERS; i++)
		sim->rates[i] =
			rate * sim->workload->customers[i].permille / 1000;
}

void sim_client_start(sim_t *sim, double load)
{
	sim_client_set_load(sim, load);
	for (int i = 0; i < WORKLOAD_CUSTOMERS; i++) {
		load_source_t *source = talloc_zero(sim, load_source_t);

		if (!source)
			abort();
		source->customer = i;
		sim_schedule(sim, 0, send_request, source);
	}
}
