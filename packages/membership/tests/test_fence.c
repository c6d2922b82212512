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

/* Guards against a daemon that adds tokens when it wakes up late, also when
 * it first handles old messages that waited for it. */
static void test_late_waking_daemon_is_not_fenced_in(void **state)
{
	network_t *net = net_create(4, 1, 3);
	node_t *late = &net->nodes[1];

	(void)state;
	net_start_all(net);
	net_run(net, 12 * SEC);
	assert_true(net_settled(late));
	late->paused = true;
	net_run(net, 900 * CAS_USEC_PER_MSEC);
	assert_non_null(late->waiting);
	late->side = 1;
	net_run(net, 6 * SEC);
	assert_false(net_held(late));
	net_resume(late);
	assert_false(net_held(late));
	late->side = 0;
	net_run(net, 4 * SEC);
	assert_true(net_held(late));
	net_destroy(net);
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

#define BUCKETS 16
#define GRANT_US (2 * SEC)

/* Quota's rule for one host: a bucket is owned once the fence is settled, and
 * kept while the epoch stays and the host remains its holder. */
typedef struct bucket {
	bool owned[10];
	uint64_t epoch[10];
	int64_t added_us[10];
} bucket_t;

static bool holds(const node_t *node, uint64_t key)
{
	const roster_t *roster = node->net->rosters[node->roster_revision];
	cas_id_t ids[10];

	for (size_t i = 0; i < roster->host_count; i++)
		ids[i] = roster->hosts[i].id;
	return ids[cas_rendezvous_pick(ids, roster->host_count, key)] ==
	       node->id;
}

static bool adds(bucket_t *bucket, const node_t *node, uint64_t key)
{
	size_t i = node->index;
	uint64_t epoch;

	if (!node->m || !holds(node, key)) {
		bucket->owned[i] = false;
		return false;
	}
	epoch = membership_fence_epoch(node->m);
	if (bucket->owned[i] && bucket->epoch[i] != epoch)
		bucket->owned[i] = false;
	if (net_settled(node)) {
		bucket->owned[i] = true;
		bucket->epoch[i] = epoch;
	}
	return bucket->owned[i] &&
	       (net_held(node) ||
		membership_fence_held(node->m, node->roster_revision - 1));
}

/* Checks that nobody adds while a grant of another holder may live. Returns
 * how many buckets are served. */
static size_t check_buckets(network_t *net, bucket_t *buckets)
{
	int64_t now = cas_clock_now(net->clock);
	size_t served = 0;

	for (size_t k = 0; k < BUCKETS; k++) {
		for (size_t i = 0; i < net->count; i++) {
			const node_t *node = &net->nodes[i];

			if (node->paused || !adds(&buckets[k], node, k))
				continue;
			for (size_t j = 0; j < net->count; j++)
				assert_true(j == i ||
					    now - buckets[k].added_us[j] >
						    GRANT_US);
			buckets[k].added_us[i] = now;
			served++;
		}
	}
	return served;
}

typedef struct scenario {
	network_t *net;
	cas_rng_t *rng;
	bool listed[10];
	int64_t revision;
	int64_t changed_us;
	int64_t restarted_us;
} scenario_t;

/* Replaces one host of the list, at most every 12 s. */
static void replace_host(scenario_t *s)
{
	network_t *net = s->net;
	size_t out = cas_rng_below(s->rng, (uint32_t)net->count);
	size_t in = cas_rng_below(s->rng, (uint32_t)net->count);
	int64_t now = cas_clock_now(net->clock);

	if (!s->listed[out] || s->listed[in] || now - s->changed_us < 12 * SEC)
		return;
	s->changed_us = now;
	s->listed[out] = false;
	s->listed[in] = true;
	net_publish(net, ++s->revision, s->listed);
	net_start(&net->nodes[in], s->revision);
	net->nodes[in].side = 0;
	net_adopt(&net->nodes[cas_rng_below(s->rng, (uint32_t)net->count)],
		  s->revision);
}

/* Restarts one host, at the list in use or the one before it. */
static void restart_host(scenario_t *s, node_t *node)
{
	int64_t now = cas_clock_now(s->net->clock);
	int64_t stale = cas_rng_below(s->rng, 2);

	if (!node->m || now - s->restarted_us < 10 * SEC)
		return;
	s->restarted_us = now;
	net_start(node, s->revision > stale ? s->revision - stale : 1);
}

static void disturb(scenario_t *s)
{
	node_t *node =
		&s->net->nodes[cas_rng_below(s->rng, (uint32_t)s->net->count)];

	switch (cas_rng_below(s->rng, 12)) {
	case 0:
	case 1:
		if (node->paused)
			net_resume(node);
		else
			node->paused = node->m && cas_rng_below(s->rng, 2);
		break;
	case 2:
		node->side = !node->side;
		break;
	case 3:
		restart_host(s, node);
		break;
	case 4:
		s->net->loss_permille = cas_rng_below(s->rng, 300);
		break;
	case 5:
	case 6:
		replace_host(s);
		break;
	default:
		for (size_t i = 0; i < s->net->count; i++) {
			if (s->net->nodes[i].paused)
				net_resume(&s->net->nodes[i]);
			s->net->nodes[i].side = 0;
		}
		s->net->loss_permille = 0;
		break;
	}
}

/*
 * Guards against two holders that both add tokens of one bucket, or one that
 * adds while grants of the earlier one live: random pauses, partitions, loss,
 * restarts with a stale list and replaced hosts.
 */
static void run_scenario(uint32_t seed)
{
	bucket_t buckets[BUCKETS];
	scenario_t s = { .net = net_create(10, 1, seed), .revision = 1 };
	size_t served = 0;
	size_t steps = 0;

	s.rng = cas_rng_create(s.net, seed * 7919);
	memset(buckets, 0, sizeof(buckets));
	for (size_t i = 0; i < 8; i++)
		s.listed[i] = true;
	net_publish(s.net, 1, s.listed);
	for (size_t i = 0; i < 8; i++)
		net_start(&s.net->nodes[i], 1);
	for (int i = 0; i < 120; i++) {
		disturb(&s);
		for (int k = 0; k < 100; k++) {
			net_run(s.net, 20 * CAS_USEC_PER_MSEC);
			served += check_buckets(s.net, buckets);
			steps++;
		}
	}
	/* The run means something only when buckets are served meanwhile. */
	assert_true(served > steps * BUCKETS / 4);
	net_destroy(s.net);
}

static void test_one_holder_adds(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 12; seed++)
		run_scenario(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_single_host),
		cmocka_unit_test(test_three_hosts_lose_and_regain_quorum),
		cmocka_unit_test(test_late_waking_daemon_is_not_fenced_in),
		cmocka_unit_test(test_restart_is_not_settled),
		cmocka_unit_test(test_partition_inside_data_centre),
		cmocka_unit_test(test_large_change_is_silent),
		cmocka_unit_test(test_kept_fence_has_no_lapse),
		cmocka_unit_test(test_one_holder_adds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
