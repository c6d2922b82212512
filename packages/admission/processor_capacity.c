/*
 * The capacity of the daemon, and the processor cost of one request of each
 * kind, from measurements of the processor time used, of the idle time and of
 * the lateness of the event loop.
 *
 * The capacity is at most the share, and at most the speed at which the process
 * runs while its loop is not idle: where the share is not known, or not given
 * because other processes use the host, that is what can be carried. Where the
 * share is a quota, the process runs at full speed until the quota is used up;
 * then the capacity falls because ready work waits for the loop.
 */
#include "processor_internal.h"

#include "cassia/number.h"

/* Initial costs in microseconds, by kind of work and for a tick. */
static const double initial_cost_us[PROCESSOR_COST_COUNT] = {
	[PROCESSOR_ENTRY] = 290,   [PROCESSOR_CHILD_CALL] = 290,
	[PROCESSOR_ATTEMPT] = 170, [PROCESSOR_REFUSAL] = 70,
	[PROCESSOR_TICK] = 20,
};
/* A cost stays within these factors of its initial value, so that no wrong
 * measurement makes work look free or unaffordable. */
#define COST_FACTOR_MIN 0.125
#define COST_FACTOR_MAX 16.0
/* A refusal is taken to cost at most this share of an attempt. */
#define REFUSAL_SHARE_MAX 0.75
/* Part of the difference between the predicted and the measured use that one
 * window corrects, and the largest relative change of a cost in a window. */
#define COST_WEIGHT 0.2
#define COST_CHANGE_MAX 0.2
/* Windows with less predicted or measured use are too noisy to learn from. */
#define COST_USED_MIN_US 2000.0
/* Part of the share that is taken in at most. The rest is room for bursts: a
 * quota that is used up stops the process for the rest of its period. */
#define CEILING_SHARE 0.95
/* Weight of the newest window in the smoothed speed, and the time that the loop
 * must have been busy in it for a sound measurement. */
#define SPEED_WEIGHT 0.3
#define SPEED_BUSY_MIN_US (10 * CAS_USEC_PER_MSEC)
/* The loop is idle for less than this part of the time when lateness is due to
 * its load. Otherwise other processes delay it, and to refuse work would not
 * help. */
#define LATE_IDLE_MAX 0.25
/* A process with one thread cannot use more than a core. */
#define CORE_MICRO 1000000.0
/* Mean waits for the event loop above which the capacity falls, and below which
 * it rises. Wait of an event loop whose rounds take four times as long. */
#define WAIT_HIGH_US (10 * CAS_USEC_PER_MSEC)
#define WAIT_LOW_US (5 * CAS_USEC_PER_MSEC)
/* Fall of the capacity in a window, for each WAIT_HIGH_US and at most. */
#define FALL_STEP 0.05
#define FALL_MAX 0.25
/* Rise of the capacity in a window: a part of itself and a part of the ceiling.
 * From the floor to the ceiling it takes less than a second. */
#define RISE_FACTOR 1.1
#define RISE_CEILING_SHARE 0.05
/* Above this part of the capacity at which the loop was last late, the rise is
 * slower, so that the capacity does not swing. That capacity itself rises by
 * LATE_DRIFT in a window, 5% in a second, in case more can be carried now. */
#define LATE_NEAR_SHARE 0.9
#define LATE_RISE_FACTOR 1.004
#define LATE_DRIFT 1.005
/* Factor of that capacity beyond which it is forgotten: without lateness, the
 * floor or an earlier capacity shows that more can be carried. */
#define LATE_PASSED 1.1
/* Factor of that capacity in a window in which less was used while late. The
 * window in which a delay ends has idle time as well. */
#define LATE_DECAY 0.95
/* The capacity stays above this part of the ceiling, since lateness may have
 * causes that refusing work does not mend, such as other processes. */
#define FLOOR_SHARE 0.2
/* A process that was this late and used less than this part of what it may use
 * was suspended; its lateness says nothing about its load. */
#define SUSPENDED_LATE_US CAS_USEC_PER_SEC
#define SUSPENDED_USED_SHARE 0.2
/* Used and idle time together exceed the elapsed time by more than this part
 * only if the processor clock also counts time in which the process waits. */
#define CLOCK_EXCESS_MAX 0.1
/* Weight of the newest window in the smoothed use. */
#define USED_WEIGHT 0.5

void processor_capacity_init(processor_capacity_t *capacity,
			     int64_t share_micro)
{
	double share = (double)share_micro / CORE_MICRO;

	if (share <= 0 || share > 1)
		share = 1;
	*capacity = (processor_capacity_t){ 0 };
	capacity->ceiling = share * CEILING_SHARE;
	capacity->capacity = capacity->ceiling;
	capacity->speed = 1;
	for (int i = 0; i < PROCESSOR_COST_COUNT; i++)
		capacity->cost_us[i] = initial_cost_us[i];
}

void processor_capacity_restart(processor_capacity_t *capacity)
{
	capacity->started = false;
}

static void start_window(processor_capacity_t *capacity, int64_t now_us,
			 const processor_sample_t *sample)
{
	capacity->started = true;
	capacity->window_start_us = now_us;
	capacity->window_used_us = sample->used_us;
	capacity->window_idle_us = sample->idle_us;
	capacity->late_integral = 0;
	capacity->last_us = now_us;
	for (int i = 0; i < PROCESSOR_COST_COUNT; i++)
		capacity->count[i] = 0;
}

/*
 * Corrects the costs by the difference between the use that they predict and
 * the measured use. Each cost bears it in proportion to the square of its part
 * in the prediction (normalised least mean squares, on relative costs).
 */
static void learn_costs(processor_capacity_t *capacity, double used_us)
{
	double part_us[PROCESSOR_COST_COUNT];
	double predicted_us = 0;
	double squares = 0;

	for (int i = 0; i < PROCESSOR_COST_COUNT; i++) {
		part_us[i] = (double)capacity->count[i] * capacity->cost_us[i];
		predicted_us += part_us[i];
		squares += part_us[i] * part_us[i];
	}
	if (predicted_us < COST_USED_MIN_US || used_us < COST_USED_MIN_US)
		return;
	for (int i = 0; i < PROCESSOR_COST_COUNT; i++) {
		double change = COST_WEIGHT * (used_us - predicted_us) *
				part_us[i] / squares;

		capacity->cost_us[i] *= 1 + cas_clamp(change, -COST_CHANGE_MAX,
						      COST_CHANGE_MAX);
		capacity->cost_us[i] =
			cas_clamp(capacity->cost_us[i],
				  initial_cost_us[i] * COST_FACTOR_MIN,
				  initial_cost_us[i] * COST_FACTOR_MAX);
	}
	if (capacity->cost_us[PROCESSOR_REFUSAL] >
	    capacity->cost_us[PROCESSOR_ATTEMPT] * REFUSAL_SHARE_MAX)
		capacity->cost_us[PROCESSOR_REFUSAL] =
			capacity->cost_us[PROCESSOR_ATTEMPT] *
			REFUSAL_SHARE_MAX;
}

/* Lowers the capacity to a little less than what the process achieved while the
 * loop was late. A lower one would not be kept: what has been taken in, and the
 * refusals, use that much. */
static void lower_capacity(processor_capacity_t *capacity, double used)
{
	double fall = cas_clamp(FALL_STEP * (double)capacity->wait_us /
					(double)WAIT_HIGH_US,
				FALL_STEP, FALL_MAX);

	double target = used * (1 - fall);

	capacity->late_capacity *= LATE_DECAY;
	if (used > capacity->late_capacity)
		capacity->late_capacity = used;
	if (target < capacity->capacity * (1 - FALL_MAX))
		target = capacity->capacity * (1 - FALL_MAX);
	if (target < capacity->capacity)
		capacity->capacity = target;
}

static void raise_capacity(processor_capacity_t *capacity)
{
	capacity->late_capacity *= LATE_DRIFT;
	if (capacity->capacity > capacity->late_capacity * LATE_PASSED)
		capacity->late_capacity = 0;
	if (capacity->late_capacity > 0 &&
	    capacity->capacity > capacity->late_capacity * LATE_NEAR_SHARE)
		capacity->capacity *= LATE_RISE_FACTOR;
	else
		capacity->capacity = capacity->capacity * RISE_FACTOR +
				     capacity->ceiling * RISE_CEILING_SHARE;
}

static void adjust_capacity(processor_capacity_t *capacity, double used,
			    double idle)
{
	double highest = capacity->speed * CEILING_SHARE;

	if (highest > capacity->ceiling)
		highest = capacity->ceiling;
	if (capacity->wait_us > WAIT_HIGH_US && idle < LATE_IDLE_MAX)
		lower_capacity(capacity,
			       used > capacity->used ? used : capacity->used);
	else if (capacity->wait_us < WAIT_LOW_US)
		raise_capacity(capacity);
	if (capacity->capacity > highest)
		capacity->capacity = highest;
	if (capacity->capacity < capacity->ceiling * FLOOR_SHARE)
		capacity->capacity = capacity->ceiling * FLOOR_SHARE;
}

/* Updates the speed at which the process runs while it has work. */
static void update_speed(processor_capacity_t *capacity, double busy_us,
			 double used_us)
{
	double speed = used_us / busy_us;

	if (busy_us >= (double)SPEED_BUSY_MIN_US)
		capacity->speed += SPEED_WEIGHT *
				   (cas_clamp(speed, 0, 1) - capacity->speed);
}

/* Returns whether the counters and the clock fit together: a single thread uses
 * or waits no more than the time that has passed. */
static bool is_plausible(const processor_capacity_t *capacity,
			 int64_t elapsed_us, const processor_sample_t *sample)
{
	int64_t used_us = sample->used_us - capacity->window_used_us;
	int64_t idle_us = sample->idle_us - capacity->window_idle_us;
	double may_use_us = (double)elapsed_us * capacity->ceiling;

	if (elapsed_us < 0 || used_us < 0 || idle_us < 0 ||
	    sample->late_us < 0 || used_us > elapsed_us + PROCESSOR_WINDOW_US ||
	    idle_us > elapsed_us + PROCESSOR_WINDOW_US)
		return false;
	return sample->late_us < SUSPENDED_LATE_US ||
	       (double)used_us >= may_use_us * SUSPENDED_USED_SHARE;
}

/* Adds the time since the last measurement, in which the lateness has grown to
 * late_us. Work that becomes ready at any moment waits as long as the loop is
 * late then, so the mean wait is the mean lateness over time. */
static void integrate_lateness(processor_capacity_t *capacity, int64_t now_us,
			       int64_t late_us)
{
	double elapsed_us = (double)(now_us - capacity->last_us);
	double end_us = (double)late_us;

	if (elapsed_us > end_us)
		elapsed_us = end_us;
	capacity->late_integral += elapsed_us * (end_us - elapsed_us / 2);
	capacity->last_us = now_us;
}

/* Stops using the processor clock when it cannot be right. Some environments
 * report elapsed time in its place, and the share says nothing about that: then
 * the time in which the loop is not idle counts, of which all may be used. */
static void check_clock(processor_capacity_t *capacity, double elapsed_us,
			double used_us, double idle_us)
{
	if (capacity->uses_loop_time ||
	    used_us + idle_us <= elapsed_us * (1 + CLOCK_EXCESS_MAX))
		return;
	capacity->uses_loop_time = true;
	capacity->ceiling = CEILING_SHARE;
	capacity->capacity = CEILING_SHARE;
	capacity->speed = 1;
	capacity->used = 0;
}

static void end_window(processor_capacity_t *capacity, int64_t now_us,
		       const processor_sample_t *sample)
{
	double elapsed_us = (double)(now_us - capacity->window_start_us);
	double used_us = (double)(sample->used_us - capacity->window_used_us);
	double idle_us = (double)(sample->idle_us - capacity->window_idle_us);
	double used;

	check_clock(capacity, elapsed_us, used_us, idle_us);
	if (capacity->uses_loop_time)
		used_us = elapsed_us > idle_us ? elapsed_us - idle_us : 0;
	used = used_us / elapsed_us;

	capacity->wait_us = (int64_t)(capacity->late_integral / elapsed_us);
	capacity->used += USED_WEIGHT * (used - capacity->used);
	capacity->measured_us = now_us;
	learn_costs(capacity, used_us);
	update_speed(capacity, elapsed_us - idle_us, used_us);
	adjust_capacity(capacity, used, idle_us / elapsed_us);
}

bool processor_capacity_measure(processor_capacity_t *capacity, int64_t now_us,
				const processor_sample_t *sample)
{
	int64_t elapsed_us = now_us - capacity->window_start_us;

	if (!capacity->started) {
		start_window(capacity, now_us, sample);
		return false;
	}
	if (!is_plausible(capacity, elapsed_us, sample)) {
		capacity->discarded++;
		start_window(capacity, now_us, sample);
		return false;
	}
	capacity->count[PROCESSOR_TICK]++;
	integrate_lateness(capacity, now_us, sample->late_us);
	if (elapsed_us < PROCESSOR_WINDOW_US)
		return false;
	end_window(capacity, now_us, sample);
	start_window(capacity, now_us, sample);
	return true;
}
