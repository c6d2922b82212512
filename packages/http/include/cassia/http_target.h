/* Checks of request targets (path and query) and header text. */
#ifndef CASSIA_HTTP_TARGET_H
#define CASSIA_HTTP_TARGET_H

#include <stdbool.h>

#include "cassia/str.h"

/*
 * Brings a request target into origin form: scheme and authority of an
 * absolute target are cut off. Returns 0 with the result (borrowed) in
 * *origin, or HTTP_EINVAL for a target with blanks, control characters, a
 * fragment or dot segments, plain or percent-encoded: routes match by prefix,
 * so a dot segment could reach another route.
 */
int http_target_check(cas_str_t target, cas_str_t *origin);

/* Returns the path of a target in origin form, without the query. */
cas_str_t http_target_path(cas_str_t target);

/* Returns the query of a target, without the question mark. */
cas_str_t http_target_query(cas_str_t target);

/* Returns the value of a query parameter, not decoded; ptr is NULL when the
 * parameter is absent. */
cas_str_t http_query_value(cas_str_t query, cas_str_t name);

#endif
