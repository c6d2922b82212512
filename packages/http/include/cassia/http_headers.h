/*
 * Header fields in order, duplicates kept, and the rules for what may pass
 * from one hop to the next.
 */
#ifndef CASSIA_HTTP_HEADERS_H
#define CASSIA_HTTP_HEADERS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

typedef struct http_header {
	cas_str_t name;
	cas_str_t value;
} http_header_t;

typedef struct http_headers {
	http_header_t *items;
	size_t count;
	size_t capacity;
} http_headers_t;

/* Returns a new empty list, or NULL when memory is short. */
http_headers_t *http_headers_create(TALLOC_CTX *ctx);

/* Appends a field; name and value are borrowed. Returns 0 or HTTP_ENOMEM. */
int http_headers_add(http_headers_t *headers, cas_str_t name, cas_str_t value);

/* Returns the first field of a name, compared without case, or NULL. */
const http_header_t *http_headers_find(const http_headers_t *headers,
				       cas_str_t name);

/* Returns the value of the first field of a name, or an empty string. */
cas_str_t http_headers_value(const http_headers_t *headers, cas_str_t name);

/* Compares two field names without case. */
bool http_name_equal(cas_str_t a, cas_str_t b);

/* True when a comma-separated list holds the token, compared without case. */
bool http_list_has(cas_str_t list, cas_str_t token);

/* True for fields that apply to one connection only: the fixed ones and those
 * that the Connection fields of the list name. */
bool http_header_is_hop(const http_headers_t *headers, cas_str_t name);

/*
 * Appends the fields of from that may pass to the next hop: no hop-by-hop
 * fields, no Content-Length (the next hop frames the body itself), and none
 * that starts with Cassia-. Returns 0 or HTTP_ENOMEM.
 */
int http_headers_forward(http_headers_t *to, const http_headers_t *from);

/* Appends name=value with name and value copied to ctx. Returns 0 or
 * HTTP_ENOMEM. */
int http_headers_add_copy(http_headers_t *headers, TALLOC_CTX *ctx,
			  const char *name, cas_str_t value);

/* Appends name=number. Returns 0 or HTTP_ENOMEM. */
int http_headers_add_int(http_headers_t *headers, TALLOC_CTX *ctx,
			 const char *name, int64_t number);

#endif
