/*
 * Tests the choice by expected completion of one daemon: reports that stop, lie
 * or come from another run, links that are cut, upstreams that turn cold, slow
 * or full, and the work of a choice.
 */
#include "cassia/test.h"

#include "routing_internal.h"

#define SERVICE 300
#define KIND 7
#define DCS 4
#define HOSTS_MAX 680
#define LIMIT 8
#define OWN_US 20000
#define PICKS 2000

typedef struct fixture {
	cas_clock_t *clock;
	routing_t *routing;
	table_t table;
	roster_t roster;
	table_data_centre_t dcs[DCS];
	table_service_t service;
	roster_host_t hosts[HOSTS_MAX];
} fixture_t;

/* The daemon is in data centre 100. Host 1000 + i is in data centre 100 + i %
 * 4; data centres 100 and 101 are in region 200, 102 and 103 in region 201. */
static fixture_t *create_fixture(size_t hosts, int32_t connections)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	fixture->clock = cas_clock_create_manual(fixture, CAS_USEC_PER_SEC);
	for (size_t i = 0; i < DCS; i++)
		fixture->dcs[i] = (table_data_centre_t){
			.id = 100 + i,
			.region_id = 200 + i / 2,
		};
	fixture->service =
		(table_service_t){ .id = SERVICE, .connections = connections };
	for (size_t i = 0; i < hosts; i++)
		fixture->hosts[i] =
			(roster_host_t){ .id = 1000 + i,
					 .service_id = SERVICE,
					 .data_centre_id = 100 + i % DCS };
	fixture->table = (table_t){ .data_centres = fixture->dcs,
				    .data_centre_count = DCS,
				    .services = &fixture->service,
				    .service_count = 1 };
	fixture->roster =
		(roster_t){ .hosts = fixture->hosts, .host_count = hosts };
	fixture->routing =
		routing_create(fixture, fixture->clock,
			       cas_rng_create(fixture, 5), NULL, NULL);
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 100),
			 0);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC);
	return fixture;
}

/* A result as a healthy upstream of usual speed has it. */
static routing_result_t healthy_result(void)
{
	return (routing_result_t){
		.outcome = ROUTING_OK,
		.latency_us = OWN_US + 200,
		.limit_hint = LIMIT,
		.busy_permille = 200,
		.kind = KIND,
		.load = { .known = true,
			  .slowdown = 100,
			  .room = LIMIT,
			  .own_us = OWN_US },
	};
}

/* Ends a request that has just begun, with the result. */
static void report(fixture_t *fixture, cas_id_t host,
		   const routing_result_t *result)
{
	routing_begin(fixture->routing, host);
	routing_finish(fixture->routing, host, result);
}

/* Has all hosts but one, 0 for none, report a healthy result in each round. */
static void report_others(fixture_t *fixture, int rounds, cas_id_t except)
{
	const routing_result_t result = healthy_result();

	for (int round = 0; round < rounds; round++) {
		cas_clock_advance(fixture->clock, 10 * CAS_USEC_PER_MSEC);
		for (size_t i = 0; i < fixture->roster.host_count; i++)
			if (1000 + i != except)
				report(fixture, 1000 + i, &result);
	}
}

static void report_all(fixture_t *fixture, int rounds)
{
	report_others(fixture, rounds, 0);
}

static int pick(fixture_t *fixture, int64_t body_bytes, bool last_resort,
		routing_choice_t *choice)
{
	const routing_query_t query = { .service = SERVICE,
					.kind = KIND,
					.body_bytes = body_bytes,
					.last_resort = last_resort };

	return routing_pick(fixture->routing, &query, choice);
}

/* Returns how many of PICKS choices are the host. None of them is sent. */
static int count_picks(fixture_t *fixture, cas_id_t host, int64_t body_bytes)
{
	int picks = 0;

	for (int i = 0; i < PICKS; i++) {
		routing_choice_t choice;

		if (!pick(fixture, body_bytes, false, &choice))
			picks += choice.host == host;
	}
	return picks;
}

/* Returns how many of PICKS choices are in the tier. */
static int count_tier(fixture_t *fixture, routing_tier_t tier,
		      int64_t body_bytes)
{
	int picks = 0;

	for (int i = 0; i < PICKS; i++) {
		routing_choice_t choice;

		if (!pick(fixture, body_bytes, false, &choice))
			picks += choice.tier == tier;
	}
	return picks;
}

static const estimate_upstream_t *estimate_of(fixture_t *fixture, cas_id_t host)
{
	return &routing_find_upstream(fixture->routing, host)->estimate;
}

/* Guards against estimates that stay in force when reports have stopped. */
static void test_reports_stop(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);
	int64_t visits;

	(void)state;
	assert_int_equal(count_picks(fixture, 1000, 0) > 0, 1);
	assert_int_equal(routing_counts(fixture->routing)->visits, 0);
	report_all(fixture, 5);
	count_picks(fixture, 1000, 0);
	visits = routing_counts(fixture->routing)->visits;
	assert_true(visits > 0);
	cas_clock_advance(fixture->clock, 6 * CAS_USEC_PER_SEC);
	count_picks(fixture, 1000, 0);
	assert_int_equal(routing_counts(fixture->routing)->visits, visits);
	talloc_free(fixture);
}

/* Guards against avoiding an upstream because of a load that was reported a
 * second ago. */
static void test_report_fades(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t full = healthy_result();
	int avoided;

	(void)state;
	report_all(fixture, 20);
	full.load.room = 0;
	full.load.wait_us = 300000;
	report(fixture, 1000, &full);
	avoided = count_picks(fixture, 1000, 0);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC);
	assert_true(avoided * 4 < count_picks(fixture, 1000, 0));
	talloc_free(fixture);
}

/* Guards against all daemons choosing the upstream that looks best, the only one
 * of usual speed: then it gets far more than its share until the next report. */
static void test_no_herd(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);
	routing_result_t busy = healthy_result();
	int usual;

	(void)state;
	report_all(fixture, 20);
	usual = count_picks(fixture, 1000, 0);
	busy.load.room = 1;
	busy.load.slowdown = 150;
	for (size_t i = 1; i < 16; i++)
		report(fixture, 1000 + i, &busy);
	assert_in_range(count_picks(fixture, 1000, 0), usual, 2 * usual);
	talloc_free(fixture);
}

/* Guards against work for an upstream whose machine has become slow. */
static void test_slow_upstream_gets_less(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t slow = healthy_result();
	int usual;

	(void)state;
	report_all(fixture, 20);
	usual = count_picks(fixture, 1000, 0);
	slow.load.slowdown = 250;
	report(fixture, 1000, &slow);
	assert_true(count_picks(fixture, 1000, 0) * 10 < usual * 7);
	talloc_free(fixture);
}

/* Guards against an upstream that attracts work by a false speed. The daemon
 * beside it measures its own time, which does not agree. */
static void test_false_speed(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t lie = healthy_result();
	int usual;

	(void)state;
	report_all(fixture, 20);
	usual = count_picks(fixture, 1000, 0);
	lie.load.slowdown = 1;
	for (int i = 0; i < 100; i++) {
		report_others(fixture, 1, 1000);
		report(fixture, 1000, &lie);
	}
	assert_true(count_picks(fixture, 1000, 0) < 3 * usual);
	talloc_free(fixture);
}

/* Guards against an upstream that always reports room although its responses
 * are late. */
static void test_room_that_responses_do_not_confirm(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t lie = healthy_result();
	int usual;

	(void)state;
	report_all(fixture, 20);
	usual = count_picks(fixture, 1000, 0);
	lie.load.room = 1000000;
	lie.latency_us = 400000;
	for (int i = 0; i < 100; i++) {
		report_others(fixture, 1, 1000);
		report(fixture, 1000, &lie);
	}
	assert_true(count_picks(fixture, 1000, 0) * 2 < usual);
	talloc_free(fixture);
}

/* Guards against values beyond all bounds. */
static void test_huge_values(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t huge = healthy_result();
	int usual;

	(void)state;
	report_all(fixture, 20);
	usual = count_picks(fixture, 1001, 0);
	huge.limit_hint = INT32_MAX;
	huge.load = (routing_load_t){ .known = true,
				      .slowdown = INT32_MAX,
				      .room = INT32_MAX,
				      .wait_us = UINT32_MAX,
				      .own_us = UINT32_MAX,
				      .turned_away_permille = INT32_MAX,
				      .processor_permille = INT32_MAX };
	for (int i = 0; i < 20; i++) {
		report(fixture, 1000, &huge);
		report_others(fixture, 1, 1000);
	}
	assert_true(count_picks(fixture, 1001, 0) * 2 > usual);
	talloc_free(fixture);
}

/* Guards against the report of an earlier run of the upstream, which says
 * nothing about the present one. */
static void test_report_of_an_earlier_run(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	const routing_result_t refused = { .outcome = ROUTING_REFUSED,
					   .busy_permille = -1 };
	routing_result_t late = healthy_result();

	(void)state;
	report_all(fixture, 5);
	routing_begin(fixture->routing, 1000);
	report(fixture, 1000, &refused);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC / 2);
	late.latency_us = CAS_USEC_PER_SEC;
	routing_finish(fixture->routing, 1000, &late);
	assert_false(estimate_of(fixture, 1000)->reported);
	assert_int_equal(routing_counts(fixture->routing)->stale_reports, 1);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC);
	report_all(fixture, 1);
	assert_true(estimate_of(fixture, 1000)->reported);
	talloc_free(fixture);
}

/* Guards against reports that lay in the socket while this daemon was paused
 * counting as new. */
static void test_daemon_paused_with_reports_in_flight(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t old = healthy_result();
	int64_t now_us;

	(void)state;
	report_all(fixture, 5);
	routing_begin(fixture->routing, 1000);
	cas_clock_advance(fixture->clock, 3 * CAS_USEC_PER_SEC);
	old.latency_us = 3 * CAS_USEC_PER_SEC;
	routing_finish(fixture->routing, 1000, &old);
	now_us = cas_clock_now(fixture->clock);
	assert_true(estimate_report_weight(estimate_of(fixture, 1000), now_us) <
		    0.01);
	assert_int_equal(routing_counts(fixture->routing)->stale_reports, 1);
	talloc_free(fixture);
}

/* Guards against a burst on an upstream that has not reported yet, also on the
 * own host, and against never trying it. */
static void test_trials_without_report(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	const routing_result_t result = healthy_result();
	routing_choice_t choice;
	int sent = 0;

	(void)state;
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1000, 0),
			 0);
	for (size_t i = 1; i < 8; i++)
		report(fixture, 1000 + i, &result);
	for (int i = 0; i < PICKS; i++) {
		assert_int_equal(pick(fixture, 0, false, &choice), 0);
		if (choice.host != 1000)
			continue;
		routing_begin(fixture->routing, 1000);
		sent++;
	}
	assert_int_equal(sent, 1);
	routing_finish(fixture->routing, 1000, &result);
	assert_true(count_picks(fixture, 1000, 0) > PICKS / 10);
	talloc_free(fixture);
}

/* Guards against few trials for upstreams that respond without a load, because
 * another one of the service reports its own while it warms up. */
static void test_only_one_reports(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	const routing_result_t result = healthy_result();
	routing_result_t plain = result;
	routing_choice_t choice;
	int sent = 0;

	(void)state;
	plain.load = (routing_load_t){ .known = false };
	for (size_t i = 1; i < 8; i++)
		report(fixture, 1000 + i, &plain);
	report(fixture, 1000, &result);
	for (int i = 0; i < 40; i++) {
		assert_int_equal(pick(fixture, 0, false, &choice), 0);
		routing_begin(fixture->routing, choice.host);
		sent += choice.host != 1000;
	}
	assert_true(sent > 20);
	talloc_free(fixture);
}

/* Guards against more requests than an upstream that is warming up has room
 * for, and against ejecting it for its rejections. */
static void test_warming_up(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t cold = healthy_result();
	routing_choice_t choice;
	int sent = 0;

	(void)state;
	report_all(fixture, 5);
	cold.load.paced = true;
	cold.load.room = 2;
	cold.limit_hint = 2;
	report(fixture, 1000, &cold);
	for (int i = 0; i < PICKS; i++) {
		assert_int_equal(pick(fixture, 0, false, &choice), 0);
		if (choice.host != 1000)
			continue;
		routing_begin(fixture->routing, 1000);
		sent++;
	}
	assert_int_equal(sent, 2);
	cold.outcome = ROUTING_SHED;
	for (int i = 0; i < 100; i++)
		report(fixture, 1000, &cold);
	assert_false(routing_is_ejected(fixture->routing, 1000));
	talloc_free(fixture);
}

/* Guards against leaving the region while it serves, and against rejecting
 * requests while another region has room. */
static void test_other_region_saves_requests(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);
	routing_result_t full = healthy_result();
	routing_query_t late = { .service = SERVICE, .kind = KIND };
	routing_choice_t choice;

	(void)state;
	report_all(fixture, 20);
	assert_int_equal(count_tier(fixture, ROUTING_OTHER_REGION, 0), 0);
	full.load.room = 0;
	full.load.wait_us = 200000;
	full.load.turned_away_permille = 500;
	for (int round = 0; round < 20; round++)
		for (size_t i = 0; i < 16; i++)
			if (i % DCS < 2)
				report(fixture, 1000 + i, &full);
	assert_in_range(count_tier(fixture, ROUTING_OTHER_REGION, 0), PICKS / 5,
			PICKS * 3 / 5);
	/* One that cannot be in time here goes in any case. */
	late.time_left_us = 150000;
	assert_int_equal(routing_pick(fixture->routing, &late, &choice), 0);
	assert_int_equal(choice.tier, ROUTING_OTHER_REGION);
	routing_begin(fixture->routing, choice.host);
	assert_int_equal(
		routing_counts(fixture->routing)->spilled[ROUTING_SPILL_LATE],
		1);
	talloc_free(fixture);
}

/* Guards against new bodies for a region behind a link that is cut, and against
 * cutting off requests without one. */
static void test_link_is_cut(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);
	const routing_result_t lost = { .outcome = ROUTING_EXPIRED,
					.latency_us = 400000,
					.busy_permille = -1,
					.body_bytes = 60000 };
	routing_choice_t choice;

	(void)state;
	report_all(fixture, 5);
	for (size_t i = 0; i < 16; i++)
		fixture->hosts[i].leaving = i % DCS < 2;
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 100),
			 0);
	assert_int_equal(pick(fixture, 60000, true, &choice), 0);
	assert_int_equal(choice.tier, ROUTING_OTHER_REGION);
	routing_begin_body(fixture->routing, choice.host, 60000);
	/* The window is filled until a response returns. */
	assert_int_equal(pick(fixture, 60000, true, &choice), ROUTING_ENONE);
	routing_finish(fixture->routing, choice.host, &lost);
	assert_int_equal(pick(fixture, 60000, true, &choice), ROUTING_ENONE);
	assert_int_equal(pick(fixture, 0, true, &choice), 0);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC);
	assert_int_equal(pick(fixture, 60000, true, &choice), 0);
	talloc_free(fixture);
}

/* Guards against bodies that count as in flight for ever, because their host is
 * no longer listed when they end. */
static void test_body_to_unlisted_host(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);
	routing_choice_t choice;

	(void)state;
	report_all(fixture, 5);
	routing_begin_body(fixture->routing, 1015, 60000);
	for (size_t i = 0; i < 16; i++)
		fixture->hosts[i].leaving = i % DCS < 2;
	fixture->roster.host_count = 15;
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 100),
			 0);
	assert_int_equal(pick(fixture, 60000, true, &choice), 0);
	talloc_free(fixture);
}

/* Guards against large bodies that cross data centres as often as small
 * requests. */
static void test_large_bodies_stay_near(void **state)
{
	fixture_t *fixture = create_fixture(16, 0);

	(void)state;
	report_all(fixture, 20);
	assert_in_range(count_tier(fixture, ROUTING_OWN_REGION, 0), PICKS / 20,
			PICKS / 2);
	assert_in_range(count_tier(fixture, ROUTING_OWN_REGION, 60000), 0,
			PICKS / 20);
	talloc_free(fixture);
}

/* Guards against work for upstreams that the gate excludes. */
static void test_gate(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	const routing_result_t refused = { .outcome = ROUTING_REFUSED,
					   .busy_permille = -1 };

	(void)state;
	report_all(fixture, 5);
	routing_set_stopping(fixture->routing, 1000, true);
	assert_int_equal(count_picks(fixture, 1000, 0), 0);
	routing_set_stopping(fixture->routing, 1000, false);
	assert_true(count_picks(fixture, 1000, 0) > 0);
	report(fixture, 1001, &refused);
	assert_int_equal(count_picks(fixture, 1001, 0), 0);
	cas_clock_advance(fixture->clock, 2 * CAS_USEC_PER_SEC);
	report_all(fixture, 1);
	assert_true(count_picks(fixture, 1001, 0) > 0);
	fixture->hosts[0].leaving = true;
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 100),
			 0);
	assert_int_equal(count_picks(fixture, 1000, 0), 0);
	talloc_free(fixture);
}

/* Guards against more requests than this daemon has connections. */
static void test_connections_in_use(void **state)
{
	fixture_t *fixture = create_fixture(8, 40);
	routing_choice_t choice;
	int32_t connections = 0;

	(void)state;
	report_all(fixture, 5);
	for (size_t i = 0; i < 8; i++)
		if (i % DCS < 2)
			connections += routing_connections(fixture->routing,
							   SERVICE, 1000 + i);
	assert_true(connections > 0);
	for (int32_t i = 0; i < connections; i++) {
		assert_int_equal(pick(fixture, 0, false, &choice), 0);
		routing_begin(fixture->routing, choice.host);
	}
	assert_int_equal(pick(fixture, 0, false, &choice), ROUTING_EBUSY);
	talloc_free(fixture);
}

/* Guards against child calls that count as own time or as network time. */
static void test_child_calls_are_apart(void **state)
{
	fixture_t *fixture = create_fixture(8, 0);
	routing_result_t result = healthy_result();
	const estimate_kind_t *kind;

	(void)state;
	result.latency_us += 50000;
	for (int i = 0; i < 200; i++) {
		cas_clock_advance(fixture->clock, 100 * CAS_USEC_PER_MSEC);
		for (size_t host = 1000; host < 1008; host++)
			report(fixture, host, &result);
	}
	kind = estimate_find_kind(&fixture->routing->kinds, SERVICE, KIND);
	assert_non_null(kind);
	assert_in_range((int)kind->own_us, OWN_US * 9 / 10, OWN_US * 11 / 10);
	assert_in_range((int)kind->children_us, 45000, 55000);
	assert_in_range((int)estimate_of(fixture, 1000)->network_us, 100, 1000);
	talloc_free(fixture);
}

/* Returns the upstreams that are visited for PICKS choices. */
static int64_t count_visits(size_t hosts)
{
	fixture_t *fixture = create_fixture(hosts, 0);
	int64_t before;
	int64_t visits;

	report_all(fixture, 3);
	before = routing_counts(fixture->routing)->visits;
	count_picks(fixture, 1000, 0);
	visits = routing_counts(fixture->routing)->visits - before;
	assert_true(routing_counts(fixture->routing)->weight_updates <= 2);
	talloc_free(fixture);
	return visits;
}

/* Guards against work per choice that grows with the fleet. */
static void test_constant_work(void **state)
{
	int64_t small = count_visits(40);
	int64_t large = count_visits(680);

	(void)state;
	print_message("visits of a choice: %.2f of 40, %.2f of 680\n",
		      (double)small / PICKS, (double)large / PICKS);
	assert_true(small <= 3 * PICKS);
	assert_true(large <= 3 * PICKS);
}

/* Guards against an explanation that changes later choices or counts, or that
 * differs from the choice that it explains. */
static void test_explanation(void **state)
{
	const routing_query_t query = { .service = SERVICE, .kind = KIND };
	uint64_t digests[2] = { 0 };

	(void)state;
	for (int explained = 0; explained < 2; explained++) {
		fixture_t *fixture = create_fixture(16, 0);
		routing_choice_t choice;

		report_all(fixture, 5);
		for (int i = 0; i < 100; i++) {
			routing_explanation_t *explanation =
				explained ? routing_explain(fixture,
							    fixture->routing,
							    &query, 1)
					  : NULL;

			assert_int_equal(pick(fixture, 0, false, &choice), 0);
			digests[explained] = cas_rendezvous_weight(
				digests[explained], choice.host);
			if (!explanation)
				continue;
			assert_int_equal(explanation->error, 0);
			assert_true(explanation->by_load);
			assert_false(explanation->spilled);
			assert_int_equal(explanation->count, 16);
			assert_true(explanation->candidates[0].fit);
			assert_in_range(explanation->candidates[0].response_us,
					OWN_US, 2 * OWN_US);
		}
		digests[explained] = cas_rendezvous_weight(
			digests[explained],
			(uint64_t)routing_counts(fixture->routing)->visits);
		talloc_free(fixture);
	}
	assert_true(digests[0] == digests[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reports_stop),
		cmocka_unit_test(test_report_fades),
		cmocka_unit_test(test_no_herd),
		cmocka_unit_test(test_slow_upstream_gets_less),
		cmocka_unit_test(test_false_speed),
		cmocka_unit_test(test_room_that_responses_do_not_confirm),
		cmocka_unit_test(test_huge_values),
		cmocka_unit_test(test_report_of_an_earlier_run),
		cmocka_unit_test(test_daemon_paused_with_reports_in_flight),
		cmocka_unit_test(test_trials_without_report),
		cmocka_unit_test(test_only_one_reports),
		cmocka_unit_test(test_warming_up),
		cmocka_unit_test(test_other_region_saves_requests),
		cmocka_unit_test(test_link_is_cut),
		cmocka_unit_test(test_body_to_unlisted_host),
		cmocka_unit_test(test_large_bodies_stay_near),
		cmocka_unit_test(test_gate),
		cmocka_unit_test(test_connections_in_use),
		cmocka_unit_test(test_child_calls_are_apart),
		cmocka_unit_test(test_constant_work),
		cmocka_unit_test(test_explanation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
