/* Tests of body buffers, header lists and request targets. */
#include "cassia/test.h"

#include "cassia/http_error.h"
#include "cassia/http_headers.h"
#include "cassia/http_body.h"
#include "cassia/http_target.h"

static void count_call(void *private)
{
	++*(int *)private;
}

/* Guards against a buffer that exceeds its limit, and against a writer that is
 * never notified of free space. */
static void test_body_limit_and_notification(void **state)
{
	http_body_t *body = http_body_create(NULL, 100);
	char bytes[200] = { 0 };
	int space_calls = 0;

	(void)state;
	http_body_on_space(body, count_call, &space_calls);
	assert_int_equal(http_body_write(body, bytes, 200), 100);
	assert_int_equal(http_body_write(body, bytes, 1), 0);
	assert_int_equal(http_body_read(body, bytes, 40), 40);
	assert_int_equal(space_calls, 0);
	assert_int_equal(http_body_read(body, bytes, 40), 40);
	assert_int_equal(space_calls, 1);
	assert_int_equal(http_body_space(body), 80);
	talloc_free(body);
}

/* Guards against a resent body whose beginning is missing. */
static void test_body_rewind(void **state)
{
	http_body_t *body = http_body_create(NULL, 100);
	char bytes[100];

	(void)state;
	http_body_retain(body, 10);
	http_body_write(body, "abcdefgh", 8);
	assert_int_equal(http_body_read(body, bytes, 5), 5);
	assert_true(http_body_rewind(body));
	assert_int_equal(http_body_read(body, bytes, 100), 8);
	assert_memory_equal(bytes, "abcdefgh", 8);
	http_body_write(body, "ijkl", 4);
	assert_false(http_body_rewind(body));
	assert_int_equal(http_body_read(body, bytes, 100), 4);
	assert_memory_equal(bytes, "ijkl", 4);
	talloc_free(body);
}

/* Guards against a truncated body that is taken for a complete one. */
static void test_body_error(void **state)
{
	http_body_t *body = http_body_create(NULL, 100);
	int data_calls = 0;
	char byte;

	(void)state;
	http_body_on_data(body, count_call, &data_calls);
	assert_int_equal(http_body_read(body, &byte, 1), 0);
	http_body_close(body, HTTP_ETRUNCATED);
	http_body_close(body, 0);
	assert_int_equal(data_calls, 1);
	assert_int_equal(http_body_error(body), HTTP_ETRUNCATED);
	talloc_free(body);
}

/* Guards against forwarding hop-by-hop fields, Content-Length and Cassia-
 * fields to the next hop. */
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

/* Guards against a target that matches one route but that an upstream resolves
 * to a path of another route. */
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
			http_target_check(cas_str_from_cstr(bad[i]), &origin),
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
		cmocka_unit_test(test_body_limit_and_notification),
		cmocka_unit_test(test_body_rewind),
		cmocka_unit_test(test_body_error),
		cmocka_unit_test(test_forwarded_fields),
		cmocka_unit_test(test_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
