/*
 * Settings of one daemon, read from a TOML file at start and checked as a
 * whole.
 */
#ifndef CASSIA_SETTINGS_H
#define CASSIA_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "cassia/fault.h"
#include "cassia/hash.h"
#include "cassia/log.h"
#include "cassia/str.h"

#define SETTINGS_SECRETS_MAX 2
#define SETTINGS_SEEDS_MAX 8
#define SETTINGS_SECRET_MIN_BYTES 16
#define SETTINGS_SECRET_MAX_BYTES 64

/* Where to listen or connect. Port 0: the kernel picks one. */
typedef struct settings_endpoint {
	struct in_addr address;
	uint16_t port; /* host byte order */
} settings_endpoint_t;

typedef struct settings_secret {
	int32_t id; /* 1 or more; sent with every signed message */
	uint8_t bytes[SETTINGS_SECRET_MAX_BYTES];
	size_t len;
} settings_secret_t;

typedef enum settings_source_kind {
	SETTINGS_SOURCE_FILE,
	SETTINGS_SOURCE_HTTP,
	SETTINGS_SOURCE_PLATFORM, /* see platform/ */
} settings_source_kind_t;

/* Whose header fields and configuration the daemon speaks. */
typedef enum settings_protocol {
	SETTINGS_PROTOCOL_CASSIA,
	SETTINGS_PROTOCOL_PLATFORM,
} settings_protocol_t;

/*
 * How far admissions may exceed a customer's rate and burst, so that a daemon
 * serves without asking others. window_ms 0: not at all, the limit is exact.
 */
typedef struct settings_tolerance {
	int32_t window_ms;
	int64_t over_micro; /* part of rate and burst, in millionths */
	int64_t slack_micro; /* micro-tokens a window, over the whole fleet */
} settings_tolerance_t;

/* A data centre, where the source of the table does not list them. */
typedef struct settings_data_centre {
	cas_str_t name;
	cas_str_t region;
} settings_data_centre_t;

typedef struct settings {
	cas_str_t host;
	cas_id_t host_id;
	cas_str_t data_centre;
	cas_id_t data_centre_id;
	cas_str_t service;
	cas_id_t service_id;
	settings_endpoint_t front; /* callers, HTTP */
	/* Child calls of the upstream, HTTP; port 0 with has_local false:
	 * child calls come to the front. */
	settings_endpoint_t local;
	bool has_local;
	settings_endpoint_t peer; /* other daemons, HTTP */
	settings_endpoint_t control; /* other daemons, ONC RPC over UDP */
	settings_endpoint_t operators; /* cassiactl and metrics, HTTP */
	settings_endpoint_t upstream;
	settings_source_kind_t source_kind;
	cas_str_t table_path; /* source kind file */
	cas_str_t hosts_path; /* source kind file; the table's when left out */
	cas_str_t source_url; /* source kind http, without a final '/' */
	settings_secret_t secrets[SETTINGS_SECRETS_MAX]; /* the first signs */
	size_t secret_count;
	/* Peer HTTP addresses of other hosts, asked for the table and the host
	 * list while this daemon has none and the platform does not answer. */
	settings_endpoint_t seeds[SETTINGS_SEEDS_MAX];
	size_t seed_count;
	settings_protocol_t protocol;
	settings_tolerance_t tolerance;
	int32_t first_per_retry; /* first attempts that allow one retry */
	settings_data_centre_t *data_centres;
	size_t data_centre_count;
	cas_log_level_t log_level;
	int32_t drain_timeout_ms;
	int32_t max_connections; /* from callers */
	int32_t max_header_bytes; /* of a request */
	int32_t idle_timeout_ms; /* of a caller's connection */
} settings_t;

/*
 * Reads settings from TOML text. Returns 0 and *settings (new reference, owned
 * by ctx), CONFIG_EFAULTS with every fault added to faults, or CONFIG_ENOMEM.
 */
int settings_read(TALLOC_CTX *ctx, cas_str_t text, config_faults_t *faults,
		  settings_t **settings);

/*
 * Reads a file of at most CONFIG_DOCUMENT_MAX bytes into *text (owned by ctx).
 * Returns 0, CONFIG_EREAD with errno set (EFBIG when it is larger), or
 * CONFIG_ENOMEM.
 */
int config_read_file(TALLOC_CTX *ctx, const char *path, cas_str_t *text);

#endif
