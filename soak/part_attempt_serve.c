/* The daemon of the receiver: at-most-once table, queue, run, child call and
 * outcome of an attempt. */
#include <string.h>

#include "part_attempt_internal.h"
#include "violations.h"

#define MAX_QUEUE_US (20 * CAS_USEC_PER_MSEC)
#define MEAN_RUN_US 8000.0
#define SHED_PROBABILITY 0.03
#define ABORT_PROBABILITY 0.01 /* the upstream aborts the run */
#define ERROR_PROBABILITY 0.03 /* of an error response */
/* HTTP status of the response of the upstream. */
#define STATUS_OK 200
#define STATUS_ERROR 500

static void send_outcome(fleet_host_t *host, const fleet_host_t *caller,
			 uint64_t caller_incarnation, uint64_t connection,
			 check_attempt_t *record, attempt_outcome *outcome)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	part_attempt_message_t message = { .receiver_incarnation =
						   caller_incarnation,
					   .connection = connection,
					   .record = record };

	outcome->host = host->id;
	outcome->incarnation = host->incarnation;
	outcome->now = cas_clock_now(host->clock);
	part_attempt_send(host, caller, PART_ATTEMPT_RESPONSE, &message,
			  attempt_sign_outcome(
				  scratch, part_attempt_secrets_of(host->fleet),
				  outcome));
	talloc_free(scratch);
}

/* Destructor. Removes the running request. */
static int on_exec_freed(part_attempt_exec_t *exec)
{
	if (!exec->live)
		return 0;
	/* The retry units at a daemon that stops are lost. talloc frees the
	 * children that were added last first, so state->live still exists. */
	check_root_update_units(exec->host, exec->record->call->root,
				-exec->live->budget.left, 0);
	talloc_free(exec->live);
	return 0;
}

static void finish_exec(part_attempt_exec_t *exec, uint32_t result,
			u_int reason, u_int status)
{
	const attempt_context *context = &exec->received.context;
	part_attempt_exec_t **link = &part_attempt_state_of(exec->host)->execs;
	attempt_outcome outcome = { .outcome = result,
				    .reason = reason,
				    .status = status,
				    .unspent = context->budget };

	memcpy(outcome.attempt, context->attempt, ATTEMPT_ID_BYTES);
	if (exec->live)
		outcome.unspent = (u_int)exec->live->budget.left;
	while (*link != exec)
		link = &(*link)->next;
	*link = exec->next;
	send_outcome(exec->host, exec->caller, exec->caller_incarnation,
		     exec->connection, exec->record, &outcome);
	talloc_free(exec);
}

static void refuse(fleet_host_t *host, const fleet_host_t *from,
		   uint64_t caller_incarnation,
		   const part_attempt_message_t *message,
		   const attempt_context *context, uint32_t result,
		   u_int reason)
{
	attempt_outcome outcome = { .outcome = result, .reason = reason };

	memcpy(outcome.attempt, context->attempt, ATTEMPT_ID_BYTES);
	/* A duplicate has no units of its own: they belong to the attempt that
	 * was received first. */
	if (result == ATTEMPT_NOT_RUN)
		outcome.unspent = context->budget;
	send_outcome(host, from, caller_incarnation, message->connection,
		     message->record, &outcome);
}

static void enqueue(fleet_host_t *host, const fleet_host_t *from,
		    uint64_t caller_incarnation,
		    const part_attempt_message_t *message,
		    const attempt_received_t *received)
{
	part_attempt_state_t *state = part_attempt_state_of(host);
	part_attempt_exec_t *exec = sim_zero(state, part_attempt_exec_t);

	exec->host = host;
	exec->caller = from;
	exec->caller_incarnation = caller_incarnation;
	exec->connection = message->connection;
	exec->received = *received;
	exec->record = message->record;
	exec->due_us = cas_clock_now(host->clock) +
		       cas_rng_below(sim_rng(host->fleet->sim), MAX_QUEUE_US);
	exec->next = state->execs;
	state->execs = exec;
	talloc_set_destructor(exec, on_exec_freed);
}

static void accept_attempt(fleet_host_t *host, const fleet_host_t *from,
			   uint64_t caller_incarnation,
			   const part_attempt_message_t *message,
			   const attempt_received_t *received)
{
	const attempt_context *context = &received->context;
	int error = attempt_table_begin(part_attempt_state_of(host)->table,
					context->attempt, context->deadline);

	switch (error) {
	case 0:
		enqueue(host, from, caller_incarnation, message, received);
		break;
	case ATTEMPT_EDUPLICATE:
		part_attempt_totals_of(host->fleet)->duplicates++;
		refuse(host, from, caller_incarnation, message, context,
		       ATTEMPT_UNKNOWN, PART_ATTEMPT_REASON_OTHER);
		break;
	default:
		refuse(host, from, caller_incarnation, message, context,
		       ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_OTHER);
		break;
	}
}

void part_attempt_on_request(fleet_host_t *host, const fleet_host_t *from,
			     uint64_t caller_incarnation,
			     const part_attempt_message_t *message)
{
	cas_str_t text = { message->text, message->len };
	attempt_received_t received;

	if (attempt_read_context(part_attempt_secrets_of(host->fleet), text,
				 &received) ||
	    received.context.receiver != host->id) {
		violations_add(host->fleet, host, "check=context unreadable");
		return;
	}
	if (received.context.incarnation != host->incarnation)
		refuse(host, from, caller_incarnation, message,
		       &received.context, ATTEMPT_NOT_RUN,
		       PART_ATTEMPT_REASON_REBIND);
	else
		accept_attempt(host, from, caller_incarnation, message,
			       &received);
}

/* Starts the run at the upstream, unless the deadline has passed or the request
 * is shed. */
static void start_run(part_attempt_exec_t *exec)
{
	fleet_host_t *host = exec->host;
	const attempt_context *context = &exec->received.context;
	check_root_t *root = exec->record->call->root;
	double shed_probability = root->always_fails && !root->idempotent
					  ? 0.5
					  : SHED_PROBABILITY;

	if (cas_clock_now(host->clock) >= context->deadline) {
		finish_exec(exec, ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_OTHER,
			    0);
		return;
	}
	if (sim_chance(host->fleet->sim, shed_probability)) {
		finish_exec(exec, ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_SHED, 0);
		return;
	}
	exec->live = sim_require(attempt_live_add(
		part_attempt_state_of(host)->live, context, CAS_STR("")));
	check_root_update_units(host, root, exec->live->budget.left, 0);
	part_attempt_totals_of(host->fleet)->runs++;
	check_attempt_run(host, exec->record);
	exec->stage = PART_ATTEMPT_RUNNING;
	exec->due_us = cas_clock_now(host->clock) +
		       (int64_t)cas_rng_exponential(sim_rng(host->fleet->sim),
						    MEAN_RUN_US);
}

static void finish_run(part_attempt_exec_t *exec, bool child_served)
{
	sim_t *sim = exec->host->fleet->sim;
	bool fails = exec->record->call->root->always_fails || !child_served ||
		     sim_chance(sim, ERROR_PROBABILITY);

	if (sim_chance(sim, ABORT_PROBABILITY))
		finish_exec(exec, ATTEMPT_UNKNOWN, PART_ATTEMPT_REASON_OTHER,
			    0);
	else
		finish_exec(exec, ATTEMPT_SERVED, PART_ATTEMPT_REASON_NONE,
			    fails ? STATUS_ERROR : STATUS_OK);
}

void part_attempt_child_done(part_attempt_exec_t *exec, bool served)
{
	finish_run(exec, served);
}

static void advance_exec(part_attempt_exec_t *exec)
{
	const attempt_context *context = &exec->received.context;

	if (exec->stage == PART_ATTEMPT_QUEUED) {
		start_run(exec);
	} else if (context->service + 1 < PART_ATTEMPT_DEPTH) {
		exec->stage = PART_ATTEMPT_WAITING;
		part_attempt_call(exec->host, exec, exec->record->call->root,
				  (u_int)context->service + 1,
				  context->deadline);
	} else {
		finish_run(exec, true);
	}
}

void part_attempt_serve_tick(fleet_host_t *host)
{
	part_attempt_exec_t *next = NULL;
	part_attempt_exec_t *exec = part_attempt_state_of(host)->execs;

	for (; exec; exec = next) {
		next = exec->next;
		if (exec->stage != PART_ATTEMPT_WAITING &&
		    cas_clock_now(host->clock) >= exec->due_us)
			advance_exec(exec);
	}
}
