/* Tests of the one-shot timers. */
#include "cassia/test.h"

#include <sys/time.h>
#include <time.h>

#include "cassia/clock.h"
#include "cassia/timer.h"

/* Offset of the simulated wall clock from the real one in seconds. */
static long wall_clock_offset_s;

/* Replaces the function of the C library, also for tevent, to simulate setting
 * the wall clock. */
int gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
	struct timespec ts;

	(void)tz;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec + wall_clock_offset_s;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

/* Timer handler: counts its calls. */
static void count_call(void *private_data)
{
	(*(int *)private_data)++;
}

/* Guards against timers that use the wall clock, as those of tevent do: after
 * it is set back they do not fire until it has reached their time again. */
static void test_fires_after_the_wall_clock_is_set_back(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	int fired = 0;
	cas_timer_t *timer = cas_timer_create(ev, ev, count_call, &fired);

	(void)state;
	cas_timer_arm(timer, 20 * CAS_USEC_PER_MSEC);
	wall_clock_offset_s = -3600;
	tevent_loop_once(ev);
	assert_int_equal(fired, 1);
	cas_timer_arm(timer, 0);
	tevent_loop_once(ev);
	assert_int_equal(fired, 2);
	wall_clock_offset_s = 0;
	talloc_free(ev);
}

/* Guards against a timer that fires at the time of an earlier arming, or when
 * it is disarmed. The descriptor stays armed for the earlier time in both
 * cases. */
static void test_last_arming_applies(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	cas_clock_t *clock = cas_clock_create_real(ev);
	int64_t start = cas_clock_now(clock);
	int disarmed_count = 0;
	int rearmed_count = 0;
	cas_timer_t *disarmed =
		cas_timer_create(ev, ev, count_call, &disarmed_count);
	cas_timer_t *rearmed =
		cas_timer_create(ev, ev, count_call, &rearmed_count);

	(void)state;
	cas_timer_arm(disarmed, CAS_USEC_PER_MSEC);
	cas_timer_disarm(disarmed);
	cas_timer_arm(rearmed, CAS_USEC_PER_MSEC);
	cas_timer_arm(rearmed, 30 * CAS_USEC_PER_MSEC);
	while (!rearmed_count)
		tevent_loop_once(ev);
	assert_int_equal(disarmed_count, 0);
	assert_int_equal(rearmed_count, 1);
	assert_true(cas_clock_now(clock) - start >= 30 * CAS_USEC_PER_MSEC);
	talloc_free(ev);
}

static void free_timer(void *private)
{
	cas_timer_t **timer = private;

	TALLOC_FREE(*timer);
}

static void set_flag(struct tevent_context *ev, struct tevent_timer *timer,
		     struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	*(bool *)private = true;
}

/* Guards against a use of a timer that its handler has freed, and against an
 * event loop that spins because a timer that its handler does not arm again, or
 * that was disarmed, is reported as expired again and again. */
static void test_expired_timer_is_quiet(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	int fired = 0;
	bool over = false;
	int rounds = 0;
	cas_timer_t *once = cas_timer_create(ev, ev, count_call, &fired);
	cas_timer_t *disarmed = cas_timer_create(ev, ev, count_call, &fired);
	cas_timer_t *freed = NULL;

	(void)state;
	freed = cas_timer_create(ev, ev, free_timer, &freed);
	cas_timer_arm(once, CAS_USEC_PER_MSEC);
	cas_timer_arm(disarmed, CAS_USEC_PER_MSEC);
	cas_timer_disarm(disarmed);
	cas_timer_arm(freed, CAS_USEC_PER_MSEC);
	assert_non_null(tevent_add_timer(
		ev, ev, tevent_timeval_current_ofs(0, 50000), set_flag, &over));
	for (; !over; rounds++)
		tevent_loop_once(ev);
	assert_int_equal(fired, 1);
	assert_null(freed);
	assert_in_range(rounds, 2, 10);
	talloc_free(ev);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fires_after_the_wall_clock_is_set_back),
		cmocka_unit_test(test_last_arming_applies),
		cmocka_unit_test(test_expired_timer_is_quiet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
