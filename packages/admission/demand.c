/*
 * Classes of requests and their demand. The demand of a class is the number of
 * its requests that would be in flight if none were shed; it is updated every
 * 100 ms.
 */
#include "admission_internal.h"

#include "cassia/draw.h"

/* Weights of the newest value in the smoothed demand. It falls faster than it
 * rises, so that the end of a surge shows within a second. */
#define DEMAND_RISE_WEIGHT 0.3
#define DEMAND_FALL_WEIGHT 0.5
/* With fewer arrivals in an update, the weights are reduced in proportion, but
 * not below CONFIDENCE_MIN. */
#define FULL_CONFIDENCE_ARRIVALS 20
#define CONFIDENCE_MIN 0.2
/* When the highest draw that arrives is below this share of the fraction of
 * this daemon, a callee sheds more than this daemon does. The demand is then
 * what arrives, with headroom for the callee to take more. */
#define CALLEE_LIMIT_RATIO 0.7
#define CALLEE_LIMIT_HEADROOM 1.25
/* Decay of the recent highest draw for each update. */
#define RECENT_DRAW_DECAY 0.85
/* Weight of one request in the smoothed work of a request. */
#define REQUEST_TIME_WEIGHT 0.05
/* Number of latest fractions that may still be in use at entry daemons. All of
 * them admit draws below the lowest of these. */
#define UNFILTERED_WINDOW 4
/* Lower bound of that fraction. Below it, too few draws arrive for an
 * estimate. */
#define UNFILTERED_FRACTION_MIN 0.05
/* Classes without requests for this time are removed. */
#define CLASS_IDLE_US (60 * CAS_USEC_PER_SEC)

static guint class_hash(gconstpointer p)
{
	const request_class_t *class = p;

	return (guint)cas_rendezvous_weight(class->customer,
					    (uint64_t) class->importance);
}

static gboolean class_equal(gconstpointer a, gconstpointer b)
{
	const request_class_t *left = a;
	const request_class_t *right = b;

	return left->customer == right->customer &&
	       left->importance == right->importance;
}

static int destroy_table(GHashTable **table_ref)
{
	g_hash_table_destroy(*table_ref);
	return 0;
}

int demand_init(admission_t *admission)
{
	GHashTable **table_ref = talloc(admission, GHashTable *);

	if (!table_ref)
		return ADMISSION_ENOMEM;
	*table_ref = g_hash_table_new(class_hash, class_equal);
	talloc_set_destructor(table_ref, destroy_table);
	admission->classes = *table_ref;
	return 0;
}

request_class_t *demand_find_class(const admission_t *admission,
				   int32_t importance, cas_id_t customer)
{
	request_class_t key = { .importance = importance,
				.customer = customer };

	return g_hash_table_lookup(admission->classes, &key);
}

request_class_t *demand_ensure_class(admission_t *admission, int32_t importance,
				     cas_id_t customer)
{
	request_class_t *class =
		demand_find_class(admission, importance, customer);

	if (class)
		return class;
	class = talloc_zero(admission, request_class_t);
	if (!class)
		return NULL;
	class->importance = importance;
	class->customer = customer;
	class->weight = 1;
	class->fraction = 1;
	queue_init(class);
	for (int i = 0; i < CLASS_FRACTION_HISTORY; i++)
		class->fraction_history[i] = 1;
	g_hash_table_add(admission->classes, class);
	return class;
}

/* Returns the fraction below which all draws arrive, whichever of the recent
 * fractions an entry daemon uses. */
static double unfiltered_fraction(const request_class_t *class)
{
	double lowest = class->fraction;

	for (int i = 1; i <= UNFILTERED_WINDOW; i++) {
		int index = (class->fraction_history_next +
			     CLASS_FRACTION_HISTORY - i) %
			    CLASS_FRACTION_HISTORY;

		if (class->fraction_history[index] < lowest)
			lowest = class->fraction_history[index];
	}
	return lowest > UNFILTERED_FRACTION_MIN ? lowest
						: UNFILTERED_FRACTION_MIN;
}

double demand_highest_fraction(const request_class_t *class)
{
	double highest = class->fraction;

	for (int i = 0; i < CLASS_FRACTION_HISTORY; i++)
		if (class->fraction_history[i] > highest)
			highest = class->fraction_history[i];
	return highest;
}

void demand_record_arrival(request_class_t *class,
			   const admission_request_t *request,
			   double request_us)
{
	if (class->mean_request_us <= 0)
		class->mean_request_us = request_us;
	class->mean_request_us +=
		REQUEST_TIME_WEIGHT * (request_us - class->mean_request_us);
	class->arrived_work_us += request_us;
	if (request->draw > class->highest_draw * CAS_DRAW_RANGE)
		class->highest_draw = request->draw / CAS_DRAW_RANGE;
	if (!request->child)
		return;
	class->child_work_us += request_us;
	if (cas_draw_below(request->draw, unfiltered_fraction(class)))
		class->unfiltered_work_us += request_us;
}

/* Returns whether draws that this daemon would admit do not arrive, because a
 * service further down the call chain sheds more. */
static bool limited_by_callee(const request_class_t *class)
{
	return class->recent_highest_draw <
	       unfiltered_fraction(class) * CALLEE_LIMIT_RATIO;
}

/*
 * Returns the work of a class since the last update, in microseconds: that of
 * the requests that arrived and of those that entry daemons report as rejected.
 * Rejections further up the call chain are not reported. Since draws are
 * uniform, the number of child calls without them is inferred from those with
 * draws below the unfiltered fraction. Where a callee sheds more, only the
 * requests that arrive need capacity here.
 */
static double class_demand(const request_class_t *class)
{
	double inferred =
		class->unfiltered_work_us / unfiltered_fraction(class);

	if (limited_by_callee(class))
		return class->arrived_work_us * CALLEE_LIMIT_HEADROOM;
	if (inferred < class->child_work_us)
		inferred = class->child_work_us;
	return class->arrived_work_us - class->child_work_us +
	       class->early_work_us + inferred;
}

/* Updates the smoothed demand and starts a new interval. confidence is below 1
 * when few requests arrived since the last update. */
static void update_class_demand(request_class_t *class, double elapsed_us,
				double confidence)
{
	double demand;
	double weight;

	class->recent_highest_draw *= RECENT_DRAW_DECAY;
	if (class->highest_draw > class->recent_highest_draw)
		class->recent_highest_draw = class->highest_draw;
	demand = class_demand(class) / elapsed_us;
	weight = demand > class->demand ? DEMAND_RISE_WEIGHT
					: DEMAND_FALL_WEIGHT;
	class->demand += weight * confidence * (demand - class->demand);
	class->arrived_work_us = 0;
	class->early_work_us = 0;
	class->child_work_us = 0;
	class->unfiltered_work_us = 0;
	class->highest_draw = 0;
}

/* Frees a class without requests; called for each entry of the table. */
static gboolean remove_if_idle(gpointer key, gpointer value, gpointer data)
{
	request_class_t *class = key;
	const int64_t *now_us = data;

	(void)value;
	if (queue_class_count(class) ||
	    *now_us - class->last_used_us < CLASS_IDLE_US)
		return FALSE;
	talloc_free(class);
	return TRUE;
}

/* Fills class_list with all classes and returns their number, or 0 when out of
 * memory. */
static size_t collect_classes(admission_t *admission)
{
	size_t count = g_hash_table_size(admission->classes);
	GHashTableIter iter;
	gpointer key;
	size_t i = 0;

	if (count > admission->class_list_size) {
		request_class_t **class_list =
			talloc_realloc(admission, admission->class_list,
				       request_class_t *, count);

		if (!class_list)
			return 0;
		admission->class_list = class_list;
		admission->class_list_size = count;
	}
	g_hash_table_iter_init(&iter, admission->classes);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		admission->class_list[i++] = key;
	return i;
}

/* Appends the current fraction to the history. */
static void record_fraction(request_class_t *class)
{
	class->fraction_history[class->fraction_history_next] = class->fraction;
	class->fraction_history_next =
		(class->fraction_history_next + 1) % CLASS_FRACTION_HISTORY;
}

void demand_update(admission_t *admission, int64_t now_us)
{
	double elapsed_us = (double)(now_us - admission->demand_updated_us);
	double confidence =
		(double)admission->arrivals / FULL_CONFIDENCE_ARRIVALS;
	size_t count;

	if (confidence < CONFIDENCE_MIN)
		confidence = CONFIDENCE_MIN;
	if (confidence > 1)
		confidence = 1;
	admission->arrivals = 0;
	g_hash_table_foreach_remove(admission->classes, remove_if_idle,
				    &now_us);
	count = collect_classes(admission);
	for (size_t i = 0; i < count; i++)
		update_class_demand(admission->class_list[i], elapsed_us,
				    confidence);
	divide_capacity(admission, count, elapsed_us);
	for (size_t i = 0; i < count; i++)
		record_fraction(admission->class_list[i]);
	admission->demand_updated_us = now_us;
}
