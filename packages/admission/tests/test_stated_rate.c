/* Tests of the request rate that an upstream states: its syntax, and how the
 * controller keeps it. */
#include "simulated_upstream.h"

#include "cassia/stated_rate.h"

/* Guards against a rate that is taken from malformed text. */
static void test_syntax(void **state)
{
	static const char *const invalid[] = { "",     "-1",   "+1",   ".5",
					       "5.",   "1e3",  "0x10", "nan",
					       "inf",  "1,5",  "1 5",  " 15",
					       "15/s", "1.2.3" };
	double rate = -1;

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_false(stated_rate_parse(cas_str_from_cstr(invalid[i]),
					       &rate));
	assert_true(rate == -1);
	assert_true(stated_rate_parse(CAS_STR("15.6"), &rate));
	assert_true(rate > 15.59 && rate < 15.61);
	assert_true(stated_rate_parse(CAS_STR("0"), &rate));
	assert_true(rate == 0);
	assert_true(
		stated_rate_parse(CAS_STR("99999999999999999999999"), &rate));
	assert_true(rate == STATED_RATE_MAX);
}

/* Runs the load for time_us. Every response states the rate; a negative one is
 * not stated. Returns the most arrivals at the upstream in any 4 s. */
static size_t run_stating(site_t *site, int64_t time_us, double rate)
{
	size_t begin = site->arrival_count;
	size_t first = begin;
	size_t most = 0;

	for (int64_t t = 0; t < time_us; t += 10 * MS) {
		int served = site->served;

		simulate(site, 10 * MS);
		if (site->served > served && rate >= 0)
			admission_note_rate(site->admission, rate);
		else if (site->served > served)
			admission_note_no_rate(site->admission);
	}
	for (size_t i = begin; i < site->arrival_count; i++) {
		while (site->arrivals[i] - site->arrivals[first] > 4 * SECOND)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

static site_t *create_loaded(void)
{
	site_t *site = site_create(NULL);

	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = 100;
	simulate(site, 2 * SECOND);
	assert_true(served_in_second(site) >= 95);
	return site;
}

/* Guards against more requests than the upstream states, and against much
 * fewer. */
static void test_rate_is_kept(void **state)
{
	static const double rates[] = { 1, 2.5, 15.6, 60 };

	(void)state;
	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		site_t *site = create_loaded();
		size_t allowed = (size_t)(4 * rates[i]);

		admission_note_rate(site->admission, rates[i]);
		/* Requests that were queued before. */
		simulate(site, SECOND);
		assert_in_range(run_stating(site, 8 * SECOND, rates[i]),
				allowed * 9 / 10, allowed * 11 / 10 + 4);
		assert_true(site->refused > 0);
		assert_int_equal(site->last_reason, ADMISSION_REASON_RATE);
		talloc_free(site);
	}
}

/* Guards against an upstream that gets nothing any more because it stated 0: it
 * could not state another rate. */
static void test_rate_of_0(void **state)
{
	site_t *site = create_loaded();

	(void)state;
	admission_note_rate(site->admission, 0);
	simulate(site, SECOND);
	assert_in_range(run_stating(site, 16 * SECOND, 0), 1, 2);
	/* A start that was due at the low rate does not hold up a higher one. */
	assert_true(run_stating(site, 8 * SECOND, 50) > 4 * 40);
	talloc_free(site);
}

/* Guards against a limit that is lifted by a single response without a rate, and
 * against one that stays after responses stopped stating it. */
static void test_rate_no_longer_stated(void **state)
{
	site_t *site = create_loaded();

	(void)state;
	admission_note_rate(site->admission, 10);
	simulate(site, SECOND);
	(void)run_stating(site, 2 * SECOND, 10);
	admission_note_no_rate(site->admission);
	assert_true(admission_rate(site->admission) == 10);
	(void)run_stating(site, 2 * SECOND, -1);
	assert_true(admission_rate(site->admission) < 0);
	assert_true(served_in_second(site) >= 90);
	talloc_free(site);
}

/* Guards against a high rate that limits an upstream, and against the rate of a
 * former run. */
static void test_rate_without_effect(void **state)
{
	site_t *site = create_loaded();

	(void)state;
	admission_note_rate(site->admission, STATED_RATE_MAX);
	(void)run_stating(site, 2 * SECOND, STATED_RATE_MAX);
	assert_true(served_in_second(site) >= 95);
	admission_note_rate(site->admission, 1);
	admission_clear_rate(site->admission);
	assert_true(served_in_second(site) >= 95);
	talloc_free(site);
}

/* Guards against senders that are not told of a rate: they would go on sending
 * and be refused. */
static void test_rate_is_told(void **state)
{
	site_t *site = create_loaded();
	int32_t usual_limit = admission_limit(site->admission);

	(void)state;
	admission_note_rate(site->admission, 5);
	(void)run_stating(site, SECOND, 5);
	assert_true(admission_load(site->admission, 1).rate_limited);
	assert_true(admission_limit(site->admission) < usual_limit);
	assert_int_equal(admission_limit(site->admission), 1);
	for (int i = 0; i < 4; i++)
		(void)offer(site);
	assert_int_equal(admission_load(site->admission, 1).room, 0);
	assert_true(admission_load(site->admission, 1).wait_us > 100 * MS);
	assert_true(admission_busy_permille(site->admission) >= 1000);
	talloc_free(site);
}

/* Guards against a rate that takes the place of the bound of a cold upstream. */
static void test_rate_while_cold(void **state)
{
	site_t *site = site_create(&bounded);

	(void)state;
	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = 100;
	restart_upstream(site);
	admission_note_rate(site->admission, 80);
	(void)run_stating(site, 2 * SECOND, 80);
	assert_true(site->worst_window <= COLD_RATE);
	talloc_free(site);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_syntax),
		cmocka_unit_test(test_rate_is_kept),
		cmocka_unit_test(test_rate_of_0),
		cmocka_unit_test(test_rate_no_longer_stated),
		cmocka_unit_test(test_rate_without_effect),
		cmocka_unit_test(test_rate_is_told),
		cmocka_unit_test(test_rate_while_cold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
