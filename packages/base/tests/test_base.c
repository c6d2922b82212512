/* Tests of clocks, strings, rendezvous hashing, histograms and metrics. */
#include "cassia/test.h"

#include "cassia/clock.h"
#include "cassia/metrics.h"
#include "cassia/hash.h"
#include "cassia/rng.h"

/* Guards against a manual clock that changes without cas_clock_advance, which
 * would make tests depend on real time. */
static void test_manual_clock_stands_still(void **state)
{
	cas_clock_t *clock = cas_clock_create_manual(NULL, 5);

	(void)state;
	assert_int_equal(cas_clock_now(clock), 5);
	cas_clock_advance(clock, 7);
	assert_int_equal(cas_clock_now(clock), 12);
	talloc_free(clock);
}

/* Guards against quantiles whose error is larger than the width of a bucket. */
static void test_hist_quantile(void **state)
{
	cas_hist_t *hist = cas_hist_create(NULL);

	(void)state;
	for (int i = 1; i <= 1000; i++)
		cas_hist_add(hist, i);
	assert_in_range(cas_hist_quantile(hist, 0.5), 500, 500 + 500 / 16 + 1);
	assert_in_range(cas_hist_quantile(hist, 0.99), 990, 990 + 990 / 16);
	assert_int_equal(cas_hist_count(hist), 1000);
	talloc_free(hist);
}

/* Guards against comparing only the common length, which would make a prefix
 * equal to the longer string. */
static void test_str_order(void **state)
{
	(void)state;
	assert_true(cas_str_compare(CAS_STR("ab"), CAS_STR("abc")) < 0);
	assert_true(cas_str_starts_with(CAS_STR("abc"), CAS_STR("ab")));
	assert_false(cas_str_equal(CAS_STR("ab"), CAS_STR("abc")));
}

/* Guards against the removal of a node that changes the node of keys which were
 * not assigned to the removed one. */
static void test_rendezvous_is_stable(void **state)
{
	const cas_id_t nodes[] = { 11, 12, 13, 14 };

	(void)state;
	for (uint64_t key = 0; key < 200; key++) {
		size_t all = cas_rendezvous_pick(nodes, 4, key);
		size_t fewer = cas_rendezvous_pick(nodes, 3, key);

		if (all < 3)
			assert_int_equal(all, fewer);
	}
}

/* Guards against wrong names, labels, values or bucket counts in the Prometheus
 * text. */
static void test_metrics_text(void **state)
{
	cas_metrics_t *metrics = cas_metrics_create(NULL);
	cas_str_t text;

	(void)state;
	cas_metrics_counter(metrics, "calls", "customer=\"a\"")->value += 3;
	cas_hist_add(cas_metrics_hist(metrics, "latency_us", ""), 120);
	text = cas_metrics_print(metrics, metrics);
	assert_non_null(strstr(text.ptr, "calls{customer=\"a\"} 3\n"));
	assert_non_null(strstr(text.ptr, "latency_us_bucket{le=\"250\"} 1\n"));
	talloc_free(metrics);
}

/* Guards against a set value that is added, and against counters that are made
 * anew for each change. */
static void test_metrics_set_and_increment(void **state)
{
	cas_metrics_t *metrics = cas_metrics_create(NULL);

	(void)state;
	cas_metrics_set(metrics, "queued", "", 5);
	cas_metrics_set(metrics, "queued", "", 2);
	cas_metrics_increment(metrics, "refused", "reason=\"shed\"");
	cas_metrics_increment(metrics, "refused", "reason=\"shed\"");
	assert_int_equal(cas_metrics_counter(metrics, "queued", "")->value, 2);
	assert_int_equal(
		cas_metrics_counter(metrics, "refused", "reason=\"shed\"")
			->value,
		2);
	talloc_free(metrics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_manual_clock_stands_still),
		cmocka_unit_test(test_hist_quantile),
		cmocka_unit_test(test_str_order),
		cmocka_unit_test(test_rendezvous_is_stable),
		cmocka_unit_test(test_metrics_text),
		cmocka_unit_test(test_metrics_set_and_increment),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
