/* Tests of the choice of the data centre that reads for its region. */
#include "cassia/test.h"

#include "cassia/watching.h"

#define DATA_CENTRES 5

/* Data centres 1 to 3 are in the region 100, the others in 200. Data centre i has
 * the hosts 10 * i and 10 * i + 1. */
typedef struct site {
	table_data_centre_t data_centres[DATA_CENTRES];
	roster_host_t hosts[2 * DATA_CENTRES];
	table_t table;
	roster_t roster;
} site_t;

static void make_site(site_t *site)
{
	*site = (site_t){ 0 };
	for (size_t i = 0; i < DATA_CENTRES; i++) {
		site->data_centres[i].id = i + 1;
		site->data_centres[i].region_id = i < 3 ? 100 : 200;
	}
	for (size_t i = 0; i < 2 * DATA_CENTRES; i++) {
		site->hosts[i].id = 10 * (i / 2 + 1) + i % 2;
		site->hosts[i].data_centre_id = i / 2 + 1;
	}
	site->table.data_centres = site->data_centres;
	site->table.data_centre_count = DATA_CENTRES;
	site->roster.hosts = site->hosts;
	site->roster.host_count = 2 * DATA_CENTRES;
}

static void set_leaving(site_t *site, cas_id_t data_centre)
{
	for (size_t i = 0; i < site->roster.host_count; i++)
		if (site->hosts[i].data_centre_id == data_centre)
			site->hosts[i].leaving = true;
}

/* Guards against two data centres of a region that both read, or none. */
static void test_one_for_each_region(void **state)
{
	site_t site;
	cas_id_t first;
	cas_id_t second;

	(void)state;
	make_site(&site);
	first = watching_data_centre(&site.table, &site.roster, 1);
	second = watching_data_centre(&site.table, &site.roster, 4);
	assert_in_range(first, 1, 3);
	assert_in_range(second, 4, 5);
	for (cas_id_t id = 1; id <= DATA_CENTRES; id++)
		assert_int_equal(
			watching_data_centre(&site.table, &site.roster, id),
			id <= 3 ? first : second);
}

/* Guards against a data centre without hosts, or whose hosts all leave, that is to
 * read for the others. */
static void test_hosts_that_leave(void **state)
{
	site_t site;
	cas_id_t first;
	cas_id_t next;

	(void)state;
	make_site(&site);
	first = watching_data_centre(&site.table, &site.roster, 1);
	set_leaving(&site, first);
	next = watching_data_centre(&site.table, &site.roster, 1);
	assert_int_not_equal(next, first);
	assert_in_range(next, 1, 3);
	for (cas_id_t id = 1; id <= 3; id++)
		set_leaving(&site, id);
	assert_int_equal(watching_data_centre(&site.table, &site.roster, 2), 2);
}

/* Guards against a data centre that is not in the table and reads nothing. */
static void test_unknown_data_centre(void **state)
{
	site_t site;

	(void)state;
	make_site(&site);
	assert_int_equal(watching_data_centre(&site.table, &site.roster, 9), 9);
}

/* Guards against a daemon that nobody tells of changes, because the upstream of its
 * host has ended, and that does not read the platform either; and against one that
 * starts and reads a wide table that it has from a seed. */
static void test_unlisted_host(void **state)
{
	site_t site;
	watching_t watching;

	(void)state;
	make_site(&site);
	watching = (watching_t){ &site.table, &site.roster, 99, 1, 0 };
	assert_false(watching_reads(&watching));
	watching.running_us = WATCHING_LISTING_WAIT_US;
	assert_true(watching_reads(&watching));
	watching.running_us = 0;
	watching.table = NULL;
	assert_true(watching_reads(&watching));
	watching.roster = NULL;
	assert_true(watching_reads(&watching));
}

/* Guards against listed hosts of which two data centres of a region read. */
static void test_listed_hosts(void **state)
{
	size_t readers = 0;
	site_t site;

	(void)state;
	make_site(&site);
	for (cas_id_t id = 1; id <= DATA_CENTRES; id++) {
		const watching_t watching = { &site.table, &site.roster,
					      10 * id, id, 0 };

		readers += watching_reads(&watching);
	}
	assert_int_equal(readers, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_for_each_region),
		cmocka_unit_test(test_hosts_that_leave),
		cmocka_unit_test(test_unknown_data_centre),
		cmocka_unit_test(test_unlisted_host),
		cmocka_unit_test(test_listed_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
