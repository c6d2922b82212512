/*
 * Thresholds at the entry daemon. A fraction that is not updated rises towards
 * 1, so that some requests are forwarded and their responses update it.
 */
#include "cassia/thresholds.h"

#include <glib.h>
#include <math.h>

#include "admission_internal.h"
#include "cassia/draw.h"

/* Weight of a new fraction in the smoothed one, which also covers the other
 * upstreams of the service. */
#define LEARN_WEIGHT 0.5
/* After this time without an update a fraction starts to rise, from at least
 * RISE_START, and doubles once in each such time. A rise at a constant rate
 * would admit many times its share from a customer that sends far too much. */
#define RISE_DOUBLING_US (300 * CAS_USEC_PER_MSEC)
#define RISE_START 0.01
/* Minimum age of a fraction at which a request may be forwarded to refresh it,
 * and minimum time between two such requests. */
#define PROBE_INTERVAL_US (100 * CAS_USEC_PER_MSEC)
/* The same with many senders: the rise starts later, and a request is forwarded
 * to refresh only after this many early rejections or this time without an
 * update, so that at most a few percent of the rejected ones are. */
#define MANY_RISE_AFTER_US (1000 * CAS_USEC_PER_MSEC)
#define MANY_PROBE_REJECTIONS 32
#define MANY_PROBE_AGE_US CAS_USEC_PER_SEC
/* A threshold that was below the first and is reported at the second or above
 * shows that an overload has ended. */
#define MANY_SHED_MAX 0.9
#define MANY_RELEASED_MIN 0.99
/* Thresholds that were not updated for this time are removed. */
#define EXPIRY_US (60 * CAS_USEC_PER_SEC)

typedef struct threshold {
	cas_id_t service;
	cas_id_t customer;
	int32_t importance;
	double fraction; /* as of learned_us */
	int64_t learned_us; /* time of the last update */
	int64_t probed_us; /* time of the last request forwarded to refresh */
	uint64_t early_rejections; /* since the last report */
	uint32_t unprobed_rejections; /* since the last update or probe */
} threshold_t;

struct thresholds {
	const cas_clock_t *clock;
	GHashTable *entries; /* threshold_t, keyed by itself */
	bool many_senders;
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
	g_hash_table_destroy(thresholds->entries);
	return 0;
}

thresholds_t *thresholds_create(TALLOC_CTX *ctx, const cas_clock_t *clock)
{
	thresholds_t *thresholds = talloc_zero(ctx, thresholds_t);

	if (!thresholds)
		return NULL;
	thresholds->clock = clock;
	thresholds->entries = g_hash_table_new(threshold_hash, threshold_equal);
	talloc_set_destructor(thresholds, destroy);
	return thresholds;
}

void thresholds_set_many_senders(thresholds_t *thresholds, bool many)
{
	thresholds->many_senders = many;
}

static threshold_t *find_threshold(const thresholds_t *thresholds,
				   cas_id_t service, int32_t importance,
				   cas_id_t customer)
{
	threshold_t key = { .service = service,
			    .customer = customer,
			    .importance = importance };

	return g_hash_table_lookup(thresholds->entries, &key);
}

/* Returns the fraction of a threshold, raised according to its age. */
static double current_fraction(const thresholds_t *thresholds,
			       const threshold_t *threshold)
{
	int64_t age_us =
		cas_clock_now(thresholds->clock) - threshold->learned_us;
	int64_t rise_after_us = thresholds->many_senders ? MANY_RISE_AFTER_US
							 : RISE_DOUBLING_US;
	double fraction = threshold->fraction;

	if (age_us <= rise_after_us)
		return fraction;
	if (fraction < RISE_START)
		fraction = RISE_START;
	fraction *= exp2((double)(age_us - rise_after_us) /
			 (double)RISE_DOUBLING_US);
	return fraction < 1 ? fraction : 1;
}

/* Lets the other thresholds of a service, of the same importance and above, rise
 * from now on: where a less important request is no longer shed, they need not
 * wait for responses of their own, which are few. */
static void release_others(thresholds_t *thresholds,
			   const threshold_t *released)
{
	int64_t rising_us = cas_clock_now(thresholds->clock) -
			    MANY_RISE_AFTER_US - RISE_DOUBLING_US;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, thresholds->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		threshold_t *threshold = key;

		if (threshold->service == released->service &&
		    threshold->importance >= released->importance &&
		    threshold->learned_us > rising_us)
			threshold->learned_us = rising_us;
	}
}

void thresholds_learn(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, double fraction)
{
	threshold_t *threshold =
		find_threshold(thresholds, service, importance, customer);

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
		g_hash_table_add(thresholds->entries, threshold);
	}
	threshold->fraction = current_fraction(thresholds, threshold);
	if (thresholds->many_senders && fraction >= MANY_RELEASED_MIN &&
	    threshold->fraction < MANY_SHED_MAX)
		release_others(thresholds, threshold);
	threshold->fraction += LEARN_WEIGHT * (fraction - threshold->fraction);
	threshold->learned_us = cas_clock_now(thresholds->clock);
	threshold->unprobed_rejections = 0;
}

double thresholds_fraction(const thresholds_t *thresholds, cas_id_t service,
			   int32_t importance, cas_id_t customer)
{
	const threshold_t *threshold =
		find_threshold(thresholds, service, importance, customer);

	return threshold ? current_fraction(thresholds, threshold) : 1;
}

bool thresholds_check(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer, uint32_t draw)
{
	threshold_t *threshold =
		find_threshold(thresholds, service, importance, customer);

	if (!threshold ||
	    cas_draw_below(draw, current_fraction(thresholds, threshold)))
		return true;
	threshold->early_rejections++;
	threshold->unprobed_rejections++;
	return false;
}

bool thresholds_probe(thresholds_t *thresholds, cas_id_t service,
		      int32_t importance, cas_id_t customer)
{
	threshold_t *threshold =
		find_threshold(thresholds, service, importance, customer);
	int64_t now_us = cas_clock_now(thresholds->clock);

	if (!threshold || now_us - threshold->learned_us < PROBE_INTERVAL_US ||
	    now_us - threshold->probed_us < PROBE_INTERVAL_US)
		return false;
	if (thresholds->many_senders &&
	    threshold->unprobed_rejections < MANY_PROBE_REJECTIONS &&
	    now_us - threshold->learned_us < MANY_PROBE_AGE_US)
		return false;
	threshold->unprobed_rejections = 0;
	threshold->probed_us = now_us;
	if (threshold->early_rejections)
		threshold->early_rejections--;
	return true;
}

size_t thresholds_take_early_rejections(thresholds_t *thresholds,
					cas_id_t service,
					thresholds_early_rejections_t *early,
					size_t max)
{
	GHashTableIter iter;
	gpointer key;
	size_t count = 0;

	g_hash_table_iter_init(&iter, thresholds->entries);
	while (count < max && g_hash_table_iter_next(&iter, &key, NULL)) {
		threshold_t *threshold = key;

		if (threshold->service != service ||
		    !threshold->early_rejections)
			continue;
		early[count].importance = threshold->importance;
		early[count].customer = threshold->customer;
		early[count].count = threshold->early_rejections;
		threshold->early_rejections = 0;
		count++;
	}
	return count;
}

/* Frees a threshold without recent updates; called for each entry. */
static gboolean remove_if_expired(gpointer key, gpointer value, gpointer data)
{
	threshold_t *threshold = key;
	const int64_t *now_us = data;

	(void)value;
	if (*now_us - threshold->learned_us < EXPIRY_US)
		return FALSE;
	talloc_free(threshold);
	return TRUE;
}

void thresholds_tick(thresholds_t *thresholds)
{
	int64_t now_us = cas_clock_now(thresholds->clock);

	g_hash_table_foreach_remove(thresholds->entries, remove_if_expired,
				    &now_us);
}
