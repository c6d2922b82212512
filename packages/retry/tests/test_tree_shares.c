/* Tests what an entry daemon starts by the shares that it has learned. */
#include "cassia/test.h"

#include "cassia/tree_shares.h"

#define KIND 5
#define HIGH 15
#define LOW 9
#define STEP_US (100 * CAS_USEC_PER_MSEC)

typedef struct fixture {
	cas_clock_t *clock;
	tree_shares_t *shares;
} fixture_t;

static fixture_t *create(void)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	fixture->clock = cas_clock_create_manual(fixture, CAS_USEC_PER_SEC);
	fixture->shares = tree_shares_create(fixture, fixture->clock);
	return fixture;
}

static void learn(fixture_t *fixture, int32_t importance, double share,
		  int steps)
{
	for (int i = 0; i < steps; i++) {
		tree_shares_learn(fixture->shares, KIND, importance, share);
		cas_clock_advance(fixture->clock, STEP_US);
	}
}

/* Guards against rejecting trees of which nothing is known. */
static void test_unknown_trees_start(void **state)
{
	fixture_t *fixture = create();

	(void)state;
	assert_true(
		tree_shares_include(fixture->shares, KIND, LOW, UINT32_MAX));
	learn(fixture, HIGH, 1, 3);
	tree_shares_learn(fixture->shares, KIND, HIGH, 0.0 / 0.0);
	tree_shares_learn(fixture->shares, KIND, HIGH, -1);
	tree_shares_learn(fixture->shares, KIND, -1, 0);
	tree_shares_learn(fixture->shares, KIND, 16, 0);
	assert_true(tree_shares_get(fixture->shares, KIND, HIGH) == 1);
	assert_true(tree_shares_get(fixture->shares, KIND, LOW) == 1);
	talloc_free(fixture);
}

/* Guards against starting less important trees again and again, because no
 * outcome of theirs says that there are no repeats for them. */
static void test_less_important_trees_wait(void **state)
{
	fixture_t *fixture = create();

	(void)state;
	for (int i = 0; i < 30; i++) {
		learn(fixture, HIGH, 0.5, 1);
		if (i < 5)
			continue;
		assert_true(tree_shares_get(fixture->shares, KIND, HIGH) < 0.6);
		assert_true(tree_shares_get(fixture->shares, KIND, HIGH) > 0.4);
		assert_true(tree_shares_get(fixture->shares, KIND, LOW) < 0.02);
	}
	/* Other kinds of trees may not need the service. */
	assert_true(tree_shares_get(fixture->shares, KIND + 1, LOW) == 1);
	talloc_free(fixture);
}

/* Guards against a share that stays low when the rejections have ended. */
static void test_all_trees_start_afterwards(void **state)
{
	fixture_t *fixture = create();

	(void)state;
	learn(fixture, LOW, 0, 20);
	learn(fixture, HIGH, 0.5, 20);
	learn(fixture, HIGH, 1, 20);
	assert_true(tree_shares_get(fixture->shares, KIND, HIGH) > 0.99);
	assert_true(tree_shares_get(fixture->shares, KIND, LOW) > 0.3);
	cas_clock_advance(fixture->clock, CAS_USEC_PER_SEC);
	assert_true(tree_shares_get(fixture->shares, KIND, LOW) == 1);
	talloc_free(fixture);
}

/* Guards against a share of the last disturbance that limits the next hours,
 * when no outcomes arrive. */
static void test_stale_shares_rise(void **state)
{
	fixture_t *fixture = create();

	(void)state;
	learn(fixture, HIGH, 0, 30);
	assert_true(tree_shares_get(fixture->shares, KIND, HIGH) < 0.01);
	cas_clock_advance(fixture->clock, 3 * CAS_USEC_PER_SEC);
	assert_true(tree_shares_get(fixture->shares, KIND, HIGH) == 1);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unknown_trees_start),
		cmocka_unit_test(test_less_important_trees_wait),
		cmocka_unit_test(test_all_trees_start_afterwards),
		cmocka_unit_test(test_stale_shares_rise),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
