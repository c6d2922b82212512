/*
 * Rate limits of customers over the whole fleet. A daemon takes one token for
 * each root request, from tokens that the holder of a bucket of the customer
 * has granted to it. The same module keeps the buckets that this host holds,
 * and borrows tokens from other holders. It does no I/O: the caller sends its
 * messages (quota_ops_t) and passes in those received.
 *
 * Times are microseconds of the clock passed to quota_create. Amounts are
 * micro-tokens where the name or the comment says so.
 */
#ifndef CASSIA_QUOTA_H
#define CASSIA_QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"
#include "cassia/roster.h"
#include "cassia/table.h"
#include "quota_messages.h"

#define QUOTA_TOKEN INT64_C(1000000) /* one token in micro-tokens */
/* Longest life of granted tokens, counted by the asker from its ask. */
#define QUOTA_GRANT_LIFE_US (2 * CAS_USEC_PER_SEC)
/* Time by which the granter counts a grant as outstanding for longer, in case
 * the clocks run at different speeds. */
#define QUOTA_DRIFT_MARGIN_US (100 * CAS_USEC_PER_MSEC)
/* Time after which an ask without a reply is sent again. */
#define QUOTA_RESEND_PERIOD_US (20 * CAS_USEC_PER_MSEC)
/* Longest time for which a request waits for a token. */
#define QUOTA_WAIT_LIMIT_US (250 * CAS_USEC_PER_MSEC)

enum quota_error {
	QUOTA_OK = 0,
	QUOTA_ENOMEM = -1401,
	QUOTA_ECUSTOMER = -1402, /* the table in force has no such customer,
				  * or no data centre for its buckets */
	QUOTA_EHOST = -1403, /* the roster does not list this host */
};

typedef enum quota_result {
	QUOTA_GRANTED, /* one token was taken */
	QUOTA_PENDING, /* the callback gets the result */
	QUOTA_REFUSED, /* no token was taken */
} quota_result_t;

/*
 * How far the admissions in any window may exceed what rate and burst allow:
 * by a fraction of both, plus a number of tokens. With window_us 0 the limit
 * is exact, and is enforced by holders, which need the fence.
 */
typedef struct quota_tolerance {
	int64_t window_us;
	int64_t over_micro; /* millionths of rate and burst */
	int64_t slack_micro; /* micro-tokens */
} quota_tolerance_t;

typedef struct quota quota_t;
typedef struct quota_pending quota_pending_t;

typedef struct quota_ops {
	/* Sends an ask (borrowed) to another host. The message may be lost. */
	void (*send_ask)(void *private_data, cas_id_t to, const quota_ask *ask);
	/* Whether the fence of this host's data centre is held, and whether it
	 * is settled, at a roster revision. Settled: grants of an earlier
	 * holder have expired. */
	bool (*fence_held)(void *private_data, int64_t revision);
	bool (*fence_settled)(void *private_data, int64_t revision);
	/* Returns a number that changes when the fence lapsed or a host list
	 * was skipped, since another host may have held a bucket meanwhile. May
	 * be NULL where neither happens. */
	uint64_t (*fence_epoch)(void *private_data);
} quota_ops_t;

/* Gets the result of a pending request, GRANTED or REFUSED. It is called once;
 * the handle is no longer valid then. retry_after_us is 0 when granted. */
typedef void (*quota_done_fn)(void *private_data, quota_result_t result,
			      int64_t retry_after_us);

/* Totals since quota_create, except waiting. Members ending in _micro are
 * micro-tokens. */
typedef struct quota_stats {
	int64_t granted; /* requests that got a token */
	int64_t refused; /* requests that got none */
	int64_t waiting; /* requests that wait now */
	int64_t asks_sent; /* with resends */
	int64_t asks_received;
	int64_t lent_micro; /* granted to other holders or, with a tolerance,
			     * to other daemons */
	int64_t borrowed_micro; /* received from them */
	int64_t granted_to_daemons_micro; /* not counted, always 0 */
	int64_t expired_micro; /* expired at this host before use */
	int64_t returned_micro; /* returned by this host before use */
	int64_t lapses; /* buckets emptied because the fence lapsed */
} quota_stats_t;

/*
 * Creates the module of host self. incarnation must differ from that of earlier
 * processes on this host. clock, rng, ops and private_data are borrowed.
 * Returns NULL when memory runs out. Until quota_set_view every request is
 * refused.
 */
quota_t *quota_create(TALLOC_CTX *ctx, cas_clock_t *clock, cas_rng_t *rng,
		      const quota_ops_t *ops, void *private_data, cas_id_t self,
		      uint64_t incarnation);

/* Lets admissions exceed the limit by a tolerance. A few daemons (keepers) then
 * each add an equal part of a customer's tokens, and the others borrow from them
 * what they lack; there are no holders. Must be called before the first
 * quota_set_view. */
void quota_set_tolerance(quota_t *quota, const quota_tolerance_t *tolerance);

/*
 * Puts a table and a roster in force (borrowed until the next call; either may
 * be unchanged). Returns 0, QUOTA_ENOMEM, or QUOTA_EHOST when the roster does
 * not list this host; the module then holds no bucket and only asks others.
 */
int quota_set_view(quota_t *quota, const table_t *table,
		   const roster_t *roster);

/*
 * Takes one token of the customer. Returns a quota_result_t, of which GRANTED
 * and REFUSED are final, or QUOTA_ECUSTOMER, which also counts as a refusal.
 * For PENDING, *pending is a handle (borrowed) and done is called later, never
 * from inside this call. Without a tolerance, a pending request is refused when
 * the holder says so, and at deadline_us or QUOTA_WAIT_LIMIT_US from now at the
 * latest; with one, when the lenders that were asked have too few tokens.
 * *retry_after_us is set when refused, and 0 when granted.
 */
int quota_acquire(quota_t *quota, cas_id_t customer, int64_t deadline_us,
		  quota_done_fn done, void *private_data,
		  quota_pending_t **pending, int64_t *retry_after_us);

/* Cancels a pending request; its callback is not called. */
void quota_cancel(quota_pending_t *pending);

/* Handles an ask from another host and fills in the reply. */
void quota_on_ask(quota_t *quota, cas_id_t from, uint64_t incarnation,
		  const quota_ask *ask, quota_reply *reply);

/* Handles a reply from another host. */
void quota_on_reply(quota_t *quota, cas_id_t from, uint64_t incarnation,
		    const quota_reply *reply);

/* Does what is due: resends, reports of use, borrowing, updates of buckets, and
 * refusals of requests that have waited too long. */
void quota_tick(quota_t *quota);

/* Returns when quota_tick has something to do next: a time that may be in the
 * past, or INT64_MAX. */
int64_t quota_next_due(const quota_t *quota);

const quota_stats_t *quota_stats(const quota_t *quota);

/* Returns the micro-tokens of a customer that this daemon could use or grant at
 * the time now if no message arrived until then. */
int64_t quota_tokens(quota_t *quota, cas_id_t id, int64_t now);

/* The state of a held bucket, for metrics and tests. */
typedef struct quota_bucket_info {
	cas_id_t customer;
	uint32_t slot;
	int64_t level; /* own micro-tokens that can be granted */
	int64_t outstanding; /* own micro-tokens granted and not yet used */
	int64_t burst_share; /* micro-tokens */
	int64_t rate_share; /* micro-tokens a second */
	bool adding; /* the level grows */
} quota_bucket_info_t;

/* Fills in up to limit held buckets and returns how many there are. */
size_t quota_buckets(quota_t *quota, quota_bucket_info_t *infos, size_t limit);

#endif
