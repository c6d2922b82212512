/* The decision whether a failed attempt is retried. */
#include "cassia/retry.h"

/* Returns whether a retry is safe and may succeed. */
static bool outcome_allows(const retry_query_t *query)
{
	if (query->response_started)
		return false;
	switch (query->outcome) {
	case RETRY_OUTCOME_NOT_RUN:
		return true;
	case RETRY_OUTCOME_SHED:
		/* Every host compares the same random draw of the request
		 * with its threshold, so only a host with a different
		 * threshold may admit it. */
		return query->other_host;
	case RETRY_OUTCOME_UNKNOWN:
		return query->idempotent;
	case RETRY_OUTCOME_FAILED:
		return query->idempotent && query->other_host;
	}
	return false;
}

retry_verdict_t retry_decide(const retry_query_t *query, retry_budget_t *budget,
			     retry_throttle_t *throttle, int64_t now_us)
{
	if (!outcome_allows(query))
		return RETRY_NOT_REPEATABLE;
	if (now_us + query->expected_duration_us >= query->deadline_us)
		return RETRY_TOO_LATE;
	if (budget->left <= 0)
		return RETRY_NO_BUDGET;
	if (!retry_throttle_allow_retry(throttle, query->service))
		return RETRY_THROTTLED;
	retry_budget_consume(budget);
	return RETRY_ALLOWED;
}

const char *retry_verdict_name(retry_verdict_t verdict)
{
	switch (verdict) {
	case RETRY_ALLOWED:
		return "go";
	case RETRY_NOT_REPEATABLE:
		return "outcome";
	case RETRY_TOO_LATE:
		return "deadline";
	case RETRY_NO_BUDGET:
		return "budget";
	case RETRY_THROTTLED:
		return "brake";
	}
	return "unknown";
}
