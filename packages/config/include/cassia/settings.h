/*
 * Settings of one daemon, read from a TOML file when the daemon starts. All
 * faults of the file are reported together.
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

/* Address to listen on or to connect to. When listening on port 0, the kernel
 * picks a free port. */
typedef struct settings_endpoint {
	struct in_addr address;
	uint16_t port; /* host byte order */
} settings_endpoint_t;

/* Shared secret with which daemons sign messages to each other. */
typedef struct settings_secret {
	int32_t id; /* 1 or more; sent with every signed message */
	uint8_t bytes[SETTINGS_SECRET_MAX_BYTES];
	size_t len; /* used part of bytes */
} settings_secret_t;

/* Where the daemon gets the table and the host list from. */
typedef enum settings_source_kind {
	SETTINGS_SOURCE_FILE,
	SETTINGS_SOURCE_HTTP,
	SETTINGS_SOURCE_PLATFORM, /* see platform/ */
} settings_source_kind_t;

/* Which header fields and configuration format the daemon uses: its own or
 * those of the platform. */
typedef enum settings_protocol {
	SETTINGS_PROTOCOL_CASSIA,
	SETTINGS_PROTOCOL_PLATFORM,
} settings_protocol_t;

/*
 * How far admitted requests may exceed a customer's rate and burst, so that a
 * daemon can admit without asking others. window_ms 0: not at all, the limit
 * is exact.
 */
typedef struct settings_tolerance {
	int32_t window_ms; /* period that the excess is measured over */
	/* Excess as a fraction of rate and burst, in millionths. */
	int64_t over_fraction_micro;
	/* Additional excess in micro-tokens a window, summed over all
	 * daemons. */
	int64_t window_allowance_micro;
} settings_tolerance_t;

/* The most requests that a cold upstream may get in any one second: the rate of
 * its service, see table_service_t, times the factor, plus the slack. */
typedef struct settings_warm_up {
	int64_t factor_micro; /* of the rate, in millionths; default 1 */
	int64_t slack_micro; /* requests, in millionths */
} settings_warm_up_t;

/* A data centre and its region. Given in the settings if the source of the
 * table does not list the data centres. */
typedef struct settings_data_centre {
	cas_str_t name;
	cas_str_t region;
} settings_data_centre_t;

typedef struct settings {
	cas_str_t host; /* name of this host in the host list */
	cas_id_t host_id;
	cas_str_t data_centre; /* that this host is in */
	cas_id_t data_centre_id;
	cas_str_t service; /* that the upstream of this host provides */
	cas_id_t service_id;

	/* Listeners of the daemon. */
	settings_endpoint_t front; /* requests of callers, HTTP */
	/* Child calls of the upstream, HTTP. Unused if has_local is false:
	 * child calls then arrive at front. */
	settings_endpoint_t local;
	bool has_local;
	settings_endpoint_t peer; /* other daemons, HTTP */
	settings_endpoint_t control; /* other daemons, ONC RPC over UDP; has
				      * the address of peer */
	settings_endpoint_t operators; /* cassiactl and metrics, HTTP */

	settings_endpoint_t upstream; /* to connect to */
	settings_source_kind_t source_kind;
	cas_str_t table_path; /* for SETTINGS_SOURCE_FILE */
	cas_str_t hosts_path; /* for SETTINGS_SOURCE_FILE; default table_path */
	cas_str_t source_url; /* for the other kinds; without a final '/' */
	/* The first secret signs, all are accepted. */
	settings_secret_t secrets[SETTINGS_SECRETS_MAX];
	size_t secret_count;
	/* Peer HTTP addresses of other hosts, asked for the table and the host
	 * list while this daemon has none and the platform does not answer. */
	settings_endpoint_t seeds[SETTINGS_SEEDS_MAX];
	size_t seed_count;
	settings_protocol_t protocol;
	settings_tolerance_t tolerance;
	settings_warm_up_t warm_up;
	/* Share of a processor core that this daemon may use, in millionths;
	 * 0: not known. */
	int64_t processor_share_micro;
	/* Retry budget: number of first attempts for each permitted retry. */
	int32_t first_per_retry;
	/* Limit of the fleet on the repeats of calls to a service, as a
	 * fraction of the calls in 10 s, in millionths; 0: not given. */
	int64_t repeat_ratio_micro;
	settings_data_centre_t *data_centres; /* NULL if none are given */
	size_t data_centre_count;
	cas_log_level_t log_level;
	int32_t drain_timeout_ms; /* longest time to finish requests before
				   * the daemon stops */
	/* Time from SIGTERM until the supervisor kills the process, from which
	 * drain_timeout_ms follows; 0: not given. */
	int64_t drain_grace_us;
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
