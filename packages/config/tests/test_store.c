/* Tests of the configuration store, of the wait for peers at the start of a
 * daemon, and of the comparison of tables. */
#include "cassia/test.h"

#include "cassia/config_boot.h"
#include "cassia/diff.h"
#include "sample_internal.h"

typedef struct fixture {
	config_store_t *store;
	cas_clock_t *clock; /* advanced by the tests */
	config_boot_t *boot;
	/* Numbers and last arguments of the callbacks. */
	int tables_changed;
	int hosts_changed;
	int refusals;
	int last_error; /* of the last refusal */
	int queries; /* calls of query_revisions */
	cas_id_t fetched_from;
	int64_t fetched_revision;
	int fetches;
} fixture_t;

static void on_table_changed(void *private, const table_t *table)
{
	fixture_t *f = private;

	assert_ptr_equal(config_store_table(f->store), table);
	f->tables_changed++;
}

static void on_hosts_changed(void *private, const roster_t *roster)
{
	fixture_t *f = private;

	(void)roster;
	f->hosts_changed++;
}

static void on_refused(void *private, config_document_t document, int error,
		       const config_faults_t *faults)
{
	fixture_t *f = private;

	(void)document;
	assert_true(faults->count > 0);
	f->refusals++;
	f->last_error = error;
}

static void on_query_revisions(void *private, cas_id_t peer)
{
	fixture_t *f = private;

	(void)peer;
	f->queries++;
}

static void on_fetch(void *private, cas_id_t peer, config_document_t document,
		     int64_t revision)
{
	fixture_t *f = private;

	(void)document;
	f->fetched_from = peer;
	f->fetched_revision = revision;
	f->fetches++;
}

static const config_store_ops_t store_ops = { on_table_changed,
					      on_hosts_changed, on_refused };
static const config_boot_ops_t boot_ops = { on_query_revisions, on_fetch };

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);

	f->store = config_store_create(f, &store_ops, f);
	f->clock = cas_clock_create_manual(f, 1000);
	f->boot = config_boot_create(f, f->clock, f->store, &boot_ops, f);
	*state = f;
	return 0;
}

/* Offers the sample table with another revision. */
static int offer_table(fixture_t *f, int revision)
{
	char *text = talloc_asprintf(f, "revision = %d\n%s", revision,
				     strchr(SAMPLE_TABLE, '\n') + 1);

	return config_store_offer(f->store, CONFIG_TABLE,
				  cas_str_from_cstr(text));
}

/* Offers the sample table with original replaced. */
static int offer_text(fixture_t *f, const char *original,
		      const char *replacement)
{
	char *text = sample_replace(f, SAMPLE_TABLE, original, replacement);

	return config_store_offer(f->store, CONFIG_TABLE,
				  cas_str_from_cstr(text));
}

/* Guards against replacing a table by an older one. */
static void test_older_revision_is_stale(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(offer_table(f, 5), 0);
	assert_int_equal(offer_table(f, 4), CONFIG_ESTALE);
	assert_int_equal(offer_table(f, 5), CONFIG_ESTALE);
	assert_int_equal(offer_table(f, 6), 0);
	assert_int_equal(offer_table(f, 5), CONFIG_ESTALE);
	assert_int_equal(config_store_revision(f->store, CONFIG_TABLE), 6);
	assert_int_equal(f->tables_changed, 2);
	assert_int_equal(f->refusals, 0);
}

/* Guards against accepting two edits with the same revision. */
static void test_same_revision_with_different_content_conflicts(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(offer_table(f, 7), 0);
	assert_int_equal(offer_text(f, "weight = 3", "weight = 4"),
			 CONFIG_ECONFLICT);
	assert_int_equal(offer_text(f, "weight = 3", "weight = 3 # same"),
			 CONFIG_ESTALE);
	assert_int_equal(f->last_error, CONFIG_ECONFLICT);
	assert_non_null(config_store_faults(f->store, CONFIG_TABLE));
	assert_int_equal(config_store_table(f->store)->revision, 7);
	assert_int_equal(offer_table(f, 8), 0);
	assert_null(config_store_faults(f->store, CONFIG_TABLE));
	/* With a higher revision stored, the conflicting text is stale. */
	assert_int_equal(offer_text(f, "weight = 3", "weight = 4"),
			 CONFIG_ESTALE);
}

/* Guards against an invalid table that replaces the stored one, and against a
 * report for every read of the same invalid text. */
static void test_invalid_table_is_refused(void **state)
{
	fixture_t *f = *state;

	offer_table(f, 7);
	for (int i = 0; i < 3; i++)
		assert_int_equal(offer_text(f, "[end]", ""), CONFIG_EFAULTS);
	assert_int_equal(f->refusals, 1);
	assert_int_equal(offer_text(f, "weight", "weigth"), CONFIG_EFAULTS);
	assert_int_equal(f->refusals, 2);
	assert_int_equal(f->tables_changed, 1);
	assert_int_equal(config_store_table(f->store)->customer_count, 2);
}

/* Guards against tables and host lists in one file whose revisions cannot
 * change separately. */
static void test_embedded_hosts_have_their_own_revision(void **state)
{
	fixture_t *f = *state;
	const char *text =
		"hosts_revision = 5\n" SAMPLE_HEAD SAMPLE_ROWS SAMPLE_HOST_ROWS
		"[end]\n";
	char *newer = sample_replace(f, text, "= 5", "= 6");
	char *conflict = sample_replace(f, newer, "7001", "7009");

	assert_int_equal(config_store_offer(f->store, CONFIG_TABLE,
					    cas_str_from_cstr(text)),
			 0);
	assert_int_equal(config_store_offer(f->store, CONFIG_TABLE,
					    cas_str_from_cstr(newer)),
			 0);
	assert_int_equal(f->tables_changed, 1);
	assert_int_equal(f->hosts_changed, 2);
	assert_int_equal(config_store_offer(f->store, CONFIG_TABLE,
					    cas_str_from_cstr(conflict)),
			 CONFIG_ECONFLICT);
	assert_int_equal(config_store_revision(f->store, CONFIG_HOSTS), 6);
}

/* Offers the sample host list (a1, a2) and starts the wait on host a1. Returns
 * the id of the only peer, a2. */
static cas_id_t start_boot(fixture_t *f)
{
	config_store_offer(f->store, CONFIG_HOSTS, CAS_STR(SAMPLE_HOSTS));
	config_boot_set_roster(f->boot, config_store_roster(f->store),
			       cas_id_of(CAS_STR("a1")));
	config_boot_tick(f->boot);
	return cas_id_of(CAS_STR("a2"));
}

/* Guards against a restarted daemon that serves with a stale table of the
 * platform while its peers have a newer one. */
static void test_boot_waits_for_newest_revision(void **state)
{
	fixture_t *f = *state;
	cas_id_t peer = start_boot(f);

	offer_table(f, 4);
	assert_int_equal(f->queries, 1);
	assert_false(config_boot_ready(f->boot));
	config_boot_answer(f->boot, peer, 6, 3);
	config_boot_tick(f->boot);
	config_boot_tick(f->boot);
	assert_int_equal(f->fetches, 1);
	assert_true(f->fetched_from == peer);
	assert_int_equal(f->fetched_revision, 6);
	assert_false(config_boot_ready(f->boot));
	offer_table(f, 6);
	assert_true(config_boot_ready(f->boot));
	assert_int_equal(config_boot_next_due(f->boot), INT64_MAX);
}

/* Guards against a table of the fleet that a daemon takes from a peer and does not
 * use until all peers have answered, and against one that only peers without a
 * table, or none, have confirmed. */
static void test_boot_fleet_table(void **state)
{
	fixture_t *f = *state;
	cas_id_t peer = start_boot(f);

	assert_false(config_boot_has_fleet_table(f->boot));
	offer_table(f, 4);
	assert_false(config_boot_has_fleet_table(f->boot));
	config_boot_answer(f->boot, peer, 0, 0);
	assert_false(config_boot_has_fleet_table(f->boot));
	config_boot_answer(f->boot, peer, 6, 0);
	assert_false(config_boot_has_fleet_table(f->boot));
	config_boot_answer(f->boot, peer, 4, 9);
	assert_true(config_boot_has_fleet_table(f->boot));
}

/* Guards against a daemon that waits forever for peers that do not answer, or
 * serves without a table. */
static void test_boot_wait_ends_after_two_seconds(void **state)
{
	fixture_t *f = *state;

	start_boot(f);
	for (int i = 0; i < 10; i++) {
		assert_false(config_boot_ready(f->boot));
		cas_clock_advance(f->clock, CONFIG_BOOT_RESEND_US);
		config_boot_tick(f->boot);
	}
	assert_int_equal(f->queries, 11);
	assert_false(config_boot_ready(f->boot));
	offer_table(f, 4);
	assert_true(config_boot_ready(f->boot));
}

/* Guards against a daemon whose process is paused during the wait, and which
 * then serves with a stale table before it reads the answers of its peers. */
static void test_boot_wait_excludes_a_pause(void **state)
{
	fixture_t *f = *state;
	cas_id_t peer = start_boot(f);

	offer_table(f, 4);
	cas_clock_advance(f->clock, 3 * CONFIG_BOOT_WAIT_US);
	config_boot_tick(f->boot);
	assert_false(config_boot_ready(f->boot));
	config_boot_answer(f->boot, peer, 6, 3);
	assert_false(config_boot_ready(f->boot));
	offer_table(f, 6);
	assert_true(config_boot_ready(f->boot));
}

/* Guards against a fetch that is not repeated when its message is lost. */
static void test_boot_repeats_a_fetch(void **state)
{
	fixture_t *f = *state;
	cas_id_t peer = start_boot(f);

	offer_table(f, 4);
	config_boot_answer(f->boot, peer, 6, 0);
	config_boot_tick(f->boot);
	cas_clock_advance(f->clock, CONFIG_BOOT_RESEND_US);
	config_boot_tick(f->boot);
	assert_int_equal(f->fetches, 2);
	assert_int_equal(f->queries, 1);
}

/* Guards against every daemon asking every other one when all restart, and
 * against losing answers when a new host list is set. */
static void test_boot_asks_a_limited_number_of_peers(void **state)
{
	fixture_t *f = *state;
	roster_host_t hosts[40] = { 0 };
	roster_t roster = { .revision = 1, .hosts = hosts, .host_count = 40 };

	for (size_t i = 0; i < roster.host_count; i++)
		hosts[i].id = i + 1;
	config_store_offer(f->store, CONFIG_HOSTS, CAS_STR(SAMPLE_HOSTS));
	offer_table(f, 4);
	config_boot_set_roster(f->boot, &roster, 7);
	config_boot_tick(f->boot);
	assert_int_equal(f->queries, CONFIG_BOOT_PEERS_MAX);
	for (cas_id_t id = 1; id <= roster.host_count; id++)
		config_boot_answer(f->boot, id, 4, 3);
	config_boot_set_roster(f->boot, &roster, 7);
	config_boot_tick(f->boot);
	assert_int_equal(f->queries, CONFIG_BOOT_PEERS_MAX);
	assert_true(config_boot_ready(f->boot));
}

/* Returns the sample table with original replaced. */
static table_t *read_table(TALLOC_CTX *ctx, const char *original,
			   const char *replacement)
{
	char *text = sample_replace(ctx, SAMPLE_TABLE, original, replacement);
	table_t *table = NULL;

	table_read(ctx, cas_str_from_cstr(text), config_faults_create(ctx),
		   &table);
	assert_non_null(table);
	return table;
}

/* Guards against changes that are not shown to operators. */
static void test_diff_lists_each_change(void **state)
{
	table_t *from = read_table(*state, "weight = 3", "weight = 3");
	table_t *to = read_table(*state, "rate = 2.5", "rate = 0.25");
	config_diff_t *diff = table_diff(*state, from, to);

	assert_int_equal(diff->change_count, 1);
	assert_string_equal(diff->changes[0].row.ptr, "customer \"acme\"");
	assert_string_equal(diff->changes[0].key.ptr, "rate");
	assert_string_equal(diff->changes[0].before.ptr, "2.5");
	assert_string_equal(diff->changes[0].after.ptr, "0.25");
	/* The content changed, but not the revision. */
	assert_int_equal(diff->warning_count, 1);
	to = read_table(*state, "customers = [\"acme\"]", "");
	diff = table_diff(*state, from, to);
	assert_int_equal(diff->change_count, 1);
	assert_string_equal(diff->changes[0].before.ptr, "acme");
	assert_string_equal(diff->changes[0].after.ptr, "every");
}

/* Guards against a missing warning of a change after which old and new shares
 * in force together add up to more than TABLE_SHARE_TOTAL, until every daemon
 * has the new table. */
static void
test_diff_warns_when_one_share_grows_and_another_shrinks(void **state)
{
	table_t *from = read_table(*state, "revision = 7", "revision = 6");
	table_t *grown = read_table(*state, "name = \"m1\"",
				    "name = \"m1\"\nshare = 600");
	table_t *equal_shares = read_table(*state, "name = \"m1\"",
					   "name = \"m1\"\nshare = 500");
	config_diff_t *diff = table_diff(*state, from, grown);

	assert_int_equal(diff->warning_count, 1);
	assert_non_null(strstr(diff->warnings[0].ptr,
			       "\"m1\" grows in the same step as that of "
			       "\"m2\" shrinks"));
	diff = table_diff(*state, from, equal_shares);
	assert_int_equal(diff->warning_count, 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, sample_teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_older_revision_is_stale),
		TEST(test_same_revision_with_different_content_conflicts),
		TEST(test_invalid_table_is_refused),
		TEST(test_embedded_hosts_have_their_own_revision),
		TEST(test_boot_waits_for_newest_revision),
		TEST(test_boot_fleet_table),
		TEST(test_boot_wait_ends_after_two_seconds),
		TEST(test_boot_wait_excludes_a_pause),
		TEST(test_boot_repeats_a_fetch),
		TEST(test_boot_asks_a_limited_number_of_peers),
		TEST(test_diff_lists_each_change),
		TEST(test_diff_warns_when_one_share_grows_and_another_shrinks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
