/* Tests of the table and host list readers. */
#include "cassia/test.h"

#include "cassia/table.h"
#include "sample_internal.h"

static table_t *read_table(TALLOC_CTX *ctx, const char *text)
{
	config_faults_t *faults = config_faults_create(ctx);
	table_t *table = NULL;
	int rc = table_read(ctx, cas_str_from(text), faults, &table);

	for (size_t i = 0; i < faults->count; i++)
		print_message("%s\n",
			      config_fault_print(ctx, "t", &faults->items[i]));
	assert_int_equal(rc, 0);
	return table;
}

/* Guards against values that are lost or scaled wrongly on the way in. */
static void test_reads_every_value(void **state)
{
	table_t *table = read_table(*state, SAMPLE_TABLE);
	const table_customer_t *customer =
		table_find_customer(table, cas_id_of(CAS_STR("acme")));
	const table_route_t *route = &table->routes[0];

	assert_int_equal(table->revision, 7);
	assert_int_equal(table->data_centre_count, 2);
	assert_int_equal(table->data_centres[0].share_permille, 500);
	assert_int_equal(customer->rate_micro, 2500000);
	assert_int_equal(customer->burst_micro, 10000000);
	assert_int_equal(customer->weight, 3);
	assert_int_equal(route->importance, 9);
	assert_int_equal(route->customer_count, 1);
	assert_true(route->customers[0] == customer->id);
	assert_int_equal(table->key_count, 2);
	assert_int_equal(table->keys[0].hash[0], 0x01);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_reads_every_value,
						sample_setup, sample_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
