/*
 * Simulated upstream. A call occupies a slot from its start to its end, also
 * while its child call runs. When all slots are in use, calls wait in the
 * upstream's own queue. Running and queued calls are limited by the number of
 * connections. The child call is made after the first half of the work.
 */
#include "sim.h"

#define COLD_TIME_FACTOR 4.0

void sim_upstream_init(sim_t *sim, sim_host_t *host, int service)
{
	sim_upstream_t *upstream = &host->upstream;

	upstream->service = service;
	upstream->slots = sim->workload->services[service].slots;
	upstream->service_time_factor = 1;
}

static const workload_route_t *route_of(const sim_t *sim,
					const sim_call_t *call)
{
	return &sim->workload->routes[call->client_attempt->root->route];
}

/* Returns a random time for half of the work of a call: a fixed and an
 * exponentially distributed part with the same mean. */
static int64_t half_service_time_us(sim_t *sim, const sim_upstream_t *upstream)
{
	double mean = (double)sim->workload->services[upstream->service]
			      .mean_service_us;
	double time = mean / 4 + cas_rng_exponential(sim->rng, mean / 4);

	if (sim_now(sim) < upstream->cold_until_us)
		time *= COLD_TIME_FACTOR;
	return (int64_t)(time * upstream->service_time_factor);
}

static void start_call(sim_t *sim, sim_call_t *call);

/* Ends a call and starts the first one of the queue. */
static void end_call(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;
	sim_call_t *next = upstream->queue_head;

	upstream->running--;
	if (next) {
		upstream->queue_head = next->next;
		if (!upstream->queue_head)
			upstream->queue_tail = NULL;
		upstream->queued--;
		start_call(sim, next);
	}
	sim_daemon_finish(sim, call, ok);
}

static void end_second_half(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	const sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;
	bool ok = cas_rng_double(sim->rng) >= upstream->failure_probability;

	end_call(sim, call, ok);
}

/* Makes the child call, or continues with the second half of the work. With
 * control on, fails instead when the deadline has passed. */
static void end_first_half(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;

	if (sim->control && sim_now(sim) >= call->client_attempt->deadline_us) {
		end_call(sim, call, false);
		return;
	}
	if (call->level + 1 < route_of(sim, call)->depth)
		sim_daemon_call(sim, call->client_attempt, call, call->to_host,
				call->granted_units);
	else
		sim_schedule(sim, half_service_time_us(sim, upstream),
			     end_second_half, call);
}

void sim_upstream_resume(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;

	if (ok)
		sim_schedule(sim, half_service_time_us(sim, upstream),
			     end_second_half, call);
	else
		end_call(sim, call, false);
}

/* Starts a call in a free slot. */
static void start_call(sim_t *sim, sim_call_t *call)
{
	sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;

	upstream->running++;
	sim_schedule(sim, half_service_time_us(sim, upstream), end_first_half,
		     call);
}

bool sim_upstream_offer(sim_t *sim, sim_call_t *call)
{
	sim_upstream_t *upstream = &sim->hosts[call->to_host].upstream;
	int connections =
		sim->workload->services[upstream->service].connections;
	int occupied = upstream->running + upstream->queued;

	if (occupied >= connections)
		return false;
	if (upstream->shed_limit && occupied >= upstream->shed_limit)
		return false;
	if (upstream->running < upstream->slots) {
		start_call(sim, call);
		return true;
	}
	call->next = NULL;
	if (upstream->queue_tail)
		upstream->queue_tail->next = call;
	else
		upstream->queue_head = call;
	upstream->queue_tail = call;
	upstream->queued++;
	return true;
}
