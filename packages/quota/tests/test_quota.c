/* Tests of one quota module as holder, lender and asker; the test plays the
 * other host. */
#include "cassia/test.h"

#include "quota_internal.h"

/* Longer than a new holder waits because of grants of an earlier process. */
#define SETTLE_TIME_US (3 * CAS_USEC_PER_SEC)
#define CUSTOMER 81
#define OTHER_HOST 2

typedef struct fixture {
	cas_clock_t *clock;
	quota_t *quota;
	bool held; /* state of the fence */
	bool settled;
	uint64_t epoch;
	quota_ask ask; /* last one sent */
	int asks;
	int done; /* calls of on_done */
	quota_result_t result;
	table_data_centre_t dcs[2];
	table_customer_t customer;
	table_t table;
	roster_host_t hosts[2];
	roster_t roster;
} fixture_t;

static void send_ask(void *private_data, cas_id_t to, const quota_ask *ask)
{
	fixture_t *f = private_data;

	(void)to;
	f->ask = *ask;
	f->asks++;
}

static bool fence_held(void *private_data, int64_t revision)
{
	(void)revision;
	return ((fixture_t *)private_data)->held;
}

static bool fence_settled(void *private_data, int64_t revision)
{
	(void)revision;
	return ((fixture_t *)private_data)->settled;
}

static uint64_t fence_epoch(void *private_data)
{
	return ((fixture_t *)private_data)->epoch;
}

static const quota_ops_t ops = {
	.send_ask = send_ask,
	.fence_held = fence_held,
	.fence_settled = fence_settled,
	.fence_epoch = fence_epoch,
};

static void on_done(void *private_data, quota_result_t result,
		    int64_t retry_after_us)
{
	fixture_t *f = private_data;

	(void)retry_after_us;
	f->done++;
	f->result = result;
}

/* Runs the module for a time, in steps so short that it notices no pause. */
static void run(fixture_t *f, int64_t time_us)
{
	for (int64_t t = 0; t < time_us; t += 10000) {
		cas_clock_advance(f->clock, 10000);
		quota_tick(f->quota);
	}
}

/* Sets up this host (1) and OTHER_HOST. In one data centre, OTHER_HOST is
 * leaving, so that this host holds every bucket. With two_dcs, OTHER_HOST is
 * alone in the second data centre. */
static fixture_t *setup(int64_t rate, int64_t burst, bool two_dcs)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->held = f->settled = true;
	f->dcs[0] = (table_data_centre_t){ .id = 10, .share_permille = 500 };
	f->dcs[1] = (table_data_centre_t){ .id = 11, .share_permille = 500 };
	if (!two_dcs)
		f->dcs[0].share_permille = 1000;
	f->customer = (table_customer_t){ .id = CUSTOMER,
					  .rate_micro = rate * QUOTA_TOKEN,
					  .burst_micro = burst * QUOTA_TOKEN };
	f->table = (table_t){ .revision = 1,
			      .data_centres = f->dcs,
			      .data_centre_count = two_dcs ? 2 : 1,
			      .customers = &f->customer,
			      .customer_count = 1 };
	f->hosts[0] = (roster_host_t){ .id = 1, .data_centre_id = 10 };
	f->hosts[1] = (roster_host_t){ .id = OTHER_HOST,
				       .data_centre_id = two_dcs ? 11 : 10,
				       .leaving = !two_dcs };
	f->roster =
		(roster_t){ .revision = 1, .hosts = f->hosts, .host_count = 2 };
	f->clock = cas_clock_create_manual(f, CAS_USEC_PER_SEC);
	f->quota = quota_create(f, f->clock, cas_rng_create(f, 1), &ops, f, 1,
				100);
	assert_int_equal(quota_set_view(f->quota, &f->table, &f->roster), 0);
	return f;
}

static quota_reply ask_as(fixture_t *f, uint64_t incarnation, quota_ask ask)
{
	quota_reply reply;

	ask.customer = CUSTOMER;
	if (ask.slots == 0)
		ask.slots = (uint32_t)QUOTA_FROM_DAEMON << 16;
	quota_on_ask(f->quota, OTHER_HOST, incarnation, &ask, &reply);
	return reply;
}

static quota_reply ask_for(fixture_t *f, uint32_t sequence, int64_t need)
{
	return ask_as(f, 5,
		      (quota_ask){ .sequence = sequence,
				   .received = sequence - 1,
				   .need = need * QUOTA_TOKEN });
}

static quota_bucket_info_t bucket(fixture_t *f)
{
	quota_bucket_info_t info;

	assert_int_equal(quota_buckets(f->quota, &info, 1), 1);
	return info;
}

static int acquire(fixture_t *f)
{
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;

	return quota_acquire(f->quota, CUSTOMER,
			     cas_clock_now(f->clock) + CAS_USEC_PER_SEC,
			     on_done, f, &pending, &retry_after_us);
}

/* Guards against a holder that adds tokens before the fence is settled, or
 * while grants of an earlier process on this host may still be in use. */
static void test_new_holder_waits(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * CAS_USEC_PER_SEC);
	assert_int_equal(bucket(f).level, 0);
	f->settled = false;
	run(f, SETTLE_TIME_US);
	assert_int_equal(bucket(f).level, 0);
	f->settled = true;
	run(f, SETTLE_TIME_US);
	assert_int_equal(bucket(f).level, 100 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against a second grant for a repeated or reordered ask. */
static void test_repeated_ask(void **state)
{
	fixture_t *f = setup(100, 100, false);
	quota_reply first;
	quota_reply again;

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	first = ask_for(f, 2, 5);
	again = ask_for(f, 2, 5);
	assert_int_equal(first.granted, 5 * QUOTA_TOKEN);
	assert_memory_equal(&first, &again, sizeof(first));
	assert_int_equal(bucket(f).outstanding, 5 * QUOTA_TOKEN);
	assert_int_equal(ask_for(f, 1, 5).granted, 0);
	assert_int_equal(bucket(f).outstanding, 5 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against a level that grows while the whole burst is outstanding, and
 * against grants that expire at the holder before they do at the asker. */
static void test_unreported_grant_stays_outstanding(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	ask_for(f, 1, 100);
	run(f, QUOTA_GRANT_LIFE_US + QUOTA_DRIFT_MARGIN_US - 20000);
	assert_int_equal(bucket(f).level, 0);
	assert_int_equal(bucket(f).outstanding, 100 * QUOTA_TOKEN);
	run(f, 1020000);
	assert_int_equal(bucket(f).outstanding, 0);
	assert_in_range(bucket(f).level, 99 * QUOTA_TOKEN, 100 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against used tokens that count as outstanding until their grant
 * expires, which blocks a small burst, and against the same for the tokens of a
 * lost reply. */
static void test_use_report_and_lost_reply(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	ask_for(f, 1, 60);
	ask_as(f, 5, (quota_ask){ .sequence = 2, .received = 0 });
	assert_int_equal(bucket(f).level, 100 * QUOTA_TOKEN);
	ask_for(f, 3, 60);
	ask_as(f, 5,
	       (quota_ask){ .sequence = 4,
			    .received = 3,
			    .left = 10 * QUOTA_TOKEN,
			    .returned = 20 * QUOTA_TOKEN });
	assert_int_equal(bucket(f).level, 60 * QUOTA_TOKEN);
	assert_int_equal(bucket(f).outstanding, 10 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against crediting returned tokens that were never granted. */
static void test_false_return(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, SETTLE_TIME_US);
	ask_as(f, 5, (quota_ask){ .sequence = 1, .returned = INT64_MAX });
	assert_true(bucket(f).level <= 100 * QUOTA_TOKEN);
	assert_int_equal(bucket(f).outstanding, 0);
	talloc_free(f);
}

/* Guards against a holder that uses its level after a pause, during which
 * another host may have held the bucket, and against one that drops its level
 * after a short loss of the fence. */
static void test_fence_loss_and_pause(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	f->held = false;
	run(f, CAS_USEC_PER_SEC);
	assert_int_equal(ask_for(f, 1, 5).granted, 0);
	f->held = true;
	run(f, 10000);
	assert_int_equal(bucket(f).level, 100 * QUOTA_TOKEN);
	cas_clock_advance(f->clock, 3 * CAS_USEC_PER_SEC);
	assert_int_equal(ask_for(f, 2, 5).granted, 0);
	assert_int_equal(quota_stats(f->quota)->lapses, 1);
	talloc_free(f);
}

/* Guards against a holder that keeps its tokens although a host list that it
 * skipped had given the bucket to another host. */
static void test_skipped_host_list(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	f->settled = false;
	f->epoch++;
	run(f, CAS_USEC_PER_SEC);
	assert_int_equal(ask_for(f, 1, 5).granted, 0);
	f->settled = true;
	run(f, CAS_USEC_PER_SEC);
	assert_int_equal(ask_for(f, 2, 5).granted, 5 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against a larger share in force before every other holder has its
 * smaller one, and against a level above a smaller share. */
static void test_table_change(void **state)
{
	fixture_t *f = setup(100, 100, false);

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	f->table.revision = 2;
	f->customer.burst_micro = 40 * QUOTA_TOKEN;
	f->customer.rate_micro = 200 * QUOTA_TOKEN;
	quota_set_view(f->quota, &f->table, &f->roster);
	assert_int_equal(bucket(f).level, 40 * QUOTA_TOKEN);
	assert_int_equal(bucket(f).rate_share, 100 * QUOTA_TOKEN);
	run(f, QUOTA_GROWTH_DELAY_US + 10000);
	assert_int_equal(bucket(f).rate_share, 200 * QUOTA_TOKEN);
	talloc_free(f);
}

/* Guards against a share that is delegated to two holders at once, or refilled
 * by its own holder meanwhile. */
static void test_single_delegate(void **state)
{
	fixture_t *f = setup(200, 200, true);
	quota_ask ask = { .slots = 3 << 16, .sequence = 1, .ahead = 1 };
	int64_t full = 100 * QUOTA_TOKEN;

	(void)state;
	run(f, 2 * SETTLE_TIME_US);
	assert_int_equal(ask_as(f, 5, ask).granted, full);
	assert_int_equal(bucket(f).level, 0);
	run(f, CAS_USEC_PER_SEC);
	assert_int_equal(ask_as(f, 6, ask).granted, 0);
	assert_int_equal(bucket(f).level, 0);
	run(f, QUOTA_GRANT_LIFE_US);
	ask.sequence++;
	assert_int_equal(ask_as(f, 6, ask).rate, full);
	talloc_free(f);
}

/* Guards against a main holder that lets requests wait for tokens that later
 * requests would get, and against one that uses a delegated share after the
 * delegation has expired. */
static void test_main_holder(void **state)
{
	fixture_t *f = setup(5, 5, true);
	quota_reply reply = { .customer = CUSTOMER,
			      .granted = 2500000,
			      .filled = 2500000,
			      .rate = 2500000,
			      .life = QUOTA_GRANT_LIFE_US };

	(void)state;
	assert_true(cas_rendezvous_weight(10, CUSTOMER) >
		    cas_rendezvous_weight(11, CUSTOMER));
	run(f, 2 * SETTLE_TIME_US);
	f->asks = 0;
	assert_int_equal(ask_for(f, 1, 1).granted, QUOTA_TOKEN);
	run(f, 10000);
	assert_int_equal(f->asks, 1);
	assert_int_not_equal(f->ask.ahead, 0);
	reply.slots = f->ask.slots;
	reply.sequence = f->ask.sequence;
	quota_on_reply(f->quota, OTHER_HOST, 9, &reply);
	assert_int_equal(ask_for(f, 2, 4).granted, 4 * QUOTA_TOKEN);
	reply = ask_for(f, 3, 1);
	assert_int_equal(reply.refused, 1);
	assert_in_range(reply.refuse, 180000, 200000);
	run(f, QUOTA_GRANT_LIFE_US);
	assert_in_range(
		quota_tokens(f->quota, CUSTOMER, cas_clock_now(f->clock)), 0,
		2500000);
	talloc_free(f);
}

static void reply_to(fixture_t *f, uint32_t sequence, int64_t granted)
{
	quota_reply reply = { .customer = CUSTOMER,
			      .slots = f->ask.slots,
			      .sequence = sequence,
			      .granted = granted * QUOTA_TOKEN,
			      .filled = granted * QUOTA_TOKEN,
			      .life = QUOTA_GRANT_LIFE_US,
			      .report = QUOTA_GRANT_LIFE_US };

	quota_on_reply(f->quota, OTHER_HOST, 9, &reply);
}

/* Sets up a daemon whose bucket is held by OTHER_HOST. */
static fixture_t *setup_asker(void)
{
	fixture_t *f = setup(1000, 1000, false);

	f->hosts[1].leaving = false;
	f->hosts[0].leaving = true;
	f->roster.revision = 2;
	assert_int_equal(quota_set_view(f->quota, &f->table, &f->roster), 0);
	return f;
}

/* Guards against a grant whose life starts at the receipt of the reply instead
 * of the sending of the ask, and against a reply that is handled twice. */
static void test_grant_life_starts_with_ask(void **state)
{
	fixture_t *f = setup_asker();
	int64_t sent_us = cas_clock_now(f->clock);
	int64_t end_us = sent_us + QUOTA_GRANT_LIFE_US;
	uint32_t sequence = 0;

	(void)state;
	assert_int_equal(acquire(f), QUOTA_PENDING);
	sequence = f->ask.sequence;
	cas_clock_advance(f->clock, QUOTA_WAIT_LIMIT_US / 2);
	reply_to(f, sequence, 3);
	reply_to(f, sequence, 3);
	assert_int_equal(f->result, QUOTA_GRANTED);
	assert_int_equal(f->done, 1);
	assert_int_equal(quota_tokens(f->quota, CUSTOMER, end_us - 1),
			 2 * QUOTA_TOKEN);
	assert_int_equal(quota_tokens(f->quota, CUSTOMER, end_us), 0);
	cas_clock_advance(f->clock,
			  QUOTA_GRANT_LIFE_US - QUOTA_WAIT_LIMIT_US / 2);
	assert_int_equal(acquire(f), QUOTA_PENDING);
	talloc_free(f);
}

/* Guards against a callback after cancellation, and against a request that
 * waits longer than QUOTA_WAIT_LIMIT_US. */
static void test_pending_cancel_and_timeout(void **state)
{
	fixture_t *f = setup_asker();
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;

	(void)state;
	quota_acquire(f->quota, CUSTOMER, INT64_MAX, on_done, f, &pending,
		      &retry_after_us);
	quota_cancel(pending);
	assert_int_equal(acquire(f), QUOTA_PENDING);
	run(f, QUOTA_WAIT_LIMIT_US + 10000);
	assert_int_equal(f->done, 1);
	assert_int_equal(f->result, QUOTA_REFUSED);
	assert_int_equal(quota_stats(f->quota)->waiting, 0);
	talloc_free(f);
}

/* Guards against a flood of requests that causes a flood of asks, and against
 * shares that, by rounding, add up to more than the whole. */
static void test_flood_and_shares(void **state)
{
	fixture_t *f = setup_asker();
	int64_t sum = 0;

	(void)state;
	for (int i = 0; i < 100000; i++) {
		acquire(f);
		if (i % 1000 == 0)
			run(f, 10000);
	}
	/* One second, with a resend every 20 ms at most. */
	assert_in_range(f->asks, 1, 60);
	for (int i = 0; i < 7; i++)
		sum += quota_share_of(1000003, i * 142, 142, 1000);
	assert_in_range(sum, 1, 1000003);
	sum = 0;
	for (int i = 0; i < 9; i++)
		sum += quota_share_of(5000000, i, 1, 9);
	assert_int_equal(sum, 5000000);
	talloc_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_holder_waits),
		cmocka_unit_test(test_repeated_ask),
		cmocka_unit_test(test_unreported_grant_stays_outstanding),
		cmocka_unit_test(test_use_report_and_lost_reply),
		cmocka_unit_test(test_false_return),
		cmocka_unit_test(test_fence_loss_and_pause),
		cmocka_unit_test(test_skipped_host_list),
		cmocka_unit_test(test_table_change),
		cmocka_unit_test(test_single_delegate),
		cmocka_unit_test(test_main_holder),
		cmocka_unit_test(test_grant_life_starts_with_ask),
		cmocka_unit_test(test_pending_cancel_and_timeout),
		cmocka_unit_test(test_flood_and_shares),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
