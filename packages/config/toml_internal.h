/*
 * TOML documents as a tree of plain C nodes. The adapter is the only user of
 * the C++ library; no exception leaves it.
 */
#ifndef CASSIA_TOML_INTERNAL_H
#define CASSIA_TOML_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

/*
 * Nesting of arrays and tables, and parts of one dotted key. No document
 * needs more than 3; the library recurses over both without a limit of its
 * own on dotted keys, so a deep document would overflow the stack.
 */
#define TOML_DEPTH_MAX 8

typedef enum toml_kind {
	TOML_KIND_TABLE,
	TOML_KIND_ARRAY,
	TOML_KIND_STRING,
	TOML_KIND_INTEGER,
	TOML_KIND_FLOAT,
	TOML_KIND_BOOLEAN,
	TOML_KIND_TIME,
} toml_kind_t;

typedef struct toml_node toml_node_t;

struct toml_node {
	toml_kind_t kind;
	cas_str_t key; /* empty in arrays and at the root */
	int32_t key_line;
	int32_t key_column;
	int32_t line;
	int32_t column;
	cas_str_t text;
	int64_t integer;
	double real;
	bool boolean;
	toml_node_t *children; /* of a table sorted by key */
	size_t count;
};

typedef struct toml_error {
	int32_t line;
	int32_t column;
	char reason[256];
} toml_error_t;

/*
 * Parses text into a tree owned by ctx. Returns 0, CONFIG_EFAULTS with *error
 * filled in, or CONFIG_ENOMEM.
 */
int toml_parse(TALLOC_CTX *ctx, cas_str_t text, toml_node_t **root,
	       toml_error_t *error);

/*
 * Checks what the parser cannot be trusted with: nesting, and characters
 * outside of ASCII except in comments. Returns 0, or CONFIG_EFAULTS with
 * *error filled in.
 */
int toml_check_text(cas_str_t text, toml_error_t *error);

/* Returns the child of a table (borrowed), or NULL. */
const toml_node_t *toml_get(const toml_node_t *table, const char *key);

#endif
