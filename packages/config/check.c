/* Detects the kind of a document and reads it. */
#include "cassia/check.h"

#include "schema_internal.h"

/* A key and the kind of document that has it. */
typedef struct kind_key {
	const char *key;
	config_kind_t kind;
} kind_key_t;

/*
 * Top-level keys that tell the kind of a document; the first entry whose key
 * the document has decides. The order matters: settings also have the keys
 * "data_centre", "host" and "service", and a table may embed [[host]] rows.
 */
static const kind_key_t kind_keys[] = {
	{ "source", CONFIG_KIND_SETTINGS },
	{ "front", CONFIG_KIND_SETTINGS },
	{ "upstream", CONFIG_KIND_SETTINGS },
	{ "salt", CONFIG_KIND_TABLE },
	{ "data_centre", CONFIG_KIND_TABLE },
	{ "customer", CONFIG_KIND_TABLE },
	{ "route", CONFIG_KIND_TABLE },
	{ "key", CONFIG_KIND_TABLE },
	{ "host", CONFIG_KIND_HOSTS },
	{ "secret", CONFIG_KIND_SETTINGS },
	{ "service", CONFIG_KIND_TABLE },
};

config_kind_t config_detect_kind(cas_str_t text)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	config_kind_t kind = CONFIG_KIND_UNKNOWN;
	toml_node_t *root = NULL;
	toml_error_t error;

	if (text.len <= CONFIG_DOCUMENT_MAX &&
	    !toml_parse(ctx, text, &root, &error))
		for (size_t i = 0; i < sizeof(kind_keys) / sizeof(kind_keys[0]);
		     i++)
			if (!kind && toml_get(root, kind_keys[i].key))
				kind = kind_keys[i].kind;
	talloc_free(ctx);
	return kind;
}

const char *config_kind_name(config_kind_t kind)
{
	switch (kind) {
	case CONFIG_KIND_SETTINGS:
		return "settings";
	case CONFIG_KIND_TABLE:
		return "table";
	case CONFIG_KIND_HOSTS:
		return "hosts";
	case CONFIG_KIND_UNKNOWN:
		break;
	}
	return "unknown";
}

/* Reports the syntax error of a text, or that its kind is unknown. */
static int read_unknown(TALLOC_CTX *ctx, cas_str_t text,
			config_faults_t *faults)
{
	reader_t reader = { ctx, faults, 0 };

	if (reader_parse(&reader, ctx, text))
		config_faults_add(faults, 1, 1, CAS_STR(""), CAS_STR(""),
				  "no key tells whether this is a settings "
				  "file, a table or a host list");
	return reader.rc ? reader.rc : CONFIG_EFAULTS;
}

int config_read_any(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		    config_parsed_t *parsed)
{
	*parsed = (config_parsed_t){ .kind = config_detect_kind(text) };
	switch (parsed->kind) {
	case CONFIG_KIND_SETTINGS:
		return settings_read(ctx, text, faults, &parsed->settings);
	case CONFIG_KIND_TABLE:
		return table_read(ctx, text, faults, &parsed->table);
	case CONFIG_KIND_HOSTS:
		return roster_read(ctx, text, faults, &parsed->roster);
	case CONFIG_KIND_UNKNOWN:
		break;
	}
	return read_unknown(ctx, text, faults);
}
