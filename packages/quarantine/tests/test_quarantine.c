/* Tests of the quarantine in a simulated service: daemons that exchange reports
 * over a network with delays and losses, beside upstreams that crash. */
#include "cassia/test.h"

#include <stdio.h>

#include "cassia/quarantine.h"
#include "cassia/rng.h"

#define MS CAS_USEC_PER_MSEC
#define SECOND CAS_USEC_PER_SEC
#define HOSTS_MAX 24
#define MESSAGES_MAX 4096
#define RUNS_MAX 64
#define HOST_ID(i) ((cas_id_t)(100 + (i)))
#define DEADLY 7777
#define POPULAR 1111

typedef struct message {
	bool is_reply;
	int from;
	int to;
	int64_t due_us; /* 0: free */
	quarantine_report report;
	quarantine_reply reply;
	uint64_t crashed[QUARANTINE_DIGESTS_MAX];
	uint64_t served[QUARANTINE_DIGESTS_MAX];
} message_t;

typedef struct run {
	quarantine_digest_t digest; /* 0: free */
	int64_t end_us;
	bool isolated;
} run_t;

typedef struct host {
	struct fleet *fleet;
	quarantine_t *quarantine;
	uint64_t incarnation;
	run_t runs[RUNS_MAX];
	bool isolating;
	int64_t down_until_us;
} host_t;

typedef struct fleet {
	cas_clock_t *clock;
	cas_rng_t *rng;
	int count;
	host_t hosts[HOSTS_MAX];
	message_t messages[MESSAGES_MAX];
	int64_t delay_us;
	uint32_t loss_percent;
	int crashes;
	int served;
	int refused; /* of the innocent requests */
	int failed; /* innocent ones that met a crash */
	int blocks; /* at any daemon */
	quarantine_digest_t last_unique; /* of the requests that come once */
} fleet_t;

static int64_t now_of(const fleet_t *fleet)
{
	return cas_clock_now(fleet->clock);
}

static message_t *new_message(fleet_t *fleet, int from, int to)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		message_t *message = &fleet->messages[i];

		if (message->due_us)
			continue;
		memset(message, 0, sizeof(*message));
		message->from = from;
		message->to = to;
		message->due_us = now_of(fleet) + fleet->delay_us;
		return message;
	}
	fail();
	return NULL;
}

static bool is_lost(fleet_t *fleet)
{
	return cas_rng_below(fleet->rng, 100) < fleet->loss_percent;
}

static void copy_list(u_int len, const uint64_t *from, uint64_t *to)
{
	if (len)
		memcpy(to, from, len * sizeof(*to));
}

static void on_send(void *private, cas_id_t to, const quarantine_report *report)
{
	host_t *host = private;
	fleet_t *fleet = host->fleet;
	message_t *message;

	if (is_lost(fleet))
		return;
	message = new_message(fleet, (int)(host - fleet->hosts),
			      (int)(to - HOST_ID(0)));
	message->report = *report;
	copy_list(report->crashed.crashed_len, report->crashed.crashed_val,
		  message->crashed);
	copy_list(report->served.served_len, report->served.served_val,
		  message->served);
	message->report.crashed.crashed_val = message->crashed;
	message->report.served.served_val = message->served;
}

static void on_blocked(void *private, quarantine_digest_t digest,
		       int32_t crashes, int64_t block_us)
{
	host_t *host = private;

	(void)digest;
	assert_true(crashes > 1);
	assert_true(block_us >= 30 * SECOND);
	host->fleet->blocks++;
}

static void start_daemon(fleet_t *fleet, int index)
{
	static const quarantine_ops_t ops = { .send = on_send,
					      .blocked = on_blocked };
	host_t *host = &fleet->hosts[index];
	cas_id_t peers[HOSTS_MAX];
	size_t count = 0;

	talloc_free(host->quarantine);
	host->fleet = fleet;
	host->incarnation++;
	host->quarantine = quarantine_create(fleet, fleet->clock, &ops, host,
					     HOST_ID(index));
	for (int i = 0; i < fleet->count; i++)
		if (i != index)
			peers[count++] = HOST_ID(i);
	assert_int_equal(quarantine_set_peers(host->quarantine, peers, count),
			 0);
}

static fleet_t *create_fleet(int count, uint64_t seed)
{
	fleet_t *fleet = talloc_zero(NULL, fleet_t);

	fleet->clock = cas_clock_create_manual(fleet, SECOND);
	fleet->rng = cas_rng_create(fleet, seed);
	fleet->count = count;
	fleet->delay_us = 10 * MS;
	fleet->last_unique = 100000;
	for (int i = 0; i < count; i++)
		start_daemon(fleet, i);
	return fleet;
}

static void deliver(fleet_t *fleet, message_t *message)
{
	host_t *to = &fleet->hosts[message->to];
	host_t *from = &fleet->hosts[message->from];
	message_t *answer;

	if (message->is_reply) {
		message->reply.blocked.blocked_val = message->crashed;
		quarantine_on_reply(to->quarantine, HOST_ID(message->from),
				    &message->reply);
		return;
	}
	answer = new_message(fleet, message->to, message->from);
	answer->is_reply = true;
	quarantine_on_report(to->quarantine, HOST_ID(message->from),
			     from->incarnation, &message->report,
			     &answer->reply);
	copy_list(answer->reply.blocked.blocked_len,
		  answer->reply.blocked.blocked_val, answer->crashed);
	if (is_lost(fleet))
		answer->due_us = 0;
}

static void crash(fleet_t *fleet, host_t *host)
{
	quarantine_digest_t digests[RUNS_MAX];
	quarantine_digest_t isolated = 0;
	size_t count = 0;

	for (int i = 0; i < RUNS_MAX; i++) {
		run_t *run = &host->runs[i];

		if (!run->digest)
			continue;
		digests[count++] = run->digest;
		if (run->isolated)
			isolated = run->digest;
		fleet->failed += run->digest != DEADLY;
		run->digest = 0;
	}
	host->isolating = false;
	host->down_until_us = now_of(fleet) + 3 * SECOND;
	fleet->crashes++;
	quarantine_note_crash(host->quarantine, digests, count, isolated);
}

/* Offers a request to a host. Returns whether it is run. */
static bool offer(fleet_t *fleet, int index, quarantine_digest_t digest)
{
	host_t *host = &fleet->hosts[index];
	quarantine_verdict_t verdict =
		quarantine_check(host->quarantine, digest);
	int64_t run_us = (40 + cas_rng_below(fleet->rng, 120)) * MS;

	if (verdict == QUARANTINE_BLOCKED ||
	    (verdict == QUARANTINE_SUSPECT && host->isolating))
		return false;
	for (int i = 0; i < RUNS_MAX; i++) {
		run_t *run = &host->runs[i];

		if (run->digest)
			continue;
		*run = (run_t){ .digest = digest,
				.end_us = now_of(fleet) + run_us,
				.isolated = verdict == QUARANTINE_SUSPECT };
		host->isolating = host->isolating || run->isolated;
		return true;
	}
	return false;
}

/* Returns a random host whose upstream runs, or -1. */
static int pick_host(fleet_t *fleet)
{
	int up[HOSTS_MAX];
	uint32_t count = 0;

	for (int i = 0; i < fleet->count; i++)
		if (now_of(fleet) >= fleet->hosts[i].down_until_us)
			up[count++] = i;
	return count ? up[cas_rng_below(fleet->rng, count)] : -1;
}

/* Sends a request to a host and, as senders do, to two more if it is not
 * taken. */
static bool send_request(fleet_t *fleet, quarantine_digest_t digest)
{
	for (int i = 0; i < 3; i++) {
		int host = pick_host(fleet);

		if (host < 0 || offer(fleet, host, digest))
			return host >= 0;
	}
	fleet->refused += digest != DEADLY;
	return false;
}

static void end_runs(fleet_t *fleet, host_t *host)
{
	for (int i = 0; i < RUNS_MAX; i++) {
		run_t *run = &host->runs[i];

		if (!run->digest || run->end_us > now_of(fleet))
			continue;
		if (run->digest == DEADLY) {
			crash(fleet, host);
			return;
		}
		if (run->isolated)
			host->isolating = false;
		quarantine_note_served(host->quarantine, run->digest);
		fleet->served++;
		run->digest = 0;
	}
}

static void step(fleet_t *fleet)
{
	cas_clock_advance(fleet->clock, MS);
	for (int i = 0; i < MESSAGES_MAX; i++) {
		message_t *message = &fleet->messages[i];

		if (!message->due_us || message->due_us > now_of(fleet))
			continue;
		deliver(fleet, message);
		message->due_us = 0;
	}
	for (int i = 0; i < fleet->count; i++) {
		end_runs(fleet, &fleet->hosts[i]);
		quarantine_tick(fleet->hosts[i].quarantine);
	}
}

static void simulate(fleet_t *fleet, int64_t time_us)
{
	for (int64_t t = 0; t < time_us; t += MS)
		step(fleet);
}

/* Runs time_us with innocent requests, of which a half are the popular one, and
 * the deadly one. Rates are requests a second. */
static void run_load(fleet_t *fleet, int64_t time_us, uint32_t innocent,
		     uint32_t deadly)
{
	for (int64_t t = 0; t < time_us; t += MS) {
		step(fleet);
		if (cas_rng_below(fleet->rng, 1000) < innocent)
			(void)send_request(fleet,
					   cas_rng_below(fleet->rng, 2)
						   ? POPULAR
						   : ++fleet->last_unique);
		if (cas_rng_below(fleet->rng, 1000) < deadly)
			(void)send_request(fleet, DEADLY);
	}
}

/* Guards against a request that ends upstream after upstream, with messages that
 * are lost, and against innocent ones that are held up beside it. */
static void test_deadly_request(void **state)
{
	int most = 0;
	int crashes = 0;
	int refused = 0;
	int sent = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 50; seed++) {
		fleet_t *fleet = create_fleet(6, seed);

		fleet->loss_percent = seed % 2 ? 20 : 0;
		run_load(fleet, 25 * SECOND, 200, 6);
		most = fleet->crashes > most ? fleet->crashes : most;
		crashes += fleet->crashes;
		refused += fleet->refused;
		sent += fleet->served + fleet->refused + fleet->failed;
		talloc_free(fleet);
	}
	printf("figure: 50 seeds: crashes most=%d mean=%.2f; innocent requests "
	       "refused=%d of %d\n",
	       most, crashes / 50.0, refused, sent);
	assert_true(most < 6);
	assert_true(refused * 1000 < sent * 5);
}

/* Guards against more than three runs after the third crash, also when blocks
 * end. */
static void test_runs_after_the_block(void **state)
{
	fleet_t *fleet = create_fleet(6, 3);

	(void)state;
	run_load(fleet, 5 * SECOND, 100, 6);
	fleet->crashes = 0;
	run_load(fleet, 100 * SECOND, 100, 6);
	assert_in_range(fleet->crashes, 0, 3);
	talloc_free(fleet);
}

/* Guards against a popular request that is blocked because a rack, or a whole
 * service, ended while it ran on all upstreams. */
static void test_power_loss(void **state)
{
	fleet_t *fleet = create_fleet(6, 5);
	quarantine_counts_t counts;

	(void)state;
	for (int round = 0; round < 3; round++) {
		run_load(fleet, 4 * SECOND, 400, 0);
		for (int i = 0; i < fleet->count; i++)
			crash(fleet, &fleet->hosts[i]);
		/* While they are down nothing is taken. */
		simulate(fleet, 3 * SECOND);
		fleet->refused = 0;
		fleet->served = 0;
		run_load(fleet, SECOND, 200, 0);
		printf("figure: first second after the return: refused=%d "
		       "served=%d\n",
		       fleet->refused, fleet->served);
		assert_true(fleet->refused <= 20);
		counts = quarantine_counts(fleet->hosts[0].quarantine);
		assert_int_equal(counts.blocked, 0);
		assert_int_equal(
			quarantine_check(fleet->hosts[0].quarantine, POPULAR),
			QUARANTINE_FREE);
	}
	assert_int_equal(fleet->blocks, 0);
	talloc_free(fleet);
}

static quarantine_verdict_t verdict_at(fleet_t *fleet, int index)
{
	return quarantine_check(fleet->hosts[index].quarantine, DEADLY);
}

/* Reports a crash under the deadly request at the host. */
static void note_crash(fleet_t *fleet, int index, bool isolated)
{
	const quarantine_digest_t digest = DEADLY;

	quarantine_note_crash(fleet->hosts[index].quarantine, &digest, 1,
			      isolated ? DEADLY : 0);
	simulate(fleet, 50 * MS);
}

/* Guards against one daemon with a wrong view that blocks the requests of other
 * daemons. */
static void test_one_host_blocks_nothing(void **state)
{
	fleet_t *fleet = create_fleet(6, 1);

	(void)state;
	for (int i = 0; i < 20; i++)
		note_crash(fleet, 0, true);
	for (int i = 1; i < fleet->count; i++)
		assert_int_equal(verdict_at(fleet, i), QUARANTINE_SUSPECT);
	/* A second witness, also for its own word. */
	note_crash(fleet, 1, true);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_BLOCKED);
	talloc_free(fleet);
}

/* Guards against a service with one upstream that is crashed without end. */
static void test_only_upstream(void **state)
{
	fleet_t *fleet = create_fleet(1, 1);

	(void)state;
	note_crash(fleet, 0, false);
	assert_int_equal(verdict_at(fleet, 0), QUARANTINE_SUSPECT);
	note_crash(fleet, 0, true);
	assert_int_equal(verdict_at(fleet, 0), QUARANTINE_BLOCKED);
	talloc_free(fleet);
}

/* Guards against a report that counts more than once because its acknowledgement
 * was lost, and against one that is lost for good. */
static void test_repeated_report(void **state)
{
	fleet_t *fleet = create_fleet(2, 1);
	host_t *host = &fleet->hosts[1];

	(void)state;
	fleet->loss_percent = 60;
	note_crash(fleet, 0, false);
	simulate(fleet, 2 * SECOND);
	fleet->loss_percent = 0;
	assert_int_equal(verdict_at(fleet, 1), QUARANTINE_SUSPECT);
	quarantine_note_served(host->quarantine, DEADLY);
	assert_int_equal(verdict_at(fleet, 1), QUARANTINE_FREE);
	simulate(fleet, 50 * MS);
	assert_int_equal(verdict_at(fleet, 0), QUARANTINE_FREE);
	assert_true(quarantine_next_due(host->quarantine) == INT64_MAX);
	talloc_free(fleet);
}

/* Guards against a daemon that forgets at its restart what is blocked, and
 * against one that believes a single other one. */
static void test_restarted_daemon(void **state)
{
	fleet_t *fleet = create_fleet(4, 1);

	(void)state;
	simulate(fleet, 50 * MS);
	note_crash(fleet, 0, false);
	note_crash(fleet, 1, true);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_BLOCKED);
	start_daemon(fleet, 2);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_FREE);
	simulate(fleet, 50 * MS);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_BLOCKED);
	talloc_free(fleet);

	fleet = create_fleet(2, 1);
	simulate(fleet, 50 * MS);
	note_crash(fleet, 0, false);
	note_crash(fleet, 0, true);
	start_daemon(fleet, 1);
	simulate(fleet, 50 * MS);
	assert_int_equal(verdict_at(fleet, 0), QUARANTINE_BLOCKED);
	assert_int_equal(verdict_at(fleet, 1), QUARANTINE_SUSPECT);
	talloc_free(fleet);
}

/* Guards against a wrong suspicion that lasts: a blocked request that crashes
 * nothing runs again after the block and is free. */
static void test_wrong_block_ends(void **state)
{
	fleet_t *fleet = create_fleet(3, 1);

	(void)state;
	note_crash(fleet, 0, false);
	note_crash(fleet, 1, true);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_BLOCKED);
	assert_true(quarantine_blocked_us(fleet->hosts[2].quarantine, DEADLY) <=
		    30 * SECOND);
	simulate(fleet, 31 * SECOND);
	assert_int_equal(verdict_at(fleet, 2), QUARANTINE_SUSPECT);
	quarantine_note_served(fleet->hosts[2].quarantine, DEADLY);
	quarantine_note_served(fleet->hosts[2].quarantine, DEADLY);
	simulate(fleet, 50 * MS);
	for (int i = 0; i < fleet->count; i++)
		assert_int_equal(verdict_at(fleet, i), QUARANTINE_FREE);
	talloc_free(fleet);
}

/* Guards against memory that grows with the number of different requests, and
 * against a flood that frees a blocked one. */
static void test_many_suspects(void **state)
{
	fleet_t *fleet = create_fleet(3, 1);
	quarantine_digest_t digests[QUARANTINE_DIGESTS_MAX];
	quarantine_counts_t counts;

	(void)state;
	note_crash(fleet, 0, false);
	note_crash(fleet, 1, true);
	for (uint64_t round = 0; round < 200; round++) {
		for (size_t i = 0; i < QUARANTINE_DIGESTS_MAX; i++)
			digests[i] = 10000 + round * 100 + i;
		quarantine_note_crash(fleet->hosts[0].quarantine, digests,
				      QUARANTINE_DIGESTS_MAX, 0);
		simulate(fleet, 10 * MS);
	}
	counts = quarantine_counts(fleet->hosts[0].quarantine);
	assert_int_equal(counts.suspects, 2048);
	assert_int_equal(verdict_at(fleet, 0), QUARANTINE_BLOCKED);
	counts = quarantine_counts(fleet->hosts[2].quarantine);
	/* Two reports in each of three windows. */
	assert_in_range(counts.suspects, 1, 3 * 2 * QUARANTINE_DIGESTS_MAX + 1);
	assert_true(counts.reports_ignored > 0);
	talloc_free(fleet);
}

static const uint8_t keys[2][QUARANTINE_KEY_BYTES] = { "first", "second" };

static quarantine_digest_t digest_of(const quarantine_request_t *request)
{
	return quarantine_digest(keys[0], request);
}

/* Guards against different requests with one digest. */
static void test_digest(void **state)
{
	const quarantine_request_t request = { .customer = 1,
					       .method = CAS_STR("POST"),
					       .target = CAS_STR("/a?b=c"),
					       .body = CAS_STR("text"),
					       .body_bytes = 4 };
	quarantine_request_t other = request;

	(void)state;
	assert_true(digest_of(&request) == digest_of(&other));
	assert_true(digest_of(&request) != quarantine_digest(keys[1], &other));
	other.customer = 2;
	assert_true(digest_of(&request) != digest_of(&other));
	other = request;
	other.method = CAS_STR("PUT");
	assert_true(digest_of(&request) != digest_of(&other));
	other = request;
	other.target = CAS_STR("/a?b=");
	other.body = CAS_STR("ctext");
	assert_true(digest_of(&request) != digest_of(&other));
	other = request;
	other.body = CAS_STR("texT");
	assert_true(digest_of(&request) != digest_of(&other));
	other = request;
	other.body_bytes = 5;
	assert_true(digest_of(&request) != digest_of(&other));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_deadly_request),
		cmocka_unit_test(test_runs_after_the_block),
		cmocka_unit_test(test_power_loss),
		cmocka_unit_test(test_one_host_blocks_nothing),
		cmocka_unit_test(test_only_upstream),
		cmocka_unit_test(test_repeated_report),
		cmocka_unit_test(test_restarted_daemon),
		cmocka_unit_test(test_wrong_block_ends),
		cmocka_unit_test(test_many_suspects),
		cmocka_unit_test(test_digest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
