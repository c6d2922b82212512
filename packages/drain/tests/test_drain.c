/* Tests of the graceful stop of a daemon and of the drain of its upstream. */
#include "cassia/test.h"

#include "cassia/drain.h"

typedef struct fixture {
	cas_clock_t *clock; /* manual, starts at 0 */
	drain_t *drain;
	int announce_calls;
	int end_intake_calls;
	int stop_listening_calls;
	int give_up_calls;
	int upstream_closed_calls;
	drain_load_t load; /* passed to drain_tick */
	drain_state_t finished_state; /* DRAIN_SERVING: not called */
} fixture_t;

static void on_announce(void *private_data)
{
	((fixture_t *)private_data)->announce_calls++;
}

static void on_end_intake(void *private_data)
{
	((fixture_t *)private_data)->end_intake_calls++;
}

static void on_stop_listening(void *private_data)
{
	((fixture_t *)private_data)->stop_listening_calls++;
}

static void on_give_up(void *private_data)
{
	((fixture_t *)private_data)->give_up_calls++;
}

static void on_finished(void *private_data, drain_state_t state)
{
	((fixture_t *)private_data)->finished_state = state;
}

static void on_upstream_closed(void *private_data)
{
	((fixture_t *)private_data)->upstream_closed_calls++;
}

static const drain_ops_t ops = {
	.announce = on_announce,
	.end_intake = on_end_intake,
	.stop_listening = on_stop_listening,
	.give_up = on_give_up,
	.finished = on_finished,
	.upstream_closed = on_upstream_closed,
};

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->clock = cas_clock_create_manual(f, 0);
	f->drain = drain_create(f, f->clock, &ops, f);
	f->load.connections_idle = true;
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
	drain_tick(f->drain, &f->load);
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
	assert_int_equal(f->finished_state, DRAIN_SERVING);
}

/* Guards against an exit that aborts requests in flight. */
static void test_exit_waits_for_requests(void **state)
{
	fixture_t *f = *state;

	f->load.inflight = 2;
	drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000);
	advance(f, 20000000);
	assert_int_equal(f->finished_state, DRAIN_SERVING);
	f->load.inflight = 0;
	advance(f, 1);
	advance(f, 1);
	assert_int_equal(f->finished_state, DRAIN_DONE);
}

/* Guards against a stop that never ends because a request does not, and against
 * one that ends without an answer to it. */
static void test_stop_times_out(void **state)
{
	fixture_t *f = *state;

	f->load.inflight = 1;
	drain_begin(f->drain, DRAIN_GOAL_STOP, 5000000);
	advance(f, 5000000 - DRAIN_GIVE_UP_US - 1);
	assert_int_equal(f->give_up_calls, 0);
	advance(f, 1);
	assert_int_equal(f->give_up_calls, 1);
	assert_int_equal(f->finished_state, DRAIN_SERVING);
	advance(f, DRAIN_GIVE_UP_US);
	assert_int_equal(f->give_up_calls, 1);
	assert_int_equal(f->finished_state, DRAIN_TIMED_OUT);
}

/* Guards against an exit without answers after a pause of the process until
 * after the limit, and with a limit of 0. */
static void test_answers_are_sent_after_a_pause(void **state)
{
	static const int64_t limits_us[] = { 0, 5000000 };

	for (size_t i = 0; i < sizeof(limits_us) / sizeof(*limits_us); i++) {
		fixture_t *f = *state;

		*f = (fixture_t){ .clock = f->clock };
		f->drain = drain_create(f->clock, f->clock, &ops, f);
		f->load.inflight = 1;
		drain_begin(f->drain, DRAIN_GOAL_STOP, limits_us[i]);
		advance(f, 7000000);
		assert_int_equal(f->give_up_calls, 1);
		assert_int_equal(f->stop_listening_calls, 1);
		advance(f, DRAIN_GIVE_UP_US - 1);
		assert_int_equal(f->finished_state, DRAIN_SERVING);
		advance(f, 1);
		assert_int_equal(f->finished_state, DRAIN_TIMED_OUT);
	}
}

/* Guards against requests that are accepted until the end of a stop, because
 * connections that are already open stay in use. */
static void test_intake_ends_before_the_connections_close(void **state)
{
	fixture_t *f = *state;

	drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000);
	f->load = (drain_load_t){ .inflight = 1, .connections_idle = false };
	advance(f, DRAIN_STOP_ANNOUNCE_US - 1);
	assert_true(drain_accepts_request(f->drain, 1));
	assert_int_equal(f->end_intake_calls, 0);
	advance(f, 1);
	assert_false(drain_accepts_request(f->drain, 1));
	assert_int_equal(f->end_intake_calls, 1);
	assert_int_equal(f->stop_listening_calls, 0);
	f->load.inflight = 0;
	advance(f, 1);
	assert_int_equal(f->stop_listening_calls, 1);
	assert_int_equal(f->finished_state, DRAIN_SERVING);
	f->load.connections_idle = true;
	advance(f, 1);
	assert_int_equal(f->finished_state, DRAIN_DONE);
}

/* Guards against a request that is accepted although the stop ends before it
 * can be served, whatever the time limit is. */
static void test_request_longer_than_the_stop_is_refused(void **state)
{
	static const int64_t limits_us[] = { 1000000, 3500000, 5000000,
					     60000000 };

	for (size_t i = 0; i < sizeof(limits_us) / sizeof(*limits_us); i++) {
		fixture_t *f = *state;
		drain_t *drain = drain_create(f, f->clock, &ops, f);
		int64_t left_us = limits_us[i] - DRAIN_GIVE_UP_US;

		assert_true(drain_accepts_request(drain, INT64_MAX));
		drain_begin(drain, DRAIN_GOAL_STOP, limits_us[i]);
		assert_true(drain_accepts_request(drain, left_us));
		assert_false(drain_accepts_request(drain, left_us + 1));
		cas_clock_advance(f->clock, limits_us[i] / 4);
		left_us -= limits_us[i] / 4;
		assert_int_equal(drain_deadline(drain),
				 cas_clock_now(f->clock) + left_us);
		assert_false(drain_accepts_request(drain, left_us + 1));
		cas_clock_advance(f->clock, limits_us[i] / 4);
		drain_tick(drain, &(drain_load_t){ .inflight = 1 });
		if (limits_us[i] <= 2 * DRAIN_STOP_ANNOUNCE_US)
			assert_false(drain_accepts_request(drain, 1));
	}
}

/* Guards against a request at the upstream that fails because its daemon, which
 * stops, no longer serves its child calls. */
static void test_child_calls_are_served_while_finishing(void **state)
{
	fixture_t *f = *state;

	f->load.inflight = 1;
	drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000);
	advance(f, 20000000);
	assert_false(drain_accepts_request(f->drain, 1));
	assert_true(drain_accepts_child_call(f->drain));
	assert_true(drain_accepts_upstream_work(f->drain));
	f->load.inflight = 0;
	advance(f, 1);
	assert_false(drain_accepts_child_call(f->drain));
}

/* Guards against requests that may be child calls and are taken until the end of
 * a stop and then cut, because a long request at the upstream keeps the stop
 * waiting. */
static void test_possible_child_call_longer_than_the_stop(void **state)
{
	fixture_t *f = *state;
	int64_t left_us;

	f->load.inflight = 1;
	drain_begin(f->drain, DRAIN_GOAL_STOP, 5000000);
	advance(f, 4000000);
	left_us = 1000000 - DRAIN_GIVE_UP_US;
	assert_true(drain_accepts_possible_child_call(f->drain, left_us / 2));
	assert_false(
		drain_accepts_possible_child_call(f->drain, left_us / 2 + 1));
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
	assert_int_equal(f->end_intake_calls, 0);
	assert_int_equal(f->stop_listening_calls, 0);
	assert_false(drain_accepts_upstream_work(f->drain));
	drain_cancel(f->drain);
	assert_true(drain_accepts_upstream_work(f->drain));
}

/* Guards against work that waits in the queue and reaches the upstream after the
 * announcement. */
static void test_waiting_work_is_given_up_once(void **state)
{
	fixture_t *f = *state;

	f->load.inflight = 1;
	drain_begin(f->drain, DRAIN_GOAL_UPSTREAM, 5000000);
	advance(f, DRAIN_UPSTREAM_ANNOUNCE_US - 1);
	assert_int_equal(f->upstream_closed_calls, 0);
	advance(f, 1);
	assert_int_equal(f->upstream_closed_calls, 1);
	advance(f, 1);
	assert_int_equal(f->upstream_closed_calls, 1);
}

/* Guards against a stop that sends work to an upstream that was closed before,
 * and against one that prolongs the announcement of its drain. */
static void test_stop_does_not_open_the_upstream(void **state)
{
	fixture_t *f = *state;

	f->load.inflight = 1;
	drain_begin(f->drain, DRAIN_GOAL_UPSTREAM, 5000000);
	advance(f, DRAIN_UPSTREAM_ANNOUNCE_US / 2);
	drain_begin(f->drain, DRAIN_GOAL_STOP, 30000000);
	assert_true(drain_accepts_upstream_work(f->drain));
	advance(f, DRAIN_UPSTREAM_ANNOUNCE_US / 2);
	assert_false(drain_accepts_upstream_work(f->drain));
	assert_int_equal(f->upstream_closed_calls, 1);
	assert_true(drain_accepts_request(f->drain, 1));
}

/* Guards against work for an upstream that is gone, and against one that gets
 * none after it has started again. */
static void test_upstream_closes_without_a_drain(void **state)
{
	fixture_t *f = *state;

	drain_close_upstream(f->drain);
	drain_close_upstream(f->drain);
	assert_int_equal(f->upstream_closed_calls, 1);
	assert_false(drain_accepts_upstream_work(f->drain));
	assert_int_equal(drain_state(f->drain), DRAIN_SERVING);
	drain_cancel(f->drain);
	assert_true(drain_accepts_upstream_work(f->drain));
	drain_begin(f->drain, DRAIN_GOAL_UPSTREAM, 5000000);
	drain_close_upstream(f->drain);
	assert_int_equal(f->upstream_closed_calls, 2);
	assert_false(drain_accepts_upstream_work(f->drain));
}

/* Guards against an evacuation that leaves queued work waiting, ends the drain of
 * the upstream when it ends, or is ended by a listing as not leaving. */
static void test_upstream_is_held(void **state)
{
	fixture_t *f = *state;

	drain_hold_upstream(f->drain, true);
	drain_hold_upstream(f->drain, true);
	assert_int_equal(f->upstream_closed_calls, 1);
	assert_false(drain_accepts_upstream_work(f->drain));
	assert_true(drain_accepts_request(f->drain, 1));
	assert_int_equal(drain_state(f->drain), DRAIN_SERVING);
	drain_cancel(f->drain);
	assert_false(drain_accepts_upstream_work(f->drain));
	drain_hold_upstream(f->drain, false);
	assert_true(drain_accepts_upstream_work(f->drain));
	drain_close_upstream(f->drain);
	drain_hold_upstream(f->drain, true);
	drain_hold_upstream(f->drain, false);
	assert_false(drain_accepts_upstream_work(f->drain));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_listeners_stay_open_while_announcing, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_upstream_is_held, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_exit_waits_for_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop_times_out, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_answers_are_sent_after_a_pause, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_intake_ends_before_the_connections_close, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_request_longer_than_the_stop_is_refused, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_child_calls_are_served_while_finishing, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_possible_child_call_longer_than_the_stop, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_second_stop_is_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_upstream_drain_keeps_listening, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_waiting_work_is_given_up_once, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_stop_does_not_open_the_upstream, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_upstream_closes_without_a_drain, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
