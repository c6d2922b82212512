/* The decision whether a failed attempt is retried. */
#include "cassia/retry.h"

static bool outcome_allows(const retry_query_t *query)
{
	if (query->response_started)
		return false;
	switch (query->outcome) {
	case RETRY_OUTCOME_NOT_RUN:
		return true;
	case RETRY_OUTCOME_SHED:
		/* The draw decides alike everywhere, so only a host with
		 * another threshold can help. */
		return query->other_host;
	case RETRY_OUTCOME_UNKNOWN:
		return query->idempotent;
	case RETRY_OUTCOME_FAILED:
		return query->idempotent && query->other_host;
	}
	return false;
}

retry_verdict_t retry_decide(const retry_query_t *query, retry_budget_t *budget,
			     retry_brake_t *brake, int64_t now_us)
{
	if (!outcome_allows(query))
		return RETRY_NO_OUTCOME;
	if (now_us + query->typical_us >= query->deadline_us)
		return RETRY_NO_DEADLINE;
	if (budget->left <= 0)
		return RETRY_NO_BUDGET;
	if (!retry_brake_take(brake, query->service))
		return RETRY_NO_BRAKE;
	retry_budget_consume(budget);
	return RETRY_GO;
}

const char *retry_verdict_name(retry_verdict_t verdict)
{
	switch (verdict) {
	case RETRY_GO:
		return "go";
	case RETRY_NO_OUTCOME:
		return "outcome";
	case RETRY_NO_DEADLINE:
		return "deadline";
	case RETRY_NO_BUDGET:
		return "budget";
	case RETRY_NO_BRAKE:
		return "brake";
	}
	return "unknown";
}
