/*
 * Shares of request trees that can be completed, as an entry daemon learns them
 * from the outcomes of its requests.
 *
 * Load pattern: a service deep in the call chain rejects a share of its arrivals
 * (see retry_plan.h). Its callers give the retries to the most important trees
 * first. An entry daemon sees few requests of each importance, and none of an
 * importance of which it starts no trees.
 */
#ifndef CASSIA_TREE_SHARES_H
#define CASSIA_TREE_SHARES_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"

typedef struct tree_shares tree_shares_t;

/* Returns empty shares, or NULL when out of memory. clock is borrowed. */
tree_shares_t *tree_shares_create(TALLOC_CTX *ctx, const cas_clock_t *clock);

/* Takes in the share (0..1) that an outcome reports for a kind of trees and an
 * importance, 0..15. Other values are ignored. */
void tree_shares_learn(tree_shares_t *shares, cas_id_t kind, int32_t importance,
		       double share);

/* Returns the share of trees to start, 1 when nothing is known. */
double tree_shares_get(const tree_shares_t *shares, cas_id_t kind,
		       int32_t importance);

/* Returns whether to start a tree with this random draw of its root. */
bool tree_shares_include(const tree_shares_t *shares, cas_id_t kind,
			 int32_t importance, uint32_t draw);

#endif
