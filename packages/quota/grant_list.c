/* Lots of tokens ordered by expiry. */
#include "quota_internal.h"

#include <assert.h>
#include <string.h>

int64_t quota_lots_total(const quota_lots_t *lots)
{
	int64_t total = 0;

	for (size_t i = 0; i < lots->count; i++)
		total += lots->items[i].amount;
	return total;
}

bool quota_lots_full(const quota_lots_t *lots)
{
	return lots->count == QUOTA_LOTS_MAX;
}

void quota_lots_add(quota_lots_t *lots, quota_lot_t lot)
{
	size_t at = lots->count;

	assert(!quota_lots_full(lots));
	if (lot.amount <= 0)
		return;
	while (at > 0 && lots->items[at - 1].expires_us > lot.expires_us) {
		lots->items[at] = lots->items[at - 1];
		at--;
	}
	lots->items[at] = lot;
	lots->count++;
}

static void lots_drop(quota_lots_t *lots, size_t at)
{
	lots->count--;
	memmove(&lots->items[at], &lots->items[at + 1],
		(lots->count - at) * sizeof(lots->items[0]));
}

static int64_t take_at(quota_lots_t *lots, size_t at, int64_t amount,
		       int64_t *lent)
{
	quota_lot_t *lot = &lots->items[at];
	int64_t taken = quota_min(lot->amount, amount);

	lot->amount -= taken;
	if (lent && lot->borrowed)
		*lent += taken;
	if (lot->amount == 0)
		lots_drop(lots, at);
	return taken;
}

int64_t quota_lots_take(quota_lots_t *lots, int64_t amount, int64_t *lent)
{
	int64_t taken = 0;

	if (lent)
		*lent = 0;
	while (lots->count > 0 && taken < amount)
		taken += take_at(lots, 0, amount - taken, lent);
	return taken;
}

int64_t quota_lots_take_latest(quota_lots_t *lots, int64_t amount,
			       int64_t *lent)
{
	int64_t taken = 0;

	if (lent)
		*lent = 0;
	while (lots->count > 0 && taken < amount)
		taken += take_at(lots, lots->count - 1, amount - taken, lent);
	return taken;
}

int64_t quota_lots_expire(quota_lots_t *lots, int64_t now, int64_t *lent)
{
	int64_t taken = 0;

	if (lent)
		*lent = 0;
	while (lots->count > 0 && lots->items[0].expires_us <= now)
		taken += take_at(lots, 0, INT64_MAX, lent);
	return taken;
}
