/* Plans the retries to services that reject a share of the calls. */
#include "cassia/retry_plan.h"

#include <string.h>

#include "cassia/draw.h"

/* Counts are kept for 20 s: the window of the limit and the one before it. */
#define SLOT_US (500 * CAS_USEC_PER_MSEC)
#define WINDOW_SLOTS 20
#define SLOTS (2 * WINDOW_SLOTS)
/* Part of the limit that is used. The limit holds for any window, while counts
 * begin and end at slots, and calls that are cancelled on their way may not
 * count as calls. */
#define LIMIT_USE 0.85
/* The share of rejections and the calls a second are those of the last second:
 * the start of a disturbance must reach the roots before their trees run. */
#define RECENT_SLOTS 2
/* Fewer arrivals tell nothing about the share of rejections. */
#define ARRIVALS_MIN 20
/* Limits how far the number of offered trees is extrapolated from those that
 * were started. */
#define SHARE_MIN 0.05
#define SHARES_UPDATE_US (100 * CAS_USEC_PER_MSEC)
/* Weight of new shares in smoothed ones: roots follow a change only after some
 * hundred milliseconds, so an undamped one would overshoot. */
#define SHARES_WEIGHT 0.5
/* Largest rise of a share in one update. What its trees need is known only once
 * some have started. */
#define RISE_FACTOR 1.1
#define RISE_STEP 0.01
/* Repeats in the last second, as a multiple of the mean that the limit allows.
 * Without it, the repeats of 10 s would be used up before roots know of a
 * disturbance. */
#define PACE_FACTOR 1.5

/* What was counted in a time of SLOT_US. */
typedef struct slot {
	double offered[RETRY_IMPORTANCES]; /* calls / share at that time */
	uint32_t call_sum;
	uint32_t repeats;
	uint32_t arrivals;
	uint32_t rejections;
} slot_t;

typedef struct service_plan {
	cas_id_t service;
	int64_t newest_slot; /* clock time / SLOT_US */
	slot_t slots[SLOTS]; /* by slot modulo SLOTS */
	double shares[RETRY_IMPORTANCES];
	int64_t shares_updated_us;
	bool limited; /* the repeats do not suffice for all calls */
} service_plan_t;

struct retry_plan {
	const cas_clock_t *clock;
	double ratio;
	retry_plan_ops_t ops;
	void *private; /* argument of ops */
	service_plan_t *services;
	size_t service_count;
};

retry_plan_t *retry_plan_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				double ratio, const retry_plan_ops_t *ops,
				void *private)
{
	retry_plan_t *plan = talloc_zero(ctx, retry_plan_t);

	if (!plan)
		return NULL;
	plan->clock = clock;
	plan->ratio = ratio;
	if (ops)
		plan->ops = *ops;
	plan->private = private;
	return plan;
}

/* Clears the slots that begin after the newest one, up to the present one. */
static void advance(service_plan_t *service, int64_t now_us)
{
	int64_t present = now_us / SLOT_US;
	int64_t slot = service->newest_slot + 1;

	if (present - slot >= SLOTS)
		slot = present - SLOTS + 1;
	for (; slot <= present; slot++)
		memset(&service->slots[slot % SLOTS], 0, sizeof(slot_t));
	if (present > service->newest_slot)
		service->newest_slot = present;
}

/* Returns the plan of a service (borrowed), with its slots moved to the present
 * time. Adds it if add is set. NULL when there is none or out of memory. */
static service_plan_t *find_service(retry_plan_t *plan, cas_id_t id, bool add)
{
	int64_t now_us = cas_clock_now(plan->clock);
	service_plan_t *services;
	service_plan_t *service = NULL;

	for (size_t i = 0; i < plan->service_count && !service; i++)
		if (plan->services[i].service == id)
			service = &plan->services[i];
	if (!service && add) {
		services = talloc_realloc(plan, plan->services, service_plan_t,
					  plan->service_count + 1);
		if (!services)
			return NULL;
		plan->services = services;
		service = &services[plan->service_count++];
		memset(service, 0, sizeof(*service));
		service->service = id;
		service->newest_slot = now_us / SLOT_US;
		service->shares_updated_us = now_us;
		for (int i = 0; i < RETRY_IMPORTANCES; i++)
			service->shares[i] = 1;
	}
	if (service)
		advance(service, now_us);
	return service;
}

static slot_t *present_slot(service_plan_t *service)
{
	return &service->slots[service->newest_slot % SLOTS];
}

/* Returns the slot that began age slots before the present one. */
static const slot_t *slot_at(const service_plan_t *service, int age)
{
	int64_t slot = service->newest_slot - age;

	return &service->slots[(slot + SLOTS) % SLOTS];
}

/* Returns the calls in a window whose last slot is last_age slots before the
 * present one. It may be negative: later slots have no calls yet. */
static uint64_t calls_in_window(const service_plan_t *service, int last_age)
{
	uint64_t calls = 0;

	for (int age = last_age < 0 ? 0 : last_age;
	     age < last_age + WINDOW_SLOTS; age++)
		calls += slot_at(service, age)->call_sum;
	return calls;
}

/* Returns the most repeats in the window whose last slot is last_age slots before
 * the present one. The limit counts the calls of this window, of the one before
 * it or of the one half a window before it, whichever has most. */
static double window_max(const retry_plan_t *plan,
			 const service_plan_t *service, int last_age)
{
	uint64_t most = 0;

	for (int shift = 0; shift <= WINDOW_SLOTS; shift += WINDOW_SLOTS / 2) {
		uint64_t calls = calls_in_window(service, last_age + shift);

		if (calls > most)
			most = calls;
	}
	return plan->ratio * LIMIT_USE * (double)most;
}

/* Returns the most repeats in the present window. */
static double repeats_max(const retry_plan_t *plan,
			  const service_plan_t *service)
{
	return window_max(plan, service, 0);
}

/* Returns whether one more repeat keeps the limit in all windows with the
 * present slot, also in those that end later: when calls become fewer, the
 * windows with many calls do not count for these. In later windows a single
 * repeat is allowed without calls, as more calls may come. */
static bool fits_windows(const retry_plan_t *plan,
			 const service_plan_t *service)
{
	double repeats = 0;

	for (int age = 0; age < WINDOW_SLOTS; age++) {
		repeats += slot_at(service, age)->repeats;
		if (repeats > window_max(plan, service, age - WINDOW_SLOTS + 1))
			return false;
	}
	return repeats + 1 <= repeats_max(plan, service);
}

/* Returns the share of the recent arrivals that were rejected. */
static double rejected_share(const service_plan_t *service)
{
	uint32_t arrivals = 0;
	uint32_t rejections = 0;

	for (int age = 0; age <= RECENT_SLOTS; age++) {
		arrivals += slot_at(service, age)->arrivals;
		rejections += slot_at(service, age)->rejections;
	}
	return arrivals < ARRIVALS_MIN ? 0 : (double)rejections / arrivals;
}

/* Returns the calls of trees that were offered lately, whether these were
 * started or not, as a number in a window of 10 s. */
static double offered_calls(const service_plan_t *service, int importance)
{
	double calls = 0;

	for (int age = 1; age <= RECENT_SLOTS; age++)
		calls += slot_at(service, age)->offered[importance];
	return calls * WINDOW_SLOTS / RECENT_SLOTS;
}

/* Divides the calls that the repeats suffice for, the most important first. A
 * call needs 1 / (1 - p) arrivals, so p / (1 - p) repeats. */
static void update_shares(const retry_plan_t *plan, service_plan_t *service)
{
	double rejected = rejected_share(service);
	double repeats_a_call = rejected < 1 ? rejected / (1 - rejected) : 1e9;
	bool suffices_for_all = repeats_a_call <= plan->ratio * LIMIT_USE;
	double left = repeats_max(plan, service);

	for (int i = RETRY_IMPORTANCES - 1; i >= 0; i--) {
		double needed = offered_calls(service, i) * repeats_a_call;
		double share = needed > left ? left / needed : 1;
		double highest = service->shares[i] * RISE_FACTOR + RISE_STEP;

		left -= needed < left ? needed : left;
		if (suffices_for_all) {
			service->shares[i] = 1;
			continue;
		}
		share = service->shares[i] +
			SHARES_WEIGHT * (share - service->shares[i]);
		service->shares[i] = share < highest ? share : highest;
	}
}

/* Reports when the repeats cease to suffice, or suffice again. */
static void report_change(const retry_plan_t *plan, service_plan_t *service)
{
	retry_plan_state_t state = {
		.service = service->service,
		.rejected_share = rejected_share(service),
		.lowest_share = 1,
		.repeats_max = repeats_max(plan, service),
	};
	bool limited;

	for (int i = 0; i < RETRY_IMPORTANCES; i++)
		if (service->shares[i] < state.lowest_share)
			state.lowest_share = service->shares[i];
	limited = state.lowest_share < 1;
	if (limited == service->limited)
		return;
	service->limited = limited;
	if (plan->ops.changed)
		plan->ops.changed(plan->private, &state, limited);
}

static double share_of(const retry_plan_t *plan, service_plan_t *service,
		       int32_t importance)
{
	int64_t now_us = cas_clock_now(plan->clock);

	if (plan->ratio > 0 &&
	    now_us - service->shares_updated_us >= SHARES_UPDATE_US) {
		service->shares_updated_us = now_us;
		update_shares(plan, service);
		report_change(plan, service);
	}
	return service->shares[importance];
}

void retry_plan_count_call(retry_plan_t *plan, const retry_call_t *call)
{
	service_plan_t *service = find_service(plan, call->service, true);
	double share;

	if (!service)
		return;
	if (call->repeat) {
		present_slot(service)->repeats++;
		return;
	}
	share = share_of(plan, service, call->importance);
	present_slot(service)->call_sum++;
	present_slot(service)->offered[call->importance] +=
		1 / (share > SHARE_MIN ? share : SHARE_MIN);
}

void retry_plan_record_arrival(retry_plan_t *plan, const retry_call_t *call,
			       bool rejected)
{
	service_plan_t *service = find_service(plan, call->service, true);

	if (!service)
		return;
	present_slot(service)->arrivals++;
	present_slot(service)->rejections += rejected;
}

double retry_plan_share(retry_plan_t *plan, cas_id_t service_id,
			int32_t importance)
{
	service_plan_t *service = find_service(plan, service_id, false);

	return service ? share_of(plan, service, importance) : 1;
}

bool retry_plan_includes(retry_plan_t *plan, const retry_call_t *call)
{
	double share = retry_plan_share(plan, call->service, call->importance);

	return cas_draw_below(call->draw, share);
}

bool retry_plan_has_room(retry_plan_t *plan, cas_id_t service_id)
{
	const service_plan_t *service = find_service(plan, service_id, false);
	double recent_repeats = 1;

	if (!service)
		return false;
	for (int age = 0; age < RECENT_SLOTS; age++)
		recent_repeats += slot_at(service, age)->repeats;
	return fits_windows(plan, service) &&
	       recent_repeats <= 1 + repeats_max(plan, service) * PACE_FACTOR *
						 RECENT_SLOTS / WINDOW_SLOTS;
}

bool retry_plan_allow_repeat(retry_plan_t *plan, const retry_call_t *call)
{
	if (!retry_plan_includes(plan, call) ||
	    !retry_plan_has_room(plan, call->service))
		return false;
	present_slot(find_service(plan, call->service, false))->repeats++;
	return true;
}
