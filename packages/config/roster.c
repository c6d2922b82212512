/* Reads host lists and finds hosts in them. */
#include <arpa/inet.h>
#include <stdlib.h>

#include "diff_internal.h"

#define INSTANCE_MAX_BYTES 128
#define SLOTS_MAX 100000

#define FIELD(key, kind, required, member, min, max)                           \
	{                                                                      \
		key, kind, required, offsetof(roster_host_t, member), min, max \
	}

typedef struct host_row {
	roster_host_t host; /* first: the fields below use its offsets */
	cas_str_t service;
	cas_str_t data_centre;
} host_row_t;

static const field_t host_fields[] = {
	FIELD("name", FIELD_NAME, true, name, 0, 0),
	{ "service", FIELD_NAME, true, offsetof(host_row_t, service), 0, 0 },
	{ "data_centre", FIELD_NAME, true, offsetof(host_row_t, data_centre), 0,
	  0 },
	FIELD("address", FIELD_ADDRESS, true, address, 0, 0),
	FIELD("peer_port", FIELD_PORT, true, peer_port, 1, UINT16_MAX),
	FIELD("control_port", FIELD_PORT, true, control_port, 1, UINT16_MAX),
	FIELD("leaving", FIELD_BOOL, false, leaving, 0, 0),
	FIELD("instance", FIELD_TEXT, false, instance, 1, INSTANCE_MAX_BYTES),
	FIELD("slots", FIELD_INT32, false, slots, 0, SLOTS_MAX),
	FIELD("cold_ms", FIELD_INT32, false, cold_ms, 0, INT32_MAX),
};

const row_kind_t roster_host_kind = { "host", host_fields,
				      sizeof(host_fields) /
					      sizeof(host_fields[0]),
				      sizeof(roster_host_t) };

typedef struct roster_root {
	int64_t revision;
	const toml_node_t *hosts;
	const toml_node_t *end;
} roster_root_t;

static const field_t root_fields[] = {
	{ "revision", FIELD_INT64, true, offsetof(roster_root_t, revision), 1,
	  INT64_MAX },
	{ "host", FIELD_NODE, true, offsetof(roster_root_t, hosts), 0, 0 },
	{ "end", FIELD_NODE, false, offsetof(roster_root_t, end), 0, 0 },
};

/* The three things that must differ between hosts. */
typedef struct host_uniques {
	unique_t *names;
	unique_t *peers;
	unique_t *controls;
} host_uniques_t;

static cas_id_t endpoint_id(struct in_addr address, uint16_t port)
{
	char text[INET_ADDRSTRLEN + 8];
	int len = snprintf(text, sizeof(text), "%08x:%u", ntohl(address.s_addr),
			   port);

	return port ? cas_id_of((cas_str_t){ text, (size_t)len }) : 0;
}

static void check_references(reader_t *reader, const toml_node_t *row,
			     cas_str_t row_name, const table_t *table,
			     const roster_host_t *host)
{
	if (host->service_id && !table_find_service(table, host->service_id))
		reader_fault(reader, toml_get(row, "service"), row, row_name,
			     "the table has no such service");
	if (host->data_centre_id &&
	    !table_find_data_centre(table, host->data_centre_id))
		reader_fault(reader, toml_get(row, "data_centre"), row,
			     row_name, "the table has no such data centre");
}

static void read_host(reader_t *reader, const toml_node_t *row, size_t index,
		      const table_t *table, roster_host_t *host,
		      host_uniques_t *uniques)
{
	host_row_t read = { 0 };
	cas_str_t name =
		document_read_row(reader, &roster_host_kind, row, index, &read);

	*host = read.host;
	host->id = cas_id_of(host->name);
	host->service_id = cas_id_of(read.service);
	host->data_centre_id = cas_id_of(read.data_centre);
	if (table)
		check_references(reader, row, name, table, host);
	uniques->names[index] = (unique_t){ host->id, name, row };
	uniques->peers[index] =
		(unique_t){ endpoint_id(host->address, host->peer_port), name,
			    row };
	uniques->controls[index] =
		(unique_t){ endpoint_id(host->address, host->control_port),
			    name, row };
}

static int host_compare(const void *left, const void *right)
{
	const roster_host_t *a = left;
	const roster_host_t *b = right;

	return (a->id > b->id) - (a->id < b->id);
}

void document_read_hosts(reader_t *reader, const toml_node_t *root,
			 const table_t *table, roster_t *roster)
{
	const toml_node_t *rows = toml_get(root, "host");
	size_t count = document_row_count(reader, rows);
	host_uniques_t uniques;

	document_need_rows(reader, rows);
	roster->hosts = reader_array(reader, sizeof(roster_host_t), count);
	uniques.names = reader_array(reader, sizeof(unique_t), count);
	uniques.peers = reader_array(reader, sizeof(unique_t), count);
	uniques.controls = reader_array(reader, sizeof(unique_t), count);
	if (!count || reader->rc)
		return;
	roster->host_count = count;
	for (size_t i = 0; i < count; i++)
		read_host(reader, &rows->children[i], i, table,
			  &roster->hosts[i], &uniques);
	reader_unique(reader, uniques.names, count, "the name");
	reader_unique(reader, uniques.peers, count,
		      "the address and peer_port");
	reader_unique(reader, uniques.controls, count,
		      "the address and control_port");
	qsort(roster->hosts, count, sizeof(*roster->hosts), host_compare);
}

static void read_list(reader_t *reader, const toml_node_t *root, cas_str_t text,
		      roster_t *roster)
{
	roster_root_t fields = { 0 };

	reader_fields(reader, root, CAS_STR(""), root_fields,
		      sizeof(root_fields) / sizeof(root_fields[0]), &fields);
	roster->revision = fields.revision;
	roster->fingerprint = toml_fingerprint(root, 0);
	roster->source = cas_str_dup(roster, text);
	if (!roster->source.ptr)
		reader->rc = CONFIG_ENOMEM;
	document_read_hosts(reader, root, NULL, roster);
	document_check_end(reader, root);
}

static int read_embedded(TALLOC_CTX *ctx, cas_str_t text,
			 config_faults_t *faults, roster_t **roster)
{
	table_t *table = NULL;
	int rc = table_read(ctx, text, faults, &table);

	if (rc)
		return rc;
	*roster = talloc_steal(ctx, table->hosts);
	talloc_free(table);
	return 0;
}

int roster_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		roster_t **roster)
{
	TALLOC_CTX *tree = talloc_new(NULL);
	roster_t *read = talloc_zero(tree, roster_t);
	reader_t reader = { read, faults, 0 };
	const toml_node_t *root;
	int rc = CONFIG_ENOMEM;

	if (!read)
		goto error;
	root = reader_parse(&reader, tree, text);
	if (root && toml_get(root, "hosts_revision")) {
		rc = read_embedded(ctx, text, faults, roster);
		goto error;
	}
	if (root)
		read_list(&reader, root, text, read);
	config_faults_sort(faults);
	rc = reader.rc;
	if (!rc && (faults->count || faults->left_out))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*roster = talloc_steal(ctx, read);
error:
	talloc_free(tree);
	return rc;
}

const roster_host_t *roster_find(const roster_t *roster, cas_id_t id)
{
	roster_host_t wanted = { .id = id };

	if (!roster->host_count)
		return NULL;
	return bsearch(&wanted, roster->hosts, roster->host_count,
		       sizeof(*roster->hosts), host_compare);
}
