/* Compares two tables or two host lists, and warns of unsafe changes. */
#include "diff_internal.h"
#include "table_rows_internal.h"

/* A host list that replaces a third of the hosts of a data centre or more
 * suspends the quorum fence there. warn_hosts compares with a third of all
 * hosts. */
#define FENCE_DIVISOR 3

/* Returns the names of the customers that a route is limited to, or "every". */
static cas_str_t format_customers(TALLOC_CTX *ctx, const table_t *table,
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
	return cas_str_from_cstr(text);
}

/* Adds the changed lists of customers of routes that are in both tables. */
static void compare_route_customers(config_diff_t *diff, const table_t *from,
				    const table_t *to)
{
	TALLOC_CTX *ctx = talloc_new(diff);

	for (size_t i = 0; i < to->route_count; i++) {
		const table_route_t *after = &to->routes[i];
		const table_route_t *before = table_find_route(from, after->id);
		cas_str_t old_text;
		cas_str_t new_text;

		if (!before)
			continue;
		old_text = format_customers(ctx, from, before);
		new_text = format_customers(ctx, to, after);
		if (!cas_str_equal(old_text, new_text))
			diff_add(diff,
				 cas_str_from_cstr(talloc_asprintf(
					 ctx, "route \"%.*s\"",
					 CAS_STR_ARG(after->name))),
				 "customers", old_text, new_text);
	}
	talloc_free(ctx);
}

/* Returns the key with this hash, or NULL. */
static const table_key_t *find_key(const table_t *table, const uint8_t *hash)
{
	for (size_t i = 0; i < table->key_count; i++)
		if (!memcmp(table->keys[i].hash, hash, TABLE_KEY_HASH_BYTES))
			return &table->keys[i];
	return NULL;
}

/* Adds the keys of table that other_table does not have for the same customer:
 * as removed rows, or as added ones. */
static void add_missing_keys(config_diff_t *diff, const table_t *table,
			     const table_t *other_table, bool removed)
{
	for (size_t i = 0; i < table->key_count; i++) {
		const table_key_t *key = &table->keys[i];
		const table_key_t *other = find_key(other_table, key->hash);
		const table_customer_t *customer =
			table_find_customer(table, key->customer_id);
		cas_str_t row = cas_str_from_cstr(talloc_asprintf(
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

/* Returns the share of a data centre, 0 if it is not in the table. */
static int32_t share_of(const table_t *table, cas_id_t id)
{
	const table_data_centre_t *dc = table_find_data_centre(table, id);

	return dc ? dc->share_permille : 0;
}

/* Returns the name of a data centre whose share is larger in the table after,
 * or an empty text. */
static cas_str_t find_grown(const table_t *before, const table_t *after)
{
	for (size_t i = 0; i < after->data_centre_count; i++) {
		const table_data_centre_t *dc = &after->data_centres[i];

		if (share_of(before, dc->id) < dc->share_permille)
			return dc->name;
	}
	return CAS_STR("");
}

/* Daemons do not get a new table at the same time. If one share grows while
 * another shrinks, the old and new shares in force together can add up to more
 * than TABLE_SHARE_TOTAL. */
static void warn_shares(config_diff_t *diff, const table_t *from,
			const table_t *to)
{
	cas_str_t growing = find_grown(from, to);
	cas_str_t shrinking = find_grown(to, from);

	if (growing.len && shrinking.len)
		diff_warn(diff,
			  "the share of data centre \"%.*s\" grows in the same "
			  "step as that of \"%.*s\" shrinks: customers could "
			  "exceed their rate until every daemon has the table; "
			  "shrink first, and grow with a later revision",
			  CAS_STR_ARG(growing), CAS_STR_ARG(shrinking));
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

/* All rows of a table or host list in the array member##s. */
#define ROWS(schema, table, member)                                            \
	(&(diff_rows_t){ &(schema), (table)->member##s,                        \
			 (table)->member##_count })

static void compare_revision(config_diff_t *diff, const char *key,
			     int64_t before, int64_t after)
{
	char old_text[24];
	char new_text[24];

	if (before == after)
		return;
	snprintf(old_text, sizeof(old_text), "%lld", (long long)before);
	snprintf(new_text, sizeof(new_text), "%lld", (long long)after);
	diff_add(diff, CAS_STR(""), key, cas_str_from_cstr(old_text),
		 cas_str_from_cstr(new_text));
}

static void warn_hosts(config_diff_t *diff, const roster_t *from,
		       const roster_t *to)
{
	size_t removed = 0;

	for (size_t i = 0; i < from->host_count; i++)
		removed += !roster_find(to, from->hosts[i].id);
	if (removed * FENCE_DIVISOR >= from->host_count && removed)
		diff_warn(diff,
			  "%zu of %zu hosts are replaced at once: quotas are "
			  "suspended for some seconds; change less than a "
			  "third at a time",
			  removed, from->host_count);
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
	diff_add_rows(diff, ROWS(roster_host_schema, from, host),
		      ROWS(roster_host_schema, to, host));
	warn_hosts(diff, from, to);
}

config_diff_t *table_diff(TALLOC_CTX *ctx, const table_t *from,
			  const table_t *to)
{
	config_diff_t *diff = talloc_zero(ctx, config_diff_t);

	if (!diff)
		return NULL;
	compare_revision(diff, "revision", from->revision, to->revision);
	diff_add_rows(diff, ROWS(table_data_centre_schema, from, data_centre),
		      ROWS(table_data_centre_schema, to, data_centre));
	diff_add_rows(diff, ROWS(table_service_schema, from, service),
		      ROWS(table_service_schema, to, service));
	diff_add_rows(diff, ROWS(table_route_schema, from, route),
		      ROWS(table_route_schema, to, route));
	compare_route_customers(diff, from, to);
	diff_add_rows(diff, ROWS(table_customer_schema, from, customer),
		      ROWS(table_customer_schema, to, customer));
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
