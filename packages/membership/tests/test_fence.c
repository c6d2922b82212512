/* Tests of the quorum fence: who may add tokens, and when. */
#include "cassia/test.h"

#include "network.h"

#define SEC CAS_USEC_PER_SEC

/* Guards against a site of one host that never adds tokens. */
static void test_single_host(void **state)
{
	network_t *net = net_create(1, 1, 1);
	node_t *node = &net->nodes[0];

	(void)state;
	net_start_all(net);
	net_run(net, SEC);
	assert_true(net_held(node));
	assert_false(net_settled(node));
	net_run(net, 8 * SEC);
	assert_true(net_settled(node));
	net_destroy(net);
}

/* Guards against a fence with fewer than all of three hosts, and against one
 * that outlives the lease of a lost host or does not come back. */
static void test_three_hosts_lose_and_regain_quorum(void **state)
{
	network_t *net = net_create(3, 1, 2);

	(void)state;
	net_start_all(net);
	net_run(net, 3 * SEC);
	assert_int_equal(net_count_held(net), 3);
	net->nodes[2].side = 1;
	net_run(net, 6 * SEC + 10000);
	assert_int_equal(net_count_held(net), 0);
	net->nodes[2].side = 0;
	net_run(net, 4 * SEC);
	assert_int_equal(net_count_held(net), 3);
	net_destroy(net);
}

/* Pauses a host after_us after it has sent beats, cuts it off after a while,
 * and lets it handle the waiting calls and replies wake_us after that. */
static void wake_late(size_t hosts, size_t index, int64_t after_us,
		      int64_t wake_us)
{
	network_t *net = net_create(hosts, 1, 3);
	node_t *late = &net->nodes[index];
	int64_t sent;

	net_start_all(net);
	net_run(net, 12 * SEC);
	assert_true(net_settled(late));
	net_run(net, 500 * CAS_USEC_PER_MSEC);
	sent = late->sent_messages;
	while (late->sent_messages == sent)
		net_step(net);
	net_run(net, after_us);
	late->paused = true;
	net_run(net, 900 * CAS_USEC_PER_MSEC);
	assert_non_null(late->waiting);
	late->side = 1;
	net_run(net, wake_us);
	net_resume(late);
	if (wake_us < 6 * SEC)
		net_run(net, 6 * SEC - wake_us);
	assert_false(net_held(late));
	late->side = 0;
	net_run(net, 4 * SEC);
	assert_true(net_held(late));
	net_destroy(net);
}

/* Guards against a daemon that adds tokens when it wakes up late, because it
 * counts lifetimes from when it handles a message. */
static void test_late_waking_daemon_is_not_fenced_in(void **state)
{
	(void)state;
	for (size_t hosts = 4; hosts <= 40; hosts += 36) {
		for (size_t i = 0; i < 3; i++) {
			const int64_t wakes[3] = { 6 * SEC, 4 * SEC, SEC / 2 };

			wake_late(hosts, 0, 0, wakes[i]);
			wake_late(hosts, 1, 0, wakes[i]);
			wake_late(hosts, hosts - 1, 0, wakes[i]);
			/* The first leader has just called the second one. */
			wake_late(hosts, 0, SEC / 10, wakes[i]);
		}
	}
}

/* Guards against a restarted host that lends its earlier time at the revision
 * to the quorum. */
static void test_restart_is_not_settled(void **state)
{
	network_t *net = net_create(3, 1, 4);

	(void)state;
	net_start_all(net);
	net_run(net, 12 * SEC);
	assert_true(net_settled(&net->nodes[0]));
	net_start(&net->nodes[2], 1);
	net_run(net, 3 * SEC);
	assert_true(net_held(&net->nodes[0]));
	assert_false(net_settled(&net->nodes[0]));
	assert_false(net_settled(&net->nodes[2]));
	net_run(net, 9 * SEC);
	assert_true(net_settled(&net->nodes[2]));
	net_destroy(net);
}

/* Guards against a fence on the small side of a partition. */
static void test_partition_inside_data_centre(void **state)
{
	network_t *net = net_create(40, 1, 5);

	(void)state;
	net_start_all(net);
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_held(net), 40);
	for (size_t i = 0; i < 12; i++)
		net->nodes[i].side = 1;
	net_run(net, 6 * SEC + 10000);
	for (size_t i = 0; i < 12; i++)
		assert_false(net_held(&net->nodes[i]));
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_held(net), 28);
	for (size_t i = 0; i < 12; i++)
		net->nodes[i].side = 0;
	net_run(net, 12 * SEC);
	assert_int_equal(net_count_held(net), 40);
	net_destroy(net);
}

/* Guards against two halves that both hold the fence. */
static void test_halves_are_not_fenced_in(void **state)
{
	network_t *net = net_create(8, 1, 8);

	(void)state;
	net_start_all(net);
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_held(net), 8);
	for (size_t i = 0; i < 4; i++)
		net->nodes[2 * i].side = 1;
	net_run(net, 6 * SEC);
	for (int i = 0; i < 10; i++) {
		net_run(net, SEC);
		assert_int_equal(net_count_held(net), 0);
	}
	net_destroy(net);
}

/* Guards against a bucket that is kept over a lapse or a skipped list. */
static void test_epoch_tells_lapses(void **state)
{
	network_t *net = net_create(5, 1, 9);
	node_t *node = &net->nodes[0];
	uint64_t epoch;

	(void)state;
	for (int64_t revision = 2; revision <= 4; revision++)
		net_publish(net, revision, NULL);
	net_start_all(net);
	net_run(net, 5 * SEC);
	epoch = membership_fence_epoch(node->m);
	node->side = 1;
	net_run(net, 5 * SEC);
	node->side = 0;
	net_run(net, 4 * SEC);
	assert_true(net_held(node));
	net_adopt(node, 2);
	net_run(net, 4 * SEC);
	assert_true(net_held(node));
	assert_int_equal(membership_fence_epoch(node->m), epoch);
	node->side = 1;
	net_run(net, 9 * SEC);
	node->side = 0;
	net_run(net, 4 * SEC);
	assert_true(net_held(node));
	assert_int_not_equal(membership_fence_epoch(node->m), epoch);
	epoch = membership_fence_epoch(node->m);
	net_adopt(node, 4);
	assert_int_not_equal(membership_fence_epoch(node->m), epoch);
	net_destroy(net);
}

/* Guards against confirmations right after a list that replaces a third. */
static void test_large_change_is_silent(void **state)
{
	bool listed[8] = { 0, 0, 1, 1, 1, 1, 1, 1 };
	network_t *net = net_create(8, 1, 6);

	(void)state;
	net_publish(net, 2, listed);
	listed[0] = listed[1] = true;
	listed[6] = listed[7] = false;
	net_publish(net, 1, listed);
	for (size_t i = 0; i < 6; i++)
		net_start(&net->nodes[i], 1);
	net_run(net, 12 * SEC);
	for (size_t i = 0; i < 8; i++) {
		if (i >= 6)
			net_start(&net->nodes[i], 2);
		net_adopt(&net->nodes[i], 2);
	}
	for (int i = 0; i < 11; i++) {
		net_run(net, SEC);
		assert_int_equal(net_count_held(net), 0);
	}
	net_run(net, 5 * SEC);
	assert_true(net_held(&net->nodes[7]));
	assert_false(net_settled(&net->nodes[7]));
	net_run(net, 6 * SEC);
	assert_true(net_settled(&net->nodes[7]));
	net_destroy(net);
}

/* Guards against a bucket that idles on every change of the host list. */
static void test_kept_fence_has_no_lapse(void **state)
{
	bool listed[137];
	network_t *net = net_create(137, 1, 7);
	uint64_t epochs[137];

	(void)state;
	memset(listed, 1, sizeof(listed));
	listed[136] = false;
	net_publish(net, 1, listed);
	listed[5] = false;
	listed[136] = true;
	net_publish(net, 2, listed);
	for (size_t i = 0; i < 136; i++)
		net_start(&net->nodes[i], 1);
	net_run(net, 12 * SEC);
	for (size_t i = 0; i < 136; i++)
		epochs[i] = membership_fence_epoch(net->nodes[i].m);
	net_stop(&net->nodes[5]);
	net_start(&net->nodes[136], 2);
	net_adopt(&net->nodes[50], 2);
	for (int i = 0; i < 200; i++) {
		net_run(net, SEC / 20);
		for (size_t k = 0; k < 136; k++) {
			node_t *node = &net->nodes[k];

			assert_true(!node->m || net_held(node) ||
				    membership_fence_held(node->m, 1));
		}
	}
	assert_int_equal(net_count_held(net), 136);
	for (size_t i = 0; i < 136; i++) {
		if (net->nodes[i].m)
			assert_int_equal(
				membership_fence_epoch(net->nodes[i].m),
				epochs[i]);
	}
	net_destroy(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_single_host),
		cmocka_unit_test(test_three_hosts_lose_and_regain_quorum),
		cmocka_unit_test(test_late_waking_daemon_is_not_fenced_in),
		cmocka_unit_test(test_restart_is_not_settled),
		cmocka_unit_test(test_partition_inside_data_centre),
		cmocka_unit_test(test_halves_are_not_fenced_in),
		cmocka_unit_test(test_epoch_tells_lapses),
		cmocka_unit_test(test_large_change_is_silent),
		cmocka_unit_test(test_kept_fence_has_no_lapse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
