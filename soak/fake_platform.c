/* Fake platform: the revisions of table and roster, and when each host reads
 * them. */
#include "fake_platform.h"

#include <stdio.h>
#include <stdlib.h>

#define REVISIONS_MAX 1024
#define LATE_READER_ONE_IN 6 /* chance that a host reads late */
/* Additional delay of a late host, at most; applies to rosters only. */
#define LATE_READ_US (30 * CAS_USEC_PER_SEC)

typedef struct platform {
	fake_customer_t *customers;
	size_t customer_count;
	table_t *tables[REVISIONS_MAX]; /* by revision */
	roster_t *rosters[REVISIONS_MAX];
	int64_t table_revision; /* newest */
	int64_t roster_revision; /* newest */
	fake_listing_t *listings; /* by host index */
	/* True time at which each host reads the newest revision. */
	int64_t *table_read_due_us;
	int64_t *roster_read_due_us;
} platform_t;

static size_t part_index;

static platform_t *platform_of(fleet_t *fleet)
{
	return fleet->part_shared[part_index];
}

static void add_data_centres(fleet_t *fleet, table_t *table)
{
	size_t count = fleet->config.dcs;
	size_t regions = fleet->config.regions;

	table->data_centre_count = count;
	table->data_centres = sim_zero_array(table, table_data_centre_t, count);
	for (size_t i = 0; i < count; i++) {
		table_data_centre_t *dc = &table->data_centres[i];

		dc->id = fleet_dc_id(i);
		dc->region_id = 1 + i % regions;
		dc->share_permille =
			(int32_t)(TABLE_SHARE_TOTAL * (i + 1) / count -
				  TABLE_SHARE_TOTAL * i / count);
	}
}

static void publish_table(fleet_t *fleet)
{
	platform_t *platform = platform_of(fleet);
	table_t *table = talloc_zero(platform, table_t);

	if (!table || platform->table_revision + 1 == REVISIONS_MAX)
		abort();
	table->revision = ++platform->table_revision;
	platform->tables[table->revision] = table;
	add_data_centres(fleet, table);
	table->customer_count = platform->customer_count;
	table->customers = sim_zero_array(table, table_customer_t,
					  table->customer_count + 1);
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

static void publish_roster(fleet_t *fleet)
{
	platform_t *platform = platform_of(fleet);
	roster_t *roster = talloc_zero(platform, roster_t);

	if (!roster || platform->roster_revision + 1 == REVISIONS_MAX)
		abort();
	roster->revision = ++platform->roster_revision;
	platform->rosters[roster->revision] = roster;
	roster->hosts =
		sim_zero_array(roster, roster_host_t, fleet->host_count);
	for (size_t i = 0; i < fleet->host_count; i++) {
		const fleet_host_t *host = fleet->hosts_by_id[i];
		fake_listing_t listing = platform->listings[host->index];

		if (listing == FAKE_LISTING_ABSENT)
			continue;
		roster->hosts[roster->host_count++] = (roster_host_t){
			.id = host->id,
			.data_centre_id = fleet_dc_id(host->dc),
			.leaving = listing == FAKE_LISTING_LEAVING,
		};
	}
}

/* Draws the time at which each host reads the newest revision. */
static void schedule_reads(fleet_t *fleet, int64_t *read_due_us,
			   int64_t spread_us, int64_t late_us)
{
	cas_rng_t *rng = sim_rng(fleet->sim);

	for (size_t i = 0; i < fleet->host_count; i++) {
		int64_t max_delay_us = spread_us;

		if (cas_rng_below(rng, LATE_READER_ONE_IN) == 0)
			max_delay_us += late_us;
		read_due_us[i] = sim_now(fleet->sim) +
				 cas_rng_below(rng, (uint32_t)max_delay_us + 1);
	}
}

/* Lets the host read what is due. An isolated host cannot reach the
 * platform. */
static void tick(fleet_host_t *host)
{
	platform_t *platform = platform_of(host->fleet);
	int64_t now = sim_now(host->fleet->sim);
	const table_t *table = host->table;
	const roster_t *roster = host->roster;

	if (host->fleet->isolated[host->index])
		return;
	if (now >= platform->table_read_due_us[host->index])
		table = platform->tables[platform->table_revision];
	if (now >= platform->roster_read_due_us[host->index])
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
	platform_t *platform = sim_zero(fleet, platform_t);

	part_index = fleet_add_part(fleet, &platform_part);
	fleet->part_shared[part_index] = platform;
	platform->customers = customers;
	platform->customer_count = count;
	platform->listings =
		sim_zero_array(platform, fake_listing_t, fleet->host_count);
	platform->table_read_due_us =
		sim_zero_array(platform, int64_t, fleet->host_count);
	platform->roster_read_due_us =
		sim_zero_array(platform, int64_t, fleet->host_count);
	for (size_t i = 0; i < count; i++)
		customers[i].id =
			cas_id_of(cas_str_from_cstr(customers[i].name));
	publish_table(fleet);
	publish_roster(fleet);
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
	publish_table(fleet);
	schedule_reads(fleet, platform_of(fleet)->table_read_due_us, spread_us,
		       0);
}

void fake_platform_set_listing(fleet_t *fleet, size_t host,
			       fake_listing_t listing)
{
	platform_of(fleet)->listings[host] = listing;
}

fake_listing_t fake_platform_listing(fleet_t *fleet, size_t host)
{
	return platform_of(fleet)->listings[host];
}

void fake_platform_change_roster(fleet_t *fleet, int64_t spread_us)
{
	publish_roster(fleet);
	schedule_reads(fleet, platform_of(fleet)->roster_read_due_us, spread_us,
		       LATE_READ_US);
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

static size_t count_hosts(const roster_t *roster, cas_id_t dc)
{
	size_t count = 0;

	for (size_t i = 0; i < roster->host_count; i++)
		count += roster->hosts[i].data_centre_id == dc;
	return count;
}

bool fake_platform_replaces_third(const roster_t *old, const roster_t *fresh,
				  cas_id_t dc)
{
	size_t kept = 0;
	size_t larger = count_hosts(old, dc);

	for (size_t i = 0; i < old->host_count; i++) {
		if (old->hosts[i].data_centre_id != dc)
			continue;
		for (size_t j = 0; j < fresh->host_count; j++)
			kept += old->hosts[i].id == fresh->hosts[j].id;
	}
	if (count_hosts(fresh, dc) > larger)
		larger = count_hosts(fresh, dc);
	return (larger - kept) * 3 >= larger;
}
