/* The caller's daemon: attempts one after another, resends, retries. */
#include <stdlib.h>
#include <string.h>

#include "part_attempt_internal.h"
#include "violations.h"

#define SILENCE (500 * CAS_USEC_PER_MSEC)
#define BIND_TRIES 3
#define PICKS 30
/* In each tick, that a late answer is taken for a silent connection. */
#define LOST_CHANCE 0.005
#define STATUS_ERROR 500
/* Each simulated call stands for this many, so that the throttle, which is per
 * daemon, allows a tenth of calls that are few in a simulated fleet. */
#define BRAKE_WEIGHT 40

static void attempt_next(part_attempt_call_t *call);

static retry_budget_t *budget_of(part_attempt_call_t *call)
{
	return call->parent ? &call->parent->live->budget : &call->own_budget;
}

static int on_call_end(part_attempt_call_t *call)
{
	if (!call->parent)
		check_root_account(call->host, call->record->root,
				   -call->own_budget.left, 0);
	return 0;
}

static void finish(part_attempt_call_t *call, uint32_t outcome)
{
	part_attempt_totals_t *totals =
		part_attempt_totals_of(call->host->fleet);
	part_attempt_call_t **at = &part_attempt_state_of(call->host)->calls;
	part_attempt_exec_t *parent = call->parent;

	if (outcome == ATTEMPT_NOT_RUN && call->maybe_run)
		outcome = ATTEMPT_UNKNOWN;
	totals->served += outcome == ATTEMPT_SERVED;
	totals->unknown += outcome == ATTEMPT_UNKNOWN;
	totals->not_run += outcome == ATTEMPT_NOT_RUN;
	totals->digest = totals->digest * UINT64_C(6364136223846793005) +
			 (uint64_t)sim_now(call->host->fleet->sim) * 31 +
			 call->host->index * 3 + outcome;
	if (outcome == ATTEMPT_NOT_RUN)
		check_call_not_run(call->host, call->record);
	if (!parent && call->record->root->spent == call->record->root->bound)
		totals->spent_up++;
	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
	talloc_free(call);
	if (parent)
		part_attempt_child_done(parent, outcome == ATTEMPT_SERVED);
}

static bool was_tried(const part_attempt_call_t *call, cas_id_t id)
{
	for (size_t i = 0; i < call->tried_count; i++) {
		if (call->tried[i] == id)
			return true;
	}
	return false;
}

static fleet_host_t *pick(part_attempt_call_t *call)
{
	fleet_t *fleet = call->host->fleet;

	for (int i = 0; i < PICKS; i++) {
		fleet_host_t *host = &fleet->hosts[cas_rng_below(
			sim_rng(fleet->sim), (uint32_t)fleet->host_count)];

		if (host != call->host && !was_tried(call, host->id))
			return host;
	}
	return NULL;
}

static fleet_host_t *target(const part_attempt_call_t *call)
{
	return fleet_find(call->host->fleet,
			  call->tried[call->tried_count - 1]);
}

/* Signs the context for its receiver, with the deadline on its clock. */
static void send_attempt(part_attempt_call_t *call)
{
	fleet_host_t *host = call->host;
	fleet_host_t *to = target(call);
	const attempt_outcome *binding =
		&part_attempt_state_of(host)->bindings[to->index];
	attempt_context context = call->context;
	part_attempt_message_t message = { .process = to->incarnation,
					   .record = call->attempt };
	TALLOC_CTX *scratch = talloc_new(NULL);

	call->asking = !binding->incarnation;
	if (!call->asking && !call->resent)
		call->incarnation = binding->incarnation;
	context.sender = host->id;
	context.receiver = to->id;
	context.incarnation = call->incarnation;
	context.deadline += binding->now;
	context.budget = (u_int)call->granted;
	message.connection = ++call->connection;
	call->sent_us = cas_clock_now(host->clock);
	call->refused = !to->running;
	if (!call->refused)
		part_attempt_post(
			host, to, PART_ATTEMPT_CALL, &message,
			attempt_sign_context(scratch,
					     part_attempt_secrets(host->fleet),
					     &context));
	talloc_free(scratch);
}

/* Decides on a retry after an attempt that did not succeed. */
static void after_failure(part_attempt_call_t *call, retry_outcome_t outcome,
			  uint32_t final)
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
		call->maybe_run = true;
	if (call->tried_count == PART_ATTEMPT_TRIES ||
	    retry_decide(&query, budget, part_attempt_state_of(host)->throttle,
			 cas_clock_now(host->clock)) != RETRY_ALLOWED) {
		finish(call, final);
		return;
	}
	check_root_account(host, call->record->root, budget->left - before, 1);
	part_attempt_totals_of(host->fleet)->retries++;
	attempt_next(call);
}

static void attempt_next(part_attempt_call_t *call)
{
	fleet_host_t *host = call->host;
	fleet_host_t *to = pick(call);
	part_attempt_state_t *state = part_attempt_state_of(host);

	if (!to || cas_clock_now(host->clock) >= call->context.deadline) {
		finish(call, ATTEMPT_NOT_RUN);
		return;
	}
	for (int i = 0; !call->tried_count && i < BRAKE_WEIGHT; i++)
		retry_throttle_count_first(state->throttle,
					   call->context.service);
	call->tried[call->tried_count++] = to->id;
	call->granted = retry_budget_split(budget_of(call));
	check_root_account(host, call->record->root, -call->granted, 0);
	call->attempt = check_attempt_create(call->record);
	part_attempt_totals_of(host->fleet)->attempts++;
	attempt_generate_id(call->context.attempt);
	call->binds = 0;
	call->incarnation = 0;
	call->ever_sent = false;
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
		call->own_budget = retry_budget_of(root->bound);
		check_root_account(host, root, call->own_budget.left, 0);
		attempt_generate_id(call->context.root);
	}
	call->next = state->calls;
	state->calls = call;
	talloc_set_destructor(call, on_call_end);
	attempt_next(call);
}

static part_attempt_call_t *find(fleet_host_t *host,
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

static void bind_host(fleet_host_t *host, const fleet_host_t *from,
		      const attempt_outcome *outcome)
{
	attempt_outcome *binding =
		&part_attempt_state_of(host)->bindings[from->index];

	*binding = *outcome;
	binding->now -= cas_clock_now(host->clock);
}

static void take_back(part_attempt_call_t *call, const attempt_outcome *outcome)
{
	retry_budget_t *budget = budget_of(call);
	int32_t before = budget->left;

	retry_budget_return(budget, call->granted, (int32_t)outcome->unspent);
	call->granted = 0;
	check_root_account(call->host, call->record->root,
			   budget->left - before, 0);
}

static void on_refusal(part_attempt_call_t *call,
		       const attempt_outcome *outcome)
{
	bool unknown = call->resent || outcome->outcome == ATTEMPT_UNKNOWN;
	retry_outcome_t known = RETRY_OUTCOME_NOT_RUN;

	if (outcome->reason == PART_ATTEMPT_REASON_REBIND && !call->resent &&
	    call->binds++ < BIND_TRIES) {
		send_attempt(call);
		return;
	}
	if (outcome->reason == PART_ATTEMPT_REASON_SHED)
		known = RETRY_OUTCOME_SHED;
	/* An earlier sending may have run and spent units. */
	if (!call->resent)
		take_back(call, outcome);
	after_failure(call, unknown ? RETRY_OUTCOME_UNKNOWN : known,
		      unknown ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN);
}

void part_attempt_on_response(fleet_host_t *host, const fleet_host_t *from,
			      const part_attempt_message_t *message)
{
	cas_str_t text = { message->text, message->len };
	attempt_outcome outcome;
	part_attempt_call_t *call = NULL;

	if (attempt_read_outcome(part_attempt_secrets(host->fleet), text,
				 &outcome) ||
	    outcome.host != from->id) {
		violations_add(host->fleet, host, "check=outcome unreadable");
		return;
	}
	call = find(host, &outcome, message);
	if (!call)
		return;
	bind_host(host, from, &outcome);
	if (outcome.outcome != ATTEMPT_SERVED) {
		on_refusal(call, &outcome);
		return;
	}
	take_back(call, &outcome);
	if (outcome.status >= STATUS_ERROR)
		after_failure(call, RETRY_OUTCOME_FAILED, ATTEMPT_SERVED);
	else
		finish(call, ATTEMPT_SERVED);
}

static void on_silence(part_attempt_call_t *call, bool in_time)
{
	bool sent = !call->refused && !call->asking;

	call->ever_sent |= sent;
	if (in_time && !call->resent && !call->refused) {
		part_attempt_totals_of(call->host->fleet)->resent++;
		call->resent = call->ever_sent;
		send_attempt(call);
		return;
	}
	after_failure(call,
		      call->ever_sent ? RETRY_OUTCOME_UNKNOWN
				      : RETRY_OUTCOME_NOT_RUN,
		      call->ever_sent ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN);
}

static bool is_silent(const part_attempt_call_t *call, int64_t now)
{
	const fleet_host_t *to = target(call);
	const fleet_t *fleet = call->host->fleet;

	if (call->refused)
		return true;
	if (now - call->sent_us < SILENCE)
		return false;
	return !to->running || to->paused || fleet->isolated[to->index] ||
	       fleet->isolated[call->host->index] ||
	       (!call->resent && sim_chance(fleet->sim, LOST_CHANCE));
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
			on_silence(call, false);
		else if (is_silent(call, now))
			on_silence(call, true);
	}
}
