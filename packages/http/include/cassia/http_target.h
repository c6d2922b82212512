/* Validation and parsing of request targets (path and query). */
#ifndef CASSIA_HTTP_TARGET_H
#define CASSIA_HTTP_TARGET_H

#include <stdbool.h>

#include "cassia/str.h"

/*
 * Validates a request target and converts it to origin form: scheme and
 * authority of an absolute target are removed. Returns 0 with the result
 * (borrowed) in *origin, or HTTP_EINVAL for a target with blanks, control or
 * non-ASCII characters, a fragment, or dot segments, plain or percent-encoded:
 * routes match by path prefix, so the upstream could resolve a dot segment to a
 * path of another route.
 */
int http_target_check(cas_str_t target, cas_str_t *origin);

/* Returns the path of a target in origin form, without the query. */
cas_str_t http_target_path(cas_str_t target);

/* Returns the query of a target, without the question mark. */
cas_str_t http_target_query(cas_str_t target);

/* Returns the value of the first query parameter with the given name, still
 * percent-encoded; ptr is NULL when there is none. */
cas_str_t http_query_value(cas_str_t query, cas_str_t name);

#endif
