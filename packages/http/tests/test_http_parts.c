/* Tests of pipes, header lists and request targets. */
#include "cassia/test.h"

#include "cassia/http_error.h"
#include "cassia/http_headers.h"
#include "cassia/http_pipe.h"
#include "cassia/http_target.h"

static void count_call(void *private)
{
	++*(int *)private;
}

/* Guards against more than the limit in memory and against a writer that is
 * never called again. */
static void test_pipe_pushes_back(void **state)
{
	http_pipe_t *pipe = http_pipe_create(NULL, 100);
	char bytes[200] = { 0 };
	int rooms = 0;

	(void)state;
	http_pipe_on_room(pipe, count_call, &rooms);
	assert_int_equal(http_pipe_write(pipe, bytes, 200), 100);
	assert_int_equal(http_pipe_write(pipe, bytes, 1), 0);
	assert_int_equal(http_pipe_read(pipe, bytes, 40), 40);
	assert_int_equal(rooms, 0);
	assert_int_equal(http_pipe_read(pipe, bytes, 40), 40);
	assert_int_equal(rooms, 1);
	assert_int_equal(http_pipe_room(pipe), 80);
	talloc_free(pipe);
}

/* Guards against a body that is sent again with its beginning missing. */
static void test_pipe_rewinds_what_it_kept(void **state)
{
	http_pipe_t *pipe = http_pipe_create(NULL, 100);
	char bytes[100];

	(void)state;
	http_pipe_keep(pipe, 10);
	http_pipe_write(pipe, "abcdefgh", 8);
	assert_int_equal(http_pipe_read(pipe, bytes, 5), 5);
	assert_true(http_pipe_rewind(pipe));
	assert_int_equal(http_pipe_read(pipe, bytes, 100), 8);
	assert_memory_equal(bytes, "abcdefgh", 8);
	http_pipe_write(pipe, "ijkl", 4);
	assert_false(http_pipe_rewind(pipe));
	assert_int_equal(http_pipe_read(pipe, bytes, 100), 4);
	assert_memory_equal(bytes, "ijkl", 4);
	talloc_free(pipe);
}

/* Guards against a cut body that looks whole. */
static void test_pipe_keeps_error(void **state)
{
	http_pipe_t *pipe = http_pipe_create(NULL, 100);
	int news = 0;
	char byte;

	(void)state;
	http_pipe_on_data(pipe, count_call, &news);
	assert_int_equal(http_pipe_read(pipe, &byte, 1), 0);
	http_pipe_close(pipe, HTTP_ETRUNCATED);
	http_pipe_close(pipe, 0);
	assert_int_equal(news, 1);
	assert_int_equal(http_pipe_error(pipe), HTTP_ETRUNCATED);
	talloc_free(pipe);
}

/* Guards against connection fields and own fields that reach the next hop. */
static void test_forwarded_fields(void **state)
{
	http_headers_t *from = http_headers_create(NULL);
	http_headers_t *to = http_headers_create(from);

	(void)state;
	http_headers_add(from, CAS_STR("connection"), CAS_STR("close, X-Hop "));
	http_headers_add(from, CAS_STR("x-hop"), CAS_STR("1"));
	http_headers_add(from, CAS_STR("TE"), CAS_STR("trailers"));
	http_headers_add(from, CAS_STR("Cassia-Handle"), CAS_STR("1"));
	http_headers_add(from, CAS_STR("Content-length"), CAS_STR("1"));
	for (int i = 0; i < 20; i++)
		http_headers_add(from, CAS_STR("Cookie"), CAS_STR("a=1"));
	assert_int_equal(http_headers_forward(to, from), 0);
	assert_int_equal(to->count, 20);
	talloc_free(from);
}

/* Guards against a target that matches one route and reaches another. */
static void test_targets(void **state)
{
	static const char *const bad[] = {
		"",	     "*",	"x",	      "/a b",
		"/a#b",	     "/a/../b", "/a/%2E./b",  "/a/.",
		"/a%2f../b", "/..;/b",	"http:///..", "/\x01",
	};
	cas_str_t origin;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(
			http_target_check(cas_str_from(bad[i]), &origin),
			HTTP_EINVAL);
	assert_int_equal(
		http_target_check(CAS_STR("http://h:1/a?b=..&c=/../"), &origin),
		0);
	assert_true(cas_str_equal(origin, CAS_STR("/a?b=..&c=/../")));
	assert_true(cas_str_equal(http_target_path(origin), CAS_STR("/a")));
	assert_true(cas_str_equal(
		http_query_value(http_target_query(origin), CAS_STR("b")),
		CAS_STR("..")));
	assert_int_equal(http_target_check(CAS_STR("/a..b/...c"), &origin), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pipe_pushes_back),
		cmocka_unit_test(test_pipe_rewinds_what_it_kept),
		cmocka_unit_test(test_pipe_keeps_error),
		cmocka_unit_test(test_forwarded_fields),
		cmocka_unit_test(test_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
