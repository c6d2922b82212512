/* The load of an upstream and its queue, as it is told to the senders. */
#include "admission_internal.h"

#include <math.h>

#include "cassia/number.h"

/* Time after which an event has 1/e of its weight. Long enough for several
 * events at a few requests a second, short enough to follow a burst. */
#define DECAY_US (CAS_USEC_PER_SEC / 2)
/* A sum of weights below this says nothing. */
#define EVENTS_MIN 0.5
#define PERMILLE 1000
/* Longest wait that is told; a longer one means the same to the senders. */
#define WAIT_MAX_US (60 * CAS_USEC_PER_SEC)
#define PERCENT 100

static void decay(recent_load_t *recent, int64_t now_us)
{
	double factor = exp(-(double)(now_us - recent->updated_us) / DECAY_US);

	recent->arrivals *= factor;
	recent->refused *= factor;
	recent->finished *= factor;
	recent->updated_us = now_us;
}

void recent_load_arrival(recent_load_t *recent, int64_t now_us)
{
	decay(recent, now_us);
	recent->arrivals++;
}

void recent_load_refusal(recent_load_t *recent, int64_t now_us)
{
	decay(recent, now_us);
	recent->refused++;
}

void recent_load_finish(recent_load_t *recent, int64_t now_us)
{
	decay(recent, now_us);
	recent->finished++;
}

/* Returns how long a request takes a place on average, in microseconds; 0: not
 * known. */
static double time_per_request(const admission_t *admission)
{
	return admission->limit.mean_total_us / admission_limit(admission);
}

/* Returns the expected wait of a new request: those before it in the queue at
 * the rate of the latest completions, or at that of the usual times if there
 * were none. */
static int64_t expected_wait(const admission_t *admission,
			     const load_report_t *report, int32_t room,
			     int64_t now_us)
{
	const recent_load_t *recent = &admission->recent;
	const warm_up_t *warm_up = &admission->warm_up;
	/* Weights of events at a steady rate add up to rate * DECAY_US. */
	double each_us = recent->finished > EVENTS_MIN
				 ? DECAY_US / recent->finished
				 : time_per_request(admission);
	double wait_us = 0;
	int64_t paced_us;

	if (room <= 0)
		wait_us = each_us * (admission->queued + 1);
	else if (report->known)
		wait_us = each_us * report->waiting;
	paced_us = room > 0 && warm_up_allows(warm_up, now_us,
					      admission->limit.inflight)
			   ? 0
			   : warm_up_wait(warm_up, now_us, admission->queued,
					  admission->limit.mean_total_us);
	wait_us = cas_max(wait_us, (double)paced_us);
	paced_us = rate_limit_wait(&admission->rate, now_us, admission->queued);
	wait_us = cas_max(wait_us, (double)paced_us);
	return wait_us < WAIT_MAX_US ? (int64_t)wait_us : WAIT_MAX_US;
}

/* Returns how many requests could start now. */
static int32_t room_now(const admission_t *admission,
			const load_report_t *report, int64_t now_us)
{
	int32_t room = admission_limit(admission) - admission->limit.inflight -
		       admission->queued;

	if (room < 0 || (report->known && report->waiting > 0))
		return 0;
	if (admission->rate.in_force && room > 0)
		return rate_limit_next_start(&admission->rate) <= now_us;
	/* The next start of a cold upstream is one only. */
	if (warm_up_is_cold(&admission->warm_up, now_us) && room > 0)
		return warm_up_next_start(&admission->warm_up, now_us) <=
		       now_us;
	return room;
}

/* Returns the usual own time of a kind. If the slowdown is told with it, it is
 * the time at a slowdown of 100, so that the senders multiply both; otherwise
 * the time on this host. */
static int64_t usual_own(const admission_t *admission,
			 const latency_kind_t *kind,
			 const load_report_t *report)
{
	double own_us = kind->mean_own_us;

	if (report->known && report->slowdown)
		own_us = own_us * PERCENT / admission->track.mean_slowdown;
	return (int64_t)own_us;
}

static int32_t refused_permille(const recent_load_t *recent)
{
	double share = recent->arrivals > EVENTS_MIN
			       ? recent->refused / recent->arrivals
			       : 0;

	return share < 1 ? (int32_t)(share * PERMILLE) : PERMILLE;
}

admission_load_t admission_load(admission_t *admission, cas_id_t kind)
{
	int64_t now_us = cas_clock_now(admission->clock);
	load_report_t report = load_track_current(&admission->track, now_us);
	int32_t room = room_now(admission, &report, now_us);

	decay(&admission->recent, now_us);
	return (admission_load_t){
		.slowdown = report.known ? report.slowdown : 0,
		.room = room,
		.wait_us = expected_wait(admission, &report, room, now_us),
		.own_us = usual_own(
			admission,
			latency_kind(&admission->limit.latency, kind), &report),
		.refused_permille = refused_permille(&admission->recent),
		.warming_up = warm_up_limits(&admission->warm_up, now_us),
		.rate_limited = admission->rate.in_force,
	};
}

void admission_note_load(admission_t *admission, const load_report_t *report)
{
	load_track_note(&admission->track, cas_clock_now(admission->clock),
			report);
}

uint64_t admission_refused_reports(const admission_t *admission)
{
	return admission->track.refused_count;
}
