/* Compares the buckets and fences of the daemons of each data centre. */
#include "check_holders.h"

#include <inttypes.h>
#include <stdlib.h>

#include "fence.h"
#include "violations.h"

#define BUCKETS_MAX 64
#define CLAIMS_MAX 512

/* A daemon that may grant tokens of a bucket. */
typedef struct claim {
	fleet_host_t *host;
	cas_id_t customer;
	uint32_t slot;
} claim_t;

struct check_holders {
	fleet_t *fleet;
	claim_t claims[CLAIMS_MAX];
	size_t claim_count;
	int64_t settled_revision;
	uint64_t checks;
};

check_holders_t *check_holders_create(TALLOC_CTX *ctx, fleet_t *fleet)
{
	check_holders_t *holders = talloc_zero(ctx, check_holders_t);

	if (!holders)
		abort();
	holders->fleet = fleet;
	return holders;
}

static void add_claim(check_holders_t *holders, fleet_host_t *host,
		      const quota_bucket_info_t *info)
{
	for (size_t i = 0; i < holders->claim_count; i++) {
		const claim_t *other = &holders->claims[i];

		holders->checks++;
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
	if (holders->claim_count == CLAIMS_MAX)
		abort();
	holders->claims[holders->claim_count++] =
		(claim_t){ host, info->customer, info->slot };
}

static void check_buckets(check_holders_t *holders, fleet_host_t *host)
{
	quota_bucket_info_t infos[BUCKETS_MAX];
	size_t count = quota_buckets(part_quota_of(host), infos, BUCKETS_MAX);

	for (size_t i = 0; i < count && i < BUCKETS_MAX; i++) {
		if (infos[i].adding)
			add_claim(holders, host, &infos[i]);
	}
}

static void check_settled(check_holders_t *holders, fleet_host_t *host)
{
	int64_t revision = host->roster->revision;

	holders->checks++;
	if (!fence_settled(host, revision))
		return;
	if (holders->settled_revision && holders->settled_revision != revision)
		violations_add(host->fleet, host,
			       "check=settled roster=%" PRId64
			       " other_roster=%" PRId64,
			       revision, holders->settled_revision);
	holders->settled_revision = revision;
}

void check_holders_step(check_holders_t *holders)
{
	fleet_t *fleet = holders->fleet;

	for (size_t dc = 0; dc < fleet->config.dcs; dc++) {
		holders->claim_count = 0;
		holders->settled_revision = 0;
		for (size_t i = dc; i < fleet->host_count;
		     i += fleet->config.dcs) {
			/* A paused daemon does nothing before its fence is
			 * looked at again. */
			if (!fleet_host_enter(&fleet->hosts[i]))
				continue;
			check_buckets(holders, &fleet->hosts[i]);
			check_settled(holders, &fleet->hosts[i]);
		}
	}
}

uint64_t check_holders_checks(const check_holders_t *holders)
{
	return holders->checks;
}
