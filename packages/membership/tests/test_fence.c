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

/* Pauses a host that has just sent beats, cuts it off after a while, and lets
 * it handle the waiting calls and replies wake_us after that. */
static void wake_late(size_t hosts, size_t index, int64_t wake_us)
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
			size_t index = i < 2 ? i : hosts - 1;

			wake_late(hosts, index, 6 * SEC);
			wake_late(hosts, index, 4 * SEC);
			wake_late(hosts, index, SEC / 2);
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

static void run_checked(network_t *net, bucket_t *buckets, int64_t us)
{
	for (int64_t t = 0; t < us; t += SEC / 50) {
		net_run(net, SEC / 50);
		check_buckets(net, buckets);
	}
}

/* Guards against a holder that keeps its buckets when it was taken off the
 * list and put back while cut off: the holder in between, cut off as it is
 * taken off, settles by what it was told before. */
static void test_holder_taken_off_and_put_back(void **state)
{
	bool listed[5] = { 1, 1, 1, 1, 0 };
	network_t *net = net_create(5, 1, 11);
	bucket_t buckets[BUCKETS];
	int64_t between_us = 0;

	(void)state;
	memset(buckets, 0, sizeof(buckets));
	net_publish(net, 1, listed);
	net_publish(net, 3, listed);
	listed[3] = false;
	listed[4] = true;
	net_publish(net, 2, listed);
	for (size_t i = 0; i < 4; i++)
		net_start(&net->nodes[i], 1);
	run_checked(net, buckets, 12 * SEC);
	net->nodes[3].side = 1;
	net_start(&net->nodes[4], 2);
	for (size_t i = 0; i < 3; i++)
		net_adopt(&net->nodes[i], 2);
	run_checked(net, buckets, 5 * SEC);
	net->nodes[3].side = 0;
	net->nodes[4].side = 1;
	for (size_t i = 0; i < 4; i++)
		net_adopt(&net->nodes[i], 3);
	run_checked(net, buckets, 15 * SEC);
	for (size_t k = 0; k < BUCKETS; k++) {
		if (buckets[k].added_us[4] > between_us)
			between_us = buckets[k].added_us[4];
	}
	assert_true(between_us > 0);
	net_destroy(net);
}

typedef struct scenario {
	network_t *net;
	cas_rng_t *rng;
	bool listed[10];
	int64_t revision;
	int64_t changed_us;
	int64_t restarted_us;
} scenario_t;

static uint32_t draw(scenario_t *s, uint32_t limit)
{
	return cas_rng_below(s->rng, limit);
}

static node_t *any_node(scenario_t *s)
{
	return &s->net->nodes[draw(s, (uint32_t)s->net->count)];
}

/* Replaces one host of the list, at most every 12 s. Either one host hears of
 * it, or all do at once and the replaced host is cut off. */
static void replace_host(scenario_t *s)
{
	network_t *net = s->net;
	node_t *out = any_node(s);
	node_t *in = any_node(s);
	int64_t now = cas_clock_now(net->clock);

	if (!s->listed[out->index] || s->listed[in->index] ||
	    now - s->changed_us < 12 * SEC)
		return;
	s->changed_us = now;
	s->listed[out->index] = false;
	s->listed[in->index] = true;
	net_publish(net, ++s->revision, s->listed);
	net_start(in, s->revision);
	if (draw(s, 2)) {
		net_adopt(any_node(s), s->revision);
		return;
	}
	out->side = 2;
	for (size_t i = 0; i < net->count; i++) {
		if (&net->nodes[i] != out && !net->nodes[i].paused)
			net_adopt(&net->nodes[i], s->revision);
	}
}

/* Restarts one host, at the list in use or the one before it. */
static void restart_host(scenario_t *s, node_t *node)
{
	int64_t now = cas_clock_now(s->net->clock);
	int64_t stale = draw(s, 2);

	if (!node->m || now - s->restarted_us < 10 * SEC)
		return;
	s->restarted_us = now;
	net_start(node, s->revision > stale ? s->revision - stale : 1);
}

static void part(scenario_t *s)
{
	uint32_t kind = draw(s, 4);

	for (size_t i = 0; i < s->net->count; i++)
		s->net->nodes[i].side = kind == 0 ? (int)draw(s, 2) : 0;
	if (kind == 1)
		any_node(s)->side = 1;
}

static void toggle_pause(scenario_t *s)
{
	node_t *node = any_node(s);

	if (node->paused)
		net_resume(node);
	else
		node->paused = node->m && draw(s, 2);
}

static void heal(scenario_t *s)
{
	s->net->loss_permille = 0;
	for (size_t i = 0; i < s->net->count; i++) {
		s->net->nodes[i].side = 0;
		if (s->net->nodes[i].paused)
			net_resume(&s->net->nodes[i]);
	}
}

static void disturb(scenario_t *s)
{
	switch (draw(s, 10)) {
	case 0:
		part(s);
		break;
	case 1:
		restart_host(s, any_node(s));
		break;
	case 2:
		s->net->loss_permille = draw(s, 300);
		break;
	case 3:
	case 4:
		replace_host(s);
		break;
	case 5:
		heal(s);
		break;
	default:
		toggle_pause(s);
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
	for (int i = 0; i < 200; i++) {
		disturb(&s);
		if (i % 8 == 7)
			heal(&s);
		for (uint32_t k = draw(&s, i % 8 == 7 ? 800 : 200); k > 0;
		     k--) {
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
	for (uint32_t seed = 1; seed <= 16; seed++)
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
		cmocka_unit_test(test_halves_are_not_fenced_in),
		cmocka_unit_test(test_epoch_tells_lapses),
		cmocka_unit_test(test_large_change_is_silent),
		cmocka_unit_test(test_kept_fence_has_no_lapse),
		cmocka_unit_test(test_holder_taken_off_and_put_back),
		cmocka_unit_test(test_one_holder_adds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
