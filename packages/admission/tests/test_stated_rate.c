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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_syntax),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
