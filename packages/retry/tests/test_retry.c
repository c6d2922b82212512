/* Tests the retry budget, the rate limit and the decision about a retry. */
#include "cassia/test.h"

#include "cassia/retry.h"

#define CHAIN_DEPTH 6 /* calls */
#define BUDGET_UNITS_MAX 5 /* largest budget that is tested */

/* Simulates a call chain of the given depth in which every attempt fails, with
 * all retries. Returns the number of retries at all levels. */
static int call(retry_budget_t *budget, int depth, bool responses_lost)
{
	int retries = 0;

	for (;;) {
		int32_t granted = retry_budget_split(budget);
		retry_budget_t child = retry_budget_of(granted);

		if (depth > 1)
			retries += call(&child, depth - 1, responses_lost);
		if (!responses_lost)
			retry_budget_return(budget, granted, child.left);
		if (!retry_budget_consume(budget))
			return retries;
		retries++;
	}
}

/* Guards against retries that multiply along a deep call chain. */
static void test_retries_bounded_over_chain(void **state)
{
	(void)state;
	for (int units = 0; units <= BUDGET_UNITS_MAX; units++) {
		retry_budget_t budget = retry_budget_of(units);

		assert_int_equal(call(&budget, CHAIN_DEPTH, false), units);
		assert_int_equal(budget.left, 0);
	}
}

/* Guards against units that are spent twice: those sent with an attempt whose
 * response is lost may have been spent, so they are not returned. */
static void test_lost_responses_return_no_units(void **state)
{
	(void)state;
	for (int units = 0; units <= BUDGET_UNITS_MAX; units++) {
		retry_budget_t budget = retry_budget_of(units);

		assert_true(call(&budget, CHAIN_DEPTH, true) <= units);
		assert_int_equal(budget.left, 0);
	}
}

/* Guards against a peer that reports more unspent units than it received, or a
 * negative number. */
static void test_return_is_bounded(void **state)
{
	retry_budget_t budget = retry_budget_of(2);
	int32_t granted = retry_budget_split(&budget);

	(void)state;
	retry_budget_return(&budget, granted, 1000);
	assert_int_equal(budget.left, 2);
	retry_budget_return(&budget, granted, -7);
	assert_int_equal(budget.left, 2);
}

/* Guards against retries above the configured fraction of the first attempts in
 * the window. */
static void test_retry_ratio_in_window(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	retry_throttle_t *throttle = retry_throttle_create(clock, clock);
	int allowed = 0;

	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_int_equal(retry_throttle_count_first(throttle, 1), 0);
	for (int i = 0; i < 1000; i++)
		allowed += retry_throttle_allow_retry(throttle, 1);
	assert_int_equal(allowed, 100);
	assert_false(retry_throttle_allow_retry(throttle, 2));
	/* One retry per 20 first attempts. */
	retry_throttle_set_ratio(throttle, 20);
	assert_false(retry_throttle_allow_retry(throttle, 1));
	for (int i = 0; i < 1020; i++)
		assert_int_equal(retry_throttle_count_first(throttle, 1), 0);
	assert_true(retry_throttle_allow_retry(throttle, 1));
	assert_false(retry_throttle_allow_retry(throttle, 1));
	/* First attempts that have left the window do not count. */
	cas_clock_advance(clock, 11 * CAS_USEC_PER_SEC);
	assert_false(retry_throttle_allow_retry(throttle, 1));
	talloc_free(clock);
}

/* Guards against retries of requests that may have run and are not idempotent,
 * and against retries that cannot finish before the deadline, are not covered
 * by the budget or exceed the rate limit. */
static void test_decisions(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	retry_throttle_t *throttle = retry_throttle_create(clock, clock);
	retry_budget_t budget = retry_budget_of(1);
	retry_query_t query = { .service = 1,
				.outcome = RETRY_OUTCOME_UNKNOWN,
				.other_host = true,
				.deadline_us = 1000,
				.expected_duration_us = 400 };

	(void)state;
	for (int i = 0; i < 100; i++)
		(void)retry_throttle_count_first(throttle, 1);
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_NOT_REPEATABLE);
	query.idempotent = true;
	assert_int_equal(retry_decide(&query, &budget, throttle, 600),
			 RETRY_TOO_LATE);
	query.response_started = true;
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_NOT_REPEATABLE);
	query.response_started = false;
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_ALLOWED);
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_NO_BUDGET);
	query.idempotent = false;
	query.outcome = RETRY_OUTCOME_NOT_RUN;
	budget = retry_budget_of(1);
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_ALLOWED);
	query.service = 2;
	budget = retry_budget_of(1);
	assert_int_equal(retry_decide(&query, &budget, throttle, 0),
			 RETRY_THROTTLED);
	assert_int_equal(budget.left, 1);
	talloc_free(clock);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retries_bounded_over_chain),
		cmocka_unit_test(test_lost_responses_return_no_units),
		cmocka_unit_test(test_return_is_bounded),
		cmocka_unit_test(test_retry_ratio_in_window),
		cmocka_unit_test(test_decisions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
