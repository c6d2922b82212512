/* Tables and rosters by revision, and who gets them when. */
#include "fake_platform.h"

#include <stdio.h>
#include <stdlib.h>

#define REVISIONS_MAX 1024
#define STALE_ONE_IN 6 /* hosts that learn of a roster late */
#define STALE_TIME (30 * CAS_USEC_PER_SEC)

typedef struct platform {
	fake_customer_t *customers;
	size_t customer_count;
	table_t *tables[REVISIONS_MAX];
	roster_t *rosters[REVISIONS_MAX];
	int64_t table_revision;
	int64_t roster_revision;
	fake_listing_t *listing; /* by host index */
	int64_t *table_due_us; /* when the host reads it, true time */
	int64_t *roster_due_us;
} platform_t;

static size_t part_index;

static platform_t *platform_of(fleet_t *fleet)
{
	return fleet->shared[part_index];
}

static void make_data_centres(fleet_t *fleet, table_t *table)
{
	size_t count = fleet->config.dcs;
	size_t regions = fleet->config.regions;

	table->data_centre_count = count;
	table->data_centres =
		talloc_zero_array(table, table_data_centre_t, count);
	if (!table->data_centres)
		abort();
	for (size_t i = 0; i < count; i++) {
		table_data_centre_t *dc = &table->data_centres[i];

		dc->id = fleet_dc_id(i);
		dc->region_id = 1 + i % regions;
		dc->share_permille =
			(int32_t)(TABLE_SHARE_WHOLE * (i + 1) / count -
				  TABLE_SHARE_WHOLE * i / count);
	}
}

static void make_table(fleet_t *fleet)
{
	platform_t *platform = platform_of(fleet);
	table_t *table = talloc_zero(platform, table_t);

	if (!table || platform->table_revision + 1 == REVISIONS_MAX)
		abort();
	table->revision = ++platform->table_revision;
	platform->tables[table->revision] = table;
	make_data_centres(fleet, table);
	table->customer_count = platform->customer_count;
	table->customers = talloc_zero_array(table, table_customer_t,
					     table->customer_count + 1);
	if (!table->customers)
		abort();
	for (size_t i = 0; i < table->customer_count; i++) {
		const fake_customer_t *customer = &platform->customers[i];

		table->customers[i] = (table_customer_t){
			.id = customer->id,
			.weight = 1,
			.rate_micro = customer->rate * 1000000,
			.burst_micro = customer->burst * 1000000,
		};
	}
}

static void make_roster(fleet_t *fleet)
{
	platform_t *platform = platform_of(fleet);
	roster_t *roster = talloc_zero(platform, roster_t);

	if (!roster || platform->roster_revision + 1 == REVISIONS_MAX)
		abort();
	roster->revision = ++platform->roster_revision;
	platform->rosters[roster->revision] = roster;
	roster->hosts =
		talloc_zero_array(roster, roster_host_t, fleet->host_count);
	if (!roster->hosts)
		abort();
	for (size_t i = 0; i < fleet->host_count; i++) {
		const fleet_host_t *host = fleet->by_id[i];
		fake_listing_t listing = platform->listing[host->index];

		if (listing == FAKE_ABSENT)
			continue;
		roster->hosts[roster->host_count++] = (roster_host_t){
			.id = host->id,
			.data_centre_id = fleet_dc_id(host->dc),
			.leaving = listing == FAKE_LEAVING,
		};
	}
}

static void spread(fleet_t *fleet, int64_t *due_us, int64_t spread_us,
		   int64_t stale_us)
{
	cas_rng_t *rng = sim_rng(fleet->sim);

	for (size_t i = 0; i < fleet->host_count; i++) {
		int64_t most = spread_us;

		if (cas_rng_below(rng, STALE_ONE_IN) == 0)
			most += stale_us;
		due_us[i] = sim_now(fleet->sim) +
			    cas_rng_below(rng, (uint32_t)most + 1);
	}
}

/* An isolated host does not reach the service either. */
static void tick(fleet_host_t *host)
{
	platform_t *platform = platform_of(host->fleet);
	int64_t now = sim_now(host->fleet->sim);
	const table_t *table = host->table;
	const roster_t *roster = host->roster;

	if (host->fleet->isolated[host->index])
		return;
	if (now >= platform->table_due_us[host->index])
		table = platform->tables[platform->table_revision];
	if (now >= platform->roster_due_us[host->index])
		roster = platform->rosters[platform->roster_revision];
	if (table != host->table || roster != host->roster)
		fleet_set_view(host, table, roster);
}

static const fleet_part_t platform_part = {
	.name = "platform",
	.tick = tick,
};

size_t fake_platform_add(fleet_t *fleet, fake_customer_t *customers,
			 size_t count)
{
	platform_t *platform = talloc_zero(fleet, platform_t);

	if (!platform)
		abort();
	part_index = fleet_add_part(fleet, &platform_part);
	fleet->shared[part_index] = platform;
	platform->customers = customers;
	platform->customer_count = count;
	platform->listing =
		talloc_zero_array(platform, fake_listing_t, fleet->host_count);
	platform->table_due_us =
		talloc_zero_array(platform, int64_t, fleet->host_count);
	platform->roster_due_us =
		talloc_zero_array(platform, int64_t, fleet->host_count);
	if (!platform->listing || !platform->table_due_us ||
	    !platform->roster_due_us)
		abort();
	for (size_t i = 0; i < count; i++)
		customers[i].id = cas_id_of(cas_str_from(customers[i].name));
	make_table(fleet);
	make_roster(fleet);
	return part_index;
}

void fake_platform_start(fleet_host_t *host)
{
	platform_t *platform = platform_of(host->fleet);

	fleet_start_host(host, platform->tables[platform->table_revision],
			 platform->rosters[platform->roster_revision]);
}

void fake_platform_change_table(fleet_t *fleet, int64_t spread_us)
{
	make_table(fleet);
	spread(fleet, platform_of(fleet)->table_due_us, spread_us, 0);
}

void fake_platform_list(fleet_t *fleet, size_t host, fake_listing_t listing)
{
	platform_of(fleet)->listing[host] = listing;
}

fake_listing_t fake_platform_listing(fleet_t *fleet, size_t host)
{
	return platform_of(fleet)->listing[host];
}

void fake_platform_change_roster(fleet_t *fleet, int64_t spread_us)
{
	make_roster(fleet);
	spread(fleet, platform_of(fleet)->roster_due_us, spread_us, STALE_TIME);
}

const roster_t *fake_platform_roster(fleet_t *fleet, int64_t revision)
{
	if (revision <= 0 || revision >= REVISIONS_MAX)
		return NULL;
	return platform_of(fleet)->rosters[revision];
}

const table_t *fake_platform_table(fleet_t *fleet)
{
	platform_t *platform = platform_of(fleet);

	return platform->tables[platform->table_revision];
}

static size_t hosts_of(const roster_t *roster, cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++)
		count += roster->hosts[i].data_centre_id == dc;
	return count;
}

bool fake_platform_replaced(const roster_t *old, const roster_t *fresh,
			    cas_id_t dc)
{
	size_t shared = 0;
	size_t most = hosts_of(old, dc);

	for (size_t i = 0; i < old->host_count; i++) {
		if (old->hosts[i].data_centre_id != dc)
			continue;
		for (size_t j = 0; j < fresh->host_count; j++)
			shared += old->hosts[i].id == fresh->hosts[j].id;
	}
	if (hosts_of(fresh, dc) > most)
		most = hosts_of(fresh, dc);
	return (most - shared) * 3 >= most;
}
