/* Reads the settings of a daemon from TOML and checks them. */
#include "cassia/settings.h"

#include <arpa/inet.h>
#include <sodium.h>

#include "cassia/clock.h"
#include "schema_internal.h"

/* Limits and defaults of the values. */
#define PATH_MAX_BYTES 1024 /* of a path or URL */
#define SECRET_TEXT_MAX_BYTES 1000 /* read_secret checks the decoded length */
#define TIMEOUT_MAX_MS 3600000
#define DRAIN_DEFAULT_MS 30000
/* Part of the grace period that a drain may take; the rest is left for the
 * exit. */
#define DRAIN_GRACE_NUMERATOR 11
#define DRAIN_GRACE_DENOMINATOR 12
#define CONNECTIONS_DEFAULT 4096
#define CONNECTIONS_MAX 65536
#define HEADER_DEFAULT_BYTES 16384
#define HEADER_MIN_BYTES 1024
#define HEADER_MAX_BYTES 262144
#define IDLE_DEFAULT_MS 60000
#define FIRST_PER_RETRY_DEFAULT 10
#define FIRST_PER_RETRY_MAX 100000
#define MICRO_PER_UNIT INT64_C(1000000)
#define MICRO_MAX (INT64_C(1000000) * 1000000) /* a million, in millionths */

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* Top level of the settings while they are read. The nodes are the sections;
 * NULL if absent. */
typedef struct settings_root {
	settings_t settings; /* must be first: fields use its offsets */
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
	const toml_node_t *retry_plan;
	const toml_node_t *warm_up;
	const toml_node_t *processor;
	const toml_node_t *data_centres;
	cas_str_t protocol;
	cas_str_t trust;
	const toml_node_t *node; /* the whole document */
} settings_root_t;

#define SECTION_FIELD(key, required, member)                                   \
	{                                                                      \
		key, FIELD_NODE, required, offsetof(settings_root_t, member),  \
			0, 0                                                   \
	}
#define NAME_FIELD(key, member)                                                \
	{                                                                      \
		key, FIELD_NAME, true, offsetof(settings_t, member), 0, 0      \
	}

static const field_t root_fields[] = {
	NAME_FIELD("host", host),
	NAME_FIELD("data_centre", data_centre),
	NAME_FIELD("service", service),
	SECTION_FIELD("front", true, front),
	SECTION_FIELD("local", false, local),
	SECTION_FIELD("peer", true, peer),
	SECTION_FIELD("operators", true, operators),
	SECTION_FIELD("upstream", true, upstream),
	SECTION_FIELD("source", true, source),
	SECTION_FIELD("secret", false, secrets),
	SECTION_FIELD("seed", false, seeds),
	SECTION_FIELD("log", false, log),
	SECTION_FIELD("drain", false, drain),
	SECTION_FIELD("limits", false, limits),
	SECTION_FIELD("quota", false, quota),
	SECTION_FIELD("retry", false, retry),
	SECTION_FIELD("retry_plan", false, retry_plan),
	SECTION_FIELD("warm_up", false, warm_up),
	SECTION_FIELD("processor", false, processor),
	SECTION_FIELD("region", false, data_centres),
	{ "protocol", FIELD_TEXT, false, offsetof(settings_root_t, protocol), 1,
	  16 },
	{ "trust", FIELD_TEXT, false, offsetof(settings_root_t, trust), 1, 16 },
};

/* Fields of an endpoint at offset base. It is given either as address and port
 * or as endpoint = "ADDRESS:PORT". */
#define ENDPOINT_FIELDS(base, min_port)                                        \
	{                                                                      \
		{ "address", FIELD_ADDRESS,                                    \
		  false,     (base) + offsetof(settings_endpoint_t, address),  \
		  0,	     0 },                                              \
			{ "port",                                              \
			  FIELD_PORT,                                          \
			  false,                                               \
			  (base) + offsetof(settings_endpoint_t, port),        \
			  min_port,                                            \
			  UINT16_MAX },                                        \
			{ "endpoint", FIELD_ENDPOINT, false, base, 0, 0 },     \
	}

static const field_t front_fields[] =
	ENDPOINT_FIELDS(offsetof(settings_t, front), 0);
static const field_t local_fields[] =
	ENDPOINT_FIELDS(offsetof(settings_t, local), 0);
static const field_t operators_fields[] =
	ENDPOINT_FIELDS(offsetof(settings_t, operators), 0);
static const field_t upstream_fields[] =
	ENDPOINT_FIELDS(offsetof(settings_t, upstream), 1);

static const field_t seed_fields[] = ENDPOINT_FIELDS(0, 1);

static const field_t peer_fields[] = {
	{ "address", FIELD_ADDRESS, false, offsetof(settings_t, peer.address),
	  0, 0 },
	{ "http_port", FIELD_PORT, false, offsetof(settings_t, peer.port), 0,
	  UINT16_MAX },
	{ "endpoint", FIELD_ENDPOINT, false, offsetof(settings_t, peer), 0, 0 },
	{ "control_port", FIELD_PORT, true, offsetof(settings_t, control.port),
	  0, UINT16_MAX },
};

/* The [source] section. */
typedef struct source_section {
	cas_str_t kind;
	cas_str_t table;
	cas_str_t hosts;
	cas_str_t url;
} source_section_t;

#define SOURCE_FIELD(key, required, member)                                    \
	{                                                                      \
		key, FIELD_TEXT, required, offsetof(source_section_t, member), \
			1, PATH_MAX_BYTES                                      \
	}

static const field_t source_fields[] = {
	SOURCE_FIELD("kind", true, kind),
	SOURCE_FIELD("table", false, table),
	SOURCE_FIELD("hosts", false, hosts),
	SOURCE_FIELD("url", false, url),
};

/* A [[secret]] row. */
typedef struct secret_row {
	int32_t id;
	cas_str_t secret; /* hexadecimal digits */
} secret_row_t;

static const field_t secret_fields[] = {
	{ "id", FIELD_INT32, true, offsetof(secret_row_t, id), 1, INT32_MAX },
	{ "secret", FIELD_TEXT, true, offsetof(secret_row_t, secret), 0,
	  SECRET_TEXT_MAX_BYTES },
};

static const field_t log_fields[] = {
	{ "level", FIELD_TEXT, true, 0, 1, 16 },
};

static const field_t drain_fields[] = {
	{ "timeout_ms", FIELD_INT32, false,
	  offsetof(settings_t, drain_timeout_ms), 0, TIMEOUT_MAX_MS },
	{ "grace_period_s", FIELD_MICRO, false,
	  offsetof(settings_t, drain_grace_us), 1,
	  TIMEOUT_MAX_MS *CAS_USEC_PER_MSEC },
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
	{ "over", FIELD_MICRO, true,
	  offsetof(settings_t, tolerance.over_fraction_micro), 0, MICRO_MAX },
	{ "slack", FIELD_MICRO, true,
	  offsetof(settings_t, tolerance.window_allowance_micro), 0,
	  MICRO_MAX },
};

static const field_t retry_fields[] = {
	{ "first_per_retry", FIELD_INT32, true,
	  offsetof(settings_t, first_per_retry), 1, FIRST_PER_RETRY_MAX },
};

static const field_t retry_plan_fields[] = {
	{ "repeat_ratio", FIELD_MICRO, true,
	  offsetof(settings_t, repeat_ratio_micro), 0, MICRO_MAX },
};

static const field_t warm_up_fields[] = {
	{ "factor", FIELD_MICRO, true,
	  offsetof(settings_t, warm_up.factor_micro), MICRO_PER_UNIT,
	  MICRO_MAX },
	{ "slack", FIELD_MICRO, true, offsetof(settings_t, warm_up.slack_micro),
	  0, MICRO_MAX },
};

static const field_t processor_fields[] = {
	{ "share", FIELD_MICRO, true,
	  offsetof(settings_t, processor_share_micro), 1, MICRO_MAX },
};

static const field_t data_centre_fields[] = {
	{ "data_centre", FIELD_NAME, true,
	  offsetof(settings_data_centre_t, name), 0, 0 },
	{ "region", FIELD_NAME, true, offsetof(settings_data_centre_t, region),
	  0, 0 },
};

/* Reads a section into *out. Returns false if it is absent or not a TOML
 * table; the latter is reported. */
static bool read_section(reader_t *reader, const toml_node_t *node,
			 const field_t *fields, size_t count, void *out)
{
	if (!node)
		return false;
	if (node->kind != TOML_KIND_TABLE) {
		reader_add_fault(reader, node, NULL, CAS_STR(""),
				 "\"%.*s\" must be a section: [%.*s]",
				 CAS_STR_ARG(node->key),
				 CAS_STR_ARG(node->key));
		return false;
	}
	reader_read_fields(reader, node, node->key, fields, count, out);
	return true;
}

/*
 * Reads a section with an endpoint, and checks that it has either the key
 * endpoint or the keys address and port, not both. The address may be absent
 * if address_required is false; *out then keeps its default. The peer section
 * has http_port in place of port.
 */
static void read_endpoint_section(reader_t *reader, const toml_node_t *node,
				  const field_t *fields, size_t count,
				  bool address_required, void *out)
{
	const char *port = "port";
	bool has_endpoint;

	if (!read_section(reader, node, fields, count, out))
		return;
	if (toml_get(node, "control_port"))
		port = "http_port";
	has_endpoint = toml_get(node, "endpoint");
	if (has_endpoint && (toml_get(node, "address") || toml_get(node, port)))
		reader_add_fault(
			reader, toml_get(node, "endpoint"), node, node->key,
			"endpoint cannot be combined with address or %s", port);
	if (!has_endpoint && address_required && !toml_get(node, "address"))
		reader_add_fault(reader, NULL, node, node->key,
				 "key \"address\" is missing");
	if (!has_endpoint && !toml_get(node, port))
		reader_add_fault(reader, NULL, node, node->key,
				 "key \"%s\" is missing", port);
}

/* Checks a key of the [source] section: whether it is allowed and required
 * depends on the kind of source. */
static void check_source_key(reader_t *reader, const toml_node_t *node,
			     const char *key, bool allowed, bool required)
{
	const toml_node_t *value = toml_get(node, key);

	if (value && !allowed)
		reader_add_fault(reader, value, NULL, CAS_STR("source"),
				 "%s does not belong to this kind of source",
				 key);
	else if (!value && required)
		reader_add_fault(reader, NULL, node, CAS_STR("source"),
				 "key \"%s\" is missing", key);
}

/* Checks the URL and removes trailing slashes. */
static void check_url(reader_t *reader, const toml_node_t *node, cas_str_t *url)
{
	if (!url->ptr)
		return;
	while (url->len && url->ptr[url->len - 1] == '/')
		url->len--;
	if (!cas_str_starts_with(*url, CAS_STR("http://")) || url->len < 8)
		reader_add_fault(reader, toml_get(node, "url"), node,
				 CAS_STR("source"),
				 "url must begin with http://");
}

static void read_source(reader_t *reader, const toml_node_t *node,
			settings_t *settings)
{
	source_section_t section = { 0 };
	bool is_platform;
	bool is_file;

	if (!read_section(reader, node, source_fields,
			  ARRAY_LENGTH(source_fields), &section) ||
	    !section.kind.ptr)
		return;
	is_file = cas_str_equal(section.kind, CAS_STR("file"));
	is_platform = cas_str_equal(section.kind, CAS_STR("platform"));
	if (!is_file && !is_platform &&
	    !cas_str_equal(section.kind, CAS_STR("http"))) {
		reader_add_fault(reader, toml_get(node, "kind"), node,
				 CAS_STR("source"),
				 "kind must be \"file\", \"http\" or "
				 "\"platform\"");
		return;
	}
	check_source_key(reader, node, "table", is_file, is_file);
	check_source_key(reader, node, "hosts", is_file, false);
	check_source_key(reader, node, "url", !is_file, !is_file);
	check_url(reader, node, &section.url);
	settings->source_kind = SETTINGS_SOURCE_HTTP;
	if (is_file)
		settings->source_kind = SETTINGS_SOURCE_FILE;
	else if (is_platform)
		settings->source_kind = SETTINGS_SOURCE_PLATFORM;
	settings->table_path = section.table;
	settings->hosts_path =
		section.hosts.len ? section.hosts : section.table;
	settings->source_url = section.url;
}

static void read_secret(reader_t *reader, const toml_node_t *node, size_t index,
			settings_secret_t *secret)
{
	cas_str_t name = reader_row_name(reader, "secret", node, index);
	secret_row_t row = { 0 };

	reader_read_fields(reader, node, name, secret_fields,
			   ARRAY_LENGTH(secret_fields), &row);
	secret->id = row.id;
	if (!row.secret.ptr)
		return;
	if (sodium_hex2bin(secret->bytes, sizeof(secret->bytes), row.secret.ptr,
			   row.secret.len, NULL, &secret->len, NULL) ||
	    secret->len * 2 != row.secret.len ||
	    secret->len < SETTINGS_SECRET_MIN_BYTES)
		reader_add_fault(reader, toml_get(node, "secret"), node, name,
				 "secret must be %d to %d bytes in hexadecimal",
				 SETTINGS_SECRET_MIN_BYTES,
				 SETTINGS_SECRET_MAX_BYTES);
	/* Clear the copy of the text that reader_read_fields made. */
	sodium_memzero((void *)row.secret.ptr, row.secret.len);
}

static void read_secrets(reader_t *reader, const toml_node_t *node,
			 settings_t *settings)
{
	settings_secret_t *secrets = settings->secrets;

	if (!node || !reader_check_rows(reader, node))
		return;
	if (!node->count || node->count > SETTINGS_SECRETS_MAX) {
		reader_add_fault(reader, node, NULL, CAS_STR(""),
				 "there must be 1 or %d secrets",
				 SETTINGS_SECRETS_MAX);
		return;
	}
	settings->secret_count = node->count;
	for (size_t i = 0; i < node->count; i++)
		read_secret(reader, &node->children[i], i, &secrets[i]);
	if (node->count == 2 && secrets[0].id && secrets[0].id == secrets[1].id)
		reader_add_fault(reader, &node->children[1], NULL,
				 CAS_STR("secret 2"), "the id is already used");
}

static void read_seeds(reader_t *reader, const toml_node_t *node,
		       settings_t *settings)
{
	if (!node || !reader_check_rows(reader, node))
		return;
	if (node->count > SETTINGS_SEEDS_MAX) {
		reader_add_fault(reader, node, NULL, CAS_STR(""),
				 "there must be at most %d seeds",
				 SETTINGS_SEEDS_MAX);
		return;
	}
	settings->seed_count = node->count;
	for (size_t i = 0; i < node->count; i++) {
		const toml_node_t *row = &node->children[i];

		read_endpoint_section(reader, row, seed_fields,
				      ARRAY_LENGTH(seed_fields), true,
				      &settings->seeds[i]);
	}
}

/* Reads the time limit of a drain, given as such or by the time after which the
 * supervisor kills the process. The rest of that time is left for the exit. */
static void read_drain(reader_t *reader, const toml_node_t *node,
		       settings_t *settings)
{
	const toml_node_t *grace =
		node ? toml_get(node, "grace_period_s") : NULL;

	read_section(reader, node, drain_fields, ARRAY_LENGTH(drain_fields),
		     settings);
	if (!grace)
		return;
	if (toml_get(node, "timeout_ms"))
		reader_add_fault(reader, grace, node, CAS_STR("drain"),
				 "grace_period_s cannot be combined with "
				 "timeout_ms");
	settings->drain_timeout_ms =
		(int32_t)(settings->drain_grace_us * DRAIN_GRACE_NUMERATOR /
			  DRAIN_GRACE_DENOMINATOR / CAS_USEC_PER_MSEC);
}

static void read_log(reader_t *reader, const toml_node_t *node,
		     settings_t *settings)
{
	/* In the order of cas_log_level_t. */
	static const char *const level_names[] = { "error", "warn", "info",
						   "debug" };
	cas_str_t level = { 0 };

	if (!read_section(reader, node, log_fields, ARRAY_LENGTH(log_fields),
			  &level) ||
	    !level.ptr)
		return;
	for (size_t i = 0; i < ARRAY_LENGTH(level_names); i++) {
		if (!cas_str_equal(level, cas_str_from_cstr(level_names[i])))
			continue;
		settings->log_level = (cas_log_level_t)i;
		return;
	}
	reader_add_fault(reader, toml_get(node, "level"), node, CAS_STR("log"),
			 "level must be error, warn, info or debug");
}

/* Reads the [[region]] rows, which give the region of each data centre. */
static void read_data_centres(reader_t *reader, const toml_node_t *rows,
			      settings_t *settings)
{
	if (!rows || !reader_check_rows(reader, rows))
		return;
	settings->data_centre_count = rows->count;
	settings->data_centres = reader_alloc_array(
		reader, sizeof(settings_data_centre_t), rows->count);
	for (size_t i = 0; settings->data_centres && i < rows->count; i++)
		reader_read_fields(reader, &rows->children[i], rows->key,
				   data_centre_fields,
				   ARRAY_LENGTH(data_centre_fields),
				   &settings->data_centres[i]);
}

/* Reads protocol; without it, the daemon's own protocol is used. */
static void read_protocol(reader_t *reader, const settings_root_t *root,
			  settings_t *settings)
{
	if (!root->protocol.ptr)
		return;
	if (cas_str_equal(root->protocol, CAS_STR("platform")))
		settings->protocol = SETTINGS_PROTOCOL_PLATFORM;
	else if (!cas_str_equal(root->protocol, CAS_STR("cassia")))
		reader_add_fault(reader, NULL, root->node, CAS_STR(""),
				 "protocol must be \"cassia\" or \"platform\"");
}

/*
 * Reads trust, which says how messages of other daemons are authenticated: by a
 * shared secret, or not at all ("network") where the platform distributes no
 * secrets. In the latter case the network must keep others out; daemons sign
 * with a published constant, so that damaged and misdirected messages are still
 * dropped.
 */
static void read_trust(reader_t *reader, const settings_root_t *root,
		       settings_t *settings)
{
	static const uint8_t published_secret[] = "cassiadale without secret";

	if (!root->trust.ptr || cas_str_equal(root->trust, CAS_STR("secret"))) {
		if (!root->secrets)
			reader_add_fault(reader, NULL, root->node, CAS_STR(""),
					 "key \"secret\" is missing");
		return;
	}
	if (!cas_str_equal(root->trust, CAS_STR("network")) || root->secrets) {
		reader_add_fault(reader, NULL, root->node, CAS_STR(""),
				 "trust must be \"secret\", or \"network\" "
				 "without secrets");
		return;
	}
	settings->secret_count = 1;
	settings->secrets[0].id = 1;
	settings->secrets[0].len = sizeof(published_secret);
	memcpy(settings->secrets[0].bytes, published_secret,
	       sizeof(published_secret));
}

static bool is_loopback(struct in_addr address)
{
	return ntohl(address.s_addr) >> 24 == IN_LOOPBACKNET;
}

/* Returns whether an address is a loopback address or the address of this host,
 * which the platform makes reachable only for processes of the host. */
static bool is_own_address(const settings_root_t *root, struct in_addr address)
{
	return is_loopback(address) ||
	       address.s_addr == root->settings.peer.address.s_addr;
}

/* Checks that nothing outside of this host can reach the listener for child
 * calls, which carry no key, or the upstream. */
static void check_addresses(reader_t *reader, const settings_root_t *root)
{
	if (root->local && root->local->kind == TOML_KIND_TABLE &&
	    !is_own_address(root, root->settings.local.address))
		reader_add_fault(
			reader, toml_get(root->local, "address"), root->local,
			CAS_STR("local"),
			"the local address must be a loopback address or "
			"the address of this host");
	if (root->upstream && root->upstream->kind == TOML_KIND_TABLE &&
	    !is_own_address(root, root->settings.upstream.address))
		reader_add_fault(
			reader, toml_get(root->upstream, "address"),
			root->upstream, CAS_STR("upstream"),
			"the upstream address must be a loopback address "
			"or the address of this host");
}

static void read_sections(reader_t *reader, settings_root_t *root)
{
	settings_t *settings = &root->settings;

	read_endpoint_section(reader, root->front, front_fields,
			      ARRAY_LENGTH(front_fields), true, settings);
	read_endpoint_section(reader, root->local, local_fields,
			      ARRAY_LENGTH(local_fields), false, settings);
	read_endpoint_section(reader, root->peer, peer_fields,
			      ARRAY_LENGTH(peer_fields), true, settings);
	read_endpoint_section(reader, root->operators, operators_fields,
			      ARRAY_LENGTH(operators_fields), false, settings);
	read_endpoint_section(reader, root->upstream, upstream_fields,
			      ARRAY_LENGTH(upstream_fields), false, settings);
	read_source(reader, root->source, settings);
	read_secrets(reader, root->secrets, settings);
	read_seeds(reader, root->seeds, settings);
	read_log(reader, root->log, settings);
	read_drain(reader, root->drain, settings);
	read_section(reader, root->limits, limits_fields,
		     ARRAY_LENGTH(limits_fields), settings);
	read_section(reader, root->quota, quota_fields,
		     ARRAY_LENGTH(quota_fields), settings);
	read_section(reader, root->retry, retry_fields,
		     ARRAY_LENGTH(retry_fields), settings);
	read_section(reader, root->retry_plan, retry_plan_fields,
		     ARRAY_LENGTH(retry_plan_fields), settings);
	read_section(reader, root->warm_up, warm_up_fields,
		     ARRAY_LENGTH(warm_up_fields), settings);
	read_section(reader, root->processor, processor_fields,
		     ARRAY_LENGTH(processor_fields), settings);
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
					 .warm_up.factor_micro = MICRO_PER_UNIT,
					 .drain_timeout_ms = DRAIN_DEFAULT_MS,
					 .max_connections = CONNECTIONS_DEFAULT,
					 .max_header_bytes =
						 HEADER_DEFAULT_BYTES,
					 .idle_timeout_ms = IDLE_DEFAULT_MS,
				 } };

	root.node = node;
	reader_read_fields(reader, node, CAS_STR(""), root_fields,
			   ARRAY_LENGTH(root_fields), &root);
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
	settings_t *result = talloc_zero(tree, settings_t);
	reader_t reader = { result, faults, 0 };
	const toml_node_t *root;
	int rc = CONFIG_ENOMEM;

	if (!result)
		goto error;
	root = reader_parse(&reader, tree, text);
	if (root)
		read_root(&reader, root, result);
	config_faults_sort(faults);
	rc = reader.rc;
	if (!rc && (faults->count || faults->omitted))
		rc = CONFIG_EFAULTS;
	if (!rc)
		*settings = talloc_steal(ctx, result);
error:
	talloc_free(tree);
	return rc;
}
