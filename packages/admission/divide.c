/*
 * Divides the capacity of an upstream between the classes of requests. The
 * highest importance is served first; the classes of one importance, one for
 * each customer, share by weighted max-min fairness.
 */
#include "admission_internal.h"

#include <stdlib.h>

#include "cassia/number.h"

/* Bounds and gain of the factor that corrects the capacity by the length of the
 * queue. */
#define QUEUE_CORRECTION_MIN 0.7
#define QUEUE_CORRECTION_MAX 1.1
#define QUEUE_CORRECTION_GAIN 0.2
/* Target length of the queue, as a share of the limit, and its minimum. */
#define QUEUE_TARGET_SHARE 0.1
#define QUEUE_TARGET_MIN 4.0
/* A class is not shed while its demand is at most its fair share times this:
 * the estimate is off by that much, and shed requests return as retries. */
#define SHED_TOLERANCE 1.2
/* Factor of the capacity while the limit is still growing quickly. */
#define STARTUP_CAPACITY_FACTOR 1.3
/* Maximum factor by which an unused part of the limit raises the capacity. */
#define HEADROOM_RATIO_MAX 1.1
/*
 * While part of the limit is unused, each update raises the fractions of
 * classes that are shed, whatever the measured demand: by the IDLE_RISE values,
 * and only in the highest importance that is shed; by the MOSTLY_IDLE_RISE
 * values and in every importance when most of the limit is unused, as after the
 * end of a surge. The _RATIO values are bounds of the limit divided by the
 * number of requests in flight.
 */
#define IDLE_RISE_FACTOR 1.1
#define IDLE_RISE_STEP 0.01
#define IDLE_HEADROOM_RATIO 1.03
#define MOSTLY_IDLE_HEADROOM_RATIO 1.5
#define MOSTLY_IDLE_RISE_FACTOR 2.0
#define MOSTLY_IDLE_RISE_STEP 0.05

/* Capacity that is not yet allocated, as a number of requests in flight. */
typedef struct capacity {
	double nominal; /* for classes within their fair share */
	/* Corrected by the queue length, for classes above their fair share. */
	double corrected;
	bool idle; /* part of the limit is unused */
	bool mostly_idle;
} capacity_t;

/* Orders classes by descending importance, then by ascending demand per unit of
 * weight. */
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

/* Returns 1 when no request of this importance or above is queued, 0 when the
 * target length is queued, and less when more is. */
static double queue_headroom(const admission_t *admission, int importance)
{
	double target = admission->limit.limit * QUEUE_TARGET_SHARE;
	double queued = 0;

	if (target < QUEUE_TARGET_MIN)
		target = QUEUE_TARGET_MIN;
	for (int i = importance; i < ADMISSION_IMPORTANCES; i++)
		queued += admission->queued_by_importance[i];
	return 1 - queued / target;
}

/* Returns the factor of the capacity for classes above their fair share. */
static double queue_correction(const admission_t *admission, int importance)
{
	return cas_clamp(1 + QUEUE_CORRECTION_GAIN *
					 queue_headroom(admission, importance),
			 QUEUE_CORRECTION_MIN, QUEUE_CORRECTION_MAX);
}

/* Returns the limit divided by the mean number of requests in flight since the
 * last update. Rejected requests return as retries, so the measured demand is
 * too high and too little is admitted; a ratio above 1 shows this. */
static double headroom_ratio(admission_t *admission, double elapsed_us)
{
	double inflight_integral = admission->limit.inflight_integral -
				   admission->inflight_integral;
	double limit_integral = admission->limit.limit * elapsed_us;

	admission->inflight_integral = admission->limit.inflight_integral;
	return limit_integral / (inflight_integral + 1);
}

/* Returns the fraction to which a class may rise while the limit is not fully
 * used. */
static double raised_fraction(const request_class_t *class,
			      const capacity_t *remaining)
{
	if (remaining->mostly_idle)
		return class->fraction * MOSTLY_IDLE_RISE_FACTOR +
		       MOSTLY_IDLE_RISE_STEP;
	return class->fraction * IDLE_RISE_FACTOR + IDLE_RISE_STEP;
}

/*
 * Divides the remaining capacity between classes above their fair share. The
 * amount by which the correction reduces it is taken from the fair shares in
 * proportion to the excess demand, so that it is borne by a customer that
 * floods and not by one just above its share. When part of the limit is unused,
 * all fractions rise but that of the class with the highest demand for its
 * weight, which rises only when it is the only class or most of the limit is
 * unused.
 */
static void divide_above_share(request_class_t **classes, size_t count,
			       double total_weight, capacity_t *remaining)
{
	double corrected = remaining->corrected > 0 ? remaining->corrected : 0;
	double shortfall = remaining->nominal > corrected
				   ? remaining->nominal - corrected
				   : 0;
	double excess = 0;

	for (size_t i = 0; i < count; i++)
		excess += classes[i]->demand;
	excess -= remaining->nominal;
	for (size_t i = 0; i < count; i++) {
		request_class_t *class = classes[i];
		double fair_share =
			remaining->nominal * class->weight / total_weight;
		double raised = raised_fraction(class, remaining);
		bool may_rise =
			remaining->idle && (i + 1 < count || count == 1);

		class->allocated =
			fair_share -
			shortfall * (class->demand - fair_share) / excess;
		if (class->allocated < 0)
			class->allocated = 0;
		class->fraction = class->demand > 0
					  ? class->allocated / class->demand
					  : 1;
		if ((may_rise || remaining->mostly_idle) &&
		    raised > class->fraction)
			class->fraction = raised;
		if (class->fraction > 1)
			class->fraction = 1;
	}
	remaining->nominal = 0;
	remaining->corrected = 0;
	remaining->idle = false;
}

/*
 * Divides the remaining capacity between the classes of one importance, sorted
 * by compare_classes. A class within its fair share of the nominal capacity
 * gets its whole demand, however long the queue is, because the classes above
 * their share have filled the queue.
 */
static void divide_importance(request_class_t **classes, size_t count,
			      capacity_t *remaining)
{
	double total_weight = 0;
	size_t i;

	for (i = 0; i < count; i++)
		total_weight += classes[i]->weight;
	for (i = 0; i < count; i++) {
		request_class_t *class = classes[i];

		if (class->demand > SHED_TOLERANCE * remaining->nominal *
					    class->weight / total_weight)
			break;
		class->allocated = class->demand;
		class->fraction = 1;
		remaining->nominal -= class->demand;
		remaining->corrected -= class->demand;
		total_weight -= class->weight;
	}
	if (i < count)
		divide_above_share(classes + i, count - i, total_weight,
				   remaining);
}

void divide_capacity(admission_t *admission, size_t count, double elapsed_us)
{
	request_class_t **classes = admission->class_list;
	const limit_t *limit = &admission->limit;
	double headroom = headroom_ratio(admission, elapsed_us);
	double capacity =
		limit->limit * cas_clamp(headroom, 1, HEADROOM_RATIO_MAX);
	double allocated = 0;
	bool idle = headroom > IDLE_HEADROOM_RATIO && !admission->queued;
	capacity_t remaining = {
		.idle = idle,
		.mostly_idle = idle && headroom > MOSTLY_IDLE_HEADROOM_RATIO
	};

	/* A limit that is still growing quickly is taken as what it will be
	 * soon. */
	if (limit->phase == LIMIT_STARTUP)
		capacity *= STARTUP_CAPACITY_FACTOR;
	remaining.nominal = capacity * QUEUE_CORRECTION_MAX;
	/* Without any class there is no array. */
	if (count)
		qsort(classes, count, sizeof(request_class_t *),
		      compare_classes);
	for (size_t end, begin = 0; begin < count; begin = end) {
		int32_t importance = classes[begin]->importance;

		for (end = begin; end < count; end++)
			if (classes[end]->importance != importance)
				break;
		allocated = capacity * QUEUE_CORRECTION_MAX - remaining.nominal;
		remaining.corrected =
			capacity * queue_correction(admission, importance) -
			allocated;
		for (size_t i = begin; i < end; i++)
			classes[i]->above = allocated;
		divide_importance(classes + begin, end - begin, &remaining);
	}
}
