/* What the table and the roster say about buckets and their holders. */
#include "quota_internal.h"

#include <string.h>

static int place_hosts(quota_view_t *view, quota_dc_t *dc,
		       const roster_t *roster, cas_id_t self)
{
	dc->live = talloc_array(view, cas_id_t, roster->host_count + 1);
	if (!dc->live)
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
			dc->live[dc->live_count++] = host->id;
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
		dc->share = table->data_centres[i].share_permille;
		dc->share_before = sum;
		sum += dc->share;
		if (place_hosts(view, dc, roster, self))
			goto error;
		if (dc->has_self)
			view->self_dc = i;
	}
	view->whole = quota_max(sum, TABLE_SHARE_WHOLE);
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

static void place_slots(const quota_view_t *view, quota_customer_t *customer,
			size_t index)
{
	const quota_dc_t *dc = &view->dcs[index];
	size_t first = customer->holder_count;

	for (uint32_t slot = 0; slot < customer->slots[index]; slot++) {
		uint64_t key = bucket_key(customer->id, dc->id, slot);
		cas_id_t holder = 0;

		if (dc->live_count > 0)
			holder = dc->live[cas_rendezvous_pick(
				dc->live, dc->live_count, key)];
		customer->holders[customer->holder_count++] = holder;
	}
	if (index == view->self_dc && customer->slots[index] > 0)
		customer->local =
			first + dc->self_index % customer->slots[index];
}

/* A customer with a low rate has a burst of few tokens, and the share of a data
 * centre may be less than one: one holder gets all shares delegated. */
static void place_main(const quota_view_t *view, quota_customer_t *customer)
{
	uint64_t best = 0;
	size_t first = 0;

	customer->central = false;
	customer->home = customer->local;
	for (size_t i = 0; i < view->dc_count; i++) {
		uint64_t weight =
			cas_rendezvous_weight(view->dcs[i].id, customer->id);

		if (view->dcs[i].live_count > 0 &&
		    (!customer->central || weight > best)) {
			customer->central = true;
			customer->main = first;
			best = weight;
		}
		first += customer->slots[i];
	}
	if (customer->rate > QUOTA_CENTRAL_RATE || view->dc_count < 2)
		customer->central = false;
	if (customer->central)
		customer->home = customer->main;
}

int quota_customer_place(const quota_view_t *view, quota_customer_t *customer)
{
	size_t total = 0;

	talloc_free(customer->slots);
	talloc_free(customer->holders);
	customer->holder_count = 0;
	customer->local = 0;
	customer->slots =
		talloc_zero_array(customer, uint32_t, view->dc_count + 1);
	if (!customer->slots)
		return QUOTA_ENOMEM;
	for (size_t i = 0; i < view->dc_count; i++) {
		const quota_dc_t *dc = &view->dcs[i];

		customer->slots[i] = quota_slot_count(
			quota_share_of(customer->rate, dc->share_before,
				       dc->share, view->whole),
			dc->host_count);
		total += customer->slots[i];
	}
	customer->holders = talloc_zero_array(customer, cas_id_t, total + 1);
	if (!customer->holders)
		return QUOTA_ENOMEM;
	for (size_t i = 0; i < view->dc_count; i++)
		place_slots(view, customer, i);
	place_main(view, customer);
	return QUOTA_OK;
}
