/*
 * Classes of requests and their demand, measured every 100 ms as the number
 * of requests that would be in flight if none were shed.
 */
#include "admission_internal.h"

/* Smoothing for each update; demand falls faster than it rises, so that the
 * end of a surge shows within a second. */
#define DEMAND_RISE 0.3
#define DEMAND_FALL 0.5
/* Arrivals in one update from which its demand is taken as it is. */
#define CERTAIN_ARRIVALS 20
#define CERTAINTY_MIN 0.2
#define DRAW_RANGE 4294967296.0
/* Reach for the own fraction below which another service is the limit, and
 * room for that service to take more. */
#define ELSEWHERE 0.7
#define ELSEWHERE_ROOM 1.25
#define REACH_DECAY 0.85
#define HELD_WEIGHT 0.05
/* Published fractions of which the lowest is in force everywhere. */
#define CLASS_SURE 4
/* Fewer draws say too little. */
#define SURE_MIN 0.05
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
	queue_init(class);
	for (int i = 0; i < CLASS_PUBLISHED; i++)
		class->published[i] = 1;
	g_hash_table_add(admission->classes, class);
	return class;
}

/* Draws below the result arrive whatever entry daemons have learned. */
static double sure_fraction(const request_class_t *class)
{
	double lowest = class->fraction;

	for (int i = 1; i <= CLASS_SURE; i++) {
		int at = (class->published_next + CLASS_PUBLISHED - i) %
			 CLASS_PUBLISHED;

		if (class->published[at] < lowest)
			lowest = class->published[at];
	}
	return lowest > SURE_MIN ? lowest : SURE_MIN;
}

double demand_highest_fraction(const request_class_t *class)
{
	double highest = class->fraction;

	for (int i = 0; i < CLASS_PUBLISHED; i++)
		if (class->published[i] > highest)
			highest = class->published[i];
	return highest;
}

void demand_arrived(request_class_t *class, const admission_request_t *request,
		    double held_us)
{
	if (class->held_us <= 0)
		class->held_us = held_us;
	class->held_us += HELD_WEIGHT * (held_us - class->held_us);
	class->arrived_us += held_us;
	if (request->draw > class->highest_draw * DRAW_RANGE)
		class->highest_draw = request->draw / DRAW_RANGE;
	if (!request->child)
		return;
	class->child_us += held_us;
	if (draw_below(request->draw, sure_fraction(class)))
		class->sure_us += held_us;
}

/* Returns whether draws that this daemon would keep do not arrive, because a
 * service further down the call chain sheds more. */
static bool limited_elsewhere(const request_class_t *class)
{
	return class->reach < sure_fraction(class) * ELSEWHERE;
}

/*
 * The demand is what arrived and what entry daemons report as rejected. For
 * calls rejected further up the chain there is no report; since draws are
 * uniform, those below the sure fraction tell how many there were. Where
 * another service sheds more, only what arrives asks for capacity here.
 */
static double class_demand(const request_class_t *class)
{
	double inferred = class->sure_us / sure_fraction(class);

	if (limited_elsewhere(class))
		return class->arrived_us * ELSEWHERE_ROOM;
	if (inferred < class->child_us)
		inferred = class->child_us;
	return class->arrived_us - class->child_us + class->early_us + inferred;
}

/* certainty is below 1 when few requests arrived since the last update. */
static void update_class_demand(request_class_t *class, double elapsed_us,
				double certainty)
{
	double demand;
	double weight;

	class->reach *= REACH_DECAY;
	if (class->highest_draw > class->reach)
		class->reach = class->highest_draw;
	demand = class_demand(class) / elapsed_us;
	weight = demand > class->demand ? DEMAND_RISE : DEMAND_FALL;
	class->demand += weight * certainty * (demand - class->demand);
	class->arrived_us = 0;
	class->early_us = 0;
	class->child_us = 0;
	class->sure_us = 0;
	class->highest_draw = 0;
}

static gboolean forget_idle(gpointer key, gpointer value, gpointer data)
{
	request_class_t *class = key;
	const int64_t *now_us = data;

	(void)value;
	if (queue_class_count(class) ||
	    *now_us - class->used_us < CLASS_IDLE_US)
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

static void publish(request_class_t *class)
{
	class->published[class->published_next] = class->fraction;
	class->published_next = (class->published_next + 1) % CLASS_PUBLISHED;
}

void demand_update(admission_t *admission, int64_t now_us)
{
	double elapsed_us = (double)(now_us - admission->updated_us);
	double certainty = (double)admission->arrivals / CERTAIN_ARRIVALS;
	size_t count;

	if (certainty < CERTAINTY_MIN)
		certainty = CERTAINTY_MIN;
	if (certainty > 1)
		certainty = 1;
	admission->arrivals = 0;
	g_hash_table_foreach_remove(admission->classes, forget_idle, &now_us);
	count = list_classes(admission);
	for (size_t i = 0; i < count; i++)
		update_class_demand(admission->order[i], elapsed_us, certainty);
	divide_capacity(admission, count, elapsed_us);
	for (size_t i = 0; i < count; i++)
		publish(admission->order[i]);
	admission->updated_us = now_us;
}
