/*
 * Reads a configuration document whose kind is not known in advance. Used by
 * the command-line tool cassiactl to check files.
 */
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

/* A parsed document of any kind. Only the pointer that belongs to kind is set;
 * the others are NULL. */
typedef struct config_parsed {
	config_kind_t kind;
	settings_t *settings;
	table_t *table;
	roster_t *roster;
} config_parsed_t;

/* Detects the kind of a document by its top-level keys. Returns
 * CONFIG_KIND_UNKNOWN if none of them is known or text is not valid TOML. */
config_kind_t config_detect_kind(cas_str_t text);

/* Returns the name of a kind as a static string: "settings", "table", "hosts"
 * or "unknown". */
const char *config_kind_name(config_kind_t kind);

/*
 * Detects the kind of a document and parses it into *parsed (members owned by
 * ctx). Returns 0, CONFIG_EFAULTS with every fault added to faults, or
 * CONFIG_ENOMEM. For an unknown kind it adds exactly one fault: the syntax
 * error, or that the kind cannot be detected.
 */
int config_read_any(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		    config_parsed_t *parsed);

#endif
