/*
 * Tests the window of bodies in flight on a link to another region, alone and
 * with daemons that share one link.
 */
#include "cassia/test.h"

#include "cassia/clock.h"
#include "cassia/rng.h"
#include "links.h"

#define DAEMONS 80
#define BODY_MEAN_BYTES 60000.0
#define BODY_MAX_BYTES 360000
#define STEP_US CAS_USEC_PER_MSEC
#define ONE_WAY_US (10 * CAS_USEC_PER_MSEC)
#define BODIES_MAX 20000

/* Guards against new bodies on a link that takes none, and against a link that
 * is never tried again. */
static void test_lost_body_holds_the_link(void **state)
{
	link_t link = { .region = 1 };
	int64_t now_us = CAS_USEC_PER_SEC;

	(void)state;
	assert_true(link_allows(&link, 60000, now_us));
	link_begin(&link, 60000);
	assert_false(link_allows(&link, 60000, now_us));
	assert_true(link_allows(&link, 0, now_us));
	link_finish(&link, 60000, -1, 0, now_us, true, now_us + 1000);
	assert_false(link_allows(&link, 60000, now_us + 100000));
	now_us += 2 * CAS_USEC_PER_SEC;
	assert_true(link_allows(&link, 60000, now_us));
	/* Each failed trial is followed by a longer hold. */
	link_begin(&link, 60000);
	link_finish(&link, 60000, -1, 0, now_us, true, now_us + 1000);
	assert_false(link_allows(&link, 60000, now_us + 600000));
	now_us += 2 * CAS_USEC_PER_SEC;
	link_begin(&link, 60000);
	link_finish(&link, 60000, 20000, 0, now_us, false, now_us + 60000);
	assert_true(link_allows(&link, 60000, now_us + 60000));
}

/* Guards against a single hold that counts many times, because all bodies that
 * were under way are lost together. */
static void test_bodies_lost_together_hold_once(void **state)
{
	link_t link = { .region = 1, .window_bytes = 600000 };
	int64_t now_us = CAS_USEC_PER_SEC;

	(void)state;
	for (int i = 0; i < 8; i++)
		link_begin(&link, 60000);
	for (int i = 0; i < 8; i++)
		link_finish(&link, 60000, -1, 0, now_us, true,
			    now_us + 1000 + i);
	assert_int_equal(link.in_flight_bytes, 0);
	assert_true(link.window_bytes >= 300000);
	assert_true(link_allows(&link, 60000, now_us + CAS_USEC_PER_SEC));
}

/* Guards against a window that slow own times of the upstream close. */
static void test_spread_of_own_times_is_not_the_link(void **state)
{
	link_t link = { .region = 1 };
	int64_t now_us = CAS_USEC_PER_SEC;

	(void)state;
	link_begin(&link, 60000);
	link_finish(&link, 60000, 700000, 600000, now_us, false,
		    now_us + 700000);
	assert_true(link_allows(&link, 60000, now_us + 700000));
}

typedef struct body {
	size_t daemon;
	int64_t bytes;
	int64_t began_us;
	int64_t ends_us; /* 0: lost */
} body_t;

typedef struct shared_link {
	link_t links[DAEMONS];
	cas_rng_t *rng;
	double bits_per_s;
	double queued_bytes;
	double longest_queue_us;
	double sent_bytes;
	body_t bodies[BODIES_MAX]; /* in order of their ends */
	size_t first;
	size_t count;
	size_t offered;
	size_t refused;
} shared_link_t;

static void offer(shared_link_t *shared, int64_t now_us)
{
	body_t *body = &shared->bodies[shared->count];
	int64_t bytes =
		(int64_t)cas_rng_exponential(shared->rng, BODY_MEAN_BYTES) + 1;
	double queue_us;

	bytes = bytes < BODY_MAX_BYTES ? bytes : BODY_MAX_BYTES;
	body->daemon = cas_rng_below(shared->rng, DAEMONS);
	shared->offered++;
	if (!link_allows(&shared->links[body->daemon], bytes, now_us)) {
		shared->refused++;
		return;
	}
	assert_true(shared->count + 1 < BODIES_MAX);
	link_begin(&shared->links[body->daemon], bytes);
	shared->queued_bytes += (double)bytes;
	shared->sent_bytes += (double)bytes;
	queue_us = shared->queued_bytes * 8e6 / shared->bits_per_s;
	if (queue_us > shared->longest_queue_us)
		shared->longest_queue_us = queue_us;
	body->bytes = bytes;
	body->began_us = now_us;
	body->ends_us = now_us + (int64_t)queue_us + 2 * ONE_WAY_US;
	shared->count++;
}

/* Offers uploads for a time. The link is first in, first out. */
static void run_link(shared_link_t *shared, double rate, int64_t begin_us,
		     int64_t end_us)
{
	for (int64_t now_us = begin_us; now_us < end_us; now_us += STEP_US) {
		shared->queued_bytes -= shared->bits_per_s * STEP_US / 8e6;
		if (shared->queued_bytes < 0)
			shared->queued_bytes = 0;
		while (shared->first < shared->count &&
		       shared->bodies[shared->first].ends_us <= now_us) {
			body_t *body = &shared->bodies[shared->first++];
			int64_t took_us = now_us - body->began_us;

			link_finish(&shared->links[body->daemon], body->bytes,
				    took_us - 2 * ONE_WAY_US, 0, body->began_us,
				    false, now_us);
		}
		if (cas_rng_double(shared->rng) < rate * STEP_US / 1e6)
			offer(shared, now_us);
	}
}

static shared_link_t *create_shared(double bits_per_s)
{
	shared_link_t *shared = talloc_zero(NULL, shared_link_t);

	shared->rng = cas_rng_create(shared, 3);
	shared->bits_per_s = bits_per_s;
	return shared;
}

/* Guards against a link of 60 Mbit/s that 69 uploads a second fill although
 * they need 33 Mbit/s, and against a window that keeps them off it. */
static void test_uploads_do_not_fill_the_link(void **state)
{
	shared_link_t *shared = create_shared(60e6);

	(void)state;
	run_link(shared, 69, CAS_USEC_PER_SEC, 31 * CAS_USEC_PER_SEC);
	print_message("60 Mbit/s: longest queue %.0f ms, %zu of %zu refused\n",
		      shared->longest_queue_us / 1000, shared->refused,
		      shared->offered);
	/* Half of the shortest objective. */
	assert_true(shared->longest_queue_us < 200000);
	assert_true(shared->refused * 10 < shared->offered);
	talloc_free(shared);
}

/* Guards against a queue that grows for as long as a narrow link is offered more
 * than it carries. */
static void test_narrow_link_is_spared(void **state)
{
	shared_link_t *shared = create_shared(10e6);

	(void)state;
	run_link(shared, 69, CAS_USEC_PER_SEC, 11 * CAS_USEC_PER_SEC);
	shared->longest_queue_us = 0;
	shared->sent_bytes = 0;
	run_link(shared, 69, 11 * CAS_USEC_PER_SEC, 41 * CAS_USEC_PER_SEC);
	print_message("10 Mbit/s: longest queue %.0f ms, %.0f%% used, "
		      "%zu of %zu refused\n",
		      shared->longest_queue_us / 1000,
		      shared->sent_bytes * 8 / 30 / 10e6 * 100, shared->refused,
		      shared->offered);
	/* A body on it still ends within the objectives of 400 ms to 4 s. */
	assert_true(shared->longest_queue_us < 4000000);
	talloc_free(shared);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_body_holds_the_link),
		cmocka_unit_test(test_bodies_lost_together_hold_once),
		cmocka_unit_test(test_spread_of_own_times_is_not_the_link),
		cmocka_unit_test(test_uploads_do_not_fill_the_link),
		cmocka_unit_test(test_narrow_link_is_spared),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
