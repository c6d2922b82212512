/* Tests attempts that arrive again, before and after their deadline. */
#include "cassia/test.h"

#include "cassia/attempt.h"

#define START_US (1000 * CAS_USEC_PER_SEC)
#define LIFETIME_US CAS_USEC_PER_SEC
/* Later than the deadline plus the retention of 4 s. */
#define AFTER_RETENTION_US (10 * CAS_USEC_PER_SEC)

static const char id[ATTEMPT_ID_BYTES] = "attempt-0000001";

/* Guards against a second run, and against a false "not run": a duplicate of an
 * attempt that has run must not be reported as expired while its sender may
 * still wait for the outcome. */
static void test_late_duplicate(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START_US);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);
	int64_t deadline = START_US + LIFETIME_US;

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, deadline), 0);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	cas_clock_advance(clock, LIFETIME_US);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	cas_clock_advance(clock, 4 * CAS_USEC_PER_SEC);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	talloc_free(clock);
}

/* Guards against a table that grows without bound. */
static void test_forgets_after_retention(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START_US);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, START_US + LIFETIME_US),
			 0);
	cas_clock_advance(clock, AFTER_RETENTION_US);
	assert_int_equal(attempt_table_begin(table, id, START_US + LIFETIME_US),
			 ATTEMPT_EEXPIRED);
	assert_int_equal(attempt_table_count(table), 0);
	talloc_free(clock);
}

/* Guards against a timing wheel that is too short: an attempt with the longest
 * lifetime would share its slot with a deadline one turn earlier and be removed
 * with it. */
static void test_longest_lifetime(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START_US);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);
	int64_t deadline = START_US + ATTEMPT_LIFETIME_MAX_US;

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, deadline), 0);
	for (int64_t i = 0; i <= ATTEMPT_LIFETIME_MAX_US;
	     i += CAS_USEC_PER_SEC) {
		assert_int_equal(attempt_table_begin(table, id, deadline),
				 ATTEMPT_EDUPLICATE);
		cas_clock_advance(clock, CAS_USEC_PER_SEC);
	}
	talloc_free(clock);
}

/* Guards against negative slot numbers on a host that has just booted, where
 * the clock is near 0. */
static void test_clock_near_zero(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 1);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, LIFETIME_US), 0);
	cas_clock_advance(clock, AFTER_RETENTION_US);
	assert_int_equal(attempt_table_begin(table, id, LIFETIME_US),
			 ATTEMPT_EEXPIRED);
	assert_int_equal(attempt_table_count(table), 0);
	talloc_free(clock);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_duplicate),
		cmocka_unit_test(test_forgets_after_retention),
		cmocka_unit_test(test_longest_lifetime),
		cmocka_unit_test(test_clock_near_zero),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
