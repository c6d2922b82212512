/* Header fields defined by this project. */
#include "cassia/http_profile.h"

static bool is_not_run(int status, const http_headers_t *headers)
{
	return status == 503 &&
	       http_name_equal(
		       http_headers_value(headers, CAS_STR("Cassia-Outcome")),
		       CAS_STR("not-run"));
}

/* How a response identifies its request. */
typedef enum identity {
	IDENTITY_NONE, /* the field is missing or not used */
	IDENTITY_SAME,
	IDENTITY_OTHER, /* the field has the value of another request */
} identity_t;

static identity_t compare_field(const http_headers_t *headers, cas_str_t name,
				cas_str_t expected)
{
	cas_str_t value;

	if (!name.len)
		return IDENTITY_NONE;
	value = http_headers_value(headers, name);
	if (!value.len)
		return IDENTITY_NONE;
	return cas_str_equal(value, expected) ? IDENTITY_SAME : IDENTITY_OTHER;
}

bool http_profile_is_response_to(const http_profile_t *profile, int status,
				 const http_headers_t *headers,
				 const http_profile_request_t *request)
{
	identity_t id =
		compare_field(headers, profile->request_id, request->id);
	identity_t handle =
		compare_field(headers, profile->handle, request->handle);

	if (id == IDENTITY_OTHER || handle == IDENTITY_OTHER)
		return false;
	if (request->first_on_connection)
		return true;
	if (profile->clients_choose_id && request->id.len)
		return id == IDENTITY_SAME;
	if (!profile->is_not_run(status, headers))
		return true;
	/* Child calls have the id of their root request, so that an upstream
	 * may receive several requests of one id. Handles are unique. */
	return (profile->handle.len ? handle : id) == IDENTITY_SAME;
}

const http_header_t *http_profile_find(const http_profile_names_t *names,
				       const http_headers_t *headers)
{
	const size_t count = sizeof(names->names) / sizeof(names->names[0]);
	const http_header_t *header = NULL;

	for (size_t i = 0; i < count && !header && names->names[i].len; i++)
		header = http_headers_find(headers, names->names[i]);
	return header;
}

const http_profile_t http_profile_cassia = {
	.key_scheme = { "Bearer", 6 },
	.request_id = { "Cassia-Request-Id", 17 },
	.client_timeout_ms = { "Cassia-Timeout-Ms", 17 },
	.upstream_deadline_ms = { "Cassia-Deadline-Ms", 18 },
	.handle = { "Cassia-Handle", 13 },
	.request_rate = { { { "Cassia-Request-Rate", 19 } } },
	.leaving = { { { "Cassia-Leaving", 14 } } },
	.is_not_run = is_not_run,
};
