/* Problem details (RFC 9457): JSON bodies of error responses. */
#ifndef CASSIA_HTTP_PROBLEM_H
#define CASSIA_HTTP_PROBLEM_H

#include "cassia/http_server.h"

typedef struct http_problem {
	int status;
	const char *outcome; /* "not-run" or "unknown" */
	const char *reason; /* machine-readable, such as "shed" */
	const char *detail; /* one sentence for humans, or NULL */
	cas_str_t request_id; /* may be empty */
} http_problem_t;

/* Returns the JSON text (owned by ctx); ptr is NULL when memory runs out. */
cas_str_t http_problem_text(TALLOC_CTX *ctx, const http_problem_t *problem);

/* Appends the Content-Type field of problem details. Returns 0 or
 * HTTP_ENOMEM. */
int http_problem_add_type(http_headers_t *headers);

/* Sends the problem as the response of the exchange, with Content-Type as the
 * only extra field. Aborts the exchange when memory runs out. */
void http_problem_reply(http_exchange_t *exchange,
			const http_problem_t *problem);

#endif
