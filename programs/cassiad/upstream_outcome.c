/* The outcomes that the daemon of an upstream reports: its load, and how much of
 * the demand is admitted. */
#include "entry.h"
#include "processor_use.h"
#include "upstream_request.h"

/* Longest time after which a request is told to come again in a warm-up or at a
 * stated rate. Both may have ended by then. */
#define PACED_RETRY_MAX_MS 3000U
/* Time after which a suspect that no upstream could run is told to come again. */
#define ISOLATED_RETRY_MS 200U

/* A tree share of 0 means that none is known. Twice the unit in which it is sent,
 * so that it is not rounded down to 0. */
#define TREE_SHARE_MIN (2.0 / ATTEMPT_FRACTION_SCALE)

/* Returns when a request that is refused because of the pace of the upstream
 * should come again: when the requests before it have been taken. 0: not
 * known. */
static u_int paced_retry_ms(const cassiad_t *daemon, reason_t reason)
{
	int64_t retry_ms = 0;

	if (reason == REASON_ISOLATED)
		return ISOLATED_RETRY_MS;
	if (reason == REASON_WARMING_UP)
		retry_ms = admission_warm_up_retry_us(daemon->admission) /
			   CAS_USEC_PER_MSEC;
	else if (reason == REASON_UPSTREAM_RATE)
		retry_ms = admission_rate_retry_us(daemon->admission) /
			   CAS_USEC_PER_MSEC;
	return retry_ms < PACED_RETRY_MAX_MS ? (u_int)retry_ms
					     : PACED_RETRY_MAX_MS;
}

static u_int unsigned_of(int64_t number)
{
	if (number < 0)
		return 0;
	return number < UINT32_MAX ? (u_int)number : UINT32_MAX;
}

/* Fills in the load, which other deployments do not need. */
static void fill_load(cassiad_t *daemon, cas_id_t kind,
		      attempt_load_option *option)
{
	admission_load_t load;

	if (!daemon_hosts_are_shared(daemon) &&
	    !admission_warm_up_status(daemon->admission).limits)
		return;
	load = admission_load(daemon->admission, kind);
	option->known = 1;
	option->attempt_load_option_u.load = (attempt_load){
		.slowdown = unsigned_of(load.slowdown),
		.room = unsigned_of(load.room),
		.wait_us = unsigned_of(load.wait_us),
		.own_us = unsigned_of(load.own_us),
		.turned_away = unsigned_of(load.refused_permille),
		.paced = load.warming_up || load.rate_limited,
	};
}

/* Returns the share of the request trees of this kind that can be completed, by
 * the calls that the request has made and by the processor time that this daemon
 * has for such calls. 0: nothing is known. */
static double tree_share_of(const cassiad_t *daemon,
			    const attempt_context *context,
			    const attempt_live_entry_t *live)
{
	double share = processor_use_tree_share(daemon, context);
	double calls_share = live ? live->tree_share : 0;

	if (share < TREE_SHARE_MIN)
		share = TREE_SHARE_MIN;
	if (share < 1)
		return calls_share && calls_share < share ? calls_share : share;
	return calls_share;
}

void upstream_request_fill_outcome(cassiad_t *daemon,
				   const attempt_context *context,
				   const attempt_live_entry_t *live,
				   uint32_t outcome, reason_t reason,
				   int status, attempt_outcome *report)
{
	double fraction = admission_threshold(daemon->admission,
					      (int32_t)context->importance,
					      context->customer);

	double processor_fraction = processor_use_fraction(daemon, context);

	if (live && live->fraction < fraction)
		fraction = live->fraction;
	if (processor_fraction < fraction)
		fraction = processor_fraction;
	*report = (attempt_outcome){
		.host = daemon->settings->host_id,
		.incarnation = daemon->incarnation,
		.now = cas_clock_now(daemon->clock),
		.outcome = outcome,
		.status = (u_int)status,
		.reason = reason,
		.fraction = (u_int)(fraction * ATTEMPT_FRACTION_SCALE),
		.unspent = live ? (u_int)live->budget.left : context->budget,
		.limit = (u_int)admission_limit(daemon->admission),
		.busy = admission_busy_permille(daemon->admission),
	};
	report->retry_after_ms = paced_retry_ms(daemon, reason);
	fill_load(daemon, entry_chain_key(context), &report->load);
	if (report->load.known)
		report->load.attempt_load_option_u.load.tree_share =
			(u_int)(tree_share_of(daemon, context, live) *
				ATTEMPT_FRACTION_SCALE);
	memcpy(report->attempt, context->attempt, ATTEMPT_ID_BYTES);
	processor_use_fill_load(daemon, report);
}

void upstream_request_count_early(cassiad_t *daemon, attempt_context *context)
{
	processor_use_count_early(daemon, context);
	for (u_int i = 0; i < context->early.early_len; i++) {
		const attempt_early *early = &context->early.early_val[i];

		if (early->importance >= ADMISSION_IMPORTANCES)
			continue;
		admission_add_early_rejections(daemon->admission,
					       (int32_t)early->importance,
					       early->customer, early->count);
	}
	context->early.early_len = 0;
	context->early.early_val = NULL;
}
