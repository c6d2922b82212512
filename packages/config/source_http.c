/*
 * Source that polls the table and the host list from the platform's
 * configuration service over HTTP. At most one request is in flight for each
 * document.
 */
#include "cassia/curl_loop.h"
#include "cassia/timer.h"
#include "source_internal.h"

#define HTTP_OK 200
#define HTTP_NOT_MODIFIED 304
/* Limits the exponent of the backoff, so that the shift does not overflow. */
#define BACKOFF_SHIFT_MAX 16

typedef struct http_source http_source_t;

/* Repeated reading of one document. */
typedef struct http_read {
	http_source_t *source;
	config_document_t document;
	const char *path; /* of the URL, after the base URL */
	curl_transfer_t transfer;
	bool in_flight;
	bool read_again; /* start another read when the current one ends */
	bool too_large; /* aborted at CONFIG_DOCUMENT_MAX bytes */
	bool long_poll; /* the platform delays the response until a change */
	char *body; /* received so far, NULL if empty */
	size_t body_len;
	cas_timer_t *timer; /* starts the next read */
	unsigned int failures; /* consecutive */
	char last_reason[CURL_ERROR_SIZE]; /* last reported; empty after a
					    * success */
	char curl_error[CURL_ERROR_SIZE]; /* libcurl's message */
} http_read_t;

/* Source that reads both documents; reads is indexed by config_document_t. */
struct http_source {
	source_t base;
	struct tevent_context *ev;
	cas_rng_t *rng;
	char *base_url;
	source_timing_t timing;
	curl_loop_t *loop;
	bool watching; /* a watcher, else a reader; see cassia/source.h */
	http_read_t reads[CONFIG_DOCUMENT_COUNT];
};

static void start_read(http_read_t *read);

static void timer_fired(void *private)
{
	start_read(private);
}

static void schedule(http_read_t *read, int64_t delay_us)
{
	cas_timer_arm(read->timer, delay_us);
}

/* Returns a random time between 0.5 and 1.5 times base_us, so that daemons do
 * not poll in step. */
static int64_t jitter(http_source_t *source, int64_t base_us)
{
	return base_us / 2 +
	       (int64_t)(cas_rng_double(source->rng) * (double)base_us);
}

/*
 * Returns the delay before the next read after a failure: it doubles with every
 * consecutive failure up to a limit, and is then multiplied by a random factor
 * from 1/3 to 1.
 */
static int64_t backoff_delay(http_read_t *read)
{
	const source_timing_t *timing = &read->source->timing;
	int64_t limit_us = read->source->watching
				   ? timing->backoff_watcher_max_us
				   : timing->backoff_reader_max_us;
	unsigned int shift = read->failures - 1;
	int64_t delay_us;

	if (shift > BACKOFF_SHIFT_MAX)
		shift = BACKOFF_SHIFT_MAX;
	delay_us = timing->backoff_min_us << shift;
	return jitter(read->source, delay_us < limit_us ? delay_us : limit_us) *
	       2 / 3;
}

/* Reports a failure unless its reason is the same as the last one. */
static void report_failure(http_read_t *read, const char *reason)
{
	http_source_t *source = read->source;

	if (!strcmp(read->last_reason, reason))
		return;
	snprintf(read->last_reason, sizeof(read->last_reason), "%s", reason);
	source->base.sink->failed(source->base.private, read->document, reason);
}

static void read_failed(http_read_t *read, const char *reason)
{
	read->failures++;
	report_failure(read, reason);
	schedule(read, backoff_delay(read));
}

/*
 * Schedules the next read after a success. A watcher reads again at once if it
 * got a new document or if the platform held the long poll for at least half of
 * long_poll_s. A platform that answers earlier without a change may not support
 * long polls; the watcher then pauses, so as not to poll in a tight loop.
 */
static void read_succeeded(http_read_t *read, bool accepted)
{
	http_source_t *source = read->source;
	const source_timing_t *timing = &source->timing;
	curl_off_t took_us = 0;
	bool waited;

	curl_easy_getinfo(read->transfer.easy, CURLINFO_TOTAL_TIME_T, &took_us);
	waited = read->long_poll &&
		 took_us >= timing->long_poll_s * CAS_USEC_PER_SEC / 2;
	read->failures = 0;
	read->last_reason[0] = '\0';
	if (!source->watching)
		schedule(read, jitter(source, timing->poll_period_us));
	else
		schedule(read, accepted || waited ? 0 : timing->poll_gap_us);
}

/* Offers the received body to the sink. */
static void offer_body(http_read_t *read)
{
	http_source_t *source = read->source;
	cas_str_t text = { read->body, read->body_len };
	int rc = source->base.sink->offer(source->base.private, read->document,
					  text);

	if (!rc || rc == CONFIG_ESTALE)
		read_succeeded(read, !rc);
	else
		read_failed(read, "the document was refused");
}

/* Handles a transfer without a complete response. */
static void transfer_failed(http_read_t *read, CURLcode code)
{
	char reason[80];

	if (read->too_large) {
		snprintf(reason, sizeof(reason),
			 "the document is larger than %d bytes",
			 CONFIG_DOCUMENT_MAX);
		read_failed(read, reason);
	} else if (read->curl_error[0]) {
		read_failed(read, read->curl_error);
	} else {
		read_failed(read, curl_easy_strerror(code));
	}
}

/* Handles the end of a transfer with or without a response. */
static void handle_response(http_read_t *read, CURLcode code)
{
	char reason[32];
	long status = 0;

	curl_easy_getinfo(read->transfer.easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		transfer_failed(read, code);
	} else if (status == HTTP_NOT_MODIFIED) {
		read_succeeded(read, false);
	} else if (status == HTTP_OK) {
		offer_body(read);
	} else {
		snprintf(reason, sizeof(reason), "HTTP status %ld", status);
		read_failed(read, reason);
	}
}

/* Called by the curl loop at the end of a transfer. */
static void read_done(void *private, CURLcode code)
{
	http_read_t *read = private;

	read->in_flight = false;
	handle_response(read, code);
	TALLOC_FREE(read->body);
	read->body_len = 0;
	if (read->read_again) {
		read->read_again = false;
		schedule(read, 0);
	}
}

/* Write callback of libcurl. Returning anything other than the number of bytes
 * aborts the transfer. */
static size_t append_body(char *data, size_t size, size_t count, void *private)
{
	http_read_t *read = private;
	size_t len = size * count;
	char *body;

	if (read->body_len + len > CONFIG_DOCUMENT_MAX) {
		read->too_large = true;
		return 0;
	}
	body = talloc_realloc(read->source, read->body, char,
			      read->body_len + len);
	if (!body)
		return 0;
	read->body = body;
	memcpy(body + read->body_len, data, len);
	read->body_len += len;
	return len;
}

/* Sets the URL, with the stored revision and the time the platform may hold the
 * request, and the timeout. */
static void set_url_and_timeout(http_read_t *read)
{
	http_source_t *source = read->source;
	long long stored_revision = source->base.sink->revision(
		source->base.private, read->document);
	long long wait_s = read->long_poll ? source->timing.long_poll_s : 0;
	char *url = talloc_asprintf(source, "%s/%s?after=%lld&wait=%lld",
				    source->base_url, read->path,
				    stored_revision, wait_s);

	curl_easy_setopt(read->transfer.easy, CURLOPT_URL, url);
	curl_easy_setopt(
		read->transfer.easy, CURLOPT_TIMEOUT_MS,
		(long)(wait_s * 1000 + source->timing.response_timeout_ms));
	talloc_free(url);
}

/* Starts a read, or another one after the read in flight. */
static void start_read(http_read_t *read)
{
	if (read->in_flight) {
		read->read_again = true;
		return;
	}
	cas_timer_disarm(read->timer);
	read->long_poll = read->source->watching;
	read->curl_error[0] = '\0';
	read->too_large = false;
	set_url_and_timeout(read);
	if (curl_loop_start(read->source->loop, &read->transfer))
		read_failed(read, "the HTTP transfer could not be started");
	else
		read->in_flight = true;
}

static void check_now(source_t *base)
{
	http_source_t *source = (http_source_t *)base;

	for (size_t i = 0; i < CONFIG_DOCUMENT_COUNT; i++)
		start_read(&source->reads[i]);
}

static void set_watching(source_t *base, bool watching)
{
	http_source_t *source = (http_source_t *)base;

	if (source->watching == watching)
		return;
	source->watching = watching;
	if (watching)
		check_now(base);
}

static const source_ops_t http_ops = {
	.check_now = check_now,
	.set_watching = set_watching,
};

static int source_destroy(http_source_t *source)
{
	for (size_t i = 0; i < CONFIG_DOCUMENT_COUNT; i++) {
		http_read_t *read = &source->reads[i];

		if (read->in_flight)
			curl_loop_stop(source->loop, &read->transfer);
		curl_easy_cleanup(read->transfer.easy);
	}
	return 0;
}

/* Initializes the reads of a document. Returns 0 or CONFIG_ENOMEM. */
static int init_read(http_source_t *source, config_document_t document,
		     const char *path)
{
	http_read_t *read = &source->reads[document];
	CURL *easy = curl_easy_init();

	read->timer = cas_timer_create(source, source->ev, timer_fired, read);
	if (!easy || !read->timer) {
		curl_easy_cleanup(easy);
		return CONFIG_ENOMEM;
	}
	read->source = source;
	read->document = document;
	read->path = path;
	read->transfer = (curl_transfer_t){ .easy = easy,
					    .done = read_done,
					    .private = read };
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)source->timing.connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, read->curl_error);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, read);
	return 0;
}

source_t *source_create_http_timed(TALLOC_CTX *ctx, struct tevent_context *ev,
				   cas_rng_t *rng, const char *base_url,
				   const source_sink_t *sink, void *private,
				   const source_timing_t *timing)
{
	http_source_t *source = talloc_zero(ctx, http_source_t);

	if (!source)
		return NULL;
	source->base = (source_t){ &http_ops, sink, private };
	source->ev = ev;
	source->rng = rng;
	source->timing = *timing;
	source->base_url = talloc_strdup(source, base_url);
	source->loop = curl_loop_create(source, ev);
	if (!source->base_url || !source->loop)
		goto error;
	talloc_set_destructor(source, source_destroy);
	if (init_read(source, CONFIG_TABLE, "table") ||
	    init_read(source, CONFIG_HOSTS, "hosts"))
		goto error;
	schedule(&source->reads[CONFIG_TABLE], 0);
	schedule(&source->reads[CONFIG_HOSTS], 0);
	return &source->base;
error:
	talloc_free(source);
	return NULL;
}

source_t *source_create_http(TALLOC_CTX *ctx, struct tevent_context *ev,
			     cas_rng_t *rng, const char *base_url,
			     const source_sink_t *sink, void *private)
{
	return source_create_http_timed(ctx, ev, rng, base_url, sink, private,
					&SOURCE_TIMING_DEFAULT);
}
