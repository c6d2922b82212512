/*
 * A simulation of a fleet on the manual clock: fakes of upstreams, network
 * and clients around the real decision code.
 */
#ifndef CASSIA_SIM_H
#define CASSIA_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/admission.h"
#include "cassia/retry.h"
#include "cassia/routing.h"
#include "cassia/thresholds.h"
#include "workload.h"

#define SIM_HOSTS (WORKLOAD_SERVICES * WORKLOAD_DCS)
#define SIM_BIN_US (100 * CAS_USEC_PER_MSEC)
#define SIM_BINS 300
#define SIM_TRIES_MAX 8
#define SIM_REASONS (ADMISSION_REASON_STOPPED + 2)
#define SIM_REASON_EARLY (ADMISSION_REASON_STOPPED + 1)

typedef struct sim sim_t;
typedef struct sim_call sim_call_t;

typedef void (*sim_event_fn)(sim_t *sim, void *arg);

typedef struct sim_event {
	int64_t at_us;
	uint64_t order; /* keeps events of the same time in order */
	sim_event_fn fn;
	void *arg;
} sim_event_t;

/* A request of a client, with all its attempts. */
typedef struct sim_root {
	int customer;
	int route;
	int64_t arrived_us;
	int attempts;
	bool done;
} sim_root_t;

/* One attempt of a client. */
typedef struct sim_attempt {
	sim_root_t *root;
	uint32_t draw;
	int64_t deadline_us;
	int64_t retries; /* attempts inside the fleet beyond the first */
	bool over; /* the client has a response or gave up */
	int refs;
} sim_attempt_t;

/* One call inside the fleet: the request of a host to the next service. */
struct sim_call {
	sim_attempt_t *attempt;
	sim_call_t *parent;
	sim_call_t *next; /* in an upstream's queue */
	int level;
	int from; /* host whose daemon makes the call */
	int to; /* host chosen for the current try */
	cas_id_t tried[SIM_TRIES_MAX];
	int tries;
	int64_t made_us;
	int64_t sent_us;
	retry_budget_t budget;
	int32_t granted; /* to the current try */
	int32_t child_left; /* units the child call did not spend */
	thresholds_early_rejections_t early[WORKLOAD_CUSTOMERS];
	size_t early_count;
	admission_ticket_t *ticket;
	/* Response. */
	retry_outcome_t outcome;
	bool ok;
	double fraction;
	int32_t limit;
	int32_t busy;
};

typedef struct sim_upstream {
	int service;
	int slots;
	int busy;
	int queued;
	sim_call_t *first;
	sim_call_t *last;
	double slowdown; /* factor on service times */
	int64_t cold_until_us; /* service times are four times longer */
	int shed_above; /* rejects beyond this many requests, 0: never */
	double fail_probability;
} sim_upstream_t;

typedef struct sim_host {
	sim_t *sim;
	cas_id_t id;
	int dc;
	sim_upstream_t upstream;
	admission_t *admission;
	routing_t *routing;
	thresholds_t *thresholds;
	retry_throttle_t *throttle;
} sim_host_t;

typedef struct sim_bin {
	uint32_t arrived;
	uint32_t served; /* of those that arrived in this bin */
	uint32_t completed;
} sim_bin_t;

typedef struct sim_count {
	uint64_t sent;
	uint64_t served;
	uint64_t first_try; /* served by the first attempt of the client */
} sim_count_t;

struct sim {
	const workload_t *workload;
	bool control;
	cas_clock_t *clock;
	cas_rng_t *rng;
	sim_event_t *heap;
	size_t heap_count;
	size_t heap_size;
	uint64_t order;
	int64_t end_us;
	sim_host_t hosts[SIM_HOSTS];
	table_t table;
	roster_t roster;
	table_data_centre_t dcs[WORKLOAD_DCS];
	table_service_t services[WORKLOAD_SERVICES];
	roster_host_t roster_hosts[SIM_HOSTS];
	/* Load. */
	double rate[WORKLOAD_CUSTOMERS]; /* requests a second */
	int client_attempts;
	bool flat; /* one importance for all requests */
	/* Counts; the measured window is by arrival, useful work by
	 * completion. */
	int64_t measure_from_us;
	int64_t measure_to_us;
	double useful_us[WORKLOAD_SERVICES];
	sim_count_t customers[WORKLOAD_CUSTOMERS];
	sim_count_t importances[ADMISSION_IMPORTANCES];
	sim_bin_t bins[SIM_BINS];
	int64_t retries_max;
	/* Calls not run, by route, level in the chain and reason. */
	uint32_t rejected[WORKLOAD_ROUTES_MAX][WORKLOAD_DEPTH][SIM_REASONS];
	uint64_t events;
};

/* sim_core.c */
sim_t *sim_create(const workload_t *workload, bool control, uint32_t seed);
void sim_at(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *arg);
int64_t sim_now(const sim_t *sim);
/* Runs until the given time on the clock of the simulation, which starts
 * at 0. */
void sim_run(sim_t *sim, int64_t until_us);

/* sim_upstream.c */
void sim_upstream_init(sim_t *sim, sim_host_t *host, int service);
/* Returns false when the upstream rejects the call. */
bool sim_upstream_offer(sim_t *sim, sim_call_t *call);
/* The child call of the work in progress ended. */
void sim_upstream_resume(sim_t *sim, sim_call_t *call, bool ok);

/* sim_daemon.c */
int sim_daemon_init(sim_t *sim, sim_host_t *host);
void sim_daemon_call(sim_t *sim, sim_attempt_t *attempt, sim_call_t *parent,
		     int from, int32_t units);
/* The upstream is done with the call. */
void sim_daemon_done(sim_t *sim, sim_call_t *call, bool ok);

/* sim_client.c */
void sim_client_start(sim_t *sim, double load);
void sim_client_set_load(sim_t *sim, double load);
void sim_client_response(sim_t *sim, sim_attempt_t *attempt, bool ok);
void sim_attempt_unref(sim_attempt_t *attempt);
/* Root requests a second at which the first service has no slot left. */
double sim_capacity(const workload_t *workload);
/* Time for which a request of the route holds slots of the service. */
double sim_hold_us(const workload_t *workload, int route, int service);
/* The largest retry budget of a route. */
int sim_retry_bound(const workload_t *workload);
/* Largest share of a service's slots that did useful work in the window. */
double sim_goodput(const sim_t *sim);

#endif
