/*
 * An upstream that starts cold, for tests without a network: it has slots and a
 * queue, takes twice as long while it is cold, and crashes when it then gets
 * more than a number of requests in any one second, which is checked at every
 * arrival. The controller under test is the only sender.
 */
#ifndef CASSIA_SIMULATED_UPSTREAM_H
#define CASSIA_SIMULATED_UPSTREAM_H

#include "cassia/test.h"

#include "cassia/admission.h"

#define MS CAS_USEC_PER_MSEC
#define SECOND CAS_USEC_PER_SEC
#define CALLS 8192
#define ARRIVALS 65536
/* Bound of the operators: 16 requests a second, times 1.5, plus 8. */
#define COLD_RATE 24
#define COLD_BOUND 32
#define COLD_US (3 * SECOND)
#define SLOTS 8
#define SERVICE_US (40 * MS)
/* Requests a second that all slots serve: SLOTS in SERVICE_US. */
#define FULL_RATE 200

typedef struct call {
	admission_ticket_t *ticket;
	int64_t sent_us;
	int64_t done_us; /* 0: waits in the upstream for a slot */
	bool at_upstream;
	bool in_use;
} call_t;

typedef struct site {
	cas_clock_t *clock;
	cas_rng_t *rng;
	admission_t *admission;
	call_t calls[CALLS]; /* circular buffer */
	size_t next;
	/* Settings of the upstream. */
	int slots;
	int64_t service_us;
	int64_t cold_until_us;
	double slow_factor; /* of all service times */
	bool occasionally_slow; /* 3% of the requests take 7 times as long */
	bool rejects; /* rejects each request */
	bool fails;
	/* State of the upstream. */
	int busy_slots;
	int64_t arrivals[ARRIVALS];
	size_t arrival_count;
	size_t window_start; /* oldest arrival of the last second */
	size_t worst_window; /* most arrivals in a second while cold */
	bool crashed;
	/* Load and results. */
	double rate_per_s;
	double unsent;
	int64_t deadline_us; /* of a request, from its arrival */
	int served;
	int refused;
	admission_reason_t last_reason;
	int64_t latency_sum_us; /* of the served requests */
} site_t;

static inline int64_t site_now(const site_t *site)
{
	return cas_clock_now(site->clock);
}

static inline int64_t service_time(site_t *site)
{
	double time_us = (double)site->service_us * site->slow_factor *
			 (0.75 + cas_rng_below(site->rng, 500) / 1000.0);

	if (site_now(site) < site->cold_until_us)
		time_us *= 2;
	if (site->occasionally_slow && cas_rng_below(site->rng, 100) < 3)
		time_us *= 7;
	return (int64_t)time_us;
}

/* Starts calls that wait in the upstream, the oldest first. */
static inline void start_waiting(site_t *site)
{
	for (size_t i = 0; i < CALLS && site->busy_slots < site->slots; i++) {
		call_t *call = &site->calls[(site->next + i) % CALLS];

		if (!call->in_use || !call->at_upstream || call->done_us)
			continue;
		call->done_us = site_now(site) + service_time(site);
		site->busy_slots++;
	}
}

static inline void count_arrival(site_t *site)
{
	int64_t now_us = site_now(site);
	size_t count;

	assert_true(site->arrival_count < ARRIVALS);
	site->arrivals[site->arrival_count++] = now_us;
	while (site->arrivals[site->window_start] < now_us - SECOND)
		site->window_start++;
	if (now_us >= site->cold_until_us)
		return;
	count = site->arrival_count - site->window_start;
	if (count > site->worst_window)
		site->worst_window = count;
	if (count > COLD_BOUND)
		site->crashed = true;
}

static inline void send_call(site_t *site, call_t *call)
{
	count_arrival(site);
	if (site->rejects || site->fails) {
		call->in_use = false;
		admission_finish(site->admission, call->ticket,
				 site->rejects ? ADMISSION_SHED_BY_UPSTREAM
					       : ADMISSION_FAILED);
		return;
	}
	call->at_upstream = true;
}

static inline void on_run(void *private, admission_ticket_t *ticket, void *arg)
{
	call_t *call = arg;

	call->ticket = ticket;
	send_call(private, call);
}

static inline void on_drop(void *private, void *arg, admission_reason_t reason)
{
	site_t *site = private;
	call_t *call = arg;

	call->in_use = false;
	site->refused++;
	site->last_reason = reason;
}

/* Creates the controller of a daemon that has just started, beside the same
 * upstream. The requests of the former one are lost. */
static inline void restart_daemon(site_t *site,
				  const admission_warm_up_rules_t *rules)
{
	static const admission_ops_t ops = { .run = on_run, .drop = on_drop };

	talloc_free(site->admission);
	memset(site->calls, 0, sizeof(site->calls));
	site->busy_slots = 0;
	site->admission =
		admission_create(site, site->clock, site->rng, &ops, site);
	if (rules)
		assert_int_equal(admission_set_warm_up(site->admission, rules),
				 0);
}

/* The rules of a service with a cold bound. */
static const admission_warm_up_rules_t bounded = { .in_force = true,
						   .cold_rate_per_s = COLD_RATE,
						   .cold_max_us = COLD_US };
/* Those on shared hosts of a service without one. */
static const admission_warm_up_rules_t unbounded = { .in_force = true };

static inline site_t *site_create(const admission_warm_up_rules_t *rules)
{
	site_t *site = talloc_zero(NULL, site_t);

	site->clock = cas_clock_create_manual(site, SECOND);
	site->rng = cas_rng_create(site, 1);
	site->slots = SLOTS;
	site->service_us = SERVICE_US;
	site->slow_factor = 1;
	site->deadline_us = SECOND;
	restart_daemon(site, rules);
	return site;
}

static inline admission_verdict_t offer(site_t *site)
{
	call_t *call = &site->calls[site->next++ % CALLS];
	const admission_request_t request = {
		.draw = (uint32_t)cas_rng_u64(site->rng),
		.customer = 1,
		.weight = 1,
		.deadline_us = site_now(site) + site->deadline_us,
		.kind = 1,
		.private = call,
	};
	admission_reason_t reason;
	admission_verdict_t verdict;

	assert_false(call->in_use);
	*call = (call_t){ .sent_us = site_now(site), .in_use = true };
	verdict = admission_offer(site->admission, &request, &call->ticket,
				  &reason);
	if (verdict == ADMISSION_RUN) {
		send_call(site, call);
	} else if (verdict == ADMISSION_REJECTED) {
		call->in_use = false;
		site->refused++;
		site->last_reason = reason;
	}
	return verdict;
}

static inline void finish_due(site_t *site)
{
	for (size_t i = 0; i < CALLS; i++) {
		call_t *call = &site->calls[i];

		if (!call->in_use || !call->done_us ||
		    call->done_us > site_now(site))
			continue;
		call->in_use = false;
		site->busy_slots--;
		site->served++;
		site->latency_sum_us += site_now(site) - call->sent_us;
		admission_finish(site->admission, call->ticket, ADMISSION_OK);
	}
	start_waiting(site);
}

/* Runs load and upstream for time_us. */
static inline void simulate(site_t *site, int64_t time_us)
{
	for (int64_t t = 0; t < time_us; t += MS) {
		cas_clock_advance(site->clock, MS);
		finish_due(site);
		for (site->unsent += site->rate_per_s / 1000; site->unsent >= 1;
		     site->unsent--)
			(void)offer(site);
		if (t % (10 * MS) == 0)
			admission_tick(site->admission);
		start_waiting(site);
	}
}

/* Returns the requests served in the next second. */
static inline int served_in_second(site_t *site)
{
	int before = site->served;

	simulate(site, SECOND);
	return site->served - before;
}

/* Makes the upstream restart: it is cold, and the daemon learns of it. */
static inline void restart_upstream(site_t *site)
{
	memset(site->calls, 0, sizeof(site->calls));
	site->busy_slots = 0;
	site->cold_until_us = site_now(site) + COLD_US;
	site->worst_window = 0;
	/* Requests to the former run do not count. */
	site->window_start = site->arrival_count;
}

#endif
