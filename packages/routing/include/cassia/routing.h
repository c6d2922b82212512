/*
 * Routing: chooses an upstream of a service for a request. Nearer tiers are
 * preferred, the less loaded of two random candidates is chosen, outliers are
 * ejected for a time, and new upstreams receive traffic gradually (slow start).
 * For services whose upstreams report their load, the choice is by expected
 * completion instead, see docs/design/placement.md. Upstreams whose daemon announces a stop are avoided while others are left.
 */
#ifndef CASSIA_ROUTING_H
#define CASSIA_ROUTING_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"
#include "cassia/roster.h"
#include "cassia/table.h"

enum routing_error {
	ROUTING_ENOMEM = -1601,
	ROUTING_ESERVICE = -1602, /* no upstream of the service is listed */
	ROUTING_ENONE = -1603, /* none is usable in the tiers allowed */
	ROUTING_ESELF = -1604, /* the data centre of the own host is unknown */
	ROUTING_EBUSY = -1605, /* all connections to usable hosts are in use */
	ROUTING_EREGION = -1606, /* the region of the host is not allowed */
	ROUTING_EEVACUATED = -1607, /* its data centre is evacuated */
};

/* Distance of an upstream from the own host, nearest first. */
typedef enum routing_tier {
	ROUTING_OWN_HOST,
	ROUTING_OWN_DC,
	ROUTING_OWN_REGION,
	ROUTING_OTHER_REGION,
	ROUTING_TIERS, /* number of tiers */
} routing_tier_t;

/* Result of a request, as far as it tells about the health of the upstream. */
typedef enum routing_outcome {
	ROUTING_OK,
	ROUTING_SHED, /* rejected by overload control; not a fault */
	/* Answered with a server error, or rejected although it was not
	 * loaded. The cause may be a service that it depends on, which then
	 * affects its peers as well. */
	ROUTING_ERROR,
	ROUTING_FAILED, /* no complete response, as on a broken connection */
	/* Connection refused, or the daemon takes no new requests: ejects at
	 * once, until it responds again. */
	ROUTING_REFUSED,
	/* Its daemon reports that the upstream does not run: ejects at once and
	 * for a short time, as it may return soon. */
	ROUTING_DOWN,
	ROUTING_UNREACHABLE, /* no connection in time: ejects at once */
	ROUTING_EXPIRED, /* no response before the deadline */
	ROUTING_CANCELLED, /* cancelled by the caller; ignored */
} routing_outcome_t;

/* The upstream that routing_pick has chosen. */
typedef struct routing_choice {
	cas_id_t host;
	routing_tier_t tier;
} routing_choice_t;

/* What the daemon of an upstream reports with an outcome, see attempt_load. */
typedef struct routing_load {
	bool known; /* the other members are valid */
	bool paced; /* it warms up, or states the rate that it takes */
	int32_t slowdown; /* percent of the usual time of work, 0: unknown */
	int32_t room; /* requests that could start now */
	int64_t wait_us; /* expected wait of a new request */
	int64_t own_us; /* usual time without child calls, 0: unknown */
	int32_t turned_away_permille; /* of the arrivals lately */
	int32_t processor_permille; /* of the daemon's share in use */
} routing_load_t;

/* What routing learns from a request that has ended. */
typedef struct routing_result {
	routing_outcome_t outcome;
	int64_t latency_us; /* from the start of the attempt to its end */
	int32_t limit_hint; /* concurrency limit of the upstream, 0: unknown */
	int32_t busy_permille; /* (in flight + queued) / limit, -1: unknown */
	cas_id_t kind; /* as in routing_query_t, 0: unknown */
	int64_t body_bytes; /* as passed to routing_begin_body */
	routing_load_t load;
} routing_result_t;

/* A request that an upstream is chosen for. */
typedef struct routing_query {
	cas_id_t service;
	cas_id_t route; /* 0: limits no regions */
	cas_id_t customer; /* 0: limits no regions */
	/* The only regions allowed, besides the lists of route and customer in
	 * the view: from the table with which the request was accepted. NULL:
	 * no further limit. */
	const cas_id_t *regions;
	size_t region_count; /* 0 with regions set: no region is allowed */
	/* Requests of one kind take similar times, see admission_request_t. */
	cas_id_t kind;
	int64_t body_bytes; /* of the request, 0: none, -1: unknown */
	/* Until the deadline or the objective, whichever is earlier; 0 or less:
	 * unknown. */
	int64_t time_left_us;
	const cas_id_t *exclude; /* hosts */
	size_t exclude_count;
	/* Allows the tier ROUTING_OTHER_REGION and, when no other upstream is
	 * left in any tier, those whose daemon is stopping, then ejected ones
	 * unless they were unreachable, then those to which all of this
	 * daemon's connections are in use, if they have room for the request.
	 * Set it only for work that would otherwise be rejected. */
	bool last_resort;
} routing_query_t;

/* Why a request went to another region. */
typedef enum routing_spill {
	ROUTING_SPILL_REFUSED, /* the own region has refused this request */
	ROUTING_SPILL_FULL, /* the own region turns work away */
	ROUTING_SPILL_LATE, /* no upstream of it is expected to be in time */
	ROUTING_SPILL_NONE_LEFT, /* it has no usable upstream */
	ROUTING_SPILLS, /* number of causes */
} routing_spill_t;

/* Counts since the router was created, of choices by expected completion. */
typedef struct routing_counts {
	int64_t chosen[ROUTING_TIERS];
	int64_t spilled[ROUTING_SPILLS];
	int64_t link_refused; /* far choices that a link had no room for */
	int64_t stale_reports; /* not used: late, or of an earlier run */
	int64_t visits; /* upstreams whose estimate was computed */
	int64_t weight_updates; /* computations of all weights of a service */
} routing_counts_t;

/* Callbacks to the owner of the router; a NULL member is not called. */
typedef struct routing_ops {
	/* The host is ejected until until_us, on the clock of the router. */
	void (*ejected)(void *private, cas_id_t host, int64_t until_us);
} routing_ops_t;

typedef struct routing routing_t;

/* Returns a new router without upstreams, or NULL when out of memory. clock
 * and rng are borrowed; ops is copied and may be NULL. private is passed to the
 * callbacks. */
routing_t *routing_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			  cas_rng_t *rng, const routing_ops_t *ops,
			  void *private);

/* Replaces the upstreams by those of a table and a host list, and keeps the
 * traffic state of hosts that were listed before. table and roster are borrowed
 * during the call only. self is the own host; self_dc is its data centre from
 * the settings, used while the host is not listed. Returns 0, ROUTING_ENOMEM or
 * ROUTING_ESELF; on error the previous upstreams stay. */
int routing_set_view(routing_t *routing, const table_t *table,
		     const roster_t *roster, cas_id_t self, cas_id_t self_dc);

/* Sets whether the daemon on the host announces that it stops. It still takes
 * requests for its upstream for a while, so they are sent there when they would
 * otherwise be rejected. A host that the host list has as leaving never gets
 * any. A host that is not listed is ignored. */
void routing_set_stopping(routing_t *routing, cas_id_t host, bool stopping);

/* Chooses an upstream and writes it to choice. Returns 0, ROUTING_ESERVICE,
 * ROUTING_ENONE or ROUTING_EBUSY; choice is unchanged on error. */
int routing_pick(routing_t *routing, const routing_query_t *query,
		 routing_choice_t *choice);

/* Returns whether the upstream on the host may get the request, without a
 * comparison with others. */
bool routing_may_use(const routing_t *routing, const routing_query_t *query,
		     cas_id_t host);

/* Checks again whether a request may be sent to a host that was chosen for it
 * before. Returns 0, ROUTING_EREGION or ROUTING_EEVACUATED. A host that is no
 * longer listed may get only requests without a limit of regions. */
int routing_check_host(const routing_t *routing, const routing_query_t *query,
		       cas_id_t host);

/* Returns the region of the own host, or 0 before the first routing_set_view. */
cas_id_t routing_own_region(const routing_t *routing);

/* An upstream as a choice sees it. Times are in microseconds. */
typedef struct routing_candidate {
	cas_id_t host;
	routing_tier_t tier;
	bool fit; /* may get the request now: gate, connections and link */
	bool allowed; /* by its own reports: trials and warm-up */
	double share; /* of the draws in its tier, 0..1 */
	int32_t outstanding;
	bool reported; /* in its present run */
	int64_t report_age_us; /* valid if reported */
	double report_weight; /* 0..1 */
	double room; /* left after own requests */
	int64_t network_us;
	int64_t transfer_us;
	int64_t wait_us;
	int64_t own_us;
	int64_t children_us;
	int64_t refusal_us; /* expected loss by rejections and failures */
	int64_t response_us; /* expected time of the response */
	int64_t cost_us; /* as compared */
} routing_candidate_t;

/* A choice with its reasons. */
typedef struct routing_explanation {
	/* By expected completion; otherwise by tiers, and the figures of the
	 * candidates are not used. */
	bool by_load;
	int64_t load_age_us; /* of the last load of the service, -1: none */
	int error; /* as routing_pick */
	routing_choice_t choice; /* valid without error */
	bool spilled; /* to another region */
	routing_spill_t spill; /* its cause, valid if spilled */
	double turned_away; /* by the own region lately, 0..1 */
	routing_candidate_t *candidates; /* all of the service */
	size_t count;
} routing_explanation_t;

/* Runs a choice and returns it with what it was made from (owned by ctx), or
 * NULL when out of memory. It counts nothing and takes its random numbers from
 * seed, so that later choices are the same as without it. */
routing_explanation_t *routing_explain(TALLOC_CTX *ctx, routing_t *routing,
				       const routing_query_t *query,
				       uint32_t seed);

/* Counts a request to the host as outstanding, until routing_finish. A host
 * that is not listed is ignored by both. */
void routing_begin(routing_t *routing, cas_id_t host);

/* The same for a request with a body of body_bytes, see routing_query_t. The
 * result has the same value. */
void routing_begin_body(routing_t *routing, cas_id_t host, int64_t body_bytes);

/* Ends an outstanding request and updates the load, the limit and the health of
 * the host with its result. May eject the host. */
void routing_finish(routing_t *routing, cas_id_t host,
		    const routing_result_t *result);

/* Adds bytes sent to and received from the host to the count of its region.
 * Only hosts of other regions are counted. */
void routing_count_bytes(routing_t *routing, cas_id_t host, uint64_t sent,
			 uint64_t received);

/* Returns the bytes exchanged with another region since the router was
 * created. */
void routing_link_bytes(const routing_t *routing, cas_id_t region_id,
			uint64_t *sent, uint64_t *received);

/* Returns the counts of choices by expected completion (borrowed). */
const routing_counts_t *routing_counts(const routing_t *routing);

/* Returns the number of hosts of the service to which this daemon may keep
 * connections. */
size_t routing_subset_size(const routing_t *routing, cas_id_t service);

/* Returns the most connections that this daemon may keep to the host; requests
 * that would otherwise be rejected may add some for a while. 0 means no limit,
 * or that the host is not in the subset of the service. */
int32_t routing_connections(const routing_t *routing, cas_id_t service,
			    cas_id_t host);

/* Returns whether the host is ejected now. */
bool routing_is_ejected(const routing_t *routing, cas_id_t host);

/* Returns the number of outstanding requests to the host. */
int32_t routing_outstanding(const routing_t *routing, cas_id_t host);

#endif
