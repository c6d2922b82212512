/* Measures the processor use of this daemon and applies the processor limit to
 * the requests of callers, of the own upstream and of other daemons. */
#include "processor_use.h"

#include <time.h>

#include "cassia/log.h"

/* Shortest time between two log lines that say whether the limit acts. It may
 * begin and end to act several times a second near the capacity. */
#define LOG_INTERVAL_US CAS_USEC_PER_SEC
/* The limit and what was last logged about it. */
struct processor_use {
	processor_t *limit;
	bool in_force;
	int64_t idle_us; /* time in which the event loop waited for events */
	int64_t wait_started_us; /* 0: it does not wait */
	bool logged_limiting;
	int64_t logged_us; /* time of the last line */
	uint64_t logged_refused; /* refused requests at that time */
};

int processor_use_create(cassiad_t *daemon)
{
	processor_use_t *use = talloc_zero(daemon, processor_use_t);

	daemon->processor = use;
	if (!use)
		return ADMISSION_ENOMEM;
	use->limit = processor_create(use, daemon->clock,
				      daemon->settings->processor_share_micro);
	return use->limit ? 0 : ADMISSION_ENOMEM;
}

/* Returns the processor time that this process has used, in microseconds. */
static int64_t used_us(void)
{
	struct timespec used;

	if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used))
		return -1;
	return used.tv_sec * CAS_USEC_PER_SEC + used.tv_nsec / 1000;
}

static void measure(cassiad_t *daemon, int64_t late_us)
{
	const processor_sample_t sample = {
		.used_us = used_us(),
		.idle_us = daemon->processor->idle_us,
		.late_us = late_us,
	};

	if (sample.used_us >= 0)
		processor_measure(daemon->processor->limit, &sample);
}

/* Called by tevent around each wait for events. */
static void on_loop_step(enum tevent_trace_point point, void *private)
{
	cassiad_t *daemon = private;
	processor_use_t *use = daemon->processor;

	if (point == TEVENT_TRACE_BEFORE_WAIT) {
		use->wait_started_us = cas_clock_now(daemon->clock);
	} else if (point == TEVENT_TRACE_AFTER_WAIT && use->wait_started_us) {
		use->idle_us +=
			cas_clock_now(daemon->clock) - use->wait_started_us;
		use->wait_started_us = 0;
	}
}

/* Starts and stops to measure, so that nothing is measured while the limit is
 * not in force. */
static void set_in_force(cassiad_t *daemon, bool in_force)
{
	processor_use_t *use = daemon->processor;

	use->in_force = in_force;
	use->wait_started_us = 0;
	processor_reset(use->limit);
	thresholds_set_many_senders(daemon->thresholds, in_force);
	tevent_set_trace_callback(daemon->ev, in_force ? on_loop_step : NULL,
				  in_force ? daemon : NULL);
	cas_log(CAS_LOG_INFO, "processor_limit",
		CAS_LOG_INT("in_force", in_force),
		CAS_LOG_INT("share_micro",
			    daemon->settings->processor_share_micro));
}

static void log_state(const cassiad_t *daemon, const char *event,
		      const processor_state_t *state)
{
	const processor_use_t *use = daemon->processor;

	cas_log(CAS_LOG_INFO, event,
		CAS_LOG_INT("share_micro",
			    daemon->settings->processor_share_micro),
		CAS_LOG_INT("capacity_permille", state->capacity_permille),
		CAS_LOG_INT("used_permille", state->used_permille),
		CAS_LOG_INT("speed_permille", state->speed_permille),
		CAS_LOG_INT("loop_time", state->uses_loop_time),
		CAS_LOG_INT("offered_permille", state->offered_permille),
		CAS_LOG_INT("wait_us", state->wait_us),
		CAS_LOG_INT("age_us", state->measured_age_us),
		CAS_LOG_INT("entry_us", state->cost_us[PROCESSOR_ENTRY]),
		CAS_LOG_INT("child_us", state->cost_us[PROCESSOR_CHILD_CALL]),
		CAS_LOG_INT("attempt_us", state->cost_us[PROCESSOR_ATTEMPT]),
		CAS_LOG_INT("refusal_us", state->cost_us[PROCESSOR_REFUSAL]),
		CAS_LOG_INT("refused",
			    (int64_t)(state->refused - use->logged_refused)));
}

/* Logs when the limit begins and ends to act. */
static void log_change(cassiad_t *daemon)
{
	processor_use_t *use = daemon->processor;
	int64_t now_us = cas_clock_now(daemon->clock);
	processor_state_t state;

	if (now_us - use->logged_us < LOG_INTERVAL_US)
		return;
	processor_get_state(use->limit, &state);
	if (state.limiting == use->logged_limiting)
		return;
	log_state(daemon,
		  state.limiting ? "processor_limit_begins"
				 : "processor_limit_ends",
		  &state);
	use->logged_limiting = state.limiting;
	use->logged_us = now_us;
	use->logged_refused = state.refused;
}

void processor_use_tick(cassiad_t *daemon, int64_t late_us)
{
	processor_use_t *use = daemon->processor;
	bool in_force = daemon_hosts_are_shared(daemon);

	if (in_force != use->in_force)
		set_in_force(daemon, in_force);
	if (!in_force)
		return;
	measure(daemon, late_us);
	log_change(daemon);
}

static processor_request_t request_of(processor_work_t work,
				      const attempt_context *context)
{
	return (processor_request_t){
		.work = work,
		.importance = (int32_t)context->importance,
		.draw = context->draw,
		.customer = context->customer,
		.weight = (int32_t)context->weight,
		.child = context->depth > 0,
	};
}

/* Measures while the tick waits behind other work. */
static void measure_if_overdue(cassiad_t *daemon)
{
	int64_t late_us = cas_clock_now(daemon->clock) - daemon->tick_due_us;

	if (late_us > 0 && processor_is_due(daemon->processor->limit))
		measure(daemon, late_us);
}

bool processor_use_admits(cassiad_t *daemon, processor_work_t work,
			  const attempt_context *context)
{
	const processor_request_t request = request_of(work, context);

	if (!daemon->processor->in_force)
		return true;
	measure_if_overdue(daemon);
	return processor_admit(daemon->processor->limit, &request);
}

void processor_use_count_refusal(cassiad_t *daemon)
{
	if (daemon->processor->in_force)
		processor_count_refusal(daemon->processor->limit);
}

void processor_use_turned_away(cassiad_t *daemon, processor_work_t work,
			       const attempt_context *context)
{
	const processor_request_t request = request_of(work, context);

	if (daemon->processor->in_force)
		processor_turned_away(daemon->processor->limit, &request);
}

void processor_use_count_early(cassiad_t *daemon,
			       const attempt_context *context)
{
	if (!daemon->processor->in_force)
		return;
	for (u_int i = 0; i < context->early.early_len; i++) {
		const attempt_early *early = &context->early.early_val[i];

		if (early->importance >= PROCESSOR_IMPORTANCES)
			continue;
		processor_add_early_rejections(daemon->processor->limit,
					       (int32_t)early->importance,
					       early->customer, early->count);
	}
}

double processor_use_fraction(const cassiad_t *daemon,
			      const attempt_context *context)
{
	if (!daemon->processor->in_force)
		return 1;
	return processor_fraction(daemon->processor->limit,
				  (int32_t)context->importance,
				  context->customer, context->depth > 0);
}

double processor_use_tree_share(const cassiad_t *daemon,
				const attempt_context *context)
{
	if (!daemon->processor->in_force || !context->depth)
		return 1;
	return processor_child_fraction(daemon->processor->limit,
					(int32_t)context->importance);
}

int64_t processor_use_retry_after_us(const cassiad_t *daemon,
				     const attempt_context *context)
{
	return processor_retry_after_us(daemon->processor->limit,
					(int32_t)context->importance,
					context->customer);
}

void processor_use_fill_load(const cassiad_t *daemon, attempt_outcome *report)
{
	int32_t permille = processor_permille(daemon->processor->limit);

	if (report->load.known && daemon->processor->in_force && permille > 0)
		report->load.attempt_load_option_u.load.processor =
			(u_int)permille;
}

/* Sets a metric without labels. */
static void set_gauge(cassiad_t *daemon, const char *name, int64_t value)
{
	cas_metrics_set(daemon->metrics, name, "", value);
}

void processor_use_set_metrics(cassiad_t *daemon)
{
	static const char *const labels[PROCESSOR_WORK_COUNT] = {
		[PROCESSOR_ENTRY] = "work=\"entry\"",
		[PROCESSOR_CHILD_CALL] = "work=\"child-call\"",
		[PROCESSOR_ATTEMPT] = "work=\"attempt\"",
		[PROCESSOR_REFUSAL] = "work=\"refusal\"",
	};
	processor_state_t state;

	if (!daemon->processor->in_force)
		return;
	processor_get_state(daemon->processor->limit, &state);
	set_gauge(daemon, "cassia_processor_limiting", state.limiting);
	set_gauge(daemon, "cassia_processor_capacity_permille",
		  state.capacity_permille);
	set_gauge(daemon, "cassia_processor_used_permille",
		  state.used_permille);
	set_gauge(daemon, "cassia_processor_speed_permille",
		  state.speed_permille);
	set_gauge(daemon, "cassia_processor_offered_permille",
		  state.offered_permille);
	set_gauge(daemon, "cassia_processor_wait_us", state.wait_us);
	set_gauge(daemon, "cassia_processor_admitted_total",
		  (int64_t)state.admitted);
	set_gauge(daemon, "cassia_processor_refused_total",
		  (int64_t)state.refused);
	set_gauge(daemon, "cassia_processor_discarded_total",
		  (int64_t)state.discarded);
	for (int i = 0; i < PROCESSOR_WORK_COUNT; i++)
		cas_metrics_set(daemon->metrics, "cassia_processor_cost_us",
				labels[i], state.cost_us[i]);
}
