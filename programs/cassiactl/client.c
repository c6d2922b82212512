/* Requests to the operators' port of a daemon. */
#include <curl/curl.h>

#include "ctl_internal.h"

#define TIMEOUT_MS 5000L
#define CONNECT_TIMEOUT_MS 1000L
#define REPLY_MAX_BYTES (4 << 20)
#define STATUS_ERROR 400

typedef struct reply {
	GString *body;
	bool too_large;
} reply_t;

static size_t body_arrived(char *data, size_t size, size_t count, void *private)
{
	reply_t *reply = private;

	if (reply->body->len + size * count > REPLY_MAX_BYTES) {
		reply->too_large = true;
		return 0;
	}
	g_string_append_len(reply->body, data, (gssize)(size * count));
	return size * count;
}

static CURLcode perform(const char *method, const char *url, reply_t *reply,
			long *status)
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
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_arrived);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	if (!strcmp(method, "POST"))
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(easy);
	return code;
}

/* Prints why the daemon refused: the detail of a problem, or the status. */
static int refused(ctl_t *ctl, long status, json_t *body)
{
	const char *detail = json_string_value(json_object_get(body, "detail"));

	if (!detail)
		detail = json_string_value(json_object_get(body, "reason"));
	ctl_fail(ctl, "the daemon answered with status %ld%s%s", status,
		 detail ? ": " : "", detail ? detail : "");
	json_decref(body);
	return CTL_REFUSED;
}

static int take_reply(ctl_t *ctl, const reply_t *raw, long status,
		      json_t **reply)
{
	json_t *body = json_loadb(raw->body->str, raw->body->len, 0, NULL);

	if (status >= STATUS_ERROR)
		return refused(ctl, status, body);
	/* A reply without content, as to drain, is an empty object. */
	if (!body && !raw->body->len)
		body = json_object();
	if (!json_is_object(body)) {
		json_decref(body);
		return ctl_fail(ctl, "the reply is no JSON object");
	}
	*reply = body;
	return CTL_OK;
}

int ctl_request(ctl_t *ctl, const char *method, const char *url, json_t **reply)
{
	reply_t raw = { .body = g_string_new("") };
	long status = 0;
	CURLcode code = perform(method, url, &raw, &status);
	int exit_code;

	if (raw.too_large)
		exit_code = ctl_fail(ctl, "%s: the reply is too large", url);
	else if (code != CURLE_OK)
		exit_code =
			ctl_fail(ctl, "%s: %s", url, curl_easy_strerror(code));
	else
		exit_code = take_reply(ctl, &raw, status, reply);
	g_string_free(raw.body, TRUE);
	return exit_code;
}
