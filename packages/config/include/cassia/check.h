/* Checks a document of any kind, for the operators' command line. */
#ifndef CASSIA_CHECK_H
#define CASSIA_CHECK_H

#include "cassia/fault.h"
#include "cassia/settings.h"
#include "cassia/table.h"

typedef enum config_kind {
	CONFIG_KIND_UNKNOWN,
	CONFIG_KIND_SETTINGS,
	CONFIG_KIND_TABLE,
	CONFIG_KIND_HOSTS,
} config_kind_t;

/* A document that was read; only the member of its kind is set. */
typedef struct config_any {
	config_kind_t kind;
	settings_t *settings;
	table_t *table;
	roster_t *roster;
} config_any_t;

/* Returns the kind that the keys of a text speak for. A text that is no TOML
 * has the kind unknown. */
config_kind_t config_guess_kind(cas_str_t text);

/* Returns the name of a kind: settings, table, hosts or unknown. */
const char *config_kind_name(config_kind_t kind);

/*
 * Reads a text of any kind into *any (members owned by ctx). Returns 0,
 * CONFIG_EFAULTS with every fault added to faults, or CONFIG_ENOMEM. A text of
 * unknown kind has one fault.
 */
int config_read_any(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		    config_any_t *any);

#endif
