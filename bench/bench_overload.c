/*
 * Overload behaviour of the decision code, measured in a simulated fleet with
 * control on and off.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

#define SEED 1
#define WARM_US (3 * CAS_USEC_PER_SEC)
#define RUN_US (6 * CAS_USEC_PER_SEC)
#define HIGHEST 15
#define FLOOD 10.0

typedef double (*scenario_fn)(const workload_t *workload, bool control,
			      double load);

static sim_t *run(const workload_t *workload, bool control, double load)
{
	sim_t *sim = sim_create(workload, control, SEED);

	sim->measure_from_us = WARM_US;
	sim->measure_to_us = RUN_US;
	sim_client_start(sim, load);
	return sim;
}

static double goodput(const workload_t *workload, bool control, double load)
{
	sim_t *sim = run(workload, control, load);
	double result;

	sim_run(sim, RUN_US);
	result = sim_goodput(sim);
	talloc_free(sim);
	return result;
}

static double share(const sim_count_t *count)
{
	return count->sent ? (double)count->first_try / (double)count->sent : 1;
}

static double highest_importance(const workload_t *workload, bool control,
				 double load)
{
	sim_t *sim = run(workload, control, load);
	double result;

	sim_run(sim, RUN_US + 2 * workload->timeout_us);
	result = share(&sim->importances[HIGHEST]);
	talloc_free(sim);
	return result;
}

/* All customers but the first stay inside their rates. */
static double worst_customer(const workload_t *workload, bool control,
			     double load)
{
	sim_t *sim = run(workload, control, load);
	double result = 1;

	sim->rate[0] *= FLOOD;
	sim_run(sim, RUN_US + 2 * workload->timeout_us);
	for (int i = 1; i < WORKLOAD_CUSTOMERS; i++)
		if (share(&sim->customers[i]) < result)
			result = share(&sim->customers[i]);
	talloc_free(sim);
	return result;
}

static bool bin_is_normal(const sim_t *sim, int bin, double normal)
{
	const sim_bin_t *b = &sim->bins[bin];

	return (double)b->served >= 0.95 * normal * (double)b->arrived;
}

/* Returns the seconds from the end of a surge until requests are served at
 * 95% of the normal share again, in every later bin. */
static double recovery(const workload_t *workload, bool control, double load)
{
	const int64_t surge_us = 3 * CAS_USEC_PER_SEC;
	const int64_t calm_us = 6 * CAS_USEC_PER_SEC;
	const int64_t end_us = 12 * CAS_USEC_PER_SEC;
	sim_t *sim = run(workload, control, load);
	double arrived = 0;
	double served = 0;
	int bin;

	sim_run(sim, surge_us);
	sim_client_set_load(sim, 10);
	sim_run(sim, calm_us);
	sim_client_set_load(sim, load);
	sim_run(sim, end_us + 8 * workload->timeout_us);
	for (bin = 10; bin < surge_us / SIM_BIN_US - 10; bin++) {
		arrived += sim->bins[bin].arrived;
		served += sim->bins[bin].served;
	}
	for (bin = (int)(end_us / SIM_BIN_US); bin > calm_us / SIM_BIN_US;
	     bin--)
		if (!bin_is_normal(sim, bin - 1, served / arrived))
			break;
	talloc_free(sim);
	return (double)(bin * SIM_BIN_US - calm_us) / CAS_USEC_PER_SEC;
}

static void print_pair(const char *bench, const workload_t *workload,
		       const char *unit, scenario_fn scenario, double load)
{
	double on = scenario(workload, true, load);
	double off = scenario(workload, false, load);

	printf("bench=%s workload=%s load=%g on_%s=%.4f off_%s=%.4f\n", bench,
	       workload->name, load, unit, on, unit, off);
	(void)fflush(stdout);
}

/* Every try at the innermost service fails and is retried as far as the
 * budget goes. The brake is fed with enough first attempts elsewhere. */
static void retries(const workload_t *workload)
{
	sim_t *sim = sim_create(workload, true, SEED);
	int bound = 0;

	for (int i = 0; i < workload->route_count; i++)
		if (workload->routes[i].retries > bound)
			bound = workload->routes[i].retries;
	for (int i = 0; i < SIM_HOSTS; i++) {
		sim->hosts[i].upstream.fail_probability = 1;
		for (int s = 0; s < WORKLOAD_SERVICES; s++)
			for (int n = 0; n < 100000; n++)
				(void)retry_brake_first(sim->hosts[i].brake,
							sim->services[s].id);
	}
	sim->client_attempts = 1;
	sim_client_start(sim, 0.3);
	sim_run(sim, 3 * CAS_USEC_PER_SEC);
	printf("bench=retries workload=%s depth=%d max=%lld bound=%d\n",
	       workload->name, WORKLOAD_DEPTH, (long long)sim->retries_max,
	       bound);
	talloc_free(sim);
}

static void run_all(const workload_t *workload)
{
	print_pair("goodput", workload, "ratio", goodput, 2);
	print_pair("goodput", workload, "ratio", goodput, 5);
	print_pair("goodput", workload, "ratio", goodput, 10);
	print_pair("recovery", workload, "s", recovery, 0.8);
	print_pair("worst_customer", workload, "ratio", worst_customer, 0.7);
	print_pair("highest_importance", workload, "ratio", highest_importance,
		   5);
	retries(workload);
}

int main(void)
{
	run_all(&workload_kalebasi);
	run_all(&workload_tuatara);
	return EXIT_SUCCESS;
}
