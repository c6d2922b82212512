/* Compares two tables or two host lists. */
#include "diff_internal.h"
#include "table_rows_internal.h"

/* A list that replaces this part of a data centre's hosts or more suspends
 * the quorum fence there. */
#define FENCE_PART 3

static cas_str_t print_customers(TALLOC_CTX *ctx, const table_t *table,
				 const table_route_t *route)
{
	char *text = talloc_strdup(ctx, route->customer_count ? "" : "every");

	for (size_t i = 0; i < route->customer_count; i++) {
		const table_customer_t *customer =
			table_find_customer(table, route->customers[i]);

		text = talloc_asprintf_append_buffer(
			text, "%s%.*s", i ? ", " : "",
			CAS_STR_ARG(customer->name));
	}
	return cas_str_from(text);
}

static void compare_route_customers(config_diff_t *diff, const table_t *from,
				    const table_t *to)
{
	TALLOC_CTX *ctx = talloc_new(diff);

	for (size_t i = 0; i < to->route_count; i++) {
		const table_route_t *after = &to->routes[i];
		const table_route_t *before = table_find_route(from, after->id);
		cas_str_t a;
		cas_str_t b;

		if (!before)
			continue;
		a = print_customers(ctx, from, before);
		b = print_customers(ctx, to, after);
		if (!cas_str_equal(a, b))
			diff_add(diff,
				 cas_str_from(talloc_asprintf(
					 ctx, "route \"%.*s\"",
					 CAS_STR_ARG(after->name))),
				 "customers", a, b);
	}
	talloc_free(ctx);
}

static const table_key_t *find_key(const table_t *table, const uint8_t *hash)
{
	for (size_t i = 0; i < table->key_count; i++)
		if (!memcmp(table->keys[i].hash, hash, TABLE_KEY_HASH_BYTES))
			return &table->keys[i];
	return NULL;
}

static void add_missing_keys(config_diff_t *diff, const table_t *of,
			     const table_t *in, bool removed)
{
	for (size_t i = 0; i < of->key_count; i++) {
		const table_key_t *key = &of->keys[i];
		const table_key_t *other = find_key(in, key->hash);
		const table_customer_t *customer =
			table_find_customer(of, key->customer_id);
		cas_str_t row = cas_str_from(talloc_asprintf(
			diff, "key \"%.*s\" of customer \"%.*s\"",
			CAS_STR_ARG(key->label), CAS_STR_ARG(customer->name)));
		cas_str_t none = CAS_STR("");
		cas_str_t text = CAS_STR("row");

		if (other && other->customer_id == key->customer_id)
			continue;
		diff_add(diff, row, "", removed ? text : none,
			 removed ? none : text);
	}
}

static int32_t share_of(const table_t *table, cas_id_t id)
{
	const table_data_centre_t *dc = table_find_data_centre(table, id);

	return dc ? dc->share_permille : 0;
}

/* Returns the name of a data centre whose share in a is below that in b. */
static cas_str_t find_smaller(const table_t *a, const table_t *b)
{
	for (size_t i = 0; i < b->data_centre_count; i++) {
		const table_data_centre_t *dc = &b->data_centres[i];

		if (share_of(a, dc->id) < dc->share_permille)
			return dc->name;
	}
	return CAS_STR("");
}

static void warn_shares(config_diff_t *diff, const table_t *from,
			const table_t *to)
{
	cas_str_t grows = find_smaller(from, to);
	cas_str_t shrinks = find_smaller(to, from);

	if (grows.len && shrinks.len)
		diff_warn(diff,
			  "the share of data centre \"%.*s\" grows in the same "
			  "step as that of \"%.*s\" shrinks: customers could "
			  "exceed their rate until every daemon has the table; "
			  "shrink first, and grow with a later revision",
			  CAS_STR_ARG(grows), CAS_STR_ARG(shrinks));
}

static void warn_table(config_diff_t *diff, const table_t *from,
		       const table_t *to)
{
	warn_shares(diff, from, to);
	if (to->revision <= from->revision &&
	    to->fingerprint != from->fingerprint)
		diff_warn(diff,
			  "revision %lld is not above %lld: daemons ignore or "
			  "refuse the table",
			  (long long)to->revision, (long long)from->revision);
	if (memcmp(from->salt, to->salt, sizeof(from->salt)) != 0)
		diff_warn(diff, "the salt changes: every key needs a new hash");
}

#define ROWS(kind, table, member)                                              \
	(&(diff_rows_t){ &(kind), (table)->member##s, (table)->member##_count })

static void compare_revision(config_diff_t *diff, const char *key,
			     int64_t before, int64_t after)
{
	char a[24];
	char b[24];

	if (before == after)
		return;
	snprintf(a, sizeof(a), "%lld", (long long)before);
	snprintf(b, sizeof(b), "%lld", (long long)after);
	diff_add(diff, CAS_STR(""), key, cas_str_from(a), cas_str_from(b));
}

static void warn_hosts(config_diff_t *diff, const roster_t *from,
		       const roster_t *to)
{
	size_t gone = 0;

	for (size_t i = 0; i < from->host_count; i++)
		gone += !roster_find(to, from->hosts[i].id);
	if (gone * FENCE_PART >= from->host_count && gone)
		diff_warn(diff,
			  "%zu of %zu hosts are replaced at once: quotas are "
			  "suspended for some seconds; change less than a "
			  "third at a time",
			  gone, from->host_count);
	if (to->revision <= from->revision &&
	    to->fingerprint != from->fingerprint)
		diff_warn(diff,
			  "host list revision %lld is not above %lld: daemons "
			  "ignore or refuse the list",
			  (long long)to->revision, (long long)from->revision);
}

static void compare_hosts(config_diff_t *diff, const roster_t *from,
			  const roster_t *to, const char *revision_key)
{
	compare_revision(diff, revision_key, from->revision, to->revision);
	diff_add_rows(diff, ROWS(roster_host_kind, from, host),
		      ROWS(roster_host_kind, to, host));
	warn_hosts(diff, from, to);
}

config_diff_t *table_diff(TALLOC_CTX *ctx, const table_t *from,
			  const table_t *to)
{
	config_diff_t *diff = talloc_zero(ctx, config_diff_t);

	if (!diff)
		return NULL;
	compare_revision(diff, "revision", from->revision, to->revision);
	diff_add_rows(diff, ROWS(table_data_centre_kind, from, data_centre),
		      ROWS(table_data_centre_kind, to, data_centre));
	diff_add_rows(diff, ROWS(table_service_kind, from, service),
		      ROWS(table_service_kind, to, service));
	diff_add_rows(diff, ROWS(table_route_kind, from, route),
		      ROWS(table_route_kind, to, route));
	compare_route_customers(diff, from, to);
	diff_add_rows(diff, ROWS(table_customer_kind, from, customer),
		      ROWS(table_customer_kind, to, customer));
	add_missing_keys(diff, from, to, true);
	add_missing_keys(diff, to, from, false);
	warn_table(diff, from, to);
	if (from->hosts && to->hosts)
		compare_hosts(diff, from->hosts, to->hosts, "hosts_revision");
	return diff;
}

config_diff_t *roster_diff(TALLOC_CTX *ctx, const roster_t *from,
			   const roster_t *to)
{
	config_diff_t *diff = talloc_zero(ctx, config_diff_t);

	if (diff)
		compare_hosts(diff, from, to, "revision");
	return diff;
}
