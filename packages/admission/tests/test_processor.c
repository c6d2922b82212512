/*
 * Tests of the processor limit against a simulated daemon: one event loop that
 * runs ready work in the order in which it became ready, on a processor of
 * which it has a share, called by other daemons with their learned fractions.
 */
#include "cassia/test.h"

#include "cassia/processor.h"
#include "cassia/rng.h"
#include "cassia/thresholds.h"

#define MS CAS_USEC_PER_MSEC
#define SHARE 0.4
/* Processor time of an attempt that is served, and of one that is refused. */
#define ATTEMPT_US 200.0
#define REFUSAL_US 60.0
#define TICK_COST_US 20.0
/* Time of the upstream for a request. */
#define UPSTREAM_US (20 * MS)
/* Time in which a response has its value. */
#define OBJECTIVE_US (400 * MS)
/* Requests per second that the share carries. */
#define FULL_RATE_PER_S (SHARE * 1e6 / ATTEMPT_US)
#define SENDERS 80
#define CUSTOMERS 8
#define RESPONSES_MAX 65536
#define PERIOD_US (100 * MS)

/* How the share limits the process. */
typedef enum share_kind {
	SHARE_SLOWER, /* it runs at a part of the speed */
	SHARE_QUOTA, /* it stands still for the rest of a tenth of a second */
} share_kind_t;

/* A request that was taken in and waits for its upstream. */
typedef struct response {
	int64_t ready_us;
	int64_t arrived_us;
	int sender;
	int customer;
	int importance;
} response_t;

typedef struct fixture {
	cas_clock_t *clock;
	cas_rng_t *rng;
	processor_t *processor; /* NULL: no limit */
	thresholds_t *senders[SENDERS];
	share_kind_t kind;
	int child_customers; /* that send calls of started trees: the first */
	double rate_per_s[CUSTOMERS];
	int importance[CUSTOMERS];
	double next_arrival_us;
	response_t responses[RESPONSES_MAX]; /* circular buffer */
	uint32_t first; /* index of the oldest one */
	uint32_t end;
	int64_t tick_due_us;
	double used_us;
	bool clock_counts_waits; /* the processor clock counts all time */
	int64_t idle_us;
	double period_used_us; /* of the quota */
	int64_t period_start_us;
	/* Results since the last reset_counts. */
	int sent[CUSTOMERS];
	int served[CUSTOMERS]; /* in time */
	int late;
	int refused; /* by the daemon */
	int early; /* by the senders */
	int64_t tick_late_max_us;
} fixture_t;

static fixture_t *create(double share, share_kind_t kind)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	fixture->clock = cas_clock_create_manual(fixture, CAS_USEC_PER_SEC);
	fixture->rng = cas_rng_create(fixture, 1);
	fixture->processor = processor_create(fixture, fixture->clock,
					      (int64_t)(share * 1e6));
	for (int i = 0; i < SENDERS; i++) {
		fixture->senders[i] =
			thresholds_create(fixture, fixture->clock);
		thresholds_set_many_senders(fixture->senders[i], true);
	}
	fixture->kind = kind;
	fixture->tick_due_us = cas_clock_now(fixture->clock);
	fixture->next_arrival_us = (double)fixture->tick_due_us;
	fixture->period_start_us = fixture->tick_due_us;
	for (int i = 0; i < CUSTOMERS; i++)
		fixture->importance[i] = 5;
	return fixture;
}

static bool is_child(const fixture_t *fixture, int customer)
{
	return customer < fixture->child_customers;
}

static double total_rate(const fixture_t *fixture)
{
	double rate = 0;

	for (int i = 0; i < CUSTOMERS; i++)
		rate += fixture->rate_per_s[i];
	return rate;
}

static void set_rate(fixture_t *fixture, double rate_per_s)
{
	for (int i = 0; i < CUSTOMERS; i++)
		fixture->rate_per_s[i] = rate_per_s / CUSTOMERS;
	fixture->next_arrival_us = (double)cas_clock_now(fixture->clock);
}

static void reset_counts(fixture_t *fixture)
{
	for (int i = 0; i < CUSTOMERS; i++) {
		fixture->sent[i] = 0;
		fixture->served[i] = 0;
	}
	fixture->late = 0;
	fixture->refused = 0;
	fixture->early = 0;
	fixture->tick_late_max_us = 0;
}

/* Uses processor time, which takes longer by the share. */
static void use_processor(fixture_t *fixture, double cost_us)
{
	int64_t now_us = cas_clock_now(fixture->clock);

	fixture->used_us += cost_us;
	if (fixture->kind == SHARE_SLOWER) {
		cas_clock_advance(fixture->clock, (int64_t)(cost_us / SHARE));
		return;
	}
	if (now_us >= fixture->period_start_us + PERIOD_US) {
		fixture->period_start_us +=
			(now_us - fixture->period_start_us) / PERIOD_US *
			PERIOD_US;
		fixture->period_used_us = 0;
	}
	fixture->period_used_us += cost_us;
	cas_clock_advance(fixture->clock, (int64_t)cost_us);
	now_us = cas_clock_now(fixture->clock);
	if (fixture->period_used_us >= SHARE * (double)PERIOD_US &&
	    now_us < fixture->period_start_us + PERIOD_US)
		cas_clock_advance(fixture->clock, fixture->period_start_us +
							  PERIOD_US - now_us);
}

/* Chooses the customer of a request by the rates. */
static int choose_customer(fixture_t *fixture)
{
	double value = cas_rng_double(fixture->rng) * total_rate(fixture);

	for (int i = 0; i < CUSTOMERS - 1; i++) {
		value -= fixture->rate_per_s[i];
		if (value < 0)
			return i;
	}
	return CUSTOMERS - 1;
}

/* Tells a sender the fraction in the outcome of an attempt. */
static void learn(fixture_t *fixture, int sender, int importance, int customer)
{
	double fraction = 1;

	if (fixture->processor)
		fraction = processor_fraction(fixture->processor, importance,
					      1 + (cas_id_t)customer,
					      is_child(fixture, customer));
	thresholds_learn(fixture->senders[sender], 1, importance,
			 1 + (cas_id_t)customer, fraction);
}

/* Passes the early rejections of a sender on with an attempt. */
static void report_early_rejections(fixture_t *fixture, int sender)
{
	thresholds_early_rejections_t early[16];
	size_t count = thresholds_take_early_rejections(
		fixture->senders[sender], 1, early, 16);

	for (size_t i = 0; fixture->processor && i < count; i++)
		processor_add_early_rejections(
			fixture->processor, early[i].importance,
			early[i].customer, early[i].count);
}

/* Returns whether a sender forwards a request. */
static bool forwards(fixture_t *fixture, int sender, int importance,
		     int customer, uint32_t draw)
{
	thresholds_t *thresholds = fixture->senders[sender];

	return thresholds_check(thresholds, 1, importance,
				1 + (cas_id_t)customer, draw) ||
	       thresholds_probe(thresholds, 1, importance,
				1 + (cas_id_t)customer);
}

static void measure(fixture_t *fixture, int64_t late_us)
{
	const processor_sample_t sample = {
		.used_us = fixture->clock_counts_waits
				   ? cas_clock_now(fixture->clock)
				   : (int64_t)fixture->used_us,
		.idle_us = fixture->idle_us,
		.late_us = late_us,
	};

	if (fixture->processor)
		processor_measure(fixture->processor, &sample);
}

/* Measures before the tick runs if it is overdue. */
static void measure_if_due(fixture_t *fixture)
{
	int64_t late_us = cas_clock_now(fixture->clock) - fixture->tick_due_us;

	if (late_us > 0 && fixture->processor &&
	    processor_is_due(fixture->processor))
		measure(fixture, late_us);
}

static void receive_attempt(fixture_t *fixture, int64_t arrived_us, int sender,
			    int customer, uint32_t draw)
{
	const processor_request_t request = {
		.work = PROCESSOR_ATTEMPT,
		.importance = fixture->importance[customer],
		.draw = draw,
		.customer = 1 + (cas_id_t)customer,
		.weight = 1,
		.child = is_child(fixture, customer),
	};

	report_early_rejections(fixture, sender);
	measure_if_due(fixture);
	if (fixture->processor &&
	    !processor_admit(fixture->processor, &request)) {
		use_processor(fixture, REFUSAL_US);
		learn(fixture, sender, request.importance, customer);
		fixture->refused++;
		return;
	}
	use_processor(fixture, ATTEMPT_US / 2);
	assert_true(fixture->end - fixture->first < RESPONSES_MAX);
	fixture->responses[fixture->end++ % RESPONSES_MAX] = (response_t){
		.ready_us = cas_clock_now(fixture->clock) + UPSTREAM_US,
		.arrived_us = arrived_us,
		.sender = sender,
		.customer = customer,
		.importance = request.importance,
	};
}

static void run_arrival(fixture_t *fixture)
{
	int64_t arrived_us = (int64_t)fixture->next_arrival_us;
	int sender = (int)cas_rng_below(fixture->rng, SENDERS);
	int customer = choose_customer(fixture);
	uint32_t draw = (uint32_t)cas_rng_u64(fixture->rng);

	fixture->next_arrival_us +=
		cas_rng_exponential(fixture->rng, 1e6 / total_rate(fixture));
	fixture->sent[customer]++;
	if (forwards(fixture, sender, fixture->importance[customer], customer,
		     draw))
		receive_attempt(fixture, arrived_us, sender, customer, draw);
	else
		fixture->early++;
}

static void run_response(fixture_t *fixture)
{
	response_t response =
		fixture->responses[fixture->first++ % RESPONSES_MAX];

	use_processor(fixture, ATTEMPT_US / 2);
	learn(fixture, response.sender, response.importance, response.customer);
	if (cas_clock_now(fixture->clock) - response.arrived_us <= OBJECTIVE_US)
		fixture->served[response.customer]++;
	else
		fixture->late++;
}

static void run_tick(fixture_t *fixture)
{
	int64_t late_us = cas_clock_now(fixture->clock) - fixture->tick_due_us;

	if (late_us > fixture->tick_late_max_us)
		fixture->tick_late_max_us = late_us;
	measure(fixture, late_us);
	use_processor(fixture, TICK_COST_US);
	fixture->tick_due_us = cas_clock_now(fixture->clock) + 10 * MS;
}

/* Runs the event loop: the work that became ready first goes first. */
static void simulate(fixture_t *fixture, int64_t time_us)
{
	int64_t end_us = cas_clock_now(fixture->clock) + time_us;
	int64_t now_us;

	while ((now_us = cas_clock_now(fixture->clock)) < end_us) {
		const response_t *response =
			&fixture->responses[fixture->first % RESPONSES_MAX];
		int64_t due_us = fixture->tick_due_us;
		void (*run)(fixture_t * fixture) = run_tick;

		if (total_rate(fixture) > 0 &&
		    fixture->next_arrival_us < (double)due_us) {
			due_us = (int64_t)fixture->next_arrival_us;
			run = run_arrival;
		}
		if (fixture->first != fixture->end &&
		    response->ready_us < due_us) {
			due_us = response->ready_us;
			run = run_response;
		}
		if (due_us > now_us) {
			cas_clock_advance(fixture->clock, due_us - now_us);
			fixture->idle_us += due_us - now_us;
		}
		run(fixture);
	}
}

static int sum(const int counts[CUSTOMERS])
{
	int total = 0;

	for (int i = 0; i < CUSTOMERS; i++)
		total += counts[i];
	return total;
}

/* Returns the requests served in time per second at a load, in parts of what
 * the share carries, after two seconds at that load. */
static double goodput(fixture_t *fixture, double load)
{
	const int seconds = 4;

	set_rate(fixture, load * FULL_RATE_PER_S);
	simulate(fixture, 2 * CAS_USEC_PER_SEC);
	reset_counts(fixture);
	simulate(fixture, seconds * CAS_USEC_PER_SEC);
	print_message("load=%.0f served=%.3f late=%d refused=%d early=%d "
		      "tick_late_max_us=%lld\n",
		      load,
		      (double)sum(fixture->served) / seconds / FULL_RATE_PER_S,
		      fixture->late, fixture->refused, fixture->early,
		      (long long)fixture->tick_late_max_us);
	return (double)sum(fixture->served) / seconds / FULL_RATE_PER_S;
}

/* Checks that goodput stays level from one to ten times the load. */
static void check_level_goodput(double share, share_kind_t kind)
{
	static const double loads[] = { 1, 2, 3, 5, 10 };
	double first = 0;

	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		fixture_t *fixture = create(share, kind);
		double served = goodput(fixture, loads[i]);

		if (!i)
			first = served;
		assert_true(served >= 0.8);
		assert_true(served >= 0.95 * first);
		assert_true(fixture->tick_late_max_us < 50 * MS);

		talloc_free(fixture);
	}
}

/* Guards against a daemon that does less work the more it is offered: its event
 * loop is late, so that responses miss their deadline, or refusals take all of
 * its processor time. */
static void test_level_goodput(void **state)
{
	(void)state;
	check_level_goodput(SHARE, SHARE_SLOWER);
}

/* The same where the process stands still once its quota is used up. */
static void test_quota(void **state)
{
	(void)state;
	check_level_goodput(SHARE, SHARE_QUOTA);
}

/* The same where the share is not known, so that only lateness limits. */
static void test_unknown_share(void **state)
{
	(void)state;
	check_level_goodput(0, SHARE_SLOWER);
}

/* Guards against a collapse where the share is an unknown quota: only lateness
 * shows it, so that one time what the share carries is not limited at all. */
static void test_unknown_quota(void **state)
{
	static const double loads[] = { 2, 10 };

	(void)state;
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		fixture_t *fixture = create(0, SHARE_QUOTA);

		assert_true(goodput(fixture, loads[i]) >= 0.8);
		talloc_free(fixture);
	}
}

/* Guards against refusing nearly everything where the processor clock also counts
 * the time in which the process waits, as seen in a simulated environment: the
 * process then seems to use a whole core, far beyond its share. */
static void test_clock_that_counts_waits(void **state)
{
	static const double loads[] = { 0.7, 1, 2, 10 };

	(void)state;
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		fixture_t *fixture = create(SHARE, SHARE_SLOWER);
		double served;

		fixture->clock_counts_waits = true;
		served = goodput(fixture, loads[i]);
		if (loads[i] < 1)
			assert_int_equal(fixture->refused + fixture->early, 0);
		assert_true(served >=
			    0.9 * (loads[i] < 0.85 ? loads[i] : 0.85));
		talloc_free(fixture);
	}
}

/* Shows that the simulated overload is real: without a limit the goodput
 * collapses. */
static void test_without_limit(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	TALLOC_FREE(fixture->processor);
	assert_true(goodput(fixture, 2) < 0.2);
	talloc_free(fixture);
}

/* Guards against work that is refused while the daemon can carry it. */
static void test_moderate_load(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	assert_true(goodput(fixture, 0.7) > 0.65);
	assert_int_equal(fixture->refused + fixture->early, 0);
	talloc_free(fixture);
}

/* Guards against important requests that are refused while less important ones
 * are taken in. */
static void test_importance(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);
	static const int importance[CUSTOMERS] = { 12, 9, 5, 1, 12, 9, 5, 1 };

	(void)state;
	for (int i = 0; i < CUSTOMERS; i++)
		fixture->importance[i] = importance[i];
	goodput(fixture, 2);
	assert_true(fixture->served[0] >= 0.999 * fixture->sent[0] - 10);
	assert_true(fixture->served[1] >= 0.5 * fixture->sent[1]);
	assert_true(fixture->served[1] <= fixture->served[0]);
	assert_true(fixture->served[2] <= fixture->served[1]);
	assert_true(fixture->served[3] <= 0.05 * fixture->sent[3]);
	talloc_free(fixture);
}

/* Guards against calls of started trees that are refused while new requests are
 * taken in. */
static void test_started_trees(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	/* Customer 0 only sends calls of started trees, of low importance. */
	fixture->child_customers = 1;
	fixture->importance[0] = 1;
	set_rate(fixture, 3 * FULL_RATE_PER_S);
	simulate(fixture, 2 * CAS_USEC_PER_SEC);
	reset_counts(fixture);
	simulate(fixture, 4 * CAS_USEC_PER_SEC);
	assert_true(fixture->served[0] >= 0.99 * fixture->sent[0] - 10);
	assert_true(fixture->served[1] <= 0.5 * fixture->sent[1]);
	talloc_free(fixture);
}

/* Guards against work that is refused because other processes of the host delay
 * an event loop that has little to do. */
static void test_delayed_by_others(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	set_rate(fixture, 0.3 * FULL_RATE_PER_S);
	for (int i = 0; i < 30; i++) {
		simulate(fixture, 100 * MS);
		/* The process waits for a processor; to it, this looks as if
		 * no event had arrived. */
		cas_clock_advance(fixture->clock, 40 * MS);
		fixture->idle_us += 40 * MS;
	}
	assert_int_equal(fixture->refused + fixture->early, 0);
	talloc_free(fixture);
}

/* Guards against requests that count as work although another check refused
 * them: they would make the daemon look overloaded. */
static void test_turned_away(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);
	const processor_request_t request = { .work = PROCESSOR_ENTRY,
					      .importance = 5,
					      .customer = 1,
					      .weight = 1,
					      .draw = UINT32_MAX };

	(void)state;
	for (int i = 0; i < 4000; i++) {
		assert_true(processor_admit(fixture->processor, &request));
		processor_turned_away(fixture->processor, &request);
		cas_clock_advance(fixture->clock, MS / 4);
		fixture->used_us += REFUSAL_US;
		fixture->idle_us += MS / 4 - (int64_t)REFUSAL_US;
		if (i % 40 == 0)
			measure(fixture, 0);
	}
	talloc_free(fixture);
}

/* Guards against a customer that takes the share of others of the same
 * importance by sending ten times its own. */
static void test_customers(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	set_rate(fixture, FULL_RATE_PER_S);
	fixture->rate_per_s[0] *= 10;
	for (int i = 1; i < CUSTOMERS; i++)
		fixture->rate_per_s[i] *= 0.8;
	simulate(fixture, 2 * CAS_USEC_PER_SEC);
	reset_counts(fixture);
	simulate(fixture, 4 * CAS_USEC_PER_SEC);
	for (int i = 1; i < CUSTOMERS; i++)
		assert_true(fixture->served[i] >= 0.99 * fixture->sent[i] - 10);
	talloc_free(fixture);
}

/* Guards against refusals that go on after a burst. */
static void test_recovery(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);

	(void)state;
	goodput(fixture, 10);
	set_rate(fixture, 0.7 * FULL_RATE_PER_S);
	simulate(fixture, CAS_USEC_PER_SEC);
	reset_counts(fixture);
	simulate(fixture, CAS_USEC_PER_SEC);
	print_message("after burst: sent=%d served=%d refused=%d early=%d\n",
		      sum(fixture->sent), sum(fixture->served),
		      fixture->refused, fixture->early);
	assert_true(sum(fixture->served) >= 0.95 * sum(fixture->sent) - 40);
	talloc_free(fixture);
}

/* Guards against a daemon that shuts itself because of a wrong measurement: a
 * suspended process, a counter that runs backwards, a clock that jumps. */
static void test_wrong_measurements(void **state)
{
	fixture_t *fixture = create(SHARE, SHARE_SLOWER);
	processor_state_t processor_state;

	(void)state;
	goodput(fixture, 0.7);
	/* Suspended for an hour. */
	cas_clock_advance(fixture->clock, 3600 * CAS_USEC_PER_SEC);
	fixture->next_arrival_us = (double)cas_clock_now(fixture->clock);
	assert_true(goodput(fixture, 0.7) > 0.65);
	assert_int_equal(fixture->refused + fixture->early, 0);
	/* The counter of used time is reset, then jumps ahead. */
	fixture->used_us = 0;
	assert_true(goodput(fixture, 0.7) > 0.65);
	fixture->used_us += 1e12;
	assert_true(goodput(fixture, 0.7) > 0.65);
	assert_int_equal(fixture->refused + fixture->early, 0);
	processor_get_state(fixture->processor, &processor_state);
	assert_true(processor_state.discarded >= 3);
	assert_in_range(processor_state.cost_us[PROCESSOR_ATTEMPT],
			(int)(ATTEMPT_US * 0.7), (int)(ATTEMPT_US * 1.4));
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_level_goodput),
		cmocka_unit_test(test_quota),
		cmocka_unit_test(test_unknown_share),
		cmocka_unit_test(test_unknown_quota),
		cmocka_unit_test(test_clock_that_counts_waits),
		cmocka_unit_test(test_without_limit),
		cmocka_unit_test(test_moderate_load),
		cmocka_unit_test(test_importance),
		cmocka_unit_test(test_started_trees),
		cmocka_unit_test(test_customers),
		cmocka_unit_test(test_delayed_by_others),
		cmocka_unit_test(test_turned_away),
		cmocka_unit_test(test_recovery),
		cmocka_unit_test(test_wrong_measurements),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
