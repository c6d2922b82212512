/*
 * Invariants of config: how soon a table is in force where no fault hits, how
 * soon a withdrawn key is gone, and what a daemon knows when it starts to
 * serve.
 */
#ifndef SOAK_CHECK_CONFIG_H
#define SOAK_CHECK_CONFIG_H

#include "part_config.h"

typedef struct check_config check_config_t;

check_config_t *check_config_create(TALLOC_CTX *ctx, fleet_t *fleet,
				    const documents_t *documents);

/* Called every step, behind documents_step. */
void check_config_step(check_config_t *check);

typedef struct check_config_totals {
	uint64_t boots; /* daemons that became ready */
	uint64_t boot_peers; /* revisions of peers compared with theirs */
	uint64_t tables; /* (table, daemon) pairs looked at after 6 s */
	uint64_t keys; /* the same for withdrawn keys after 2 s */
} check_config_totals_t;

const check_config_totals_t *check_config_totals(const check_config_t *check);

#endif
