/*
 * The header fields in which callers and upstreams of one environment say what
 * a daemon needs to know. Fields with an empty name do not exist there.
 */
#ifndef CASSIA_HTTP_DIALECT_H
#define CASSIA_HTTP_DIALECT_H

#include "cassia/http_headers.h"

typedef struct http_dialect {
	cas_str_t key_scheme; /* of the Authorization field */
	cas_str_t request_id;
	/* The caller chooses the id, and upstreams repeat it in responses. */
	bool callers_choose_id;
	cas_str_t caller_timeout_ms; /* how long the caller waits */
	cas_str_t upstream_deadline_ms; /* what is left of that */
	cas_str_t handle; /* that child calls present */
	cas_str_t instance; /* the run of the upstream that is meant */
	cas_str_t customer; /* the name of the customer */
	cas_str_t calling_service;
	/* Any text may be a key, so keys cannot be recognised elsewhere. */
	bool opaque_keys;
	/* Child calls come to the front and are requests on open routes. */
	bool open_routes_are_calls;
	bool fractional_retry_after;
	/* True when a response says that the request has not run. */
	bool (*is_not_run)(int status, const http_headers_t *headers);
} http_dialect_t;

/* The project's own fields, Cassia-. */
extern const http_dialect_t http_dialect_cassia;

#endif
