/*
 * Tests the plan of retries with a leaf service that rejects 55% of its arrivals
 * for 8.5 s, as an outage of a real deployment did. A root request makes four
 * calls to the leaf, one after the other, and fails with the first that fails.
 */
#include "cassia/test.h"

#include <stdio.h>
#include <stdlib.h>

#include "cassia/retry_plan.h"
#include "cassia/rng.h"

#define LEAF 7
#define STEP_US (10 * CAS_USEC_PER_MSEC)
#define RATIO 0.2
#define WINDOW_US (10 * CAS_USEC_PER_SEC)
#define CALLS_PER_TREE 4
#define CALL_TRIES_MAX 8
#define REJECTED_SHARE 0.55
#define OUTAGE_START_US (25 * CAS_USEC_PER_SEC)
#define OUTAGE_END_US (OUTAGE_START_US + 8500 * CAS_USEC_PER_MSEC)
#define END_US (45 * CAS_USEC_PER_SEC)
/* Trees that may be lost while the outage is being noticed. */
#define NOTICE_US (1500 * CAS_USEC_PER_MSEC)
#define TREES_LOG_MAX 400000

/* A kind of request trees. */
typedef struct kind {
	int32_t importance;
	double per_step; /* offered */
	/* In the outage, after it was noticed. */
	unsigned int offered;
	unsigned int started;
	unsigned int completed;
	unsigned int completed_after; /* and offered_after: once it is over */
	unsigned int offered_after;
} kind_t;

/* When calls and repeats arrived, to check every window. */
typedef struct arrival_log {
	int64_t *call_us;
	size_t calls;
	int64_t *repeat_us;
	size_t repeats;
} arrival_log_t;

typedef struct world {
	cas_clock_t *clock;
	cas_rng_t *rng;
	retry_plan_t *plan;
	bool planned; /* false: one retry for 20 calls, no early rejection */
	arrival_log_t log;
	kind_t kinds[2];
	unsigned int wasted_calls; /* accepted calls of trees that failed */
	unsigned int accepted_calls;
	unsigned int changes; /* reported by the plan */
} world_t;

static void on_changed(void *private, const retry_plan_state_t *state,
		       bool limited)
{
	world_t *world = private;

	assert_int_equal(state->service, LEAF);
	assert_int_equal(limited, world->changes % 2 == 0);
	assert_int_equal(limited, state->lowest_share < 1);
	world->changes++;
}

static const retry_plan_ops_t ops = { .changed = on_changed };

static world_t *create_world(bool planned)
{
	world_t *world = talloc_zero(NULL, world_t);

	world->clock = cas_clock_create_manual(world, 1000 * CAS_USEC_PER_SEC);
	world->rng = cas_rng_create(world, 11);
	world->plan =
		retry_plan_create(world, world->clock, RATIO, &ops, world);
	world->planned = planned;
	world->log.call_us = talloc_array(world, int64_t, TREES_LOG_MAX);
	world->log.repeat_us = talloc_array(world, int64_t, TREES_LOG_MAX);
	/* Shares of orders and look-ups as in that deployment. */
	world->kinds[0] = (kind_t){ .importance = 14, .per_step = 3 };
	world->kinds[1] = (kind_t){ .importance = 8, .per_step = 7.8 };
	return world;
}

static int64_t elapsed_us(const world_t *world)
{
	return cas_clock_now(world->clock) - 1000 * CAS_USEC_PER_SEC;
}

static bool in_outage(const world_t *world)
{
	return elapsed_us(world) >= OUTAGE_START_US &&
	       elapsed_us(world) < OUTAGE_END_US;
}

static bool may_repeat(world_t *world, const retry_call_t *call)
{
	if (world->planned)
		return retry_plan_allow_repeat(world->plan, call);
	return cas_rng_double(world->rng) < 1.0 / 20;
}

/* Returns whether a call to the leaf succeeds, with its repeats. */
static bool call_leaf(world_t *world, const retry_call_t *call)
{
	retry_plan_count_call(world->plan, call);
	world->log.call_us[world->log.calls++] = cas_clock_now(world->clock);
	for (int tries = 1;; tries++) {
		bool rejected = in_outage(world) &&
				cas_rng_double(world->rng) < REJECTED_SHARE;

		retry_plan_record_arrival(world->plan, call, rejected);
		if (!rejected)
			return true;
		if (tries == CALL_TRIES_MAX || !may_repeat(world, call))
			return false;
		world->log.repeat_us[world->log.repeats++] =
			cas_clock_now(world->clock);
	}
}

static void run_tree(world_t *world, kind_t *kind)
{
	const retry_call_t call = {
		.service = LEAF,
		.importance = kind->importance,
		.draw = (uint32_t)(cas_rng_u64(world->rng) >> 32),
	};
	int64_t now_us = elapsed_us(world);
	bool counts = in_outage(world) && now_us >= OUTAGE_START_US + NOTICE_US;
	bool after = now_us >= OUTAGE_END_US + NOTICE_US;
	unsigned int calls = 0;

	kind->offered += counts;
	kind->offered_after += after;
	if (world->planned && !retry_plan_includes(world->plan, &call))
		return;
	kind->started += counts;
	while (calls < CALLS_PER_TREE && call_leaf(world, &call))
		calls++;
	if (counts)
		world->accepted_calls += calls;
	if (calls < CALLS_PER_TREE) {
		if (counts)
			world->wasted_calls += calls;
		return;
	}
	kind->completed += counts;
	kind->completed_after += after;
}

static void run(world_t *world)
{
	while (elapsed_us(world) < END_US) {
		for (int i = 0; i < 2; i++) {
			kind_t *kind = &world->kinds[i];
			double trees = kind->per_step;

			while (trees > cas_rng_double(world->rng)) {
				run_tree(world, kind);
				trees--;
			}
		}
		cas_clock_advance(world->clock, STEP_US);
	}
}

static double share(unsigned int part, unsigned int whole)
{
	return whole ? (double)part / whole : 1;
}

static void print_world(const world_t *world, const char *name)
{
	for (int i = 0; i < 2; i++)
		printf("%s importance=%d completed=%.3f started=%.3f\n", name,
		       world->kinds[i].importance,
		       share(world->kinds[i].completed,
			     world->kinds[i].offered),
		       share(world->kinds[i].started, world->kinds[i].offered));
	printf("%s wasted_calls=%.3f\n", name,
	       share(world->wasted_calls, world->accepted_calls));
}

static size_t count_between(const int64_t *times, size_t count, int64_t from_us,
			    int64_t to_us)
{
	size_t found = 0;

	for (size_t i = 0; i < count; i++)
		found += times[i] >= from_us && times[i] < to_us;
	return found;
}

/* Asserts that repeats stay below the limit in every window of 10 s, compared
 * with the calls of that window, of the one before it, or of the one half a
 * window before it. */
static void assert_limit_holds(const world_t *world)
{
	const arrival_log_t *log = &world->log;
	int64_t start_us = 1000 * CAS_USEC_PER_SEC;

	for (int64_t end_us = start_us + WINDOW_US; end_us < start_us + END_US;
	     end_us += 100 * CAS_USEC_PER_MSEC) {
		size_t repeats = count_between(log->repeat_us, log->repeats,
					       end_us - WINDOW_US, end_us);
		size_t most = 0;

		for (int64_t back_us = 0; back_us <= WINDOW_US;
		     back_us += WINDOW_US / 2) {
			size_t calls = count_between(
				log->call_us, log->calls,
				end_us - back_us - WINDOW_US, end_us - back_us);

			most = calls > most ? calls : most;
		}
		assert_true((double)repeats <= RATIO * (double)most);
	}
}

/* Guards against starting trees that cannot be completed: when the leaf rejects
 * half of its arrivals, evenly spread retries complete hardly any tree. */
static void test_important_trees_are_completed(void **state)
{
	world_t *before = create_world(false);
	world_t *planned = create_world(true);
	const kind_t *orders = &planned->kinds[0];

	(void)state;
	run(before);
	run(planned);
	print_world(before, "before");
	print_world(planned, "planned");
	assert_true(share(orders->completed, orders->offered) >
		    3 * share(before->kinds[0].completed,
			      before->kinds[0].offered));
	/* A started tree is completed. */
	assert_true(share(orders->completed, orders->started) > 0.9);
	assert_true(share(planned->wasted_calls, planned->accepted_calls) <
		    0.05);
	/* The less important kind is not completed more often. */
	assert_true(
		share(planned->kinds[1].completed, planned->kinds[1].offered) <=
		share(orders->completed, orders->offered));
	talloc_free(before);
	talloc_free(planned);
}

/* Guards against more repeats than the fleet allows, in any window. */
static void test_limit_holds_in_every_window(void **state)
{
	world_t *world = create_world(true);

	(void)state;
	run(world);
	assert_limit_holds(world);
	talloc_free(world);
}

/* Guards against rejecting trees after the outage. */
static void test_all_trees_start_after_the_outage(void **state)
{
	world_t *world = create_world(true);

	(void)state;
	run(world);
	for (int i = 0; i < 2; i++)
		assert_true(share(world->kinds[i].completed_after,
				  world->kinds[i].offered_after) > 0.999);
	assert_int_equal(world->changes, 2);
	talloc_free(world);
}

/* Guards against early rejections where few calls are rejected, or where
 * nothing is known yet. */
static void test_few_rejections_limit_nothing(void **state)
{
	world_t *world = create_world(true);
	const retry_call_t call = { .service = LEAF, .importance = 8 };

	(void)state;
	assert_true(retry_plan_share(world->plan, LEAF, 8) == 1);
	for (int i = 0; i < 2000; i++) {
		retry_plan_count_call(world->plan, &call);
		retry_plan_record_arrival(world->plan, &call, i % 10 == 0);
		cas_clock_advance(world->clock, STEP_US / 5);
		assert_true(retry_plan_share(world->plan, LEAF, 8) == 1);
	}
	assert_true(retry_plan_allow_repeat(world->plan, &call));
	talloc_free(world);
}

/* Guards against rejecting all trees where the settings state no limit. */
static void test_without_ratio_no_tree_is_rejected(void **state)
{
	world_t *world = create_world(true);
	retry_plan_t *plan =
		retry_plan_create(world, world->clock, 0, NULL, NULL);
	const retry_call_t call = { .service = LEAF, .draw = UINT32_MAX };

	(void)state;
	for (int i = 0; i < 100; i++) {
		retry_plan_count_call(plan, &call);
		retry_plan_record_arrival(plan, &call, true);
		cas_clock_advance(world->clock, STEP_US);
	}
	assert_true(retry_plan_share(plan, LEAF, 0) == 1);
	assert_false(retry_plan_allow_repeat(plan, &call));
	talloc_free(world);
}

/* Guards against repeats beyond the limit because the calls of repeated runs
 * count as repeats too. */
static void test_calls_of_repeated_runs_use_the_limit(void **state)
{
	world_t *world = create_world(true);
	retry_call_t call = { .service = LEAF, .importance = 8 };

	(void)state;
	for (int i = 0; i < 100; i++)
		retry_plan_count_call(world->plan, &call);
	assert_true(retry_plan_has_room(world->plan, LEAF));
	call.repeat = true;
	for (int i = 0; i < 20; i++)
		retry_plan_count_call(world->plan, &call);
	assert_false(retry_plan_has_room(world->plan, LEAF));
	assert_false(retry_plan_allow_repeat(world->plan, &call));
	/* They leave the window, and the calls still count. */
	cas_clock_advance(world->clock, WINDOW_US + CAS_USEC_PER_SEC);
	assert_true(retry_plan_has_room(world->plan, LEAF));
	/* Nothing counts any more after two windows. */
	cas_clock_advance(world->clock, WINDOW_US);
	assert_false(retry_plan_has_room(world->plan, LEAF));
	talloc_free(world);
}

/* Guards against repeats beyond the limit after a fall of the calls: the windows
 * before the fall must not count for repeats in windows that end long after it. */
static void test_limit_holds_when_calls_become_fewer(void **state)
{
	world_t *world = create_world(true);
	int64_t start_us = cas_clock_now(world->clock);
	int64_t fall_us = start_us + 20 * CAS_USEC_PER_SEC;
	retry_call_t call = { .service = LEAF, .importance = 15 };

	(void)state;
	for (int64_t now_us = start_us; now_us < start_us + END_US;
	     now_us += STEP_US) {
		int calls = now_us < fall_us ? 10 : now_us / STEP_US % 2;

		for (int i = 0; i < calls; i++) {
			retry_plan_count_call(world->plan, &call);
			world->log.call_us[world->log.calls++] = now_us;
			retry_plan_record_arrival(world->plan, &call,
						  now_us >= fall_us);
		}
		for (int i = 0; now_us >= fall_us && i < 7 * calls &&
				retry_plan_allow_repeat(world->plan, &call);
		     i++)
			world->log.repeat_us[world->log.repeats++] = now_us;
		cas_clock_advance(world->clock, STEP_US);
	}
	assert_limit_holds(world);
	talloc_free(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_important_trees_are_completed),
		cmocka_unit_test(test_limit_holds_in_every_window),
		cmocka_unit_test(test_limit_holds_when_calls_become_fewer),
		cmocka_unit_test(test_all_trees_start_after_the_outage),
		cmocka_unit_test(test_few_rejections_limit_nothing),
		cmocka_unit_test(test_without_ratio_no_tree_is_rejected),
		cmocka_unit_test(test_calls_of_repeated_runs_use_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
