/* Tests of the escrow budget, the brake and the decision. */
#include "cassia/test.h"

#include "cassia/retry.h"

#define DEPTH 6
#define BUDGET 5

/* Makes the call and all retries over a chain in which every try fails.
 * lost says whether responses are lost. Returns the retries made. */
static int call(retry_budget_t *budget, int depth, bool lost)
{
	int retries = 0;

	for (;;) {
		int32_t granted = retry_budget_split(budget);
		retry_budget_t child = retry_budget_of(granted);

		if (depth > 1)
			retries += call(&child, depth - 1, lost);
		if (!lost)
			retry_budget_return(budget, granted, child.left);
		if (!retry_budget_consume(budget))
			return retries;
		retries++;
	}
}

/* Guards against retries that multiply over a deep chain. */
static void test_chain_keeps_the_bound(void **state)
{
	(void)state;
	for (int units = 0; units <= BUDGET; units++) {
		retry_budget_t budget = retry_budget_of(units);

		assert_int_equal(call(&budget, DEPTH, false), units);
		assert_int_equal(budget.left, 0);
	}
}

/* Guards against units that come back although the answer was lost. */
static void test_lost_answers_return_nothing(void **state)
{
	(void)state;
	for (int units = 0; units <= BUDGET; units++) {
		retry_budget_t budget = retry_budget_of(units);

		assert_true(call(&budget, DEPTH, true) <= units);
		assert_int_equal(budget.left, 0);
	}
}

/* Guards against a peer that reports more unspent units than it got. */
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

/* Guards against retries above a tenth of first attempts in a window. */
static void test_brake_holds_a_tenth(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	retry_brake_t *brake = retry_brake_create(clock, clock);
	int taken = 0;

	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_int_equal(retry_brake_first(brake, 1), 0);
	for (int i = 0; i < 1000; i++)
		taken += retry_brake_take(brake, 1);
	assert_int_equal(taken, 100);
	assert_false(retry_brake_take(brake, 2));
	/* A smaller share, for chains in which repeats make repeats. */
	retry_brake_set(brake, 20);
	assert_false(retry_brake_take(brake, 1));
	for (int i = 0; i < 1020; i++)
		assert_int_equal(retry_brake_first(brake, 1), 0);
	assert_true(retry_brake_take(brake, 1));
	assert_false(retry_brake_take(brake, 1));
	/* First attempts that left the window no longer count. */
	cas_clock_advance(clock, 11 * CAS_USEC_PER_SEC);
	assert_false(retry_brake_take(brake, 1));
	talloc_free(clock);
}

/* Guards against repeating what may have run, and against retries that
 * cannot finish in time. */
static void test_decisions(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 0);
	retry_brake_t *brake = retry_brake_create(clock, clock);
	retry_budget_t budget = retry_budget_of(1);
	retry_query_t query = { .service = 1,
				.outcome = RETRY_OUTCOME_UNKNOWN,
				.other_host = true,
				.deadline_us = 1000,
				.typical_us = 400 };

	(void)state;
	for (int i = 0; i < 100; i++)
		(void)retry_brake_first(brake, 1);
	assert_int_equal(retry_decide(&query, &budget, brake, 0),
			 RETRY_NO_OUTCOME);
	query.idempotent = true;
	assert_int_equal(retry_decide(&query, &budget, brake, 600),
			 RETRY_NO_DEADLINE);
	query.response_started = true;
	assert_int_equal(retry_decide(&query, &budget, brake, 0),
			 RETRY_NO_OUTCOME);
	query.response_started = false;
	assert_int_equal(retry_decide(&query, &budget, brake, 0), RETRY_GO);
	assert_int_equal(retry_decide(&query, &budget, brake, 0),
			 RETRY_NO_BUDGET);
	query.idempotent = false;
	query.outcome = RETRY_OUTCOME_NOT_RUN;
	budget = retry_budget_of(1);
	assert_int_equal(retry_decide(&query, &budget, brake, 0), RETRY_GO);
	query.service = 2;
	budget = retry_budget_of(1);
	assert_int_equal(retry_decide(&query, &budget, brake, 0),
			 RETRY_NO_BRAKE);
	assert_int_equal(budget.left, 1);
	talloc_free(clock);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_chain_keeps_the_bound),
		cmocka_unit_test(test_lost_answers_return_nothing),
		cmocka_unit_test(test_return_is_bounded),
		cmocka_unit_test(test_brake_holds_a_tenth),
		cmocka_unit_test(test_decisions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
