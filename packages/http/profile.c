/* Header fields defined by this project. */
#include "cassia/http_profile.h"

static bool is_not_run(int status, const http_headers_t *headers)
{
	return status == 503 &&
	       http_name_equal(
		       http_headers_value(headers, CAS_STR("Cassia-Outcome")),
		       CAS_STR("not-run"));
}

const http_profile_t http_profile_cassia = {
	.key_scheme = { "Bearer", 6 },
	.request_id = { "Cassia-Request-Id", 17 },
	.client_timeout_ms = { "Cassia-Timeout-Ms", 17 },
	.upstream_deadline_ms = { "Cassia-Deadline-Ms", 18 },
	.handle = { "Cassia-Handle", 13 },
	.is_not_run = is_not_run,
};
