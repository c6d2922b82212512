/* Tests of the lookup and withdrawal of API keys and of the headers that
 * contain them. */
#include "cassia/test.h"

#include "cassia/keys.h"

static const uint8_t salt_a[TABLE_SALT_BYTES] = { 1 };
static const uint8_t salt_b[TABLE_SALT_BYTES] = { 2 };

typedef struct fixture {
	keys_t *keys; /* under test, set to table */
	table_key_t items[2]; /* the keys of table, sorted by hash */
	table_t table;
} fixture_t;

/* Sets a table with the key "one" of customer 11 and "two" of customer 12. */
static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->keys = keys_create(f);
	memcpy(f->table.salt, salt_a, sizeof(salt_a));
	keys_hash(salt_a, CAS_STR("one"), f->items[0].hash);
	keys_hash(salt_a, CAS_STR("two"), f->items[1].hash);
	f->items[0].customer_id = 11;
	f->items[1].customer_id = 12;
	if (memcmp(f->items[0].hash, f->items[1].hash, 32) > 0) {
		table_key_t swapped = f->items[0];

		f->items[0] = f->items[1];
		f->items[1] = swapped;
	}
	f->table.keys = f->items;
	f->table.key_count = 2;
	assert_int_equal(keys_set_table(f->keys, &f->table), 0);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

/* Removes the key of a customer from the table and sets the table again. */
static void withdraw(fixture_t *f, cas_id_t customer)
{
	if (f->items[0].customer_id == customer)
		f->items[0] = f->items[1];
	f->table.key_count = 1;
	assert_int_equal(keys_set_table(f->keys, &f->table), 0);
}

/* Guards against a request that is assigned to another customer than the one of
 * its key. */
static void test_finds_the_customer(void **state)
{
	fixture_t *f = *state;
	keys_lookup_t lookup;

	assert_int_equal(keys_lookup(f->keys, CAS_STR("one"), &lookup), 0);
	assert_int_equal(lookup.customer_id, 11);
	assert_int_equal(keys_lookup(f->keys, CAS_STR("two"), &lookup), 0);
	assert_int_equal(lookup.customer_id, 12);
}

/* Guards against accepting a missing, wrong or overlong key, a zeroed lookup,
 * or any key before the first table. */
static void test_rejects_missing_and_unknown(void **state)
{
	fixture_t *f = *state;
	char longest[KEYS_TOKEN_MAX_BYTES + 1] = { 'x' };
	cas_str_t too_long = { longest, sizeof(longest) };
	keys_lookup_t lookup;
	keys_lookup_t zeroed = { 0 };
	keys_t *empty = keys_create(f);

	assert_false(keys_still_valid(empty, &zeroed));
	assert_int_equal(keys_lookup(f->keys, CAS_STR(""), &lookup),
			 KEYS_EMISSING);
	assert_int_equal(keys_lookup(f->keys, CAS_STR("on"), &lookup),
			 KEYS_EUNKNOWN);
	assert_int_equal(keys_lookup(f->keys, too_long, &lookup),
			 KEYS_EUNKNOWN);
	assert_int_equal(keys_lookup(empty, CAS_STR("one"), &lookup),
			 KEYS_EUNKNOWN);
}

/* Guards against a withdrawn key that stays valid for queued requests and open
 * connections, which keep the result of an earlier lookup. */
static void test_withdrawal_reaches_earlier_lookups(void **state)
{
	fixture_t *f = *state;
	keys_lookup_t one;
	keys_lookup_t two;

	keys_lookup(f->keys, CAS_STR("one"), &one);
	keys_lookup(f->keys, CAS_STR("two"), &two);
	withdraw(f, 11);
	assert_false(keys_still_valid(f->keys, &one));
	assert_true(keys_still_valid(f->keys, &two));
	assert_int_equal(two.generation, keys_generation(f->keys));
	assert_int_equal(keys_lookup(f->keys, CAS_STR("one"), &one),
			 KEYS_EUNKNOWN);
}

/* Guards against an earlier lookup that stays valid when a table assigns its
 * key to another customer. */
static void test_key_of_another_customer_is_no_longer_valid(void **state)
{
	fixture_t *f = *state;
	keys_lookup_t one;

	keys_lookup(f->keys, CAS_STR("one"), &one);
	f->items[0].customer_id = 13;
	f->items[1].customer_id = 13;
	keys_set_table(f->keys, &f->table);
	assert_false(keys_still_valid(f->keys, &one));
}

/* Guards against hashes that do not depend on the salt, and against earlier
 * lookups that stay valid after a table with a new salt. */
static void test_new_salt_withdraws_all(void **state)
{
	fixture_t *f = *state;
	keys_lookup_t one;

	keys_lookup(f->keys, CAS_STR("one"), &one);
	memcpy(f->table.salt, salt_b, sizeof(salt_b));
	for (int i = 0; i < 2; i++)
		keys_hash(salt_b, CAS_STR("one"), f->items[i].hash);
	f->table.key_count = 1;
	keys_set_table(f->keys, &f->table);
	assert_false(keys_still_valid(f->keys, &one));
	assert_int_equal(keys_lookup(f->keys, CAS_STR("one"), &one), 0);
}

/* Guards against a route that accepts customers who are not in its list. */
static void test_route_customers(void **state)
{
	cas_id_t customers[] = { 11, 14 };
	table_route_t route = { .customers = customers, .customer_count = 2 };
	table_route_t unrestricted = { 0 };

	(void)state;
	assert_int_equal(keys_check_route(&route, 14), 0);
	assert_int_equal(keys_check_route(&route, 12), KEYS_EFORBIDDEN);
	assert_int_equal(keys_check_route(&unrestricted, 12), 0);
}

/* Guards against forwarding a key to an upstream in an unusual header. */
static void test_secret_headers(void **state)
{
	static const char *const secret[] = {
		"Authorization",
		"authorization",
		"AUTHORIZATION",
		"Proxy-Authorization",
		"X-Forwarded-Authorization",
		"X_Authorization",
		"Authorization ",
		"Authorization-2",
	};
	static const char *const not_secret[] = {
		"Cookie", "Accept", "", "Authorizatio", "Host", "X-Auth",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(secret) / sizeof(secret[0]); i++)
		assert_true(
			keys_header_is_secret(cas_str_from_cstr(secret[i])));
	for (size_t i = 0; i < sizeof(not_secret) / sizeof(not_secret[0]); i++)
		assert_false(keys_header_is_secret(
			cas_str_from_cstr(not_secret[i])));
}

/* Guards against errors in parsing the header: spaces around the token, the
 * case of the scheme, another scheme, and a missing token. */
static void test_bearer(void **state)
{
	cas_str_t token;

	(void)state;
	assert_int_equal(keys_parse_header(CAS_STR("Bearer  abc "),
					   CAS_STR("Bearer"), &token),
			 0);
	assert_true(cas_str_equal(token, CAS_STR("abc")));
	assert_int_equal(keys_parse_header(CAS_STR("bEARER abc"),
					   CAS_STR("Bearer"), &token),
			 0);
	assert_int_equal(keys_parse_header(CAS_STR("Basic abc"),
					   CAS_STR("Bearer"), &token),
			 KEYS_EMISSING);
	assert_int_equal(
		keys_parse_header(CAS_STR("Bearer"), CAS_STR("Bearer"), &token),
		KEYS_EMISSING);
	assert_int_equal(keys_parse_header(CAS_STR("Bearer   "),
					   CAS_STR("Bearer"), &token),
			 KEYS_EMISSING);
}

/* Guards against generated keys that repeat, lack the prefix or have a wrong
 * length. */
static void test_generate(void **state)
{
	char a[KEYS_TEXT_BYTES];
	char b[KEYS_TEXT_BYTES];

	(void)state;
	keys_generate(a);
	keys_generate(b);
	assert_int_equal(strlen(a), KEYS_TEXT_BYTES - 1);
	assert_memory_equal(a, KEYS_PREFIX, strlen(KEYS_PREFIX));
	assert_string_not_equal(a, b);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_finds_the_customer),
		TEST(test_rejects_missing_and_unknown),
		TEST(test_withdrawal_reaches_earlier_lookups),
		TEST(test_key_of_another_customer_is_no_longer_valid),
		TEST(test_new_salt_withdraws_all),
		TEST(test_route_customers),
		TEST(test_secret_headers),
		TEST(test_bearer),
		TEST(test_generate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
