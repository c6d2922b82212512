/* Tests of the fence: when it is held, when it is settled, and its epoch. */
#include "cassia/test.h"

#include "network.h"

#define SEC CAS_USEC_PER_SEC

/* Guards against a data centre of one host whose fence never settles, so that
 * no tokens would ever be added there. */
static void test_single_host(void **state)
{
	network_t *net = net_create(1, 1, 1);
	node_t *node = &net->nodes[0];

	(void)state;
	net_start_all(net);
	net_run(net, SEC);
	assert_true(net_holds_fence(node));
	assert_false(net_fence_settled(node));
	net_run(net, 8 * SEC);
	assert_true(net_fence_settled(node));
	net_destroy(net);
}

/* The quorum of three hosts is all three. Guards against a fence that is held
 * by fewer, that stays held after the lease of an unreachable host has expired,
 * or that is not regained when the host is back. */
static void test_three_hosts_lose_and_regain_quorum(void **state)
{
	network_t *net = net_create(3, 1, 2);

	(void)state;
	net_start_all(net);
	net_run(net, 3 * SEC);
	assert_int_equal(net_count_fence_held(net), 3);
	net->nodes[2].partition = 1;
	net_run(net, 6 * SEC + 10000);
	assert_int_equal(net_count_fence_held(net), 0);
	net->nodes[2].partition = 0;
	net_run(net, 4 * SEC);
	assert_int_equal(net_count_fence_held(net), 3);
	net_destroy(net);
}

/* Pauses a host pause_delay_us after it has sent beats, isolates it 900 ms
 * later, and resumes it resume_delay_us after that, so that it handles calls
 * and replies that have waited. Checks that its fence is then not held. */
static void check_late_resume(size_t hosts, size_t paused_index,
			      int64_t pause_delay_us, int64_t resume_delay_us)
{
	network_t *net = net_create(hosts, 1, 3);
	node_t *paused_node = &net->nodes[paused_index];
	int64_t sent;

	net_start_all(net);
	net_run(net, 12 * SEC);
	assert_true(net_fence_settled(paused_node));
	net_run(net, 500 * CAS_USEC_PER_MSEC);
	sent = paused_node->sent_messages;
	while (paused_node->sent_messages == sent)
		net_step(net);
	net_run(net, pause_delay_us);
	paused_node->paused = true;
	net_run(net, 900 * CAS_USEC_PER_MSEC);
	assert_non_null(paused_node->pending);
	paused_node->partition = 1;
	net_run(net, resume_delay_us);
	net_resume(paused_node);
	if (resume_delay_us < 6 * SEC)
		net_run(net, 6 * SEC - resume_delay_us);
	assert_false(net_holds_fence(paused_node));
	paused_node->partition = 0;
	net_run(net, 4 * SEC);
	assert_true(net_holds_fence(paused_node));
	net_destroy(net);
}

/* Guards against a daemon that adds tokens after a long pause because it counts
 * lifetimes from the time at which it handles a message, not from the time at
 * which the message can have been sent. */
static void test_late_resume_does_not_hold_fence(void **state)
{
	(void)state;
	for (size_t hosts = 4; hosts <= 40; hosts += 36) {
		for (size_t i = 0; i < 3; i++) {
			const int64_t resume_delays[3] = { 6 * SEC, 4 * SEC,
							   SEC / 2 };

			check_late_resume(hosts, 0, 0, resume_delays[i]);
			check_late_resume(hosts, 1, 0, resume_delays[i]);
			check_late_resume(hosts, hosts - 1, 0,
					  resume_delays[i]);
			/* Paused just after its beat to the second leader. */
			check_late_resume(hosts, 0, SEC / 10, resume_delays[i]);
		}
	}
}

/* Guards against a restarted host that still counts for the settled fence with
 * the time for which it held the revision before its restart. */
static void test_restart_is_not_settled(void **state)
{
	network_t *net = net_create(3, 1, 4);

	(void)state;
	net_start_all(net);
	net_run(net, 12 * SEC);
	assert_true(net_fence_settled(&net->nodes[0]));
	net_start(&net->nodes[2], 1);
	net_run(net, 3 * SEC);
	assert_true(net_holds_fence(&net->nodes[0]));
	assert_false(net_fence_settled(&net->nodes[0]));
	assert_false(net_fence_settled(&net->nodes[2]));
	net_run(net, 9 * SEC);
	assert_true(net_fence_settled(&net->nodes[2]));
	net_destroy(net);
}

/* Guards against a fence that stays held on the minority side of a partition,
 * or is lost on the majority side. */
static void test_partition_inside_data_centre(void **state)
{
	network_t *net = net_create(40, 1, 5);

	(void)state;
	net_start_all(net);
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_fence_held(net), 40);
	for (size_t i = 0; i < 12; i++)
		net->nodes[i].partition = 1;
	net_run(net, 6 * SEC + 10000);
	for (size_t i = 0; i < 12; i++)
		assert_false(net_holds_fence(&net->nodes[i]));
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_fence_held(net), 28);
	for (size_t i = 0; i < 12; i++)
		net->nodes[i].partition = 0;
	net_run(net, 12 * SEC);
	assert_int_equal(net_count_fence_held(net), 40);
	net_destroy(net);
}

/* Guards against a fence that is held in either half of a data centre that is
 * partitioned into two equal halves. */
static void test_equal_halves_do_not_hold_fence(void **state)
{
	network_t *net = net_create(8, 1, 8);

	(void)state;
	net_start_all(net);
	net_run(net, 6 * SEC);
	assert_int_equal(net_count_fence_held(net), 8);
	for (size_t i = 0; i < 4; i++)
		net->nodes[2 * i].partition = 1;
	net_run(net, 6 * SEC);
	for (int i = 0; i < 10; i++) {
		net_run(net, SEC);
		assert_int_equal(net_count_fence_held(net), 0);
	}
	net_destroy(net);
}

/* Guards against a bucket that is kept after the fence was lost for longer than
 * a grant lives, or after a host list was skipped. */
static void test_epoch_changes_after_lapse_or_skipped_list(void **state)
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
	node->partition = 1;
	net_run(net, 5 * SEC);
	node->partition = 0;
	net_run(net, 4 * SEC);
	assert_true(net_holds_fence(node));
	net_adopt(node, 2);
	net_run(net, 4 * SEC);
	assert_true(net_holds_fence(node));
	assert_int_equal(membership_fence_epoch(node->m), epoch);
	node->partition = 1;
	net_run(net, 9 * SEC);
	node->partition = 0;
	net_run(net, 4 * SEC);
	assert_true(net_holds_fence(node));
	assert_int_not_equal(membership_fence_epoch(node->m), epoch);
	epoch = membership_fence_epoch(node->m);
	net_adopt(node, 4);
	assert_int_not_equal(membership_fence_epoch(node->m), epoch);
	net_destroy(net);
}

/* Guards against confirmations within two leases after a host list that
 * replaces a third or more of the hosts. */
static void test_large_change_suspends_confirmations(void **state)
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
		assert_int_equal(net_count_fence_held(net), 0);
	}
	net_run(net, 5 * SEC);
	assert_true(net_holds_fence(&net->nodes[7]));
	assert_false(net_fence_settled(&net->nodes[7]));
	net_run(net, 6 * SEC);
	assert_true(net_fence_settled(&net->nodes[7]));
	net_destroy(net);
}

/* Guards against a bucket that gets no tokens for a while at each change of the
 * host list: the replacement of one host must neither lose the fence nor change
 * its epoch. */
static void test_host_replacement_keeps_fence(void **state)
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

			assert_true(!node->m || net_holds_fence(node) ||
				    membership_fence_held(node->m, 1));
		}
	}
	assert_int_equal(net_count_fence_held(net), 136);
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
		cmocka_unit_test(test_late_resume_does_not_hold_fence),
		cmocka_unit_test(test_restart_is_not_settled),
		cmocka_unit_test(test_partition_inside_data_centre),
		cmocka_unit_test(test_equal_halves_do_not_hold_fence),
		cmocka_unit_test(
			test_epoch_changes_after_lapse_or_skipped_list),
		cmocka_unit_test(test_large_change_suspends_confirmations),
		cmocka_unit_test(test_host_replacement_keeps_fence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
