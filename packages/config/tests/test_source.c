/* Tests of the file and HTTP sources, with a simulated platform on the loopback
 * interface and real time. */
#include "cassia/test.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "cassia/curl_loop.h"
#include "sample_internal.h"
#include "source_internal.h"

/* HTTP server that simulates the platform. The thread of the test sets the
 * response; the threads of the server count the reads of the table. */
typedef struct platform {
	struct MHD_Daemon *daemon;
	_Atomic int reads;
	_Atomic int concurrent_reads;
	_Atomic int max_concurrent_reads;
	_Atomic int status; /* of the response */
	_Atomic int delay_ms; /* of the response */
	_Atomic(const char *) body; /* of the response */
	_Atomic size_t body_len;
	char last_query[64]; /* arguments of the last read */
} platform_t;

typedef struct fixture {
	struct tevent_context *ev;
	cas_rng_t *rng;
	config_store_t *store; /* that the source offers documents to */
	platform_t platform;
	char url[64]; /* of the platform */
	char path[64]; /* of the file */
	source_t *source; /* under test */
	int failures; /* reported for the table */
	int offers; /* of any document */
	char reason[256]; /* of the last failure */
} fixture_t;

/* Answers a read of the table as set, and of the host list with "not
 * modified". */
static enum MHD_Result answer_request(void *private,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_len, void **request)
{
	platform_t *platform = private;
	struct MHD_Response *response;
	const char *after;
	enum MHD_Result result;
	int concurrent;

	(void)method;
	(void)version;
	(void)data;
	(void)data_len;
	if (!*request) {
		*request = platform;
		return MHD_YES;
	}
	if (strcmp(url, "/table") != 0) {
		response = MHD_create_response_from_buffer(
			0, "", MHD_RESPMEM_PERSISTENT);
		result = MHD_queue_response(connection, MHD_HTTP_NOT_MODIFIED,
					    response);
		MHD_destroy_response(response);
		return result;
	}
	platform->reads++;
	concurrent = ++platform->concurrent_reads;
	if (concurrent > platform->max_concurrent_reads)
		platform->max_concurrent_reads = concurrent;
	after = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					    "after");
	snprintf(platform->last_query, sizeof(platform->last_query),
		 "after=%s wait=%s", after,
		 MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					     "wait"));
	usleep((useconds_t)platform->delay_ms * 1000);
	response = MHD_create_response_from_buffer(platform->body_len,
						   (void *)platform->body,
						   MHD_RESPMEM_MUST_COPY);
	result = MHD_queue_response(connection, (unsigned int)platform->status,
				    response);
	MHD_destroy_response(response);
	platform->concurrent_reads--;
	return result;
}

static int64_t stored_revision(void *private, config_document_t document)
{
	fixture_t *f = private;

	return config_store_revision(f->store, document);
}

static int offer_document(void *private, config_document_t document,
			  cas_str_t text)
{
	fixture_t *f = private;

	f->offers++;
	return config_store_offer(f->store, document, text);
}

static void read_failed(void *private, config_document_t document,
			const char *reason)
{
	fixture_t *f = private;

	if (document != CONFIG_TABLE)
		return;
	f->failures++;
	snprintf(f->reason, sizeof(f->reason), "%s", reason);
}

static const source_sink_t sink = { .revision = stored_revision,
				    .offer = offer_document,
				    .failed = read_failed };
static const config_store_ops_t no_ops = { 0 };

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);
	int fd;

	f->ev = tevent_context_init(f);
	f->rng = cas_rng_create(f, 1);
	f->store = config_store_create(f, &no_ops, NULL);
	strcpy(f->path, "/tmp/cassia-test-XXXXXX");
	fd = mkstemp(f->path);
	assert_true(fd >= 0);
	close(fd);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	if (f->platform.daemon)
		MHD_stop_daemon(f->platform.daemon);
	unlink(f->path);
	talloc_free(f);
	return 0;
}

/* Makes tevent_loop_once return. */
static void wake_loop(struct tevent_context *ev, struct tevent_timer *timer,
		      struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)private;
}

/* Runs the event loop until *counter is at least value, or for ms milliseconds.
 * Returns whether the value was reached; counter may be NULL to wait only. */
static bool run_until(fixture_t *f, const int *counter, int value, int ms)
{
	cas_clock_t *clock = cas_clock_create_real(f);
	int64_t deadline_us = cas_clock_now(clock) + ms * CAS_USEC_PER_MSEC;

	while ((!counter || *counter < value) &&
	       cas_clock_now(clock) < deadline_us) {
		TALLOC_CTX *ctx = talloc_new(f);

		tevent_add_timer(f->ev, ctx,
				 tevent_timeval_current_ofs(0, 5000), wake_loop,
				 NULL);
		tevent_loop_once(f->ev);
		talloc_free(ctx);
	}
	talloc_free(clock);
	return counter && *counter >= value;
}

static void set_body(fixture_t *f, const char *text)
{
	f->platform.body = text;
	f->platform.body_len = strlen(text);
}

/* Starts the platform and a source that polls it with short times. */
static void start_platform_and_source(fixture_t *f)
{
	const source_timing_t timing = {
		.poll_period_us = 60 * CAS_USEC_PER_SEC,
		.poll_gap_us = 20 * CAS_USEC_PER_MSEC,
		.backoff_min_us = 20 * CAS_USEC_PER_MSEC,
		.backoff_reader_max_us = 60 * CAS_USEC_PER_SEC,
		.backoff_watcher_max_us = 80 * CAS_USEC_PER_MSEC,
		.long_poll_s = 1,
		.response_timeout_ms = 500,
		.connect_timeout_ms = 500,
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int port;

	f->platform.status = f->platform.status ? f->platform.status : 200;
	f->platform.daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, answer_request, &f->platform,
		MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
	assert_non_null(f->platform.daemon);
	port = MHD_get_daemon_info(f->platform.daemon,
				   MHD_DAEMON_INFO_BIND_PORT)
		       ->port;
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d", port);
	f->source = source_create_http_timed(f, f->ev, f->rng, f->url, &sink, f,
					     &timing);
	assert_non_null(f->source);
}

/* Guards against a reader that polls the platform more often than once a
 * minute. */
static void test_reader_reads_once(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	start_platform_and_source(f);
	assert_true(run_until(f, &f->offers, 1, 5000));
	assert_string_equal(f->platform.last_query, "after=0 wait=0");
	run_until(f, NULL, 0, 100);
	assert_int_equal(f->platform.reads, 1);
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 7);
}

/* Guards against a watcher that misses a change, or that polls a platform
 * without support for long polls in a tight loop. */
static void test_watcher_sees_changes(void **state)
{
	fixture_t *f = *state;
	char *newer = sample_replace(f, SAMPLE_TABLE, "= 7", "= 8");

	set_body(f, SAMPLE_TABLE);
	start_platform_and_source(f);
	source_set_watching(f->source, true);
	assert_true(run_until(f, &f->offers, 2, 5000));
	assert_string_equal(f->platform.last_query, "after=7 wait=1");
	set_body(f, newer);
	/* The read in flight may still get the previous body. */
	assert_true(run_until(f, &f->offers, f->offers + 2, 5000));
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 8);
	f->platform.reads = 0;
	run_until(f, NULL, 0, 200);
	assert_in_range(f->platform.reads, 1, 200 / 20 + 3);
}

/* Guards against storing an older revision or a truncated table that the
 * platform returns, and against reads without a pause while it does so. */
static void test_bad_documents_are_not_stored(void **state)
{
	fixture_t *f = *state;
	char *older = sample_replace(f, SAMPLE_TABLE, "= 7", "= 6");
	char *truncated = sample_replace(f, SAMPLE_TABLE, SAMPLE_END, "");

	set_body(f, SAMPLE_TABLE);
	start_platform_and_source(f);
	source_set_watching(f->source, true);
	assert_true(run_until(f, &f->offers, 1, 5000));
	set_body(f, older);
	assert_true(run_until(f, &f->offers, 4, 5000));
	set_body(f, truncated);
	assert_true(run_until(f, &f->failures, 1, 5000));
	f->platform.reads = 0;
	run_until(f, NULL, 0, 400);
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 7);
	assert_int_equal(f->failures, 1);
	assert_in_range(f->platform.reads, 1, 25);
	assert_non_null(config_store_faults(f->store, CONFIG_TABLE));
}

/* Guards against reads without a pause while the platform fails, and against a
 * source that does not recover afterwards. */
static void test_failure_and_recovery(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	f->platform.status = 500;
	start_platform_and_source(f);
	source_set_watching(f->source, true);
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_string_equal(f->reason, "HTTP status 500");
	f->platform.reads = 0;
	run_until(f, NULL, 0, 400);
	assert_int_equal(f->failures, 1);
	assert_in_range(f->platform.reads, 1, 25);
	f->platform.status = 200;
	assert_true(run_until(f, &f->offers, 1, 5000));
}

/* Guards against a source that waits forever for a platform that does not
 * respond, and against several reads of a document in flight. */
static void test_platform_does_not_respond(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	f->platform.delay_ms = 700;
	start_platform_and_source(f);
	for (int i = 0; i < 5; i++) {
		source_check_now(f->source);
		run_until(f, NULL, 0, 20);
	}
	assert_int_equal(f->platform.reads, 1);
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_non_null(strstr(f->reason, "timed out"));
	assert_int_equal(f->platform.max_concurrent_reads, 1);
}

/* Guards against unlimited memory use for a large response. */
static void test_large_document_is_rejected(void **state)
{
	fixture_t *f = *state;
	char *text = talloc_array(f, char, CONFIG_DOCUMENT_MAX + 2);

	memset(text, '#', CONFIG_DOCUMENT_MAX + 1);
	text[CONFIG_DOCUMENT_MAX + 1] = '\0';
	set_body(f, text);
	start_platform_and_source(f);
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_string_equal(f->reason,
			    "the document is larger than 8388608 bytes");
	assert_int_equal(f->offers, 0);
}

static void test_platform_is_down(void **state)
{
	fixture_t *f = *state;

	f->platform.status = 200;
	start_platform_and_source(f);
	MHD_stop_daemon(f->platform.daemon);
	f->platform.daemon = NULL;
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_int_equal(f->offers, 0);
}

/* Returns a port of the loopback interface on which nothing listens. */
static uint16_t unused_port(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)(void *)&address, len), 0);
	assert_int_equal(
		getsockname(fd, (struct sockaddr *)(void *)&address, &len), 0);
	close(fd);
	return ntohs(address.sin_port);
}

static void store_code(void *private, CURLcode code)
{
	*(int *)private = (int)code;
}

/* Returns the time from the start of a transfer to a closed port to its end. */
static int64_t time_refused_transfer(fixture_t *f, curl_loop_t *loop)
{
	cas_clock_t *clock = cas_clock_create_real(f);
	int64_t started_us = cas_clock_now(clock);
	int code = CURLE_OK;
	curl_transfer_t transfer = {
		.easy = curl_easy_init(),
		.done = store_code,
		.private = &code,
	};
	int64_t duration_us;

	assert_non_null(transfer.easy);
	curl_easy_setopt(
		transfer.easy, CURLOPT_URL,
		talloc_asprintf(f, "http://127.0.0.1:%d/", unused_port()));
	assert_int_equal(curl_loop_start(loop, &transfer), 0);
	assert_true(run_until(f, &code, 1, 5000));
	duration_us = cas_clock_now(clock) - started_us;
	assert_int_equal(code, CURLE_COULDNT_CONNECT);
	curl_easy_cleanup(transfer.easy);
	talloc_free(clock);
	return duration_us;
}

/* Guards against a refused connection that is noticed only at the next timeout
 * of libcurl, 200 ms later, because the event loop does not report the error of
 * a socket that waits to become writable. The shortest of several times is
 * compared, so that a busy machine does not matter. */
static void test_refused_connection_ends_at_once(void **state)
{
	fixture_t *f = *state;
	curl_loop_t *loop = curl_loop_create(f, f->ev);
	int64_t shortest_us = INT64_MAX;

	assert_non_null(loop);
	for (int i = 0; i < 5; i++) {
		int64_t duration_us = time_refused_transfer(f, loop);

		if (duration_us < shortest_us)
			shortest_us = duration_us;
	}
	assert_in_range(shortest_us, 0, 100 * CAS_USEC_PER_MSEC);
}

static void write_file(const fixture_t *f, const char *text)
{
	FILE *file = fopen(f->path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

/* Guards against a missed edit, in particular the second of two in quick
 * succession, against storing a truncated file, and against reading a file
 * that does not change. */
static void test_file_edits_are_noticed(void **state)
{
	fixture_t *f = *state;
	char *revision_8 = sample_replace(f, SAMPLE_TABLE, "= 7", "= 8");
	char *revision_9 = sample_replace(f, SAMPLE_TABLE, "= 7", "= 9");

	write_file(f, SAMPLE_TABLE);
	f->source = source_create_file(f, f->ev, f->path, f->path, &sink, f);
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 7);
	write_file(f, "revision = 8\n");
	source_check_now(f->source);
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 7);
	write_file(f, revision_8);
	source_check_now(f->source);
	write_file(f, revision_9);
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 8);
	assert_true(run_until(f, &f->offers, f->offers + 1, 5000));
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 9);
	run_until(f, NULL, 0, 1000);
	f->offers = 0;
	run_until(f, NULL, 0, 450);
	assert_int_equal(f->offers, 0);
}

/* Guards against dropping the table when its file is missing, and against a
 * report at every check, five times a second. */
static void test_missing_file_is_reported_once(void **state)
{
	fixture_t *f = *state;

	write_file(f, SAMPLE_TABLE);
	f->source = source_create_file(f, f->ev, f->path, f->path, &sink, f);
	unlink(f->path);
	assert_true(run_until(f, &f->failures, 1, 5000));
	run_until(f, NULL, 0, 450);
	assert_int_equal(f->failures, 1);
	assert_non_null(strstr(f->reason, "No such file"));
	assert_int_equal(stored_revision(f, CONFIG_TABLE), 7);
	write_file(f, SAMPLE_TABLE);
	assert_true(run_until(f, &f->offers, f->offers + 1, 5000));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_reader_reads_once),
		TEST(test_watcher_sees_changes),
		TEST(test_bad_documents_are_not_stored),
		TEST(test_failure_and_recovery),
		TEST(test_platform_does_not_respond),
		TEST(test_large_document_is_rejected),
		TEST(test_platform_is_down),
		TEST(test_refused_connection_ends_at_once),
		TEST(test_file_edits_are_noticed),
		TEST(test_missing_file_is_reported_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
