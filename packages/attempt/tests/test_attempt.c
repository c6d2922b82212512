/* Tests signed contexts, the table of attempts and the running requests. */
#include "cassia/test.h"

#include <sodium.h>

#include "cassia/attempt.h"

#define SECOND_US CAS_USEC_PER_SEC

typedef struct fixture {
	cas_clock_t *clock;
	attempt_secrets_t secrets;
	attempt_table_t *table;
} fixture_t;

static int setup(void **state)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);

	if (sodium_init() < 0)
		return -1;
	fixture->clock = cas_clock_create_manual(fixture, 5 * SECOND_US);
	fixture->table = attempt_table_create(fixture, fixture->clock, 3);
	attempt_secrets_add(&fixture->secrets,
			    (const uint8_t *)"0123456789abcdef", 16);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

/* Returns a signed context with one early rejection, which is written to
 * early. */
static cas_str_t signed_context(fixture_t *fixture, attempt_early *early)
{
	attempt_context context = { .receiver = 7,
				    .incarnation = 9,
				    .deadline = -3,
				    .early.early_len = 1,
				    .early.early_val = early };

	*early = (attempt_early){ .customer = 4, .count = 6 };
	return attempt_sign_context(fixture, &fixture->secrets, &context);
}

/* Guards against fields that are lost in encoding or decoding. */
static void test_context_round_trip(void **state)
{
	fixture_t *fixture = *state;
	attempt_early early;
	attempt_received_t received;
	cas_str_t text = signed_context(fixture, &early);

	assert_int_equal(
		attempt_read_context(&fixture->secrets, text, &received), 0);
	assert_int_equal(received.context.receiver, 7);
	assert_int_equal(received.context.deadline, -3);
	assert_int_equal(received.context.early.early_len, 1);
	assert_int_equal(received.early[0].count, 6);
}

/* Guards against accepting an altered or truncated text, or a context as an
 * outcome. */
static void test_altered_text_is_rejected(void **state)
{
	fixture_t *fixture = *state;
	attempt_early early;
	attempt_received_t received;
	attempt_outcome outcome;
	cas_str_t text = signed_context(fixture, &early);
	char *copy = talloc_strndup(fixture, text.ptr, text.len);

	assert_int_equal(
		attempt_read_outcome(&fixture->secrets, text, &outcome),
		ATTEMPT_ESIGNATURE);
	for (size_t i = 0; i < text.len; i++) {
		copy[i] = copy[i] == 'A' ? 'B' : 'A';
		assert_int_not_equal(
			attempt_read_context(&fixture->secrets,
					     (cas_str_t){ copy, text.len },
					     &received),
			0);
		copy[i] = text.ptr[i];
		assert_int_not_equal(
			attempt_read_context(&fixture->secrets,
					     (cas_str_t){ copy, i }, &received),
			0);
	}
}

/* Guards against an outage while the fleet secret is replaced: a text signed
 * with the old secret must be accepted beside the new one. */
static void test_second_secret_is_accepted(void **state)
{
	fixture_t *fixture = *state;
	attempt_early early;
	attempt_received_t received;
	attempt_secrets_t both = { 0 };
	cas_str_t text = signed_context(fixture, &early);

	attempt_secrets_add(&both, (const uint8_t *)"fedcba9876543210", 16);
	assert_int_equal(attempt_read_context(&both, text, &received),
			 ATTEMPT_ESIGNATURE);
	attempt_secrets_add(&both, (const uint8_t *)"0123456789abcdef", 16);
	assert_int_equal(attempt_read_context(&both, text, &received), 0);
}

/* Guards against an attempt that runs twice before its deadline, and against
 * one that runs after it because its identifier was removed from the table. */
static void test_attempt_runs_once(void **state)
{
	fixture_t *fixture = *state;
	char id[ATTEMPT_ID_BYTES];
	int64_t deadline = 8 * SECOND_US;

	attempt_generate_id(id);
	assert_int_equal(attempt_table_begin(fixture->table, id, deadline), 0);
	for (int i = 0; i < 40; i++) {
		bool before_deadline = cas_clock_now(fixture->clock) < deadline;
		int error = attempt_table_begin(fixture->table, id, deadline);

		/* After the deadline it may have been removed. */
		assert_true(error == ATTEMPT_EDUPLICATE ||
			    (!before_deadline && error == ATTEMPT_EEXPIRED));
		cas_clock_advance(fixture->clock, SECOND_US / 10);
	}
	cas_clock_advance(fixture->clock, 200 * SECOND_US);
	attempt_generate_id(id);
	assert_int_equal(
		attempt_table_begin(fixture->table, id,
				    cas_clock_now(fixture->clock) + SECOND_US),
		0);
	assert_int_equal(attempt_table_count(fixture->table), 1);
}

/* Guards against a table that grows above its limit, and against deadlines too
 * far in the future. */
static void test_table_is_bounded(void **state)
{
	fixture_t *fixture = *state;
	char id[ATTEMPT_ID_BYTES];

	for (int i = 0; i < 4; i++) {
		attempt_generate_id(id);
		assert_int_equal(
			attempt_table_begin(fixture->table, id, 9 * SECOND_US),
			i < 3 ? 0 : ATTEMPT_EFULL);
	}
	assert_int_equal(
		attempt_table_begin(fixture->table, id, 400 * SECOND_US),
		ATTEMPT_EEXPIRED);
}

/* Guards against a handle that is accepted after its request has ended. */
static void test_handle_ends_with_request(void **state)
{
	fixture_t *fixture = *state;
	attempt_live_t *live = attempt_live_create(fixture);
	attempt_context context = { .budget = 3 };
	attempt_live_entry_t *entry =
		attempt_live_add(live, &context, CAS_STR(""));
	char text[ATTEMPT_ID_TEXT_BYTES];

	attempt_format_id(entry->handle, text);
	assert_ptr_equal(attempt_live_find(live, cas_str_from_cstr(text)),
			 entry);
	assert_int_equal(entry->budget.left, 3);
	talloc_free(entry);
	assert_null(attempt_live_find(live, cas_str_from_cstr(text)));
	assert_null(attempt_live_find(live, CAS_STR("zz")));
}

/* Guards against a call that is taken for that of another request, or of one
 * that has ended. */
static void test_parent_by_id(void **state)
{
	fixture_t *fixture = *state;
	attempt_live_t *live = attempt_live_create(fixture);
	attempt_context context = { .importance = 7 };
	attempt_live_entry_t *first =
		attempt_live_add(live, &context, CAS_STR("a.b"));
	attempt_live_entry_t *second;

	attempt_live_add(live, &context, CAS_STR(""));
	assert_ptr_equal(attempt_live_find_parent(live, CAS_STR("a.b.c")),
			 first);
	assert_null(attempt_live_find_parent(live, CAS_STR("a.b")));
	assert_null(attempt_live_find_parent(live, CAS_STR("a.b.c.d")));
	assert_null(attempt_live_find_parent(live, CAS_STR("a")));
	assert_null(attempt_live_find_parent(live, CAS_STR(".a")));
	assert_null(attempt_live_find_parent(live, CAS_STR("")));
	/* A retry of the same request may come before the end of the first. */
	second = attempt_live_add(live, &context, CAS_STR("a.b"));
	talloc_free(first);
	assert_ptr_equal(attempt_live_find_parent(live, CAS_STR("a.b.c")),
			 second);
	talloc_free(second);
	assert_null(attempt_live_find_parent(live, CAS_STR("a.b.c")));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_context_round_trip, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_altered_text_is_rejected,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_second_secret_is_accepted,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_attempt_runs_once, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_table_is_bounded, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_handle_ends_with_request,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_parent_by_id, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
