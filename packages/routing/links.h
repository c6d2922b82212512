/*
 * What a link to another region carries. Load pattern: large bodies that, spread
 * blindly, fill a link that all daemons of a region share and whose capacity no
 * setting states. Each daemon bounds the bytes of bodies that it has in flight
 * on the link by a window. It grows while bodies arrive in the usual time and
 * shrinks when they are late or lost.
 */
#ifndef CASSIA_ROUTING_LINKS_H
#define CASSIA_ROUTING_LINKS_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/hash.h"

/* Assumed size of a body that is sent in chunks: the mean of uploads. */
#define LINK_UNKNOWN_BODY_BYTES INT64_C(60000)

typedef struct link {
	cas_id_t region;
	/* Of all requests, for the metrics. */
	uint64_t sent;
	uint64_t received;
	/* Of bodies that this daemon sends. */
	int64_t in_flight_bytes;
	double window_bytes; /* most bytes in flight, 0: not set */
	double us_per_kb; /* usual transfer time, 0: unknown */
	int64_t hold_until_us; /* no new body before */
	int64_t hold_us; /* length of the last hold */
	int64_t shrunk_at_us; /* start of the last hold */
} link_t;

/* Returns the bytes that a body counts for, from its length or -1. */
int64_t link_body_bytes(int64_t body_bytes);

/* Returns whether the link has room for a body of the length now. Requests
 * without a body are always allowed. */
bool link_allows(const link_t *link, int64_t body_bytes, int64_t now_us);

/* Returns the expected transfer time of a body in microseconds. */
double link_transfer_us(const link_t *link, int64_t body_bytes);

/* Counts a body as in flight. */
void link_begin(link_t *link, int64_t body_bytes);

/* A body is no longer in flight. transfer_us is the part of the attempt's time
 * that it accounts for, -1 if unknown, with an error of up to spread_us;
 * began_us is the start of the attempt; lost: no response came. */
void link_finish(link_t *link, int64_t body_bytes, int64_t transfer_us,
		 int64_t spread_us, int64_t began_us, bool lost,
		 int64_t now_us);

#endif
