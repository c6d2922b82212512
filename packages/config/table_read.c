/* Reads and checks a table as a whole. */
#include <stdlib.h>

#include "table_rows_internal.h"

typedef struct table_reader {
	reader_t base;
	const toml_node_t *root;
	table_root_t fields;
	table_t *table;
} table_reader_t;

/* Only the id of the row is compared; every row type starts with it. */
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
 * Reads the rows of a kind whose structure starts with id and name, checks
 * that the names differ, and sorts by id. defaults is the initial row.
 */
static void *read_named(table_reader_t *r, const row_kind_t *kind,
			const toml_node_t *rows, const void *defaults,
			size_t *count)
{
	size_t n = document_row_count(&r->base, rows);
	char *items = reader_array(&r->base, kind->size, n);
	unique_t *names = reader_array(&r->base, sizeof(unique_t), n);

	if (r->base.rc)
		return NULL;
	for (size_t i = 0; i < n; i++) {
		table_service_t *head = (void *)(items + i * kind->size);
		const toml_node_t *row = &rows->children[i];

		memcpy(head, defaults, kind->size);
		names[i].row = document_read_row(&r->base, kind, row, i, head);
		head->id = cas_id_of(head->name);
		names[i].id = head->id;
		names[i].node = row;
	}
	reader_unique(&r->base, names, n, "the name");
	sort_by_id(items, n, kind->size);
	*count = n;
	return items;
}

_Static_assert(offsetof(table_service_t, name) ==
			       offsetof(table_data_centre_t, name) &&
		       offsetof(table_service_t, name) ==
			       offsetof(table_customer_t, name),
	       "read_named relies on id and name coming first");

static void set_equal_shares(table_reader_t *r, int32_t unset, int32_t left)
{
	int32_t share = unset ? left / unset : 0;

	if (unset && !share)
		reader_fault(&r->base, r->fields.data_centres, NULL,
			     CAS_STR(""),
			     "the stated shares leave nothing for the data "
			     "centres without a share");
	for (size_t i = 0; i < r->table->data_centre_count; i++)
		if (r->table->data_centres[i].share_permille ==
		    TABLE_SHARE_UNSET)
			r->table->data_centres[i].share_permille = share;
}

/* Data centres without a share divide equally what the others leave. */
static void check_shares(table_reader_t *r)
{
	int64_t sum = 0;
	int32_t unset = 0;

	for (size_t i = 0; i < r->table->data_centre_count; i++) {
		int32_t share = r->table->data_centres[i].share_permille;

		if (share == TABLE_SHARE_UNSET)
			unset++;
		else
			sum += share;
	}
	if (sum > TABLE_SHARE_WHOLE) {
		reader_fault(&r->base, r->fields.data_centres, NULL,
			     CAS_STR(""), "the shares add up to %lld, above %d",
			     (long long)sum, TABLE_SHARE_WHOLE);
		return;
	}
	set_equal_shares(r, unset, TABLE_SHARE_WHOLE - (int32_t)sum);
}

static void read_data_centres(table_reader_t *r)
{
	const table_data_centre_t defaults = {
		.share_permille = TABLE_SHARE_UNSET,
	};
	table_t *table = r->table;

	table->data_centres =
		read_named(r, &table_data_centre_kind, r->fields.data_centres,
			   &defaults, &table->data_centre_count);
	for (size_t i = 0; i < table->data_centre_count; i++)
		table->data_centres[i].region_id =
			cas_id_of(table->data_centres[i].region);
	if (table->data_centre_count)
		check_shares(r);
}

static void read_services(table_reader_t *r)
{
	const table_service_t defaults = { 0 };

	r->table->services =
		read_named(r, &table_service_kind, r->fields.services,
			   &defaults, &r->table->service_count);
}

static void read_customers(table_reader_t *r)
{
	const table_customer_t defaults = {
		.weight = TABLE_WEIGHT_DEFAULT,
		.importance = TABLE_IMPORTANCE_MAX,
	};

	r->table->customers =
		read_named(r, &table_customer_kind, r->fields.customers,
			   &defaults, &r->table->customer_count);
}

static void read_route_customers(table_reader_t *r, const toml_node_t *list,
				 cas_str_t row_name, table_route_t *route)
{
	unique_t *names;

	if (list->kind != TOML_KIND_ARRAY || !list->count) {
		reader_fault(&r->base, list, NULL, row_name,
			     "customers must be a list of customer names, or "
			     "be left out for every customer");
		return;
	}
	route->customers =
		reader_array(&r->base, sizeof(cas_id_t), list->count);
	names = reader_array(&r->base, sizeof(unique_t), list->count);
	if (r->base.rc)
		return;
	route->customer_count = list->count;
	for (size_t i = 0; i < list->count; i++) {
		const toml_node_t *name = &list->children[i];
		cas_id_t id = name->kind == TOML_KIND_STRING
				      ? cas_id_of(name->text)
				      : 0;

		if (!id || !table_find_customer(r->table, id))
			reader_fault(&r->base, name, NULL, row_name,
				     "item %zu of customers names no customer",
				     i + 1);
		route->customers[i] = id;
		names[i] = (unique_t){ id, row_name, name };
	}
	reader_unique(&r->base, names, list->count, "the customer");
	sort_by_id(route->customers, list->count, sizeof(cas_id_t));
}

static bool path_is_good(cas_str_t path)
{
	for (size_t i = 0; i < path.len; i++)
		if (strchr(" ?#%\\\"<>", path.ptr[i]))
			return false;
	return path.len && path.ptr[0] == '/';
}

static bool method_is_good(cas_str_t method)
{
	for (size_t i = 0; i < method.len; i++)
		if (method.ptr[i] < 'A' || method.ptr[i] > 'Z')
			return false;
	return true;
}

static void check_route(table_reader_t *r, const toml_node_t *row,
			cas_str_t row_name, const route_row_t *read)
{
	const table_route_t *route = &read->route;

	if (route->path_prefix.ptr && !path_is_good(route->path_prefix))
		reader_fault(&r->base, toml_get(row, "path"), row, row_name,
			     "path must begin with '/' and be plain: no blank, "
			     "'?', '#', '%%' or quote");
	if (!method_is_good(route->method))
		reader_fault(&r->base, toml_get(row, "method"), row, row_name,
			     "method must be in capital letters");
	if (!route->service.ptr == !read->split)
		reader_fault(&r->base, NULL, row, row_name,
			     "a route needs either service or split");
	if (route->service.ptr &&
	    !table_find_service(r->table, cas_id_of(route->service)))
		reader_fault(&r->base, toml_get(row, "service"), row, row_name,
			     "there is no service \"%.*s\"",
			     CAS_STR_ARG(route->service));
	if (route->open && read->customers)
		reader_fault(&r->base, toml_get(row, "open"), row, row_name,
			     "an open route cannot be limited to customers");
}

static void read_part(table_reader_t *r, const toml_node_t *row,
		      cas_str_t row_name, table_part_t *part)
{
	reader_fields(&r->base, row, row_name, table_part_kind.fields,
		      table_part_kind.field_count, part);
	if (part->service.ptr &&
	    !table_find_service(r->table, cas_id_of(part->service)))
		reader_fault(&r->base, toml_get(row, "service"), row, row_name,
			     "there is no service \"%.*s\"",
			     CAS_STR_ARG(part->service));
	part->service_id = cas_id_of(part->service);
}

static void read_split(table_reader_t *r, const toml_node_t *rows,
		       cas_str_t row_name, table_route_t *route)
{
	size_t count = document_row_count(&r->base, rows);
	int64_t weights = 0;

	route->parts = reader_array(&r->base, sizeof(table_part_t), count);
	if (!route->parts) {
		document_need_rows(&r->base, rows);
		return;
	}
	route->part_count = count;
	for (size_t i = 0; i < count; i++) {
		read_part(r, &rows->children[i], row_name, &route->parts[i]);
		weights += route->parts[i].weight;
	}
	if (!weights)
		reader_fault(&r->base, rows, NULL, row_name,
			     "one part at least needs a weight above 0");
	route->service = route->parts[0].service;
	route->service_id = route->parts[0].service_id;
}

static cas_id_t match_id(const table_route_t *route)
{
	char text[768];
	int len;

	if (!route->path_prefix.ptr)
		return 0;
	len = snprintf(text, sizeof(text), "%.*s %.*s %.*s",
		       CAS_STR_ARG(route->method), CAS_STR_ARG(route->host),
		       CAS_STR_ARG(route->path_prefix));
	return cas_id_of((cas_str_t){ text, (size_t)len });
}

static cas_str_t read_route(table_reader_t *r, const toml_node_t *row,
			    size_t index, table_route_t *route)
{
	route_row_t read = {
		.route.timeout_ms = TABLE_TIMEOUT_DEFAULT_MS,
		.route.max_body_bytes = TABLE_BODY_DEFAULT,
		.route.retries = TABLE_RETRIES_DEFAULT,
	};
	cas_str_t name = document_read_row(&r->base, &table_route_kind, row,
					   index, &read);

	check_route(r, row, name, &read);
	*route = read.route;
	route->id = cas_id_of(route->name);
	route->service_id = cas_id_of(route->service);
	if (read.split)
		read_split(r, read.split, name, route);
	if (read.customers)
		read_route_customers(r, read.customers, name, route);
	return name;
}

static void read_routes(table_reader_t *r)
{
	const toml_node_t *rows = r->fields.routes;
	size_t count = document_row_count(&r->base, rows);
	unique_t *names = reader_array(&r->base, sizeof(unique_t), count);
	unique_t *matches = reader_array(&r->base, sizeof(unique_t), count);
	table_route_t *routes =
		reader_array(&r->base, sizeof(table_route_t), count);

	if (r->base.rc)
		return;
	for (size_t i = 0; i < count; i++) {
		const toml_node_t *row = &rows->children[i];
		cas_str_t name = read_route(r, row, i, &routes[i]);

		names[i] = (unique_t){ routes[i].id, name, row };
		matches[i] = (unique_t){ match_id(&routes[i]), name, row };
	}
	reader_unique(&r->base, names, count, "the name");
	reader_unique(&r->base, matches, count, "the host, path and method");
	r->table->routes = routes;
	r->table->route_count = count;
}

static int key_compare(const void *left, const void *right)
{
	const table_key_t *a = left;
	const table_key_t *b = right;

	return memcmp(a->hash, b->hash, sizeof(a->hash));
}

static void read_key(table_reader_t *r, const toml_node_t *row, size_t index,
		     table_key_t *key, unique_t *hash)
{
	key_row_t read = { 0 };
	cas_str_t name =
		document_read_row(&r->base, &table_key_kind, row, index, &read);

	*key = read.key;
	key->customer_id = cas_id_of(read.customer);
	if (read.customer.ptr &&
	    !table_find_customer(r->table, key->customer_id))
		reader_fault(&r->base, toml_get(row, "customer"), row, name,
			     "there is no customer \"%.*s\"",
			     CAS_STR_ARG(read.customer));
	*hash = (unique_t){ cas_id_of((cas_str_t){ (const char *)key->hash,
						   sizeof(key->hash) }),
			    name, row };
	if (!toml_get(row, "hash"))
		hash->id = 0;
}

static void read_keys(table_reader_t *r)
{
	const toml_node_t *rows = r->fields.keys;
	size_t count = document_row_count(&r->base, rows);
	unique_t *hashes = reader_array(&r->base, sizeof(unique_t), count);
	table_key_t *keys = reader_array(&r->base, sizeof(table_key_t), count);

	if (!count || r->base.rc)
		return;
	for (size_t i = 0; i < count; i++)
		read_key(r, &rows->children[i], i, &keys[i], &hashes[i]);
	reader_unique(&r->base, hashes, count, "the hash");
	qsort(keys, count, sizeof(*keys), key_compare);
	r->table->keys = keys;
	r->table->key_count = count;
}

/* Hosts and hosts_revision come together or not at all. */
static void read_hosts(table_reader_t *r)
{
	roster_t *hosts;

	if (!r->fields.hosts && !r->fields.hosts_revision)
		return;
	if (!r->fields.hosts || !r->fields.hosts_revision) {
		reader_fault(&r->base, r->fields.hosts, r->root, CAS_STR(""),
			     "hosts_revision and [[host]] need each other");
		return;
	}
	hosts = talloc_zero(r->table, roster_t);
	if (!hosts) {
		r->base.rc = CONFIG_ENOMEM;
		return;
	}
	r->base.ctx = hosts;
	hosts->revision = r->fields.hosts_revision;
	hosts->fingerprint = toml_fingerprint(r->fields.hosts, 0);
	hosts->source = cas_str_dup(hosts, r->table->source);
	document_read_hosts(&r->base, r->root, r->table, hosts);
	r->base.ctx = r->table;
	r->table->hosts = hosts;
}

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

static void read_root(table_reader_t *r, cas_str_t text)
{
	table_t *table = r->table;

	reader_fields(&r->base, r->root, CAS_STR(""), table_root_kind.fields,
		      table_root_kind.field_count, &r->fields);
	table->revision = r->fields.revision;
	memcpy(table->salt, r->fields.salt, sizeof(table->salt));
	table->customer_first = r->fields.customer_first;
	table->source = cas_str_dup(table, text);
	if (!table->source.ptr)
		r->base.rc = CONFIG_ENOMEM;
	table->fingerprint = table_fingerprint(r->root);
	read_data_centres(r);
	read_services(r);
	read_customers(r);
	read_routes(r);
	read_keys(r);
	read_hosts(r);
	document_check_end(&r->base, r->root);
}

int table_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
	       table_t **table)
{
	TALLOC_CTX *tree = talloc_new(NULL);
	table_t *read = talloc_zero(tree, table_t);
	table_reader_t r = { .base = { read, faults, 0 }, .table = read };
	int rc = CONFIG_ENOMEM;

	if (!read)
		goto error;
	r.root = reader_parse(&r.base, tree, text);
	if (r.root)
		read_root(&r, text);
	config_faults_sort(faults);
	rc = r.base.rc;
	if (!rc && (faults->count || faults->left_out))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*table = talloc_steal(ctx, read);
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
