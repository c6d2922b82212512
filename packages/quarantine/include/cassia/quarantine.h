/*
 * Quarantine of requests that crash the upstreams which run them. The daemons
 * beside the upstreams of one service tell each other which requests ran when an
 * upstream crashed. Such a request is a suspect: it is isolated, which means that
 * an upstream runs one suspect at a time. An isolated request whose upstream
 * crashes again is blocked for a time; one that runs to a good end as often as it
 * has met a crash is a suspect no longer.
 *
 * Load pattern: one request that comes again and again, at any daemon, beside
 * ordinary ones, some of which are popular.
 */
#ifndef CASSIA_QUARANTINE_H
#define CASSIA_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "quarantine_messages.h"

enum quarantine_error {
	QUARANTINE_ENOMEM = -2201,
};

/* Identifies equal requests: a keyed hash, so that it tells nothing about their
 * content. 0: not known; such a request is never a suspect. */
typedef uint64_t quarantine_digest_t;

/* Bytes of a request body that the digest covers, besides its length. */
#define QUARANTINE_BODY_BYTES 4096
#define QUARANTINE_KEY_BYTES 16

/* What makes a request the same as another one. */
typedef struct quarantine_request {
	cas_id_t customer;
	cas_str_t method;
	cas_str_t target; /* path and query */
	cas_str_t body; /* its first QUARANTINE_BODY_BYTES, or all of it */
	int64_t body_bytes; /* -1: not known */
} quarantine_request_t;

/* Returns the digest of a request under a key that all daemons have. */
quarantine_digest_t quarantine_digest(const uint8_t key[QUARANTINE_KEY_BYTES],
				      const quarantine_request_t *request);

typedef enum quarantine_verdict {
	QUARANTINE_FREE,
	QUARANTINE_SUSPECT, /* one at a time */
	QUARANTINE_BLOCKED,
} quarantine_verdict_t;

typedef struct quarantine_ops {
	/* Sends a report, which may be lost; it is borrowed. */
	void (*send)(void *private, cas_id_t to,
		     const quarantine_report *report);
	/* The request is blocked from now on; for the log. crashes counts those
	 * that it has met. May be NULL. */
	void (*blocked)(void *private, quarantine_digest_t digest,
			int32_t crashes, int64_t block_us);
} quarantine_ops_t;

/* What one daemon knows. */
typedef struct quarantine quarantine_t;

/* Returns an empty quarantine, or NULL when out of memory. clock is borrowed,
 * ops is copied. self is the own host. */
quarantine_t *quarantine_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				const quarantine_ops_t *ops, void *private,
				cas_id_t self);

/* Sets the hosts of the own service, without the own one. Returns 0 or
 * QUARANTINE_ENOMEM. */
int quarantine_set_peers(quarantine_t *quarantine, const cas_id_t *hosts,
			 size_t count);

quarantine_verdict_t quarantine_check(quarantine_t *quarantine,
				      quarantine_digest_t digest);

/* Returns for how long a request is blocked in microseconds, 0: it is not. */
int64_t quarantine_blocked_us(quarantine_t *quarantine,
			      quarantine_digest_t digest);

/* Reports that the own upstream crashed while it ran the requests. isolated is
 * the one of them that was a suspect when it was started, 0: none. */
void quarantine_note_crash(quarantine_t *quarantine,
			   const quarantine_digest_t *digests, size_t count,
			   quarantine_digest_t isolated);

/* Reports that the own upstream has run a request to a good end. */
void quarantine_note_served(quarantine_t *quarantine,
			    quarantine_digest_t digest);

/* Handles a report of another daemon and fills the zeroed reply, whose list is
 * valid until the next call. incarnation is that of the other daemon. */
void quarantine_on_report(quarantine_t *quarantine, cas_id_t from,
			  uint64_t incarnation, const quarantine_report *report,
			  quarantine_reply *reply);

/* Handles the reply of another daemon to a report. */
void quarantine_on_reply(quarantine_t *quarantine, cas_id_t from,
			 const quarantine_reply *reply);

/* Sends the reports that are due. */
void quarantine_tick(quarantine_t *quarantine);
/* Returns when quarantine_tick is due, INT64_MAX: not before another call. */
int64_t quarantine_next_due(const quarantine_t *quarantine);

/* Numbers for metrics. */
typedef struct quarantine_counts {
	int64_t suspects; /* now, the blocked ones included */
	int64_t blocked; /* now */
	int64_t crashes; /* of the own upstream, since the start */
	int64_t reports_sent; /* datagrams */
	int64_t reports_ignored; /* too many from one host */
} quarantine_counts_t;

quarantine_counts_t quarantine_counts(quarantine_t *quarantine);

#endif
