/* Tests of the graceful stop of a daemon and of the drain of its upstream. */
#include "cassia/test.h"

#include "cassia/drain.h"

typedef struct fixture {
	cas_clock_t *clock; /* manual, starts at 0 */
	drain_t *drain;
	int announce_calls;
	int stop_listening_calls;
	drain_state_t finished_state; /* DRAIN_SERVING: not called */
} fixture_t;

static void on_announce(void *private_data)
{
	((fixture_t *)private_data)->announce_calls++;
}

static void on_stop_listening(void *private_data)
{
	((fixture_t *)private_data)->stop_listening_calls++;
}

static void on_finished(void *private_data, drain_state_t state)
{
	((fixture_t *)private_data)->finished_state = state;
}

static const drain_ops_t ops = {
	.announce = on_announce,
	.stop_listening = on_stop_listening,
	.finished = on_finished,
};

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->clock = cas_clock_create_manual(f, 0);
	f->drain = drain_create(f, f->clock, &ops, f);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

/* Advances the clock by us microseconds and ticks. */
static void advance(fixture_t *f, int64_t us)
{
	cas_clock_advance(f->clock, us);
	drain_tick(f->drain);
}

/* Guards against closing the listeners while peers that have not yet learnt of
 * the stop still send work. */
static void test_listeners_stay_open_while_announcing(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000), 0);
	advance(f, DRAIN_STOP_ANNOUNCE_US - 1);
	assert_int_equal(f->announce_calls, 1);
	assert_int_equal(f->stop_listening_calls, 0);
	assert_true(drain_accepts_upstream_work(f->drain));
	advance(f, 1);
	assert_int_equal(f->stop_listening_calls, 1);
}

/* Guards against an exit that aborts requests in flight. */
static void test_exit_waits_for_requests(void **state)
{
	fixture_t *f = *state;

	drain_set_inflight(f->drain, 2);
	drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000);
	advance(f, 20000000);
	assert_int_equal(f->finished_state, DRAIN_SERVING);
	drain_set_inflight(f->drain, 0);
	advance(f, 1);
	assert_int_equal(f->finished_state, DRAIN_DONE);
}

/* Guards against a stop that never ends because a request does not. */
static void test_stop_times_out(void **state)
{
	fixture_t *f = *state;

	drain_set_inflight(f->drain, 1);
	drain_begin(f->drain, DRAIN_GOAL_STOP, 5000000);
	advance(f, 5000000);
	assert_int_equal(f->finished_state, DRAIN_TIMED_OUT);
}

/* Guards against a second signal that restarts the announcement, and against a
 * stop that can be cancelled. */
static void test_second_stop_is_refused(void **state)
{
	fixture_t *f = *state;

	drain_begin(f->drain, DRAIN_GOAL_STOP, 5000000);
	assert_int_equal(drain_begin(f->drain, DRAIN_GOAL_STOP, 1),
			 DRAIN_EALREADY);
	drain_cancel(f->drain);
	assert_int_equal(drain_state(f->drain), DRAIN_ANNOUNCING);
}

/* Guards against closing the daemon's listeners when only its upstream drains,
 * and against rejecting new work for the upstream too early or too late. */
static void test_upstream_drain_keeps_listening(void **state)
{
	fixture_t *f = *state;

	drain_begin(f->drain, DRAIN_GOAL_UPSTREAM, 5000000);
	advance(f, DRAIN_UPSTREAM_ANNOUNCE_US - 1);
	assert_true(drain_accepts_upstream_work(f->drain));
	/* Users allow 2 s; a benchmark run with 3 s exceeded this. */
	advance(f, 1);
	assert_int_equal(f->stop_listening_calls, 0);
	assert_false(drain_accepts_upstream_work(f->drain));
	drain_cancel(f->drain);
	assert_true(drain_accepts_upstream_work(f->drain));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_listeners_stay_open_while_announcing, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_exit_waits_for_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop_times_out, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_second_stop_is_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_upstream_drain_keeps_listening, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
