/*
 * Ordered lists of header fields, which may contain duplicates, and the rules
 * for which fields a proxy forwards to the next hop.
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
	http_header_t *items; /* owned by the list */
	size_t count;
	size_t capacity; /* allocated items */
} http_headers_t;

/* Returns a new empty list, or NULL when memory runs out. */
http_headers_t *http_headers_create(TALLOC_CTX *ctx);

/* Appends a field; name and value are borrowed. Returns 0 or HTTP_ENOMEM. */
int http_headers_add(http_headers_t *headers, cas_str_t name, cas_str_t value);

/* Returns the first field with the given name, compared case-insensitively, or
 * NULL. It is valid until the next http_headers_add. */
const http_header_t *http_headers_find(const http_headers_t *headers,
				       cas_str_t name);

/* Returns the value of the first field with the given name, or an empty
 * string. */
cas_str_t http_headers_value(const http_headers_t *headers, cas_str_t name);

/* Compares two field names case-insensitively. */
bool http_name_equal(cas_str_t a, cas_str_t b);

/* True when a comma-separated list contains the token, compared
 * case-insensitively. */
bool http_list_has(cas_str_t list, cas_str_t token);

/* True for hop-by-hop fields, which apply to one connection only: those fixed
 * by HTTP and those listed in the Connection fields of headers. */
bool http_header_is_hop_by_hop(const http_headers_t *headers, cas_str_t name);

/*
 * Appends the fields of from that are forwarded to the next hop. Left out are
 * hop-by-hop fields, Content-Length (the body is framed anew for the next hop)
 * and names that start with Cassia-. Names and values are borrowed. Returns 0
 * or HTTP_ENOMEM.
 */
int http_headers_forward(http_headers_t *to, const http_headers_t *from);

/* Appends a field with a copy of value owned by ctx; name is borrowed. Returns
 * 0 or HTTP_ENOMEM. */
int http_headers_add_copy(http_headers_t *headers, TALLOC_CTX *ctx,
			  const char *name, cas_str_t value);

/* Appends a field with number in decimal as its value, owned by ctx; name is
 * borrowed. Returns 0 or HTTP_ENOMEM. */
int http_headers_add_int(http_headers_t *headers, TALLOC_CTX *ctx,
			 const char *name, int64_t number);

#endif
