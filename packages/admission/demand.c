/*
 * Demand of each class and the division of capacity. Every 100 ms capacity
 * goes to the highest importance first; within one importance it is divided
 * by weighted max-min fairness over customers.
 */
#include "admission_internal.h"

#include <stdlib.h>

/* Smoothing for each update; demand falls faster than it rises, so that the
 * end of a surge shows within a second. */
#define DEMAND_RISE 0.3
#define DEMAND_FALL 0.5
#define RATE_WEIGHT 0.3
#define SURE_MIN 0.02
#define CLASS_IDLE_US (60 * CAS_USEC_PER_SEC)
/* Bounds of the correction of capacity by the length of the queue. */
#define SLACK_LOW 0.85
#define SLACK_HIGH 1.2
#define SLACK_GAIN 0.2
/* Part of the limit that the queue should hold. */
#define QUEUE_TARGET 0.25
#define QUEUE_TARGET_MIN 2.0

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

static int destroy_table(GHashTable **holder)
{
	g_hash_table_destroy(*holder);
	return 0;
}

int demand_init(admission_t *admission)
{
	GHashTable **holder = talloc(admission, GHashTable *);

	if (!holder)
		return ADMISSION_ENOMEM;
	*holder = g_hash_table_new(class_hash, class_equal);
	talloc_set_destructor(holder, destroy_table);
	admission->classes = *holder;
	return 0;
}

request_class_t *demand_class(const admission_t *admission, int32_t importance,
			      cas_id_t customer)
{
	request_class_t key = { .importance = importance,
				.customer = customer };

	return g_hash_table_lookup(admission->classes, &key);
}

request_class_t *demand_class_add(admission_t *admission, int32_t importance,
				  cas_id_t customer)
{
	request_class_t *class = demand_class(admission, importance, customer);

	if (class)
		return class;
	class = talloc_zero(admission, request_class_t);
	if (!class)
		return NULL;
	class->importance = importance;
	class->customer = customer;
	class->weight = 1;
	class->fraction = 1;
	class->queue.next = &class->queue;
	class->queue.prev = &class->queue;
	for (int i = 0; i < CLASS_PUBLISHED; i++)
		class->published[i] = 1;
	g_hash_table_add(admission->classes, class);
	return class;
}

/* Draws below the result arrive whatever entry daemons have learned. */
static double sure_fraction(const request_class_t *class)
{
	double lowest = class->fraction;

	for (int i = 0; i < CLASS_PUBLISHED; i++)
		if (class->published[i] < lowest)
			lowest = class->published[i];
	return lowest > SURE_MIN ? lowest : SURE_MIN;
}

void demand_arrived(request_class_t *class, uint32_t draw)
{
	class->arrived++;
	if (draw_below(draw, sure_fraction(class)))
		class->sure++;
}

/*
 * The demand is what arrived and what entry daemons report as rejected. For
 * calls rejected further up the chain there is no report; since draws are
 * uniform, those below the sure fraction tell how many there were.
 */
static void update_class_demand(request_class_t *class, double seconds)
{
	double reported = (double)(class->arrived + class->early);
	double inferred = (double)class->sure / sure_fraction(class);
	double rate = (reported > inferred ? reported : inferred) / seconds;
	double weight = rate > class->demand ? DEMAND_RISE : DEMAND_FALL;

	class->demand += weight * (rate - class->demand);
	class->arrived = 0;
	class->early = 0;
	class->sure = 0;
}

static int compare_classes(const void *a, const void *b)
{
	const request_class_t *left = *(request_class_t *const *)a;
	const request_class_t *right = *(request_class_t *const *)b;
	double left_share = left->demand / left->weight;
	double right_share = right->demand / right->weight;

	if (left->importance != right->importance)
		return right->importance - left->importance;
	if (left_share < right_share)
		return -1;
	return left_share > right_share;
}

/* Gives the classes of one importance, sorted by demand for their weight,
 * what they ask for as long as it is below the fair share of what is left.
 * Returns what remains of the capacity. */
static double divide(request_class_t **classes, size_t count, double capacity)
{
	double weights = 0;

	for (size_t i = 0; i < count; i++)
		weights += classes[i]->weight;
	for (size_t i = 0; i < count; i++) {
		request_class_t *class = classes[i];
		double fair = capacity * class->weight / weights;

		class->granted = class->demand < fair ? class->demand : fair;
		class->fraction = class->demand > class->granted
					  ? class->granted / class->demand
					  : 1;
		capacity -= class->granted;
		weights -= class->weight;
	}
	return capacity > 0 ? capacity : 0;
}

/* Correction of the capacity for one importance: the queue of this and
 * higher importances should hold a small part of the limit. */
static double slack(const admission_t *admission, int importance)
{
	double wanted = admission->limit.limit * QUEUE_TARGET;
	double queued = 0;
	double factor;

	if (wanted < QUEUE_TARGET_MIN)
		wanted = QUEUE_TARGET_MIN;
	for (int i = importance; i < ADMISSION_IMPORTANCES; i++)
		queued += admission->queued_at[i];
	factor = 1 + SLACK_GAIN * (1 - queued / wanted);
	if (factor < SLACK_LOW)
		return SLACK_LOW;
	return factor > SLACK_HIGH ? SLACK_HIGH : factor;
}

static void publish(request_class_t *class)
{
	class->published[class->published_next] = class->fraction;
	class->published_next = (class->published_next + 1) % CLASS_PUBLISHED;
}

static void divide_all(admission_t *admission, size_t count)
{
	request_class_t **order = admission->order;
	double used = 0;
	size_t begin = 0;

	qsort(order, count, sizeof(request_class_t *), compare_classes);
	while (begin < count) {
		int32_t importance = order[begin]->importance;
		double capacity =
			admission->rate * slack(admission, importance);
		size_t end = begin;

		while (end < count && order[end]->importance == importance)
			end++;
		capacity = capacity > used ? capacity - used : 0;
		used += capacity - divide(order + begin, end - begin, capacity);
		begin = end;
	}
}

static gboolean forget_idle(gpointer key, gpointer value, gpointer data)
{
	request_class_t *class = key;
	const int64_t *now_us = data;

	(void)value;
	if (class->queued || *now_us - class->used_us < CLASS_IDLE_US)
		return FALSE;
	talloc_free(class);
	return TRUE;
}

/* Fills the scratch array with all classes and returns how many. */
static size_t list_classes(admission_t *admission)
{
	size_t count = g_hash_table_size(admission->classes);
	GHashTableIter iter;
	gpointer key;
	size_t i = 0;

	if (count > admission->order_size) {
		request_class_t **order = talloc_realloc(
			admission, admission->order, request_class_t *, count);

		if (!order)
			return 0;
		admission->order = order;
		admission->order_size = count;
	}
	g_hash_table_iter_init(&iter, admission->classes);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		admission->order[i++] = key;
	return i;
}

static void update_rate(admission_t *admission, double seconds, bool loaded)
{
	double rate = (double)admission->finished / seconds;

	if (loaded && admission->shedding)
		admission->rate += RATE_WEIGHT * (rate - admission->rate);
	else if (loaded)
		admission->rate = rate;
	else if (admission->shedding)
		admission->rate *= 1.05;
}

void demand_update(admission_t *admission, int64_t now_us)
{
	double elapsed = (double)(now_us - admission->updated_us);
	double seconds = elapsed / (double)CAS_USEC_PER_SEC;
	bool loaded = (double)admission->queue_busy_us > elapsed * 0.3 ||
		      admission->dropped;
	size_t count;

	g_hash_table_foreach_remove(admission->classes, forget_idle, &now_us);
	count = list_classes(admission);
	for (size_t i = 0; i < count; i++)
		update_class_demand(admission->order[i], seconds);
	update_rate(admission, seconds, loaded);
	if (loaded || admission->shedding)
		divide_all(admission, count);
	admission->shedding = false;
	for (size_t i = 0; i < count; i++) {
		admission->shedding |= admission->order[i]->fraction < 1;
		publish(admission->order[i]);
	}
	admission->updated_us = now_us;
	admission->finished = 0;
	admission->dropped = 0;
	admission->queue_busy_us = 0;
}
