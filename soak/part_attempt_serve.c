/* The upstream's daemon: at-most-once table, queue, run, child call, outcome. */
#include <stdlib.h>
#include <string.h>

#include "part_attempt_internal.h"
#include "violations.h"

#define QUEUE_TIME (20 * CAS_USEC_PER_MSEC) /* longest */
#define RUN_TIME 8000.0 /* mean, microseconds */
#define SHED_CHANCE 0.03
#define ABORT_CHANCE 0.01 /* the upstream breaks off while it runs */
#define ERROR_CHANCE 0.03
#define STATUS_OK 200
#define STATUS_ERROR 500

static void post_outcome(fleet_host_t *host, const fleet_host_t *caller,
			 uint64_t process, uint64_t connection,
			 check_attempt_t *record, attempt_outcome *outcome)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	part_attempt_message_t message = { .process = process,
					   .connection = connection,
					   .record = record };

	outcome->host = host->id;
	outcome->incarnation = host->incarnation;
	outcome->now = cas_clock_now(host->clock);
	part_attempt_post(
		host, caller, PART_ATTEMPT_RESPONSE, &message,
		attempt_sign_outcome(scratch, part_attempt_secrets(host->fleet),
				     outcome));
	talloc_free(scratch);
}

static int on_exec_end(part_attempt_exec_t *exec)
{
	if (!exec->live)
		return 0;
	/* The units of a daemon that stops are lost. talloc frees later
	 * children first, so the live set is still there. */
	check_root_account(exec->host, exec->record->call->root,
			   -exec->live->budget.left, 0);
	talloc_free(exec->live);
	return 0;
}

static void finish(part_attempt_exec_t *exec, uint32_t result, u_int reason,
		   u_int status)
{
	const attempt_context *context = &exec->received.context;
	part_attempt_exec_t **at = &part_attempt_state_of(exec->host)->execs;
	attempt_outcome outcome = { .outcome = result,
				    .reason = reason,
				    .status = status,
				    .unspent = context->budget };

	memcpy(outcome.attempt, context->attempt, ATTEMPT_ID_BYTES);
	if (exec->live)
		outcome.unspent = (u_int)exec->live->budget.left;
	while (*at != exec)
		at = &(*at)->next;
	*at = exec->next;
	post_outcome(exec->host, exec->caller, exec->caller_process,
		     exec->connection, exec->record, &outcome);
	talloc_free(exec);
}

static void refuse(fleet_host_t *host, const fleet_host_t *from,
		   uint64_t process, const part_attempt_message_t *message,
		   const attempt_context *context, uint32_t result,
		   u_int reason)
{
	attempt_outcome outcome = { .outcome = result, .reason = reason };

	memcpy(outcome.attempt, context->attempt, ATTEMPT_ID_BYTES);
	/* The units of a duplicate are those of the attempt that runs. */
	if (result == ATTEMPT_NOT_RUN)
		outcome.unspent = context->budget;
	post_outcome(host, from, process, message->connection, message->record,
		     &outcome);
}

static void enqueue(fleet_host_t *host, const fleet_host_t *from,
		    uint64_t process, const part_attempt_message_t *message,
		    const attempt_received_t *received)
{
	part_attempt_state_t *state = part_attempt_state_of(host);
	part_attempt_exec_t *exec = talloc_zero(state, part_attempt_exec_t);

	if (!exec)
		abort();
	exec->host = host;
	exec->caller = from;
	exec->caller_process = process;
	exec->connection = message->connection;
	exec->received = *received;
	exec->record = message->record;
	exec->due_us = cas_clock_now(host->clock) +
		       cas_rng_below(sim_rng(host->fleet->sim), QUEUE_TIME);
	exec->next = state->execs;
	state->execs = exec;
	talloc_set_destructor(exec, on_exec_end);
}

static void begin(fleet_host_t *host, const fleet_host_t *from,
		  uint64_t process, const part_attempt_message_t *message,
		  const attempt_received_t *received)
{
	const attempt_context *context = &received->context;
	int error = attempt_table_begin(part_attempt_state_of(host)->table,
					context->attempt, context->deadline);

	switch (error) {
	case 0:
		enqueue(host, from, process, message, received);
		break;
	case ATTEMPT_EDUPLICATE:
		part_attempt_totals_of(host->fleet)->duplicates++;
		refuse(host, from, process, message, context, ATTEMPT_UNKNOWN,
		       PART_ATTEMPT_REASON_OTHER);
		break;
	default:
		refuse(host, from, process, message, context, ATTEMPT_NOT_RUN,
		       PART_ATTEMPT_REASON_OTHER);
		break;
	}
}

void part_attempt_on_call(fleet_host_t *host, const fleet_host_t *from,
			  uint64_t process,
			  const part_attempt_message_t *message)
{
	cas_str_t text = { message->text, message->len };
	attempt_received_t received;

	if (attempt_read_context(part_attempt_secrets(host->fleet), text,
				 &received) ||
	    received.context.receiver != host->id) {
		violations_add(host->fleet, host, "check=context unreadable");
		return;
	}
	if (received.context.incarnation != host->incarnation)
		refuse(host, from, process, message, &received.context,
		       ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_REBIND);
	else
		begin(host, from, process, message, &received);
}

/* Hands the request to the upstream, unless it comes too late. */
static void run(part_attempt_exec_t *exec)
{
	fleet_host_t *host = exec->host;
	const attempt_context *context = &exec->received.context;
	check_root_t *root = exec->record->call->root;
	double shed = root->failing && !root->idempotent ? 0.5 : SHED_CHANCE;

	if (cas_clock_now(host->clock) >= context->deadline) {
		finish(exec, ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_OTHER, 0);
		return;
	}
	if (sim_chance(host->fleet->sim, shed)) {
		finish(exec, ATTEMPT_NOT_RUN, PART_ATTEMPT_REASON_SHED, 0);
		return;
	}
	exec->live =
		attempt_live_add(part_attempt_state_of(host)->live, context);
	if (!exec->live)
		abort();
	check_root_account(host, root, exec->live->budget.left, 0);
	part_attempt_totals_of(host->fleet)->runs++;
	check_attempt_run(host, exec->record);
	exec->stage = PART_ATTEMPT_RUNNING;
	exec->due_us = cas_clock_now(host->clock) +
		       (int64_t)cas_rng_exponential(sim_rng(host->fleet->sim),
						    RUN_TIME);
}

static void answer(part_attempt_exec_t *exec, bool child_served)
{
	sim_t *sim = exec->host->fleet->sim;
	bool fails = exec->record->call->root->failing || !child_served ||
		     sim_chance(sim, ERROR_CHANCE);

	if (sim_chance(sim, ABORT_CHANCE))
		finish(exec, ATTEMPT_UNKNOWN, PART_ATTEMPT_REASON_OTHER, 0);
	else
		finish(exec, ATTEMPT_SERVED, PART_ATTEMPT_REASON_NONE,
		       fails ? STATUS_ERROR : STATUS_OK);
}

void part_attempt_child_done(part_attempt_exec_t *exec, bool served)
{
	answer(exec, served);
}

static void work(part_attempt_exec_t *exec)
{
	const attempt_context *context = &exec->received.context;

	if (exec->stage == PART_ATTEMPT_QUEUED) {
		run(exec);
	} else if (context->service + 1 < PART_ATTEMPT_DEPTH) {
		exec->stage = PART_ATTEMPT_WAITING;
		part_attempt_call(exec->host, exec, exec->record->call->root,
				  (u_int)context->service + 1,
				  context->deadline);
	} else {
		answer(exec, true);
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
			work(exec);
	}
}
