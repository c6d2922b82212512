/* Tests of the handling of notices that other daemons have newer documents. */
#include "cassia/test.h"

#include "cassia/config_notices.h"
#include "sample_internal.h"

typedef struct fixture {
	config_store_t *store;
	cas_clock_t *clock; /* advanced by the tests */
	config_notices_t *notices;
	bool source_silent; /* the source delivers nothing */
	bool hosts_read; /* the source has read all that the lists show */
	int64_t delay_us; /* of the source */
	int64_t size; /* of the documents in force, in bytes */
	int checks; /* calls of check_source */
	int fetches[CONFIG_DOCUMENT_COUNT];
	cas_id_t fetched_from;
} fixture_t;

static bool on_lacks(void *private, config_document_t document,
		     int64_t revision)
{
	const fixture_t *f = private;

	if (document == CONFIG_HOSTS && f->hosts_read)
		return false;
	return config_store_revision(f->store, document) < revision;
}

static bool on_source_delivers(void *private)
{
	return !((fixture_t *)private)->source_silent;
}

/* Hosts below 100 are in the own region. */
static bool on_in_own_region(void *private, cas_id_t host)
{
	(void)private;
	return host < 100;
}

static int64_t on_size(void *private, config_document_t document)
{
	(void)document;
	return ((fixture_t *)private)->size;
}

static int64_t on_delivery_delay(void *private)
{
	return ((fixture_t *)private)->delay_us;
}

static void on_check_source(void *private)
{
	((fixture_t *)private)->checks++;
}

static void on_fetch(void *private, config_document_t document, cas_id_t host)
{
	fixture_t *f = private;

	f->fetched_from = host;
	f->fetches[document]++;
}

static const config_store_ops_t store_ops = { 0 };
static const config_notices_ops_t notices_ops = {
	.lacks = on_lacks,
	.source_delivers = on_source_delivers,
	.in_own_region = on_in_own_region,
	.size = on_size,
	.delivery_delay = on_delivery_delay,
	.check_source = on_check_source,
	.fetch = on_fetch,
};

/* Offers the sample table with another revision. */
static int offer_table(fixture_t *f, int revision)
{
	char *text = talloc_asprintf(f, "revision = %d\n%s", revision,
				     strchr(SAMPLE_TABLE, '\n') + 1);

	return config_store_offer(f->store, CONFIG_TABLE,
				  cas_str_from_cstr(text));
}

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->store = config_store_create(f, &store_ops, f);
	f->clock = cas_clock_create_manual(f, 1000);
	f->notices = config_notices_create(f, f->clock, cas_rng_create(f, 1),
					   &notices_ops, f);
	*state = f;
	return offer_table(f, 5);
}

static int teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static void advance(fixture_t *f, int64_t duration_us)
{
	cas_clock_advance(f->clock, duration_us);
	config_notices_tick(f->notices);
}

/* Guards against a daemon that started while the platform, restored from a
 * copy, held an older table, and that keeps it although its peers have the
 * newer one. */
static void test_table_that_the_source_lacks(void **state)
{
	fixture_t *f = *state;

	config_notices_add(f->notices, CONFIG_TABLE, 7, 31);
	advance(f, CONFIG_NOTICES_CHECK_US);
	assert_int_equal(f->checks, 1);
	assert_int_equal(f->fetches[CONFIG_TABLE], 0);
	advance(f, CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
	assert_int_equal(f->fetched_from, 31);
	/* The fetch failed. Another host names the revision, an older one does
	 * not count. */
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
	config_notices_add(f->notices, CONFIG_TABLE, 7, 32);
	config_notices_add(f->notices, CONFIG_TABLE, 6, 33);
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 2);
	assert_int_equal(f->fetched_from, 32);
	assert_int_equal(f->checks, 1);
}

/* Guards against a host that names a high revision and cannot be reached, and
 * that keeps lower ones of other hosts from being fetched. */
static void test_unreachable_host_with_the_highest_table(void **state)
{
	fixture_t *f = *state;

	config_notices_add(f->notices, CONFIG_TABLE, 20, 31);
	config_notices_add(f->notices, CONFIG_TABLE, 7, 32);
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetched_from, 31);
	config_notices_add(f->notices, CONFIG_TABLE, 7, 32);
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 2);
	assert_int_equal(f->fetched_from, 32);
	assert_int_equal(f->checks, 1);
}

/* Guards against calls to the platform and to peers for what the source has
 * delivered in time. */
static void test_source_delivers_in_time(void **state)
{
	fixture_t *f = *state;

	config_notices_add(f->notices, CONFIG_TABLE, 7, 31);
	assert_int_equal(offer_table(f, 7), 0);
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	config_notices_add(f->notices, CONFIG_TABLE, 8, 31);
	advance(f, CONFIG_NOTICES_CHECK_US);
	assert_int_equal(f->checks, 1);
	assert_int_equal(offer_table(f, 8), 0);
	advance(f, CONFIG_NOTICES_CHECK_US + CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->checks, 1);
	assert_int_equal(f->fetches[CONFIG_TABLE], 0);
}

/* Guards against a peer's host list that replaces the source's own, which shows
 * the same state of the platform. */
static void test_host_list_that_the_source_has_read(void **state)
{
	fixture_t *f = *state;

	f->hosts_read = true;
	config_notices_add(f->notices, CONFIG_HOSTS, 7, 31);
	advance(f, CONFIG_NOTICES_CHECK_US);
	advance(f, CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->checks, 0);
	/* Read while the check was due, or while the fetch was. */
	f->hosts_read = false;
	config_notices_add(f->notices, CONFIG_HOSTS, 8, 31);
	f->hosts_read = true;
	advance(f, CONFIG_NOTICES_CHECK_US);
	assert_int_equal(f->checks, 0);
	f->hosts_read = false;
	config_notices_add(f->notices, CONFIG_HOSTS, 9, 31);
	advance(f, CONFIG_NOTICES_CHECK_US);
	assert_int_equal(f->checks, 1);
	f->hosts_read = true;
	advance(f, CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_HOSTS], 0);
}

/* Guards against a daemon whose source does not answer, as an open connection
 * that has gone silent, and that gets a document too late to pass it on in time. */
static void test_source_that_does_not_answer(void **state)
{
	fixture_t *f = *state;

	config_notices_add(f->notices, CONFIG_TABLE, 6, 31);
	config_notices_add(f->notices, CONFIG_HOSTS, 6, 31);
	for (int i = 0; i < 5; i++)
		advance(f, 100 * CAS_USEC_PER_MSEC);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
	assert_int_equal(f->fetches[CONFIG_HOSTS], 1);
	assert_int_equal(f->fetched_from, 31);
}

/* Guards against calls for what the source delivers at the end of a pause. */
static void test_pause_of_the_source(void **state)
{
	fixture_t *f = *state;

	f->delay_us = 600 * CAS_USEC_PER_MSEC;
	config_notices_add(f->notices, CONFIG_TABLE, 6, 31);
	advance(f, f->delay_us);
	assert_int_equal(f->checks, 0);
	assert_int_equal(f->fetches[CONFIG_TABLE], 0);
	advance(f, CONFIG_NOTICES_CHECK_US);
	assert_int_equal(f->checks, 1);
	advance(f, CONFIG_NOTICES_ANSWER_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
}

/* Guards against a fetch that each notice of a yet newer revision puts off. */
static void test_series_of_notices(void **state)
{
	fixture_t *f = *state;

	for (int64_t revision = 6; revision < 16; revision++) {
		config_notices_add(f->notices, CONFIG_TABLE, revision, 31);
		advance(f, 100 * CAS_USEC_PER_MSEC);
	}
	assert_in_range(f->fetches[CONFIG_TABLE], 1, 10);
}

/* Guards against a daemon without a source of its own that fetches a document over
 * the link between regions although one of its region has it, or that does not
 * fetch it from there if none has. */
static void test_document_of_another_region(void **state)
{
	fixture_t *f = *state;

	f->source_silent = true;
	config_notices_add(f->notices, CONFIG_TABLE, 7, 131);
	advance(f, CONFIG_NOTICES_REMOTE_MIN_US - 1);
	assert_int_equal(f->fetches[CONFIG_TABLE], 0);
	config_notices_add(f->notices, CONFIG_TABLE, 7, 31);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
	assert_int_equal(f->fetched_from, 31);
	offer_table(f, 7);
	advance(f, CONFIG_NOTICES_REMOTE_MAX_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 1);
	config_notices_add(f->notices, CONFIG_TABLE, 8, 131);
	advance(f, CONFIG_NOTICES_REMOTE_MAX_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 2);
	assert_int_equal(f->fetched_from, 131);
	f->size = 1000000;
	config_notices_add(f->notices, CONFIG_TABLE, 9, 131);
	advance(f, CONFIG_NOTICES_REMOTE_MIN_US +
			   f->size * CONFIG_NOTICES_REMOTE_US_PER_BYTE - 1);
	assert_int_equal(f->fetches[CONFIG_TABLE], 2);
	advance(f, CONFIG_NOTICES_REMOTE_MAX_US);
	assert_int_equal(f->fetches[CONFIG_TABLE], 3);
	assert_int_equal(f->checks, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_source_that_does_not_answer, setup, teardown),
		cmocka_unit_test_setup_teardown(test_pause_of_the_source, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_series_of_notices, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_table_that_the_source_lacks, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_unreachable_host_with_the_highest_table, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_source_delivers_in_time,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_host_list_that_the_source_has_read, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_document_of_another_region,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
