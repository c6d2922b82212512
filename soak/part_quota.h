/* Part with the quota module on each host, and the requests that it admits or
 * refuses. */
#ifndef SOAK_PART_QUOTA_H
#define SOAK_PART_QUOTA_H

#include "check_windows.h"
#include "fake_platform.h"
#include "cassia/quota.h"

/* Requests of one customer. The ideal bucket is a single token bucket for the
 * whole fleet that gets the same requests. */
typedef struct part_quota_totals {
	uint64_t sent;
	uint64_t admitted;
	uint64_t refused;
	uint64_t ideal_admitted; /* by the ideal bucket */
	/* Refused although the ideal bucket admitted. */
	uint64_t wrongly_refused;
	uint64_t total_wait_us; /* sum over the admitted requests */
	uint64_t aborted; /* the daemon stopped before the decision */
} part_quota_totals_t;

/* Adds the part to the fleet and returns its index. customers is borrowed.
 * windows (borrowed, may be NULL) is told of every admission. The module uses
 * the fence that is selected in fence.h, whose part must be added too. */
size_t part_quota_add(fleet_t *fleet, fake_customer_t *customers, size_t count,
		      check_windows_t *windows);

/* Makes a request of a customer (index) at a host. Does nothing while the host
 * does not run or is paused. */
void part_quota_request(fleet_host_t *host, size_t customer);

/* Fills the ideal buckets and sets the totals to 0, after a warm-up. */
void part_quota_reset(fleet_t *fleet);

/* Returns the totals of a customer (index). */
part_quota_totals_t *part_quota_totals(fleet_t *fleet, size_t customer);

/* Returns the module of a running host. */
quota_t *part_quota_of(fleet_host_t *host);

#endif
