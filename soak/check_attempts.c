/* Records of root requests, calls and attempts, and the checks on them. */
#include "check_attempts.h"

#include "violations.h"

static uint64_t checks;

check_root_t *check_root_create(fleet_t *fleet, int32_t retry_units,
				bool idempotent)
{
	check_root_t *root = sim_zero(fleet, check_root_t);

	root->retry_units = retry_units;
	root->idempotent = idempotent;
	return root;
}

check_call_t *check_call_create(check_root_t *root)
{
	check_call_t *call = sim_zero(root, check_call_t);

	call->root = root;
	return call;
}

check_attempt_t *check_attempt_create(check_call_t *call)
{
	check_attempt_t *attempt = sim_zero(call, check_attempt_t);

	attempt->call = call;
	return attempt;
}

void check_attempt_run(fleet_host_t *host, check_attempt_t *attempt)
{
	check_call_t *call = attempt->call;

	checks += 3;
	attempt->runs++;
	call->runs++;
	if (attempt->runs > 1)
		violations_add(host->fleet, host, "check=attempt runs=%u",
			       attempt->runs);
	if (!call->root->idempotent && call->runs > 1)
		violations_add(host->fleet, host,
			       "check=non_idempotent runs=%u", call->runs);
	if (call->reported_not_run)
		violations_add(host->fleet, host,
			       "check=not_run claimed=before");
}

void check_call_reported_not_run(fleet_host_t *host, check_call_t *call)
{
	checks++;
	call->reported_not_run = true;
	if (call->runs > 0)
		violations_add(host->fleet, host,
			       "check=not_run claimed=after runs=%u",
			       call->runs);
}

void check_root_update_units(fleet_host_t *host, check_root_t *root,
			     int32_t delta, int32_t spent)
{
	checks++;
	root->unspent += delta;
	root->spent += spent;
	if (root->spent > root->retry_units)
		violations_add(host->fleet, host,
			       "check=retries spent=%d bound=%d", root->spent,
			       root->retry_units);
	if (root->unspent + root->spent > root->retry_units)
		violations_add(host->fleet, host,
			       "check=escrow held=%d spent=%d bound=%d",
			       root->unspent, root->spent, root->retry_units);
}

uint64_t check_attempts_checks(void)
{
	return checks;
}
