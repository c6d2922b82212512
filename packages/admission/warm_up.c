/*
 * How much work an upstream that has started or recovered gets: the bound on
 * requests a second while it is cold, and a concurrency that is found from its
 * responses. Addresses a fleet that sends its full load, or a burst, to an
 * upstream the moment it returns, and an upstream that is kept idle for a fixed
 * time although it is ready.
 *
 * The concurrency doubles with each round of responses that take about as long
 * as usual, or as long as those at the lowest concurrency where the upstream is
 * slower as a whole. It is halved as soon as responses are slow, and grows more
 * slowly above that. An occasional slow request is no sign of overload: what
 * responses exceed the usual time by is added up, and quick responses reduce
 * the sum.
 */
#include "warm_up_internal.h"

#include "cassia/clock.h"
#include "cassia/number.h"

/* Concurrency at the begin. With one request only, one slow request would stop
 * all others. */
#define ALLOWED_INITIAL 2.0
#define ALLOWED_MIN 1.0
/* Factor of the concurrency when it falls back. */
#define FALL_BACK_FACTOR 0.5
/* Growth for each quick response, in requests: doubles in a round. Above the
 * level to which it fell back: by a quarter in a round. */
#define GROWTH 1.0
#define GROWTH_CAREFUL 0.25
/* The concurrency grows only while at least this share of it is in use, so that
 * it is never far above what the upstream has shown to take. */
#define USED_SHARE 0.5
/* A response is slow above this ratio to the usual time. Callers lose little
 * below it, and an upstream whose slots are all in use reaches it. */
#define SLOW_RATIO 1.5
/* One response counts as no slower than this. */
#define RATIO_MAX 3.0
/* Excess of ratios over SLOW_RATIO that makes the concurrency fall back: two
 * responses in succession at RATIO_MAX, or five at twice the usual time. */
#define SLOWNESS_MAX 2.5
/* Responses from which the ratio at the lowest concurrency is taken. */
#define BASE_SAMPLES 4
/* Weight of one response in the recent ratio, and of that in a lower base. */
#define RECENT_WEIGHT 0.25
#define BASE_FALL_WEIGHT 0.25
/* Responses of a kind from which its usual time is taken if it is not known. */
#define USUAL_SAMPLES 8
/* A usual time from fewer responses before the begin does not count. */
#define USUAL_KNOWN_SAMPLES 8
/* An upstream that says it is warm is cold if its responses take this much
 * longer than usual at the lowest concurrency; a cold one takes twice as
 * long. */
#define COLD_RATIO 1.6
/* An upstream that is warm may be cold again when its responses take COLD_RATIO
 * times the usual. Then a health response is useful for this time, and not
 * again before SUSPECT_PAUSE_US: there are other reasons to be slow, and health
 * requests have a cost. */
#define SUSPECT_US CAS_USEC_PER_SEC
#define SUSPECT_PAUSE_US (10 * CAS_USEC_PER_SEC)
/* Without a slow response for this time, the warm-up ends at any concurrency:
 * an upstream with few requests does not need a higher one, and one that has
 * run for so long is no longer a new one. */
#define QUIET_END_US (10 * CAS_USEC_PER_SEC)
/* Longest warm-up after the cold time. Then the limit of admission decides. */
#define DURATION_MAX_US (30 * CAS_USEC_PER_SEC)
/* Longest cold time if the table states none. */
#define COLD_DEFAULT_US (10 * CAS_USEC_PER_SEC)
/* Longest wait for the start of a request in a warm-up. Callers need a response
 * in 0.4 s or more, so that another upstream can still serve those that would
 * wait longer. */
#define WAIT_MAX_US (150 * CAS_USEC_PER_MSEC)
/* Connections that must break without a response between them before an
 * upstream counts as restarted. A single one may be due to the request, or was
 * closed because it was idle. */
#define BREAKS_MIN 2

static int64_t later_of(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static bool has_bound(const warm_up_t *warm_up)
{
	return warm_up->window.rate_per_s > 0;
}

static void restart_concurrency(warm_up_t *warm_up, int64_t now_us)
{
	warm_up->active = true;
	warm_up->began_us = now_us;
	warm_up->fell_back_us = now_us;
	warm_up->allowed = ALLOWED_INITIAL;
	warm_up->careful_above = 0;
	warm_up->base_ratio = 1;
	warm_up->base_samples = 0;
	warm_up->recent_ratio = 0;
	warm_up->slowness = 0;
}

void warm_up_init(warm_up_t *warm_up, int64_t now_us)
{
	*warm_up = (warm_up_t){ .cause = ADMISSION_WARM_UP_DAEMON_STARTED,
				.event_us = now_us,
				.begin_count = 1 };
	restart_concurrency(warm_up, now_us);
}

/* Takes the upstream for cold from an event on, for the longest time that the
 * table states. */
static void assume_cold(warm_up_t *warm_up, int64_t event_us)
{
	warm_up->event_us = event_us;
	warm_up->cold_until_us = event_us + warm_up->cold_max_us;
	warm_up->doubt_until_us = warm_up->cold_until_us;
	warm_up->distrusted = false;
}

int warm_up_set_rules(warm_up_t *warm_up, TALLOC_CTX *ctx,
		      const admission_warm_up_rules_t *rules, int64_t now_us)
{
	bool had_bound = has_bound(warm_up);
	int error = start_window_set_rate(&warm_up->window, ctx,
					  rules->cold_rate_per_s, now_us);

	if (error)
		return error;
	warm_up->in_force = rules->in_force;
	warm_up->cold_max_us =
		rules->cold_max_us > 0 ? rules->cold_max_us : COLD_DEFAULT_US;
	if (!has_bound(warm_up))
		warm_up->cold_until_us = 0;
	else if (!had_bound)
		assume_cold(warm_up, now_us);
	return 0;
}

/* Keeps the usual times from before the begin. The latest means would include
 * the slow responses of this warm-up. */
static void keep_usual_times(latency_t *latency)
{
	for (int i = 0; i < latency->kind_count; i++) {
		latency_kind_t *kind = &latency->kinds[i];
		double usual = kind->mean_own_us;

		if (kind->base_us > 0 && kind->base_us < usual)
			usual = kind->base_us;
		kind->usual_known = kind->finish_samples >= USUAL_KNOWN_SAMPLES;
		kind->usual_us = kind->usual_known ? usual : 0;
		kind->usual_samples = 0;
	}
}

static void limit_cold_time(warm_up_t *warm_up, int64_t now_us, int64_t cold_us)
{
	if (cold_us < 0)
		cold_us = 0;
	if (cold_us > warm_up->cold_max_us)
		cold_us = warm_up->cold_max_us;
	warm_up->cold_until_us = now_us + cold_us;
}

/* Returns whether an event is a further sign of what has begun the warm-up that
 * is going on: the host list names the new instance, or says that it is cold,
 * after connections to the former one were refused. A second new instance is no
 * such sign: what the first one has told does not hold for it. */
static bool is_known(const warm_up_t *warm_up, int64_t now_us,
		     admission_warm_up_cause_t cause)
{
	return warm_up->active &&
	       ((cause == ADMISSION_WARM_UP_LISTED && !warm_up->listed) ||
		cause == ADMISSION_WARM_UP_TOLD_COLD) &&
	       (warm_up->unreachable ||
		now_us - warm_up->event_us < warm_up->cold_max_us);
}

void warm_up_begin(warm_up_t *warm_up, latency_t *latency, int64_t now_us,
		   admission_warm_up_cause_t cause, int64_t cold_us)
{
	bool known;

	if (cause == ADMISSION_WARM_UP_BROKEN &&
	    ++warm_up->breaks < BREAKS_MIN) {
		/* Its health response tells whether it has restarted. */
		if (has_bound(warm_up) && !warm_up->unreachable)
			assume_cold(warm_up, now_us);
		return;
	}
	if (!warm_up->active)
		keep_usual_times(latency);
	known = is_known(warm_up, now_us, cause);
	if (cause != ADMISSION_WARM_UP_TOLD_COLD)
		warm_up->listed = cause == ADMISSION_WARM_UP_LISTED;
	if (!known) {
		if (!warm_up->active || cause != warm_up->cause)
			warm_up->begin_count++;
		restart_concurrency(warm_up, now_us);
		warm_up->cause = cause;
	} else if (!warm_up->doubt_until_us) {
		/* The upstream itself has told since how long it is cold. */
		return;
	}
	warm_up->unreachable = cause == ADMISSION_WARM_UP_REFUSED ||
			       cause == ADMISSION_WARM_UP_BROKEN;
	if (!has_bound(warm_up))
		return;
	assume_cold(warm_up, now_us);
	if (cold_us > 0)
		limit_cold_time(warm_up, now_us, cold_us);
}

void warm_up_note_cold_left(warm_up_t *warm_up, int64_t now_us, int64_t cold_us,
			    int64_t asked_us)
{
	/* The response may come from before the event. */
	if (!has_bound(warm_up) || asked_us < warm_up->event_us)
		return;
	warm_up->doubt_until_us = 0;
	warm_up->unreachable = false;
	if (warm_up->distrusted)
		return;
	limit_cold_time(warm_up, now_us, cold_us);
	if (warm_up->active || now_us >= warm_up->cold_until_us)
		return;
	warm_up->cause = ADMISSION_WARM_UP_TOLD_COLD;
	warm_up->begin_count++;
	restart_concurrency(warm_up, now_us);
}

bool warm_up_is_cold(const warm_up_t *warm_up, int64_t now_us)
{
	return warm_up->in_force && has_bound(warm_up) &&
	       (warm_up->unreachable || now_us < warm_up->cold_until_us);
}

bool warm_up_limits(const warm_up_t *warm_up, int64_t now_us)
{
	return warm_up->in_force &&
	       (warm_up->active || warm_up_is_cold(warm_up, now_us));
}

int64_t warm_up_next_start(const warm_up_t *warm_up, int64_t now_us)
{
	int64_t next_us;

	if (!warm_up_is_cold(warm_up, now_us))
		return 0;
	next_us = start_window_next(&warm_up->window);
	if (warm_up->unreachable || next_us < warm_up->cold_until_us)
		return next_us;
	return warm_up->cold_until_us;
}

bool warm_up_allows(const warm_up_t *warm_up, int64_t now_us, int32_t inflight)
{
	if (!warm_up->in_force)
		return true;
	if (warm_up->active && inflight >= (int32_t)warm_up->allowed)
		return false;
	return warm_up_next_start(warm_up, now_us) <= now_us;
}

int32_t warm_up_queue_max(const warm_up_t *warm_up, int64_t now_us,
			  int64_t wait_max_us, double mean_us)
{
	double count = INT32_MAX;

	if (wait_max_us > WAIT_MAX_US)
		wait_max_us = WAIT_MAX_US;
	if (warm_up_is_cold(warm_up, now_us))
		count = (double)wait_max_us /
			(double)warm_up->window.interval_us;
	if (warm_up->active && mean_us > 0)
		count = cas_min(count, (double)wait_max_us * warm_up->allowed /
					       mean_us);
	else if (warm_up->active)
		count = cas_min(count, warm_up->allowed);
	return count < 1 ? 1 : (int32_t)cas_min(count, INT32_MAX);
}

int64_t warm_up_wait(const warm_up_t *warm_up, int64_t now_us, int32_t queued,
		     double mean_us)
{
	int64_t wait_us = 0;
	double round_us = 0;

	if (warm_up_is_cold(warm_up, now_us)) {
		wait_us = warm_up_next_start(warm_up, now_us) - now_us +
			  queued * warm_up->window.interval_us;
		wait_us = later_of(wait_us, 0);
	}
	if (warm_up->in_force && warm_up->active)
		round_us = mean_us * (queued + 1) / warm_up->allowed;
	return later_of(wait_us, (int64_t)round_us);
}

double warm_up_cap(const warm_up_t *warm_up, double limit)
{
	return warm_up->in_force && warm_up->active
		       ? cas_min(limit, warm_up->allowed)
		       : limit;
}

void warm_up_start(warm_up_t *warm_up, int64_t now_us)
{
	start_window_record(&warm_up->window, now_us);
}

static void fall_back(warm_up_t *warm_up, int64_t now_us,
		      admission_fall_back_t cause)
{
	/* At the lowest concurrency the upstream is slower as a whole: what is
	 * usual for it is measured again. */
	if (warm_up->allowed <= ALLOWED_INITIAL)
		warm_up->base_samples = 0;
	warm_up->allowed =
		cas_max(warm_up->allowed * FALL_BACK_FACTOR, ALLOWED_MIN);
	warm_up->careful_above = warm_up->allowed;
	warm_up->fell_back_us = now_us;
	warm_up->slowness = 0;
	warm_up->fall_back_cause = cause;
	warm_up->fall_back_count++;
}

/* Returns the ratio of a response, and learns the usual time of its kind if it
 * was not known at the begin. */
static double ratio_of(const warm_up_response_t *response)
{
	latency_kind_t *kind = response->kind;
	double own = (double)response->own_us / response->slowdown;
	double ratio;

	if (kind->usual_us <= 0)
		kind->usual_us = own;
	ratio = cas_min(own / kind->usual_us, RATIO_MAX);
	if (!kind->usual_known && kind->usual_samples < USUAL_SAMPLES) {
		kind->usual_samples++;
		kind->usual_us +=
			(ratio - 1) * kind->usual_us / kind->usual_samples;
	}
	return ratio;
}

/* Updates the base ratio. Returns whether it is known. */
static bool track_base(warm_up_t *warm_up, double ratio)
{
	if (warm_up->base_samples < BASE_SAMPLES) {
		if (!warm_up->base_samples++)
			warm_up->base_ratio = ratio;
		warm_up->base_ratio +=
			(ratio - warm_up->base_ratio) / warm_up->base_samples;
		warm_up->recent_ratio = warm_up->base_ratio;
		return false;
	}
	warm_up->recent_ratio +=
		RECENT_WEIGHT * (ratio - warm_up->recent_ratio);
	if (warm_up->recent_ratio < warm_up->base_ratio)
		warm_up->base_ratio +=
			BASE_FALL_WEIGHT *
			(warm_up->recent_ratio - warm_up->base_ratio);
	return true;
}

/* Takes an upstream that says it is warm for cold, when its first responses are
 * as slow as those of a cold one. */
static void check_told_warm(warm_up_t *warm_up, int64_t now_us,
			    const latency_kind_t *kind)
{
	if (!has_bound(warm_up) || now_us < warm_up->cold_until_us ||
	    warm_up->base_samples < BASE_SAMPLES || !kind->usual_known ||
	    warm_up->base_ratio < COLD_RATIO)
		return;
	assume_cold(warm_up, warm_up->event_us);
	warm_up->doubt_until_us = 0;
	warm_up->distrusted = true;
}

static void grow(warm_up_t *warm_up, const warm_up_response_t *response)
{
	bool careful = warm_up->careful_above > 0 &&
		       warm_up->allowed >= warm_up->careful_above;

	if (response->inflight < warm_up->allowed * USED_SHARE)
		return;
	warm_up->allowed += careful ? GROWTH_CAREFUL : GROWTH;
}

static void note_response(warm_up_t *warm_up, int64_t now_us,
			  const warm_up_response_t *response)
{
	double ratio = ratio_of(response);
	bool base_known = track_base(warm_up, ratio);

	if (!base_known) {
		check_told_warm(warm_up, now_us, response->kind);
		return;
	}
	ratio = cas_min(ratio / cas_max(warm_up->base_ratio, 1), RATIO_MAX);
	warm_up->slowness = cas_max(warm_up->slowness + ratio - SLOW_RATIO, 0);
	if (warm_up->slowness >= SLOWNESS_MAX)
		fall_back(warm_up, now_us, ADMISSION_FALL_BACK_SLOW);
	else if (ratio <= SLOW_RATIO)
		grow(warm_up, response);
}

/* The upstream answers. If it did not before, it may have just started. */
static void note_answer(warm_up_t *warm_up, int64_t now_us)
{
	warm_up->breaks = 0;
	if (!warm_up->unreachable)
		return;
	warm_up->unreachable = false;
	warm_up->began_us = now_us;
	if (has_bound(warm_up))
		assume_cold(warm_up, now_us);
}

void warm_up_finish(warm_up_t *warm_up, int64_t now_us,
		    const warm_up_response_t *response)
{
	if (response->result == ADMISSION_OK ||
	    response->result == ADMISSION_SHED_BY_UPSTREAM)
		note_answer(warm_up, now_us);
	/* Requests from before the last change say nothing of the present
	 * concurrency; each round falls back once. */
	if (!warm_up->active || response->started_us < warm_up->fell_back_us)
		return;
	switch (response->result) {
	case ADMISSION_OK:
		note_response(warm_up, now_us, response);
		break;
	case ADMISSION_SHED_BY_UPSTREAM:
		fall_back(warm_up, now_us, ADMISSION_FALL_BACK_REJECTED);
		break;
	case ADMISSION_FAILED:
		fall_back(warm_up, now_us, ADMISSION_FALL_BACK_FAILED);
		break;
	case ADMISSION_CANCELLED:
		/* It tells something only if it ran longer than usual. */
		if (response->kind->usual_us > 0 &&
		    (double)response->own_us >
			    response->kind->usual_us * RATIO_MAX)
			note_response(warm_up, now_us, response);
		break;
	}
	warm_up_tick(warm_up, now_us, response->limit);
}

void warm_up_note_ratio(warm_up_t *warm_up, int64_t now_us, double ratio)
{
	if (ratio < COLD_RATIO || !has_bound(warm_up) || warm_up->active ||
	    warm_up_is_cold(warm_up, now_us) ||
	    now_us - warm_up->suspected_us < SUSPECT_PAUSE_US)
		return;
	warm_up->suspected_us = now_us;
	warm_up->doubt_until_us = now_us + SUSPECT_US;
}

void warm_up_tick(warm_up_t *warm_up, int64_t now_us, double limit)
{
	int64_t warm_since_us =
		later_of(warm_up->began_us, warm_up->cold_until_us);
	int64_t quiet_since_us = later_of(warm_since_us, warm_up->fell_back_us);

	if (!warm_up->active || warm_up->unreachable ||
	    warm_up_is_cold(warm_up, now_us))
		return;
	if (warm_up->allowed < limit &&
	    now_us - quiet_since_us < QUIET_END_US &&
	    now_us - warm_since_us < DURATION_MAX_US)
		return;
	warm_up->active = false;
	warm_up->end_count++;
}
