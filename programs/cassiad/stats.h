/* Request counts and latencies by customer, request log lines, and the most
 * recent refusals. */
#ifndef CASSIA_STATS_H
#define CASSIA_STATS_H

#include <jansson.h>

#include "daemon.h"

/* A finished entry request. */
typedef struct stats_request {
	const char *id; /* request id, as the caller sees it */
	cas_id_t customer;
	cas_id_t route;
	uint32_t outcome; /* ATTEMPT_SERVED, ATTEMPT_NOT_RUN, ATTEMPT_UNKNOWN */
	reason_t reason;
	int status; /* HTTP status, 0: no response was started */
	int64_t latency_us; /* from the request line to the end */
} stats_request_t;

/* Returns empty statistics (owned by ctx), or NULL when memory runs out. */
stats_t *stats_create(TALLOC_CTX *ctx);

/* Counts and logs a finished request. */
void stats_record(cassiad_t *daemon, const stats_request_t *request);

/* Returns whether another line about a request or attempt that was not served
 * may be logged in this second, and counts the line as logged or suppressed. */
bool stats_allow_log_line(cassiad_t *daemon);

/* Logs how many lines were suppressed in the last second, if any, and resets
 * the limit. Call it once a second. */
void stats_tick(cassiad_t *daemon);

/* Returns a JSON array of customers by number of requests, most first (new
 * reference). */
json_t *stats_top(const cassiad_t *daemon);

/* Returns the most recent refusal of a request id as a JSON object (new
 * reference), or NULL. */
json_t *stats_explain(const cassiad_t *daemon, cas_str_t id);

/* Returns the name of an outcome: "served", "not-run" or "unknown". */
const char *stats_outcome_name(uint32_t outcome);

#endif
