/*
 * Thresholds at the entry daemon: the admitted fractions learned from
 * responses, used to reject requests before they are forwarded.
 */
#ifndef CASSIA_THRESHOLDS_H
#define CASSIA_THRESHOLDS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

typedef struct thresholds thresholds_t;

/* Early rejections of one (importance, customer) since the last report. */
typedef struct thresholds_early {
	int32_t importance;
	cas_id_t customer;
	uint64_t count;
} thresholds_early_t;

/* Returns an empty set, or NULL when memory is short. clock is borrowed. */
thresholds_t *thresholds_create(TALLOC_CTX *ctx, const cas_clock_t *clock);

/*
 * Takes over the fraction (0..1) of a response. For a call chain it is the
 * smallest of the upstream's own fraction and those its child calls brought
 * back. The service may be any id under which the caller looks it up again.
 */
void thresholds_learn(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, double fraction);

/* Returns whether to forward a request; a rejection is counted. */
bool thresholds_check(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, uint32_t draw);

/*
 * Returns whether to forward a request that thresholds_check just rejected,
 * because the fraction is older than 100 ms; the upstream's daemon decides,
 * and its response brings a new one. The rejection is then not counted. Use
 * it for requests from callers only: a child call would waste the work of its
 * parent.
 */
bool thresholds_probe(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer);

/* Returns the fraction in force now, decayed by its age; 1 when unknown. */
double thresholds_fraction(const thresholds_t *thresholds, cas_id_t service,
			   int32_t importance, cas_id_t customer);

/* Moves up to max counts for the service into early and returns how many.
 * The counts are reset; a lost report is lost. */
size_t thresholds_take_early(thresholds_t *thresholds, cas_id_t service,
			     thresholds_early_t *early, size_t max);

/* Forgets entries that had no news for a long time. Call it once a second
 * or so. */
void thresholds_tick(thresholds_t *thresholds);

#endif
