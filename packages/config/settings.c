/* Reads and checks the settings of a daemon. */
#include "cassia/settings.h"

#include <arpa/inet.h>
#include <sodium.h>

#include "schema_internal.h"

#define PATH_BYTES 1024
#define TIMEOUT_MAX_MS 3600000
#define DRAIN_DEFAULT_MS 30000
#define CONNECTIONS_DEFAULT 4096
#define CONNECTIONS_MAX 65536
#define HEADER_DEFAULT_BYTES 16384
#define HEADER_MIN_BYTES 1024
#define HEADER_MAX_BYTES 262144
#define IDLE_DEFAULT_MS 60000
#define FIRST_PER_RETRY_DEFAULT 10
#define FIRST_PER_RETRY_MAX 100000
#define MICRO_MAX (INT64_C(1000000) * 1000000)

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

typedef struct settings_root {
	settings_t settings; /* first: the fields use its offsets */
	const toml_node_t *front;
	const toml_node_t *local;
	const toml_node_t *peer;
	const toml_node_t *operators;
	const toml_node_t *upstream;
	const toml_node_t *source;
	const toml_node_t *secrets;
	const toml_node_t *seeds;
	const toml_node_t *log;
	const toml_node_t *drain;
	const toml_node_t *limits;
	const toml_node_t *quota;
	const toml_node_t *retry;
	const toml_node_t *data_centres;
	cas_str_t protocol;
	cas_str_t trust;
	const toml_node_t *node; /* the whole document */
} settings_root_t;

#define SECTION(key, required, member)                                         \
	{                                                                      \
		key, FIELD_NODE, required, offsetof(settings_root_t, member),  \
			0, 0                                                   \
	}
#define NAME(key, member)                                                      \
	{                                                                      \
		key, FIELD_NAME, true, offsetof(settings_t, member), 0, 0      \
	}

static const field_t root_fields[] = {
	NAME("host", host),
	NAME("data_centre", data_centre),
	NAME("service", service),
	SECTION("front", true, front),
	SECTION("local", false, local),
	SECTION("peer", true, peer),
	SECTION("operators", true, operators),
	SECTION("upstream", true, upstream),
	SECTION("source", true, source),
	SECTION("secret", false, secrets),
	SECTION("seed", false, seeds),
	SECTION("log", false, log),
	SECTION("drain", false, drain),
	SECTION("limits", false, limits),
	SECTION("quota", false, quota),
	SECTION("retry", false, retry),
	SECTION("region", false, data_centres),
	{ "protocol", FIELD_TEXT, false, offsetof(settings_root_t, protocol), 1,
	  16 },
	{ "trust", FIELD_TEXT, false, offsetof(settings_root_t, trust), 1, 16 },
};

/* An endpoint is given as address and port, or as both in one text. */
#define ENDPOINT(base, least_port)                                             \
	{                                                                      \
		{ "address", FIELD_ADDRESS,                                    \
		  false,     (base) + offsetof(settings_endpoint_t, address),  \
		  0,	     0 },                                              \
			{ "port",                                              \
			  FIELD_PORT,                                          \
			  false,                                               \
			  (base) + offsetof(settings_endpoint_t, port),        \
			  least_port,                                          \
			  UINT16_MAX },                                        \
			{ "endpoint", FIELD_ENDPOINT, false, base, 0, 0 },     \
	}

static const field_t front_fields[] = ENDPOINT(offsetof(settings_t, front), 0);
static const field_t local_fields[] = ENDPOINT(offsetof(settings_t, local), 0);
static const field_t operators_fields[] =
	ENDPOINT(offsetof(settings_t, operators), 0);
static const field_t upstream_fields[] =
	ENDPOINT(offsetof(settings_t, upstream), 1);

static const field_t seed_fields[] = ENDPOINT(0, 1);

static const field_t peer_fields[] = {
	{ "address", FIELD_ADDRESS, false, offsetof(settings_t, peer.address),
	  0, 0 },
	{ "http_port", FIELD_PORT, false, offsetof(settings_t, peer.port), 0,
	  UINT16_MAX },
	{ "endpoint", FIELD_ENDPOINT, false, offsetof(settings_t, peer), 0, 0 },
	{ "control_port", FIELD_PORT, true, offsetof(settings_t, control.port),
	  0, UINT16_MAX },
};

typedef struct source_row {
	cas_str_t kind;
	cas_str_t table;
	cas_str_t hosts;
	cas_str_t url;
} source_row_t;

#define SOURCE(key, required, member)                                          \
	{                                                                      \
		key, FIELD_TEXT, required, offsetof(source_row_t, member), 1,  \
			PATH_BYTES                                             \
	}

static const field_t source_fields[] = {
	SOURCE("kind", true, kind),
	SOURCE("table", false, table),
	SOURCE("hosts", false, hosts),
	SOURCE("url", false, url),
};

typedef struct secret_row {
	int32_t id;
	cas_str_t secret;
} secret_row_t;

static const field_t secret_fields[] = {
	{ "id", FIELD_INT32, true, offsetof(secret_row_t, id), 1, INT32_MAX },
	{ "secret", FIELD_TEXT, true, offsetof(secret_row_t, secret), 0,
	  CONFIG_FAULTS_MAX * 10 },
};

static const field_t log_fields[] = {
	{ "level", FIELD_TEXT, true, 0, 1, 16 },
};

static const field_t drain_fields[] = {
	{ "timeout_ms", FIELD_INT32, true,
	  offsetof(settings_t, drain_timeout_ms), 0, TIMEOUT_MAX_MS },
};

static const field_t limits_fields[] = {
	{ "connections", FIELD_INT32, false,
	  offsetof(settings_t, max_connections), 1, CONNECTIONS_MAX },
	{ "header_bytes", FIELD_INT32, false,
	  offsetof(settings_t, max_header_bytes), HEADER_MIN_BYTES,
	  HEADER_MAX_BYTES },
	{ "idle_timeout_ms", FIELD_INT32, false,
	  offsetof(settings_t, idle_timeout_ms), 1, TIMEOUT_MAX_MS },
};

static const field_t quota_fields[] = {
	{ "window_ms", FIELD_INT32, true,
	  offsetof(settings_t, tolerance.window_ms), 1, TIMEOUT_MAX_MS },
	{ "over", FIELD_MICRO, true, offsetof(settings_t, tolerance.over_micro),
	  0, MICRO_MAX },
	{ "slack", FIELD_MICRO, true,
	  offsetof(settings_t, tolerance.slack_micro), 0, MICRO_MAX },
};

static const field_t retry_fields[] = {
	{ "first_per_retry", FIELD_INT32, true,
	  offsetof(settings_t, first_per_retry), 1, FIRST_PER_RETRY_MAX },
};

static const field_t data_centre_fields[] = {
	{ "data_centre", FIELD_NAME, true,
	  offsetof(settings_data_centre_t, name), 0, 0 },
	{ "region", FIELD_NAME, true, offsetof(settings_data_centre_t, region),
	  0, 0 },
};

static bool read_section(reader_t *reader, const toml_node_t *node,
			 const field_t *fields, size_t count, void *out)
{
	if (!node)
		return false;
	if (node->kind != TOML_KIND_TABLE) {
		reader_fault(reader, node, NULL, CAS_STR(""),
			     "\"%.*s\" must be a section: [%.*s]",
			     CAS_STR_ARG(node->key), CAS_STR_ARG(node->key));
		return false;
	}
	reader_fields(reader, node, node->key, fields, count, out);
	return true;
}

/* Reads an endpoint and checks that it is stated once and whole. */
static void read_endpoint_section(reader_t *reader, const toml_node_t *node,
				  const field_t *fields, size_t count,
				  bool address_required, void *out)
{
	const char *port = "port";
	bool whole;

	if (!read_section(reader, node, fields, count, out))
		return;
	if (toml_get(node, "control_port"))
		port = "http_port";
	whole = toml_get(node, "endpoint");
	if (whole && (toml_get(node, "address") || toml_get(node, port)))
		reader_fault(
			reader, toml_get(node, "endpoint"), node, node->key,
			"endpoint takes the place of address and %s", port);
	if (!whole && address_required && !toml_get(node, "address"))
		reader_fault(reader, NULL, node, node->key,
			     "key \"address\" is missing");
	if (!whole && !toml_get(node, port))
		reader_fault(reader, NULL, node, node->key,
			     "key \"%s\" is missing", port);
}

/* Each kind of source has its own keys. */
static void check_source_key(reader_t *reader, const toml_node_t *node,
			     const char *key, bool wanted, bool required)
{
	const toml_node_t *value = toml_get(node, key);

	if (value && !wanted)
		reader_fault(reader, value, NULL, CAS_STR("source"),
			     "%s does not belong to this kind of source", key);
	else if (!value && required)
		reader_fault(reader, NULL, node, CAS_STR("source"),
			     "key \"%s\" is missing", key);
}

static void check_url(reader_t *reader, const toml_node_t *node, cas_str_t *url)
{
	if (!url->ptr)
		return;
	while (url->len && url->ptr[url->len - 1] == '/')
		url->len--;
	if (!cas_str_starts_with(*url, CAS_STR("http://")) || url->len < 8)
		reader_fault(reader, toml_get(node, "url"), node,
			     CAS_STR("source"), "url must begin with http://");
}

static void read_source(reader_t *reader, const toml_node_t *node,
			settings_t *settings)
{
	source_row_t row = { 0 };
	bool platform;
	bool file;

	if (!read_section(reader, node, source_fields, COUNT(source_fields),
			  &row) ||
	    !row.kind.ptr)
		return;
	file = cas_str_equal(row.kind, CAS_STR("file"));
	platform = cas_str_equal(row.kind, CAS_STR("platform"));
	if (!file && !platform && !cas_str_equal(row.kind, CAS_STR("http"))) {
		reader_fault(reader, toml_get(node, "kind"), node,
			     CAS_STR("source"),
			     "kind must be \"file\", \"http\" or "
			     "\"platform\"");
		return;
	}
	check_source_key(reader, node, "table", file, file);
	check_source_key(reader, node, "hosts", file, false);
	check_source_key(reader, node, "url", !file, !file);
	check_url(reader, node, &row.url);
	settings->source_kind = SETTINGS_SOURCE_HTTP;
	if (file)
		settings->source_kind = SETTINGS_SOURCE_FILE;
	else if (platform)
		settings->source_kind = SETTINGS_SOURCE_PLATFORM;
	settings->table_path = row.table;
	settings->hosts_path = row.hosts.len ? row.hosts : row.table;
	settings->source_url = row.url;
}

static void read_secret(reader_t *reader, const toml_node_t *node, size_t index,
			settings_secret_t *secret)
{
	cas_str_t name = reader_row_name(reader, "secret", node, index);
	secret_row_t row = { 0 };

	reader_fields(reader, node, name, secret_fields, COUNT(secret_fields),
		      &row);
	secret->id = row.id;
	if (!row.secret.ptr)
		return;
	if (sodium_hex2bin(secret->bytes, sizeof(secret->bytes), row.secret.ptr,
			   row.secret.len, NULL, &secret->len, NULL) ||
	    secret->len * 2 != row.secret.len ||
	    secret->len < SETTINGS_SECRET_MIN_BYTES)
		reader_fault(reader, toml_get(node, "secret"), node, name,
			     "secret must be %d to %d bytes in hexadecimal",
			     SETTINGS_SECRET_MIN_BYTES,
			     SETTINGS_SECRET_MAX_BYTES);
	sodium_memzero((void *)row.secret.ptr, row.secret.len);
}

static void read_secrets(reader_t *reader, const toml_node_t *node,
			 settings_t *settings)
{
	settings_secret_t *secrets = settings->secrets;

	if (!node || !reader_is_rows(reader, node))
		return;
	if (!node->count || node->count > SETTINGS_SECRETS_MAX) {
		reader_fault(reader, node, NULL, CAS_STR(""),
			     "there must be 1 or %d secrets",
			     SETTINGS_SECRETS_MAX);
		return;
	}
	settings->secret_count = node->count;
	for (size_t i = 0; i < node->count; i++)
		read_secret(reader, &node->children[i], i, &secrets[i]);
	if (node->count == 2 && secrets[0].id && secrets[0].id == secrets[1].id)
		reader_fault(reader, &node->children[1], NULL,
			     CAS_STR("secret 2"), "the id is already used");
}

static void read_seeds(reader_t *reader, const toml_node_t *node,
		       settings_t *settings)
{
	if (!node || !reader_is_rows(reader, node))
		return;
	if (node->count > SETTINGS_SEEDS_MAX) {
		reader_fault(reader, node, NULL, CAS_STR(""),
			     "there must be at most %d seeds",
			     SETTINGS_SEEDS_MAX);
		return;
	}
	settings->seed_count = node->count;
	for (size_t i = 0; i < node->count; i++) {
		const toml_node_t *row = &node->children[i];

		read_endpoint_section(reader, row, seed_fields,
				      COUNT(seed_fields), true,
				      &settings->seeds[i]);
	}
}

static void read_log(reader_t *reader, const toml_node_t *node,
		     settings_t *settings)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	cas_str_t level = { 0 };

	if (!read_section(reader, node, log_fields, COUNT(log_fields),
			  &level) ||
	    !level.ptr)
		return;
	for (size_t i = 0; i < COUNT(names); i++) {
		if (!cas_str_equal(level, cas_str_from(names[i])))
			continue;
		settings->log_level = (cas_log_level_t)i;
		return;
	}
	reader_fault(reader, toml_get(node, "level"), node, CAS_STR("log"),
		     "level must be error, warn, info or debug");
}

static void read_data_centres(reader_t *reader, const toml_node_t *rows,
			      settings_t *settings)
{
	if (!rows || !reader_is_rows(reader, rows))
		return;
	settings->data_centre_count = rows->count;
	settings->data_centres = reader_array(
		reader, sizeof(settings_data_centre_t), rows->count);
	for (size_t i = 0; settings->data_centres && i < rows->count; i++)
		reader_fields(reader, &rows->children[i], rows->key,
			      data_centre_fields, COUNT(data_centre_fields),
			      &settings->data_centres[i]);
}

static void read_protocol(reader_t *reader, const settings_root_t *root,
			  settings_t *settings)
{
	if (!root->protocol.ptr)
		return;
	if (cas_str_equal(root->protocol, CAS_STR("platform")))
		settings->protocol = SETTINGS_PROTOCOL_PLATFORM;
	else if (!cas_str_equal(root->protocol, CAS_STR("cassia")))
		reader_fault(reader, NULL, root->node, CAS_STR(""),
			     "protocol must be \"cassia\" or \"platform\"");
}

/*
 * Where the platform hands out no secret, daemons still sign, so that damaged
 * and stray messages are dropped; the network keeps others out.
 */
static void read_trust(reader_t *reader, const settings_root_t *root,
		       settings_t *settings)
{
	static const uint8_t public_key[] = "cassiadale without secret";

	if (!root->trust.ptr || cas_str_equal(root->trust, CAS_STR("secret"))) {
		if (!root->secrets)
			reader_fault(reader, NULL, root->node, CAS_STR(""),
				     "key \"secret\" is missing");
		return;
	}
	if (!cas_str_equal(root->trust, CAS_STR("network")) || root->secrets) {
		reader_fault(reader, NULL, root->node, CAS_STR(""),
			     "trust must be \"secret\", or \"network\" "
			     "without secrets");
		return;
	}
	settings->secret_count = 1;
	settings->secrets[0].id = 1;
	settings->secrets[0].len = sizeof(public_key);
	memcpy(settings->secrets[0].bytes, public_key, sizeof(public_key));
}

static bool is_loopback(struct in_addr address)
{
	return ntohl(address.s_addr) >> 24 == IN_LOOPBACKNET;
}

/* Loopback, or the address of this host, which the platform lets only its own
 * processes reach. */
static bool is_own(const settings_root_t *root, struct in_addr address)
{
	return is_loopback(address) ||
	       address.s_addr == root->settings.peer.address.s_addr;
}

/* Child calls carry no key, so nothing outside the host may reach them. */
static void check_addresses(reader_t *reader, const settings_root_t *root)
{
	if (root->local && root->local->kind == TOML_KIND_TABLE &&
	    !is_own(root, root->settings.local.address))
		reader_fault(reader, toml_get(root->local, "address"),
			     root->local, CAS_STR("local"),
			     "the local address must be a loopback address or "
			     "the address of this host");
	if (root->upstream && root->upstream->kind == TOML_KIND_TABLE &&
	    !is_own(root, root->settings.upstream.address))
		reader_fault(reader, toml_get(root->upstream, "address"),
			     root->upstream, CAS_STR("upstream"),
			     "the upstream address must be a loopback address "
			     "or the address of this host");
}

static void read_sections(reader_t *reader, settings_root_t *root)
{
	settings_t *settings = &root->settings;

	read_endpoint_section(reader, root->front, front_fields,
			      COUNT(front_fields), true, settings);
	read_endpoint_section(reader, root->local, local_fields,
			      COUNT(local_fields), false, settings);
	read_endpoint_section(reader, root->peer, peer_fields,
			      COUNT(peer_fields), true, settings);
	read_endpoint_section(reader, root->operators, operators_fields,
			      COUNT(operators_fields), false, settings);
	read_endpoint_section(reader, root->upstream, upstream_fields,
			      COUNT(upstream_fields), false, settings);
	read_source(reader, root->source, settings);
	read_secrets(reader, root->secrets, settings);
	read_seeds(reader, root->seeds, settings);
	read_log(reader, root->log, settings);
	read_section(reader, root->drain, drain_fields, COUNT(drain_fields),
		     settings);
	read_section(reader, root->limits, limits_fields, COUNT(limits_fields),
		     settings);
	read_section(reader, root->quota, quota_fields, COUNT(quota_fields),
		     settings);
	read_section(reader, root->retry, retry_fields, COUNT(retry_fields),
		     settings);
	read_data_centres(reader, root->data_centres, settings);
	read_protocol(reader, root, settings);
	read_trust(reader, root, settings);
	settings->has_local = root->local;
	check_addresses(reader, root);
}

static void read_root(reader_t *reader, const toml_node_t *node,
		      settings_t *settings)
{
	settings_root_t root = { .settings = {
					 .local.address.s_addr =
						 htonl(INADDR_LOOPBACK),
					 .operators.address.s_addr =
						 htonl(INADDR_LOOPBACK),
					 .upstream.address.s_addr =
						 htonl(INADDR_LOOPBACK),
					 .log_level = CAS_LOG_INFO,
					 .first_per_retry =
						 FIRST_PER_RETRY_DEFAULT,
					 .drain_timeout_ms = DRAIN_DEFAULT_MS,
					 .max_connections = CONNECTIONS_DEFAULT,
					 .max_header_bytes =
						 HEADER_DEFAULT_BYTES,
					 .idle_timeout_ms = IDLE_DEFAULT_MS,
				 } };

	root.node = node;
	reader_fields(reader, node, CAS_STR(""), root_fields,
		      COUNT(root_fields), &root);
	read_sections(reader, &root);
	*settings = root.settings;
	settings->control.address = settings->peer.address;
	settings->host_id = cas_id_of(settings->host);
	settings->data_centre_id = cas_id_of(settings->data_centre);
	settings->service_id = cas_id_of(settings->service);
	sodium_memzero(&root, sizeof(root));
}

int settings_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		  settings_t **settings)
{
	TALLOC_CTX *tree = talloc_new(NULL);
	settings_t *read = talloc_zero(tree, settings_t);
	reader_t reader = { read, faults, 0 };
	const toml_node_t *root;
	int rc = CONFIG_ENOMEM;

	if (!read)
		goto error;
	root = reader_parse(&reader, tree, text);
	if (root)
		read_root(&reader, root, read);
	config_faults_sort(faults);
	rc = reader.rc;
	if (!rc && (faults->count || faults->left_out))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*settings = talloc_steal(ctx, read);
error:
	talloc_free(tree);
	return rc;
}
