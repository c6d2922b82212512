/* Tests of the cold bound and of the concurrency of an upstream that has
 * started or recovered, against a simulated upstream. */
#include "simulated_upstream.h"

#include <stdio.h>

/* Load of the steady tests: 80% of what all slots serve. */
#define LOAD 160
/* The ramp that senders used before: from a tenth to the whole in 10 s. */
#define RAMP_US (10 * SECOND)
#define RAMP_MIN 0.1
#define REPORT_SECONDS 8

typedef struct second {
	int arrived;
	int served;
	int mean_ms;
} second_t;

/* Runs a load for REPORT_SECONDS, burst requests of it at once at the start. */
static void run_seconds(site_t *site, double load, int burst, bool fixed_ramp,
			second_t seconds[REPORT_SECONDS])
{
	int64_t start_us = site_now(site);

	for (int i = 0; i < burst; i++)
		(void)offer(site);
	for (int s = 0; s < REPORT_SECONDS; s++) {
		size_t arrived = site->arrival_count;
		int served = site->served;
		int64_t latency_us = site->latency_sum_us;

		for (int i = 0; i < 100; i++) {
			double part =
				(double)(site_now(site) - start_us) / RAMP_US;

			part = part < RAMP_MIN ? RAMP_MIN : part;
			site->rate_per_s = fixed_ramp ? load * part : load;
			simulate(site, 10 * MS);
		}
		seconds[s].arrived = (int)(site->arrival_count - arrived);
		seconds[s].served = site->served - served;
		if (seconds[s].served)
			seconds[s].mean_ms =
				(int)((site->latency_sum_us - latency_us) /
				      seconds[s].served / MS);
	}
}

static void print_seconds(const char *name, const site_t *site,
			  const second_t seconds[REPORT_SECONDS])
{
	printf("figure: %s: arrived/served/mean ms in each second:", name);
	for (int s = 0; s < REPORT_SECONDS; s++)
		printf(" %d/%d/%d", seconds[s].arrived, seconds[s].served,
		       seconds[s].mean_ms);
	printf("; worst second while cold %zu%s\n", site->worst_window,
	       site->crashed ? ", crashed" : "");
}

/* Starts a cold upstream beside a daemon that knows it. */
static site_t *create_cold(const admission_warm_up_rules_t *rules)
{
	site_t *site = site_create(rules);

	site->rate_per_s = LOAD * 0.5;
	simulate(site, 6 * SECOND);
	site->rate_per_s = 0;
	restart_upstream(site);
	restart_daemon(site, rules);
	admission_set_slots(site->admission, SLOTS);
	return site;
}

/* Guards against a cold upstream that gets more than its bound or much less,
 * and against one that is kept from its full load after it has warmed up. */
static void test_steady_load(void **state)
{
	second_t seconds[REPORT_SECONDS];
	site_t *site = create_cold(NULL);

	(void)state;
	run_seconds(site, LOAD, 0, true, seconds);
	print_seconds("steady, fixed ramp", site, seconds);
	talloc_free(site);

	site = create_cold(&bounded);
	run_seconds(site, LOAD, 0, false, seconds);
	print_seconds("steady, warm-up", site, seconds);
	assert_false(site->crashed);
	for (int s = 0; s < 3; s++)
		assert_in_range(seconds[s].arrived, COLD_RATE - 2,
				COLD_RATE + 1);
	for (int s = 4; s < REPORT_SECONDS; s++)
		assert_true(seconds[s].served >= LOAD * 95 / 100);
	talloc_free(site);
}

/* Guards against a burst that reaches an upstream at once when it starts. */
static void test_burst(void **state)
{
	second_t seconds[REPORT_SECONDS];
	site_t *site = create_cold(NULL);

	(void)state;
	run_seconds(site, LOAD, 500, true, seconds);
	print_seconds("burst, fixed ramp", site, seconds);
	talloc_free(site);

	site = create_cold(&bounded);
	run_seconds(site, LOAD * 4, 500, false, seconds);
	print_seconds("burst, warm-up", site, seconds);
	assert_true(site->worst_window <= COLD_RATE);
	for (int s = 4; s < REPORT_SECONDS; s++)
		assert_true(seconds[s].served >= FULL_RATE * 80 / 100);
	talloc_free(site);
}

/* Guards against starts that are counted anew in each second, which allows
 * twice the bound around the border, and against starts in one burst. */
static void test_sliding_window(void **state)
{
	site_t *site = create_cold(&bounded);
	size_t arrived = site->arrival_count;

	(void)state;
	for (int i = 0; i < 300; i++) {
		(void)offer(site);
		simulate(site, 7 * MS);
		assert_true(site->worst_window <= COLD_RATE);
	}
	assert_true(site->arrival_count - arrived >= 2 * COLD_RATE - 2);
	simulate(site, 500 * MS);
	arrived = site->arrival_count;
	for (int i = 0; i < 100; i++)
		(void)offer(site);
	assert_true(site->arrival_count - arrived <= 3);
	talloc_free(site);
}

/* Guards against a daemon that starts beside a cold upstream and gives it the
 * bound once more. The former daemon has just used it up. */
static void test_daemon_restart(void **state)
{
	site_t *site = create_cold(&bounded);

	(void)state;
	site->rate_per_s = LOAD;
	for (int i = 0; i < 7; i++) {
		simulate(site, 390 * MS);
		restart_daemon(site, &bounded);
		assert_false(site->crashed);
	}
	printf("figure: daemon restarts: worst second while cold %zu\n",
	       site->worst_window);
	talloc_free(site);
}

/* Guards against an upstream that stays cold, or is taken for warm at once,
 * because no health response comes. */
static void test_no_health_response(void **state)
{
	site_t *site = site_create(&bounded);

	(void)state;
	simulate(site, 10 * SECOND);
	assert_int_equal(admission_warm_up_status(site->admission).cold_left_us,
			 0);
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_LISTED, 0);
	assert_true(admission_warm_up_status(site->admission).in_doubt);
	simulate(site, COLD_US - MS);
	assert_int_equal(admission_warm_up_status(site->admission).cold_left_us,
			 MS);
	simulate(site, MS);
	assert_int_equal(admission_warm_up_status(site->admission).cold_left_us,
			 0);
	assert_false(admission_warm_up_status(site->admission).in_doubt);
	talloc_free(site);
}

/* Guards against an upstream that is down for longer than it is cold and gets
 * its full load when it returns, before the host list tells of it. */
static void test_return_after_long(void **state)
{
	site_t *site = site_create(&bounded);

	(void)state;
	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = LOAD;
	simulate(site, 10 * SECOND);
	assert_false(admission_warm_up_status(site->admission).limits);
	site->rate_per_s = 0;
	simulate(site, SECOND);
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_REFUSED, 0);
	simulate(site, 20 * SECOND);
	assert_false(admission_warm_up_status(site->admission).in_doubt);
	restart_upstream(site);
	site->rate_per_s = LOAD;
	simulate(site, 100 * MS);
	assert_true(admission_warm_up_status(site->admission).in_doubt);
	simulate(site, COLD_US);
	assert_true(site->worst_window <= COLD_RATE);
	assert_true(served_in_second(site) >= LOAD * 90 / 100);
	talloc_free(site);
}

/* Guards against an upstream that becomes cold without a restart and gets its
 * full load until its entry tells of it, and against a health request for every
 * slow moment. */
static void test_cold_again(void **state)
{
	site_t *site = site_create(&bounded);
	int asked = 0;

	(void)state;
	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = LOAD;
	simulate(site, 15 * SECOND);
	assert_false(admission_warm_up_status(site->admission).in_doubt);
	site->cold_until_us = site_now(site) + COLD_US;
	for (int i = 0; i < 30; i++) {
		simulate(site, 10 * MS);
		if (admission_warm_up_status(site->admission).in_doubt)
			break;
	}
	printf("figure: cold again: doubt after %d ms\n",
	       (int)((site_now(site) + COLD_US - site->cold_until_us) / MS));
	assert_true(admission_warm_up_status(site->admission).in_doubt);
	admission_note_cold_left(site->admission,
				 site->cold_until_us - site_now(site),
				 site_now(site));
	assert_true(admission_warm_up_status(site->admission).limits);
	simulate(site, SECOND);
	site->worst_window = 0;
	simulate(site, 1500 * MS);
	assert_true(site->worst_window <= COLD_RATE);
	simulate(site, 10 * SECOND);
	for (int i = 0; i < 100; i++) {
		bool before =
			admission_warm_up_status(site->admission).in_doubt;

		site->slow_factor = i % 4 ? 1 : 2.5;
		simulate(site, 600 * MS);
		asked += !before &&
			 admission_warm_up_status(site->admission).in_doubt;
	}
	assert_in_range(asked, 1, 7);
	talloc_free(site);
}

/* Guards against a health response that is believed although it was sent before
 * the upstream restarted, or is out of range. */
static void test_health_response(void **state)
{
	site_t *site = site_create(&bounded);
	admission_t *admission = site->admission;
	int64_t asked_us;

	(void)state;
	simulate(site, 10 * SECOND);
	asked_us = site_now(site);
	simulate(site, 10 * MS);
	admission_begin_warm_up(admission, ADMISSION_WARM_UP_REFUSED, 0);
	admission_note_cold_left(admission, 0, asked_us);
	assert_int_equal(admission_warm_up_status(admission).cold_left_us,
			 COLD_US);
	admission_note_cold_left(admission, INT64_MAX, site_now(site));
	assert_int_equal(admission_warm_up_status(admission).cold_left_us,
			 COLD_US);
	assert_false(admission_warm_up_status(admission).in_doubt);
	/* The entry was written before. */
	admission_begin_warm_up(admission, ADMISSION_WARM_UP_LISTED, COLD_US);
	assert_false(admission_warm_up_status(admission).in_doubt);
	admission_note_cold_left(admission, 500 * MS, site_now(site));
	assert_int_equal(admission_warm_up_status(admission).cold_left_us,
			 500 * MS);
	talloc_free(site);
}

/* Guards against a cold upstream that says it is warm, and is flooded. */
static void test_lying_health_response(void **state)
{
	site_t *site = site_create(&bounded);

	(void)state;
	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = LOAD;
	simulate(site, 10 * SECOND);
	site->rate_per_s = 0;
	simulate(site, SECOND);
	site->rate_per_s = LOAD;
	restart_upstream(site);
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_REFUSED, 0);
	admission_note_cold_left(site->admission, 0, site_now(site));
	simulate(site, 500 * MS);
	assert_true(admission_warm_up_status(site->admission).cold_left_us > 0);
	admission_note_cold_left(site->admission, 0, site_now(site));
	assert_true(admission_warm_up_status(site->admission).cold_left_us > 0);
	simulate(site, 4 * SECOND);
	assert_false(site->crashed);
	printf("figure: lying health response: worst second while cold %zu\n",
	       site->worst_window);
	assert_true(served_in_second(site) >= LOAD * 95 / 100);
	talloc_free(site);
}

/* Guards against a concurrency that does not grow, or is not limited, when
 * neither the usual times nor the slots are known. */
static void test_nothing_known(void **state)
{
	site_t *site = site_create(&unbounded);

	(void)state;
	site->rate_per_s = FULL_RATE * 3;
	simulate(site, 20 * MS);
	assert_true(admission_inflight(site->admission) <= 2);
	simulate(site, 3 * SECOND);
	assert_true(served_in_second(site) >= FULL_RATE * 85 / 100);
	talloc_free(site);
}

/* Guards against an upstream that is taken for overloaded because it is slower
 * as a whole than before. */
static void test_uniformly_slow(void **state)
{
	site_t *site = site_create(&unbounded);

	(void)state;
	admission_set_slots(site->admission, SLOTS);
	site->rate_per_s = FULL_RATE * 0.5;
	simulate(site, 12 * SECOND);
	site->slow_factor = 2;
	site->rate_per_s = FULL_RATE;
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_LISTED, 0);
	simulate(site, 2 * SECOND);
	assert_true(served_in_second(site) >= FULL_RATE / 2 * 80 / 100);
	talloc_free(site);
}

/* Guards against a few slow requests that keep the concurrency low. */
static void test_occasionally_slow(void **state)
{
	uint64_t fall_backs = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		site_t *site = site_create(&unbounded);

		talloc_free(site->rng);
		site->rng = cas_rng_create(site, seed);
		restart_daemon(site, &unbounded);
		admission_set_slots(site->admission, SLOTS);
		site->occasionally_slow = true;
		site->rate_per_s = FULL_RATE;
		simulate(site, 2 * SECOND);
		fall_backs += admission_warm_up_status(site->admission)
				      .fall_back_count;
		assert_false(admission_warm_up_status(site->admission).limits);
		talloc_free(site);
	}
	printf("figure: 3%% slow requests: %d reductions in 20 warm-ups\n",
	       (int)fall_backs);
}

/* Guards against a warm-up that does not end with few requests or without
 * any. */
static void test_little_traffic(void **state)
{
	static const double rates[] = { 0, 0.5, 5 };

	(void)state;
	for (size_t i = 0; i < 3; i++) {
		site_t *site = site_create(&unbounded);

		admission_set_slots(site->admission, SLOTS);
		site->rate_per_s = rates[i];
		simulate(site, 11 * SECOND);
		assert_int_equal(site->refused, 0);
		assert_false(admission_warm_up_status(site->admission).limits);
		talloc_free(site);
	}
}

/* Guards against a concurrency that stays high when responses become slow, or
 * when the upstream rejects or fails requests. */
static void test_fall_back(void **state)
{
	site_t *site = site_create(&unbounded);
	admission_warm_up_status_t status;

	(void)state;
	admission_set_slots(site->admission, 100);
	site->rate_per_s = FULL_RATE * 3;
	/* The upstream takes far fewer requests than the host list says. */
	simulate(site, 2 * SECOND);
	status = admission_warm_up_status(site->admission);
	assert_true(status.fall_back_count >= 1);
	assert_int_equal(status.fall_back_cause, ADMISSION_FALL_BACK_SLOW);
	assert_true(admission_limit(site->admission) <= 3 * SLOTS);
	site->fails = true;
	simulate(site, 100 * MS);
	status = admission_warm_up_status(site->admission);
	assert_int_equal(status.fall_back_cause, ADMISSION_FALL_BACK_FAILED);
	site->fails = false;
	site->rejects = true;
	simulate(site, 100 * MS);
	status = admission_warm_up_status(site->admission);
	assert_int_equal(status.fall_back_cause, ADMISSION_FALL_BACK_REJECTED);
	assert_int_equal(admission_limit(site->admission), 1);
	site->rejects = false;
	simulate(site, 2 * SECOND);
	assert_true(served_in_second(site) >= FULL_RATE * 80 / 100);
	talloc_free(site);
}

/* Guards against requests that wait although they can't start in time, and
 * against a refusal that does not tell when to return. */
static void test_refusal(void **state)
{
	site_t *site = create_cold(&bounded);
	int queued = 0;

	(void)state;
	for (int i = 0; i < 50; i++)
		queued += offer(site) == ADMISSION_QUEUED;
	assert_int_equal(site->last_reason, ADMISSION_REASON_WARMING_UP);
	assert_in_range(queued, 1, 3);
	assert_in_range(admission_warm_up_retry_us(site->admission), 40 * MS,
			SECOND);
	/* Those that wait go on in time without further requests. */
	assert_true(admission_next_due(site->admission) <=
		    site_now(site) + 10 * MS);
	simulate(site, 300 * MS);
	assert_int_equal(admission_queued(site->admission), 0);
	assert_true(site->served >= 1);
	talloc_free(site);
}

/* Guards against an admitted fraction that makes the senders reject requests
 * which the other upstreams of the service have room for. */
static void test_threshold(void **state)
{
	site_t *site = create_cold(&bounded);

	(void)state;
	site->rate_per_s = LOAD * 4;
	simulate(site, 2 * SECOND);
	assert_true(admission_threshold(site->admission, 0, 1) == 1);
	simulate(site, 3 * SECOND);
	assert_true(admission_threshold(site->admission, 0, 1) < 1);
	talloc_free(site);
}

/* Guards against a change of decisions in deployments without these rules:
 * events alone must not have an effect. */
static void test_not_in_force(void **state)
{
	static const admission_warm_up_rules_t off = { .in_force = false };
	site_t *plain = site_create(NULL);
	site_t *other = site_create(&off);

	(void)state;
	plain->rate_per_s = other->rate_per_s = FULL_RATE * 3;
	plain->occasionally_slow = other->occasionally_slow = true;
	for (int i = 0; i < 2000; i++) {
		if (i % 50 == 0)
			admission_begin_warm_up(
				other->admission,
				(admission_warm_up_cause_t)(i % 6), SECOND);
		plain->fails = other->fails = i % 500 < 20;
		simulate(plain, 5 * MS);
		simulate(other, 5 * MS);
		assert_int_equal(plain->served, other->served);
		assert_int_equal(plain->refused, other->refused);
		assert_int_equal(plain->arrival_count, other->arrival_count);
		assert_int_equal(admission_limit(plain->admission),
				 admission_limit(other->admission));
		assert_int_equal(admission_queued(plain->admission),
				 admission_queued(other->admission));
	}
	assert_int_not_equal(plain->last_reason, ADMISSION_REASON_WARMING_UP);
	talloc_free(plain);
	talloc_free(other);
}

/* Guards against a second new instance that is taken for the first one because
 * that has told that it is warm. */
static void test_second_new_instance(void **state)
{
	site_t *site = create_cold(&bounded);

	(void)state;
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_LISTED, 0);
	/* The first instance is warm: only the daemon has restarted. */
	site->cold_until_us = 0;
	admission_note_cold_left(site->admission, 0, site_now(site));
	site->rate_per_s = 2;
	simulate(site, 2 * SECOND);
	restart_upstream(site);
	admission_begin_warm_up(site->admission, ADMISSION_WARM_UP_LISTED, 0);
	site->rate_per_s = LOAD;
	simulate(site, 2 * SECOND);
	printf("figure: second new instance: worst second %zu\n",
	       site->worst_window);
	assert_false(site->crashed);
	talloc_free(site);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady_load),
		cmocka_unit_test(test_second_new_instance),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_sliding_window),
		cmocka_unit_test(test_daemon_restart),
		cmocka_unit_test(test_no_health_response),
		cmocka_unit_test(test_return_after_long),
		cmocka_unit_test(test_cold_again),
		cmocka_unit_test(test_health_response),
		cmocka_unit_test(test_lying_health_response),
		cmocka_unit_test(test_nothing_known),
		cmocka_unit_test(test_uniformly_slow),
		cmocka_unit_test(test_occasionally_slow),
		cmocka_unit_test(test_little_traffic),
		cmocka_unit_test(test_fall_back),
		cmocka_unit_test(test_refusal),
		cmocka_unit_test(test_threshold),
		cmocka_unit_test(test_not_in_force),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
