/*
 * When the response of an upstream is expected. Load pattern: upstreams share
 * their machines with others, so their speeds differ and change within less
 * than a second, while a daemon of a large fleet hears of each upstream about
 * once or twice a second. A report therefore loses its weight towards what is
 * usual within a second, and it is corrected for own requests sent since.
 */
#ifndef CASSIA_ROUTING_ESTIMATE_H
#define CASSIA_ROUTING_ESTIMATE_H

#include "cassia/routing.h"

/* Used for upstreams that have not reported a concurrency limit. */
#define DEFAULT_CONCURRENCY_LIMIT 8

/* What is known of one upstream. */
typedef struct estimate_upstream {
	bool reported; /* in its present run */
	int64_t run_since_us; /* reports of earlier attempts do not count */
	routing_load_t report;
	int64_t report_at_us; /* time from which it ages */
	int32_t sent_since; /* own requests since the report */
	double slowdown; /* usual report, 1 is usual work time, 0: none */
	double speed; /* own time / that of the service, 0: unknown */
	double last_speed; /* in the report */
	int64_t speed_at_us; /* last sample of slowdown and speed */
	int64_t speed_span_us; /* time that their means cover */
	double limit; /* smoothed concurrency limit, 0: unknown */
	double network_us; /* there and back, 0: unknown */
	double unexplained_us; /* latency that its reports do not account for */
} estimate_upstream_t;

/* What is usual for the upstreams of a service in the own region. */
typedef struct estimate_service {
	int64_t load_seen_us; /* last outcome with a load, 0: never */
	double own_us; /* 0: unknown */
	double wait_us;
	double limit; /* 0: unknown */
	double turned_away; /* 0..1 */
	int64_t turned_away_at_us; /* last update of it */
} estimate_service_t;

/* Requests of one kind of a service. */
typedef struct estimate_kind {
	cas_id_t service;
	cas_id_t kind;
	double own_us; /* at the usual speed, 0: unknown */
	double children_us; /* of the latency, beyond own time and wait */
	int64_t used_at_us;
} estimate_kind_t;

/* Slots of the table of kinds; a kind may be in ESTIMATE_KIND_PROBES of them,
 * and replaces the one that was used least recently. */
#define ESTIMATE_KIND_SLOTS 256
#define ESTIMATE_KIND_PROBES 4

typedef struct estimate_kinds {
	estimate_kind_t slots[ESTIMATE_KIND_SLOTS];
} estimate_kinds_t;

/* What the estimate is made from. */
typedef struct estimate_input {
	const estimate_upstream_t *upstream;
	const estimate_service_t *service;
	const estimate_kind_t *kind; /* NULL: unknown */
	routing_tier_t tier;
	int32_t outstanding; /* own requests at the upstream */
	double failure_rate; /* 0..1 */
	int64_t body_bytes;
	double link_transfer_us; /* of the body, in another region */
	int64_t now_us;
} estimate_input_t;

/* Parts of the expected time of a response, in microseconds. */
typedef struct estimate {
	double network_us;
	double transfer_us; /* of the body */
	double price_us; /* of its bytes */
	double wait_us; /* for slots and for the daemon's processor */
	double own_us; /* at the speed expected now */
	double base_us; /* own time at the usual speed of the service */
	/* By which the machine is slower now than is usual for it, at the usual
	 * speed of the service. */
	double excess_us;
	double children_us;
	double refusal_us; /* expected loss by rejections and failures */
	double unexplained_us;
	double pending_us; /* cost of own outstanding requests */
	double room; /* left after own requests, as far as reported */
	int64_t age_us; /* of the report */
	double weight; /* of the report, 0..1 */
} estimate_t;

/* Returns the kind (borrowed), or NULL when it is unknown. */
const estimate_kind_t *estimate_find_kind(const estimate_kinds_t *kinds,
					  cas_id_t service, cas_id_t kind);

/* Returns the weight of the report of an upstream at its age, 0..1. */
double estimate_report_weight(const estimate_upstream_t *upstream,
			      int64_t now_us);

/* Returns the usual time of work relative to the service. */
double estimate_usual_speed(const estimate_upstream_t *upstream);

/* Returns the share of arrivals that the own region has turned away lately. */
double estimate_turned_away(const estimate_service_t *service, int64_t now_us);

/* Returns the cost of distance in microseconds: of the network and of the bytes
 * of a request with the body to a tier. */
double estimate_distance_us(routing_tier_t tier, int64_t body_bytes);

void estimate_compute(const estimate_input_t *input, estimate_t *estimate);

/* Returns the time in which the response is expected. */
double estimate_response_us(const estimate_t *estimate);

/* Returns the cost for the comparison of upstreams that were drawn by their
 * capacity. The usual speed of the upstream is part of that and is left out:
 * counted twice, it would have fast upstreams take the work of all others. */
double estimate_cost_us(const estimate_t *estimate);

/* Forgets the reports of an upstream: a new run begins. */
void estimate_reset(estimate_upstream_t *upstream, int64_t now_us);

/* Learns from a result whose load is known. Returns false if its report is not
 * used, because it is late or of an earlier run. *transfer_us is the part of the
 * latency that is not accounted for otherwise, or -1; *spread_us is the error
 * that the spread of own times gives it. */
bool estimate_learn(estimate_upstream_t *upstream, estimate_service_t *service,
		    estimate_kinds_t *kinds, cas_id_t service_id,
		    routing_tier_t tier, const routing_result_t *result,
		    int64_t now_us, int64_t *transfer_us, int64_t *spread_us);

/* Learns from a result without a load, from the use of the concurrency limit. In
 * a service some upstreams may report their load while others do not. */
void estimate_learn_plain(estimate_upstream_t *upstream,
			  const estimate_service_t *service,
			  const routing_result_t *result, int64_t now_us);

#endif
