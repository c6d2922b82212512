/* Tests that at most one holder of a bucket adds tokens, by quota's rule. */
#include "cassia/test.h"

#include "network.h"

#define SEC CAS_USEC_PER_SEC
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
		cmocka_unit_test(test_holder_taken_off_and_put_back),
		cmocka_unit_test(test_one_holder_adds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
