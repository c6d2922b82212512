/* Tests of the order of the queue and of early refusals by the objectives of
 * requests, against an upstream with a known number of slots. */
#include "cassia/test.h"

#include "cassia/admission.h"

#define MS CAS_USEC_PER_MSEC
#define SLOTS 2
#define SERVICE_US (100 * MS)
#define CALLS_MAX 20000

typedef struct call {
	admission_ticket_t *ticket;
	int64_t objective_us;
	int64_t offered_us;
	int64_t done_us; /* 0: does not run */
	bool dropped;
	admission_reason_t reason;
	int64_t dropped_us;
} call_t;

typedef struct fixture {
	cas_clock_t *clock;
	cas_rng_t *rng;
	admission_t *admission;
	call_t calls[CALLS_MAX];
	int count;
	int first_open; /* calls before it have ended */
	call_t *last_started;
	int in_time;
	int late;
	int refused_early; /* within an eighth of the objective */
	int refused;
} fixture_t;

static void start(fixture_t *fixture, call_t *call)
{
	call->done_us = cas_clock_now(fixture->clock) + SERVICE_US;
	fixture->last_started = call;
}

static void run(void *private, admission_ticket_t *ticket, void *arg)
{
	call_t *call = arg;

	call->ticket = ticket;
	start(private, call);
}

static void note_refusal(fixture_t *fixture, call_t *call,
			 admission_reason_t reason)
{
	int64_t now_us = cas_clock_now(fixture->clock);

	call->dropped = true;
	call->reason = reason;
	call->dropped_us = now_us;
	fixture->refused++;
	if (now_us - call->offered_us <=
	    (call->objective_us - call->offered_us) / 8 + 10 * MS)
		fixture->refused_early++;
}

static void drop(void *private, void *arg, admission_reason_t reason)
{
	note_refusal(private, arg, reason);
}

static fixture_t *create(void)
{
	static const admission_ops_t ops = { .run = run, .drop = drop };
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	fixture->clock = cas_clock_create_manual(fixture, CAS_USEC_PER_SEC);
	fixture->rng = cas_rng_create(fixture, 1);
	fixture->admission = admission_create(fixture, fixture->clock,
					      fixture->rng, &ops, fixture);
	admission_set_slots(fixture->admission, SLOTS + 1);
	return fixture;
}

/* Offers a request with an objective in objective_us, 0: none. */
static call_t *offer(fixture_t *fixture, int32_t importance,
		     int64_t objective_us, bool child)
{
	call_t *call = &fixture->calls[fixture->count++];
	int64_t now_us = cas_clock_now(fixture->clock);
	admission_request_t request = {
		.importance = importance,
		.draw = (uint32_t)cas_rng_u64(fixture->rng),
		.customer = 1,
		.weight = 1,
		.deadline_us = now_us + 10 * CAS_USEC_PER_SEC,
		.objective_us = objective_us ? now_us + objective_us : 0,
		.child = child,
		.private = call,
	};
	admission_reason_t reason;

	assert_true(fixture->count < CALLS_MAX);
	call->offered_us = now_us;
	call->objective_us = request.objective_us;
	switch (admission_offer(fixture->admission, &request, &call->ticket,
				&reason)) {
	case ADMISSION_RUN:
		start(fixture, call);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REJECTED:
		note_refusal(fixture, call, reason);
		break;
	}
	return call;
}

/* Runs the upstream for time_us microseconds. */
static void simulate(fixture_t *fixture, int64_t time_us)
{
	for (int64_t t = 0; t < time_us; t += MS) {
		int64_t now_us;

		cas_clock_advance(fixture->clock, MS);
		now_us = cas_clock_now(fixture->clock);
		for (int i = fixture->first_open; i < fixture->count; i++) {
			call_t *call = &fixture->calls[i];

			if (call->dropped || !call->done_us ||
			    call->done_us > now_us)
				continue;
			call->dropped = true;
			if (now_us <= call->objective_us)
				fixture->in_time++;
			else
				fixture->late++;
			admission_finish(fixture->admission, call->ticket,
					 ADMISSION_OK);
		}
		while (fixture->first_open < fixture->count &&
		       fixture->calls[fixture->first_open].dropped)
			fixture->first_open++;
		if (t % (10 * MS) == 0)
			admission_tick(fixture->admission);
	}
}

/* Fills the slots after requests have shown how long they take. */
static void occupy(fixture_t *fixture)
{
	for (int i = 0; i < 10; i++) {
		(void)offer(fixture, 5, 0, false);
		simulate(fixture, 2 * SERVICE_US);
	}
	for (int i = 0; i < SLOTS; i++)
		assert_true(offer(fixture, 5, 0, false)->done_us > 0);
}

/* Guards against a request with time left that is served before one that would
 * then be late. */
static void test_order(void **state)
{
	fixture_t *fixture = create();
	call_t *none;
	call_t *relaxed;
	call_t *urgent;

	(void)state;
	occupy(fixture);
	none = offer(fixture, 5, 0, false);
	relaxed = offer(fixture, 5, 4 * CAS_USEC_PER_SEC, false);
	urgent = offer(fixture, 5, 500 * MS, false);
	assert_int_equal(admission_queued(fixture->admission), 3);
	simulate(fixture, SERVICE_US + MS);
	assert_true(urgent->done_us > 0);
	assert_true(relaxed->done_us > 0);
	assert_int_equal(none->done_us, 0);
	simulate(fixture, SERVICE_US + MS);
	assert_true(none->done_us > 0);
	talloc_free(fixture);
}

/* Guards against a request that waits although it cannot be in time, and against
 * a child call that is refused for it. */
static void test_refused_at_once(void **state)
{
	fixture_t *fixture = create();
	call_t *call;

	(void)state;
	occupy(fixture);
	for (int i = 0; i < 8; i++)
		assert_false(offer(fixture, 5, 2 * CAS_USEC_PER_SEC, false)
				     ->dropped);
	call = offer(fixture, 4, 300 * MS, false);
	assert_true(call->dropped);
	assert_int_equal(call->reason, ADMISSION_REASON_LATE);
	assert_false(offer(fixture, 4, 300 * MS, true)->dropped);
	assert_in_range(admission_retry_after_us(fixture->admission, 4, 1),
			100 * MS, 2 * CAS_USEC_PER_SEC);
	talloc_free(fixture);
}

/* Guards against a late refusal of a request that more important ones have
 * overtaken. */
static void test_refused_early(void **state)
{
	fixture_t *fixture = create();
	call_t *call;

	(void)state;
	occupy(fixture);
	call = offer(fixture, 4, 600 * MS, false);
	assert_false(call->dropped);
	for (int i = 0; i < 12; i++)
		(void)offer(fixture, 6, 4 * CAS_USEC_PER_SEC, false);
	simulate(fixture, 90 * MS);
	assert_true(call->dropped);
	assert_int_equal(call->reason, ADMISSION_REASON_LATE);
	assert_true(call->dropped_us - call->offered_us <= 86 * MS);
	talloc_free(fixture);
}

/* Guards against an upstream that gets no work because its requests take longer
 * than their objective. */
static void test_objective_out_of_reach(void **state)
{
	fixture_t *fixture = create();

	(void)state;
	occupy(fixture);
	assert_false(offer(fixture, 5, SERVICE_US / 2, false)->dropped);
	simulate(fixture, 3 * SERVICE_US);
	assert_int_equal(fixture->refused, 0);
	talloc_free(fixture);
}

/* Offers load times what the slots serve, of two routes, for 20 s. */
static void overload(fixture_t *fixture, double load, bool objectives)
{
	double mean_us = (double)SERVICE_US / SLOTS / load;
	double next_us = (double)cas_clock_now(fixture->clock);
	int64_t end_us = cas_clock_now(fixture->clock) + 20 * CAS_USEC_PER_SEC;

	fixture->in_time = 0;
	fixture->late = 0;
	while (cas_clock_now(fixture->clock) < end_us) {
		while (next_us <= (double)cas_clock_now(fixture->clock)) {
			int64_t objective_us = fixture->count % 2
						       ? 300 * MS
						       : CAS_USEC_PER_SEC;
			call_t *call =
				offer(fixture, 5, objectives ? objective_us : 0,
				      false);

			call->objective_us = call->offered_us + objective_us;
			next_us += cas_rng_exponential(fixture->rng, mean_us);
		}
		simulate(fixture, MS);
	}
	print_message("load=%.1f objectives=%d in_time=%d late=%d refused=%d "
		      "refused_early=%d\n",
		      load, objectives, fixture->in_time, fixture->late,
		      fixture->refused, fixture->refused_early);
}

/* Guards against an order that serves requests too late: with objectives, at
 * least as many are in time, hardly any is late, and refusals are early. */
static void test_overload(void **state)
{
	static const double loads[] = { 0.9, 1.2, 2 };

	(void)state;
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		fixture_t *without = create();
		fixture_t *with = create();

		overload(without, loads[i], false);
		overload(with, loads[i], true);
		assert_true(with->in_time >= without->in_time);
		assert_true(with->late <= without->late);
		assert_true(with->late <= 0.02 * with->in_time);
		assert_true(with->refused_early >= 0.95 * with->refused);
		talloc_free(without);
		talloc_free(with);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_refused_at_once),
		cmocka_unit_test(test_refused_early),
		cmocka_unit_test(test_objective_out_of_reach),
		cmocka_unit_test(test_overload),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
