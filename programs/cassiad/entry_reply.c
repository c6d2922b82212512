/* Responses to callers. */
#include "cassia/http_problem.h"
#include "cassia/return_time.h"
#include "entry.h"
#include "stats.h"

static int64_t seconds_rounded_up(int64_t time_us)
{
	return (time_us + CAS_USEC_PER_SEC - 1) / CAS_USEC_PER_SEC;
}

/* Adds RateLimit fields as in draft-ietf-httpapi-ratelimit-headers: burst and
 * the time to refill it, no remaining requests, and when to retry. */
static int add_rate_limit(entry_request_t *request, http_headers_t *headers,
			  int64_t retry_s)
{
	const table_customer_t *customer = table_find_customer(
		request->daemon->table, request->context.customer);
	char *policy_field;
	char *limit_field;

	if (!customer)
		return 0;
	policy_field = talloc_asprintf(
		headers, "\"customer\";q=%lld;w=%lld",
		(long long)(customer->burst_micro / 1000000),
		(long long)seconds_rounded_up(customer->burst_micro *
					      CAS_USEC_PER_SEC /
					      customer->rate_micro));
	limit_field = talloc_asprintf(headers, "\"customer\";r=0;t=%lld",
				      (long long)retry_s);
	if (!policy_field || !limit_field)
		return -1;
	http_headers_add(headers, CAS_STR("RateLimit-Policy"),
			 cas_str_from_cstr(policy_field));
	return http_headers_add(headers, CAS_STR("RateLimit"),
				cas_str_from_cstr(limit_field));
}

static int add_fractional_retry_after(http_headers_t *headers, int64_t time_us)
{
	char *text = talloc_asprintf(headers, "%.3f",
				     (double)time_us / CAS_USEC_PER_SEC);

	if (!text)
		return -1;
	return http_headers_add(headers, CAS_STR("Retry-After"),
				cas_str_from_cstr(text));
}

static int add_refusal_fields(entry_request_t *request, http_headers_t *headers,
			      int64_t retry_after_us)
{
	int64_t retry_s = seconds_rounded_up(retry_after_us);

	if (request->status == 401)
		http_headers_add(headers, CAS_STR("WWW-Authenticate"),
				 request->daemon->profile->key_scheme);
	if (request->status != 429 && request->status != 503)
		return 0;
	if (retry_s < 1)
		retry_s = 1;
	if (request->status == 429 && add_rate_limit(request, headers, retry_s))
		return -1;
	if (retry_after_us == RETURN_TIME_NONE)
		return 0;
	if (request->daemon->profile->fractional_retry_after)
		return add_fractional_retry_after(headers, retry_after_us);
	return http_headers_add_int(headers, headers, "Retry-After", retry_s);
}

static int add_id(const entry_request_t *request, http_headers_t *headers)
{
	return http_headers_add(headers, request->daemon->profile->request_id,
				cas_str_from_cstr(request->id_text));
}

void entry_reply_refusal(entry_request_t *request, int64_t retry_after_us)
{
	const http_problem_t problem = {
		.status = request->status,
		.outcome = stats_outcome_name(request->outcome),
		.reason = reason_name(request->reason),
		.detail = reason_detail(request->reason),
		.request_id = cas_str_from_cstr(request->id_text),
	};
	http_headers_t *headers = http_headers_create(request);
	cas_str_t text = http_problem_text(request, &problem);

	if (!headers || !text.ptr || http_problem_add_type(headers) ||
	    add_id(request, headers) ||
	    add_refusal_fields(request, headers, retry_after_us)) {
		http_exchange_abort(request->exchange);
		return;
	}
	http_exchange_reply_text(request->exchange, request->status, headers,
				 text);
}

void entry_reply_served(entry_request_t *request, const http_reply_t *reply)
{
	http_headers_t *headers = http_headers_create(request->exchange);
	http_reply_t forwarded = *reply;

	if (!headers || http_headers_forward(headers, reply->headers) ||
	    (!request->daemon->profile->clients_choose_id &&
	     add_id(request, headers))) {
		http_exchange_abort(request->exchange);
		return;
	}
	/* The forwarded fields borrow their text from the list of the reply. */
	talloc_steal(headers, reply->headers);
	forwarded.headers = headers;
	http_exchange_reply(request->exchange, &forwarded);
}
