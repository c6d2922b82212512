/* The cold start of the stand-in upstream and the load that it reports. */
#ifndef CASSIA_UPSTREAM_COLD_H
#define CASSIA_UPSTREAM_COLD_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

/* Command line options --cold-ms, --cold-bound, --no-health and --slowdown. */
extern const GOptionEntry upstream_cold_options[];

/* Starts the cold time. */
void upstream_cold_begin(void);

/* Counts a request. When a cold upstream gets more than --cold-bound in any one
 * second, prints crashed and ends the process with status 3. */
void upstream_cold_count(void);

/* Returns most requests that it got in any one second while it was cold. */
int upstream_cold_worst(void);

/* Returns how long a request runs now that takes delay_us usually. */
int64_t upstream_cold_delay(int64_t delay_us);

/* Returns the header fields of a response, owned by ctx: those of the load, and
 * with health also the rest of the cold time. running, waiting and slots are
 * requests. */
char *upstream_cold_fields(TALLOC_CTX *ctx, bool health, int running,
			   int waiting, int slots);

/* Returns whether health requests get a response. */
bool upstream_cold_answers_health(void);

#endif
