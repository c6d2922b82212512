/*
 * Walks the way of a table from the platform to every daemon of two regions, with
 * the size of the document and the speed of the link between the regions as
 * parameters. The platform is in the first region. What the daemons of the second
 * one get from the first crosses the link, one transfer after the other.
 */
#include "cassia/test.h"

#include "cassia/config_notices.h"
#include "network.h"

#define SEC CAS_USEC_PER_SEC
#define DATA_CENTRES 5
#define FIRST_REGION_DATA_CENTRES 3
#define WATCHERS 2 /* of a region, in its first data centre */
/* Half of 60 Mbit/s, and what the link of a host carries, in bytes a second. */
#define REGION_LINK 3750000
#define HOST_LINK 25000000
/* The longest pause of a watch. */
#define PAUSE_US (600 * CAS_USEC_PER_MSEC)
/* What a fetch takes beside its bytes. */
#define FETCH_US (20 * CAS_USEC_PER_MSEC)
#define LIMIT_US (3 * SEC)

typedef struct site {
	network_t *net;
	config_notices_t **notices; /* by node index */
	int64_t *uplink_free_us; /* by node index */
	int64_t region_link_free_us;
	int64_t document_bytes;
	size_t link_copies; /* that crossed the link between the regions */
} site_t;

/* What the callbacks of a node's notices get. */
typedef struct member {
	site_t *site;
	node_t *node;
} member_t;

/* The site of the running test. */
static site_t *site_in_use;

static int region_of(const node_t *node)
{
	const network_t *net = node->net;
	size_t data_centre = node->index * DATA_CENTRES / net->count;

	return data_centre < FIRST_REGION_DATA_CENTRES ? 0 : 1;
}

static bool is_watcher(const node_t *node)
{
	const network_t *net = node->net;
	size_t first = region_of(node) ? FIRST_REGION_DATA_CENTRES *
						 net->count / DATA_CENTRES
				       : 0;

	while (region_of(&net->nodes[first]) != region_of(node))
		first++;
	return node->index >= first && node->index < first + WATCHERS;
}

/* Returns when a link that is free at *free_us has carried bytes. */
static int64_t carry(int64_t *free_us, int64_t now, int64_t bytes,
		     int64_t bytes_per_s)
{
	if (*free_us < now)
		*free_us = now;
	*free_us += bytes * SEC / bytes_per_s;
	return *free_us;
}

static bool lacks(void *private, config_document_t document, int64_t revision)
{
	const member_t *member = private;

	return document == CONFIG_TABLE &&
	       member->node->table_revision < revision;
}

static bool source_delivers(void *private)
{
	return is_watcher(((member_t *)private)->node);
}

static bool in_own_region(void *private, cas_id_t host)
{
	const node_t *node = ((member_t *)private)->node;

	return region_of(node) == region_of(&node->net->nodes[host - 1]);
}

static int64_t size(void *private, config_document_t document)
{
	(void)document;
	return ((member_t *)private)->site->document_bytes;
}

static int64_t delivery_delay(void *private)
{
	(void)private;
	return 0;
}

static void check_source(void *private)
{
	(void)private;
}

/* Keys, which are random, are half as long in a compressed document. */
static void fetch(void *private, config_document_t document, cas_id_t host)
{
	member_t *member = private;
	site_t *site = member->site;
	node_t *node = member->node;
	int64_t now = cas_clock_now(site->net->clock);
	int64_t bytes = site->document_bytes / 2;

	(void)document;
	if (node->fetch_end_us)
		return;
	node->fetch_from = host - 1;
	node->fetch_end_us = FETCH_US + carry(&site->uplink_free_us[host - 1],
					      now, bytes, HOST_LINK);
	if (in_own_region(private, host))
		return;
	site->link_copies++;
	node->fetch_end_us +=
		carry(&site->region_link_free_us, now, bytes, REGION_LINK) -
		now;
}

static const config_notices_ops_t notices_ops = {
	.lacks = lacks,
	.source_delivers = source_delivers,
	.in_own_region = in_own_region,
	.size = size,
	.delivery_delay = delivery_delay,
	.check_source = check_source,
	.fetch = fetch,
};

static void on_newer(node_t *node, int64_t revision, cas_id_t host)
{
	config_notices_add(site_in_use->notices[node->index], CONFIG_TABLE,
			   revision, host);
}

static site_t *create_site(size_t count, int64_t document_bytes)
{
	network_t *net = net_create(count, DATA_CENTRES, 1);
	site_t *site = talloc_zero(net, site_t);

	site->net = net;
	site->document_bytes = document_bytes;
	site->notices = talloc_array(site, config_notices_t *, count);
	site->uplink_free_us = talloc_zero_array(site, int64_t, count);
	for (size_t i = 0; i < count; i++) {
		member_t *member = talloc(site, member_t);

		*member = (member_t){ site, &net->nodes[i] };
		site->notices[i] = config_notices_create(site, net->clock,
							 net->nodes[i].rng,
							 &notices_ops, member);
	}
	net->on_newer = on_newer;
	site_in_use = site;
	return site;
}

/* Makes the watchers read a new table, which the store sends in a form that is a
 * third longer. Returns when they have it, by region. */
static void read_table(site_t *site, int64_t read_us[2])
{
	int64_t now = cas_clock_now(site->net->clock) + PAUSE_US;
	int64_t bytes = site->document_bytes * 4 / 3;

	read_us[0] = now + bytes * SEC / HOST_LINK;
	read_us[1] = carry(&site->region_link_free_us, now, WATCHERS * bytes,
			   REGION_LINK);
	site->link_copies += WATCHERS;
}

static size_t count_with_table(const network_t *net)
{
	size_t count = 0;

	for (size_t i = 0; i < net->count; i++)
		count += net->nodes[i].table_revision > 0;
	return count;
}

static void step(site_t *site, const int64_t read_us[2])
{
	int64_t now;

	net_step(site->net);
	now = cas_clock_now(site->net->clock);
	for (size_t i = 0; i < site->net->count; i++) {
		node_t *node = &site->net->nodes[i];

		if (is_watcher(node) && now >= read_us[region_of(node)])
			net_set_table(node, 1);
		if (now / NET_STEP_US % 100 == 0)
			config_notices_tick(site->notices[i]);
	}
}

/* Guards against a table that is in force too late because of its size, the number
 * of daemons and the speed of the link together, each of which alone is harmless;
 * and against copies that cross the link for each daemon. */
static void test_way_of_a_table(void **state)
{
	static const size_t counts[] = { 25, 80, 680 };
	static const int64_t sizes[] = { 10000, 100000, 1024 * 1024 };

	(void)state;
	for (size_t i = 0; i < 9; i++) {
		site_t *site = create_site(counts[i / 3], sizes[i % 3]);
		network_t *net = site->net;
		int64_t read_us[2];
		int64_t start_us;

		net_start_all(net);
		net_run(net, 5 * SEC);
		start_us = cas_clock_now(net->clock);
		read_table(site, read_us);
		while (count_with_table(net) < net->count &&
		       cas_clock_now(net->clock) - start_us < 2 * LIMIT_US)
			step(site, read_us);
		print_message(
			"%zu daemons, %lld bytes: %lld ms, %zu copies\n",
			net->count, (long long)sizes[i % 3],
			(long long)(cas_clock_now(net->clock) - start_us) /
				1000,
			site->link_copies);
		assert_true(cas_clock_now(net->clock) - start_us <= LIMIT_US);
		/* The read and the copy of each watcher of the second region. */
		assert_true(site->link_copies <= 2 * WATCHERS);
		net_destroy(net);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_way_of_a_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
