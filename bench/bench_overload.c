/*
 * Benchmark of overload control in a simulated fleet, with control on and off.
 * Each run starts with normal load, so that concurrency limits and latencies
 * are known when the overload begins.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

#define THREAD_COUNT 4
/* Loads are fractions of the capacity of the fleet. */
#define NORMAL_LOAD 0.7
#define OVERLOAD_START_US (3 * CAS_USEC_PER_SEC)
#define MEASURE_START_US (6 * CAS_USEC_PER_SEC)
#define MEASURE_END_US (9 * CAS_USEC_PER_SEC)
#define HIGHEST_IMPORTANCE 15
#define FLOOD_FACTOR 10.0 /* on the rate of one customer */
#define RECOVERED_RATIO 0.95
/* Counted for each service, so that the rate limit on retries has no effect. */
#define FIRST_ATTEMPTS 100000

static uint32_t seed = 1;

typedef struct job job_t;

/* One simulation run, with its result. */
struct job {
	const char *bench;
	const char *unit; /* of the result */
	const workload_t *workload;
	double load; /* during the overload */
	bool control; /* overload control is on */
	double (*measure)(const job_t *job);
	double result;
};

/* Creates a simulation with normal load. */
static sim_t *start_normal_load(const job_t *job)
{
	sim_t *sim = sim_create(job->workload, job->control, seed);

	sim->measure_from_us = MEASURE_START_US;
	sim->measure_to_us = MEASURE_END_US;
	sim_client_start(sim, NORMAL_LOAD);
	return sim;
}

/* Creates a simulation, runs it with normal load until OVERLOAD_START_US and
 * then sets the load of the job. */
static sim_t *start_overload(const job_t *job)
{
	sim_t *sim = start_normal_load(job);

	sim_run(sim, OVERLOAD_START_US);
	sim_client_set_load(sim, job->load);
	return sim;
}

/* Returns the goodput during the overload; see sim_goodput. */
static double measure_goodput(const job_t *job)
{
	sim_t *sim = start_overload(job);
	double result;

	sim_run(sim, MEASURE_END_US);
	result = sim_goodput(sim);
	talloc_free(sim);
	return result;
}

/* Returns the fraction of requests served by the first attempt of the client;
 * later attempts do not count. */
static double first_attempt_ratio(const sim_counts_t *counts)
{
	return counts->sent ? (double)counts->served_first_attempt /
				      (double)counts->sent
			    : 1;
}

/* Returns the fraction of requests of the highest importance that the first
 * attempt of the client served during the overload. */
static double measure_highest_importance(const job_t *job)
{
	sim_t *sim = start_overload(job);
	double result;

	sim_run(sim, MEASURE_END_US + job->workload->client_timeout_us);
	result = first_attempt_ratio(
		&sim->importance_counts[HIGHEST_IMPORTANCE]);
	talloc_free(sim);
	return result;
}

/*
 * Returns the lowest fraction of requests served at the first attempt among the
 * customers that keep their rate, while the first customer sends FLOOD_FACTOR
 * times its rate. All requests have the same importance, because requests of a
 * higher importance are meant to take precedence over other customers. Quotas,
 * which would stop the flood, are not simulated.
 */
static double measure_worst_customer(const job_t *job)
{
	sim_t *sim = start_normal_load(job);
	double result = 1;

	sim->equal_importance = true;
	sim_run(sim, OVERLOAD_START_US);
	sim->rates[0] *= FLOOD_FACTOR;
	sim_run(sim, MEASURE_END_US + job->workload->client_timeout_us);
	for (int i = 1; i < WORKLOAD_CUSTOMERS; i++)
		if (first_attempt_ratio(&sim->customer_counts[i]) < result)
			result = first_attempt_ratio(&sim->customer_counts[i]);
	talloc_free(sim);
	return result;
}

/* Returns whether the fraction of the requests of a bin that were served is at
 * least RECOVERED_RATIO of the normal one. */
static bool bin_has_recovered(const sim_t *sim, int64_t index,
			      double normal_ratio)
{
	const sim_bin_t *bin = &sim->bins[index];

	return (double)bin->served >=
	       RECOVERED_RATIO * normal_ratio * (double)bin->arrived;
}

/* Returns the fraction of the requests of some bins that was served. */
static double served_ratio(const sim_t *sim, int64_t from_bin, int64_t to_bin)
{
	double arrived = 0;
	double served = 0;

	for (int64_t bin = from_bin; bin < to_bin; bin++) {
		arrived += sim->bins[bin].arrived;
		served += sim->bins[bin].served;
	}
	return arrived > 0 ? served / arrived : 1;
}

/* Returns the seconds from the end of an overload until the fraction of
 * requests that are served is at RECOVERED_RATIO of the normal one or more, in
 * this and every later bin. The overload ends at MEASURE_START_US. */
static double measure_recovery(const job_t *job)
{
	const int64_t overload_end_bin = MEASURE_START_US / SIM_BIN_US;
	const int64_t end_bin = MEASURE_END_US / SIM_BIN_US;
	sim_t *sim = start_overload(job);
	double normal_ratio;
	int64_t bin;

	sim_run(sim, MEASURE_START_US);
	sim_client_set_load(sim, NORMAL_LOAD);
	sim_run(sim, MEASURE_END_US + 5 * job->workload->client_timeout_us);
	normal_ratio = served_ratio(sim, OVERLOAD_START_US / SIM_BIN_US / 3,
				    OVERLOAD_START_US / SIM_BIN_US * 2 / 3);
	for (bin = end_bin; bin > overload_end_bin; bin--)
		if (!bin_has_recovered(sim, bin - 1, normal_ratio))
			break;
	talloc_free(sim);
	return (double)((bin - overload_end_bin) * SIM_BIN_US) /
	       CAS_USEC_PER_SEC;
}

/* Returns the largest number of retries inside the fleet for one client
 * attempt. Every call to the innermost service fails and is retried while the
 * retry budget lasts. FIRST_ATTEMPTS first attempts are counted beforehand, so
 * that only the budget bounds the retries. */
static double measure_retries(const job_t *job)
{
	sim_t *sim = sim_create(job->workload, true, seed);
	double result;

	for (int i = 0; i < SIM_HOSTS; i++) {
		sim->hosts[i].upstream.failure_probability = 1;
		for (int service = 0; service < WORKLOAD_SERVICES; service++)
			for (int n = 0; n < FIRST_ATTEMPTS; n++)
				(void)retry_throttle_count_first(
					sim->hosts[i].throttle,
					sim->services[service].id);
	}
	sim->client_attempts = 1;
	sim_client_start(sim, 0.3);
	sim_run(sim, OVERLOAD_START_US);
	result = (double)sim->retries_max;
	talloc_free(sim);
	return result;
}

/* The workload is set by fill_jobs, and the control of half of the jobs. */
static job_t job_templates[] = {
	{ "goodput", "ratio", NULL, 10, true, measure_goodput, 0 },
	{ "goodput", "ratio", NULL, 5, true, measure_goodput, 0 },
	{ "goodput", "ratio", NULL, 2, true, measure_goodput, 0 },
	{ "recovery", "s", NULL, 10, true, measure_recovery, 0 },
	{ "worst_customer", "ratio", NULL, 1, true, measure_worst_customer, 0 },
	{ "highest_importance", "ratio", NULL, 5, true,
	  measure_highest_importance, 0 },
};

#define TEMPLATE_COUNT ((int)(sizeof(job_templates) / sizeof(job_templates[0])))
#define JOB_COUNT (TEMPLATE_COUNT * 4 + 2)

static const workload_t *const workloads[] = { &workload_kalebasi,
					       &workload_tuatara };
static job_t jobs[JOB_COUNT];
static int next_job; /* index in jobs, protected by next_job_lock */
static pthread_mutex_t next_job_lock = PTHREAD_MUTEX_INITIALIZER;

/* Lists the longest jobs first, to balance the threads. Of each template come
 * the first workload with control on and off, then the second one. */
static void fill_jobs(void)
{
	for (int i = 0; i < TEMPLATE_COUNT * 4; i++) {
		jobs[i] = job_templates[i / 4];
		jobs[i].workload = workloads[i / 2 % 2];
		jobs[i].control = i % 2 == 0;
	}
	for (int i = 0; i < 2; i++)
		jobs[TEMPLATE_COUNT * 4 + i] =
			(job_t){ .bench = "retries",
				 .workload = workloads[i],
				 .measure = measure_retries };
}

/* Thread that runs jobs until none is left. */
static void *run_jobs(void *arg)
{
	(void)arg;
	for (;;) {
		int i;

		(void)pthread_mutex_lock(&next_job_lock);
		i = next_job++;
		(void)pthread_mutex_unlock(&next_job_lock);
		if (i >= JOB_COUNT)
			return NULL;
		jobs[i].result = jobs[i].measure(&jobs[i]);
	}
}

static void print_jobs(void)
{
	for (int i = 0; i < TEMPLATE_COUNT * 4; i += 2)
		printf("bench=%s workload=%s load=%g on_%s=%.4f off_%s=%.4f\n",
		       jobs[i].bench, jobs[i].workload->name, jobs[i].load,
		       jobs[i].unit, jobs[i].result, jobs[i].unit,
		       jobs[i + 1].result);
	for (int i = TEMPLATE_COUNT * 4; i < JOB_COUNT; i++)
		printf("bench=retries workload=%s depth=%d max=%.0f bound=%d\n",
		       jobs[i].workload->name, WORKLOAD_DEPTH, jobs[i].result,
		       sim_retry_budget_max(jobs[i].workload));
}

/* Usage: bench_overload [SEED]; the default is 1. */
int main(int argc, char **argv)
{
	pthread_t threads[THREAD_COUNT];

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	fill_jobs();
	for (int i = 0; i < THREAD_COUNT; i++)
		if (pthread_create(&threads[i], NULL, run_jobs, NULL))
			return EXIT_FAILURE;
	for (int i = 0; i < THREAD_COUNT; i++)
		(void)pthread_join(threads[i], NULL);
	print_jobs();
	return EXIT_SUCCESS;
}
