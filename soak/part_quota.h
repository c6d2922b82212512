/* The quota module on each host, and the requests that go through it. */
#ifndef SOAK_PART_QUOTA_H
#define SOAK_PART_QUOTA_H

#include "check_windows.h"
#include "fake_platform.h"
#include "cassia/quota.h"

/* Counts of one customer. */
typedef struct part_quota_totals {
	uint64_t sent;
	uint64_t admitted;
	uint64_t refused;
	uint64_t ideal_admitted;
	uint64_t wrongful; /* refused, but admitted by the ideal bucket */
	uint64_t waited_us; /* sum over the admitted */
	uint64_t ended; /* the daemon stopped before the verdict */
} part_quota_totals_t;

/* windows (borrowed, may be NULL) gets every admission. */
size_t part_quota_add(fleet_t *fleet, fake_customer_t *customers, size_t count,
		      check_windows_t *windows);

/* Sends a request of a customer (index) to a host. */
void part_quota_request(fleet_host_t *host, size_t customer);

/* Fills the ideal bucket and zeroes the totals. */
void part_quota_reset(fleet_t *fleet);

part_quota_totals_t *part_quota_totals(fleet_t *fleet, size_t customer);
quota_t *part_quota_of(fleet_host_t *host);

#endif
