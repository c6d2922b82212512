/* A small site of real processes for benchmarks. */
#ifndef CASSIA_BENCH_SITE_H
#define CASSIA_BENCH_SITE_H

#include <sys/types.h>
#include <talloc.h>

#include "cassia/keys.h"

#define FRONT 18080
#define UPSTREAM 18085
#define KEY KEYS_PREFIX "00000000000000000000000000000000000000000000000000000"

/* Makes the folder of the site and writes the table and the host list: e1 of
 * the service entry and b1 of booking. Returns 0 or -1. */
int site_create(TALLOC_CTX *ctx);

/* Starts the daemon and the upstream of a host; returns the daemon's id. */
pid_t site_start_host(TALLOC_CTX *ctx, const char *build, const char *name,
		      const char *service, int number, const char *delay_us);

/* Returns the address of a host (owned by ctx). */
const char *site_address(TALLOC_CTX *ctx, int number);

/* Ends the processes that were started, by their ids. */
void site_end(void);

#endif
