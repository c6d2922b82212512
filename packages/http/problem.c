/* Encodes problem details as JSON and sends them as responses. */
#include "cassia/http_problem.h"

#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>

static json_t *problem_json(const http_problem_t *problem)
{
	json_t *object = json_pack(
		"{s:s, s:i, s:s, s:s}", "title",
		MHD_get_reason_phrase_for((unsigned int)problem->status),
		"status", problem->status, "outcome", problem->outcome,
		"reason", problem->reason);

	if (object && problem->detail)
		json_object_set_new(object, "detail",
				    json_string(problem->detail));
	if (object && problem->request_id.len)
		json_object_set_new(object, "request_id",
				    json_stringn(problem->request_id.ptr,
						 problem->request_id.len));
	return object;
}

cas_str_t http_problem_text(TALLOC_CTX *ctx, const http_problem_t *problem)
{
	json_t *object = problem_json(problem);
	char *text = object ? json_dumps(object, JSON_COMPACT) : NULL;
	char *copy = text ? talloc_asprintf(ctx, "%s\n", text) : NULL;

	free(text);
	json_decref(object);
	return (cas_str_t){ copy, copy ? talloc_get_size(copy) - 1 : 0 };
}

int http_problem_add_type(http_headers_t *headers)
{
	return http_headers_add(headers, CAS_STR("Content-Type"),
				CAS_STR("application/problem+json"));
}

void http_problem_reply(http_exchange_t *exchange,
			const http_problem_t *problem)
{
	http_headers_t *headers = http_headers_create(exchange);
	cas_str_t text = http_problem_text(exchange, problem);

	if (!headers || !text.ptr || http_problem_add_type(headers)) {
		http_exchange_abort(exchange);
		return;
	}
	http_exchange_reply_text(exchange, problem->status, headers, text);
}
