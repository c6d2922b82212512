/* HTTP requests to the operators' port of a daemon. */
#include <curl/curl.h>

#include "ctl_internal.h"

#define TIMEOUT_MS 5000L
#define CONNECT_TIMEOUT_MS 1000L
#define REPLY_MAX_BYTES (4 << 20)
#define HTTP_ERROR_MIN 400

typedef struct response {
	GString *body; /* freed by ctl_request */
	bool too_large; /* over REPLY_MAX_BYTES */
} response_t;

static size_t on_body(char *data, size_t size, size_t count, void *private)
{
	response_t *response = private;

	if (response->body->len + size * count > REPLY_MAX_BYTES) {
		response->too_large = true;
		return 0;
	}
	g_string_append_len(response->body, data, (gssize)(size * count));
	return size * count;
}

/* Sends a request and waits for the response. Sets *status to the HTTP status,
 * 0 without a response. */
static CURLcode perform_request(const char *method, const char *url,
				response_t *response, long *status)
{
	CURL *easy = curl_easy_init();
	CURLcode code;

	if (!easy)
		return CURLE_OUT_OF_MEMORY;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	if (!strcmp(method, "POST"))
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(easy);
	return code;
}

/* Prints the status of an error response and the "detail" or "reason" of its
 * JSON body, if any. Drops the reference of body. */
static int report_refusal(ctl_t *ctl, long status, json_t *body)
{
	const char *detail = json_string_value(json_object_get(body, "detail"));

	if (!detail)
		detail = json_string_value(json_object_get(body, "reason"));
	ctl_fail(ctl, "the daemon answered with status %ld%s%s", status,
		 detail ? ": " : "", detail ? detail : "");
	json_decref(body);
	return CTL_REFUSED;
}

/* Parses a response into *reply (new reference). Returns an exit code. */
static int parse_reply(ctl_t *ctl, const response_t *response, long status,
		       json_t **reply)
{
	json_t *body =
		json_loadb(response->body->str, response->body->len, 0, NULL);

	if (status >= HTTP_ERROR_MIN)
		return report_refusal(ctl, status, body);
	/* A response without content, as to /drain, is an empty object. */
	if (!body && !response->body->len)
		body = json_object();
	if (!json_is_object(body)) {
		json_decref(body);
		return ctl_fail(ctl, "the reply is not a JSON object");
	}
	*reply = body;
	return CTL_OK;
}

int ctl_request(ctl_t *ctl, const char *method, const char *url, json_t **reply)
{
	response_t response = { .body = g_string_new("") };
	long status = 0;
	CURLcode code = perform_request(method, url, &response, &status);
	int exit_code;

	if (response.too_large)
		exit_code = ctl_fail(ctl, "%s: the reply is too large", url);
	else if (code != CURLE_OK)
		exit_code =
			ctl_fail(ctl, "%s: %s", url, curl_easy_strerror(code));
	else
		exit_code = parse_reply(ctl, &response, status, reply);
	g_string_free(response.body, TRUE);
	return exit_code;
}
