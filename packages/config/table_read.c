/* Reads a table from TOML and checks it, including references between rows. */
#include <stdlib.h>

#include "table_rows_internal.h"

/* State of reading one table. */
typedef struct table_reader {
	reader_t base;
	const toml_node_t *root; /* the whole document */
	table_root_t fields; /* top level of the document */
	table_t *table; /* result, filled in step by step */
} table_reader_t;

/* Compares rows by id; every row structure starts with it. */
static int id_compare(const void *left, const void *right)
{
	const cas_id_t *a = left;
	const cas_id_t *b = right;

	return (*a > *b) - (*a < *b);
}

static void sort_by_id(void *rows, size_t count, size_t size)
{
	if (count > 1)
		qsort(rows, count, size, id_compare);
}

/*
 * Reads the rows of a kind whose structure starts with id and name, checks that
 * the names are unique, and sorts by id. Every row is initialized with
 * defaults. Returns the array and sets *count, or returns NULL when there are
 * no rows or out of memory.
 */
static void *read_named_rows(table_reader_t *reader, const row_schema_t *schema,
			     const toml_node_t *rows, const void *defaults,
			     size_t *count)
{
	size_t row_count = document_row_count(&reader->base, rows);
	char *items =
		reader_alloc_array(&reader->base, schema->size, row_count);
	unique_entry_t *name_entries = reader_alloc_array(
		&reader->base, sizeof(unique_entry_t), row_count);

	if (reader->base.rc)
		return NULL;
	for (size_t i = 0; i < row_count; i++) {
		/* Stands for every kind of row; see the assertion below. */
		table_service_t *item = (void *)(items + i * schema->size);
		const toml_node_t *row = &rows->children[i];

		memcpy(item, defaults, schema->size);
		name_entries[i].row_name =
			document_read_row(&reader->base, schema, row, i, item);
		item->id = cas_id_of(item->name);
		name_entries[i].id = item->id;
		name_entries[i].node = row;
	}
	reader_check_unique(&reader->base, name_entries, row_count, "the name");
	sort_by_id(items, row_count, schema->size);
	*count = row_count;
	return items;
}

_Static_assert(offsetof(table_service_t, name) ==
			       offsetof(table_data_centre_t, name) &&
		       offsetof(table_service_t, name) ==
			       offsetof(table_customer_t, name),
	       "read_named_rows needs id and name at the same place");

/* Divides the remaining share equally between the data centres without a
 * share, whose number is unset_count. */
static void set_equal_shares(table_reader_t *reader, int32_t unset_count,
			     int32_t remaining)
{
	int32_t share = unset_count ? remaining / unset_count : 0;

	if (unset_count && !share)
		reader_add_fault(&reader->base, reader->fields.data_centres,
				 NULL, CAS_STR(""),
				 "the stated shares leave nothing for the data "
				 "centres without a share");
	for (size_t i = 0; i < reader->table->data_centre_count; i++)
		if (reader->table->data_centres[i].share_permille ==
		    TABLE_SHARE_UNSET)
			reader->table->data_centres[i].share_permille = share;
}

/* Checks the sum of the shares, and sets the shares that are not given. */
static void resolve_shares(table_reader_t *reader)
{
	int64_t sum = 0;
	int32_t unset_count = 0;

	for (size_t i = 0; i < reader->table->data_centre_count; i++) {
		int32_t share = reader->table->data_centres[i].share_permille;

		if (share == TABLE_SHARE_UNSET)
			unset_count++;
		else
			sum += share;
	}
	if (sum > TABLE_SHARE_TOTAL) {
		reader_add_fault(&reader->base, reader->fields.data_centres,
				 NULL, CAS_STR(""),
				 "the shares add up to %lld, above %d",
				 (long long)sum, TABLE_SHARE_TOTAL);
		return;
	}
	set_equal_shares(reader, unset_count, TABLE_SHARE_TOTAL - (int32_t)sum);
}

static void read_data_centres(table_reader_t *reader)
{
	const table_data_centre_t defaults = {
		.share_permille = TABLE_SHARE_UNSET,
	};
	table_t *table = reader->table;

	table->data_centres = read_named_rows(
		reader, &table_data_centre_schema, reader->fields.data_centres,
		&defaults, &table->data_centre_count);
	for (size_t i = 0; i < table->data_centre_count; i++)
		table->data_centres[i].region_id =
			cas_id_of(table->data_centres[i].region);
	if (table->data_centre_count)
		resolve_shares(reader);
}

static void read_services(table_reader_t *reader)
{
	const table_service_t defaults = { 0 };

	reader->table->services = read_named_rows(
		reader, &table_service_schema, reader->fields.services,
		&defaults, &reader->table->service_count);
}

static void read_customers(table_reader_t *reader)
{
	const table_customer_t defaults = {
		.weight = TABLE_WEIGHT_DEFAULT,
		.importance = TABLE_IMPORTANCE_MAX,
	};

	reader->table->customers = read_named_rows(
		reader, &table_customer_schema, reader->fields.customers,
		&defaults, &reader->table->customer_count);
}

/* Reads the list of customers that a route is limited to. */
static void read_route_customers(table_reader_t *reader,
				 const toml_node_t *list, cas_str_t row_name,
				 table_route_t *route)
{
	unique_entry_t *customer_entries;

	if (list->kind != TOML_KIND_ARRAY || !list->count) {
		reader_add_fault(
			&reader->base, list, NULL, row_name,
			"customers must be a list of customer names, or "
			"be left out for every customer");
		return;
	}
	route->customers = reader_alloc_array(&reader->base, sizeof(cas_id_t),
					      list->count);
	customer_entries = reader_alloc_array(
		&reader->base, sizeof(unique_entry_t), list->count);
	if (reader->base.rc)
		return;
	route->customer_count = list->count;
	for (size_t i = 0; i < list->count; i++) {
		const toml_node_t *name = &list->children[i];
		cas_id_t id = name->kind == TOML_KIND_STRING
				      ? cas_id_of(name->text)
				      : 0;

		if (!id || !table_find_customer(reader->table, id))
			reader_add_fault(
				&reader->base, name, NULL, row_name,
				"item %zu of customers names no customer",
				i + 1);
		route->customers[i] = id;
		customer_entries[i] = (unique_entry_t){ id, row_name, name };
	}
	reader_check_unique(&reader->base, customer_entries, list->count,
			    "the customer");
	sort_by_id(route->customers, list->count, sizeof(cas_id_t));
}

static bool method_is_valid(cas_str_t method)
{
	for (size_t i = 0; i < method.len; i++)
		if (method.ptr[i] < 'A' || method.ptr[i] > 'Z')
			return false;
	return true;
}

/* Checks a [[route]] row except for its split and customers. */
static void check_route(table_reader_t *reader, const toml_node_t *row,
			cas_str_t row_name, const route_row_t *parsed)
{
	const table_route_t *route = &parsed->route;

	if (route->path_prefix.ptr && !table_path_is_valid(route->path_prefix))
		reader_add_fault(
			&reader->base, toml_get(row, "path"), row, row_name,
			"path must begin with '/', must not contain a space "
			"or any of ? # \\ \" < >, and needs two hexadecimal "
			"digits after %%");
	if (!method_is_valid(route->method))
		reader_add_fault(&reader->base, toml_get(row, "method"), row,
				 row_name, "method must be in capital letters");
	if (!route->service.ptr == !parsed->split)
		reader_add_fault(&reader->base, NULL, row, row_name,
				 "a route needs either service or split");
	if (route->service.ptr &&
	    !table_find_service(reader->table, cas_id_of(route->service)))
		reader_add_fault(&reader->base, toml_get(row, "service"), row,
				 row_name, "there is no service \"%.*s\"",
				 CAS_STR_ARG(route->service));
	if (route->open && parsed->customers)
		reader_add_fault(
			&reader->base, toml_get(row, "open"), row, row_name,
			"an open route cannot be limited to customers");
}

/* Reads one row of split. */
static void read_part(table_reader_t *reader, const toml_node_t *row,
		      cas_str_t row_name, table_part_t *part)
{
	reader_read_fields(&reader->base, row, row_name,
			   table_part_schema.fields,
			   table_part_schema.field_count, part);
	if (part->service.ptr &&
	    !table_find_service(reader->table, cas_id_of(part->service)))
		reader_add_fault(&reader->base, toml_get(row, "service"), row,
				 row_name, "there is no service \"%.*s\"",
				 CAS_STR_ARG(part->service));
	part->service_id = cas_id_of(part->service);
}

/* Reads the services that the requests of a route are split between. */
static void read_split(table_reader_t *reader, const toml_node_t *rows,
		       cas_str_t row_name, table_route_t *route)
{
	size_t count = document_row_count(&reader->base, rows);
	int64_t total_weight = 0;

	route->parts =
		reader_alloc_array(&reader->base, sizeof(table_part_t), count);
	if (!route->parts) {
		document_require_rows(&reader->base, rows);
		return;
	}
	route->part_count = count;
	for (size_t i = 0; i < count; i++) {
		read_part(reader, &rows->children[i], row_name,
			  &route->parts[i]);
		total_weight += route->parts[i].weight;
	}
	if (!total_weight)
		reader_add_fault(&reader->base, rows, NULL, row_name,
				 "at least one part needs a weight above 0");
	route->service = route->parts[0].service;
	route->service_id = route->parts[0].service_id;
}

/* Returns an id of what a route matches (method, host and path), or 0 if the
 * path is missing or invalid. */
static cas_id_t match_conditions_id(const table_route_t *route)
{
	char text[TABLE_PATH_MAX_BYTES + TABLE_HOST_MAX_BYTES + 64];
	int len;

	if (!route->path_prefix.ptr)
		return 0;
	len = snprintf(text, sizeof(text), "%.*s %.*s %.*s",
		       CAS_STR_ARG(route->method), CAS_STR_ARG(route->host),
		       CAS_STR_ARG(route->path_prefix));
	return cas_id_of((cas_str_t){ text, (size_t)len });
}

/* Reads a [[route]] row into *route and returns its name for fault messages. */
static cas_str_t read_route(table_reader_t *reader, const toml_node_t *row,
			    size_t index, table_route_t *route)
{
	route_row_t parsed = {
		.route.timeout_ms = TABLE_TIMEOUT_DEFAULT_MS,
		.route.max_body_bytes = TABLE_BODY_DEFAULT_BYTES,
		.route.retries = TABLE_RETRIES_DEFAULT,
	};
	cas_str_t name = document_read_row(&reader->base, &table_route_schema,
					   row, index, &parsed);

	check_route(reader, row, name, &parsed);
	*route = parsed.route;
	route->id = cas_id_of(route->name);
	route->service_id = cas_id_of(route->service);
	if (parsed.split)
		read_split(reader, parsed.split, name, route);
	if (parsed.customers)
		read_route_customers(reader, parsed.customers, name, route);
	return name;
}

static void read_routes(table_reader_t *reader)
{
	const toml_node_t *rows = reader->fields.routes;
	size_t count = document_row_count(&reader->base, rows);
	unique_entry_t *name_entries = reader_alloc_array(
		&reader->base, sizeof(unique_entry_t), count);
	unique_entry_t *match_entries = reader_alloc_array(
		&reader->base, sizeof(unique_entry_t), count);
	table_route_t *routes =
		reader_alloc_array(&reader->base, sizeof(table_route_t), count);

	if (reader->base.rc)
		return;
	for (size_t i = 0; i < count; i++) {
		const toml_node_t *row = &rows->children[i];
		cas_str_t name = read_route(reader, row, i, &routes[i]);

		name_entries[i] = (unique_entry_t){ routes[i].id, name, row };
		match_entries[i] =
			(unique_entry_t){ match_conditions_id(&routes[i]), name,
					  row };
	}
	reader_check_unique(&reader->base, name_entries, count, "the name");
	reader_check_unique(&reader->base, match_entries, count,
			    "the combination of host, path and method");
	reader->table->routes = routes;
	reader->table->route_count = count;
}

static int key_compare(const void *left, const void *right)
{
	const table_key_t *a = left;
	const table_key_t *b = right;

	return memcmp(a->hash, b->hash, sizeof(a->hash));
}

/* Reads a [[key]] row into *key and the unique entry of its hash. */
static void read_key(table_reader_t *reader, const toml_node_t *row,
		     size_t index, table_key_t *key, unique_entry_t *hash_entry)
{
	key_row_t parsed = { 0 };
	cas_str_t name = document_read_row(&reader->base, &table_key_schema,
					   row, index, &parsed);

	*key = parsed.key;
	key->customer_id = cas_id_of(parsed.customer);
	if (parsed.customer.ptr &&
	    !table_find_customer(reader->table, key->customer_id))
		reader_add_fault(&reader->base, toml_get(row, "customer"), row,
				 name, "there is no customer \"%.*s\"",
				 CAS_STR_ARG(parsed.customer));
	*hash_entry = (unique_entry_t){ cas_id_of((cas_str_t){
						(const char *)key->hash,
						sizeof(key->hash) }),
					name, row };
	/* Without a hash, do not compare the zero bytes. */
	if (!toml_get(row, "hash"))
		hash_entry->id = 0;
}

static void read_keys(table_reader_t *reader)
{
	const toml_node_t *rows = reader->fields.keys;
	size_t count = document_row_count(&reader->base, rows);
	unique_entry_t *hash_entries = reader_alloc_array(
		&reader->base, sizeof(unique_entry_t), count);
	table_key_t *keys =
		reader_alloc_array(&reader->base, sizeof(table_key_t), count);

	if (!count || reader->base.rc)
		return;
	for (size_t i = 0; i < count; i++)
		read_key(reader, &rows->children[i], i, &keys[i],
			 &hash_entries[i]);
	reader_check_unique(&reader->base, hash_entries, count, "the hash");
	qsort(keys, count, sizeof(*keys), key_compare);
	reader->table->keys = keys;
	reader->table->key_count = count;
}

/* Reads the embedded host list, if there is one: [[host]] rows require
 * hosts_revision and vice versa. */
static void read_hosts(table_reader_t *reader)
{
	roster_t *hosts;

	if (!reader->fields.hosts && !reader->fields.hosts_revision)
		return;
	if (!reader->fields.hosts || !reader->fields.hosts_revision) {
		reader_add_fault(&reader->base, reader->fields.hosts,
				 reader->root, CAS_STR(""),
				 "hosts_revision and [[host]] need each other");
		return;
	}
	hosts = talloc_zero(reader->table, roster_t);
	if (!hosts) {
		reader->base.rc = CONFIG_ENOMEM;
		return;
	}
	/* The host list owns its values, as it is later moved to the store
	 * separately. */
	reader->base.ctx = hosts;
	hosts->revision = reader->fields.hosts_revision;
	hosts->fingerprint = toml_fingerprint(reader->fields.hosts, 0);
	hosts->source = cas_str_dup(hosts, reader->table->source);
	document_read_hosts(&reader->base, reader->root, reader->table, hosts);
	reader->base.ctx = reader->table;
	reader->table->hosts = hosts;
}

/* Hashes the table without the parts that belong to the host list and [end]. */
static uint64_t table_fingerprint(const toml_node_t *root)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < root->count; i++) {
		cas_str_t key = root->children[i].key;

		if (!cas_str_equal(key, CAS_STR("host")) &&
		    !cas_str_equal(key, CAS_STR("hosts_revision")) &&
		    !cas_str_equal(key, CAS_STR("end")))
			hash = toml_fingerprint(&root->children[i], hash);
	}
	return hash;
}

static void read_root(table_reader_t *reader, cas_str_t text)
{
	table_t *table = reader->table;

	reader_read_fields(&reader->base, reader->root, CAS_STR(""),
			   table_root_schema.fields,
			   table_root_schema.field_count, &reader->fields);
	table->revision = reader->fields.revision;
	memcpy(table->salt, reader->fields.salt, sizeof(table->salt));
	table->customer_first = reader->fields.customer_first;
	table->source = cas_str_dup(table, text);
	if (!table->source.ptr)
		reader->base.rc = CONFIG_ENOMEM;
	table->fingerprint = table_fingerprint(reader->root);
	read_data_centres(reader);
	read_services(reader);
	read_customers(reader);
	read_routes(reader);
	read_keys(reader);
	read_hosts(reader);
	document_check_end(&reader->base, reader->root);
}

int table_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
	       table_t **table)
{
	TALLOC_CTX *tree = talloc_new(NULL);
	table_t *result = talloc_zero(tree, table_t);
	table_reader_t reader = { .base = { result, faults, 0 },
				  .table = result };
	int rc = CONFIG_ENOMEM;

	if (!result)
		goto error;
	reader.root = reader_parse(&reader.base, tree, text);
	if (reader.root)
		read_root(&reader, text);
	config_faults_sort(faults);
	rc = reader.base.rc;
	if (!rc && (faults->count || faults->omitted))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*table = talloc_steal(ctx, result);
error:
	talloc_free(tree);
	return rc;
}

int table_check(cas_str_t text, config_faults_t *faults)
{
	table_t *table = NULL;
	int rc = table_read(NULL, text, faults, &table);

	talloc_free(table);
	return rc;
}
