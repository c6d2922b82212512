/*
 * Fuzz target for the readers of tables, host lists and settings. Each accepted
 * table and host list must satisfy the invariants that other packages rely on.
 */
#include <stdlib.h>

#include "cassia/check.h"

#define MICRO_PER_TOKEN 1000000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Used instead of assert, which NDEBUG would turn off. */
#define REQUIRE(condition)                                                     \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

static void check_data_centres(const table_t *table)
{
	int64_t sum = 0;

	REQUIRE(table->data_centre_count > 0);
	for (size_t i = 0; i < table->data_centre_count; i++) {
		REQUIRE(table->data_centres[i].share_permille >= 0);
		REQUIRE(!i || table->data_centres[i - 1].id <
				      table->data_centres[i].id);
		sum += table->data_centres[i].share_permille;
	}
	REQUIRE(sum <= TABLE_SHARE_TOTAL);
}

static void check_customers(const table_t *table)
{
	for (size_t i = 0; i < table->customer_count; i++) {
		const table_customer_t *customer = &table->customers[i];

		REQUIRE(customer->weight >= 1);
		REQUIRE(customer->rate_micro >= 1);
		REQUIRE(customer->burst_micro >= MICRO_PER_TOKEN);
		REQUIRE(customer->importance >= 0);
		REQUIRE(customer->importance <= TABLE_IMPORTANCE_MAX);
		REQUIRE(table_find_customer(table, customer->id) == customer);
	}
}

static void check_routes(const table_t *table)
{
	for (size_t i = 0; i < table->route_count; i++) {
		const table_route_t *route = &table->routes[i];

		REQUIRE(table_find_service(table, route->service_id));
		REQUIRE(route->path_prefix.len && route->timeout_ms >= 1);
		REQUIRE(route->retries >= 0);
		for (size_t j = 0; j < route->customer_count; j++)
			REQUIRE(table_find_customer(table,
						    route->customers[j]));
		REQUIRE(table_match_route(table, route->host, route->method,
					  route->path_prefix));
	}
}

static void check_roster(const roster_t *roster)
{
	REQUIRE(roster->revision >= 1 && roster->host_count > 0);
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];

		REQUIRE(host->peer_port && host->control_port && host->id);
		REQUIRE(roster_find(roster, host->id) == host);
	}
}

static void check_table(const table_t *table)
{
	REQUIRE(table->revision >= 1);
	check_data_centres(table);
	check_customers(table);
	check_routes(table);
	for (size_t i = 0; i < table->key_count; i++)
		REQUIRE(table_find_customer(table, table->keys[i].customer_id));
	if (table->hosts)
		check_roster(table->hosts);
}

/* Returns the result of table_read, and checks that there are faults exactly
 * when the table is rejected. */
static int read_table_checked(TALLOC_CTX *ctx, cas_str_t text, table_t **table)
{
	config_faults_t *faults = config_faults_create(ctx);
	int rc = table_read(ctx, text, faults, table);

	REQUIRE(rc == 0 || rc == CONFIG_EFAULTS);
	REQUIRE((rc == 0) == (faults->count == 0));
	for (size_t i = 0; i < faults->count; i++)
		REQUIRE(config_fault_print(ctx, "t", &faults->items[i]));
	return rc;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	cas_str_t text = { (const char *)data, size };
	config_parsed_t any;
	roster_t *roster = NULL;
	table_t *table = NULL;
	table_t *table_again = NULL;
	int rc = read_table_checked(ctx, text, &table);

	REQUIRE(read_table_checked(ctx, text, &table_again) == rc);
	if (!rc) {
		REQUIRE(table->fingerprint == table_again->fingerprint);
		check_table(table);
	}
	if (!roster_read(ctx, text, config_faults_create(ctx), &roster))
		check_roster(roster);
	config_read_any(ctx, text, config_faults_create(ctx), &any);
	talloc_free(ctx);
	return 0;
}
