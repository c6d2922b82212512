/* Compares the buckets and fences of the daemons of each data centre. */
#include "check_holders.h"

#include <inttypes.h>
#include <stdlib.h>

#include "fence.h"
#include "violations.h"

#define BUCKETS_PER_HOST_MAX 64
#define HOLDERS_PER_DC_MAX 512

/* A daemon that adds tokens to a bucket. */
typedef struct bucket_holder {
	fleet_host_t *host;
	cas_id_t customer;
	uint32_t slot;
} bucket_holder_t;

struct check_holders {
	fleet_t *fleet;
	bucket_holder_t holders[HOLDERS_PER_DC_MAX];
	size_t holder_count;
	int64_t settled_revision; /* in the data centre, 0: none yet */
	uint64_t checks;
};

check_holders_t *check_holders_create(TALLOC_CTX *ctx, fleet_t *fleet)
{
	check_holders_t *check = sim_zero(ctx, check_holders_t);

	check->fleet = fleet;
	return check;
}

static void add_holder(check_holders_t *check, fleet_host_t *host,
		       const quota_bucket_info_t *info)
{
	for (size_t i = 0; i < check->holder_count; i++) {
		const bucket_holder_t *other = &check->holders[i];

		check->checks++;
		if (other->customer == info->customer &&
		    other->slot == info->slot)
			violations_add(host->fleet, host,
				       "check=holders bucket=%016" PRIx64
				       "/%u roster=%" PRId64
				       " other=host-%zu other_roster=%" PRId64,
				       info->customer, info->slot,
				       host->roster->revision,
				       other->host->index,
				       other->host->roster->revision);
	}
	if (check->holder_count == HOLDERS_PER_DC_MAX)
		abort();
	check->holders[check->holder_count++] =
		(bucket_holder_t){ host, info->customer, info->slot };
}

static void check_buckets(check_holders_t *check, fleet_host_t *host)
{
	quota_bucket_info_t infos[BUCKETS_PER_HOST_MAX];
	size_t count =
		quota_buckets(part_quota_of(host), infos, BUCKETS_PER_HOST_MAX);

	for (size_t i = 0; i < count && i < BUCKETS_PER_HOST_MAX; i++) {
		if (infos[i].adding)
			add_holder(check, host, &infos[i]);
	}
}

static void check_settled(check_holders_t *check, fleet_host_t *host)
{
	int64_t revision = host->roster->revision;

	check->checks++;
	if (!fence_settled(host, revision))
		return;
	if (check->settled_revision && check->settled_revision != revision)
		violations_add(host->fleet, host,
			       "check=settled roster=%" PRId64
			       " other_roster=%" PRId64,
			       revision, check->settled_revision);
	check->settled_revision = revision;
}

void check_holders_step(check_holders_t *check)
{
	fleet_t *fleet = check->fleet;

	for (size_t dc = 0; dc < fleet->config.dcs; dc++) {
		check->holder_count = 0;
		check->settled_revision = 0;
		for (size_t i = dc; i < fleet->host_count;
		     i += fleet->config.dcs) {
			/* A paused daemon evaluates its fence again before it
			 * does anything else. */
			if (!fleet_host_sync_clock(&fleet->hosts[i]))
				continue;
			check_buckets(check, &fleet->hosts[i]);
			check_settled(check, &fleet->hosts[i]);
		}
	}
}

uint64_t check_holders_checks(const check_holders_t *check)
{
	return check->checks;
}
