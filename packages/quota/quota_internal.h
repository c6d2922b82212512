/* Structures shared by the sources of the quota package. */
#ifndef QUOTA_INTERNAL_H
#define QUOTA_INTERNAL_H

#include "cassia/quota.h"

#define QUOTA_LOTS_MAX 16
#define QUOTA_ACCOUNTS_MAX 512
#define QUOTA_CHARGES 8
#define QUOTA_NEVER INT64_MAX

/* Rate of one slot; up to it one holder serves the whole fleet. */
#define QUOTA_CENTRAL_RATE (50 * QUOTA_TOKEN)

/* A holder that regains the fence within this time kept its bucket without a
 * lapse: a successor adds tokens no sooner than 2.1 s after it was lost. */
#define QUOTA_KEEP_TIME (2 * CAS_USEC_PER_SEC)

/* Time for a table to be in force everywhere plus the life of a grant. */
#define QUOTA_GROWTH_DELAY (8100 * CAS_USEC_PER_MSEC)

/* Tokens of one grant. The asker expires them at the asker's expiry, the
 * granter keeps the same lot for the drift margin longer. */
typedef struct quota_lot {
	int64_t amount;
	int64_t expires_us;
	cas_id_t host; /* granter; on the asker's side only */
	uint64_t incarnation;
	bool borrowed; /* from lent tokens; on the granter's side only */
} quota_lot_t;

/* Ordered by expiry, earliest first. */
typedef struct quota_lots {
	quota_lot_t items[QUOTA_LOTS_MAX];
	size_t count;
} quota_lots_t;

/* The asking side towards one bucket on another host. */
typedef struct quota_link {
	cas_id_t to;
	uint16_t from_slot;
	uint16_t to_slot;
	bool in_flight;
	uint32_t received;
	quota_ask message; /* the latest one sent */
	int64_t first_sent_us;
	int64_t last_sent_us;
	int64_t wait_until_us;
	int64_t report_due_us;
	int64_t rate; /* delegated by the target, micro-tokens a second */
	int64_t rate_until_us;
	int64_t renew_at_us;
	int64_t looked_at_us; /* expiry of the last lot considered for return */
	int64_t counted; /* outstanding at the target, by its last reply */
	int64_t refuse_until_us;
	int64_t round_trip_us; /* 0: not known */
	uint64_t incarnation; /* of the last replier */
	uint32_t distance; /* 0 same data centre, 1 same region, 2 other */
	quota_lots_t lots;
} quota_link_t;

/* The granting side towards one asker. */
typedef struct quota_account {
	struct quota_account *next;
	cas_id_t host;
	uint64_t incarnation;
	uint16_t from_slot;
	uint32_t sequence; /* latest handled */
	quota_reply reply; /* repeated for a repeated ask */
	int64_t touched_us;
	int64_t promised; /* tokens that waiting requests will get */
	int64_t promised_us; /* since when */
	int64_t unmet; /* tokens wanted by a daemon and not granted */
	int64_t unmet_until_us;
	quota_lots_t lots;
} quota_account_t;

/*
 * The states have the names used in models/quota.pml. WAITING: no own tokens
 * until the fence is settled. ADDING: the level grows. FROZEN: the fence is
 * lost, the level is kept for QUOTA_KEEP_TIME but neither grows nor is used.
 * RETIRED: no longer held; kept until what it granted has expired.
 */
typedef enum quota_state {
	QUOTA_WAITING,
	QUOTA_ADDING,
	QUOTA_FROZEN,
	QUOTA_RETIRED,
} quota_state_t;

struct quota_customer;

typedef struct quota_bucket {
	struct quota_bucket *next;
	struct quota_customer *customer;
	uint32_t slot;
	quota_state_t state;
	int64_t revision; /* roster revision whose fence is used */
	int64_t touched_us;
	int64_t held_us; /* when the fence was last seen held */
	uint64_t epoch; /* of the fence when the bucket was taken */
	int64_t retired_us;

	/* Own tokens: level + out_own <= burst. */
	int64_t rate; /* micro-tokens a second, in force */
	int64_t burst;
	int64_t target_rate;
	int64_t target_burst;
	int64_t growth_at_us;
	int64_t level;
	int64_t remainder; /* of the growth, in millionths of a micro-token */
	int64_t out_own;

	/* Lent tokens: lent_level + out_lent <= lent_total. */
	int64_t lent_level;
	int64_t lent_total;
	int64_t out_lent;
	quota_link_t *lenders;
	size_t lender_count;
	int64_t next_round_us;
	bool main; /* the other shares of the customer are delegated here */
	int64_t delegated_until_us; /* the own share is delegated */
	cas_id_t delegate; /* to this host */
	uint64_t delegate_incarnation;
	uint16_t delegate_slot;
	int64_t asked_us; /* by a daemon, last time */

	int64_t ideal_level; /* see ideal_bucket.c */
	int64_t ideal_us;
	int64_t charged_us[QUOTA_CHARGES]; /* arrival times, a ring */
	size_t charge_count;
	double need_rate; /* micro-tokens a second wanted by daemons */
	int64_t need_seen_us;
	quota_account_t *accounts;
	size_t account_count;
} quota_bucket_t;

/* The tokens of a customer at this daemon under a tolerance; see pool.c. */
typedef struct quota_pool {
	int64_t rate; /* micro-tokens a second that this daemon adds */
	int64_t burst;
	int64_t level;
	int64_t touched_us;
	int64_t borrowed;
	int64_t borrowed_until_us;
	bool start_round; /* at the next tick, for all that wait by then */
	int tier; /* asked next */
	size_t unanswered; /* asks of the present tier */
	uint32_t first_sequence;
	int64_t timeout_us;
	int64_t next_round_us;
	int64_t backoff_us;
} quota_pool_t;

/* One customer: its table entry, its holders and the requests here. */
typedef struct quota_customer {
	cas_id_t id;
	bool listed;
	bool known; /* listed by this or an earlier table */
	int64_t rate;
	int64_t burst;
	uint32_t *slots; /* count for each data centre of the view */
	cas_id_t *holders; /* data centre by data centre; 0: none */
	size_t holder_count;
	bool central; /* all shares are delegated to one holder */
	size_t main; /* index of its bucket */
	size_t local; /* index of the bucket in this data centre */
	size_t home; /* index into holders of the bucket asked first */
	size_t target; /* index of the one asked now */
	int64_t home_at_us; /* when to try the first one again */
	int64_t unlisted_us;

	quota_link_t link;
	double demand; /* requests a second */
	double grants; /* tokens a second */
	int64_t demand_us;
	int64_t grants_us;
	int64_t ahead_at_us;
	int64_t ahead; /* tokens last asked for ahead of demand */
	quota_pending_t *first;
	quota_pending_t *last;
	size_t pending_count;
	int64_t arrived_us; /* latest request */
	bool refused_now; /* the reply refused a request not yet waiting */
	int64_t give_up_us; /* of the pending requests, or earlier */
	quota_bucket_t *buckets;
	quota_pool_t pool;
} quota_customer_t;

struct quota_pending {
	quota_pending_t *next;
	quota_pending_t *previous;
	quota_t *quota;
	quota_customer_t *customer;
	int64_t give_up_us;
	quota_done_fn done;
	void *private_data;
};

typedef struct quota_dc {
	cas_id_t id;
	cas_id_t region_id;
	int32_t share;
	int64_t share_before; /* sum of the shares of earlier entries */
	cas_id_t *live;
	size_t live_count;
	size_t host_count;
	size_t self_index; /* of this host among the listed hosts */
	bool has_self;
} quota_dc_t;

typedef struct quota_view {
	quota_dc_t *dcs;
	size_t dc_count;
	int64_t whole; /* divisor of the shares */
	size_t self_dc; /* dc_count when this host is not listed */
	int64_t table_revision;
	int64_t roster_revision;
} quota_view_t;

struct quota {
	cas_clock_t *clock;
	cas_rng_t *rng;
	const quota_ops_t *ops;
	void *private_data;
	cas_id_t self;
	uint64_t incarnation;
	int64_t created_us;
	int64_t ticked_us;
	uint32_t sequence;
	quota_tolerance_t tolerance;
	int64_t hosts; /* among which tokens are divided under a tolerance */
	int64_t hosts_until_us;
	quota_view_t *view;
	quota_customer_t **customers; /* sorted by id */
	size_t customer_count;
	quota_stats_t stats;
};

static inline int64_t quota_min(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static inline int64_t quota_max(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static inline int64_t quota_clamp(int64_t value, int64_t low, int64_t high)
{
	return quota_max(low, quota_min(value, high));
}

/* grant_list.c */
int64_t quota_lots_total(const quota_lots_t *lots);
bool quota_lots_full(const quota_lots_t *lots);
void quota_lots_add(quota_lots_t *lots, quota_lot_t lot);
/* Removes up to amount from the earliest lots; *lent gets the part that was
 * borrowed. Returns what was removed. */
int64_t quota_lots_take(quota_lots_t *lots, int64_t amount, int64_t *lent);
/* The same from the latest lots. */
int64_t quota_lots_take_latest(quota_lots_t *lots, int64_t amount,
			       int64_t *lent);
/* Removes what has expired at now; *lent as above. */
int64_t quota_lots_expire(quota_lots_t *lots, int64_t now, int64_t *lent);

/* link.c */
/* Tokens of the link that its present target still counts. */
int64_t quota_link_left(const quota_link_t *link);
/* Sends a new ask; a bucket on this host answers at once. */
void quota_link_send(quota_t *quota, quota_customer_t *customer,
		     quota_link_t *link, int64_t need, int64_t ahead,
		     int64_t returned);
/* Sends the ask again when it is due. False when it has to be given up. */
bool quota_link_resend(quota_t *quota, quota_link_t *link, int64_t limit);
/* Takes a reply in. False when it does not answer the ask in flight. */
bool quota_link_accept(quota_t *quota, quota_link_t *link, cas_id_t from,
		       uint64_t incarnation, const quota_reply *reply,
		       int64_t *granted);
/* Removes up to amount tokens that can be given back to the target, earliest
 * first; returns what was removed. */
int64_t quota_link_return(quota_link_t *link, int64_t amount);
/* Forgets an ask that will not be answered. */
void quota_link_abandon(quota_link_t *link);
/* Returns when the use or the return of tokens has to be reported. */
int64_t quota_link_report_at(const quota_link_t *link);
/* Returns when a resend or a report is due. */
int64_t quota_link_due(const quota_link_t *link);

/* share.c */
int64_t quota_share_of(int64_t amount, int64_t part_before, int64_t part,
		       int64_t whole);
uint32_t quota_slot_count(int64_t rate_share, size_t hosts);
/* How much of the burst may be used but not yet reported, as the time in
 * which the rate adds it, microseconds. */
int64_t quota_report_tolerance(const quota_customer_t *customer);
/* Time ahead for which a daemon asks for tokens, microseconds. */
int64_t quota_horizon(const quota_customer_t *customer);

/* view.c */
quota_view_t *quota_view_create(TALLOC_CTX *ctx, const table_t *table,
				const roster_t *roster, cas_id_t self);
int quota_customer_place(const quota_view_t *view, quota_customer_t *customer);

/* bucket.c */
quota_bucket_t *quota_bucket_find(quota_customer_t *customer, uint32_t slot);
int quota_bucket_place(quota_t *quota, quota_customer_t *customer,
		       bool table_changed);
void quota_bucket_touch(quota_t *quota, quota_bucket_t *bucket);
int64_t quota_bucket_unmet(const quota_bucket_t *bucket, int64_t now);
void quota_bucket_check(const quota_bucket_t *bucket);

/* grant.c */
void quota_bucket_ask(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
		      uint64_t incarnation, const quota_ask *ask,
		      quota_reply *reply);

/* ideal_bucket.c */
/* Returns the tokens to grant to the waiting requests of an ask, and fills in
 * which requests are refused. */
int64_t quota_ideal_admit(quota_bucket_t *bucket, quota_account_t *account,
			  const quota_ask *ask, int64_t usable, int64_t now,
			  quota_reply *reply);
/* Returns the tokens promised before those of this account. */
int64_t quota_ideal_before(const quota_bucket_t *bucket,
			   const quota_account_t *account, int64_t now);
/* Counts tokens granted ahead (negative) or given back. */
void quota_ideal_add(quota_bucket_t *bucket, int64_t amount);

/* borrow.c */
int quota_borrow_place(quota_t *quota, quota_bucket_t *bucket);
void quota_borrow(quota_t *quota, quota_bucket_t *bucket);
void quota_borrow_tick(quota_t *quota, quota_bucket_t *bucket);
void quota_borrow_reply(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
			uint64_t incarnation, const quota_reply *reply);
int64_t quota_borrow_due(const quota_bucket_t *bucket);
/* Returns whether a lender may have tokens that were not asked for yet. */
bool quota_borrow_possible(const quota_bucket_t *bucket, int64_t now);
/* Returns until when lent tokens of the given amount may be granted on. */
int64_t quota_borrow_expiry(const quota_bucket_t *bucket, int64_t amount);
/* Drops expired loans. */
void quota_borrow_expire(quota_t *quota, quota_bucket_t *bucket, int64_t now);

/* delegate.c */
/* Handles an ask for the whole share. */
void quota_delegate(quota_t *quota, quota_bucket_t *bucket,
		    quota_account_t *account, quota_reply *reply);
/* Takes in a delegated share. */
void quota_delegate_reply(quota_t *quota, quota_bucket_t *bucket,
			  quota_link_t *link, const quota_reply *reply);
/* Adds tokens to delegated shares up to now. */
void quota_delegate_grow(quota_bucket_t *bucket, int64_t now);
/* Asks for shares and renews them. */
void quota_delegate_tick(quota_t *quota, quota_bucket_t *bucket);

/* client.c */
void quota_client_run(quota_t *quota, quota_customer_t *customer);
void quota_client_tick(quota_t *quota, quota_customer_t *customer);
void quota_client_reply(quota_t *quota, quota_customer_t *customer,
			cas_id_t from, uint64_t incarnation,
			const quota_reply *reply);
int64_t quota_client_due(const quota_customer_t *customer);
void quota_client_home(quota_t *quota, quota_customer_t *customer);

/* client.c: the demand in requests a second, and requests that wait. */
double quota_demand(const quota_customer_t *customer, int64_t now);
void quota_note_demand(quota_customer_t *customer, int64_t now);
quota_pending_t *quota_pending_add(quota_t *quota, quota_customer_t *customer,
				   int64_t give_up_us);
void quota_pending_finish(quota_pending_t *pending, quota_verdict_t verdict,
			  int64_t retry_after_us);

/* pool.c */
void quota_pool_place(quota_t *quota, quota_customer_t *customer);
quota_verdict_t quota_pool_acquire(quota_t *quota, quota_customer_t *customer,
				   int64_t give_up_us,
				   quota_pending_t **pending);
int64_t quota_pool_retry_after(const quota_customer_t *customer, int64_t now);
void quota_pool_on_ask(quota_t *quota, quota_customer_t *customer,
		       const quota_ask *ask, quota_reply *reply);
void quota_pool_on_reply(quota_t *quota, quota_customer_t *customer,
			 const quota_reply *reply);
void quota_pool_tick(quota_t *quota, quota_customer_t *customer);
int64_t quota_pool_due(const quota_customer_t *customer);

/* quota.c */
static inline bool quota_is_tolerant(const quota_t *quota)
{
	return quota->tolerance.window_us > 0;
}

quota_customer_t *quota_customer_find(quota_t *quota, cas_id_t id);

#endif
