/*
 * Tests where the requests of many daemons go: three data centres of one region
 * with uneven numbers of upstreams, whose speeds differ, on one clock. Every
 * daemon knows only its own requests and what responses report.
 */
#include "cassia/test.h"

#include <stdbool.h>

#include "cassia/routing.h"

#define DCS 3
#define UPSTREAMS 9
#define DAEMONS 18
#define SERVICE 300
#define SLOTS 25
#define LIMIT 23 /* as reported: 95% of the slots */
#define RUNNING_MAX 4096
#define STEP_US CAS_USEC_PER_MSEC
#define WARM_UP_US (3 * CAS_USEC_PER_SEC)
#define END_US (9 * CAS_USEC_PER_SEC)
/* A short call and a long request for the same service; mean times at speed 1. */
#define SHORT_US (71 * CAS_USEC_PER_MSEC)
#define LONG_US (1100 * CAS_USEC_PER_MSEC)
/* An upstream with this many free slots has room. */
#define ROOM_SLOTS 5

typedef struct upstream {
	double time_factor; /* of its run times */
	int running;
	int queued;
	double busy_us; /* sum of the run times */
} upstream_t;

typedef struct request {
	size_t daemon;
	size_t upstream;
	bool is_running;
	int64_t left_us; /* of its run time */
	int64_t started_us; /* at the daemon */
} request_t;

typedef struct fleet {
	cas_clock_t *clock;
	cas_rng_t *rng;
	table_data_centre_t dcs[DCS];
	table_service_t service;
	table_t table;
	roster_host_t hosts[UPSTREAMS];
	roster_t roster;
	routing_t *daemons[DAEMONS];
	upstream_t upstreams[UPSTREAMS];
	request_t requests[RUNNING_MAX];
	size_t request_count;
	/* After the warm-up. */
	size_t sent;
	size_t queued_beside_room; /* while another upstream had room */
} fleet_t;

/* Data centre 0 has two upstreams, 1 has three and 2 has four. */
static size_t dc_of(size_t upstream)
{
	return upstream < 2 ? 0 : upstream < 5 ? 1 : 2;
}

static fleet_t *fleet_create(void)
{
	static const double time_factors[] = { 0.6, 1.0, 1.4 };
	fleet_t *fleet = talloc_zero(NULL, fleet_t);

	fleet->clock = cas_clock_create_manual(fleet, CAS_USEC_PER_SEC);
	fleet->rng = cas_rng_create(fleet, 1);
	for (size_t i = 0; i < DCS; i++)
		fleet->dcs[i] = (table_data_centre_t){ .id = 100 + i,
						       .region_id = 200 };
	fleet->service = (table_service_t){ .id = SERVICE };
	for (size_t i = 0; i < UPSTREAMS; i++) {
		fleet->hosts[i] =
			(roster_host_t){ .id = 1000 + i,
					 .service_id = SERVICE,
					 .data_centre_id = 100 + dc_of(i),
					 .slots = SLOTS };
		fleet->upstreams[i].time_factor = time_factors[i % 3];
	}
	fleet->table = (table_t){ .data_centres = fleet->dcs,
				  .data_centre_count = DCS,
				  .services = &fleet->service,
				  .service_count = 1 };
	fleet->roster =
		(roster_t){ .hosts = fleet->hosts, .host_count = UPSTREAMS };
	for (size_t i = 0; i < DAEMONS; i++) {
		fleet->daemons[i] = routing_create(fleet, fleet->clock,
						   fleet->rng, NULL, NULL);
		assert_int_equal(routing_set_view(fleet->daemons[i],
						  &fleet->table, &fleet->roster,
						  i + 1, 100 + i % DCS),
				 0);
	}
	cas_clock_advance(fleet->clock, 20 * CAS_USEC_PER_SEC);
	return fleet;
}

static bool other_has_room(const fleet_t *fleet, size_t upstream)
{
	for (size_t i = 0; i < UPSTREAMS; i++)
		if (i != upstream &&
		    fleet->upstreams[i].running + ROOM_SLOTS <= SLOTS)
			return true;
	return false;
}

static void send_request(fleet_t *fleet, size_t daemon, double mean_us,
			 bool counts)
{
	request_t *request = &fleet->requests[fleet->request_count++];
	const routing_query_t query = { .service = SERVICE };
	routing_choice_t choice;
	upstream_t *upstream;

	assert_true(fleet->request_count < RUNNING_MAX);
	assert_int_equal(routing_pick(fleet->daemons[daemon], &query, &choice),
			 0);
	routing_begin(fleet->daemons[daemon], choice.host);
	*request = (request_t){ .daemon = daemon,
				.upstream = choice.host - 1000,
				.started_us = cas_clock_now(fleet->clock) };
	upstream = &fleet->upstreams[request->upstream];
	request->left_us = (int64_t)(upstream->time_factor *
				     cas_rng_exponential(fleet->rng, mean_us));
	upstream->busy_us += (double)request->left_us;
	request->is_running = upstream->running < SLOTS;
	upstream->running += request->is_running;
	upstream->queued += !request->is_running;
	if (!counts)
		return;
	fleet->sent++;
	fleet->queued_beside_room += !request->is_running &&
				     other_has_room(fleet, request->upstream);
}

/* Ends a request; the oldest queued one of its upstream starts. */
static void finish_request(fleet_t *fleet, size_t index)
{
	request_t ended = fleet->requests[index];
	upstream_t *upstream = &fleet->upstreams[ended.upstream];
	routing_result_t result = {
		.outcome = ROUTING_OK,
		.latency_us = cas_clock_now(fleet->clock) - ended.started_us,
		.limit_hint = LIMIT,
	};

	upstream->running--;
	for (size_t i = 0; i < fleet->request_count; i++) {
		request_t *next = &fleet->requests[i];

		if (next->upstream != ended.upstream || next->is_running)
			continue;
		next->is_running = true;
		upstream->running++;
		upstream->queued--;
		break;
	}
	result.busy_permille =
		(upstream->running + upstream->queued) * 1000 / LIMIT;
	for (size_t i = index; i + 1 < fleet->request_count; i++)
		fleet->requests[i] = fleet->requests[i + 1];
	fleet->request_count--;
	routing_finish(fleet->daemons[ended.daemon], 1000 + ended.upstream,
		       &result);
}

/* Sends the requests that arrive in one step at a rate per second. */
static void send_arrivals(fleet_t *fleet, double rate, double mean_us,
			  bool counts)
{
	double expected = rate * STEP_US / CAS_USEC_PER_SEC;
	double at = cas_rng_exponential(fleet->rng, 1);

	while (at < expected) {
		send_request(fleet, cas_rng_below(fleet->rng, DAEMONS), mean_us,
			     counts);
		at += cas_rng_exponential(fleet->rng, 1);
	}
}

static void run_fleet(fleet_t *fleet, double short_rate, double long_rate)
{
	for (int64_t t = 0; t < END_US; t += STEP_US) {
		if (t == WARM_UP_US)
			for (size_t i = 0; i < UPSTREAMS; i++)
				fleet->upstreams[i].busy_us = 0;
		cas_clock_advance(fleet->clock, STEP_US);
		for (size_t i = fleet->request_count; i > 0; i--) {
			request_t *request = &fleet->requests[i - 1];

			if (request->is_running &&
			    (request->left_us -= STEP_US) <= 0)
				finish_request(fleet, i - 1);
		}
		send_arrivals(fleet, short_rate, SHORT_US, t >= WARM_UP_US);
		send_arrivals(fleet, long_rate, LONG_US, t >= WARM_UP_US);
	}
}

/* Guards against requests that wait at one upstream while another one of the
 * region has room: a daemon sees a small part of the load of each, and speeds
 * and the numbers of upstreams by data centre are uneven. The load leaves a
 * quarter of the slots free; the bound is the target for goodput. */
static void test_no_queue_beside_room(void **state)
{
	fleet_t *fleet = fleet_create();

	(void)state;
	run_fleet(fleet, 1700, 60);
	print_message("%zu of %zu requests queued beside room\n",
		      fleet->queued_beside_room, fleet->sent);
	assert_true(fleet->queued_beside_room * 20 <= fleet->sent);
	talloc_free(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_queue_beside_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
