/* Tests of the thresholds at the entry daemon. */
#include "cassia/test.h"

#include "cassia/thresholds.h"

#define HALF 0x80000000u

static thresholds_t *learned(cas_clock_t *clock, double fraction)
{
	thresholds_t *thresholds = thresholds_create(clock, clock);

	for (int i = 0; i < 20; i++)
		thresholds_learn(thresholds, 1, 5, 7, fraction);
	return thresholds;
}

/* Guards against hops that decide differently about one draw, and against
 * one customer's threshold used for another. */
static void test_draw_decides(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = learned(clock, 0.5);

	(void)state;
	assert_true(thresholds_check(thresholds, 1, 5, 7, HALF - 10000));
	assert_false(thresholds_check(thresholds, 1, 5, 7, HALF + 10000));
	assert_true(thresholds_check(thresholds, 1, 5, 8, UINT32_MAX));
	assert_true(thresholds_check(thresholds, 1, 6, 7, UINT32_MAX));
	assert_true(thresholds_check(thresholds, 2, 5, 7, UINT32_MAX));
	talloc_free(clock);
}

/* Guards against early rejections that are reported twice or not at all. */
static void test_early_counts(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = learned(clock, 0);
	thresholds_early_t early[2];

	(void)state;
	for (int i = 0; i < 3; i++)
		assert_false(thresholds_check(thresholds, 1, 5, 7, HALF));
	assert_int_equal(thresholds_take_early(thresholds, 2, early, 2), 0);
	assert_int_equal(thresholds_take_early(thresholds, 1, early, 2), 1);
	assert_int_equal(early[0].count, 3);
	assert_int_equal(early[0].customer, 7);
	assert_int_equal(thresholds_take_early(thresholds, 1, early, 2), 0);
	talloc_free(clock);
}

/* Guards against a threshold that outlives the overload, and against a decay
 * that opens to a flood at once. */
static void test_decay(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = learned(clock, 0.02);

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

/* Guards against more refreshing requests than one in 100 ms. */
static void test_probe(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	thresholds_t *thresholds = learned(clock, 0);
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
		cmocka_unit_test(test_draw_decides),
		cmocka_unit_test(test_early_counts),
		cmocka_unit_test(test_decay),
		cmocka_unit_test(test_probe),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
