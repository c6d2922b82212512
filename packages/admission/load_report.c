/*
 * The load that an upstream reports: reads it, and decides how far it is
 * believed. Addresses hosts whose speed changes many times a second, and
 * reports that stop or are wrong.
 *
 * A report is valid for a second. Its slowdown is compared with what the
 * responses show: both are divided by their means, so that the fixed speed of a
 * machine does not matter, and a report that differs by more than
 * PLAUSIBLE_FACTOR does not count.
 */
#include "cassia/load_report.h"

#include "load_report_internal.h"

#include "cassia/clock.h"

/* Above these values a number is taken for a fault of the upstream. */
#define REQUESTS_MAX 100000
#define SLOWDOWN_MAX 10000 /* percent */
#define FIELDS_MIN 3
#define FIELDS_MAX 4
/* Hosts change their speed every 600 ms, so an older report is wrong. */
#define VALID_US CAS_USEC_PER_SEC
/* Largest ratio between the reported and the observed change of speed. Speeds
 * change by 2.5, and responses show it later than reports. */
#define PLAUSIBLE_FACTOR 4.0
/* Responses needed to judge a report. */
#define OBSERVED_SAMPLES 8
/* Weight of one response in the observed change, and of one report in the mean
 * slowdown, which is to cover many changes of speed. */
#define OBSERVED_WEIGHT (1.0 / 8)
#define MEAN_WEIGHT (1.0 / 128)
/* One response counts as no slower than this. Must exceed PLAUSIBLE_FACTOR. */
#define RATIO_MAX 16.0
/* A smaller number of slots than the host list states is believed only if
 * responses take this much longer than usual: they wait in the upstream. */
#define QUEUEING_RATIO 1.3

/* Reads a number from the start of text and removes it. Returns -1 if there is
 * none or it is above max. */
static int32_t read_number(cas_str_t *text, int32_t max)
{
	int64_t number = 0;
	size_t i = 0;

	for (; i < text->len && text->ptr[i] >= '0' && text->ptr[i] <= '9';
	     i++) {
		number = number * 10 + (text->ptr[i] - '0');
		if (number > max)
			return -1;
	}
	text->ptr += i;
	text->len -= i;
	return i ? (int32_t)number : -1;
}

load_report_t load_report_parse(cas_str_t text)
{
	int32_t fields[FIELDS_MAX] = { 0 };
	int count = 0;

	while (count < FIELDS_MAX) {
		fields[count] =
			read_number(&text, count < FIELDS_MIN ? REQUESTS_MAX
							      : SLOWDOWN_MAX);
		if (fields[count++] < 0)
			return (load_report_t){ .known = false };
		if (!text.len)
			break;
		if (text.ptr[0] != ',')
			return (load_report_t){ .known = false };
		text.ptr++;
		text.len--;
		if (!text.len)
			return (load_report_t){ .known = false };
	}
	if (text.len || count < FIELDS_MIN || !fields[2] ||
	    (count == FIELDS_MAX && !fields[3]))
		return (load_report_t){ .known = false };
	return (load_report_t){
		.known = true,
		.running = fields[0],
		.waiting = fields[1],
		.slots = fields[2],
		.slowdown = fields[3],
	};
}

/* Returns whether the responses bear out the slowdown of a report. */
static bool is_plausible(const load_track_t *track, int32_t slowdown)
{
	double claimed;

	if (!slowdown || track->mean_slowdown <= 0 ||
	    track->observed_samples < OBSERVED_SAMPLES)
		return true;
	claimed = slowdown / track->mean_slowdown;
	return claimed * PLAUSIBLE_FACTOR >= track->observed_ratio &&
	       claimed <= track->observed_ratio * PLAUSIBLE_FACTOR;
}

void load_track_note(load_track_t *track, int64_t now_us,
		     const load_report_t *report)
{
	if (!report->known)
		return;
	if (!is_plausible(track, report->slowdown)) {
		track->refused_count++;
		track->report.known = false;
		return;
	}
	track->report = *report;
	track->reported_us = now_us;
	if (!report->slowdown)
		return;
	if (track->mean_slowdown <= 0)
		track->mean_slowdown = report->slowdown;
	track->mean_slowdown +=
		MEAN_WEIGHT * (report->slowdown - track->mean_slowdown);
}

load_report_t load_track_current(const load_track_t *track, int64_t now_us)
{
	if (!track->report.known || now_us - track->reported_us >= VALID_US ||
	    !is_plausible(track, track->report.slowdown))
		return (load_report_t){ .known = false };
	return track->report;
}

void load_track_response(load_track_t *track, double own_us, double usual_us)
{
	double ratio;

	if (usual_us <= 0)
		return;
	ratio = own_us / usual_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	if (!track->observed_samples)
		track->observed_ratio = ratio;
	if (track->observed_samples < OBSERVED_SAMPLES)
		track->observed_samples++;
	track->observed_ratio +=
		OBSERVED_WEIGHT * (ratio - track->observed_ratio);
}

double load_track_slowdown(const load_track_t *track, int64_t now_us)
{
	load_report_t report = load_track_current(track, now_us);

	return report.known && report.slowdown
		       ? report.slowdown / track->mean_slowdown
		       : 1;
}

double load_track_unexplained(const load_track_t *track, int64_t now_us)
{
	if (track->observed_samples < OBSERVED_SAMPLES)
		return 1;
	return track->observed_ratio / load_track_slowdown(track, now_us);
}

int32_t load_track_slots(const load_track_t *track, int64_t now_us,
			 int32_t listed_slots)
{
	load_report_t report = load_track_current(track, now_us);

	if (!report.known || !report.slowdown || !report.waiting ||
	    report.slots >= listed_slots ||
	    load_track_unexplained(track, now_us) < QUEUEING_RATIO)
		return listed_slots;
	return report.slots;
}
