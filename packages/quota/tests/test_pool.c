/* Tests of admission within a tolerance: a fleet of 12 daemons on one clock. */
#include "cassia/test.h"

#define HOSTS 12
#define DCS 4
#define DCS_PER_REGION 2
#define RATE 48 /* tokens a second */
#define BURST 24 /* tokens */
#define TOLERANCE_TOKENS 12

#include "pool_fleet.h"

static void set_all(double *rate, double value)
{
	for (size_t i = 0; i < HOSTS; i++)
		rate[i] = value;
}

/* Guards against refusals from one second after a start on, at a load inside
 * the rate. */
static void test_serves_soon_after_start(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	set_all(rate, RATE * 0.6 / HOSTS);
	run(f, rate, CAS_USEC_PER_SEC);
	f->refused = 0;
	run(f, rate, 5 * CAS_USEC_PER_SEC);
	assert_int_equal(f->refused, 0);
}

/* Guards against more admissions than the bound when every daemon is flooded,
 * and when all daemons restart during the flood. */
static void test_flood(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	set_all(rate, 0);
	run(f, rate, 10 * CAS_USEC_PER_SEC);
	set_all(rate, RATE);
	run(f, rate, 8 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < HOSTS; i++)
		start_node(f, i);
	run(f, rate, 8 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->admitted > RATE * 15);
}

/* Guards against refusals of a customer inside its rate whose requests all
 * come to one daemon. */
static void test_load_at_one_daemon(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS] = { [3] = RATE * 0.9 };

	run(f, rate, 2 * CAS_USEC_PER_SEC);
	f->refused = 0;
	f->admitted = 0;
	run(f, rate, 10 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->refused * 50 <= f->admitted);
}

/* Guards against exceeding the bound while daemons cannot reach each other. */
static void test_partition(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	set_all(rate, RATE);
	run(f, rate, 3 * CAS_USEC_PER_SEC);
	for (size_t i = 0; i < HOSTS / 2; i++)
		f->nodes[i].partitioned = true;
	run(f, rate, 10 * CAS_USEC_PER_SEC);
	check_bound(f);
	assert_true(f->admitted > RATE * 9);
}

/* Guards against a flood of requests that causes a flood of messages. */
static void test_messages_in_a_flood(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];

	set_all(rate, RATE * 4);
	run(f, rate, 5 * CAS_USEC_PER_SEC);
	f->asks = 0;
	run(f, rate, 10 * CAS_USEC_PER_SEC);
	/* A round asks at most 20 hosts, and rounds are two seconds apart: six
	 * rounds in ten seconds at most. */
	assert_true(f->asks <= (size_t)HOSTS * 20 * 6);
}

/* Guards against a daemon that never sleeps again because the only request that
 * waited for a token was cancelled. */
static void test_cancelled_request(void **state)
{
	fixture_t *f = *state;
	quota_t *quota = f->nodes[0].quota;
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;

	assert_int_equal(
		quota_acquire(quota, CUSTOMER,
			      cas_clock_now(f->clock) + CAS_USEC_PER_SEC,
			      on_done, &f->nodes[0], &pending, &retry_after_us),
		QUOTA_PENDING);
	quota_cancel(pending);
	quota_tick(quota);
	assert_true(quota_next_due(quota) > cas_clock_now(f->clock));
}

/* Guards against a lowered limit that takes effect late. */
static void test_lowered_limit(void **state)
{
	fixture_t *f = *state;
	double rate[HOSTS];
	size_t before;

	set_all(rate, RATE);
	run(f, rate, 5 * CAS_USEC_PER_SEC);
	f->customer.rate_micro = RATE * QUOTA_TOKEN / 8;
	f->customer.burst_micro = BURST * QUOTA_TOKEN / 8;
	f->table.revision = 2;
	for (size_t i = 0; i < HOSTS; i++)
		quota_set_view(f->nodes[i].quota, &f->table, &f->roster);
	before = f->admitted;
	run(f, rate, WINDOW_S * CAS_USEC_PER_SEC);
	assert_true(f->admitted - before <=
		    (size_t)((RATE * WINDOW_S + BURST) / 8.0 *
			     (1 + TOLERANCE_FRACTION)) +
			    TOLERANCE_TOKENS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_serves_soon_after_start,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_flood, setup, teardown),
		cmocka_unit_test_setup_teardown(test_load_at_one_daemon, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_partition, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_messages_in_a_flood, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_cancelled_request, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_lowered_limit, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
