/*
 * Thresholds at the entry daemon: the admitted fractions received in
 * responses, used to reject requests before they are forwarded.
 */
#ifndef CASSIA_THRESHOLDS_H
#define CASSIA_THRESHOLDS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

/* Admitted fractions by service, importance and customer. */
typedef struct thresholds thresholds_t;

/* Number of requests of one importance and customer that were rejected early
 * since the last report. */
typedef struct thresholds_early_rejections {
	int32_t importance;
	cas_id_t customer;
	uint64_t count;
} thresholds_early_rejections_t;

/* Returns an empty table, or NULL when out of memory. clock is borrowed and
 * must outlive it. */
thresholds_t *thresholds_create(TALLOC_CTX *ctx, const cas_clock_t *clock);

/* Sets whether many daemons call each upstream. Each of them then sees few
 * requests of one threshold, so that refreshing all thresholds every 100 ms
 * would keep the daemons of overloaded upstreams busy with refusals. Initially
 * false. */
void thresholds_set_many_senders(thresholds_t *thresholds, bool many);

/*
 * Updates a threshold with the fraction (0..1) of a response; other values are
 * ignored. For a call chain it is the smallest of the upstream's own fraction
 * and those returned by its child calls. service may be any id, if the same one
 * is passed to the look-ups.
 */
void thresholds_learn(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, double fraction);

/* Returns whether to forward a request: true when its draw is below the
 * threshold or no threshold is known. Counts an early rejection otherwise. */
bool thresholds_check(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, uint32_t draw);

/*
 * Returns whether to forward a request that thresholds_check has just rejected,
 * in order to refresh a threshold that is older than 100 ms: the upstream's
 * daemon decides, and its response carries a new fraction. True at most once in
 * 100 ms for each threshold; the early rejection is then taken back. Use it
 * only for requests from callers, not for child calls: a rejected child call
 * wastes the work of its parent.
 */
bool thresholds_probe(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer);

/* Returns the fraction in force now, raised according to its age; 1 when
 * unknown. */
double thresholds_fraction(const thresholds_t *thresholds, cas_id_t service,
			   int32_t importance, cas_id_t customer);

/* Moves up to max early rejection counts of the service into early, resets
 * them, and returns how many it moved. If the report is lost, its counts are
 * lost too. */
size_t thresholds_take_early_rejections(thresholds_t *thresholds,
					cas_id_t service,
					thresholds_early_rejections_t *early,
					size_t max);

/* Removes thresholds that were not updated for 60 s. Call it about once a
 * second. */
void thresholds_tick(thresholds_t *thresholds);

#endif
