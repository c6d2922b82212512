/*
 * The division of capacity. It goes to the highest importance first; within
 * one importance it is divided by weighted max-min fairness over customers.
 */
#include "admission_internal.h"

#include <stdlib.h>

/* Bounds of the correction of capacity by the length of the queue. */
#define SLACK_LOW 0.7
#define SLACK_HIGH 1.1
#define SLACK_GAIN 0.2
/* Part of the limit that the queue should hold. */
#define QUEUE_TARGET 0.1
#define QUEUE_TARGET_MIN 4.0
/* Demand for the fair share up to which a class is not shed: the estimate is
 * off by that much, and a shed request comes again as retries. */
#define PROTECTED 1.2
#define STARTUP_GROWTH 1.3
/* Most by which an unused part of the limit raises the capacity. */
#define UNUSED_MAX 1.1
/* While part of the limit is unused, fractions rise by this in each update
 * whatever the demand seems to be: a little, and only of the highest
 * importance that is shed; or quickly and all when most of it is unused, as
 * after the end of a surge. */
#define IDLE_RISE 1.1
#define IDLE_STEP 0.01
#define IDLE_UNUSED 1.03
#define MOSTLY_UNUSED 1.5
#define MOSTLY_RISE 2.0
#define MOSTLY_STEP 0.05

/* Capacity that is left, as requests in flight. */
typedef struct capacity {
	double nominal; /* for classes inside their fair share */
	double corrected; /* by the queue, for those beyond it */
	bool idle; /* part of the limit is unused */
	bool mostly_idle;
} capacity_t;

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

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

/* Returns 1 for an empty queue of the importance and above, 0 for one of the
 * wanted length, and less for longer ones. */
static double queue_room(const admission_t *admission, int importance)
{
	double wanted = admission->limit.limit * QUEUE_TARGET;
	double queued = 0;

	if (wanted < QUEUE_TARGET_MIN)
		wanted = QUEUE_TARGET_MIN;
	for (int i = importance; i < ADMISSION_IMPORTANCES; i++)
		queued += admission->queued_at[i];
	return 1 - queued / wanted;
}

static double slack(const admission_t *admission, int importance)
{
	return clamp(1 + SLACK_GAIN * queue_room(admission, importance),
		     SLACK_LOW, SLACK_HIGH);
}

/* Returns the limit for the mean number of requests in flight since the last
 * update. Rejected requests come again as retries, so the demand looks higher
 * than it is; that shows as a limit that is not used up. */
static double unused(admission_t *admission, double elapsed_us)
{
	double held = admission->limit.held_time - admission->held_time;
	double wanted = admission->limit.limit * elapsed_us;

	admission->held_time = admission->limit.held_time;
	return wanted / (held + 1);
}

static double raised_fraction(const request_class_t *class,
			      const capacity_t *left)
{
	if (left->mostly_idle)
		return class->fraction * MOSTLY_RISE + MOSTLY_STEP;
	return class->fraction * IDLE_RISE + IDLE_STEP;
}

/*
 * Divides between classes beyond their fair share. What the correction takes
 * away from the fair shares is taken in proportion to the excess demand, so
 * that it falls on a flooding customer and not on one just beyond its share.
 */
static void divide_rest(request_class_t **classes, size_t count, double weights,
			capacity_t *left)
{
	double rest = left->corrected > 0 ? left->corrected : 0;
	double taken = left->nominal > rest ? left->nominal - rest : 0;
	double excess = 0;

	for (size_t i = 0; i < count; i++)
		excess += classes[i]->demand;
	excess -= left->nominal;
	for (size_t i = 0; i < count; i++) {
		request_class_t *class = classes[i];
		double fair = left->nominal * class->weight / weights;
		double raised = raised_fraction(class, left);
		bool rises = left->idle && (i + 1 < count || count == 1);

		class->granted = fair - taken * (class->demand - fair) / excess;
		if (class->granted < 0)
			class->granted = 0;
		class->fraction = class->granted / class->demand;
		if ((rises || left->mostly_idle) && raised > class->fraction)
			class->fraction = raised;
		if (class->fraction > 1)
			class->fraction = 1;
	}
	left->nominal = 0;
	left->corrected = 0;
	left->idle = false;
}

/*
 * Divides between the classes of one importance, sorted by demand for their
 * weight. A class inside its fair share of the nominal capacity gets all it
 * asks for, however long the queue is: those beyond it have filled the queue.
 */
static void divide(request_class_t **classes, size_t count, capacity_t *left)
{
	double weights = 0;
	size_t i;

	for (i = 0; i < count; i++)
		weights += classes[i]->weight;
	for (i = 0; i < count; i++) {
		request_class_t *class = classes[i];

		if (class->demand >
		    PROTECTED * left->nominal * class->weight / weights)
			break;
		class->granted = class->demand;
		class->fraction = 1;
		left->nominal -= class->demand;
		left->corrected -= class->demand;
		weights -= class->weight;
	}
	if (i < count)
		divide_rest(classes + i, count - i, weights, left);
}

void divide_capacity(admission_t *admission, size_t count, double elapsed_us)
{
	request_class_t **order = admission->order;
	const limit_t *limit = &admission->limit;
	double ratio = unused(admission, elapsed_us);
	double capacity = limit->limit * clamp(ratio, 1, UNUSED_MAX);
	double used = 0;
	bool idle = ratio > IDLE_UNUSED && !admission->queued;
	capacity_t left = { .idle = idle,
			    .mostly_idle = idle && ratio > MOSTLY_UNUSED };

	/* A limit that is still growing counts for what it becomes soon. */
	if (limit->phase == LIMIT_STARTUP)
		capacity *= STARTUP_GROWTH;
	left.nominal = capacity * SLACK_HIGH;
	qsort(order, count, sizeof(request_class_t *), compare_classes);
	for (size_t end, begin = 0; begin < count; begin = end) {
		int32_t importance = order[begin]->importance;

		for (end = begin; end < count; end++)
			if (order[end]->importance != importance)
				break;
		used = capacity * SLACK_HIGH - left.nominal;
		left.corrected = capacity * slack(admission, importance) - used;
		divide(order + begin, end - begin, &left);
	}
}
