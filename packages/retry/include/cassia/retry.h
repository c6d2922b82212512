/*
 * Retries: the budget of a root request, which travels with its calls as
 * escrow, the brake that keeps retries to a share of first attempts, and the
 * decision whether a failed attempt is retried.
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

/* Retry units that a call may still spend or pass on. */
typedef struct retry_budget {
	int32_t left;
} retry_budget_t;

/* Returns a budget of units retries; negative units count as 0. */
retry_budget_t retry_budget_of(int32_t units);

/* Takes half of what is left, rounded up, for one attempt. Returns the units
 * to send with the attempt. Call it after the retry unit was consumed. */
int32_t retry_budget_split(retry_budget_t *budget);

/* Takes back what the response to an attempt reports as unspent. granted is
 * what retry_budget_split returned for that attempt; more than that is cut
 * off, so a wrong report makes no units. Call it at most once an attempt, and
 * never when the response was lost. */
void retry_budget_return(retry_budget_t *budget, int32_t granted,
			 int32_t unspent);

/* Takes one unit for a retry. Returns false when none is left. */
bool retry_budget_consume(retry_budget_t *budget);

/* Rate limit on retries for each service, from the daemon's own traffic. */
typedef struct retry_brake retry_brake_t;

/* Returns a new brake, or NULL when memory is short. clock is borrowed. */
retry_brake_t *retry_brake_create(TALLOC_CTX *ctx, const cas_clock_t *clock);

/* Allows one retry for so many first attempts (1 or more) instead of 10. Calls
 * of a repeated run are repeats as well, so a chain needs a smaller share. */
void retry_brake_set(retry_brake_t *brake, uint32_t first_per_retry);

/* Counts the first attempt of a call to the service. Returns 0 or
 * RETRY_ENOMEM; the attempt may proceed in both cases. */
int retry_brake_first(retry_brake_t *brake, cas_id_t service);

/* Returns whether one more retry keeps to the share; it counts the retry. */
bool retry_brake_take(retry_brake_t *brake, cas_id_t service);

/* What is known about an attempt that did not succeed. */
typedef enum retry_outcome {
	RETRY_OUTCOME_NOT_RUN, /* proven: nothing reached the upstream */
	RETRY_OUTCOME_SHED, /* not run: rejected by admission or its upstream */
	RETRY_OUTCOME_UNKNOWN, /* may have run: lost, timed out, aborted */
	RETRY_OUTCOME_FAILED, /* ran and answered with an error */
} retry_outcome_t;

typedef struct retry_query {
	cas_id_t service;
	retry_outcome_t outcome;
	bool idempotent;
	bool other_host; /* an upstream that was not tried is left */
	bool response_started; /* bytes were already passed to the caller */
	int64_t deadline_us; /* of the root request */
	int64_t typical_us; /* usual time of one attempt, 0: not known */
} retry_query_t;

typedef enum retry_verdict {
	RETRY_GO, /* one unit and one place under the brake are taken */
	RETRY_NO_OUTCOME, /* not safe to repeat, or useless */
	RETRY_NO_DEADLINE, /* cannot finish in time */
	RETRY_NO_BUDGET,
	RETRY_NO_BRAKE,
} retry_verdict_t;

/* Decides on a retry and consumes budget and brake when it says RETRY_GO.
 * now_us is on the clock of the deadline. */
retry_verdict_t retry_decide(const retry_query_t *query, retry_budget_t *budget,
			     retry_brake_t *brake, int64_t now_us);

/* Returns a short name for logs and problem details. */
const char *retry_verdict_name(retry_verdict_t verdict);

#endif
