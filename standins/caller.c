/*
 * Load generator for tests: sends requests at a fixed rate, whether or not
 * earlier ones are answered, and retries a request at once, at the next target,
 * when its attempt fails or its status is not 200. Every attempt has an
 * X-Run-Id of its own. Prints one line for each attempt: run id, status (0: no
 * response), outcome (served, not-run, unknown, cut, unsent), milliseconds from
 * the start of the program to that of the attempt, latency in milliseconds,
 * number of the try (0: the first).
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES 4096
#define POLL_MS 5

typedef struct caller {
	CURLM *multi;
	gchar **targets; /* URLs, used in turn */
	gchar **headers;
	gchar *prefix; /* of the run ids */
	gchar *method;
	int rate; /* requests per second */
	int duration_ms;
	int retries;
	int timeout_ms;
	gint64 start_us; /* monotonic time */
	int running; /* attempts without a result */
	long requests_started;
} caller_t;

typedef struct attempt {
	caller_t *caller;
	long request_number;
	int try_number;
	gint64 sent_us;
	char id[64];
	char body[BODY_MAX_BYTES];
	size_t body_len;
	struct curl_slist *headers;
} attempt_t;

static caller_t self = { .rate = 10, .duration_ms = 1000, .timeout_ms = 10000 };

static const GOptionEntry options[] = {
	{ "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &self.targets, "", NULL },
	{ "header", 0, 0, G_OPTION_ARG_STRING_ARRAY, &self.headers, "", NULL },
	{ "prefix", 0, 0, G_OPTION_ARG_STRING, &self.prefix, "", NULL },
	{ "method", 0, 0, G_OPTION_ARG_STRING, &self.method, "", NULL },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &self.rate, "", NULL },
	{ "duration-ms", 0, 0, G_OPTION_ARG_INT, &self.duration_ms, "", NULL },
	{ "retries", 0, 0, G_OPTION_ARG_INT, &self.retries, "", NULL },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &self.timeout_ms, "", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static size_t on_body(char *bytes, size_t size, size_t count, void *private)
{
	attempt_t *attempt = private;
	size_t len = size * count;
	size_t available = BODY_MAX_BYTES - 1 - attempt->body_len;

	memcpy(attempt->body + attempt->body_len, bytes, MIN(len, available));
	attempt->body_len += MIN(len, available);
	return len;
}

static void start_attempt(caller_t *caller, long request_number, int try_number)
{
	attempt_t *attempt = g_new0(attempt_t, 1);
	CURL *easy = curl_easy_init();
	long target_index =
		(request_number + try_number) % g_strv_length(caller->targets);
	char run_id_field[128];

	attempt->caller = caller;
	attempt->request_number = request_number;
	attempt->try_number = try_number;
	attempt->sent_us = g_get_monotonic_time();
	snprintf(attempt->id, sizeof(attempt->id), "%s-%ld-%d", caller->prefix,
		 request_number, try_number);
	snprintf(run_id_field, sizeof(run_id_field), "X-Run-Id: %s",
		 attempt->id);
	attempt->headers = curl_slist_append(NULL, run_id_field);
	for (gchar **header = caller->headers; header && *header; header++)
		attempt->headers = curl_slist_append(attempt->headers, *header);
	curl_easy_setopt(easy, CURLOPT_URL, caller->targets[target_index]);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, caller->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)caller->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, attempt);
	curl_multi_add_handle(caller->multi, easy);
	caller->running++;
}

/* libcurl sends a request again by itself when a reused connection closes
 * without a response, so a refused connection alone does not show that nothing
 * was sent. */
static bool request_bytes_sent(CURL *easy)
{
	long bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static const char *classify_outcome(const attempt_t *attempt, CURL *easy,
				    long status, CURLcode error)
{
	if (error == CURLE_COULDNT_CONNECT)
		return request_bytes_sent(easy) ? "unknown" : "unsent";
	if (error)
		return status ? "cut" : "unknown";
	if (strstr(attempt->body, "\"outcome\":\"not-run\""))
		return "not-run";
	if (strstr(attempt->body, "\"outcome\":\"unknown\""))
		return "unknown";
	return "served";
}

static void finish_attempt(caller_t *caller, CURL *easy, CURLcode error)
{
	attempt_t *attempt = NULL;
	const char *outcome;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &attempt);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	outcome = classify_outcome(attempt, easy, status, error);
	printf("%s %ld %s %lld %lld %d\n", attempt->id, status, outcome,
	       (long long)(attempt->sent_us - caller->start_us) / 1000,
	       (long long)(g_get_monotonic_time() - attempt->sent_us) / 1000,
	       attempt->try_number);
	curl_multi_remove_handle(caller->multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(attempt->headers);
	caller->running--;
	if ((error || status != 200) && attempt->try_number < caller->retries)
		start_attempt(caller, attempt->request_number,
			      attempt->try_number + 1);
	g_free(attempt);
}

static void process_events(caller_t *caller)
{
	CURLMsg *message;
	int running;
	int queued;

	curl_multi_perform(caller->multi, &running);
	while ((message = curl_multi_info_read(caller->multi, &queued))) {
		if (message->msg == CURLMSG_DONE)
			finish_attempt(caller, message->easy_handle,
				       message->data.result);
	}
	curl_multi_poll(caller->multi, NULL, 0, POLL_MS, NULL);
}

static void run_load(caller_t *caller)
{
	const gint64 duration_us = (gint64)caller->duration_ms * 1000;
	gint64 elapsed_us;

	caller->start_us = g_get_monotonic_time();
	do {
		elapsed_us = g_get_monotonic_time() - caller->start_us;
		while (elapsed_us < duration_us &&
		       caller->requests_started * 1000000 <=
			       elapsed_us * caller->rate)
			start_attempt(caller, caller->requests_started++, 0);
		process_events(caller);
	} while (elapsed_us < duration_us || caller->running);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !self.targets)
		return 2;
	g_option_context_free(context);
	if (!self.prefix)
		self.prefix = g_strdup("run");
	if (!self.method)
		self.method = g_strdup("GET");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	self.multi = curl_multi_init();
	run_load(&self);
	curl_multi_cleanup(self.multi);
	return 0;
}
