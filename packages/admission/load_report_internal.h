/* The reported load of one upstream, and how far it is believed. */
#ifndef CASSIA_LOAD_REPORT_INTERNAL_H
#define CASSIA_LOAD_REPORT_INTERNAL_H

#include "cassia/load_report.h"

typedef struct load_track {
	load_report_t report; /* the latest one */
	int64_t reported_us;
	double mean_slowdown; /* over many reports, in percent; 0: none yet */
	/* Own times of responses divided by the usual ones, smoothed. */
	double observed_ratio;
	int32_t observed_samples; /* up to what is needed to judge a report */
	uint64_t refused_count; /* implausible reports */
} load_track_t;

/* Takes over a report, unless the responses contradict it. */
void load_track_note(load_track_t *track, int64_t now_us,
		     const load_report_t *report);

/* Takes a response into account. own_us is its time without child calls,
 * usual_us the mean of its kind, 0: not known. */
void load_track_response(load_track_t *track, double own_us, double usual_us);

/* Returns the latest report, not known if it is too old or implausible. */
load_report_t load_track_current(const load_track_t *track, int64_t now_us);

/* Returns the slowdown of the host relative to its mean; 1: not known. */
double load_track_slowdown(const load_track_t *track, int64_t now_us);

/* Returns how much longer than usual the latest responses took, beyond what the
 * reported slowdown explains; 1: not known. */
double load_track_unexplained(const load_track_t *track, int64_t now_us);

/* Returns the number of slots, which is that of the host list unless a report
 * and the responses show that the upstream has fewer. */
int32_t load_track_slots(const load_track_t *track, int64_t now_us,
			 int32_t listed_slots);

#endif
