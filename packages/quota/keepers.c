/*
 * The keepers of a customer: the daemons that add its tokens under a tolerance.
 *
 * Load pattern: the clients of a small customer are on a few hosts of a large
 * fleet. Divided among all daemons, its tokens are mostly added where nobody
 * uses them, in parts of less than a request, and lost there before the others
 * can borrow them. So only a few daemons add tokens, each of them whole ones,
 * and the others borrow from these.
 *
 * Keepers are chosen by rendezvous hashing among the live hosts, evenly over the
 * regions. Their number does not depend on the size of the fleet, so a host that
 * is a keeper by a list was one by each shorter list as well.
 */
#include "quota_internal.h"

/* More keepers lose less when one of them ends. */
#define KEEPERS_PER_REGION_MAX 4
/* Each keeper can save up this many tokens, unless the customer's whole burst is
 * smaller. Parts of a token would be of no use to those who borrow. */
#define KEEPER_BURST (3 * QUOTA_TOKEN)

/* The hosts of a region with the highest weights, highest first. */
typedef struct ranking {
	cas_id_t ids[KEEPERS_PER_REGION_MAX];
	uint64_t weights[KEEPERS_PER_REGION_MAX];
	size_t count;
} ranking_t;

static void rank_host(ranking_t *ranking, cas_id_t id, uint64_t weight)
{
	size_t i = ranking->count;

	if (i == KEEPERS_PER_REGION_MAX && ranking->weights[i - 1] >= weight)
		return;
	if (i < KEEPERS_PER_REGION_MAX)
		ranking->count++;
	else
		i--;
	for (; i > 0 && ranking->weights[i - 1] < weight; i--) {
		ranking->ids[i] = ranking->ids[i - 1];
		ranking->weights[i] = ranking->weights[i - 1];
	}
	ranking->ids[i] = id;
	ranking->weights[i] = weight;
}

static ranking_t rank_region(const quota_view_t *view, cas_id_t region,
			     cas_id_t customer)
{
	ranking_t ranking = { .count = 0 };

	for (size_t i = 0; i < view->dc_count; i++) {
		const quota_dc_t *dc = &view->dcs[i];

		for (size_t j = 0;
		     dc->region_id == region && j < dc->live_count; j++)
			rank_host(&ranking, dc->live_hosts[j],
				  cas_rendezvous_weight(dc->live_hosts[j],
							customer));
	}
	return ranking;
}

/* Returns whether a data centre is the first one of its region. */
static bool begins_region(const quota_view_t *view, size_t index)
{
	for (size_t i = 0; i < index; i++)
		if (view->dcs[i].region_id == view->dcs[index].region_id)
			return false;
	return true;
}

static size_t count_regions(const quota_view_t *view)
{
	size_t count = 0;

	for (size_t i = 0; i < view->dc_count; i++)
		count += begins_region(view, i);
	return count;
}

/* Returns the place of a region among all regions, by weight for the customer;
 * 0 is the first one. */
static size_t region_place(const quota_view_t *view, cas_id_t region,
			   cas_id_t customer)
{
	uint64_t weight = cas_rendezvous_weight(region, customer);
	size_t place = 0;

	for (size_t i = 0; i < view->dc_count; i++)
		if (begins_region(view, i) &&
		    cas_rendezvous_weight(view->dcs[i].region_id, customer) >
			    weight)
			place++;
	return place;
}

/* Returns how many keepers a region has, if it has as many hosts: the wanted
 * ones are dealt to the regions in turn. */
static size_t region_share(const quota_view_t *view, cas_id_t region,
			   cas_id_t customer, size_t wanted)
{
	size_t regions = count_regions(view);
	size_t place = region_place(view, region, customer);

	return wanted / regions + (place < wanted % regions);
}

static void add_region(const quota_view_t *view, cas_id_t self, cas_id_t region,
		       const quota_customer_t *customer, size_t wanted,
		       quota_keepers_t *keepers)
{
	ranking_t ranking = rank_region(view, region, customer->id);
	size_t share = region_share(view, region, customer->id, wanted);

	for (size_t i = 0; i < ranking.count && i < share; i++) {
		keepers->total++;
		if (ranking.ids[i] == self)
			keepers->is_self = true;
		else if (keepers->count < QUOTA_KEEPERS_MAX)
			keepers->hosts[keepers->count++] = ranking.ids[i];
	}
}

void quota_keepers_assign(const quota_view_t *view, cas_id_t self,
			  const quota_customer_t *customer,
			  quota_keepers_t *keepers)
{
	size_t most = count_regions(view) * KEEPERS_PER_REGION_MAX;
	size_t wanted = (size_t)quota_clamp(customer->burst / KEEPER_BURST, 1,
					    (int64_t)most);
	cas_id_t own_region = view->self_dc < view->dc_count
				      ? view->dcs[view->self_dc].region_id
				      : 0;

	*keepers = (quota_keepers_t){ 0 };
	if (own_region)
		add_region(view, self, own_region, customer, wanted, keepers);
	keepers->near_count = keepers->count;
	for (size_t i = 0; i < view->dc_count; i++)
		if (view->dcs[i].region_id != own_region &&
		    begins_region(view, i))
			add_region(view, self, view->dcs[i].region_id, customer,
				   wanted, keepers);
}
