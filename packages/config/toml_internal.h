/*
 * Parses TOML documents into a tree of C structures. Only toml_adapter.cpp uses
 * the C++ library toml++; it lets no exception escape.
 */
#ifndef CASSIA_TOML_INTERNAL_H
#define CASSIA_TOML_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

/*
 * Largest nesting depth of arrays and tables, and largest number of parts of a
 * dotted key. No valid document needs more than 3. The library recurses over
 * both and does not limit dotted keys, so a deep document would overflow the
 * stack.
 */
#define TOML_DEPTH_MAX 8

typedef enum toml_kind {
	TOML_KIND_TABLE,
	TOML_KIND_ARRAY,
	TOML_KIND_STRING,
	TOML_KIND_INTEGER,
	TOML_KIND_FLOAT,
	TOML_KIND_BOOLEAN,
	TOML_KIND_TIME, /* date, time or both; the value is not kept */
} toml_kind_t;

typedef struct toml_node toml_node_t;

/* A value with its key. Lines and columns count from 1. */
struct toml_node {
	toml_kind_t kind;
	cas_str_t key; /* empty in arrays and at the root */
	int32_t key_line; /* position of the key; 0 without a key */
	int32_t key_column;
	int32_t line; /* position of the value */
	int32_t column;
	cas_str_t text; /* of TOML_KIND_STRING */
	int64_t integer; /* of TOML_KIND_INTEGER */
	double real; /* of TOML_KIND_FLOAT */
	bool boolean; /* of TOML_KIND_BOOLEAN */
	toml_node_t *children; /* of a table (sorted by key) or an array */
	size_t count; /* of children */
};

/* First syntax error of a document. */
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
 * Rejects texts that the library does not handle safely: too deep nesting, and
 * characters outside of ASCII or control characters, except in comments.
 * Returns 0, or CONFIG_EFAULTS with *error filled in.
 */
int toml_check_text(cas_str_t text, toml_error_t *error);

/* Returns the value of a key of a table (borrowed), or NULL. */
const toml_node_t *toml_get(const toml_node_t *table, const char *key);

#endif
