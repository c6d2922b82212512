/*
 * A fake upstream. A call holds a slot from its start to its end, also while
 * its child call runs. Calls beyond the slots wait in the upstream's own
 * queue, up to its number of connections.
 */
#include "sim.h"

#define COLD_FACTOR 4.0

void sim_upstream_init(sim_t *sim, sim_host_t *host, int service)
{
	sim_upstream_t *upstream = &host->upstream;

	upstream->service = service;
	upstream->slots = sim->workload->services[service].slots;
	upstream->slowdown = 1;
}

static const workload_route_t *route_of(const sim_t *sim,
					const sim_call_t *call)
{
	return &sim->workload->routes[call->attempt->root->route];
}

/* Half of the time of a call: a fixed part and an exponential one. */
static int64_t half_time(sim_t *sim, const sim_upstream_t *upstream)
{
	double mean =
		(double)sim->workload->services[upstream->service].service_us;
	double time = mean / 4 + cas_rng_exponential(sim->rng, mean / 4);

	if (sim_now(sim) < upstream->cold_until_us)
		time *= COLD_FACTOR;
	return (int64_t)(time * upstream->slowdown);
}

static void begin(sim_t *sim, sim_call_t *call);

static void end(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_upstream_t *upstream = &sim->hosts[call->to].upstream;
	sim_call_t *next = upstream->first;

	upstream->busy--;
	if (next) {
		upstream->first = next->next;
		if (!upstream->first)
			upstream->last = NULL;
		upstream->queued--;
		begin(sim, next);
	}
	sim_daemon_done(sim, call, ok);
}

static void second_half(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	const sim_upstream_t *upstream = &sim->hosts[call->to].upstream;
	bool ok = cas_rng_double(sim->rng) >= upstream->fail_probability;

	end(sim, call, ok);
}

static void first_half(sim_t *sim, void *arg)
{
	sim_call_t *call = arg;
	sim_upstream_t *upstream = &sim->hosts[call->to].upstream;

	if (sim->control && sim_now(sim) >= call->attempt->deadline_us) {
		end(sim, call, false);
		return;
	}
	if (call->level + 1 < route_of(sim, call)->depth)
		sim_daemon_call(sim, call->attempt, call, call->to,
				call->granted);
	else
		sim_at(sim, half_time(sim, upstream), second_half, call);
}

void sim_upstream_resume(sim_t *sim, sim_call_t *call, bool ok)
{
	sim_upstream_t *upstream = &sim->hosts[call->to].upstream;

	if (ok)
		sim_at(sim, half_time(sim, upstream), second_half, call);
	else
		end(sim, call, false);
}

static void begin(sim_t *sim, sim_call_t *call)
{
	sim_upstream_t *upstream = &sim->hosts[call->to].upstream;

	upstream->busy++;
	sim_at(sim, half_time(sim, upstream), first_half, call);
}

bool sim_upstream_offer(sim_t *sim, sim_call_t *call)
{
	sim_upstream_t *upstream = &sim->hosts[call->to].upstream;
	int connections =
		sim->workload->services[upstream->service].connections;
	int held = upstream->busy + upstream->queued;

	if (held >= connections)
		return false;
	if (upstream->shed_above && held >= upstream->shed_above)
		return false;
	if (upstream->busy < upstream->slots) {
		begin(sim, call);
		return true;
	}
	call->next = NULL;
	if (upstream->last)
		upstream->last->next = call;
	else
		upstream->first = call;
	upstream->last = call;
	upstream->queued++;
	return true;
}
