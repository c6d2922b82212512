/* Tests of the reported load: its syntax, how far it is believed, and what the
 * senders are told. */
#include "simulated_upstream.h"

#include <stdio.h>

static load_report_t parse(const char *text)
{
	return load_report_parse(cas_str_from_cstr(text));
}

/* Guards against a value that is taken from a malformed or wrong field. */
static void test_syntax(void **state)
{
	static const char *const invalid[] = {
		"",
		"3",
		"3,0",
		"3,0,",
		",0,8",
		"3,,8",
		"3,0,8,",
		"3,0,8,100,",
		"3,0,8,1,1",
		"-1,0,8",
		"3,0,-8",
		"3,0,8,-100",
		"+3,0,8",
		" 3,0,8",
		"3, 0,8",
		"3;0;8",
		"3,0,8,0",
		"3,0,0",
		"3,0,8,1e2",
		"3,0,8,10001",
		"100001,0,8",
		"3,0,8,100.0",
		"0x3,0,8",
		"a,b,c",
		"3,0,8 ",
		"3,0,8,nan",
		"99999999999999999999,0,8",
	};
	load_report_t report = parse("3,0,8");

	(void)state;
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_false(parse(invalid[i]).known);
	assert_true(report.known);
	assert_int_equal(report.running, 3);
	assert_int_equal(report.slots, 8);
	assert_int_equal(report.slowdown, 0);
	report = parse("0,12,100000,10000");
	assert_true(report.known);
	assert_int_equal(report.waiting, 12);
	assert_int_equal(report.slowdown, 10000);
}

/* Runs load for time_us, with a report of the slowdown every 10 ms. */
static void run_reporting(site_t *site, int64_t time_us, int32_t slowdown)
{
	for (int64_t t = 0; t < time_us; t += 10 * MS) {
		const load_report_t report = { .known = true,
					       .slots = SLOTS,
					       .slowdown = slowdown };

		admission_note_load(site->admission, &report);
		simulate(site, 10 * MS);
	}
}

static site_t *create_loaded(void)
{
	site_t *site = site_create(&unbounded);

	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = FULL_RATE * 0.5;
	return site;
}

/* Guards against a report that is used after it has become old. */
static void test_age(void **state)
{
	site_t *site = create_loaded();

	(void)state;
	run_reporting(site, 5 * SECOND, 160);
	assert_int_equal(admission_load(site->admission, 1).slowdown, 160);
	simulate(site, SECOND);
	assert_int_equal(admission_load(site->admission, 1).slowdown, 0);
	talloc_free(site);
}

/* Guards against a report of a much faster or slower host than the responses
 * show, and against doubt in a true one. */
static void test_plausibility(void **state)
{
	site_t *site = create_loaded();

	(void)state;
	run_reporting(site, 10 * SECOND, 160);
	run_reporting(site, 100 * MS, 16);
	assert_int_equal(admission_load(site->admission, 1).slowdown, 0);
	run_reporting(site, 100 * MS, 1600);
	assert_int_equal(admission_load(site->admission, 1).slowdown, 0);
	assert_int_equal(admission_refused_reports(site->admission), 20);
	for (int i = 0; i < 20; i++) {
		site->slow_factor = 2.5;
		run_reporting(site, 600 * MS, 400);
		assert_int_equal(admission_load(site->admission, 1).slowdown,
				 400);
		site->slow_factor = 1;
		run_reporting(site, 3400 * MS, 160);
	}
	assert_int_equal(admission_refused_reports(site->admission), 20);
	talloc_free(site);
}

/* Guards against a usual time that counts the fixed speed of the machine twice
 * together with the slowdown. */
static void test_own_time(void **state)
{
	site_t *site = create_loaded();
	admission_load_t load;

	(void)state;
	site->slow_factor = 1.6;
	run_reporting(site, 10 * SECOND, 160);
	load = admission_load(site->admission, 1);
	assert_in_range(load.own_us, SERVICE_US * 9 / 10, SERVICE_US * 11 / 10);
	simulate(site, SECOND);
	load = admission_load(site->admission, 1);
	assert_in_range(load.own_us, SERVICE_US * 9 / 10 * 16 / 10,
			SERVICE_US * 11 / 10 * 16 / 10);
	talloc_free(site);
}

/* Guards against a slow machine that gets fewer requests than it has slots:
 * requests that wait here instead are not served earlier. */
static void test_slowdown_keeps_limit(void **state)
{
	site_t *site = create_loaded();
	int32_t limit;

	(void)state;
	run_reporting(site, 12 * SECOND, 100);
	limit = admission_limit(site->admission);
	site->slow_factor = 2.5;
	run_reporting(site, 600 * MS, 250);
	assert_int_equal(admission_limit(site->admission), limit);
	talloc_free(site);
}

/* Guards against requests that wait in an upstream with fewer slots than the
 * host list states, and against a limit that follows a false report. */
static void test_fewer_slots(void **state)
{
	const load_report_t report = { .known = true,
				       .running = 2,
				       .waiting = 5,
				       .slots = 2,
				       .slowdown = 100 };
	site_t *site = create_loaded();

	(void)state;
	run_reporting(site, 12 * SECOND, 100);
	admission_note_load(site->admission, &report);
	simulate(site, 100 * MS);
	assert_int_equal(admission_limit(site->admission), SLOTS * 95 / 100);
	site->slots = 2;
	site->rate_per_s = FULL_RATE * 2;
	for (int i = 0; i < 50; i++) {
		admission_note_load(site->admission, &report);
		simulate(site, 10 * MS);
	}
	assert_int_equal(admission_limit(site->admission), 1);
	simulate(site, SECOND);
	assert_int_equal(admission_limit(site->admission), SLOTS * 95 / 100);
	talloc_free(site);
}

/* Guards against senders that learn nothing of a queue, of refusals or of the
 * bound of a cold upstream. */
static void test_told_load(void **state)
{
	site_t *site = create_loaded();
	admission_load_t load;

	(void)state;
	simulate(site, 12 * SECOND);
	load = admission_load(site->admission, 1);
	assert_true(load.room >= 1);
	assert_int_equal(load.wait_us, 0);
	assert_int_equal(load.refused_permille, 0);
	assert_false(load.warming_up);
	site->rate_per_s = FULL_RATE * 4;
	simulate(site, 2 * SECOND);
	load = admission_load(site->admission, 1);
	assert_int_equal(load.room, 0);
	assert_in_range(load.wait_us, 20 * MS, 400 * MS);
	assert_in_range(load.refused_permille, 600, 900);
	restart_daemon(site, &bounded);
	load = admission_load(site->admission, 1);
	assert_true(load.warming_up);
	assert_int_equal(load.room, 0);
	assert_in_range(load.wait_us, 10 * MS, 100 * MS);
	talloc_free(site);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_syntax),
		cmocka_unit_test(test_age),
		cmocka_unit_test(test_plausibility),
		cmocka_unit_test(test_own_time),
		cmocka_unit_test(test_slowdown_keeps_limit),
		cmocka_unit_test(test_fewer_slots),
		cmocka_unit_test(test_told_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
