/*
 * Discrete event simulation of a fleet under load. Admission, routing,
 * thresholds and retries are the code of the daemon; upstreams, the network
 * and clients are simulated. Times are microseconds of a manual clock that
 * starts at 0.
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
#define SIM_BIN_COUNT 300
#define SIM_ATTEMPTS_MAX 8
/* Reasons for a rejection: those of admission, and one for an early rejection
 * by the threshold of the next service. */
#define SIM_REASON_COUNT (ADMISSION_REASON_STOPPED + 2)
#define SIM_REASON_EARLY (ADMISSION_REASON_STOPPED + 1)

typedef struct sim sim_t;
typedef struct sim_call sim_call_t;

typedef void (*sim_event_fn)(sim_t *sim, void *arg);

typedef struct sim_event {
	int64_t time_us;
	uint64_t sequence; /* order of events of the same time */
	sim_event_fn fn;
	void *arg;
} sim_event_t;

/* A request of a client, with all its attempts. */
typedef struct sim_root {
	int customer; /* index in the workload */
	int route; /* index in the workload */
	int64_t arrived_us; /* when the first attempt was sent */
	int attempts; /* sent by the client */
	bool done; /* served, or no attempt is left */
} sim_root_t;

/* One transmission of a request by a client. Allocated with calloc and freed
 * by the last sim_client_attempt_unref. */
typedef struct sim_client_attempt {
	sim_root_t *root;
	uint32_t draw; /* see admission_request_t */
	int64_t deadline_us;
	int64_t daemon_retries; /* retries of the calls made for it */
	bool ended; /* the client has a response or gave up */
	int refcount;
} sim_client_attempt_t;

/* A call from one host to a service, with its attempts, of which at most one
 * is in progress. Freed when it ends. */
struct sim_call {
	sim_client_attempt_t *client_attempt;
	sim_call_t *parent; /* NULL at the entry daemon */
	sim_call_t *next; /* in an upstream's queue */
	int level; /* index in the chain of the route */
	int from_host; /* index of the host whose daemon makes the call */
	int to_host; /* index of the host chosen for the current attempt */
	cas_id_t tried_hosts[SIM_ATTEMPTS_MAX];
	int attempts; /* sent so far */
	int64_t created_us;
	int64_t attempt_sent_us;
	retry_budget_t budget;
	int32_t granted_units; /* retry units sent with the current attempt */
	int32_t unspent_units; /* of granted_units, after the child call */
	/* Reported with the current attempt. */
	thresholds_early_rejections_t early_rejections[WORKLOAD_CUSTOMERS];
	size_t early_rejection_count;
	admission_ticket_t *ticket; /* while admitted or queued */
	/* Response to the current attempt. */
	retry_outcome_t outcome; /* unless it succeeded */
	bool succeeded;
	double fraction; /* admitted fraction, 0..1 */
	int32_t limit_hint; /* see routing_result_t */
	int32_t busy_permille; /* see routing_result_t */
};

typedef struct sim_upstream {
	int service; /* index in the workload */
	int slots; /* calls that can run at once */
	int running;
	int queued;
	sim_call_t *queue_head;
	sim_call_t *queue_tail;
	double service_time_factor;
	int64_t cold_until_us; /* service times are four times longer before */
	int shed_limit; /* of running and queued calls, 0: none */
	double failure_probability; /* of a call */
} sim_upstream_t;

typedef struct sim_host {
	sim_t *sim;
	cas_id_t id;
	int dc; /* index of its data centre */
	sim_upstream_t upstream;
	admission_t *admission;
	routing_t *routing;
	thresholds_t *thresholds;
	retry_throttle_t *throttle;
} sim_host_t;

/* Counts of root requests in an interval of SIM_BIN_US. */
typedef struct sim_bin {
	uint32_t arrived;
	uint32_t served; /* of those that arrived in this bin */
	uint32_t completed; /* served in this bin, whenever they arrived */
} sim_bin_t;

/* Counts of root requests that arrived in the measured window. */
typedef struct sim_counts {
	uint64_t sent;
	uint64_t served;
	uint64_t served_first_attempt; /* of served */
} sim_counts_t;

struct sim {
	const workload_t *workload;
	bool control; /* overload control is on */
	cas_clock_t *clock;
	cas_rng_t *rng;
	sim_event_t *heap; /* binary heap, next event first */
	size_t heap_count;
	size_t heap_capacity;
	uint64_t next_sequence;
	int64_t end_us; /* unused */
	sim_host_t hosts[SIM_HOSTS];
	table_t table;
	roster_t roster;
	table_data_centre_t dcs[WORKLOAD_DCS];
	table_service_t services[WORKLOAD_SERVICES];
	roster_host_t roster_hosts[SIM_HOSTS];
	/* Load. */
	double rates[WORKLOAD_CUSTOMERS]; /* root requests a second */
	int client_attempts; /* largest number for a root request */
	bool equal_importance; /* all requests have importance 0 */
	/* Measured window: root requests are counted in it by their arrival,
	 * useful_slot_us by their completion. */
	int64_t measure_from_us;
	int64_t measure_to_us;
	/* Slot time of the root requests served. */
	double useful_slot_us[WORKLOAD_SERVICES];
	sim_counts_t customer_counts[WORKLOAD_CUSTOMERS];
	sim_counts_t importance_counts[ADMISSION_IMPORTANCES];
	sim_bin_t bins[SIM_BIN_COUNT];
	int64_t retries_max; /* daemon_retries of any client attempt */
	/* Rejected calls by route, level and reason. */
	uint32_t rejected[WORKLOAD_ROUTES_MAX][WORKLOAD_DEPTH]
			 [SIM_REASON_COUNT];
	uint64_t event_count;
};

/* sim_core.c */
/* Returns a simulation without load; aborts when memory runs out. */
sim_t *sim_create(const workload_t *workload, bool control, uint32_t seed);
/* Calls fn(sim, arg) after delay_us; arg is borrowed. */
void sim_schedule(sim_t *sim, int64_t delay_us, sim_event_fn fn, void *arg);
/* Returns the time in microseconds. */
int64_t sim_now(const sim_t *sim);
/* Runs the events up to and including until_us. */
void sim_run(sim_t *sim, int64_t until_us);

/* sim_upstream.c */
void sim_upstream_init(sim_t *sim, sim_host_t *host, int service);
/* Starts or queues the call. Returns false when the upstream rejects it. */
bool sim_upstream_offer(sim_t *sim, sim_call_t *call);
/* Continues a running call whose child call has ended; ok: it succeeded. */
void sim_upstream_resume(sim_t *sim, sim_call_t *call, bool ok);

/* sim_daemon.c */
/* Returns 0 or a negative error code. */
int sim_daemon_init(sim_t *sim, sim_host_t *host);
/* Makes a call from the daemon of a host (index) with so many retry units.
 * parent is NULL for a root request. */
void sim_daemon_call(sim_t *sim, sim_client_attempt_t *client_attempt,
		     sim_call_t *parent, int from_host, int32_t units);
/* Ends a call that the upstream has run; ok: it succeeded. */
void sim_daemon_finish(sim_t *sim, sim_call_t *call, bool ok);

/* sim_client.c */
/* Starts the arrivals. load is a fraction of sim_capacity. */
void sim_client_start(sim_t *sim, double load);
void sim_client_set_load(sim_t *sim, double load);
/* Sends the response to a client attempt. */
void sim_client_respond(sim_t *sim, sim_client_attempt_t *attempt, bool ok);
void sim_client_attempt_unref(sim_client_attempt_t *attempt);
/* Returns the rate of root requests, per second, at which all slots of some
 * service are in use. */
double sim_capacity(const workload_t *workload);
/* Returns the time, in microseconds, for which a root request of the route
 * occupies slots of the service. */
double sim_slot_time_us(const workload_t *workload, int route, int service);
/* Returns the largest retry budget of a route. */
int sim_retry_budget_max(const workload_t *workload);
/* Returns the fraction of slot time in the measured window that was spent on
 * root requests which were served, for the service where it is highest. */
double sim_goodput(const sim_t *sim);

#endif
