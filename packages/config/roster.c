/* Reads host lists from TOML and looks up hosts by id. */
#include <arpa/inet.h>
#include <stdlib.h>

#include "diff_internal.h"

#define EVACUATED_MAX 256 /* data centres */

#define HOST_FIELD(key, kind, required, member, min, max)                      \
	{                                                                      \
		key, kind, required, offsetof(roster_host_t, member), min, max \
	}

/* A [[host]] row while it is read. */
typedef struct host_row {
	roster_host_t host; /* must be first: fields use its offsets */
	cas_str_t service; /* name; only its id is kept */
	cas_str_t data_centre; /* name; only its id is kept */
} host_row_t;

static const field_t host_fields[] = {
	HOST_FIELD("name", FIELD_NAME, true, name, 0, 0),
	{ "service", FIELD_NAME, true, offsetof(host_row_t, service), 0, 0 },
	{ "data_centre", FIELD_NAME, true, offsetof(host_row_t, data_centre), 0,
	  0 },
	HOST_FIELD("address", FIELD_ADDRESS, true, address, 0, 0),
	HOST_FIELD("peer_port", FIELD_PORT, true, peer_port, 1, UINT16_MAX),
	HOST_FIELD("control_port", FIELD_PORT, true, control_port, 1,
		   UINT16_MAX),
	HOST_FIELD("leaving", FIELD_BOOL, false, leaving, 0, 0),
	HOST_FIELD("instance", FIELD_TEXT, false, instance, 1,
		   ROSTER_INSTANCE_MAX_BYTES),
	HOST_FIELD("slots", FIELD_INT32, false, slots, 0, ROSTER_SLOTS_MAX),
	HOST_FIELD("cold_ms", FIELD_INT32, false, warm_up_ms, 0,
		   ROSTER_WARM_UP_MAX_MS),
};

const row_schema_t roster_host_schema = { "host", host_fields,
					  sizeof(host_fields) /
						  sizeof(host_fields[0]),
					  sizeof(roster_host_t) };

/* Top level of a separate host list. */
typedef struct roster_root {
	int64_t revision;
	name_list_t evacuated;
	const toml_node_t *hosts; /* [[host]] rows */
	const toml_node_t *end; /* [end] section */
} roster_root_t;

static const field_t root_fields[] = {
	{ "revision", FIELD_INT64, true, offsetof(roster_root_t, revision), 1,
	  INT64_MAX },
	{ "evacuated", FIELD_NAMES, false, offsetof(roster_root_t, evacuated),
	  0, EVACUATED_MAX },
	{ "host", FIELD_NODE, true, offsetof(roster_root_t, hosts), 0, 0 },
	{ "end", FIELD_NODE, false, offsetof(roster_root_t, end), 0, 0 },
};

/* For each host, the entries of what must be unique: name, address with
 * peer_port, and address with control_port. */
typedef struct host_unique_entries {
	unique_entry_t *names;
	unique_entry_t *peer_endpoints;
	unique_entry_t *control_endpoints;
} host_unique_entries_t;

/* Returns an id of an address and port, or 0 if port is 0 because the key was
 * missing or invalid. */
static cas_id_t endpoint_id(struct in_addr address, uint16_t port)
{
	char text[INET_ADDRSTRLEN + 8];
	int len = snprintf(text, sizeof(text), "%08x:%u", ntohl(address.s_addr),
			   port);

	return port ? cas_id_of((cas_str_t){ text, (size_t)len }) : 0;
}

/* Checks that the table has the service and the data centre of a host. */
static void check_references(reader_t *reader, const toml_node_t *row,
			     cas_str_t row_name, const table_t *table,
			     const roster_host_t *host)
{
	if (host->service_id && !table_find_service(table, host->service_id))
		reader_add_fault(reader, toml_get(row, "service"), row,
				 row_name, "the table has no such service");
	if (host->data_centre_id &&
	    !table_find_data_centre(table, host->data_centre_id))
		reader_add_fault(reader, toml_get(row, "data_centre"), row,
				 row_name, "the table has no such data centre");
}

static void read_host(reader_t *reader, const toml_node_t *row, size_t index,
		      const table_t *table, roster_host_t *host,
		      host_unique_entries_t *entries)
{
	host_row_t parsed = { 0 };
	cas_str_t name = document_read_row(reader, &roster_host_schema, row,
					   index, &parsed);

	*host = parsed.host;
	host->id = cas_id_of(host->name);
	host->service_id = cas_id_of(parsed.service);
	host->data_centre_id = cas_id_of(parsed.data_centre);
	if (table)
		check_references(reader, row, name, table, host);
	entries->names[index] = (unique_entry_t){ host->id, name, row };
	entries->peer_endpoints[index] =
		(unique_entry_t){ endpoint_id(host->address, host->peer_port),
				  name, row };
	entries->control_endpoints[index] = (unique_entry_t){
		endpoint_id(host->address, host->control_port), name, row
	};
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
	host_unique_entries_t entries;

	document_require_rows(reader, rows);
	roster->hosts =
		reader_alloc_array(reader, sizeof(roster_host_t), count);
	entries.names =
		reader_alloc_array(reader, sizeof(unique_entry_t), count);
	entries.peer_endpoints =
		reader_alloc_array(reader, sizeof(unique_entry_t), count);
	entries.control_endpoints =
		reader_alloc_array(reader, sizeof(unique_entry_t), count);
	if (!count || reader->rc)
		return;
	roster->host_count = count;
	for (size_t i = 0; i < count; i++)
		read_host(reader, &rows->children[i], i, table,
			  &roster->hosts[i], &entries);
	reader_check_unique(reader, entries.names, count, "the name");
	reader_check_unique(reader, entries.peer_endpoints, count,
			    "the combination of address and peer_port");
	reader_check_unique(reader, entries.control_endpoints, count,
			    "the combination of address and control_port");
	qsort(roster->hosts, count, sizeof(*roster->hosts), host_compare);
}

/* Reads a separate host list. */
static void read_host_list(reader_t *reader, const toml_node_t *root,
			   cas_str_t text, roster_t *roster)
{
	roster_root_t fields = { 0 };

	reader_read_fields(reader, root, CAS_STR(""), root_fields,
			   sizeof(root_fields) / sizeof(root_fields[0]),
			   &fields);
	roster->revision = fields.revision;
	roster->evacuated = fields.evacuated;
	roster->fingerprint = toml_fingerprint(root, 0);
	roster->source = cas_str_dup(roster, text);
	if (!roster->source.ptr)
		reader->rc = CONFIG_ENOMEM;
	document_read_hosts(reader, root, NULL, roster);
	document_check_end(reader, root);
}

/* Reads a table and returns its host list. */
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
	roster_t *result = talloc_zero(tree, roster_t);
	reader_t reader = { result, faults, 0 };
	const toml_node_t *root;
	int rc = CONFIG_ENOMEM;

	if (!result)
		goto error;
	root = reader_parse(&reader, tree, text);
	if (root && toml_get(root, "hosts_revision")) {
		rc = read_embedded(ctx, text, faults, roster);
		goto error;
	}
	if (root)
		read_host_list(&reader, root, text, result);
	config_faults_sort(faults);
	rc = reader.rc;
	if (!rc && (faults->count || faults->omitted))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*roster = talloc_steal(ctx, result);
error:
	talloc_free(tree);
	return rc;
}

const roster_host_t *roster_find(const roster_t *roster, cas_id_t id)
{
	roster_host_t key = { .id = id };

	if (!roster->host_count)
		return NULL;
	return bsearch(&key, roster->hosts, roster->host_count,
		       sizeof(*roster->hosts), host_compare);
}

bool roster_is_evacuated(const roster_t *roster, cas_id_t data_centre)
{
	return name_list_has(&roster->evacuated, data_centre);
}
