/*
 * A fleet of daemons with a quota within a tolerance, on one clock. The file
 * that includes this one defines HOSTS, DCS, DCS_PER_REGION, RATE and BURST of the
 * customer, and TOLERANCE_TOKENS.
 */
#ifndef POOL_FLEET_H
#define POOL_FLEET_H

#include "quota_internal.h"

#define CUSTOMER 81
#define WINDOW_S 5
#define TOLERANCE_FRACTION 0.25 /* of rate and burst */
#define STEP_US (5 * CAS_USEC_PER_MSEC)
#define MESSAGES_MAX 4096
#define ADMISSIONS_MAX 20000

typedef struct fixture fixture_t;

typedef struct node {
	fixture_t *f;
	quota_t *quota;
	size_t index;
	bool partitioned; /* its asks and those to it are lost */
} node_t;

typedef struct message {
	cas_id_t from;
	cas_id_t to;
	quota_ask ask;
} message_t;

struct fixture {
	cas_clock_t *clock;
	cas_rng_t *rng;
	bool random_arrivals; /* instead of evenly spaced ones */
	node_t nodes[HOSTS];
	message_t messages[MESSAGES_MAX];
	size_t message_count;
	int64_t admitted_us[ADMISSIONS_MAX];
	size_t admitted;
	size_t refused;
	size_t asks;
	table_data_centre_t dcs[DCS];
	table_customer_t customer;
	table_t table;
	roster_host_t hosts[HOSTS];
	roster_t roster;
};

static void send_ask(void *private_data, cas_id_t to, const quota_ask *ask)
{
	node_t *node = private_data;
	fixture_t *f = node->f;

	f->asks++;
	if (f->message_count < MESSAGES_MAX)
		f->messages[f->message_count++] =
			(message_t){ node->index + 1, to, *ask };
}

static bool no_fence(void *private_data, int64_t revision)
{
	(void)private_data;
	(void)revision;
	return false;
}

static const quota_ops_t ops = {
	.send_ask = send_ask,
	.fence_held = no_fence,
	.fence_settled = no_fence,
};

static void start_node(fixture_t *f, size_t index)
{
	const quota_tolerance_t tolerance = {
		.window_us = WINDOW_S * CAS_USEC_PER_SEC,
		.over_micro = (int64_t)(TOLERANCE_FRACTION * QUOTA_TOKEN),
		.slack_micro = TOLERANCE_TOKENS * QUOTA_TOKEN,
	};
	node_t *node = &f->nodes[index];

	talloc_free(node->quota);
	node->f = f;
	node->index = index;
	node->quota =
		quota_create(f, f->clock, f->rng, &ops, node, index + 1, 1);
	quota_set_tolerance(node->quota, &tolerance);
	quota_set_view(node->quota, &f->table, &f->roster);
}

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->clock = cas_clock_create_manual(f, CAS_USEC_PER_SEC);
	f->rng = cas_rng_create(f, 1);
	for (size_t i = 0; i < DCS; i++)
		f->dcs[i] = (table_data_centre_t){
			.id = i + 1, .region_id = i / DCS_PER_REGION + 1
		};
	f->customer = (table_customer_t){ .id = CUSTOMER,
					  .rate_micro = RATE * QUOTA_TOKEN,
					  .burst_micro = BURST * QUOTA_TOKEN };
	f->table = (table_t){ .revision = 1,
			      .data_centres = f->dcs,
			      .data_centre_count = DCS,
			      .customers = &f->customer,
			      .customer_count = 1 };
	for (size_t i = 0; i < HOSTS; i++)
		f->hosts[i] = (roster_host_t){ .id = i + 1,
					       .data_centre_id = i % DCS + 1 };
	f->roster = (roster_t){ .revision = 1,
				.hosts = f->hosts,
				.host_count = HOSTS };
	for (size_t i = 0; i < HOSTS; i++)
		start_node(f, i);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static void admit(fixture_t *f)
{
	assert_true(f->admitted < ADMISSIONS_MAX);
	f->admitted_us[f->admitted++] = cas_clock_now(f->clock);
}

static void on_done(void *private_data, quota_result_t result,
		    int64_t retry_after_us)
{
	node_t *node = private_data;

	assert_true(result == QUOTA_GRANTED || retry_after_us > 0);
	if (result == QUOTA_GRANTED)
		admit(node->f);
	else
		node->f->refused++;
}

static void request(fixture_t *f, size_t index)
{
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;
	int result = quota_acquire(f->nodes[index].quota, CUSTOMER,
				   cas_clock_now(f->clock) + CAS_USEC_PER_SEC,
				   on_done, &f->nodes[index], &pending,
				   &retry_after_us);

	if (result == QUOTA_GRANTED)
		admit(f);
	else if (result != QUOTA_PENDING)
		f->refused++;
}

static void deliver(fixture_t *f, const message_t *message)
{
	node_t *from = &f->nodes[message->from - 1];
	node_t *to = &f->nodes[message->to - 1];
	quota_reply reply = { 0 };

	if (from->partitioned || to->partitioned)
		return;
	quota_on_ask(to->quota, message->from, 1, &message->ask, &reply);
	quota_on_reply(from->quota, message->to, 1, &reply);
}

/* Returns how many requests arrive in a step. *due is the number that an even
 * load has due. */
static int arrivals(const fixture_t *f, double rate, double *due)
{
	double expected = rate * STEP_US / CAS_USEC_PER_SEC;
	int count = 0;

	if (f->random_arrivals) {
		double at = cas_rng_exponential(f->rng, 1);

		while (at < expected) {
			count++;
			at += cas_rng_exponential(f->rng, 1);
		}
		return count;
	}
	for (*due += expected; *due >= 1; (*due)--)
		count++;
	return count;
}

/* Runs the fleet for a time; node i gets rate[i] requests a second. An ask and
 * its reply are delivered one step after the ask was sent. */
static void run(fixture_t *f, const double *rate, int64_t time_us)
{
	double due[HOSTS] = { 0 };

	for (int64_t t = 0; t < time_us; t += STEP_US) {
		size_t count = f->message_count;

		cas_clock_advance(f->clock, STEP_US);
		f->message_count = 0;
		for (size_t i = 0; i < count; i++)
			deliver(f, &f->messages[i]);
		for (size_t i = 0; i < HOSTS; i++) {
			for (int n = arrivals(f, rate[i], &due[i]); n > 0; n--)
				request(f, i);
			quota_tick(f->nodes[i].quota);
		}
	}
}

/* Checks the admissions in every window against rate, burst and tolerance. */
static void check_bound(const fixture_t *f)
{
	const size_t bound =
		(size_t)((RATE * WINDOW_S + BURST) * (1 + TOLERANCE_FRACTION)) +
		TOLERANCE_TOKENS;
	size_t first = 0;

	for (size_t i = 0; i < f->admitted; i++) {
		while (f->admitted_us[i] - f->admitted_us[first] >=
		       WINDOW_S * CAS_USEC_PER_SEC)
			first++;
		assert_true(i - first + 1 <= bound);
	}
}

#endif
