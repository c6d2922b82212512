/* Tests of the timers on the monotonic clock. */
#include "cassia/test.h"

#include <sys/time.h>
#include <time.h>

#include "cassia/clock.h"
#include "cassia/timer.h"

static long wall_step_s;

/* Takes the place of the C library's function for tevent as well. */
int gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
	struct timespec ts;

	(void)tz;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec + wall_step_s;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

static void count(void *private)
{
	(*(int *)private)++;
}

/* Guards against work that stops when the wall clock is set back. */
static void test_fires_after_the_wall_clock_is_set_back(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	int fired = 0;
	cas_timer_t *timer = cas_timer_create(ev, ev, count, &fired);

	(void)state;
	cas_timer_arm(timer, 20 * CAS_USEC_PER_MSEC);
	wall_step_s = -3600;
	tevent_loop_once(ev);
	assert_int_equal(fired, 1);
	cas_timer_arm(timer, 0);
	tevent_loop_once(ev);
	assert_int_equal(fired, 2);
	wall_step_s = 0;
	talloc_free(ev);
}

/* Guards against a timer that fires by its former arming, or when off. */
static void test_last_arming_counts(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	cas_clock_t *clock = cas_clock_create_real(ev);
	int64_t start = cas_clock_now(clock);
	int first = 0;
	int second = 0;
	cas_timer_t *off = cas_timer_create(ev, ev, count, &first);
	cas_timer_t *late = cas_timer_create(ev, ev, count, &second);

	(void)state;
	cas_timer_arm(off, CAS_USEC_PER_MSEC);
	cas_timer_disarm(off);
	cas_timer_arm(late, CAS_USEC_PER_MSEC);
	cas_timer_arm(late, 30 * CAS_USEC_PER_MSEC);
	while (!second)
		tevent_loop_once(ev);
	assert_int_equal(first, 0);
	assert_int_equal(second, 1);
	assert_true(cas_clock_now(clock) - start >= 30 * CAS_USEC_PER_MSEC);
	talloc_free(ev);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fires_after_the_wall_clock_is_set_back),
		cmocka_unit_test(test_last_arming_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
