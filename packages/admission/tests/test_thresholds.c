/* Tests of the thresholds at the entry daemon. */
#include "cassia/test.h"

#include "cassia/thresholds.h"

#define HALF_DRAW 0x80000000u /* half of the range of draws */

/* Returns thresholds that have learned the fraction for service 1, importance 5
 * and customer 7; they are owned by the clock. */
static thresholds_t *create_learned(cas_clock_t *clock, double fraction)
{
	thresholds_t *thresholds = thresholds_create(clock, clock);

	for (int i = 0; i < 20; i++)
		thresholds_learn(thresholds, 1, 5, 7, fraction);
	return thresholds;
}

/* Guards against a comparison that decides about a draw differently from other
 * daemons, and against using a threshold for another customer, importance or
 * service. */
static void test_draw_comparison(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = create_learned(clock, 0.5);

	(void)state;
	assert_true(thresholds_check(thresholds, 1, 5, 7, HALF_DRAW - 10000));
	assert_false(thresholds_check(thresholds, 1, 5, 7, HALF_DRAW + 10000));
	assert_true(thresholds_check(thresholds, 1, 5, 8, UINT32_MAX));
	assert_true(thresholds_check(thresholds, 1, 6, 7, UINT32_MAX));
	assert_true(thresholds_check(thresholds, 2, 5, 7, UINT32_MAX));
	talloc_free(clock);
}

/* Guards against early rejections that are reported twice or not at all. */
static void test_early_rejection_counts(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = create_learned(clock, 0);
	thresholds_early_rejections_t early[2];

	(void)state;
	for (int i = 0; i < 3; i++)
		assert_false(thresholds_check(thresholds, 1, 5, 7, HALF_DRAW));
	assert_int_equal(
		thresholds_take_early_rejections(thresholds, 2, early, 2), 0);
	assert_int_equal(
		thresholds_take_early_rejections(thresholds, 1, early, 2), 1);
	assert_int_equal(early[0].count, 3);
	assert_int_equal(early[0].customer, 7);
	assert_int_equal(
		thresholds_take_early_rejections(thresholds, 1, early, 2), 0);
	talloc_free(clock);
}

/* Guards against a threshold that stays in force after the overload, and
 * against one that rises so fast that it admits a flood at once. */
static void test_rise_without_updates(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = create_learned(clock, 0.02);

	(void)state;
	cas_clock_advance(clock, 500 * CAS_USEC_PER_MSEC);
	assert_true(thresholds_fraction(thresholds, 1, 5, 7) < 0.05);
	cas_clock_advance(clock, 2 * CAS_USEC_PER_SEC);
	assert_true(thresholds_fraction(thresholds, 1, 5, 7) >= 1);
	thresholds_learn(thresholds, 1, 5, 7, -1);
	thresholds_learn(thresholds, 1, 5, 7, 2);
	assert_true(thresholds_check(thresholds, 1, 5, 7, UINT32_MAX));
	talloc_free(clock);
}

/* Guards against forwarding more than one request in 100 ms to refresh a
 * threshold. */
static void test_refresh_interval(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = create_learned(clock, 0);
	int probes = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		probes += thresholds_probe(thresholds, 1, 5, 7);
		cas_clock_advance(clock, CAS_USEC_PER_MSEC);
	}
	assert_in_range(probes, 8, 10);
	assert_false(thresholds_probe(thresholds, 1, 5, 8));
	talloc_free(clock);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_draw_comparison),
		cmocka_unit_test(test_early_rejection_counts),
		cmocka_unit_test(test_rise_without_updates),
		cmocka_unit_test(test_refresh_interval),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
