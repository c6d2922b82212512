/* Tests of the time after which refused callers are told to return. */
#include "cassia/test.h"

#include "cassia/clock.h"
#include "cassia/return_time.h"

#define MS CAS_USEC_PER_MSEC
#define DRAWS 2000
#define BINS 10

/* Guards against a time that the caller cannot use: it gives up, or returns too
 * late for another attempt. */
static void test_usable(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);

	(void)state;
	for (int i = 0; i < DRAWS; i++) {
		int64_t time_us = return_time_choose(rng, CAS_USEC_PER_SEC,
						     900 * MS, false);

		assert_in_range(time_us, 150 * MS, 300 * MS);
	}
	assert_int_equal(return_time_choose(rng, 1, 59 * MS, false),
			 RETURN_TIME_NONE);
	assert_int_equal(return_time_choose(rng, 1, -MS, false),
			 RETURN_TIME_NONE);
	talloc_free(rng);
}

/* Guards against callers that were refused together and return together. */
static void test_spread(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);
	int bins[BINS] = { 0 };

	(void)state;
	for (int i = 0; i < DRAWS; i++) {
		int64_t time_us = return_time_choose(
			rng, 100 * MS, 10 * CAS_USEC_PER_SEC, false);

		assert_in_range(time_us, 50 * MS, 150 * MS);
		bins[(time_us - 50 * MS) * BINS / (100 * MS + 1)]++;
	}
	for (int i = 0; i < BINS; i++)
		assert_in_range(bins[i], DRAWS / BINS / 2, DRAWS / BINS * 2);
	talloc_free(rng);
}

/* Guards against callers that return before a quota has a token again. */
static void test_not_before(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);

	(void)state;
	for (int i = 0; i < DRAWS; i++)
		assert_in_range(return_time_choose(rng, 100 * MS,
						   10 * CAS_USEC_PER_SEC, true),
				100 * MS, 150 * MS);
	talloc_free(rng);
}

/* Guards against a time that does not depend on how much is admitted. */
static void test_when_shed(void **state)
{
	(void)state;
	assert_int_equal(return_time_when_shed(1), 200 * MS);
	assert_int_equal(return_time_when_shed(0.5), 400 * MS);
	assert_int_equal(return_time_when_shed(0), 2 * CAS_USEC_PER_SEC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usable),
		cmocka_unit_test(test_spread),
		cmocka_unit_test(test_not_before),
		cmocka_unit_test(test_when_shed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
