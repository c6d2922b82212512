/*
 * Tests of admission within a tolerance in a large fleet: 95 daemons on one
 * clock, with the requests of a small customer at a quarter of them.
 */
#include "cassia/test.h"

#define HOSTS 95
#define DCS 9
#define DCS_PER_REGION 3
#define RATE 10 /* tokens a second */
#define BURST 10 /* tokens */
#define TOLERANCE_TOKENS 20

#include "pool_fleet.h"

#define ACTIVE_HOSTS 24
/* Load of a surge that stays inside the tolerance: in each window it is
 * RATE * WINDOW_S * SURGE_FACTOR requests, less than rate and burst together. */
#define SURGE_FACTOR 1.2

/* Sets the load of ACTIVE_HOSTS hosts, spread over all data centres. */
static void set_active(double *rate, double total)
{
	for (size_t i = 0; i < HOSTS; i++)
		rate[i] = 0;
	for (size_t i = 0; i < ACTIVE_HOSTS; i++)
		rate[i * HOSTS / ACTIVE_HOSTS] = total / ACTIVE_HOSTS;
}

/* Guards against refusals in a surge that lasts longer than the burst: the
 * tokens of the tolerance must not be lost because they have to be saved up by
 * daemons that get no requests (bench, bursts of 16 s on the large site). The
 * bound is the target for goodput in a surge. */
static void test_surge_inside_the_tolerance(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	f->random_arrivals = true;
	set_active(rate, RATE * 0.6);
	run(f, rate, 5 * CAS_USEC_PER_SEC);
	f->refused = 0;
	f->admitted = 0;
	set_active(rate, RATE * SURGE_FACTOR);
	run(f, rate, 16 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->refused * 20 <= f->admitted);
}

/* Guards against refusals of a customer inside its rate, with the target for
 * wrongful rejections. */
static void test_load_inside_the_rate(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	f->random_arrivals = true;
	set_active(rate, RATE * 0.9);
	run(f, rate, 2 * CAS_USEC_PER_SEC);
	f->refused = 0;
	f->admitted = 0;
	run(f, rate, 120 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->refused * 1000 <= f->admitted);
}

/* Puts a multiple of the customer's limit in force. */
static void set_limit(fixture_t *f, int factor)
{
	f->customer.rate_micro = (int64_t)factor * RATE * QUOTA_TOKEN;
	f->customer.burst_micro = (int64_t)factor * BURST * QUOTA_TOKEN;
	f->table.revision++;
	for (size_t i = 0; i < HOSTS; i++)
		quota_set_view(f->nodes[i].quota, &f->table, &f->roster);
}

/* Guards against refusals inside the limit in the seconds after it has changed:
 * the number of keepers follows the limit (bench, quota lowered on quiet-1 of
 * swarmline-ga). */
static void test_changed_limit(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];
	const int factors[] = { 1, 6 };

	f->random_arrivals = true;
	set_limit(f, 6);
	set_active(rate, RATE * 6 * 0.8);
	run(f, rate, 3 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < 2; i++) {
		set_limit(f, factors[i]);
		set_active(rate, RATE * factors[i] * 0.8);
		run(f, rate, CAS_USEC_PER_SEC);
		f->refused = 0;
		f->admitted = 0;
		run(f, rate, 8 * CAS_USEC_PER_SEC);
		assert_true(f->refused * 1000 <= f->admitted);
	}
}

/* Guards against a customer that gets no burst after a pause. */
static void test_burst_after_a_pause(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	f->random_arrivals = true;
	set_active(rate, 0);
	run(f, rate, 5 * CAS_USEC_PER_SEC);
	set_active(rate, BURST);
	run(f, rate, CAS_USEC_PER_SEC);
	assert_int_equal(f->refused, 0);
}

/* Guards against more admissions than the bound in a flood that comes to few
 * daemons after a pause, and to all of them later. */
static void test_flood_of_a_large_fleet(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	f->random_arrivals = true;
	set_active(rate, 0);
	run(f, rate, 10 * CAS_USEC_PER_SEC);
	set_active(rate, RATE * 10);
	run(f, rate, 8 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < HOSTS; i++)
		start_node(f, i);
	run(f, rate, 8 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < HOSTS; i++)
		rate[i] = RATE;
	run(f, rate, 8 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->admitted > (size_t)RATE * 24);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_surge_inside_the_tolerance,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_load_inside_the_rate,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_changed_limit, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_burst_after_a_pause, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_flood_of_a_large_fleet,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
