/*
 * Checks the invariants of the config package: where no fault occurs, a
 * published table is in use within 6 s and a withdrawn key is rejected within 2
 * s; and a daemon that starts does not serve before its table is as new as
 * those of the peers that it could ask.
 */
#ifndef SOAK_CHECK_CONFIG_H
#define SOAK_CHECK_CONFIG_H

#include "part_config.h"

typedef struct check_config check_config_t;

/* Returns a new check, owned by ctx. fleet and documents are borrowed. Aborts
 * when memory runs out. */
check_config_t *check_config_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const documents_t *documents);

/* Runs the checks; reports violations. Must be called in each step, after
 * documents_step. */
void check_config_step(check_config_t *check);

/* Numbers of checks. */
typedef struct check_config_totals {
	uint64_t boots; /* daemons that became ready */
	uint64_t boot_peers; /* peers whose revision was compared with theirs */
	uint64_t tables; /* pairs of table and daemon checked after 6 s */
	uint64_t keys; /* pairs of withdrawn key and daemon checked after 2 s */
} check_config_totals_t;

/* Returns the totals (borrowed). */
const check_config_totals_t *check_config_totals(const check_config_t *check);

#endif
