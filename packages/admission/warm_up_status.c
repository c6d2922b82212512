/* What the owner of admission sets and sees of the warm-up. */
#include "admission_internal.h"

const char *admission_warm_up_cause_name(admission_warm_up_cause_t cause)
{
	static const char *const names[] = {
		[ADMISSION_WARM_UP_DAEMON_STARTED] = "daemon-started",
		[ADMISSION_WARM_UP_LISTED] = "listed",
		[ADMISSION_WARM_UP_REFUSED] = "refused",
		[ADMISSION_WARM_UP_BROKEN] = "broken",
		[ADMISSION_WARM_UP_RETURNED] = "returned",
		[ADMISSION_WARM_UP_TOLD_COLD] = "told-cold",
	};

	return names[cause];
}

const char *admission_fall_back_name(admission_fall_back_t cause)
{
	static const char *const names[] = {
		[ADMISSION_FALL_BACK_SLOW] = "slow",
		[ADMISSION_FALL_BACK_REJECTED] = "rejected",
		[ADMISSION_FALL_BACK_FAILED] = "failed",
	};

	return names[cause];
}

int admission_set_warm_up(admission_t *admission,
			  const admission_warm_up_rules_t *rules)
{
	return warm_up_set_rules(&admission->warm_up, admission, rules,
				 cas_clock_now(admission->clock));
}

void admission_begin_warm_up(admission_t *admission,
			     admission_warm_up_cause_t cause, int64_t cold_us)
{
	warm_up_begin(&admission->warm_up, &admission->limit.latency,
		      cas_clock_now(admission->clock), cause, cold_us);
}

void admission_note_cold_left(admission_t *admission, int64_t cold_us,
			      int64_t asked_us)
{
	warm_up_note_cold_left(&admission->warm_up,
			       cas_clock_now(admission->clock), cold_us,
			       asked_us);
}

admission_warm_up_status_t
admission_warm_up_status(const admission_t *admission)
{
	const warm_up_t *warm_up = &admission->warm_up;
	int64_t now_us = cas_clock_now(admission->clock);
	bool cold = warm_up_is_cold(warm_up, now_us);
	bool active = warm_up->in_force && warm_up->active;

	return (admission_warm_up_status_t){
		.limits = warm_up_limits(warm_up, now_us),
		.cold_left_us = !cold ? 0
				: warm_up->unreachable
					? warm_up->cold_max_us
					: warm_up->cold_until_us - now_us,
		.in_doubt =
			warm_up->in_force && now_us < warm_up->doubt_until_us,
		.allowed = active ? warm_up->allowed : 0,
		.base_ratio = warm_up->base_ratio,
		.recent_ratio = warm_up->recent_ratio,
		.cause = warm_up->cause,
		.fall_back_cause = warm_up->fall_back_cause,
		.begin_count = warm_up->begin_count,
		.end_count = warm_up->end_count,
		.fall_back_count = warm_up->fall_back_count,
	};
}

int64_t admission_warm_up_retry_us(const admission_t *admission)
{
	return warm_up_wait(&admission->warm_up,
			    cas_clock_now(admission->clock), admission->queued,
			    admission->limit.mean_total_us);
}
