/* The processor limit: decides on requests by the divided capacity and by the
 * work that was taken in and is not yet worked off. */
#include "cassia/draw.h"
#include "cassia/return_time.h"
#include "processor_internal.h"

/* Work that may be taken in ahead of the capacity: while nothing is refused,
 * and while the limit acts. In time at the capacity, so the delay of the event
 * loop that it causes. */
#define BURST_US (150 * CAS_USEC_PER_MSEC)
#define LIMITING_BURST_US (40 * CAS_USEC_PER_MSEC)
/* Factor of that for calls of started trees, which are refused last. */
#define CHILD_BURST_FACTOR 2.0
/* The backlog is not counted beyond this factor of the allowance, so that the
 * cost of refusals does not block admission for long. */
#define BACKLOG_FACTOR_MAX 2.0
/* Weight of one request in the smoothed cost of the requests of a class. */
#define NET_WEIGHT 0.05
/* Time without a measurement after which one is due before the timer runs. */
#define MEASURE_US (20 * CAS_USEC_PER_MSEC)
/* Importance above which a class that is not known yet may fill all of the
 * burst allowance. */
#define IMPORTANCE_MAX 15

static guint class_hash(gconstpointer p)
{
	const processor_class_t *class = p;

	return (guint)cas_rendezvous_weight(class->customer,
					    (uint64_t) class->importance * 2 +
						    class->child);
}

static gboolean class_equal(gconstpointer a, gconstpointer b)
{
	const processor_class_t *left = a;
	const processor_class_t *right = b;

	return left->customer == right->customer &&
	       left->importance == right->importance &&
	       left->child == right->child;
}

static int destroy(processor_t *processor)
{
	g_hash_table_destroy(processor->classes);
	return 0;
}

processor_t *processor_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
			      int64_t share_micro)
{
	processor_t *processor = talloc_zero(ctx, processor_t);

	if (!processor)
		return NULL;
	processor->clock = clock;
	processor->share_micro = share_micro;
	processor->classes = g_hash_table_new(class_hash, class_equal);
	talloc_set_destructor(processor, destroy);
	processor_capacity_init(&processor->capacity, share_micro);
	processor->boost = 1;
	for (int i = 0; i < PROCESSOR_IMPORTANCES; i++)
		processor->child_fraction[i] = 1;
	processor->divided_us = cas_clock_now(clock);
	processor->backlog_as_of_us = processor->divided_us;
	return processor;
}

static processor_class_t *find_class(const processor_t *processor,
				     int32_t importance, cas_id_t customer,
				     bool child)
{
	const processor_class_t key = { .importance = importance,
					.customer = customer,
					.child = child };

	return g_hash_table_lookup(processor->classes, &key);
}

/* Returns a class, which is created if there is none, or NULL when out of
 * memory. */
static processor_class_t *ensure_class(processor_t *processor,
				       int32_t importance, cas_id_t customer,
				       bool child)
{
	processor_class_t *class =
		find_class(processor, importance, customer, child);

	if (!class) {
		class = talloc_zero(processor, processor_class_t);
		if (!class)
			return NULL;
		class->importance = importance;
		class->customer = customer;
		class->child = child;
		class->weight = 1;
		class->fraction = 1;
		class->burst_share =
			child ? 1
			      : (1 + (double)importance / IMPORTANCE_MAX) / 2;
		for (int i = 0; i < PROCESSOR_FRACTION_HISTORY; i++)
			class->history[i] = 1;
		g_hash_table_add(processor->classes, class);
	}
	class->last_used_us = cas_clock_now(processor->clock);
	return class;
}

static double highest_fraction(const processor_class_t *class)
{
	double highest = class->fraction;

	for (int i = 0; i < PROCESSOR_FRACTION_HISTORY; i++)
		if (class->history[i] > highest)
			highest = class->history[i];
	return highest;
}

/* Counts a request as demand of its class. */
static void record_arrival(processor_t *processor, processor_class_t *class,
			   const processor_request_t *request)
{
	const double *cost_us = processor->capacity.cost_us;
	double net_us = cost_us[request->work] - cost_us[PROCESSOR_REFUSAL];

	class->weight = request->weight > 0 ? request->weight : 1;
	if (class->net_us <= 0)
		class->net_us = net_us;
	class->net_us += NET_WEIGHT * (net_us - class->net_us);
	class->arrived++;
	processor->arrived++;
	if (cas_draw_below(request->draw, processor_unfiltered_fraction(class)))
		class->unfiltered++;
}

/* Works off the backlog at the capacity since the last call. */
static void drain_backlog(processor_t *processor)
{
	int64_t now_us = cas_clock_now(processor->clock);
	double elapsed_us = (double)(now_us - processor->backlog_as_of_us);

	processor->backlog_as_of_us = now_us;
	processor->backlog_us -= elapsed_us * processor->capacity.capacity;
	if (processor->backlog_us < 0)
		processor->backlog_us = 0;
}

/* Adds work of a kind to the backlog and to the counts from which its cost is
 * learned. */
static void count_work(processor_t *processor, processor_work_t work,
		       double allowance_us)
{
	processor->capacity.count[work]++;
	processor->backlog_us += processor->capacity.cost_us[work];
	if (processor->backlog_us > allowance_us * BACKLOG_FACTOR_MAX)
		processor->backlog_us = allowance_us * BACKLOG_FACTOR_MAX;
}

static bool fits_burst(const processor_t *processor,
		       const processor_class_t *class, double allowance_us)
{
	double limit_us = allowance_us * class->burst_share;

	if (class->child)
		limit_us *= CHILD_BURST_FACTOR;
	return processor->backlog_us < limit_us;
}

static double allowance_us(const processor_t *processor)
{
	return (double)(processor->limiting ? LIMITING_BURST_US : BURST_US) *
	       processor->capacity.capacity;
}

bool processor_admit(processor_t *processor, const processor_request_t *request)
{
	processor_class_t *class =
		ensure_class(processor, request->importance, request->customer,
			     request->child);
	double burst_us = allowance_us(processor);
	bool admitted = false;

	/* Without memory for the class nothing is known about the load. */
	if (!class)
		return true;
	drain_backlog(processor);
	record_arrival(processor, class, request);
	if (cas_draw_below(request->draw, request->child
						  ? highest_fraction(class)
						  : class->fraction)) {
		admitted = fits_burst(processor, class, burst_us);
		if (!admitted)
			processor->burst_refused++;
	}
	count_work(processor, admitted ? request->work : PROCESSOR_REFUSAL,
		   burst_us);
	processor->admitted += admitted;
	processor->refused += !admitted;
	return admitted;
}

void processor_count_refusal(processor_t *processor)
{
	drain_backlog(processor);
	count_work(processor, PROCESSOR_REFUSAL, allowance_us(processor));
}

void processor_turned_away(processor_t *processor,
			   const processor_request_t *request)
{
	processor_capacity_t *capacity = &processor->capacity;
	processor_class_t *class =
		find_class(processor, request->importance, request->customer,
			   request->child);

	if (class && class->arrived)
		class->arrived--;
	if (!capacity->count[request->work])
		return;
	capacity->count[request->work]--;
	capacity->count[PROCESSOR_REFUSAL]++;
	processor->backlog_us -= capacity->cost_us[request->work] -
				 capacity->cost_us[PROCESSOR_REFUSAL];
}

void processor_add_early_rejections(processor_t *processor, int32_t importance,
				    cas_id_t customer, uint64_t count)
{
	processor_class_t *class =
		ensure_class(processor, importance, customer, false);

	if (class)
		class->early += count;
}

void processor_measure(processor_t *processor, const processor_sample_t *sample)
{
	int64_t now_us = cas_clock_now(processor->clock);

	(void)processor_capacity_measure(&processor->capacity, now_us, sample);
	if (now_us - processor->divided_us >= PROCESSOR_WINDOW_US)
		processor_divide(processor, now_us);
}

bool processor_is_due(const processor_t *processor)
{
	return cas_clock_now(processor->clock) - processor->capacity.last_us >=
	       MEASURE_US;
}

void processor_reset(processor_t *processor)
{
	processor_capacity_restart(&processor->capacity);
}

double processor_fraction(const processor_t *processor, int32_t importance,
			  cas_id_t customer, bool child)
{
	const processor_class_t *class =
		find_class(processor, importance, customer, child);

	return class ? class->fraction : 1;
}

double processor_child_fraction(const processor_t *processor,
				int32_t importance)
{
	return processor->child_fraction[importance];
}

int32_t processor_permille(const processor_t *processor)
{
	double share = (double)processor->share_micro / 1000000;

	if (share <= 0 || share > 1 || processor->capacity.uses_loop_time)
		share = 1;
	return (int32_t)(processor->capacity.used / share * 1000);
}

int64_t processor_retry_after_us(const processor_t *processor,
				 int32_t importance, cas_id_t customer)
{
	return return_time_when_shed(
		processor_fraction(processor, importance, customer, false));
}

static int32_t permille(double value)
{
	return (int32_t)(value * 1000);
}

void processor_get_state(const processor_t *processor, processor_state_t *state)
{
	const processor_capacity_t *capacity = &processor->capacity;
	int64_t now_us = cas_clock_now(processor->clock);

	*state = (processor_state_t){
		.limiting = processor->limiting,
		.capacity_permille = permille(capacity->capacity),
		.used_permille = permille(capacity->used),
		.speed_permille = permille(capacity->speed),
		.offered_permille = permille(processor->offered),
		.wait_us = capacity->wait_us,
		.measured_age_us = now_us - capacity->measured_us,
		.admitted = processor->admitted,
		.refused = processor->refused,
		.uses_loop_time = capacity->uses_loop_time,
		.discarded = capacity->discarded,
	};
	for (int i = 0; i < PROCESSOR_WORK_COUNT; i++)
		state->cost_us[i] = (int64_t)capacity->cost_us[i];
}
