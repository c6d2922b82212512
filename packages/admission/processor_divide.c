/*
 * Divides the capacity of the daemon between the classes of requests: calls of
 * started request trees first, then by importance, and within one importance by
 * weighted max-min fairness over the customers.
 */
#include "processor_internal.h"

#include <stdlib.h>

#include "cassia/number.h"

/* Weights of the newest value in the smoothed demand. It falls faster than it
 * rises, so that the end of a surge shows at once. */
#define DEMAND_RISE_WEIGHT 0.4
#define DEMAND_FALL_WEIGHT 0.6
/* Number of latest fractions that may still be in use at other daemons. */
#define UNFILTERED_WINDOW 4
/* Lower bound of that fraction; too few draws below it arrive to infer from. */
#define UNFILTERED_FRACTION_MIN 0.05
/* Classes without requests for this time are removed. */
#define CLASS_IDLE_US (60 * CAS_USEC_PER_SEC)
/* Part of the burst allowance of the least important classes. */
#define BURST_SHARE_MIN 0.5
/* A class is taken in whole while its demand is at most its fair share times
 * this, since the estimates are off by that much, if another one can give it. */
#define SHARE_TOLERANCE 1.1
/* Bounds of the boost, its largest changes in a division, and the part of the
 * difference that a division corrects. It falls faster than it rises, since too
 * much work delays all. */
#define BOOST_MIN 0.5
#define BOOST_MAX 4.0
#define BOOST_RISE_MAX 0.1
#define BOOST_FALL_MAX 0.2
#define BOOST_GAIN 0.3
#define BOOST_FALL_GAIN 0.6
/* Part of the capacity that is divided even when refusals alone would use up
 * all of it, so that the senders' fractions stay above 0. */
#define WORK_SHARE_MIN 0.1

double processor_unfiltered_fraction(const processor_class_t *class)
{
	double lowest = class->fraction;

	for (int i = 1; i <= UNFILTERED_WINDOW; i++) {
		int index =
			(class->history_next + PROCESSOR_FRACTION_HISTORY - i) %
			PROCESSOR_FRACTION_HISTORY;

		if (class->history[index] < lowest)
			lowest = class->history[index];
	}
	return lowest > UNFILTERED_FRACTION_MIN ? lowest
						: UNFILTERED_FRACTION_MIN;
}

/* Orders calls of started trees first, then by descending importance, then by
 * ascending demand per unit of weight. */
static int compare_classes(const void *a, const void *b)
{
	const processor_class_t *left = *(processor_class_t *const *)a;
	const processor_class_t *right = *(processor_class_t *const *)b;
	double left_share = left->demand / left->weight;
	double right_share = right->demand / right->weight;

	if (left->child != right->child)
		return right->child - left->child;
	if (left->importance != right->importance)
		return right->importance - left->importance;
	if (left_share < right_share)
		return -1;
	return left_share > right_share;
}

static gboolean remove_if_idle(gpointer key, gpointer value, gpointer data)
{
	processor_class_t *class = key;
	const int64_t *now_us = data;

	(void)value;
	if (*now_us - class->last_used_us < CLASS_IDLE_US)
		return FALSE;
	talloc_free(class);
	return TRUE;
}

/* Fills class_list with all classes and returns their number, or 0 when out of
 * memory. */
static size_t collect_classes(processor_t *processor)
{
	size_t count = g_hash_table_size(processor->classes);
	GHashTableIter iter;
	gpointer key;
	size_t i = 0;

	if (count > processor->class_list_size) {
		processor_class_t **list =
			talloc_realloc(processor, processor->class_list,
				       processor_class_t *, count);

		if (!list)
			return 0;
		processor->class_list = list;
		processor->class_list_size = count;
	}
	g_hash_table_iter_init(&iter, processor->classes);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		processor->class_list[i++] = key;
	return i;
}

/*
 * Updates the smoothed demand of a class and starts a new interval. Requests
 * that other daemons rejected are reported by them, but not roots refused for
 * their child calls: the number of these is inferred from the draws below the
 * fractions that were in use.
 */
static void update_demand(processor_class_t *class, double elapsed_us)
{
	double count = (double)(class->arrived + class->early);
	double inferred = (double)class->unfiltered /
			  processor_unfiltered_fraction(class);
	double demand;
	double weight;

	if (class->child && inferred > count)
		count = inferred;
	demand = count * class->net_us / elapsed_us;
	weight = demand > class->demand ? DEMAND_RISE_WEIGHT
					: DEMAND_FALL_WEIGHT;
	class->demand += weight * (demand - class->demand);
	class->arrived = 0;
	class->early = 0;
	class->unfiltered = 0;
}

static void record_fraction(processor_class_t *class)
{
	class->history[class->history_next] = class->fraction;
	class->history_next =
		(class->history_next + 1) % PROCESSOR_FRACTION_HISTORY;
}

/* Divides the remaining capacity between the classes of one importance, sorted
 * by compare_classes, and returns what remains. */
static double divide_group(processor_class_t **classes, size_t count,
			   double remaining)
{
	double total_weight = 0;

	for (size_t i = 0; i < count; i++)
		total_weight += classes[i]->weight;
	for (size_t i = 0; i < count; i++) {
		processor_class_t *class = classes[i];
		double fair_share = remaining * class->weight / total_weight;

		if (i + 1 < count)
			fair_share *= SHARE_TOLERANCE;
		class->fraction = class->demand > fair_share
					  ? fair_share / class->demand
					  : 1;
		remaining -= class->demand * class->fraction;
		total_weight -= class->weight;
		if (remaining < 0)
			remaining = 0;
	}
	return remaining;
}

/* Returns the fraction of the requests of one importance that is taken in. */
static double group_fraction(processor_class_t **classes, size_t count)
{
	double demand = 0;
	double admitted = 0;

	for (size_t i = 0; i < count; i++) {
		demand += classes[i]->demand;
		admitted += classes[i]->demand * classes[i]->fraction;
	}
	return demand > 0 ? admitted / demand : 1;
}

/*
 * Corrects the division by what it has led to. Other daemons apply earlier
 * fractions than this one, and a request has to pass both, so that less is
 * taken in than the fractions say; the estimated costs are not exact either.
 * The boost rises while less than the capacity is used although requests are
 * refused, and returns to 1 when nothing is refused.
 */
static void update_boost(processor_t *processor)
{
	const processor_capacity_t *capacity = &processor->capacity;
	double change = 1 - processor->boost;

	if (processor->limiting && capacity->used > 0)
		change = capacity->capacity / capacity->used - 1;
	change *= change < 0 ? BOOST_FALL_GAIN : BOOST_GAIN;
	processor->boost *=
		1 + cas_clamp(change, -BOOST_FALL_MAX, BOOST_RISE_MAX);
	processor->boost = cas_clamp(processor->boost, BOOST_MIN, BOOST_MAX);
}

void processor_divide(processor_t *processor, int64_t now_us)
{
	double elapsed_us = (double)(now_us - processor->divided_us);
	const processor_capacity_t *capacity = &processor->capacity;
	double refusals = (double)processor->arrived *
			  capacity->cost_us[PROCESSOR_REFUSAL] / elapsed_us;
	double available;
	double remaining;
	processor_class_t **classes;
	size_t count;

	update_boost(processor);
	available = (capacity->capacity - refusals) * processor->boost;
	if (available < capacity->capacity * WORK_SHARE_MIN)
		available = capacity->capacity * WORK_SHARE_MIN;
	remaining = available;
	g_hash_table_foreach_remove(processor->classes, remove_if_idle,
				    &now_us);
	count = collect_classes(processor);
	classes = processor->class_list;
	processor->offered = refusals;
	for (size_t i = 0; i < count; i++) {
		update_demand(classes[i], elapsed_us);
		processor->offered += classes[i]->demand;
	}
	if (count)
		qsort(classes, count, sizeof(processor_class_t *),
		      compare_classes);
	for (int i = 0; i < PROCESSOR_IMPORTANCES; i++)
		processor->child_fraction[i] = 1;
	for (size_t end, begin = 0; begin < count; begin = end) {
		double share = BURST_SHARE_MIN +
			       (1 - BURST_SHARE_MIN) * remaining / available;

		for (end = begin; end < count; end++)
			if (classes[end]->child != classes[begin]->child ||
			    classes[end]->importance !=
				    classes[begin]->importance)
				break;
		remaining =
			divide_group(classes + begin, end - begin, remaining);
		for (size_t i = begin; i < end; i++)
			classes[i]->burst_share = share;
		if (classes[begin]->child)
			processor->child_fraction[classes[begin]->importance] =
				group_fraction(classes + begin, end - begin);
	}
	processor->limiting = processor->burst_refused > 0;
	for (size_t i = 0; i < count; i++) {
		record_fraction(classes[i]);
		if (classes[i]->fraction < 1)
			processor->limiting = true;
	}
	processor->burst_refused = 0;
	processor->arrived = 0;
	processor->divided_us = now_us;
}
