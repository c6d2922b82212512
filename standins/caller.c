/*
 * Stand-in of a caller: sends requests at a fixed rate, whether or not earlier
 * ones are answered, and retries at once what was not served. Every sending
 * has an X-Run-Id of its own. Prints one line for each sending: run id, status
 * (0: no answer), outcome (served, not-run, unknown, cut, unsent), milliseconds
 * from the start to the sending, latency in milliseconds, try.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 4096
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
	gint64 start_us;
	int running;
	long sent;
} caller_t;

typedef struct sending {
	caller_t *caller;
	long number;
	int attempt;
	gint64 sent_us;
	char id[64];
	char body[BODY_BYTES];
	size_t body_len;
	struct curl_slist *headers;
} sending_t;

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
	sending_t *sending = private;
	size_t len = size * count;
	size_t room = BODY_BYTES - 1 - sending->body_len;

	memcpy(sending->body + sending->body_len, bytes, MIN(len, room));
	sending->body_len += MIN(len, room);
	return len;
}

static void send_one(caller_t *caller, long number, int attempt)
{
	sending_t *sending = g_new0(sending_t, 1);
	CURL *easy = curl_easy_init();
	long target = (number + attempt) % g_strv_length(caller->targets);
	char line[128];

	sending->caller = caller;
	sending->number = number;
	sending->attempt = attempt;
	sending->sent_us = g_get_monotonic_time();
	snprintf(sending->id, sizeof(sending->id), "%s-%ld-%d", caller->prefix,
		 number, attempt);
	snprintf(line, sizeof(line), "X-Run-Id: %s", sending->id);
	sending->headers = curl_slist_append(NULL, line);
	for (gchar **header = caller->headers; header && *header; header++)
		sending->headers = curl_slist_append(sending->headers, *header);
	curl_easy_setopt(easy, CURLOPT_URL, caller->targets[target]);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, caller->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, sending->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)caller->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, sending);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, sending);
	curl_multi_add_handle(caller->multi, easy);
	caller->running++;
}

/* libcurl sends again by itself when a kept connection ends without a response,
 * so a refused connection alone does not show that nothing was sent. */
static bool was_sent(CURL *easy)
{
	long bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static const char *outcome_of(const sending_t *sending, CURL *easy, long status,
			      CURLcode error)
{
	if (error == CURLE_COULDNT_CONNECT)
		return was_sent(easy) ? "unknown" : "unsent";
	if (error)
		return status ? "cut" : "unknown";
	if (strstr(sending->body, "\"outcome\":\"not-run\""))
		return "not-run";
	if (strstr(sending->body, "\"outcome\":\"unknown\""))
		return "unknown";
	return "served";
}

static void finish(caller_t *caller, CURL *easy, CURLcode error)
{
	sending_t *sending = NULL;
	const char *outcome;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &sending);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	outcome = outcome_of(sending, easy, status, error);
	printf("%s %ld %s %lld %lld %d\n", sending->id, status, outcome,
	       (long long)(sending->sent_us - caller->start_us) / 1000,
	       (long long)(g_get_monotonic_time() - sending->sent_us) / 1000,
	       sending->attempt);
	curl_multi_remove_handle(caller->multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(sending->headers);
	caller->running--;
	if ((error || status != 200) && sending->attempt < caller->retries)
		send_one(caller, sending->number, sending->attempt + 1);
	g_free(sending);
}

static void turn(caller_t *caller)
{
	CURLMsg *message;
	int running;
	int left;

	curl_multi_perform(caller->multi, &running);
	while ((message = curl_multi_info_read(caller->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			finish(caller, message->easy_handle,
			       message->data.result);
	}
	curl_multi_poll(caller->multi, NULL, 0, POLL_MS, NULL);
}

static void run(caller_t *caller)
{
	const gint64 end_us = (gint64)caller->duration_ms * 1000;
	gint64 now_us;

	caller->start_us = g_get_monotonic_time();
	do {
		now_us = g_get_monotonic_time() - caller->start_us;
		while (now_us < end_us &&
		       caller->sent * 1000000 <= now_us * caller->rate)
			send_one(caller, caller->sent++, 0);
		turn(caller);
	} while (now_us < end_us || caller->running);
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
	run(&self);
	curl_multi_cleanup(self.multi);
	return 0;
}
