/*
 * Retries. Three parts: the retry budget of a root request, which is divided
 * among its calls; the rate limit that keeps the retries of a daemon below a
 * fraction of its first attempts; and the decision whether a failed attempt is
 * retried.
 */
#ifndef CASSIA_RETRY_H
#define CASSIA_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

enum retry_error {
	RETRY_ENOMEM = -1701,
};

/* Retry units that a call may still spend, or send along with its attempts. A
 * unit pays for one retry. */
typedef struct retry_budget {
	int32_t left;
} retry_budget_t;

/* Returns a budget of the given number of units; negative numbers count as
 * 0. */
retry_budget_t retry_budget_of(int32_t units);

/* Takes half of the units left, rounded up, to send them with an attempt, whose
 * upstream may spend them on its own calls. Returns their number. For a retry,
 * call it after retry_budget_consume. */
int32_t retry_budget_split(retry_budget_t *budget);

/* Takes back the units that the response to an attempt reports as unspent.
 * granted is the value that retry_budget_split returned for that attempt. A
 * larger unspent is reduced to it, so a wrong report creates no units. Call it
 * at most once per attempt, and never when the response was lost. */
void retry_budget_return(retry_budget_t *budget, int32_t granted,
			 int32_t unspent);

/* Takes one unit for a retry. Returns false when none is left. */
bool retry_budget_consume(retry_budget_t *budget);

/* Rate limit on the retries to each service: a fraction of the first attempts
 * of this daemon to that service in the last 10 s. */
typedef struct retry_throttle retry_throttle_t;

/* Returns a new rate limit of one retry per 10 first attempts, or NULL when
 * out of memory. clock is borrowed. */
retry_throttle_t *retry_throttle_create(TALLOC_CTX *ctx,
					const cas_clock_t *clock);

/* Sets how many first attempts (1 or more) allow one retry. A retried request
 * repeats its child calls as well, so long call chains need a larger number. */
void retry_throttle_set_ratio(retry_throttle_t *throttle,
			      uint32_t first_per_retry);

/* Counts the first attempt of a call to the service. Returns 0 or
 * RETRY_ENOMEM; the attempt may proceed in both cases. */
int retry_throttle_count_first(retry_throttle_t *throttle, cas_id_t service);

/* Returns whether one more retry to the service is within the limit, and counts
 * it if so. Returns false for a service without first attempts. */
bool retry_throttle_allow_retry(retry_throttle_t *throttle, cas_id_t service);

/* What is known about an attempt that did not succeed. */
typedef enum retry_outcome {
	RETRY_OUTCOME_NOT_RUN, /* proven: it did not reach the upstream */
	RETRY_OUTCOME_SHED, /* not run: rejected by admission or upstream */
	RETRY_OUTCOME_UNKNOWN, /* may have run: lost, timed out or aborted */
	RETRY_OUTCOME_FAILED, /* ran and answered with an error */
} retry_outcome_t;

/* Input of the decision about a retry. */
typedef struct retry_query {
	cas_id_t service;
	retry_outcome_t outcome;
	bool idempotent; /* the request may run twice */
	bool other_host; /* there is an upstream that was not tried yet */
	bool response_started; /* the caller has received a part of one */
	int64_t deadline_us; /* of the root request */
	/* Usual duration of one attempt, 0: unknown. */
	int64_t expected_duration_us;
} retry_query_t;

/* Decision about a retry: RETRY_ALLOWED, or the reason against it. */
typedef enum retry_verdict {
	RETRY_ALLOWED, /* counted in the budget and the rate limit */
	RETRY_NOT_REPEATABLE, /* not safe to repeat, or cannot succeed */
	RETRY_TOO_LATE, /* cannot finish before the deadline */
	RETRY_NO_BUDGET, /* no retry unit is left */
	RETRY_THROTTLED, /* the rate limit on retries is reached */
} retry_verdict_t;

/* Decides whether a failed attempt is retried. On RETRY_ALLOWED it takes one
 * unit from the budget and counts the retry in throttle. now_us is on the same
 * clock as the deadline of the query. */
retry_verdict_t retry_decide(const retry_query_t *query, retry_budget_t *budget,
			     retry_throttle_t *throttle, int64_t now_us);

/* Returns the short name of a verdict, a static string. */
const char *retry_verdict_name(retry_verdict_t verdict);

#endif
