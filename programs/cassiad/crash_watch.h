/*
 * Requests that the upstream of this host ran when it crashed. A request whose
 * connection is reset waits here until a connection attempt shows whether the
 * upstream is still there.
 */
#ifndef CASSIA_CRASH_WATCH_H
#define CASSIA_CRASH_WATCH_H

#include "cassia/quarantine.h"
#include "daemon.h"

/* A request that waits; a member of its owner. */
typedef struct crash_waiter {
	struct crash_waiter *next; /* NULL unless waiting */
	struct crash_waiter *prev;
	quarantine_digest_t digest;
	bool isolated; /* it was a suspect when it was started */
	/* Called once, from the event loop; the waiter is no longer in the
	 * list. crashed: the upstream refuses connections. */
	void (*done)(struct crash_waiter *waiter, bool crashed);
} crash_waiter_t;

/* Creates daemon->crash_watch and daemon->quarantine. Returns 0 or
 * BASE_ENOMEM. */
int crash_watch_create(cassiad_t *daemon);

/* Returns the digest of a request. The body may be NULL. */
quarantine_digest_t crash_watch_digest(const cassiad_t *daemon,
				       cas_id_t customer, cas_str_t method,
				       cas_str_t target, http_body_t *body,
				       int64_t content_length);

/* Writes a digest as hexadecimal text, which logs show. */
#define CRASH_DIGEST_TEXT_BYTES (2 * sizeof(quarantine_digest_t) + 1)
void crash_watch_format_digest(quarantine_digest_t digest, char *text);

/* Adds a waiter whose members digest, isolated and done are set. */
void crash_watch_add(cassiad_t *daemon, crash_waiter_t *waiter);

/* Removes a waiter; its callback is not called. It may not be in the list. */
void crash_watch_remove(crash_waiter_t *waiter);

/* Tells the quarantine which hosts have upstreams of the own service. */
void crash_watch_set_roster(cassiad_t *daemon);

void crash_watch_set_metrics(cassiad_t *daemon);

#endif
