/* Tests of the file and HTTP sources, over loopback and real time. */
#include "cassia/test.h"

#include <microhttpd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "sample_internal.h"
#include "source_internal.h"

/* What the stand-in for the platform answers; set by the test's thread. */
typedef struct platform {
	struct MHD_Daemon *daemon;
	_Atomic int reads;
	_Atomic int reads_now;
	_Atomic int most_reads_now;
	_Atomic int status;
	_Atomic int delay_ms;
	_Atomic(const char *) body;
	_Atomic size_t body_len;
	char last_query[64];
} platform_t;

typedef struct fixture {
	struct tevent_context *ev;
	cas_rng_t *rng;
	config_store_t *store;
	platform_t platform;
	char url[64];
	char path[64];
	source_t *source;
	int failures;
	int offers;
	char reason[256];
} fixture_t;

static enum MHD_Result answer(void *private, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *data_len, void **request)
{
	platform_t *platform = private;
	struct MHD_Response *response;
	const char *after;
	enum MHD_Result result;
	int now;

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
	now = ++platform->reads_now;
	if (now > platform->most_reads_now)
		platform->most_reads_now = now;
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
	platform->reads_now--;
	return result;
}

static int64_t held(void *private, config_document_t document)
{
	fixture_t *f = private;

	return config_store_revision(f->store, document);
}

static int offer(void *private, config_document_t document, cas_str_t text)
{
	fixture_t *f = private;

	f->offers++;
	return config_store_offer(f->store, document, text);
}

static void failed(void *private, config_document_t document,
		   const char *reason)
{
	fixture_t *f = private;

	if (document != CONFIG_TABLE)
		return;
	f->failures++;
	snprintf(f->reason, sizeof(f->reason), "%s", reason);
}

static const source_sink_t sink = { held, offer, failed };
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

static void tick(struct tevent_context *ev, struct tevent_timer *timer,
		 struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)private;
}

/* Runs the event loop until *counter is at least value, or for ms. */
static bool run_until(fixture_t *f, const int *counter, int value, int ms)
{
	cas_clock_t *clock = cas_clock_create_real(f);
	int64_t end = cas_clock_now(clock) + ms * CAS_USEC_PER_MSEC;

	while ((!counter || *counter < value) && cas_clock_now(clock) < end) {
		TALLOC_CTX *ctx = talloc_new(f);

		tevent_add_timer(f->ev, ctx,
				 tevent_timeval_current_ofs(0, 5000), tick,
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

/* Starts the stand-in and a source with short times that reads from it. */
static void start_http(fixture_t *f)
{
	const source_timing_t timing = {
		.period_us = 60 * CAS_USEC_PER_SEC,
		.gap_us = 20 * CAS_USEC_PER_MSEC,
		.backoff_min_us = 20 * CAS_USEC_PER_MSEC,
		.backoff_reader_us = 60 * CAS_USEC_PER_SEC,
		.backoff_watcher_us = 80 * CAS_USEC_PER_MSEC,
		.wait_s = 1,
		.reply_ms = 500,
		.connect_ms = 500,
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int port;

	f->platform.status = f->platform.status ? f->platform.status : 200;
	f->platform.daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, answer, &f->platform, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_END);
	assert_non_null(f->platform.daemon);
	port = MHD_get_daemon_info(f->platform.daemon,
				   MHD_DAEMON_INFO_BIND_PORT)
		       ->port;
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d", port);
	f->source = source_create_http_timed(f, f->ev, f->rng, f->url, &sink, f,
					     &timing);
	assert_non_null(f->source);
}

/* Guards against readers that load the platform more than once a minute. */
static void test_reader_reads_once(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	start_http(f);
	assert_true(run_until(f, &f->offers, 1, 5000));
	assert_string_equal(f->platform.last_query, "after=0 wait=0");
	run_until(f, NULL, 0, 100);
	assert_int_equal(f->platform.reads, 1);
	assert_int_equal(held(f, CONFIG_TABLE), 7);
}

/* Guards against a watcher that misses a change, or that reads in a tight
 * loop from a platform without long polls. */
static void test_watcher_goes_on(void **state)
{
	fixture_t *f = *state;
	char *newer = sample_replace(f, SAMPLE_TABLE, "= 7", "= 8");

	set_body(f, SAMPLE_TABLE);
	start_http(f);
	source_set_watching(f->source, true);
	assert_true(run_until(f, &f->offers, 2, 5000));
	assert_string_equal(f->platform.last_query, "after=7 wait=1");
	set_body(f, newer);
	/* The read in flight may still get the former body. */
	assert_true(run_until(f, &f->offers, f->offers + 2, 5000));
	assert_int_equal(held(f, CONFIG_TABLE), 8);
	f->platform.reads = 0;
	run_until(f, NULL, 0, 200);
	assert_in_range(f->platform.reads, 1, 200 / 20 + 3);
}

/* Guards against a platform that goes back to an older revision or sends
 * half a table, and against reads without a pause while it does. */
static void test_bad_documents_change_nothing(void **state)
{
	fixture_t *f = *state;
	char *older = sample_replace(f, SAMPLE_TABLE, "= 7", "= 6");
	char *half = sample_replace(f, SAMPLE_TABLE, SAMPLE_END, "");

	set_body(f, SAMPLE_TABLE);
	start_http(f);
	source_set_watching(f->source, true);
	assert_true(run_until(f, &f->offers, 1, 5000));
	set_body(f, older);
	assert_true(run_until(f, &f->offers, 4, 5000));
	set_body(f, half);
	assert_true(run_until(f, &f->failures, 1, 5000));
	f->platform.reads = 0;
	run_until(f, NULL, 0, 400);
	assert_int_equal(held(f, CONFIG_TABLE), 7);
	assert_int_equal(f->failures, 1);
	assert_in_range(f->platform.reads, 1, 25);
	assert_non_null(config_store_faults(f->store, CONFIG_TABLE));
}

/* Guards against a failing platform that is read without a pause, and
 * against a source that does not return to it. */
static void test_failure_and_recovery(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	f->platform.status = 500;
	start_http(f);
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

/* Guards against a platform whose connection stays silent, and against
 * several reads in flight at once. */
static void test_silent_platform(void **state)
{
	fixture_t *f = *state;

	set_body(f, SAMPLE_TABLE);
	f->platform.delay_ms = 700;
	start_http(f);
	for (int i = 0; i < 5; i++) {
		source_check_now(f->source);
		run_until(f, NULL, 0, 20);
	}
	assert_int_equal(f->platform.reads, 1);
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_non_null(strstr(f->reason, "timed out"));
	assert_int_equal(f->platform.most_reads_now, 1);
}

/* Guards against memory that a platform can fill. */
static void test_large_document(void **state)
{
	fixture_t *f = *state;
	char *text = talloc_array(f, char, CONFIG_DOCUMENT_MAX + 2);

	memset(text, '#', CONFIG_DOCUMENT_MAX + 1);
	text[CONFIG_DOCUMENT_MAX + 1] = '\0';
	set_body(f, text);
	start_http(f);
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_string_equal(f->reason,
			    "the document is larger than 1048576 bytes");
	assert_int_equal(f->offers, 0);
}

static void test_platform_down(void **state)
{
	fixture_t *f = *state;

	f->platform.status = 200;
	start_http(f);
	MHD_stop_daemon(f->platform.daemon);
	f->platform.daemon = NULL;
	assert_true(run_until(f, &f->failures, 1, 5000));
	assert_int_equal(f->offers, 0);
}

static void write_file(const fixture_t *f, const char *text)
{
	FILE *file = fopen(f->path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

/* Guards against an edit that is not noticed, the second of two in quick
 * succession above all, and against half a file that comes into force. */
static void test_file_edits(void **state)
{
	fixture_t *f = *state;
	char *eight = sample_replace(f, SAMPLE_TABLE, "= 7", "= 8");
	char *nine = sample_replace(f, SAMPLE_TABLE, "= 7", "= 9");

	write_file(f, SAMPLE_TABLE);
	f->source = source_create_file(f, f->ev, f->path, f->path, &sink, f);
	assert_int_equal(held(f, CONFIG_TABLE), 7);
	write_file(f, "revision = 8\n");
	source_check_now(f->source);
	assert_int_equal(held(f, CONFIG_TABLE), 7);
	write_file(f, eight);
	source_check_now(f->source);
	write_file(f, nine);
	assert_int_equal(held(f, CONFIG_TABLE), 8);
	assert_true(run_until(f, &f->offers, f->offers + 1, 5000));
	assert_int_equal(held(f, CONFIG_TABLE), 9);
	run_until(f, NULL, 0, 1000);
	f->offers = 0;
	run_until(f, NULL, 0, 450);
	assert_int_equal(f->offers, 0);
}

/* Guards against a missing file that takes the table out of force or is
 * reported five times a second. */
static void test_file_missing(void **state)
{
	fixture_t *f = *state;

	write_file(f, SAMPLE_TABLE);
	f->source = source_create_file(f, f->ev, f->path, f->path, &sink, f);
	unlink(f->path);
	assert_true(run_until(f, &f->failures, 1, 5000));
	run_until(f, NULL, 0, 450);
	assert_int_equal(f->failures, 1);
	assert_non_null(strstr(f->reason, "No such file"));
	assert_int_equal(held(f, CONFIG_TABLE), 7);
	write_file(f, SAMPLE_TABLE);
	assert_true(run_until(f, &f->offers, f->offers + 1, 5000));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_reader_reads_once),
		TEST(test_watcher_goes_on),
		TEST(test_bad_documents_change_nothing),
		TEST(test_failure_and_recovery),
		TEST(test_silent_platform),
		TEST(test_large_document),
		TEST(test_platform_down),
		TEST(test_file_edits),
		TEST(test_file_missing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
