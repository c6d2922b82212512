/* Tests of cassiactl with document files, and with an HTTP server that imitates
 * a daemon's operators' port. */
#include "cassia/test.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cassia/keys.h"
#include "ctl.h"

#define SALT "000102030405060708090a0b0c0d0e0f"
#define TABLE_HEAD "revision = 7\nsalt = \"" SALT "\"\n"
#define DC(name, share)                                                        \
	"[[data_centre]]\nname = \"" name "\"\nregion = \"r\"\nshare = " share \
	"\n"
#define CUSTOMER(rate)                                                         \
	"[[customer]]\nname = \"acme\"\nrate = " rate "\nburst = 9\n"

#define TABLE                                                                  \
	TABLE_HEAD DC("m1", "500") DC("m2", "500") CUSTOMER("2.5") "[end]\n"
#define TABLE_CHANGED                                                          \
	TABLE_HEAD DC("m1", "600") DC("m2", "400") CUSTOMER("3") "[end]\n"
#define TABLE_INVALID TABLE_HEAD DC("m1", "500") CUSTOMER("0") "[edn]\n"

typedef struct fixture {
	char path[2][40]; /* of two document or log files */
	char *out; /* output of the last run */
	char *err;
	struct MHD_Daemon *daemon; /* NULL unless started */
	char address[32]; /* ADDRESS:PORT of daemon */
	char last_method[8]; /* of the last request to daemon */
	char last_goal[8]; /* its query parameter "goal", or empty */
} fixture_t;

static int setup(void **state)
{
	fixture_t *f = calloc(1, sizeof(*f));

	for (int i = 0; i < 2; i++) {
		int fd;

		strcpy(f->path[i], "/tmp/cassiactl-test-XXXXXX");
		fd = mkstemp(f->path[i]);
		assert_true(fd >= 0);
		close(fd);
	}
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	if (f->daemon)
		MHD_stop_daemon(f->daemon);
	unlink(f->path[0]);
	unlink(f->path[1]);
	free(f->out);
	free(f->err);
	free(f);
	return 0;
}

static void write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

/* Runs the program with the words of a line as arguments. Returns the exit
 * code; the output is in f->out and f->err. */
static int run(fixture_t *f, const char *line)
{
	char *words = strdup(line);
	char *argv[16] = { "cassiactl" };
	size_t out_len;
	size_t err_len;
	FILE *out;
	FILE *err;
	int argc = 1;
	int exit_code;

	free(f->out);
	free(f->err);
	out = open_memstream(&f->out, &out_len);
	err = open_memstream(&f->err, &err_len);
	for (char *word = strtok(words, " "); word; word = strtok(NULL, " "))
		argv[argc++] = word;
	exit_code = ctl_main(argc, argv, out, err);
	fclose(out);
	fclose(err);
	free(words);
	return exit_code;
}

static int run_on_files(fixture_t *f, const char *command, int count)
{
	char line[160];

	snprintf(line, sizeof(line), "%s %s %s", command, f->path[0],
		 count > 1 ? f->path[1] : "");
	return run(f, line);
}

static void expect_text(const char *text, const char *substring)
{
	if (!strstr(text, substring))
		fail_msg("\"%s\" is not in: %s", substring, text);
}

/* Guards against faults without a position and against a wrong exit code. */
static void test_check(void **state)
{
	fixture_t *f = *state;

	write_file(f->path[0], TABLE);
	assert_int_equal(run_on_files(f, "check", 1), CTL_OK);
	expect_text(f->out, ": good table, revision 7, 2 data centres");
	write_file(f->path[0], TABLE_INVALID);
	assert_int_equal(run_on_files(f, "check", 1), CTL_REFUSED);
	expect_text(f->out, ":9:8: customer \"acme\": rate must be a number");
	expect_text(f->out,
		    ":11:2: unknown key \"edn\"; the nearest known key is "
		    "\"end\"");
	assert_int_equal(run_on_files(f, "check --json", 1), CTL_REFUSED);
	expect_text(f->out,
		    "\"kind\":\"table\",\"faults\":[{\"line\":9,\"column\":8");
	write_file(f->path[0], "a = \n");
	assert_int_equal(run_on_files(f, "check", 1), CTL_REFUSED);
	write_file(f->path[0], "a = 1\n");
	assert_int_equal(run_on_files(f, "check", 1), CTL_REFUSED);
	expect_text(f->out, "no key tells whether");
	assert_int_equal(run(f, "check /nonexistent"), CTL_FAILED);
}

/* Guards against a missing warning of a burst so small that each request needs
 * borrowed tokens. */
static void test_check_warns_of_small_bursts(void **state)
{
	fixture_t *f = *state;

	write_file(f->path[0], TABLE_HEAD DC("m1", "950") DC("m2", "50")
				       CUSTOMER("2") "[end]\n");
	assert_int_equal(run_on_files(f, "check", 1), CTL_OK);
	expect_text(f->err,
		    "customer \"acme\": the smallest data centre's part of "
		    "the burst is 0.45 tokens");
}

/* Guards against missing changes or warnings, and against a diff of invalid
 * documents. */
static void test_diff(void **state)
{
	fixture_t *f = *state;

	write_file(f->path[0], TABLE);
	write_file(f->path[1], TABLE_CHANGED);
	assert_int_equal(run_on_files(f, "diff", 2), CTL_OK);
	expect_text(f->out, "~ customer \"acme\": rate: 2.5 -> 3\n");
	expect_text(f->out, "~ data_centre \"m1\": share: 500 -> 600\n");
	expect_text(f->out, "warning: the share of data centre \"m1\" grows");
	expect_text(f->out, "warning: revision 7 is not above 7");
	assert_int_equal(run_on_files(f, "diff --json", 2), CTL_OK);
	expect_text(f->out, "{\"changes\":[{\"row\":");
	write_file(f->path[1], TABLE_INVALID);
	assert_int_equal(run_on_files(f, "diff", 2), CTL_REFUSED);
}

/* Guards against a printed hash that does not match the key, and against wrong
 * options that are accepted. */
static void test_key(void **state)
{
	fixture_t *f = *state;
	const uint8_t salt[TABLE_SALT_BYTES] = { 0, 1, 2,  3,  4,  5,  6,  7,
						 8, 9, 10, 11, 12, 13, 14, 15 };
	uint8_t hash[TABLE_KEY_HASH_BYTES];
	char hex[2 * TABLE_KEY_HASH_BYTES + 1] = "";
	cas_str_t key;

	assert_int_equal(run(f, "key new --customer acme --salt " SALT),
			 CTL_OK);
	expect_text(f->out, "key: csk_");
	key = (cas_str_t){ f->out + strlen("key: "), KEYS_TEXT_BYTES - 1 };
	assert_int_equal(keys_hash(salt, key, hash), 0);
	for (int i = 0; i < TABLE_KEY_HASH_BYTES; i++)
		sprintf(hex + 2 * (size_t)i, "%02x", hash[i]);
	expect_text(f->out, hex);
	write_file(f->path[0], TABLE);
	assert_int_equal(run_on_files(f, "key new --customer acme --table", 1),
			 CTL_OK);
	assert_int_equal(run_on_files(f, "key new --customer no --table", 1),
			 CTL_FAILED);
	assert_int_equal(run(f, "key new --customer a --salt 00"), CTL_FAILED);
	assert_int_equal(run(f, "key new --salt " SALT), CTL_FAILED);
	assert_int_equal(run(f, "key old --customer a --salt " SALT),
			 CTL_FAILED);
}

static enum MHD_Result handle_request(void *private,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_len, void **request)
{
	fixture_t *f = private;
	const char *body = "{\"detail\":\"no such request\"}";
	struct MHD_Response *response;
	enum MHD_Result result;
	const char *goal;
	unsigned int status = 200;

	(void)version;
	(void)data;
	(void)data_len;
	if (!*request) {
		*request = f;
		return MHD_YES;
	}
	snprintf(f->last_method, sizeof(f->last_method), "%s", method);
	goal = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					   "goal");
	snprintf(f->last_goal, sizeof(f->last_goal), "%s", goal ? goal : "");
	if (!strcmp(url, "/status"))
		body = "{\"host\":\"a1\",\"uptime_s\":12,\"faults\":[],"
		       "\"more\":{\"x\":1}}";
	else if (!strcmp(url, "/top"))
		body = "{\"customers\":[{\"name\":\"acme\",\"served\":5},"
		       "{\"name\":\"b\\u001b[2J\",\"served\":12345,"
		       "\"p99_us\":7}]}";
	else if (!strcmp(url, "/drain"))
		body = "";
	else if (!strcmp(MHD_lookup_connection_value(
				 connection, MHD_GET_ARGUMENT_KIND, "id"),
			 "a&b"))
		body = "{\"outcome\":\"not-run\"}";
	else
		status = 404;
	response = MHD_create_response_from_buffer(strlen(body), (void *)body,
						   MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void start_daemon(fixture_t *f)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	f->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request,
		f, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
	assert_non_null(f->daemon);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
		 MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_BIND_PORT)
			 ->port);
}

static int run_on_daemon(fixture_t *f, const char *command)
{
	char line[160];

	snprintf(line, sizeof(line), "%s --operators %s", command, f->address);
	return run(f, line);
}

/* Guards against output without members that cassiactl does not know, and
 * against control characters of a daemon in the output. */
static void test_status_and_top(void **state)
{
	fixture_t *f = *state;

	start_daemon(f);
	assert_int_equal(run_on_daemon(f, "status"), CTL_OK);
	assert_string_equal(f->out, "host              a1\n"
				    "uptime_s          12\n"
				    "faults: none\n"
				    "more              {\"x\":1}\n");
	assert_int_equal(run_on_daemon(f, "top"), CTL_OK);
	assert_string_equal(f->out, "customers:\n"
				    "name   served  p99_us\n"
				    "acme        5       -\n"
				    "b?[2J   12345       7\n");
	assert_int_equal(run_on_daemon(f, "status --json"), CTL_OK);
	assert_string_equal(f->out,
			    "{\"host\":\"a1\",\"uptime_s\":12,\"faults\":[],"
			    "\"more\":{\"x\":1}}\n");
}

/* Guards against a drain by GET, an unescaped request id, and exit code 0 after
 * a refusal. */
static void test_drain_and_explain(void **state)
{
	fixture_t *f = *state;

	start_daemon(f);
	assert_int_equal(run_on_daemon(f, "drain"), CTL_OK);
	assert_string_equal(f->last_method, "POST");
	assert_string_equal(f->last_goal, "");
	assert_int_equal(run_on_daemon(f, "drain --stop"), CTL_OK);
	assert_string_equal(f->last_goal, "stop");
	assert_int_equal(run_on_daemon(f, "status --stop"), CTL_FAILED);
	assert_int_equal(run_on_daemon(f, "explain a&b"), CTL_OK);
	assert_string_equal(f->out, "outcome           not-run\n");
	assert_int_equal(run_on_daemon(f, "explain other"), CTL_REFUSED);
	expect_text(f->err, "status 404: no such request");
	assert_int_equal(run(f, "status"), CTL_FAILED);
	assert_int_equal(run_on_daemon(f, "explain"), CTL_FAILED);
	MHD_stop_daemon(f->daemon);
	f->daemon = NULL;
	assert_int_equal(run_on_daemon(f, "status"), CTL_FAILED);
}

/* Guards against commands without --help or --version, and against exit code 0
 * for wrong usage. */
static void test_help_and_version(void **state)
{
	static const char *const names[] = { "check",	"diff", "key",
					     "status",	"top",	"drain",
					     "explain", "place" };
	fixture_t *f = *state;
	char line[40];

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		snprintf(line, sizeof(line), "%s --help", names[i]);
		assert_int_equal(run(f, line), CTL_OK);
		expect_text(f->out, "--json");
		expect_text(f->out, "  cassiactl [OPTION");
		snprintf(line, sizeof(line), "%s --version", names[i]);
		assert_int_equal(run(f, line), CTL_OK);
		assert_string_equal(f->out, "cassiactl " CASSIA_VERSION "\n");
	}
	assert_int_equal(run(f, "--help"), CTL_OK);
	expect_text(f->out, "explain");
	assert_int_equal(run(f, "--version"), CTL_OK);
	assert_int_equal(run(f, "chekc"), CTL_FAILED);
	assert_int_equal(run(f, "check --frob"), CTL_FAILED);
	assert_int_equal(run(f, ""), CTL_FAILED);
}

/* Guards against log lines that lack the child calls of a request, belong to
 * other requests, or are not in order of time. */
static void test_explain_logs(void **state)
{
	fixture_t *f = *state;
	const char *call;
	const char *root;

	write_file(f->path[0],
		   "time=2026-01-01T00:00:02.000Z level=info event=request "
		   "id=ab12 reason=upstream-failed status=502\n"
		   "time=2026-01-01T00:00:02.500Z level=info event=request "
		   "id=ab123 reason=shed\n"
		   "time=2026-01-01T00:00:03.000Z level=info event=ready\n");
	write_file(f->path[1],
		   "5.1 host-2 time=2026-01-01T00:00:01.000Z level=info "
		   "event=attempt id=ab12.77 text=\"id=zz in quotes\"\n");
	assert_int_equal(run_on_files(f, "explain ab12", 2), CTL_OK);
	call = strstr(f->out, "event=attempt");
	root = strstr(f->out, "event=request");
	assert_true(call && root && call < root);
	assert_null(strstr(f->out, "ab123"));
	assert_null(strstr(f->out, "event=ready"));
	assert_int_equal(run_on_files(f, "explain --json ab12", 2), CTL_OK);
	expect_text(f->out, "\"id\":\"ab12.77\",\"text\":\"id=zz in quotes\"");
	assert_int_equal(run_on_files(f, "explain zz", 2), CTL_REFUSED);
	assert_int_equal(run(f, "explain ab12 /no/such/log"), CTL_FAILED);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_check),
		TEST(test_check_warns_of_small_bursts),
		TEST(test_diff),
		TEST(test_key),
		TEST(test_status_and_top),
		TEST(test_drain_and_explain),
		TEST(test_explain_logs),
		TEST(test_help_and_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
