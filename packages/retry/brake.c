/*
 * The retry brake. Each daemon keeps retries below a share of its own first
 * attempts over 10 s, so the whole fleet keeps the same share.
 */
#include "cassia/retry.h"

#include <string.h>

#define BRAKE_SLOTS 10
#define BRAKE_SLOT_US CAS_USEC_PER_SEC
#define BRAKE_FIRST_PER_RETRY 10 /* unless the settings say otherwise */

typedef struct service_counts {
	cas_id_t service;
	int64_t newest; /* number of the newest slot */
	uint64_t first[BRAKE_SLOTS];
	uint64_t retries[BRAKE_SLOTS];
	uint64_t first_sum;
	uint64_t retry_sum;
} service_counts_t;

struct retry_brake {
	const cas_clock_t *clock;
	uint64_t first_per_retry;
	service_counts_t *services;
	size_t count;
};

retry_brake_t *retry_brake_create(TALLOC_CTX *ctx, const cas_clock_t *clock)
{
	retry_brake_t *brake = talloc_zero(ctx, retry_brake_t);

	if (!brake)
		return NULL;
	brake->clock = clock;
	brake->first_per_retry = BRAKE_FIRST_PER_RETRY;
	return brake;
}

void retry_brake_set(retry_brake_t *brake, uint32_t first_per_retry)
{
	brake->first_per_retry = first_per_retry;
}

static void clear_slot(service_counts_t *counts, size_t slot)
{
	counts->first_sum -= counts->first[slot];
	counts->retry_sum -= counts->retries[slot];
	counts->first[slot] = 0;
	counts->retries[slot] = 0;
}

/* Clears the slots that time has passed since the last call. */
static void advance(service_counts_t *counts, int64_t now_us)
{
	int64_t slot = now_us / BRAKE_SLOT_US;
	int64_t from = counts->newest + 1;

	if (slot - from >= BRAKE_SLOTS)
		from = slot - BRAKE_SLOTS + 1;
	for (int64_t i = from; i <= slot; i++)
		clear_slot(counts, (size_t)(i % BRAKE_SLOTS));
	if (slot > counts->newest)
		counts->newest = slot;
}

static service_counts_t *find(retry_brake_t *brake, cas_id_t service)
{
	for (size_t i = 0; i < brake->count; i++) {
		service_counts_t *counts = &brake->services[i];

		if (counts->service != service)
			continue;
		advance(counts, cas_clock_now(brake->clock));
		return counts;
	}
	return NULL;
}

static service_counts_t *add(retry_brake_t *brake, cas_id_t service)
{
	service_counts_t *services = talloc_realloc(
		brake, brake->services, service_counts_t, brake->count + 1);
	service_counts_t *counts;

	if (!services)
		return NULL;
	brake->services = services;
	counts = &services[brake->count++];
	memset(counts, 0, sizeof(*counts));
	counts->service = service;
	counts->newest = cas_clock_now(brake->clock) / BRAKE_SLOT_US;
	return counts;
}

int retry_brake_first(retry_brake_t *brake, cas_id_t service)
{
	service_counts_t *counts = find(brake, service);

	if (!counts)
		counts = add(brake, service);
	if (!counts)
		return RETRY_ENOMEM;
	counts->first[counts->newest % BRAKE_SLOTS]++;
	counts->first_sum++;
	return 0;
}

bool retry_brake_take(retry_brake_t *brake, cas_id_t service)
{
	service_counts_t *counts = find(brake, service);

	if (!counts)
		return false;
	if ((counts->retry_sum + 1) * brake->first_per_retry >
	    counts->first_sum)
		return false;
	counts->retries[counts->newest % BRAKE_SLOTS]++;
	counts->retry_sum++;
	return true;
}
