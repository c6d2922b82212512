/* The daemon of the caller: the attempts of a call one after another, resends
 * and retries. */
#include <stdlib.h>
#include <string.h>

#include "part_attempt_internal.h"
#include "violations.h"

/* Time without a response after which a lost connection is noticed. */
#define RESPONSE_TIMEOUT_US (500 * CAS_USEC_PER_MSEC)
#define REBINDS_MAX 3 /* per attempt */
#define HOST_PICK_TRIES 30 /* then the call ends */
/* Per tick, that the connection of a slow attempt is considered lost although
 * it is not. */
#define FALSE_LOSS_PROBABILITY 0.005
#define STATUS_ERROR 500 /* lowest HTTP status that is an error */
/* First attempts that the retry throttle counts for each call. The throttle is
 * per daemon and allows retries for a tenth of the first attempts, of which a
 * daemon in a simulated fleet makes only few. */
#define FIRST_ATTEMPT_WEIGHT 40

static void start_next_attempt(part_attempt_call_t *call);

static retry_budget_t *budget_of(part_attempt_call_t *call)
{
	return call->parent ? &call->parent->live->budget : &call->own_budget;
}

/* Destructor. The remaining retry units of a root request end with it. */
static int on_call_freed(part_attempt_call_t *call)
{
	if (!call->parent)
		check_root_update_units(call->host, call->record->root,
					-call->own_budget.left, 0);
	return 0;
}

static void finish_call(part_attempt_call_t *call, uint32_t outcome)
{
	part_attempt_totals_t *totals =
		part_attempt_totals_of(call->host->fleet);
	part_attempt_call_t **link = &part_attempt_state_of(call->host)->calls;
	part_attempt_exec_t *parent = call->parent;

	if (outcome == ATTEMPT_NOT_RUN && call->may_have_run)
		outcome = ATTEMPT_UNKNOWN;
	totals->served += outcome == ATTEMPT_SERVED;
	totals->unknown += outcome == ATTEMPT_UNKNOWN;
	totals->not_run += outcome == ATTEMPT_NOT_RUN;
	totals->digest = totals->digest * UINT64_C(6364136223846793005) +
			 (uint64_t)sim_now(call->host->fleet->sim) * 31 +
			 call->host->index * 3 + outcome;
	if (outcome == ATTEMPT_NOT_RUN)
		check_call_reported_not_run(call->host, call->record);
	if (!parent &&
	    call->record->root->spent == call->record->root->retry_units)
		totals->budgets_exhausted++;
	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	talloc_free(call);
	if (parent)
		part_attempt_child_done(parent, outcome == ATTEMPT_SERVED);
}

/* Returns whether the call has had an attempt at a host. */
static bool was_tried(const part_attempt_call_t *call, cas_id_t id)
{
	for (size_t i = 0; i < call->tried_count; i++) {
		if (call->tried[i] == id)
			return true;
	}
	return false;
}

static fleet_host_t *pick_host(part_attempt_call_t *call)
{
	fleet_t *fleet = call->host->fleet;

	for (int i = 0; i < HOST_PICK_TRIES; i++) {
		fleet_host_t *host = &fleet->hosts[cas_rng_below(
			sim_rng(fleet->sim), (uint32_t)fleet->host_count)];

		if (host != call->host && !was_tried(call, host->id))
			return host;
	}
	return NULL;
}

static fleet_host_t *current_receiver(const part_attempt_call_t *call)
{
	return fleet_find_host(call->host->fleet,
			       call->tried[call->tried_count - 1]);
}

/* Sends the current attempt to its receiver, with a signed context whose
 * deadline is on the clock of the receiver. */
static void send_attempt(part_attempt_call_t *call)
{
	fleet_host_t *host = call->host;
	fleet_host_t *to = current_receiver(call);
	const attempt_outcome *last =
		&part_attempt_state_of(host)->last_outcomes[to->index];
	attempt_context context = call->context;
	part_attempt_message_t message = { .receiver_incarnation =
						   to->incarnation,
					   .record = call->attempt };
	TALLOC_CTX *scratch = talloc_new(NULL);

	call->probing = !last->incarnation;
	if (!call->probing && !call->resent)
		call->receiver_incarnation = last->incarnation;
	context.sender = host->id;
	context.receiver = to->id;
	context.incarnation = call->receiver_incarnation;
	context.deadline += last->now;
	context.budget = (u_int)call->granted_units;
	message.connection = ++call->connection;
	call->sent_us = cas_clock_now(host->clock);
	call->connection_refused = !to->running;
	if (!call->connection_refused)
		part_attempt_send(host, to, PART_ATTEMPT_REQUEST, &message,
				  attempt_sign_context(
					  scratch,
					  part_attempt_secrets_of(host->fleet),
					  &context));
	talloc_free(scratch);
}

/* Decides on a retry after an attempt that did not succeed. */
static void retry_or_finish(part_attempt_call_t *call, retry_outcome_t outcome,
			    uint32_t final_outcome)
{
	fleet_host_t *host = call->host;
	retry_budget_t *budget = budget_of(call);
	const retry_query_t query = {
		.service = call->context.service,
		.outcome = outcome,
		.idempotent = call->context.idempotent,
		.other_host = true,
		.deadline_us = call->context.deadline,
	};
	int32_t before = budget->left;

	call->attempt = NULL;
	if (outcome == RETRY_OUTCOME_UNKNOWN || outcome == RETRY_OUTCOME_FAILED)
		call->may_have_run = true;
	if (call->tried_count == PART_ATTEMPT_TRIED_MAX ||
	    retry_decide(&query, budget, part_attempt_state_of(host)->throttle,
			 cas_clock_now(host->clock)) != RETRY_ALLOWED) {
		finish_call(call, final_outcome);
		return;
	}
	check_root_update_units(host, call->record->root, budget->left - before,
				1);
	part_attempt_totals_of(host->fleet)->retries++;
	start_next_attempt(call);
}

static void start_next_attempt(part_attempt_call_t *call)
{
	fleet_host_t *host = call->host;
	fleet_host_t *to = pick_host(call);
	part_attempt_state_t *state = part_attempt_state_of(host);

	if (!to || cas_clock_now(host->clock) >= call->context.deadline) {
		finish_call(call, ATTEMPT_NOT_RUN);
		return;
	}
	for (int i = 0; !call->tried_count && i < FIRST_ATTEMPT_WEIGHT; i++)
		retry_throttle_count_first(state->throttle,
					   call->context.service);
	call->tried[call->tried_count++] = to->id;
	call->granted_units = retry_budget_split(budget_of(call));
	check_root_update_units(host, call->record->root, -call->granted_units,
				0);
	call->attempt = check_attempt_create(call->record);
	part_attempt_totals_of(host->fleet)->attempts++;
	attempt_generate_id(call->context.attempt);
	call->rebinds = 0;
	call->receiver_incarnation = 0;
	call->unanswered = false;
	call->resent = false;
	send_attempt(call);
}

void part_attempt_call(fleet_host_t *host, part_attempt_exec_t *parent,
		       check_root_t *root, u_int depth, int64_t deadline_us)
{
	part_attempt_state_t *state = part_attempt_state_of(host);
	part_attempt_call_t *call = talloc_zero(
		parent ? (void *)parent : (void *)state, part_attempt_call_t);

	if (!call)
		abort();
	call->host = host;
	call->record = check_call_create(root);
	call->parent = parent;
	call->context.service = depth;
	call->context.idempotent = root->idempotent;
	call->context.deadline = deadline_us;
	call->context.weight = 1;
	if (!parent) {
		call->own_budget = retry_budget_of(root->retry_units);
		check_root_update_units(host, root, call->own_budget.left, 0);
		attempt_generate_id(call->context.root);
	}
	call->next = state->calls;
	state->calls = call;
	talloc_set_destructor(call, on_call_freed);
	start_next_attempt(call);
}

static part_attempt_call_t *find_call(fleet_host_t *host,
				      const attempt_outcome *outcome,
				      const part_attempt_message_t *message)
{
	part_attempt_call_t *call = part_attempt_state_of(host)->calls;

	for (; call; call = call->next) {
		if (call->attempt && call->connection == message->connection &&
		    memcmp(call->context.attempt, outcome->attempt,
			   ATTEMPT_ID_BYTES) == 0)
			return call;
	}
	return NULL;
}

static void record_last_outcome(fleet_host_t *host, const fleet_host_t *from,
				const attempt_outcome *outcome)
{
	attempt_outcome *last =
		&part_attempt_state_of(host)->last_outcomes[from->index];

	*last = *outcome;
	last->now -= cas_clock_now(host->clock);
}

/* Returns the unspent retry units of the attempt to the budget of the call. */
static void reclaim_units(part_attempt_call_t *call,
			  const attempt_outcome *outcome)
{
	retry_budget_t *budget = budget_of(call);
	int32_t before = budget->left;

	retry_budget_return(budget, call->granted_units,
			    (int32_t)outcome->unspent);
	call->granted_units = 0;
	check_root_update_units(call->host, call->record->root,
				budget->left - before, 0);
}

static void on_refusal(part_attempt_call_t *call,
		       const attempt_outcome *outcome)
{
	bool unknown = call->resent || outcome->outcome == ATTEMPT_UNKNOWN;
	retry_outcome_t not_run = RETRY_OUTCOME_NOT_RUN;

	if (outcome->reason == PART_ATTEMPT_REASON_REBIND && !call->resent &&
	    call->rebinds++ < REBINDS_MAX) {
		send_attempt(call);
		return;
	}
	if (outcome->reason == PART_ATTEMPT_REASON_SHED)
		not_run = RETRY_OUTCOME_SHED;
	/* The attempt sent before may have run and spent units. */
	if (!call->resent)
		reclaim_units(call, outcome);
	retry_or_finish(call, unknown ? RETRY_OUTCOME_UNKNOWN : not_run,
			unknown ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN);
}

void part_attempt_on_response(fleet_host_t *host, const fleet_host_t *from,
			      const part_attempt_message_t *message)
{
	cas_str_t text = { message->text, message->len };
	attempt_outcome outcome;
	part_attempt_call_t *call = NULL;

	if (attempt_read_outcome(part_attempt_secrets_of(host->fleet), text,
				 &outcome) ||
	    outcome.host != from->id) {
		violations_add(host->fleet, host, "check=outcome unreadable");
		return;
	}
	call = find_call(host, &outcome, message);
	if (!call)
		return;
	record_last_outcome(host, from, &outcome);
	if (outcome.outcome != ATTEMPT_SERVED) {
		on_refusal(call, &outcome);
		return;
	}
	reclaim_units(call, &outcome);
	if (outcome.status >= STATUS_ERROR)
		retry_or_finish(call, RETRY_OUTCOME_FAILED, ATTEMPT_SERVED);
	else
		finish_call(call, ATTEMPT_SERVED);
}

/* Sends the attempt again if the deadline has not passed, the receiver accepts
 * connections, and no repetition is without response yet. Otherwise ends the
 * attempt. */
static void on_no_response(part_attempt_call_t *call, bool before_deadline)
{
	bool may_have_arrived = !call->connection_refused && !call->probing;

	call->unanswered |= may_have_arrived;
	if (before_deadline && !call->resent && !call->connection_refused) {
		part_attempt_totals_of(call->host->fleet)->resent++;
		call->resent = call->unanswered;
		send_attempt(call);
		return;
	}
	retry_or_finish(call,
			call->unanswered ? RETRY_OUTCOME_UNKNOWN
					 : RETRY_OUTCOME_NOT_RUN,
			call->unanswered ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN);
}

/* Returns whether the caller considers the connection of the attempt lost. */
static bool is_connection_lost(const part_attempt_call_t *call, int64_t now)
{
	const fleet_host_t *to = current_receiver(call);
	const fleet_t *fleet = call->host->fleet;

	if (call->connection_refused)
		return true;
	if (now - call->sent_us < RESPONSE_TIMEOUT_US)
		return false;
	return !to->running || to->paused || fleet->isolated[to->index] ||
	       fleet->isolated[call->host->index] ||
	       (!call->resent &&
		sim_chance(fleet->sim, FALSE_LOSS_PROBABILITY));
}

void part_attempt_call_tick(fleet_host_t *host)
{
	int64_t now = cas_clock_now(host->clock);
	part_attempt_call_t *call = part_attempt_state_of(host)->calls;
	part_attempt_call_t *next = NULL;

	for (; call; call = next) {
		next = call->next;
		if (!call->attempt)
			continue;
		if (now >= call->context.deadline)
			on_no_response(call, false);
		else if (is_connection_lost(call, now))
			on_no_response(call, true);
	}
}
