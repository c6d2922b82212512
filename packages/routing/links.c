/* Bounds the bodies in flight on the link to another region, see links.h. */
#include "links.h"

#include "cassia/clock.h"

/* First window: one mean upload, so that 80 daemons together start with less
 * than a second of a link of 60 Mbit/s. */
#define WINDOW_START_BYTES 64000.0
/* A window never exceeds the bytes of a few large uploads. */
#define WINDOW_MAX_BYTES 1000000.0
#define WINDOW_MIN_BYTES 8000.0
/* Transfer time until one is known: that of 16 Mbit/s. */
#define US_PER_KB_DEFAULT 500.0
/* A smaller body tells nothing about the time of each kilobyte. */
#define SAMPLE_MIN_BYTES 4096
/* Weights of a sample above and below the usual time. It follows the time
 * without a queue, so that a growing queue does not become usual. */
#define SMOOTHING_UP 0.01
#define SMOOTHING_DOWN 0.1
/* A body is late beyond both: half of the shortest objective of callers, which
 * is 400 ms, and a multiple of the usual time. */
#define LATE_US (200 * CAS_USEC_PER_MSEC)
#define LATE_RATIO 3
/* No new body for this time after a late or lost one; doubles up to the
 * longest, so that many daemons probe a cut link rarely. */
#define HOLD_MIN_US (500 * CAS_USEC_PER_MSEC)
#define HOLD_MAX_US (8 * CAS_USEC_PER_SEC)

int64_t link_body_bytes(int64_t body_bytes)
{
	return body_bytes < 0 ? LINK_UNKNOWN_BODY_BYTES : body_bytes;
}

static double window_of(const link_t *link)
{
	return link->window_bytes > 0 ? link->window_bytes : WINDOW_START_BYTES;
}

bool link_allows(const link_t *link, int64_t body_bytes, int64_t now_us)
{
	int64_t bytes = link_body_bytes(body_bytes);

	if (!bytes)
		return true;
	if (now_us < link->hold_until_us)
		return false;
	/* A body larger than the window may be sent alone. */
	return !link->in_flight_bytes ||
	       (double)(link->in_flight_bytes + bytes) <= window_of(link);
}

double link_transfer_us(const link_t *link, int64_t body_bytes)
{
	double us_per_kb = link && link->us_per_kb > 0 ? link->us_per_kb
						       : US_PER_KB_DEFAULT;

	return us_per_kb * (double)link_body_bytes(body_bytes) / 1024;
}

void link_begin(link_t *link, int64_t body_bytes)
{
	link->in_flight_bytes += link_body_bytes(body_bytes);
}

/* Bodies that were sent before the last hold are a result of the same cause, so
 * they do not lengthen it. */
static void shrink(link_t *link, int64_t began_us, int64_t now_us)
{
	if (link->hold_us && began_us < link->shrunk_at_us)
		return;
	link->window_bytes = window_of(link) / 2;
	if (link->window_bytes < WINDOW_MIN_BYTES)
		link->window_bytes = WINDOW_MIN_BYTES;
	link->hold_us = link->hold_us ? link->hold_us * 2 : HOLD_MIN_US;
	if (link->hold_us > HOLD_MAX_US)
		link->hold_us = HOLD_MAX_US;
	link->hold_until_us = now_us + link->hold_us;
	link->shrunk_at_us = now_us;
}

static void grow(link_t *link, int64_t bytes)
{
	link->window_bytes = window_of(link) + (double)bytes / 4;
	if (link->window_bytes > WINDOW_MAX_BYTES)
		link->window_bytes = WINDOW_MAX_BYTES;
}

void link_finish(link_t *link, int64_t body_bytes, int64_t transfer_us,
		 int64_t spread_us, int64_t began_us, bool lost, int64_t now_us)
{
	int64_t bytes = link_body_bytes(body_bytes);
	double usual_us = link_transfer_us(link, bytes);
	double us_per_kb;

	if (!bytes)
		return;
	link->in_flight_bytes -= bytes;
	if (link->in_flight_bytes < 0)
		link->in_flight_bytes = 0;
	if (lost ||
	    (transfer_us - spread_us > LATE_US &&
	     (double)(transfer_us - spread_us) > LATE_RATIO * usual_us)) {
		shrink(link, began_us, now_us);
		return;
	}
	link->hold_us = 0;
	if (transfer_us < 0)
		return;
	grow(link, bytes);
	if (bytes < SAMPLE_MIN_BYTES)
		return;
	us_per_kb = (double)transfer_us * 1024 / (double)bytes;
	if (!(link->us_per_kb > 0))
		link->us_per_kb = US_PER_KB_DEFAULT;
	link->us_per_kb +=
		(us_per_kb > link->us_per_kb ? SMOOTHING_UP : SMOOTHING_DOWN) *
		(us_per_kb - link->us_per_kb);
}
