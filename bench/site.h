/*
 * Starts two hosts on loopback addresses for benchmarks with real processes:
 * e1 of the service entry and b1 of the service booking, each with a daemon
 * and an upstream. There is one site per process.
 */
#ifndef CASSIA_BENCH_SITE_H
#define CASSIA_BENCH_SITE_H

#include <stdbool.h>
#include <sys/types.h>
#include <talloc.h>

#include "cassia/keys.h"

#define FRONT_PORT 18080
#define UPSTREAM_PORT 18085
#define PEER_HTTP_PORT 18081
/* Fleet secret, in hexadecimal digits. */
#define FLEET_SECRET "00112233445566778899aabbccddeeff"
/* API key of the only customer. */
#define CUSTOMER_KEY                                                           \
	KEYS_PREFIX "00000000000000000000000000000000000000000000000000000"

/* Adds rows to the table and lines to the settings of all daemons (borrowed).
 * Call it before site_create. */
void site_set_extra(const char *table_rows, const char *settings);

/* Makes a temporary directory and writes the table and the host list into it.
 * Returns 0, or -1 when the directory cannot be made. Ends the process when a
 * file cannot be written. ctx owns temporary strings. */
int site_create(TALLOC_CTX *ctx);

/* Starts the daemon and the upstream of a host, and returns the process id of
 * the daemon. build is the build directory; host_number is the last byte of
 * the address, 1 for e1 and 2 for b1; delay_us is the time, as text, that the
 * upstream takes for a request. */
pid_t site_start_host(TALLOC_CTX *ctx, const char *build, const char *name,
		      const char *service, int host_number,
		      const char *delay_us);

/* The same with the daemon that counts its allocations, whose system calls
 * strace writes to the file NAME.trace, if strace is installed. */
pid_t site_start_counted_host(TALLOC_CTX *ctx, const char *build,
			      const char *name, const char *service,
			      int host_number, const char *delay_us);

/* Returns whether system calls can be counted. */
bool site_has_strace(void);

/* Returns the path of a file of the site (owned by ctx); the log of a daemon is
 * NAME.log. */
const char *site_file(TALLOC_CTX *ctx, const char *name);

/* Returns the IPv4 address of a host as text (owned by ctx). */
const char *site_address(TALLOC_CTX *ctx, int host_number);

/* Kills the processes that were started and waits for them. The directory
 * stays. */
void site_stop(void);

#endif
