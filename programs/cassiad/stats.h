/* Counts and latencies of requests by customer, and the last refusals. */
#ifndef CASSIA_STATS_H
#define CASSIA_STATS_H

#include <jansson.h>

#include "daemon.h"

typedef struct stats_event {
	const char *id; /* request id in hexadecimal */
	cas_id_t customer;
	cas_id_t route;
	uint32_t outcome;
	reason_t reason;
	int status;
	int64_t latency_us;
} stats_event_t;

/* Returns new statistics, or NULL when memory is short. */
stats_t *stats_create(TALLOC_CTX *ctx);

/* Counts and logs a finished request. */
void stats_count(cassiad_t *daemon, const stats_event_t *event);

/* Returns whether one more line about a request may be logged in this second;
 * counts it as left out otherwise. */
bool stats_may_log(cassiad_t *daemon);

/* Writes one log line for each second in which refusals were left out of the
 * log. Call it once a second. */
void stats_tick(cassiad_t *daemon);

/* Returns the customers, busiest first (new reference). */
json_t *stats_top(const cassiad_t *daemon);

/* Returns the last refusal of a request id (new reference), or NULL. */
json_t *stats_explain(const cassiad_t *daemon, cas_str_t id);

/* Returns the word for an outcome. */
const char *stats_outcome_name(uint32_t outcome);

#endif
