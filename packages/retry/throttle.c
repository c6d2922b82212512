/*
 * Rate limit on retries. Each daemon keeps its retries to a service below a
 * fraction of its own first attempts within a sliding window of 10 s, so the
 * fleet as a whole keeps to the same fraction.
 */
#include "cassia/retry.h"

#include <string.h>

/* The window consists of 10 slots of 1 s. */
#define WINDOW_SLOTS 10
#define WINDOW_SLOT_US CAS_USEC_PER_SEC
/* Ratio until retry_throttle_set_ratio is called with the value of the
 * settings. */
#define DEFAULT_FIRST_PER_RETRY 10

/* Attempts to one service within the window. */
typedef struct service_counts {
	cas_id_t service;
	int64_t newest_slot; /* clock time / WINDOW_SLOT_US */
	/* By slot modulo WINDOW_SLOTS. */
	uint64_t first_attempts[WINDOW_SLOTS];
	uint64_t retries[WINDOW_SLOTS];
	/* Sums over the slots. */
	uint64_t first_attempt_sum;
	uint64_t retry_sum;
} service_counts_t;

struct retry_throttle {
	const cas_clock_t *clock;
	uint64_t first_per_retry; /* first attempts that allow one retry */
	service_counts_t *services;
	size_t service_count;
};

retry_throttle_t *retry_throttle_create(TALLOC_CTX *ctx,
					const cas_clock_t *clock)
{
	retry_throttle_t *throttle = talloc_zero(ctx, retry_throttle_t);

	if (!throttle)
		return NULL;
	throttle->clock = clock;
	throttle->first_per_retry = DEFAULT_FIRST_PER_RETRY;
	return throttle;
}

void retry_throttle_set_ratio(retry_throttle_t *throttle,
			      uint32_t first_per_retry)
{
	throttle->first_per_retry = first_per_retry;
}

/* Clears a slot (an index below WINDOW_SLOTS) and subtracts it from the
 * sums. */
static void clear_slot(service_counts_t *counts, size_t slot)
{
	counts->first_attempt_sum -= counts->first_attempts[slot];
	counts->retry_sum -= counts->retries[slot];
	counts->first_attempts[slot] = 0;
	counts->retries[slot] = 0;
}

/* Moves the window to now_us and clears the slots that have left it. */
static void advance_window(service_counts_t *counts, int64_t now_us)
{
	int64_t slot = now_us / WINDOW_SLOT_US;
	int64_t first_stale = counts->newest_slot + 1;

	if (slot - first_stale >= WINDOW_SLOTS)
		first_stale = slot - WINDOW_SLOTS + 1;
	for (int64_t i = first_stale; i <= slot; i++)
		clear_slot(counts, (size_t)(i % WINDOW_SLOTS));
	if (slot > counts->newest_slot)
		counts->newest_slot = slot;
}

/* Returns the counts of the service (borrowed) with the window moved to the
 * current time, or NULL when there are none. */
static service_counts_t *find_service(retry_throttle_t *throttle,
				      cas_id_t service)
{
	for (size_t i = 0; i < throttle->service_count; i++) {
		service_counts_t *counts = &throttle->services[i];

		if (counts->service != service)
			continue;
		advance_window(counts, cas_clock_now(throttle->clock));
		return counts;
	}
	return NULL;
}

/* Adds counts for the service. Returns them (borrowed), or NULL when out of
 * memory. */
static service_counts_t *add_service(retry_throttle_t *throttle,
				     cas_id_t service)
{
	service_counts_t *services =
		talloc_realloc(throttle, throttle->services, service_counts_t,
			       throttle->service_count + 1);
	service_counts_t *counts;

	if (!services)
		return NULL;
	throttle->services = services;
	counts = &services[throttle->service_count++];
	memset(counts, 0, sizeof(*counts));
	counts->service = service;
	counts->newest_slot = cas_clock_now(throttle->clock) / WINDOW_SLOT_US;
	return counts;
}

int retry_throttle_count_first(retry_throttle_t *throttle, cas_id_t service)
{
	service_counts_t *counts = find_service(throttle, service);

	if (!counts)
		counts = add_service(throttle, service);
	if (!counts)
		return RETRY_ENOMEM;
	counts->first_attempts[counts->newest_slot % WINDOW_SLOTS]++;
	counts->first_attempt_sum++;
	return 0;
}

bool retry_throttle_allow_retry(retry_throttle_t *throttle, cas_id_t service)
{
	service_counts_t *counts = find_service(throttle, service);

	if (!counts)
		return false;
	if ((counts->retry_sum + 1) * throttle->first_per_retry >
	    counts->first_attempt_sum)
		return false;
	counts->retries[counts->newest_slot % WINDOW_SLOTS]++;
	counts->retry_sum++;
	return true;
}
