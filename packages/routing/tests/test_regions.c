/* Tests that no choice of an upstream leaves the allowed regions, or falls into
 * a data centre that is evacuated. */
#include "cassia/test.h"

#include "cassia/routing.h"

#define SERVICE 300
#define ROUTE 400
#define CUSTOMER 500
#define HOSTS 6
#define DCS 3
/* Two hosts in each region: 1000 and 1001 in 200, and so on. */
#define FIRST_HOST 1000
#define OWN_REGION 200
#define FIRST_REGION OWN_REGION
#define PICKS 200

static cas_id_t region_ids[DCS] = { 200, 201, 202 };

typedef struct fixture {
	cas_clock_t *clock;
	routing_t *routing;
	table_t table;
	table_data_centre_t dcs[DCS];
	table_service_t service;
	table_route_t route;
	table_customer_t customer;
	roster_t roster;
	roster_host_t hosts[HOSTS];
} fixture_t;

static fixture_t *create_fixture(int connections)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	fixture->clock = cas_clock_create_manual(fixture, CAS_USEC_PER_SEC);
	for (size_t i = 0; i < DCS; i++)
		fixture->dcs[i] =
			(table_data_centre_t){ .id = 100 + i,
					       .region_id = region_ids[i] };
	for (size_t i = 0; i < HOSTS; i++)
		fixture->hosts[i] =
			(roster_host_t){ .id = FIRST_HOST + i,
					 .service_id = SERVICE,
					 .data_centre_id = 100 + i / 2 };
	fixture->service =
		(table_service_t){ .id = SERVICE, .connections = connections };
	fixture->route.id = ROUTE;
	fixture->customer.id = CUSTOMER;
	fixture->table = (table_t){ .data_centres = fixture->dcs,
				    .data_centre_count = DCS,
				    .services = &fixture->service,
				    .service_count = 1,
				    .routes = &fixture->route,
				    .route_count = 1,
				    .customers = &fixture->customer,
				    .customer_count = 1 };
	fixture->roster =
		(roster_t){ .hosts = fixture->hosts, .host_count = HOSTS };
	fixture->routing =
		routing_create(fixture, fixture->clock,
			       cas_rng_create(fixture, 1), NULL, NULL);
	return fixture;
}

/* Sets the view of a host in region 200 that is not an upstream. */
static void set_view(fixture_t *fixture)
{
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 100),
			 0);
}

/* Limits a route or customer to count regions from the one of an index on. */
static void limit(name_list_t *list, size_t first, size_t count)
{
	*list = (name_list_t){ .ids = region_ids + first, .count = count };
}

/* Picks many times, with and without last resort, and returns the regions that
 * were chosen as a set of bits by index. */
static unsigned int picked_regions(fixture_t *fixture,
				   const routing_query_t *query)
{
	unsigned int regions = 0;

	for (int i = 0; i < PICKS; i++) {
		routing_query_t attempt = *query;
		routing_choice_t choice;

		attempt.last_resort = i % 2;
		if (!routing_pick(fixture->routing, &attempt, &choice))
			regions |= 1U << (choice.host - FIRST_HOST) / 2;
	}
	return regions;
}

static const routing_query_t limited_query = { .service = SERVICE,
					       .route = ROUTE,
					       .customer = CUSTOMER };

static void finish_all(fixture_t *fixture, size_t first, size_t count,
		       routing_outcome_t outcome)
{
	const routing_result_t result = { .outcome = outcome,
					  .busy_permille = -1 };

	for (size_t i = first; i < first + count; i++) {
		routing_begin(fixture->routing, FIRST_HOST + i);
		routing_finish(fixture->routing, FIRST_HOST + i, &result);
	}
}

/* Guards against a route or customer whose requests leave its regions. */
static void test_lists_bind(void **state)
{
	fixture_t *fixture = create_fixture(0);
	const routing_query_t other = { .service = SERVICE, .route = 1 };

	(void)state;
	limit(&fixture->route.regions, 1, 1);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 1U << 1);
	assert_true(picked_regions(fixture, &other) & 1);
	limit(&fixture->route.regions, 0, 0);
	limit(&fixture->customer.regions, 2, 1);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 1U << 2);
	limit(&fixture->route.regions, 1, 2);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 1U << 2);
	talloc_free(fixture);
}

/* Guards against two lists of which only one binds, and against a choice where
 * they have no region in common. */
static void test_no_common_region(void **state)
{
	fixture_t *fixture = create_fixture(0);

	(void)state;
	limit(&fixture->route.regions, 0, 1);
	limit(&fixture->customer.regions, 1, 2);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 0);
	talloc_free(fixture);
}

/* Guards against a retry or last resort that leaves the regions because the
 * allowed upstreams were tried, are ejected or cannot be reached. */
static void test_last_resort_stays(void **state)
{
	fixture_t *fixture = create_fixture(0);
	const cas_id_t tried[] = { FIRST_HOST, FIRST_HOST + 1 };
	routing_query_t query = limited_query;

	(void)state;
	limit(&fixture->customer.regions, 0, 1);
	set_view(fixture);
	query.exclude = tried;
	query.exclude_count = 2;
	assert_int_equal(picked_regions(fixture, &query), 0);
	query.exclude_count = 1;
	assert_int_equal(picked_regions(fixture, &query), 1);
	finish_all(fixture, 0, 2, ROUTING_UNREACHABLE);
	assert_int_equal(picked_regions(fixture, &limited_query) & ~1U, 0);
	for (size_t i = 0; i < 2; i++)
		fixture->hosts[i].leaving = true;
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 0);
	talloc_free(fixture);
}

/* Guards against a table that comes into force while a request waits: the list
 * with which it was accepted binds as well as the new one. */
static void test_old_list_binds(void **state)
{
	fixture_t *fixture = create_fixture(0);
	routing_query_t query = limited_query;

	(void)state;
	query.regions = region_ids;
	query.region_count = 2;
	limit(&fixture->route.regions, 1, 2);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &query), 1U << 1);
	limit(&fixture->route.regions, 0, 0);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &query) & ~3U, 0);
	query.region_count = 0;
	assert_int_equal(picked_regions(fixture, &query), 0);
	/* The route was removed from the table. */
	fixture->table.route_count = 0;
	set_view(fixture);
	query.region_count = 1;
	assert_int_equal(picked_regions(fixture, &query), 1);
	talloc_free(fixture);
}

/* Guards against a request that is sent to a host which was chosen before the
 * table changed. */
static void test_check_host(void **state)
{
	fixture_t *fixture = create_fixture(0);
	routing_query_t query = { .service = SERVICE };

	(void)state;
	set_view(fixture);
	assert_int_equal(routing_check_host(fixture->routing, &limited_query,
					    FIRST_HOST),
			 0);
	assert_int_equal(
		routing_check_host(fixture->routing, &limited_query, 7), 0);
	limit(&fixture->route.regions, 1, 1);
	set_view(fixture);
	assert_int_equal(routing_check_host(fixture->routing, &limited_query,
					    FIRST_HOST),
			 ROUTING_EREGION);
	assert_int_equal(routing_check_host(fixture->routing, &limited_query,
					    FIRST_HOST + 2),
			 0);
	assert_int_equal(
		routing_check_host(fixture->routing, &limited_query, 7),
		ROUTING_EREGION);
	assert_int_equal(
		routing_check_host(fixture->routing, &query, FIRST_HOST), 0);
	query.regions = region_ids + 2;
	query.region_count = 1;
	assert_int_equal(
		routing_check_host(fixture->routing, &query, FIRST_HOST),
		ROUTING_EREGION);
	assert_int_equal(routing_own_region(fixture->routing), OWN_REGION);
	talloc_free(fixture);
}

/* Guards against a new list that does not bind because the rest of the view
 * could not be taken over. */
static void test_list_binds_on_error(void **state)
{
	fixture_t *fixture = create_fixture(0);

	(void)state;
	set_view(fixture);
	limit(&fixture->route.regions, 1, 1);
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, 1, 99),
			 ROUTING_ESELF);
	assert_int_equal(picked_regions(fixture, &limited_query), 1U << 1);
	talloc_free(fixture);
}

/* Guards against an upstream whose data centre has no known region: it is in no
 * allowed one. */
static void test_unknown_region(void **state)
{
	fixture_t *fixture = create_fixture(0);

	(void)state;
	for (size_t i = 0; i < HOSTS; i++)
		fixture->hosts[i].data_centre_id = 7;
	limit(&fixture->route.regions, 0, DCS);
	set_view(fixture);
	assert_int_equal(picked_regions(fixture, &limited_query), 0);
	talloc_free(fixture);
}

/* Guards against limited requests that are rejected because the subset of this
 * daemon has no upstream in their region. The bound on connections is so low
 * that few daemons get any. */
static void test_subset_reaches_region(void **state)
{
	fixture_t *fixture = create_fixture(1);

	(void)state;
	for (size_t i = 0; i < DCS; i++) {
		limit(&fixture->route.regions, i, 1);
		set_view(fixture);
		assert_int_equal(picked_regions(fixture, &limited_query),
				 1U << i);
	}
	talloc_free(fixture);
}

/* Sets which data centre is evacuated, by index; -1: none. */
static void evacuate(fixture_t *fixture, int dc)
{
	static cas_id_t id;

	id = dc < 0 ? 0 : 100 + (cas_id_t)dc;
	fixture->roster.evacuated =
		(name_list_t){ .ids = &id, .count = dc < 0 ? 0 : 1 };
	set_view(fixture);
}

/* Guards against a choice of an upstream that is evacuated: on its own host, as
 * the last resort, or because the allowed regions have no other one. */
static void test_evacuation(void **state)
{
	fixture_t *fixture = create_fixture(0);
	const routing_query_t query = { .service = SERVICE };

	(void)state;
	evacuate(fixture, 0);
	assert_int_equal(picked_regions(fixture, &query) & 1, 0);
	assert_true(picked_regions(fixture, &query));
	assert_int_equal(routing_set_view(fixture->routing, &fixture->table,
					  &fixture->roster, FIRST_HOST, 100),
			 0);
	assert_int_equal(picked_regions(fixture, &query) & 1, 0);
	finish_all(fixture, 2, 4, ROUTING_REFUSED);
	assert_int_equal(picked_regions(fixture, &query) & 1, 0);
	limit(&fixture->route.regions, 0, 1);
	evacuate(fixture, 0);
	assert_int_equal(picked_regions(fixture, &limited_query), 0);
	evacuate(fixture, -1);
	assert_int_equal(picked_regions(fixture, &limited_query), 1);
	talloc_free(fixture);
}

/* Guards against a request that is sent to a host which was chosen before its
 * data centre was evacuated. */
static void test_check_evacuated_host(void **state)
{
	fixture_t *fixture = create_fixture(0);
	const routing_query_t query = { .service = SERVICE };

	(void)state;
	evacuate(fixture, -1);
	assert_int_equal(
		routing_check_host(fixture->routing, &query, FIRST_HOST), 0);
	evacuate(fixture, 0);
	assert_int_equal(
		routing_check_host(fixture->routing, &query, FIRST_HOST),
		ROUTING_EEVACUATED);
	assert_int_equal(
		routing_check_host(fixture->routing, &query, FIRST_HOST + 2),
		0);
	assert_int_equal(routing_check_host(fixture->routing, &query, 7), 0);
	talloc_free(fixture);
}

/* Guards against full load on upstreams that may have become cold during an
 * evacuation. The daemon is in data centre 102; the other two are equally far. */
static void test_slow_start_after_evacuation(void **state)
{
	static const cas_id_t own_dc[] = { FIRST_HOST + 4, 1 };
	fixture_t *fixture = create_fixture(0);
	const routing_query_t query = { .service = SERVICE,
					.exclude = own_dc,
					.exclude_count = 2 };
	int picks = 0;

	(void)state;
	for (size_t i = 0; i < DCS; i++)
		fixture->dcs[i].region_id = OWN_REGION;
	fixture->hosts[HOSTS - 1].id = 1;
	set_view(fixture);
	cas_clock_advance(fixture->clock, 60 * CAS_USEC_PER_SEC);
	evacuate(fixture, 0);
	cas_clock_advance(fixture->clock, 60 * CAS_USEC_PER_SEC);
	evacuate(fixture, -1);
	for (int i = 0; i < PICKS; i++) {
		routing_choice_t choice;

		assert_int_equal(
			routing_pick(fixture->routing, &query, &choice), 0);
		picks += choice.host < FIRST_HOST + 2;
	}
	assert_true(picks < PICKS / 4);
	talloc_free(fixture);
}

/* Guards against requests that are rejected because the subset of this daemon
 * has only evacuated upstreams. */
static void test_subset_beside_evacuation(void **state)
{
	fixture_t *fixture = create_fixture(1);
	const routing_query_t query = { .service = SERVICE };

	(void)state;
	for (int i = 0; i < DCS; i++) {
		evacuate(fixture, i);
		assert_true(picked_regions(fixture, &query));
	}
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lists_bind),
		cmocka_unit_test(test_no_common_region),
		cmocka_unit_test(test_last_resort_stays),
		cmocka_unit_test(test_old_list_binds),
		cmocka_unit_test(test_check_host),
		cmocka_unit_test(test_list_binds_on_error),
		cmocka_unit_test(test_unknown_region),
		cmocka_unit_test(test_subset_reaches_region),
		cmocka_unit_test(test_evacuation),
		cmocka_unit_test(test_check_evacuated_host),
		cmocka_unit_test(test_slow_start_after_evacuation),
		cmocka_unit_test(test_subset_beside_evacuation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
