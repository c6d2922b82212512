/* Tests of reading tables and host lists, and of matching routes. */
#include "cassia/test.h"

#include "cassia/table.h"
#include "sample_internal.h"

static table_t *read_table(TALLOC_CTX *ctx, const char *text)
{
	config_faults_t *faults = config_faults_create(ctx);
	table_t *table = NULL;
	int rc = table_read(ctx, cas_str_from_cstr(text), faults, &table);

	sample_print_faults(faults);
	assert_int_equal(rc, 0);
	return table;
}

/* Checks that text, a host list or a table, is rejected with a fault whose text
 * contains expected. */
static void expect_fault(TALLOC_CTX *ctx, cas_str_t text, bool hosts,
			 const char *expected)
{
	config_faults_t *faults = config_faults_create(ctx);
	roster_t *roster = NULL;
	int rc = hosts ? roster_read(ctx, text, faults, &roster)
		       : table_check(text, faults);

	assert_int_equal(rc, CONFIG_EFAULTS);
	assert_null(roster);
	sample_expect_fault(faults, expected);
}

/* Guards against values that are not read or scaled wrongly. */
static void test_reads_every_value(void **state)
{
	table_t *table = read_table(*state, SAMPLE_TABLE);
	const table_customer_t *customer =
		table_find_customer(table, cas_id_of(CAS_STR("acme")));
	const table_route_t *route = &table->routes[0];

	assert_int_equal(table->revision, 7);
	assert_int_equal(table->salt[15], 15);
	assert_int_equal(table->data_centre_count, 2);
	assert_int_equal(table->data_centres[0].share_permille, 500);
	assert_int_equal(customer->rate_micro, 2500000);
	assert_int_equal(customer->burst_micro, 10000000);
	assert_int_equal(customer->weight, 3);
	assert_int_equal(customer->importance, TABLE_IMPORTANCE_MAX);
	assert_int_equal(route->importance, 9);
	assert_int_equal(route->retries, 2);
	assert_int_equal(route->customer_count, 1);
	assert_true(route->customers[0] == customer->id);
	assert_int_equal(table->key_count, 2);
	assert_int_equal(table->keys[0].hash[0], 0x01);
	assert_null(table->hosts);
}

static void test_reads_hosts(void **state)
{
	config_faults_t *faults = config_faults_create(*state);
	const roster_host_t *host;
	roster_t *roster = NULL;

	assert_int_equal(
		roster_read(*state, CAS_STR(SAMPLE_HOSTS), faults, &roster), 0);
	assert_int_equal(roster->revision, 3);
	assert_int_equal(roster->host_count, 2);
	host = roster_find(roster, cas_id_of(CAS_STR("a2")));
	assert_true(host->leaving);
	assert_int_equal(ntohl(host->address.s_addr), 0x7f000002);
	assert_int_equal(host->control_port, 7002);
	assert_null(roster_find(roster, 1));
}

/* Guards against reading only the table or only the host list from one file
 * that holds both, as on a small site. */
static void test_reads_embedded_hosts(void **state)
{
	const char *text =
		"hosts_revision = 5\n" SAMPLE_HEAD SAMPLE_ROWS SAMPLE_HOST_ROWS
		"[end]\nrows = 11\n";
	config_faults_t *faults = config_faults_create(*state);
	table_t *table = read_table(*state, text);
	roster_t *roster = NULL;

	assert_int_equal(table->hosts->revision, 5);
	assert_int_equal(
		roster_read(*state, cas_str_from_cstr(text), faults, &roster),
		0);
	assert_int_equal(roster->revision, 5);
	assert_int_equal(roster->host_count, 2);
}

/* Guards against a route that matches paths or methods of other routes. */
static void test_route_match(void **state)
{
	table_t *table = read_table(*state, SAMPLE_TABLE);
	const table_route_t *post = &table->routes[0];
	const table_route_t *any = &table->routes[1];
	cas_str_t get = CAS_STR("GET");

	assert_ptr_equal(table_match_route(table, CAS_STR(""), CAS_STR("POST"),
					   CAS_STR("/book/1")),
			 post);
	assert_ptr_equal(
		table_match_route(table, CAS_STR(""), get, CAS_STR("/book")),
		any);
	assert_ptr_equal(
		table_match_route(table, CAS_STR(""), get, CAS_STR("/book?a")),
		any);
	assert_null(table_match_route(table, CAS_STR(""), get,
				      CAS_STR("/bookings")));
	assert_null(table_match_route(table, CAS_STR(""), get, CAS_STR("/")));
}

/* Guards against accepting a truncated table, whatever its length. The row
 * count after [end] may be missing. */
static void test_truncated_table_is_rejected(void **state)
{
	const char *text = SAMPLE_TABLE;
	size_t complete_len = strlen(text) - strlen("\nrows = 9\n");

	(void)state;
	for (size_t len = 0; len < complete_len; len++) {
		config_faults_t *faults = config_faults_create(NULL);
		int rc = table_check((cas_str_t){ text, len }, faults);

		if (rc != CONFIG_EFAULTS)
			fail_msg("%zu of %zu bytes gave %d", len, complete_len,
				 rc);
		talloc_free(faults);
	}
}

/* Guards against rows after [end], and a wrong row count. */
static void test_end_must_be_last(void **state)
{
	expect_fault(*state, CAS_STR(SAMPLE_HEAD "[end]\n" SAMPLE_ROWS), false,
		     "t:3:1: end: [end] must come after everything else");
	expect_fault(*state, CAS_STR(SAMPLE_HEAD SAMPLE_ROWS "[end]\nrows=8"),
		     false, "8 rows are stated but there are 9");
}

/* A modification of a sample and part of the fault that must be reported. */
typedef struct fault_case {
	const char *original; /* part of the sample */
	const char *replacement;
	const char *fault;
} fault_case_t;

static const fault_case_t fault_cases[] = {
	{ "weight = 3", "wieght = 3",
	  "t:27:1: customer \"acme\": unknown key \"wieght\"; the nearest "
	  "known key is \"weight\"" },
	{ "[[service]]", "[[servise]]",
	  "the nearest known key is \"service\"" },
	{ "weight = 3", "\"\\u001b[2J\\u015f\" = 3", "unknown key \"?[2J??\"" },
	{ "weight = 3", "weight = 0", "t:27:10: customer \"acme\": weight" },
	{ "rate = 2.5", "rate = 0",
	  "customer \"acme\": rate must be a number" },
	{ "rate = 2.5", "rate = nan", "rate must be a number" },
	{ "rate = 2.5", "rate = 1e300", "rate must be a number" },
	{ "rate = 2.5", "rate = -1", "rate must be a number" },
	{ "rate = 2.5", "rate = \"2\"", "rate must be a number" },
	{ "rate = 2.5", "", "customer \"acme\": key \"rate\" is missing" },
	{ "burst = 10", "burst = 0.9", "burst must be a number from 1" },
	{ "importance = 9", "importance = 16", "integer from 0 to 15" },
	{ "importance = 9", "importance = 99999999999999999999", "t:17:" },
	{ "name = \"small\"", "name = \"acme\"",
	  "the name is already used in" },
	{ "name = \"small\"", "name = \"a b\"",
	  "name must be 1 to 64 letters" },
	{ "name = \"small\"", "name = \"\"", "name must be 1 to 64 letters" },
	{ "name = \"m2\"", "name = \"m1\"", "the name is already used" },
	{ "name = \"m2\"", "name = \"m2\"\nshare = 1001", "from 0 to 1000" },
	{ "name = \"m2\"", "name = \"m2\"\nshare = 1000", "leave nothing" },
	{ "customers = [\"acme\"]", "customers = [\"other\"]",
	  "item 1 of customers names no customer" },
	{ "customers = [\"acme\"]", "customers = []", "customers must be a" },
	{ "customers = [\"acme\"]", "customers = [\"acme\", \"acme\"]",
	  "the customer is already used" },
	{ "customers = [\"acme\"]", "customers = [\"acme\"]\nopen = true",
	  "an open route cannot be limited" },
	{ "method = \"POST\"", "",
	  "the combination of host, path and method is already used" },
	{ "path = \"/book\"", "path = \"/book\"\nsplit = []",
	  "either service or split" },
	{ "service = \"booking\"", "split = [{service=\"other\", weight=1}]",
	  "no service \"other\"" },
	{ "service = \"booking\"", "split = [{service=\"booking\", weight=0}]",
	  "a weight above 0" },
	{ "method = \"POST\"", "method = \"post\"", "in capital letters" },
	{ "path = \"/book\"", "path = \"book\"", "path must begin with" },
	{ "path = \"/book\"", "path = \"/a?b\"", "path must begin with" },
	{ "service = \"booking\"", "service = \"other\"",
	  "no service \"other\"" },
	{ "customer = \"small\"", "customer = \"other\"", "no customer" },
	{ "hash = \"01", "hash = \"0", "hash must be 64 hexadecimal digits" },
	{ "hash = \"01", "hash = \"0g", "hash must be 64 hexadecimal digits" },
	{ "hash = \"" SAMPLE_HASH_B, "hash = \"" SAMPLE_HASH_A,
	  "the hash is already used" },
	{ "revision = 7", "revision = 0", "t:1:12: revision must be" },
	{ "revision = 7", "revision = 7\nrevision = 8", "t:2:" },
	{ "revision = 7", "revision = 7\nhosts_revision = 1",
	  "need each other" },
	{ "salt = \"00", "salt = \"", "salt must be 32 hexadecimal digits" },
	{ "[[service]]", "# \xc5\x9f\n[[service]]\n\xc5\x9f = 1",
	  "t:11:1: only comments may contain characters outside of ASCII" },
	{ "\"first\"", "\"\xc5\x9f\"", ":10: only comments may contain" },
	{ "\"first\"", "\"\\u015f\"", "label must be a text of 0 to 128" },
	{ "[[service]]", "[=", "t:9:1: malformed key or table header" },
	{ "[[customer]]\nname = \"acme\"", "[customer]\nname = \"acme\"",
	  "t:30:" },
	{ "[[key]]", "a.b.c.d.e.f.g.h.i.j = 1\n[[key]]", "nested too deep" },
	{ "[end]", "[end]\ncount = 1", "end: unknown key \"count\"" },
};

/* Guards against accepting a table with any of these faults, and against faults
 * that are reported without their position. */
static void test_table_faults(void **state)
{
	for (size_t i = 0; i < sizeof(fault_cases) / sizeof(fault_cases[0]);
	     i++) {
		const fault_case_t *fault_case = &fault_cases[i];
		char *text = sample_replace(*state, SAMPLE_TABLE,
					    fault_case->original,
					    fault_case->replacement);

		expect_fault(*state, cas_str_from_cstr(text), false,
			     fault_case->fault);
	}
}

/* Guards against shares that add up to more than the rate of a customer. */
static void test_sum_of_shares_is_limited(void **state)
{
	char *text = sample_replace(*state, SAMPLE_TABLE, "name = \"m1\"",
				    "name = \"m1\"\nshare = 600");

	text = sample_replace(*state, text, "name = \"m2\"",
			      "name = \"m2\"\nshare = 401");
	expect_fault(*state, cas_str_from_cstr(text), false,
		     "the shares add up to 1001, above 1000");
}

static const fault_case_t host_fault_cases[] = {
	{ "127.0.0.2", "127.0.0.1",
	  "host \"a2\": the combination of address and peer_port" },
	{ "127.0.0.2", "localhost", "address must be an IPv4 address" },
	{ "name = \"a2\"", "name = \"a1\"", "the name is already used" },
	{ "peer_port = 7001", "peer_port = 0", "from 1 to 65535" },
	{ "peer_port = 7001", "peer_port = 65536", "from 1 to 65535" },
	{ "leaving = true", "leaving = 1", "leaving must be true or false" },
	{ "[end]", "", "the text is cut off" },
};

static void test_host_faults(void **state)
{
	size_t count = sizeof(host_fault_cases) / sizeof(host_fault_cases[0]);

	for (size_t i = 0; i < count; i++) {
		const fault_case_t *fault_case = &host_fault_cases[i];
		char *text = sample_replace(*state, SAMPLE_HOSTS,
					    fault_case->original,
					    fault_case->replacement);

		expect_fault(*state, cas_str_from_cstr(text), true,
			     fault_case->fault);
	}
	expect_fault(*state, CAS_STR("revision = 1\nhost = []\n[end]\n"), true,
		     "there must be at least one [[host]]");
}

/* Guards against a check that stops at the first fault. */
static void test_every_fault_is_reported(void **state)
{
	config_faults_t *faults = config_faults_create(*state);
	char *text = sample_replace(*state, SAMPLE_TABLE, "weight = 3",
				    "weight = 0");

	text = sample_replace(*state, text, "importance = 9",
			      "importance = 99");
	text = sample_replace(*state, text, "burst = 10", "bursts = 10");
	table_check(cas_str_from_cstr(text), faults);
	assert_int_equal(faults->count, 4);
	assert_int_equal(faults->items[0].line, 17);
	assert_true(
		cas_str_equal(faults->items[0].row, CAS_STR("route \"book\"")));
	assert_true(cas_str_equal(faults->items[0].key, CAS_STR("importance")));
}

/* Guards against stack overflow and excessive work on texts that are very long
 * or deeply nested, and against a NUL byte in a text. */
static void test_oversized_and_malformed_texts(void **state)
{
	size_t len = CONFIG_DOCUMENT_MAX;
	char nul[] = "a = 'x'\n";
	char *text = talloc_array(*state, char, len + 1);

	memset(text, '[', len);
	expect_fault(*state, (cas_str_t){ text, len }, false,
		     "nested too deep");
	for (size_t i = 0; i < len; i++)
		text[i] = i % 2 ? '.' : 'a';
	expect_fault(*state, (cas_str_t){ text, len }, false,
		     "nested too deep");
	memset(text, '\n', len + 1);
	expect_fault(*state, (cas_str_t){ text, len + 1 }, false,
		     "8388609 bytes are more than the limit");
	nul[5] = '\0';
	expect_fault(*state, (cas_str_t){ nul, sizeof(nul) - 1 }, false,
		     "t:1:");
}

#define TEST(name)                                                             \
	cmocka_unit_test_setup_teardown(name, sample_setup, sample_teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_reads_every_value),
		TEST(test_reads_hosts),
		TEST(test_reads_embedded_hosts),
		TEST(test_route_match),
		TEST(test_truncated_table_is_rejected),
		TEST(test_end_must_be_last),
		TEST(test_table_faults),
		TEST(test_sum_of_shares_is_limited),
		TEST(test_host_faults),
		TEST(test_every_fault_is_reported),
		TEST(test_oversized_and_malformed_texts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
