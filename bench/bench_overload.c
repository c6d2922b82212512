/*
 * Overload behaviour of the decision code, measured in a simulated fleet with
 * control on and off. Every run starts with normal load, so that limits and
 * latencies are known when the overload begins.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

#define THREADS 4
#define NORMAL_LOAD 0.7
#define SURGE_US (3 * CAS_USEC_PER_SEC)
#define MEASURE_US (6 * CAS_USEC_PER_SEC)
#define END_US (9 * CAS_USEC_PER_SEC)
#define HIGHEST 15
#define FLOOD 10.0
#define RECOVERY_SHARE 0.95
#define RETRY_CALLS 100000

static uint32_t seed = 1;

typedef struct job job_t;

struct job {
	const char *bench;
	const char *unit;
	const workload_t *workload;
	double load;
	bool control;
	double (*run)(const job_t *job);
	double result;
};

static sim_t *start(const job_t *job)
{
	sim_t *sim = sim_create(job->workload, job->control, seed);

	sim->measure_from_us = MEASURE_US;
	sim->measure_to_us = END_US;
	sim_client_start(sim, NORMAL_LOAD);
	return sim;
}

static sim_t *start_surge(const job_t *job)
{
	sim_t *sim = start(job);

	sim_run(sim, SURGE_US);
	sim_client_set_load(sim, job->load);
	return sim;
}

static double goodput(const job_t *job)
{
	sim_t *sim = start_surge(job);
	double result;

	sim_run(sim, END_US);
	result = sim_goodput(sim);
	talloc_free(sim);
	return result;
}

/* Requests served by the client's first attempt; retries do not count. */
static double share(const sim_count_t *count)
{
	return count->sent ? (double)count->first_try / (double)count->sent : 1;
}

static double highest_importance(const job_t *job)
{
	sim_t *sim = start_surge(job);
	double result;

	sim_run(sim, END_US + job->workload->timeout_us);
	result = share(&sim->importances[HIGHEST]);
	talloc_free(sim);
	return result;
}

/*
 * All customers but the first stay inside their rates. All requests have the
 * same importance, because a higher one rightly goes before that of another
 * customer; quota, which would stop the flood, is left out.
 */
static double worst_customer(const job_t *job)
{
	sim_t *sim = start(job);
	double result = 1;

	sim->flat = true;
	sim_run(sim, SURGE_US);
	sim->rate[0] *= FLOOD;
	sim_run(sim, END_US + job->workload->timeout_us);
	for (int i = 1; i < WORKLOAD_CUSTOMERS; i++)
		if (share(&sim->customers[i]) < result)
			result = share(&sim->customers[i]);
	talloc_free(sim);
	return result;
}

static bool bin_is_normal(const sim_t *sim, int64_t bin, double normal)
{
	const sim_bin_t *b = &sim->bins[bin];

	return (double)b->served >=
	       RECOVERY_SHARE * normal * (double)b->arrived;
}

static double served_share(const sim_t *sim, int64_t from, int64_t to)
{
	double arrived = 0;
	double served = 0;

	for (int64_t bin = from; bin < to; bin++) {
		arrived += sim->bins[bin].arrived;
		served += sim->bins[bin].served;
	}
	return arrived > 0 ? served / arrived : 1;
}

/* Returns the seconds from the end of a surge until requests are served at
 * 95% of the normal share again, in this and every later bin. */
static double recovery(const job_t *job)
{
	const int64_t calm = MEASURE_US / SIM_BIN_US;
	const int64_t end = END_US / SIM_BIN_US;
	sim_t *sim = start_surge(job);
	double normal;
	int64_t bin;

	sim_run(sim, MEASURE_US);
	sim_client_set_load(sim, NORMAL_LOAD);
	sim_run(sim, END_US + 5 * job->workload->timeout_us);
	normal = served_share(sim, SURGE_US / SIM_BIN_US / 3,
			      SURGE_US / SIM_BIN_US * 2 / 3);
	for (bin = end; bin > calm; bin--)
		if (!bin_is_normal(sim, bin - 1, normal))
			break;
	talloc_free(sim);
	return (double)((bin - calm) * SIM_BIN_US) / CAS_USEC_PER_SEC;
}

/* Every try at the innermost service fails and is retried as far as the
 * budget goes. The throttle is fed with enough first attempts elsewhere. */
static double retries(const job_t *job)
{
	sim_t *sim = sim_create(job->workload, true, seed);
	double result;

	for (int i = 0; i < SIM_HOSTS; i++) {
		sim->hosts[i].upstream.fail_probability = 1;
		for (int s = 0; s < WORKLOAD_SERVICES; s++)
			for (int n = 0; n < RETRY_CALLS; n++)
				(void)retry_throttle_count_first(
					sim->hosts[i].throttle,
					sim->services[s].id);
	}
	sim->client_attempts = 1;
	sim_client_start(sim, 0.3);
	sim_run(sim, SURGE_US);
	result = (double)sim->retries_max;
	talloc_free(sim);
	return result;
}

static job_t jobs[] = {
	{ "goodput", "ratio", NULL, 10, true, goodput, 0 },
	{ "goodput", "ratio", NULL, 5, true, goodput, 0 },
	{ "goodput", "ratio", NULL, 2, true, goodput, 0 },
	{ "recovery", "s", NULL, 10, true, recovery, 0 },
	{ "worst_customer", "ratio", NULL, 1, true, worst_customer, 0 },
	{ "highest_importance", "ratio", NULL, 5, true, highest_importance, 0 },
};

#define JOBS ((int)(sizeof(jobs) / sizeof(jobs[0])))
#define ALL_JOBS (JOBS * 4 + 2)

static const workload_t *const workloads[] = { &workload_kalebasi,
					       &workload_tuatara };
static job_t all[ALL_JOBS];
static int next_job;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Longest jobs first; on and off, and both workloads, next to each other. */
static void list_jobs(void)
{
	for (int i = 0; i < JOBS * 4; i++) {
		all[i] = jobs[i / 4];
		all[i].workload = workloads[i / 2 % 2];
		all[i].control = i % 2 == 0;
	}
	for (int i = 0; i < 2; i++)
		all[JOBS * 4 + i] = (job_t){ .bench = "retries",
					     .workload = workloads[i],
					     .run = retries };
}

static void *work(void *arg)
{
	(void)arg;
	for (;;) {
		int i;

		(void)pthread_mutex_lock(&lock);
		i = next_job++;
		(void)pthread_mutex_unlock(&lock);
		if (i >= ALL_JOBS)
			return NULL;
		all[i].result = all[i].run(&all[i]);
	}
}

static void print_jobs(void)
{
	for (int i = 0; i < JOBS * 4; i += 2)
		printf("bench=%s workload=%s load=%g on_%s=%.4f off_%s=%.4f\n",
		       all[i].bench, all[i].workload->name, all[i].load,
		       all[i].unit, all[i].result, all[i].unit,
		       all[i + 1].result);
	for (int i = JOBS * 4; i < ALL_JOBS; i++)
		printf("bench=retries workload=%s depth=%d max=%.0f bound=%d\n",
		       all[i].workload->name, WORKLOAD_DEPTH, all[i].result,
		       sim_retry_bound(all[i].workload));
}

/* The argument is the seed, 1 by default. */
int main(int argc, char **argv)
{
	pthread_t threads[THREADS];

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	list_jobs();
	for (int i = 0; i < THREADS; i++)
		if (pthread_create(&threads[i], NULL, work, NULL))
			return EXIT_FAILURE;
	for (int i = 0; i < THREADS; i++)
		(void)pthread_join(threads[i], NULL);
	print_jobs();
	return EXIT_SUCCESS;
}
