/* Attempts that arrive again, in time and behind their deadline. */
#include "cassia/test.h"

#include "cassia/attempt.h"

#define START (1000 * CAS_USEC_PER_SEC)
#define LIFE CAS_USEC_PER_SEC
#define FORGOTTEN (10 * CAS_USEC_PER_SEC)

static const char id[ATTEMPT_ID_BYTES] = "attempt-0000001";

/* Guards against a second run, and against a false "not run": an attempt that
 * has run must not be told as expired while its sender may wait for it. */
static void test_late_duplicate(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);
	int64_t deadline = START + LIFE;

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, deadline), 0);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	cas_clock_advance(clock, LIFE);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	cas_clock_advance(clock, 4 * CAS_USEC_PER_SEC);
	assert_int_equal(attempt_table_begin(table, id, deadline),
			 ATTEMPT_EDUPLICATE);
	talloc_free(clock);
}

/* Guards against a table that grows without end. */
static void test_forgets(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, START + LIFE), 0);
	cas_clock_advance(clock, FORGOTTEN);
	assert_int_equal(attempt_table_begin(table, id, START + LIFE),
			 ATTEMPT_EEXPIRED);
	assert_int_equal(attempt_table_count(table), 0);
	talloc_free(clock);
}

/* Guards against slots of the wheel that are used twice at once: the longest
 * lifetime must not be forgotten with a deadline a turn earlier. */
static void test_longest_life(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, START);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);
	int64_t deadline = START + ATTEMPT_LIFE_MAX;

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, deadline), 0);
	for (int64_t i = 0; i <= ATTEMPT_LIFE_MAX; i += CAS_USEC_PER_SEC) {
		assert_int_equal(attempt_table_begin(table, id, deadline),
				 ATTEMPT_EDUPLICATE);
		cas_clock_advance(clock, CAS_USEC_PER_SEC);
	}
	talloc_free(clock);
}

/* Guards against slots before the first one on a host that has just booted. */
static void test_young_clock(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 1);
	attempt_table_t *table = attempt_table_create(clock, clock, 10);

	(void)state;
	assert_int_equal(attempt_table_begin(table, id, LIFE), 0);
	cas_clock_advance(clock, FORGOTTEN);
	assert_int_equal(attempt_table_begin(table, id, LIFE),
			 ATTEMPT_EEXPIRED);
	assert_int_equal(attempt_table_count(table), 0);
	talloc_free(clock);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_duplicate),
		cmocka_unit_test(test_forgets),
		cmocka_unit_test(test_longest_life),
		cmocka_unit_test(test_young_clock),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
