/* Slots and holders of the customers, computed from a table and a roster. */
#include "quota_internal.h"

#include <string.h>

/* Lists the live hosts of a data centre; finds this host among all of them. */
static int collect_hosts(quota_view_t *view, quota_dc_t *dc,
			 const roster_t *roster, cas_id_t self)
{
	dc->live_hosts = talloc_array(view, cas_id_t, roster->host_count + 1);
	if (!dc->live_hosts)
		return QUOTA_ENOMEM;
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];

		if (host->data_centre_id != dc->id)
			continue;
		if (host->id == self) {
			dc->has_self = true;
			dc->self_index = dc->host_count;
		}
		dc->host_count++;
		if (!host->leaving)
			dc->live_hosts[dc->live_count++] = host->id;
	}
	return QUOTA_OK;
}

quota_view_t *quota_view_create(TALLOC_CTX *ctx, const table_t *table,
				const roster_t *roster, cas_id_t self)
{
	quota_view_t *view = talloc_zero(ctx, quota_view_t);
	int64_t sum = 0;

	if (!view)
		return NULL;
	view->dc_count = table->data_centre_count;
	view->dcs = talloc_zero_array(view, quota_dc_t, view->dc_count + 1);
	if (!view->dcs)
		goto error;
	view->table_revision = table->revision;
	view->roster_revision = roster->revision;
	view->self_dc = view->dc_count;
	for (size_t i = 0; i < view->dc_count; i++) {
		quota_dc_t *dc = &view->dcs[i];

		dc->id = table->data_centres[i].id;
		dc->region_id = table->data_centres[i].region_id;
		dc->share_permille = table->data_centres[i].share_permille;
		dc->share_before = sum;
		sum += dc->share_permille;
		if (collect_hosts(view, dc, roster, self))
			goto error;
		if (dc->has_self)
			view->self_dc = i;
	}
	view->share_divisor = quota_max(sum, TABLE_SHARE_TOTAL);
	return view;
error:
	talloc_free(view);
	return NULL;
}

static uint64_t bucket_key(cas_id_t customer, cas_id_t dc, uint32_t slot)
{
	uint64_t key[3] = { customer, dc, slot };

	return cas_id_of((cas_str_t){ (const char *)key, sizeof(key) });
}

/* Picks a holder for each slot of a data centre by rendezvous hashing among the
 * live hosts. */
static void assign_slots(const quota_view_t *view, quota_customer_t *customer,
			 size_t index)
{
	const quota_dc_t *dc = &view->dcs[index];
	size_t first = customer->holder_count;

	for (uint32_t slot = 0; slot < customer->slot_counts[index]; slot++) {
		uint64_t key = bucket_key(customer->id, dc->id, slot);
		cas_id_t holder = 0;

		if (dc->live_count > 0)
			holder = dc->live_hosts[cas_rendezvous_pick(
				dc->live_hosts, dc->live_count, key)];
		customer->holders[customer->holder_count++] = holder;
	}
	if (index == view->self_dc && customer->slot_counts[index] > 0)
		customer->local_index =
			first + dc->self_index % customer->slot_counts[index];
}

/* The burst of a customer with a low rate is a few tokens, and the share of a
 * data centre may be less than one token. All shares are then delegated to one
 * main holder, in the data centre with the highest rendezvous weight. */
static void choose_main_holder(const quota_view_t *view,
			       quota_customer_t *customer)
{
	uint64_t best = 0;
	size_t first = 0;

	customer->is_centralized = false;
	customer->preferred_index = customer->local_index;
	for (size_t i = 0; i < view->dc_count; i++) {
		uint64_t weight =
			cas_rendezvous_weight(view->dcs[i].id, customer->id);

		if (view->dcs[i].live_count > 0 &&
		    (!customer->is_centralized || weight > best)) {
			customer->is_centralized = true;
			customer->main_index = first;
			best = weight;
		}
		first += customer->slot_counts[i];
	}
	if (customer->rate > QUOTA_CENTRAL_RATE_MAX || view->dc_count < 2)
		customer->is_centralized = false;
	if (customer->is_centralized)
		customer->preferred_index = customer->main_index;
}

int quota_customer_assign_holders(const quota_view_t *view,
				  quota_customer_t *customer)
{
	size_t total = 0;

	talloc_free(customer->slot_counts);
	talloc_free(customer->holders);
	customer->holder_count = 0;
	customer->local_index = 0;
	customer->slot_counts =
		talloc_zero_array(customer, uint32_t, view->dc_count + 1);
	if (!customer->slot_counts)
		return QUOTA_ENOMEM;
	for (size_t i = 0; i < view->dc_count; i++) {
		const quota_dc_t *dc = &view->dcs[i];

		customer->slot_counts[i] = quota_slot_count(
			quota_share_of(customer->rate, dc->share_before,
				       dc->share_permille, view->share_divisor),
			dc->host_count);
		total += customer->slot_counts[i];
	}
	customer->holders = talloc_zero_array(customer, cas_id_t, total + 1);
	if (!customer->holders)
		return QUOTA_ENOMEM;
	for (size_t i = 0; i < view->dc_count; i++)
		assign_slots(view, customer, i);
	choose_main_holder(view, customer);
	return QUOTA_OK;
}
