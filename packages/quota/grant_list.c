/* Lists of unexpired grants, ordered by expiry. */
#include "quota_internal.h"

#include <assert.h>
#include <string.h>

int64_t quota_grant_list_total(const quota_grant_list_t *list)
{
	int64_t total = 0;

	for (size_t i = 0; i < list->count; i++)
		total += list->items[i].amount;
	return total;
}

bool quota_grant_list_full(const quota_grant_list_t *list)
{
	return list->count == QUOTA_GRANTS_MAX;
}

void quota_grant_list_add(quota_grant_list_t *list, quota_grant_t grant)
{
	size_t index = list->count;

	assert(!quota_grant_list_full(list));
	if (grant.amount <= 0)
		return;
	while (index > 0 &&
	       list->items[index - 1].expires_us > grant.expires_us) {
		list->items[index] = list->items[index - 1];
		index--;
	}
	list->items[index] = grant;
	list->count++;
}

static void remove_at(quota_grant_list_t *list, size_t index)
{
	list->count--;
	memmove(&list->items[index], &list->items[index + 1],
		(list->count - index) * sizeof(list->items[0]));
}

/* Takes up to amount from one grant, and removes it when nothing is left. */
static int64_t take_at(quota_grant_list_t *list, size_t index, int64_t amount,
		       int64_t *borrowed)
{
	quota_grant_t *grant = &list->items[index];
	int64_t taken = quota_min(grant->amount, amount);

	grant->amount -= taken;
	if (borrowed && grant->borrowed)
		*borrowed += taken;
	if (grant->amount == 0)
		remove_at(list, index);
	return taken;
}

int64_t quota_grant_list_take(quota_grant_list_t *list, int64_t amount,
			      int64_t *borrowed)
{
	int64_t taken = 0;

	if (borrowed)
		*borrowed = 0;
	while (list->count > 0 && taken < amount)
		taken += take_at(list, 0, amount - taken, borrowed);
	return taken;
}

int64_t quota_grant_list_take_latest(quota_grant_list_t *list, int64_t amount,
				     int64_t *borrowed)
{
	int64_t taken = 0;

	if (borrowed)
		*borrowed = 0;
	while (list->count > 0 && taken < amount)
		taken += take_at(list, list->count - 1, amount - taken,
				 borrowed);
	return taken;
}

int64_t quota_grant_list_expire(quota_grant_list_t *list, int64_t now,
				int64_t *borrowed)
{
	int64_t taken = 0;

	if (borrowed)
		*borrowed = 0;
	while (list->count > 0 && list->items[0].expires_us <= now)
		taken += take_at(list, 0, INT64_MAX, borrowed);
	return taken;
}
