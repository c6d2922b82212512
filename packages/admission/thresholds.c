/*
 * Thresholds learned at the entry daemon. A fraction without news rises back
 * towards 1, so that some requests are forwarded and bring a new one.
 */
#include "cassia/thresholds.h"

#include <glib.h>
#include <math.h>

#include "admission_internal.h"

/* Part of a new fraction that is taken over; the rest comes from the other
 * upstreams of the service. */
#define LEARN_WEIGHT 0.5
/* After this time without news a fraction rises, and doubles in each such
 * time from the first value on. A rise by a constant rate would let in many
 * times the share of a customer that sends much too much. */
#define DECAY_US (300 * CAS_USEC_PER_MSEC)
#define DECAY_FIRST 0.01
/* A fraction that is older may be refreshed by a request. */
#define PROBE_US (100 * CAS_USEC_PER_MSEC)
#define FORGET_US (60 * CAS_USEC_PER_SEC)

typedef struct threshold {
	cas_id_t service;
	cas_id_t customer;
	int32_t importance;
	double fraction;
	int64_t learned_us;
	int64_t probed_us;
	uint64_t early;
} threshold_t;

struct thresholds {
	const cas_clock_t *clock;
	GHashTable *table; /* threshold_t, keyed by itself */
};

static guint threshold_hash(gconstpointer p)
{
	const threshold_t *threshold = p;

	return (guint)cas_rendezvous_weight(
		threshold->service ^ (uint64_t)threshold->importance,
		threshold->customer);
}

static gboolean threshold_equal(gconstpointer a, gconstpointer b)
{
	const threshold_t *left = a;
	const threshold_t *right = b;

	return left->service == right->service &&
	       left->customer == right->customer &&
	       left->importance == right->importance;
}

static int destroy(thresholds_t *thresholds)
{
	g_hash_table_destroy(thresholds->table);
	return 0;
}

thresholds_t *thresholds_create(TALLOC_CTX *ctx, const cas_clock_t *clock)
{
	thresholds_t *thresholds = talloc_zero(ctx, thresholds_t);

	if (!thresholds)
		return NULL;
	thresholds->clock = clock;
	thresholds->table = g_hash_table_new(threshold_hash, threshold_equal);
	talloc_set_destructor(thresholds, destroy);
	return thresholds;
}

static threshold_t *find(const thresholds_t *thresholds, cas_id_t service,
			 int32_t importance, cas_id_t customer)
{
	threshold_t key = { .service = service,
			    .customer = customer,
			    .importance = importance };

	return g_hash_table_lookup(thresholds->table, &key);
}

static double decayed(const thresholds_t *thresholds,
		      const threshold_t *threshold)
{
	int64_t age_us =
		cas_clock_now(thresholds->clock) - threshold->learned_us;
	double fraction = threshold->fraction;

	if (age_us <= DECAY_US)
		return fraction;
	if (fraction < DECAY_FIRST)
		fraction = DECAY_FIRST;
	fraction *= exp2((double)(age_us - DECAY_US) / (double)DECAY_US);
	return fraction < 1 ? fraction : 1;
}

void thresholds_learn(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, double fraction)
{
	threshold_t *threshold =
		find(thresholds, service, importance, customer);

	if (!(fraction >= 0 && fraction <= 1))
		return;
	if (!threshold) {
		if (fraction >= 1)
			return;
		threshold = talloc_zero(thresholds, threshold_t);
		if (!threshold)
			return;
		threshold->service = service;
		threshold->importance = importance;
		threshold->customer = customer;
		threshold->fraction = 1;
		threshold->learned_us = cas_clock_now(thresholds->clock);
		g_hash_table_add(thresholds->table, threshold);
	}
	threshold->fraction = decayed(thresholds, threshold);
	threshold->fraction += LEARN_WEIGHT * (fraction - threshold->fraction);
	threshold->learned_us = cas_clock_now(thresholds->clock);
}

double thresholds_fraction(const thresholds_t *thresholds, cas_id_t service,
			   int32_t importance, cas_id_t customer)
{
	const threshold_t *threshold =
		find(thresholds, service, importance, customer);

	return threshold ? decayed(thresholds, threshold) : 1;
}

bool thresholds_check(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, uint32_t draw)
{
	threshold_t *threshold =
		find(thresholds, service, importance, customer);

	if (!threshold || draw_below(draw, decayed(thresholds, threshold)))
		return true;
	threshold->early++;
	return false;
}

bool thresholds_probe(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer)
{
	threshold_t *threshold =
		find(thresholds, service, importance, customer);
	int64_t now_us = cas_clock_now(thresholds->clock);

	if (!threshold || now_us - threshold->learned_us < PROBE_US ||
	    now_us - threshold->probed_us < PROBE_US)
		return false;
	threshold->probed_us = now_us;
	if (threshold->early)
		threshold->early--;
	return true;
}

size_t thresholds_take_early(thresholds_t *thresholds, cas_id_t service,
			     thresholds_early_t *early, size_t max)
{
	GHashTableIter iter;
	gpointer key;
	size_t count = 0;

	g_hash_table_iter_init(&iter, thresholds->table);
	while (count < max && g_hash_table_iter_next(&iter, &key, NULL)) {
		threshold_t *threshold = key;

		if (threshold->service != service || !threshold->early)
			continue;
		early[count].importance = threshold->importance;
		early[count].customer = threshold->customer;
		early[count].count = threshold->early;
		threshold->early = 0;
		count++;
	}
	return count;
}

static gboolean is_old(gpointer key, gpointer value, gpointer data)
{
	threshold_t *threshold = key;
	const int64_t *now_us = data;

	(void)value;
	if (*now_us - threshold->learned_us < FORGET_US)
		return FALSE;
	talloc_free(threshold);
	return TRUE;
}

void thresholds_tick(thresholds_t *thresholds)
{
	int64_t now_us = cas_clock_now(thresholds->clock);

	g_hash_table_foreach_remove(thresholds->table, is_old, &now_us);
}
