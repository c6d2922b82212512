/* Tests of choice, ejection, slow start and subsets. */
#include "cassia/test.h"

#include "cassia/routing.h"

#define SERVICE 300
#define DCS 5
#define HOSTS_MAX 680
#define SERVICES 41

typedef struct fixture {
	cas_clock_t *clock;
	routing_t *routing;
	table_t table;
	roster_t roster;
	table_data_centre_t dcs[DCS];
	table_service_t services[SERVICES];
	roster_host_t hosts[HOSTS_MAX];
} fixture_t;

/* Hosts 1000.. in data centres 100.. of two regions, round robin over
 * services. */
static fixture_t *create(size_t hosts, size_t services, int connections)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->clock = cas_clock_create_manual(f, CAS_USEC_PER_SEC);
	for (size_t i = 0; i < DCS; i++) {
		f->dcs[i].id = 100 + i;
		f->dcs[i].region_id = i < 3 ? 200 : 201;
	}
	for (size_t i = 0; i < services; i++) {
		f->services[i].id = SERVICE + i;
		f->services[i].connections = connections;
	}
	for (size_t i = 0; i < hosts; i++) {
		f->hosts[i].id = 1000 + i;
		f->hosts[i].service_id = SERVICE + i % services;
		f->hosts[i].data_centre_id = 100 + i % DCS;
	}
	f->table = (table_t){ .data_centres = f->dcs,
			      .data_centre_count = DCS,
			      .services = f->services,
			      .service_count = services };
	f->roster = (roster_t){ .hosts = f->hosts, .host_count = hosts };
	f->routing =
		routing_create(f, f->clock, cas_rng_create(f, 1), NULL, NULL);
	return f;
}

/* Adopts the view as seen by a caller that is not an upstream. */
static void view(fixture_t *f)
{
	assert_int_equal(
		routing_set_view(f->routing, &f->table, &f->roster, 1, 100), 0);
}

/* Returns how many of 1000 choices were the host. */
static int picks_of(fixture_t *f, cas_id_t host, bool other_regions)
{
	int picks = 0;

	for (int i = 0; i < 1000; i++) {
		routing_choice_t choice;

		if (!routing_pick(f->routing, SERVICE, NULL, 0, other_regions,
				  &choice))
			picks += choice.host == host;
	}
	return picks;
}

static void finish(fixture_t *f, cas_id_t host, routing_outcome_t outcome,
		   int64_t latency_us)
{
	routing_result_t result = { .outcome = outcome,
				    .latency_us = latency_us,
				    .busy_permille = -1 };

	routing_begin(f->routing, host);
	routing_finish(f->routing, host, &result);
}

static int ejected(const fixture_t *f)
{
	int count = 0;

	for (size_t i = 0; i < f->roster.host_count; i++)
		count += routing_is_ejected(f->routing, f->hosts[i].id);
	return count;
}

/* Guards against ejecting so many that the rest is overloaded. */
static void test_ejects_at_most_a_third(void **state)
{
	fixture_t *f = create(30, 1, 0);

	(void)state;
	view(f);
	for (int n = 0; n < 10; n++)
		for (size_t i = 0; i < 30; i++)
			finish(f, 1000 + i, ROUTING_FAILED, 0);
	/* Six in each data centre; the tiers are 6, 12 and 12. */
	assert_int_equal(ejected(f), 2 + 4 + 4);
	talloc_free(f);
}

/* Guards against refused connections being kept by the cap, and against
 * ejecting the last upstream. */
static void test_refused_ejects_at_once(void **state)
{
	fixture_t *f = create(3, 1, 0);

	(void)state;
	view(f);
	for (size_t i = 0; i < 3; i++)
		finish(f, 1000 + i, ROUTING_REFUSED, 0);
	assert_int_equal(ejected(f), 2);
	assert_false(routing_is_ejected(f->routing, 1002));
	talloc_free(f);
}

/* Guards against an upstream that reports no load but fails or is slow. */
static void test_misleading_health(void **state)
{
	fixture_t *f = create(15, 1, 0);

	(void)state;
	view(f);
	for (int n = 0; n < 100; n++)
		for (size_t i = 0; i < 15; i += DCS)
			finish(f, 1000 + i, ROUTING_OK, i ? 20000 : 200000);
	assert_true(routing_is_ejected(f->routing, 1000));
	assert_int_equal(ejected(f), 1);
	assert_int_equal(picks_of(f, 1000, false), 0);
	/* It comes back slowly, and is ejected for longer the next time. */
	cas_clock_advance(f->clock, 20 * CAS_USEC_PER_SEC);
	assert_true(picks_of(f, 1000, false) > 100);
	finish(f, 1000, ROUTING_REFUSED, 0);
	cas_clock_advance(f->clock, 3 * CAS_USEC_PER_SEC / 2);
	assert_true(routing_is_ejected(f->routing, 1000));
	cas_clock_advance(f->clock, CAS_USEC_PER_SEC);
	assert_false(routing_is_ejected(f->routing, 1000));
	assert_in_range(picks_of(f, 1000, false), 1, 150);
	talloc_free(f);
}

/* Guards against an upstream that answers part of its requests with errors and
 * keeps its traffic because its data centre has no other. */
static void test_errors_of_one_upstream(void **state)
{
	fixture_t *f = create(5, 1, 0);

	(void)state;
	view(f);
	for (int n = 0; n < 30; n++) {
		finish(f, 1000, n % 5 < 2 ? ROUTING_ERROR : ROUTING_OK, 0);
		finish(f, 1001, ROUTING_OK, 0);
	}
	assert_true(routing_is_ejected(f->routing, 1000));
	assert_int_equal(picks_of(f, 1000, false), 0);
	assert_false(routing_is_ejected(f->routing, 1001));
	talloc_free(f);
}

/* Guards against a sound upstream that loses its traffic to other regions because
 * requests reach it with little time left; found on the bench after a restart
 * of the fleet. */
static void test_expired_with_little_time(void **state)
{
	fixture_t *f = create(6, 1, 0);

	(void)state;
	view(f);
	for (size_t i = 0; i < 6; i++)
		finish(f, 1000 + i, ROUTING_EXPIRED, 100000);
	assert_int_equal(ejected(f), 0);
	for (size_t i = 0; i < 6; i++)
		finish(f, 1000 + i, ROUTING_EXPIRED, 2000000);
	assert_int_equal(ejected(f), 2);
	talloc_free(f);
}

/* Guards against ejecting sound upstreams for errors of a service behind all
 * of them, beyond the first second. */
static void test_errors_of_all_upstreams(void **state)
{
	fixture_t *f = create(6, 1, 0);

	(void)state;
	view(f);
	for (int n = 0; n < 100; n++) {
		for (size_t i = 0; i < 6; i++)
			finish(f, 1000 + i, n % 2 ? ROUTING_ERROR : ROUTING_OK,
			       0);
		if (n == 50)
			cas_clock_advance(f->clock, 2 * CAS_USEC_PER_SEC);
		assert_in_range(ejected(f), 0, n < 50 ? 2 : 0);
	}
	talloc_free(f);
}

/* Guards against overload being taken for a fault. */
static void test_shedding_is_no_fault(void **state)
{
	fixture_t *f = create(3, 1, 0);

	(void)state;
	view(f);
	for (int n = 0; n < 100; n++)
		finish(f, 1000, ROUTING_SHED, 0);
	assert_int_equal(ejected(f), 0);
	talloc_free(f);
}

/* Guards against new work for a host that leaves, and against a returned or
 * new host taking its full share at once. */
static void test_leaving_and_new_hosts(void **state)
{
	fixture_t *f = create(15, 1, 0);

	(void)state;
	f->roster.host_count = 10;
	view(f);
	cas_clock_advance(f->clock, 20 * CAS_USEC_PER_SEC);
	assert_true(picks_of(f, 1000, false) > 400);
	f->hosts[0].leaving = true;
	f->roster.host_count = 15;
	view(f);
	assert_int_equal(picks_of(f, 1000, true), 0);
	assert_in_range(picks_of(f, 1010, false), 1, 300);
	cas_clock_advance(f->clock, 10 * CAS_USEC_PER_SEC);
	assert_in_range(picks_of(f, 1010, false), 400, 600);
	talloc_free(f);
}

/* Guards against use of another region while the own one can serve, and
 * against queueing at a saturated data centre beside an idle one. */
static void test_tiers(void **state)
{
	fixture_t *f = create(5, 1, 0);
	routing_result_t busy = { .outcome = ROUTING_OK,
				  .limit_hint = 10,
				  .busy_permille = 1500 };
	cas_id_t own[] = { 1000, 1001, 1002 };
	routing_choice_t choice;

	(void)state;
	view(f);
	assert_int_equal(picks_of(f, 1000, true), 1000);
	routing_begin(f->routing, 1000);
	routing_finish(f->routing, 1000, &busy);
	assert_int_equal(picks_of(f, 1000, false), 0);
	assert_int_equal(
		routing_pick(f->routing, SERVICE, own, 3, false, &choice),
		ROUTING_ENONE);
	assert_int_equal(
		routing_pick(f->routing, SERVICE, own, 3, true, &choice), 0);
	assert_int_equal(choice.tier, ROUTING_OTHER_REGION);
	talloc_free(f);
}

/* Guards against more connections to one upstream than the table allows,
 * summed over all daemons, and against daemons without any upstream. */
static void test_subsets_at_design_size(void **state)
{
	const int32_t limit = 470;
	fixture_t *f = create(HOSTS_MAX, SERVICES, limit);
	int64_t *sums = talloc_zero_array(f, int64_t, HOSTS_MAX);

	(void)state;
	for (size_t d = 0; d < HOSTS_MAX; d += 1) {
		cas_id_t self = f->hosts[d].id;

		assert_int_equal(routing_set_view(f->routing, &f->table,
						  &f->roster, self, 0),
				 0);
		for (size_t s = 0; s < SERVICES; s++)
			assert_true(routing_subset_size(f->routing,
							SERVICE + s) > 0);
		for (size_t i = 0; i < HOSTS_MAX; i++)
			sums[i] += routing_connections(f->routing,
						       f->hosts[i].service_id,
						       f->hosts[i].id);
	}
	for (size_t i = 0; i < HOSTS_MAX; i++)
		assert_in_range(sums[i], limit / 2, limit);
	talloc_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejects_at_most_a_third),
		cmocka_unit_test(test_refused_ejects_at_once),
		cmocka_unit_test(test_misleading_health),
		cmocka_unit_test(test_errors_of_one_upstream),
		cmocka_unit_test(test_errors_of_all_upstreams),
		cmocka_unit_test(test_expired_with_little_time),
		cmocka_unit_test(test_shedding_is_no_fault),
		cmocka_unit_test(test_leaving_and_new_hosts),
		cmocka_unit_test(test_tiers),
		cmocka_unit_test(test_subsets_at_design_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
