/*
 * Customer quotas over the whole fleet: a daemon takes one token for each
 * root request, from tokens granted by the holder of the customer's bucket.
 * The same module holds the buckets that fall to this host and borrows from
 * other holders. It decides only: messages leave through quota_ops_t.
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

#define QUOTA_TOKEN INT64_C(1000000) /* micro-tokens */
#define QUOTA_GRANT_LIFE (2 * CAS_USEC_PER_SEC)
#define QUOTA_DRIFT_MARGIN (100 * CAS_USEC_PER_MSEC)
#define QUOTA_RESEND_PERIOD (20 * CAS_USEC_PER_MSEC)
#define QUOTA_WAIT_LIMIT (250 * CAS_USEC_PER_MSEC)

enum quota_error {
	QUOTA_OK = 0,
	QUOTA_ENOMEM = -1401,
	QUOTA_ECUSTOMER = -1402, /* the table has no such customer */
	QUOTA_EHOST = -1403, /* this host is not in the roster */
};

typedef enum quota_verdict {
	QUOTA_GRANTED, /* one token was taken */
	QUOTA_PENDING, /* the callback will tell */
	QUOTA_REFUSED, /* no token was taken */
} quota_verdict_t;

/*
 * How far admissions over any window may exceed rate and burst, as a part of
 * both and as a number of tokens. window_us 0: not at all; the limit is exact
 * and needs the fence.
 */
typedef struct quota_tolerance {
	int64_t window_us;
	int64_t over_micro; /* millionths of rate and burst */
	int64_t slack_micro; /* micro-tokens */
} quota_tolerance_t;

typedef struct quota quota_t;
typedef struct quota_pending quota_pending_t;

typedef struct quota_ops {
	/* Sends an ask (borrowed) to another host; it may be lost. */
	void (*send_ask)(void *private_data, cas_id_t to, const quota_ask *ask);
	/* Fence of this host's data centre at a roster revision. */
	bool (*fence_held)(void *private_data, int64_t revision);
	bool (*fence_settled)(void *private_data, int64_t revision);
	/* A number that changes when the fence lapsed or a host list was
	 * skipped: another host may have held a bucket meanwhile. May be NULL
	 * where neither happens. */
	uint64_t (*fence_epoch)(void *private_data);
} quota_ops_t;

/* The verdict of a pending request, GRANTED or REFUSED, once. The handle is
 * no longer valid. retry_after_us is 0 when granted. */
typedef void (*quota_done_fn)(void *private_data, quota_verdict_t verdict,
			      int64_t retry_after_us);

/* Totals since start, in tokens for granted, lent and borrowed and in
 * requests for the others. */
typedef struct quota_stats {
	int64_t granted; /* requests that got a token */
	int64_t refused; /* requests that got none */
	int64_t waiting; /* requests that wait now */
	int64_t asks_sent;
	int64_t asks_received;
	int64_t lent_micro; /* granted to other holders */
	int64_t borrowed_micro; /* received from other holders */
	int64_t handed_micro; /* granted to daemons */
	int64_t expired_micro; /* expired at this host before use */
	int64_t returned_micro; /* given back before use */
	int64_t lapses; /* buckets emptied because the fence lapsed */
} quota_stats_t;

/*
 * Creates the module of host self with a fresh incarnation. clock, rng, ops and
 * private_data are borrowed. Returns NULL when memory is short. Until
 * quota_set_view every request is refused.
 */
quota_t *quota_create(TALLOC_CTX *ctx, cas_clock_t *clock, cas_rng_t *rng,
		      const quota_ops_t *ops, void *private_data, cas_id_t self,
		      uint64_t incarnation);

/* Lets admissions exceed the limit by a tolerance. Daemons then divide all
 * tokens among themselves, take over what they lack, and need no holders. Call
 * it before the first quota_set_view. */
void quota_set_tolerance(quota_t *quota, const quota_tolerance_t *tolerance);

/*
 * Adopts a table and a roster (borrowed until the next call, either may be
 * unchanged). Returns 0, QUOTA_ENOMEM, or QUOTA_EHOST when the roster does not
 * list this host; the module then holds no bucket and only asks others.
 */
int quota_set_view(quota_t *quota, const table_t *table,
		   const roster_t *roster);

/*
 * Takes one token of the customer. GRANTED and REFUSED are final. For PENDING
 * *pending is a handle (borrowed) and done is called later, never from inside
 * this call; deadline_us is on the module's clock. *retry_after_us is set when
 * refused. A negative error number stands for a refusal without a bucket.
 */
int quota_acquire(quota_t *quota, cas_id_t customer, int64_t deadline_us,
		  quota_done_fn done, void *private_data,
		  quota_pending_t **pending, int64_t *retry_after_us);

/* Forgets a pending request; its callback is not called. */
void quota_cancel(quota_pending_t *pending);

/* Handles an ask of another host and fills in the reply. */
void quota_on_ask(quota_t *quota, cas_id_t from, uint64_t incarnation,
		  const quota_ask *ask, quota_reply *reply);

/* Handles a reply of another host. */
void quota_on_reply(quota_t *quota, cas_id_t from, uint64_t incarnation,
		    const quota_reply *reply);

/* Resends, reports, gives up and borrows what is due. */
void quota_tick(quota_t *quota);

/* Returns when quota_tick has something to do, in clock microseconds. */
int64_t quota_next_due(const quota_t *quota);

const quota_stats_t *quota_stats(const quota_t *quota);

/* Returns the micro-tokens of a customer that this daemon could still use or
 * grant at the time now of its clock, if no further message arrived. */
int64_t quota_tokens(quota_t *quota, cas_id_t id, int64_t now);

/* The state of a held bucket as metrics and tests see it. */
typedef struct quota_bucket_info {
	cas_id_t customer;
	uint32_t slot;
	int64_t level;
	int64_t outstanding;
	int64_t burst_share;
	int64_t rate_share; /* micro-tokens a second */
	bool adding;
} quota_bucket_info_t;

/* Fills in up to limit held buckets and returns how many there are. */
size_t quota_buckets(quota_t *quota, quota_bucket_info_t *infos, size_t limit);

#endif
