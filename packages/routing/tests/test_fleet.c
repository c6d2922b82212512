/*
 * Tests placement by expected completion with a fleet: many daemons, each with
 * its own requests and the delayed reports that responses carry, send to
 * upstreams whose speeds differ and change. Every case runs twice: without
 * reports, which leaves the choice by tiers in force, and with reports.
 */
#include "cassia/test.h"

#include <stdbool.h>
#include <stdlib.h>

#include "cassia/routing.h"

#define DCS 4
#define DAEMONS 80
#define UPSTREAMS_MAX 40
#define SERVICE 300
#define SLOTS 8
/* An upstream rejects requests that would wait behind more than these. */
#define QUEUE_MAX 16
#define KINDS 2
/* Own times at speed 1, and of the second kind a child call. It occupies a slot
 * without work of the upstream, so it is short: otherwise slots and work by
 * speed could not both be even. */
static const double own_mean_us[KINDS] = { 25000, 60000 };
#define CHILD_US 10000
#define STEP_US CAS_USEC_PER_MSEC
#define WARM_UP_US (20 * CAS_USEC_PER_SEC)
#define END_US (100 * CAS_USEC_PER_SEC)
/* Part of the time in which an upstream is slow, and how much slower. */
#define SLOW_PART 0.15
#define SLOW_FACTOR 2.5
#define SLOW_INTERVAL_US (600 * CAS_USEC_PER_MSEC)
#define ATTEMPTS_MAX 4
#define DELAYS 128 /* steps; longer than any one-way time */
#define LATENCIES_MAX 2000000
#define REQUESTS_MAX 200000

typedef struct request {
	struct request *next;
	size_t daemon;
	size_t upstream;
	int kind;
	double work_us; /* left, at speed 1 */
	int64_t child_us; /* left, after its own work */
	int64_t run_us; /* own time so far */
	int64_t created_us;
	int64_t attempt_us; /* start of the attempt */
	cas_id_t tried[ATTEMPTS_MAX];
	size_t tried_count;
	routing_tier_t tier;
	bool responding; /* on the way back, with result */
	routing_result_t result;
} request_t;

typedef struct upstream {
	double factor; /* of its run times */
	bool slow;
	int64_t interval_ends_us;
	request_t *running[SLOTS];
	int running_count;
	request_t *queue_head;
	request_t **queue_tail;
	int queued;
	double own_us[KINDS]; /* as its daemon has learned it */
	double turned_away;
	/* After the warm-up: work sent to it, at speed 1, and the work that a
	 * slot of it could have done. */
	double work_us;
	double possible_us;
} upstream_t;

typedef struct fleet {
	cas_clock_t *clock;
	cas_rng_t *rng;
	table_data_centre_t dcs[DCS];
	table_service_t service;
	table_t table;
	roster_host_t hosts[UPSTREAMS_MAX];
	roster_t roster;
	routing_t *daemons[DAEMONS];
	upstream_t upstreams[UPSTREAMS_MAX];
	size_t upstream_count;
	bool reports; /* outcomes carry a load */
	bool reports_slowdown;
	int64_t delay_us;
	request_t *arriving[DELAYS]; /* by step */
	request_t *free_requests;
	bool counts; /* the warm-up is over */
	double *latencies;
	size_t served;
	size_t rejected;
	size_t refused; /* after all attempts */
	size_t by_tier[ROUTING_TIERS];
} fleet_t;

typedef struct fleet_case {
	const char *name;
	const double *factors;
	size_t factor_count;
	size_t upstreams;
	size_t regions;
	double load; /* part of the capacity */
	bool reports_slowdown;
	int64_t delay_us; /* of every response, and so of its report */
} fleet_case_t;

typedef struct fleet_result {
	double busiest; /* work by speed, relative to the mean */
	double mean_us;
	double p99_us;
	double outside_dc;
	double outside_region;
	double refused;
} fleet_result_t;

static fleet_t *fleet_create(const fleet_case_t *spec, bool reports)
{
	fleet_t *fleet = talloc_zero(NULL, fleet_t);
	request_t *requests = talloc_zero_array(fleet, request_t, REQUESTS_MAX);

	fleet->clock = cas_clock_create_manual(fleet, CAS_USEC_PER_SEC);
	fleet->rng = cas_rng_create(fleet, 7);
	fleet->latencies = talloc_array(fleet, double, LATENCIES_MAX);
	fleet->reports = reports;
	fleet->reports_slowdown = spec->reports_slowdown;
	fleet->delay_us = spec->delay_us;
	fleet->upstream_count = spec->upstreams;
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		requests[i].next = fleet->free_requests;
		fleet->free_requests = &requests[i];
	}
	for (size_t i = 0; i < DCS; i++)
		fleet->dcs[i] = (table_data_centre_t){
			.id = 100 + i,
			.region_id = 200 + i * spec->regions / DCS
		};
	fleet->service = (table_service_t){ .id = SERVICE };
	for (size_t i = 0; i < spec->upstreams; i++) {
		upstream_t *upstream = &fleet->upstreams[i];

		fleet->hosts[i] =
			(roster_host_t){ .id = 1000 + i,
					 .service_id = SERVICE,
					 .data_centre_id = 100 + i % DCS,
					 .slots = SLOTS };
		/* The speeds change with each round of the data centres. */
		upstream->factor =
			spec->factors[(i + i / DCS) % spec->factor_count];
		upstream->queue_tail = &upstream->queue_head;
		upstream->interval_ends_us =
			CAS_USEC_PER_SEC +
			cas_rng_below(fleet->rng, SLOW_INTERVAL_US);
	}
	fleet->table = (table_t){ .data_centres = fleet->dcs,
				  .data_centre_count = DCS,
				  .services = &fleet->service,
				  .service_count = 1 };
	fleet->roster = (roster_t){ .hosts = fleet->hosts,
				    .host_count = spec->upstreams };
	for (size_t i = 0; i < DAEMONS; i++) {
		cas_id_t self = i < spec->upstreams ? 1000 + i : i + 1;

		fleet->daemons[i] = routing_create(fleet, fleet->clock,
						   fleet->rng, NULL, NULL);
		assert_int_equal(routing_set_view(fleet->daemons[i],
						  &fleet->table, &fleet->roster,
						  self, 100 + i % DCS),
				 0);
	}
	cas_clock_advance(fleet->clock, 20 * CAS_USEC_PER_SEC);
	return fleet;
}

/* Moves the request to the other end of its way. */
static void deliver_later(fleet_t *fleet, request_t *request)
{
	static const int64_t one_way_us[ROUTING_TIERS] = { 0, 100, 900, 10000 };
	int64_t at_us = cas_clock_now(fleet->clock) +
			one_way_us[request->tier] +
			(request->responding ? fleet->delay_us : 0);
	size_t slot = (size_t)((at_us / STEP_US + 1) % DELAYS);

	request->next = fleet->arriving[slot];
	fleet->arriving[slot] = request;
}

static bool pick(fleet_t *fleet, const request_t *request,
		 routing_choice_t *choice)
{
	routing_query_t query = {
		.service = SERVICE,
		.kind = 1 + (cas_id_t)request->kind,
		.exclude = request->tried,
		.exclude_count = request->tried_count,
		.time_left_us = request->created_us + CAS_USEC_PER_SEC -
				cas_clock_now(fleet->clock),
	};
	routing_t *routing = fleet->daemons[request->daemon];

	if (!routing_pick(routing, &query, choice))
		return true;
	query.last_resort = true;
	return !routing_pick(routing, &query, choice);
}

static void start_attempt(fleet_t *fleet, request_t *request)
{
	routing_choice_t choice;

	if (request->tried_count == ATTEMPTS_MAX ||
	    !pick(fleet, request, &choice)) {
		fleet->refused += fleet->counts;
		request->next = fleet->free_requests;
		fleet->free_requests = request;
		return;
	}
	request->tried[request->tried_count++] = choice.host;
	request->upstream = choice.host - 1000;
	request->tier = choice.tier;
	request->attempt_us = cas_clock_now(fleet->clock);
	request->responding = false;
	routing_begin(fleet->daemons[request->daemon], choice.host);
	if (fleet->counts)
		fleet->by_tier[choice.tier]++;
	deliver_later(fleet, request);
}

static void fill_load(const fleet_t *fleet, const upstream_t *upstream,
		      request_t *request)
{
	routing_load_t *load = &request->result.load;
	double slow = upstream->slow ? SLOW_FACTOR : 1;
	double mean_us = (upstream->own_us[0] + upstream->own_us[1]) / 2 + 1;

	request->result.limit_hint = SLOTS;
	request->result.busy_permille =
		(upstream->running_count + upstream->queued) * 1000 / SLOTS;
	*load = (routing_load_t){ .known = fleet->reports };
	if (!fleet->reports)
		return;
	if (fleet->reports_slowdown)
		load->slowdown = (int32_t)(100 * upstream->factor * slow);
	load->room = SLOTS - upstream->running_count;
	load->wait_us = (int64_t)(upstream->queued * mean_us / SLOTS);
	load->own_us = (int64_t)upstream->own_us[request->kind];
	load->turned_away_permille = (int32_t)(1000 * upstream->turned_away);
}

static void respond(fleet_t *fleet, request_t *request,
		    routing_outcome_t outcome)
{
	request->responding = true;
	request->result = (routing_result_t){
		.outcome = outcome,
		.kind = 1 + (cas_id_t)request->kind,
	};
	fill_load(fleet, &fleet->upstreams[request->upstream], request);
	deliver_later(fleet, request);
}

static void arrive(fleet_t *fleet, request_t *request)
{
	upstream_t *upstream = &fleet->upstreams[request->upstream];
	bool rejected = upstream->running_count == SLOTS &&
			upstream->queued >= QUEUE_MAX;

	upstream->turned_away +=
		0.02 * ((rejected ? 1 : 0) - upstream->turned_away);
	if (rejected) {
		fleet->rejected += fleet->counts;
		respond(fleet, request, ROUTING_SHED);
		return;
	}
	if (fleet->counts)
		upstream->work_us += request->work_us;
	if (upstream->running_count < SLOTS) {
		upstream->running[upstream->running_count++] = request;
		return;
	}
	request->next = NULL;
	*upstream->queue_tail = request;
	upstream->queue_tail = &request->next;
	upstream->queued++;
}

static void finish(fleet_t *fleet, request_t *request)
{
	int64_t now_us = cas_clock_now(fleet->clock);

	request->result.latency_us = now_us - request->attempt_us;
	routing_finish(fleet->daemons[request->daemon],
		       1000 + request->upstream, &request->result);
	if (request->result.outcome == ROUTING_SHED) {
		start_attempt(fleet, request);
		return;
	}
	if (fleet->counts && fleet->served < LATENCIES_MAX)
		fleet->latencies[fleet->served++] =
			(double)(now_us - request->created_us);
	request->next = fleet->free_requests;
	fleet->free_requests = request;
}

static void deliver(fleet_t *fleet)
{
	size_t slot = (size_t)(cas_clock_now(fleet->clock) / STEP_US % DELAYS);
	request_t *request = fleet->arriving[slot];

	fleet->arriving[slot] = NULL;
	while (request) {
		request_t *next = request->next;

		if (request->responding)
			finish(fleet, request);
		else
			arrive(fleet, request);
		request = next;
	}
}

static double current_speed(const upstream_t *upstream)
{
	return 1 / upstream->factor / (upstream->slow ? SLOW_FACTOR : 1);
}

/* Advances a running request by a step. Returns whether it has ended. */
static bool advance(upstream_t *upstream, request_t *request)
{
	double speed =
		1 / upstream->factor / (upstream->slow ? SLOW_FACTOR : 1);

	if (request->work_us > 0) {
		request->work_us -= STEP_US * speed;
		request->run_us += STEP_US;
		return request->work_us <= 0 && request->child_us <= 0;
	}
	request->child_us -= STEP_US;
	return request->child_us <= 0;
}

static void run_upstream(fleet_t *fleet, upstream_t *upstream)
{
	int64_t now_us = cas_clock_now(fleet->clock);

	if (now_us >= upstream->interval_ends_us) {
		upstream->slow = cas_rng_double(fleet->rng) < SLOW_PART;
		upstream->interval_ends_us = now_us + SLOW_INTERVAL_US;
	}
	if (fleet->counts)
		upstream->possible_us += STEP_US * current_speed(upstream);
	for (int i = upstream->running_count - 1; i >= 0; i--) {
		request_t *request = upstream->running[i];
		double *own_us = &upstream->own_us[request->kind];

		if (!advance(upstream, request))
			continue;
		*own_us += 0.05 * ((double)request->run_us - *own_us);
		upstream->running[i] =
			upstream->running[--upstream->running_count];
		respond(fleet, request, ROUTING_OK);
	}
	while (upstream->running_count < SLOTS && upstream->queue_head) {
		request_t *next = upstream->queue_head;

		upstream->queue_head = next->next;
		if (!upstream->queue_head)
			upstream->queue_tail = &upstream->queue_head;
		upstream->queued--;
		upstream->running[upstream->running_count++] = next;
	}
}

static void send_arrivals(fleet_t *fleet, double rate)
{
	double expected = rate * STEP_US / CAS_USEC_PER_SEC;
	double at = cas_rng_exponential(fleet->rng, 1);

	while (at < expected) {
		request_t *request = fleet->free_requests;
		int kind = cas_rng_below(fleet->rng, 10) < 3;

		assert_non_null(request);
		fleet->free_requests = request->next;
		*request = (request_t){
			.daemon = cas_rng_below(fleet->rng, DAEMONS),
			.kind = kind,
			.work_us = cas_rng_exponential(fleet->rng,
						       own_mean_us[kind]),
			.child_us = kind ? CHILD_US : 0,
			.created_us = cas_clock_now(fleet->clock),
		};
		start_attempt(fleet, request);
		at += cas_rng_exponential(fleet->rng, 1);
	}
}

/* Returns the requests per second that the upstreams can serve. */
static double capacity(const fleet_t *fleet)
{
	double own_us = 0.7 * own_mean_us[0] + 0.3 * own_mean_us[1];
	double slow = 1 + SLOW_PART * (SLOW_FACTOR - 1);
	double sum = 0;

	for (size_t i = 0; i < fleet->upstream_count; i++)
		sum += SLOTS * 1e6 /
		       (own_us * slow * fleet->upstreams[i].factor +
			0.3 * CHILD_US);
	return sum;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void summarize(fleet_t *fleet, fleet_result_t *result)
{
	double sum = 0;
	double busiest = 0;
	size_t sent = 0;

	for (size_t i = 0; i < fleet->upstream_count; i++) {
		const upstream_t *upstream = &fleet->upstreams[i];
		double use = upstream->work_us / upstream->possible_us;

		sum += use;
		busiest = use > busiest ? use : busiest;
	}
	result->busiest = busiest * (double)fleet->upstream_count / sum;
	sum = 0;
	for (size_t i = 0; i < fleet->served; i++)
		sum += fleet->latencies[i];
	result->mean_us = sum / (double)fleet->served;
	qsort(fleet->latencies, fleet->served, sizeof(double), compare_doubles);
	result->p99_us = fleet->latencies[fleet->served * 99 / 100];
	for (int i = 0; i < ROUTING_TIERS; i++)
		sent += fleet->by_tier[i];
	result->outside_dc = (double)(fleet->by_tier[ROUTING_OWN_REGION] +
				      fleet->by_tier[ROUTING_OTHER_REGION]) /
			     (double)sent;
	result->outside_region =
		(double)fleet->by_tier[ROUTING_OTHER_REGION] / (double)sent;
	result->refused = (double)fleet->refused /
			  (double)(fleet->served + fleet->refused);
}

static void run_case(const fleet_case_t *spec, bool reports,
		     fleet_result_t *result)
{
	fleet_t *fleet = fleet_create(spec, reports);
	double rate = capacity(fleet) * spec->load;

	for (int64_t t = 0; t < END_US; t += STEP_US) {
		fleet->counts = t >= WARM_UP_US;
		cas_clock_advance(fleet->clock, STEP_US);
		deliver(fleet);
		for (size_t i = 0; i < fleet->upstream_count; i++)
			run_upstream(fleet, &fleet->upstreams[i]);
		send_arrivals(fleet, rate);
	}
	summarize(fleet, result);
	print_message("%s, %s: busiest/mean %.2f, mean %.1f ms, p99 %.0f ms, "
		      "outside dc %.1f%%, outside region %.2f%%, "
		      "refused %.2f%%\n",
		      spec->name, reports ? "after" : "before", result->busiest,
		      result->mean_us / 1000, result->p99_us / 1000,
		      100 * result->outside_dc, 100 * result->outside_region,
		      100 * result->refused);
	talloc_free(fleet);
}

static const double two_speeds[] = { 0.7, 0.7, 1.6 };
static const double three_speeds[] = { 0.5, 1.0, 1.0, 1.5 };
/* Region 0 has the first two, and a third more capacity than region 1. */
static const double scarce_speeds[] = { 0.5, 1.5, 1.0, 1.0 };

static const fleet_case_t cases[] = {
	{ "40 of 2 speeds, moderate", two_speeds, 3, 40, 2, 0.6, true, 0 },
	{ "40 of 2 speeds, full", two_speeds, 3, 40, 2, 0.95, true, 0 },
	{ "40 of 2 speeds, none reported", two_speeds, 3, 40, 2, 0.6, false,
	  0 },
	{ "40 of 3 speeds, moderate", three_speeds, 4, 40, 2, 0.6, true, 0 },
	{ "40 of 3 speeds, full", three_speeds, 4, 40, 2, 0.95, true, 0 },
	{ "40 with late reports, full", two_speeds, 3, 40, 2, 0.95, true,
	  50000 },
	{ "4 in one region, moderate", three_speeds, 4, 4, 1, 0.6, true, 0 },
	{ "4 in one region, full", three_speeds, 4, 4, 1, 0.95, true, 0 },
	{ "4 in two regions, full", scarce_speeds, 4, 4, 2, 0.95, true, 0 },
};

/* Guards against the fastest or the idlest upstream attracting the work of all
 * daemons, against leaving the region without need, and against responses that
 * are later than with the choice by tiers where the slow moments are reported. The
 * bound of 1.15 is the target. */
static void test_fleet(void **state)
{
	size_t uneven = 0;
	size_t later = 0;
	size_t far = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fleet_result_t before;
		fleet_result_t after;

		run_case(&cases[i], false, &before);
		run_case(&cases[i], true, &after);
		uneven += after.busiest >= 1.15;
		later += cases[i].reports_slowdown &&
			 (after.p99_us > before.p99_us ||
			  after.refused > before.refused);
		far += cases[i].load < 0.7 && after.outside_region > 0;
	}
	assert_int_equal(uneven, 0);
	assert_int_equal(later, 0);
	assert_int_equal(far, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
