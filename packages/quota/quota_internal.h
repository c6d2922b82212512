/*
 * Types and functions shared by the sources of the quota package.
 *
 * The rate and burst of a customer are divided among the data centres by their
 * shares, and inside each data centre into one or more slots. A slot is a
 * token bucket held by one host, the holder. Every daemon takes tokens from a
 * bucket through a link and spends them on its own requests. Holders borrow
 * from each other over the same kind of link.
 *
 * Amounts are micro-tokens, rates micro-tokens a second, and times ending in
 * _us microseconds of the clock of this host, unless a comment says otherwise.
 */
#ifndef QUOTA_INTERNAL_H
#define QUOTA_INTERNAL_H

#include "cassia/quota.h"

#define QUOTA_GRANTS_MAX 16 /* grants in one list */
#define QUOTA_ACCOUNTS_MAX 512 /* askers of one bucket */
#define QUOTA_CHARGE_RING_SIZE 8
#define QUOTA_NEVER INT64_MAX

/* Highest rate of a customer for which one holder serves the whole fleet, and
 * lowest rate of a slot where a share is divided into several. */
#define QUOTA_CENTRAL_RATE_MAX (50 * QUOTA_TOKEN)

/* A holder that loses the fence and regains it within this time keeps its
 * tokens: a successor adds tokens no sooner than 2.1 s after the loss. */
#define QUOTA_FENCE_GRACE_PERIOD_US (2 * CAS_USEC_PER_SEC)

/* Time until a new table is in force on every host, plus the lifetime of a
 * grant. */
#define QUOTA_GROWTH_DELAY_US (8100 * CAS_USEC_PER_MSEC)

/* The unspent tokens of one grant. The asker drops them at expires_us of its
 * copy; the copy of the granter expires later by the drift margin. */
typedef struct quota_grant {
	int64_t amount;
	int64_t expires_us;
	cas_id_t host; /* granter; set on the asker's side only */
	uint64_t incarnation; /* of the granter; asker's side only */
	bool borrowed; /* from borrowed tokens; granter's side only */
} quota_grant_t;

/* Ordered by expiry, earliest first. */
typedef struct quota_grant_list {
	quota_grant_t items[QUOTA_GRANTS_MAX];
	size_t count;
} quota_grant_list_t;

/* The asker's state for one bucket: the ask in flight, the last reply, and the
 * tokens granted. At most one ask is in flight. */
typedef struct quota_link {
	cas_id_t to; /* holder of the bucket, 0: none */
	uint16_t from_slot; /* of the asking bucket, or QUOTA_FROM_DAEMON */
	uint16_t to_slot;
	bool in_flight;
	uint32_t received_sequence; /* latest ask with an accepted reply */
	quota_ask last_ask;
	int64_t first_sent_us; /* last_ask, without resends */
	int64_t last_sent_us; /* last_ask, or its latest resend */
	int64_t wait_until_us; /* no ask before */
	int64_t report_due_us;
	int64_t delegated_rate; /* of a share that the target delegated */
	int64_t delegated_until_us;
	int64_t renew_at_us; /* when to renew the delegation */
	int64_t return_checked_us; /* latest expiry of the grants that were
				    * already considered for return */
	int64_t outstanding_at_target; /* after its last reply */
	int64_t refuse_until_us; /* new requests are refused before */
	int64_t round_trip_us; /* smoothed, 0: not known */
	uint64_t incarnation; /* of the last replier */
	uint32_t distance; /* 0 same data centre, 1 same region, 2 other */
	quota_grant_list_t grants;
} quota_link_t;

/* The holder's state for one asker. */
typedef struct quota_account {
	struct quota_account *next;
	cas_id_t host;
	uint64_t incarnation;
	uint16_t from_slot;
	uint32_t last_sequence; /* of the latest ask handled */
	quota_reply reply; /* to that ask; sent again for a resend */
	int64_t last_ask_us;
	int64_t promised; /* tokens that waiting requests will get */
	int64_t promised_since_us; /* arrival of the first of these requests */
	int64_t unmet; /* tokens wanted by a daemon and not granted */
	int64_t unmet_until_us; /* unmet is not counted after that */
	quota_grant_list_t grants;
} quota_account_t;

/*
 * The states have the names used in models/quota.pml. WAITING: no own tokens
 * until the fence is settled. ADDING: the level grows. FROZEN: the fence is
 * lost; the level is kept for QUOTA_FENCE_GRACE_PERIOD_US, but neither grows
 * nor is used. RETIRED: this host no longer holds the bucket; its grants are
 * kept until they expire.
 */
typedef enum quota_state {
	QUOTA_WAITING,
	QUOTA_ADDING,
	QUOTA_FROZEN,
	QUOTA_RETIRED,
} quota_state_t;

struct quota_customer;

/* A bucket that this host holds or has held. Outstanding tokens are granted,
 * unexpired and not reported as used. */
typedef struct quota_bucket {
	struct quota_bucket *next;
	struct quota_customer *customer;
	uint32_t slot;
	quota_state_t state;
	int64_t fence_revision; /* roster revision whose fence is used */
	int64_t updated_us;
	int64_t fence_last_held_us; /* when the fence was last seen held */
	uint64_t fence_epoch; /* when the bucket entered ADDING */
	int64_t retired_us; /* set, but never read */

	/* Own tokens: level + outstanding_own <= burst. */
	int64_t rate; /* in force */
	int64_t burst; /* in force */
	int64_t target_rate; /* by the latest view */
	int64_t target_burst;
	int64_t growth_allowed_us; /* earliest time of ADDING and of a larger
				    * rate or burst */
	int64_t level;
	int64_t refill_remainder; /* millionths of a micro-token */
	int64_t outstanding_own;

	/* Tokens borrowed from other holders:
	 * borrowed_level + outstanding_borrowed <= borrowed_total. */
	int64_t borrowed_level;
	int64_t borrowed_total; /* unexpired loans and delegated shares */
	int64_t outstanding_borrowed;
	quota_link_t *lenders; /* to the other buckets of the customer */
	size_t lender_count;
	int64_t next_round_us; /* no loans are asked for before */
	bool is_main; /* the other shares of the customer are delegated here */
	int64_t delegated_until_us; /* end of the delegation of the own share */
	cas_id_t delegate; /* the host that received it */
	uint64_t delegate_incarnation;
	uint16_t delegate_slot;
	int64_t last_daemon_ask_us;

	int64_t ideal_level; /* see ideal_bucket.c */
	int64_t ideal_updated_us;
	int64_t charged_us[QUOTA_CHARGE_RING_SIZE]; /* request arrival times */
	size_t charge_count; /* of all charges; the ring keeps the last ones */
	double need_rate; /* wanted by daemons, exponentially averaged */
	int64_t need_updated_us;
	quota_account_t *accounts;
	size_t account_count;
} quota_bucket_t;

#define QUOTA_KEEPERS_MAX 16

/* The daemons that add tokens of a customer under a tolerance; see keepers.c. */
typedef struct quota_keepers {
	/* Other hosts, those of the own region first. */
	cas_id_t hosts[QUOTA_KEEPERS_MAX];
	size_t near_count; /* in the own region */
	size_t count;
	size_t total; /* with this host and those that did not fit in */
	bool is_self; /* this host is one */
} quota_keepers_t;

/* The tokens of a customer at this daemon under a tolerance; see pool.c. */
typedef struct quota_pool {
	quota_keepers_t keepers;
	int64_t keepers_burst; /* of the customer, when they were chosen */
	int64_t divisor; /* keepers among which the tokens are divided */
	int64_t divisor_until_us; /* the divisor falls no sooner */
	int64_t adds_from_us; /* this daemon adds no tokens before */
	int64_t rate; /* that this daemon adds */
	int64_t burst;
	int64_t level;
	int64_t updated_us;
	int64_t borrowed;
	int64_t borrowed_until_us;
	bool start_round; /* at the next tick, for all that wait by then */
	/* A round asks the keepers one after another, more at each step. */
	size_t rotation; /* where the round begins among those of a region */
	size_t asked; /* in this round */
	size_t step_count; /* keepers to be asked in the next step, at least */
	size_t unanswered; /* asks of the present step */
	uint32_t first_sequence; /* of the present step */
	int64_t timeout_us; /* of the present step */
	/* When the round is repeated, 0: not; also set during its repetition. */
	int64_t repeat_us;
	int64_t next_round_us; /* until then requests are refused when there is
				* no token */
	int64_t backoff_us;
} quota_pool_t;

/* One customer: its table entry, its holders and its requests at this host. */
typedef struct quota_customer {
	cas_id_t id;
	bool listed; /* in the present table */
	bool ever_listed; /* in the present or an earlier table */
	int64_t rate;
	int64_t burst;
	uint32_t *slot_counts; /* for each data centre of the view */
	cas_id_t *holders; /* by data centre, then by slot; 0: no live host */
	size_t holder_count;
	bool is_centralized; /* all shares are delegated to the main holder */
	size_t main_index; /* in holders: the main holder */
	size_t local_index; /* in holders: a bucket of this data centre */
	size_t preferred_index; /* in holders: the bucket asked first */
	size_t target_index; /* in holders: the bucket asked now */
	int64_t retry_preferred_us; /* when to ask the preferred one again */
	int64_t unlisted_us;

	quota_link_t link; /* of this daemon to the target */
	double demand_rate; /* requests a second, exponentially averaged */
	double grants; /* unused */
	int64_t demand_updated_us; /* also the time of the latest request */
	int64_t grants_us; /* unused */
	int64_t next_ahead_ask_us;
	int64_t last_ahead_forecast; /* at the last ask ahead */
	quota_pending_t *first_pending;
	quota_pending_t *last_pending;
	size_t pending_count;
	int64_t last_arrival_us; /* of a request */
	/* The last reply refused a request that was not yet waiting. Set, but
	 * never read. */
	bool refused_now;
	int64_t next_give_up_us; /* of the pending requests, or earlier */
	quota_bucket_t *buckets;
	quota_pool_t pool;
} quota_customer_t;

/* A request that waits for a token. */
struct quota_pending {
	quota_pending_t *next;
	quota_pending_t *previous;
	quota_t *quota;
	quota_customer_t *customer;
	int64_t give_up_us; /* it is refused then */
	quota_done_fn done;
	void *private_data;
};

typedef struct quota_dc {
	cas_id_t id;
	cas_id_t region_id;
	int32_t share_permille; /* of each customer's rate and burst */
	int64_t share_before; /* sum of the shares of earlier data centres */
	cas_id_t *live_hosts; /* not leaving */
	size_t live_count;
	size_t host_count; /* live and leaving */
	size_t self_index; /* of this host among them */
	bool has_self;
} quota_dc_t;

/* The parts of a table and a roster from which holders are computed. */
typedef struct quota_view {
	quota_dc_t *dcs;
	size_t dc_count;
	int64_t share_divisor; /* sum of the shares, at least 1000 */
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
	int64_t last_tick_us;
	uint32_t last_sequence; /* of all asks sent */
	quota_tolerance_t tolerance;
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
int64_t quota_grant_list_total(const quota_grant_list_t *list);
bool quota_grant_list_full(const quota_grant_list_t *list);
/* Adds a grant, unless its amount is 0 or less; the list must not be full. */
void quota_grant_list_add(quota_grant_list_t *list, quota_grant_t grant);
/* Removes up to amount from the grants that expire first. Returns what was
 * removed, and in *borrowed (may be NULL) the part of it that was borrowed. */
int64_t quota_grant_list_take(quota_grant_list_t *list, int64_t amount,
			      int64_t *borrowed);
/* As quota_grant_list_take, from the grants that expire last. */
int64_t quota_grant_list_take_latest(quota_grant_list_t *list, int64_t amount,
				     int64_t *borrowed);
/* Removes the grants that have expired at now; returns as
 * quota_grant_list_take. */
int64_t quota_grant_list_expire(quota_grant_list_t *list, int64_t now,
				int64_t *borrowed);

/* link.c */
/* Returns the unused tokens of the link that its present target granted. */
int64_t quota_link_unused(const quota_link_t *link);
/* Sends a new ask. A bucket on this host is asked, and its reply handled,
 * before the call returns. */
void quota_link_send(quota_t *quota, quota_customer_t *customer,
		     quota_link_t *link, int64_t need, int64_t ahead,
		     int64_t returned);
/* Resends the ask in flight when a resend is due. Abandons it and returns false
 * when it was first sent limit microseconds ago or earlier. */
bool quota_link_resend(quota_t *quota, quota_link_t *link, int64_t limit);
/* Records a reply and adds the tokens granted to the link. Returns false when
 * it does not answer the ask in flight; *granted is then 0. The tokens of a
 * delegated share are not added, but only returned in *granted. */
bool quota_link_accept(quota_t *quota, quota_link_t *link, cas_id_t from,
		       uint64_t incarnation, const quota_reply *reply,
		       int64_t *granted);
/* Removes up to amount tokens that can be returned to the target, earliest
 * expiry first; returns what was removed. */
int64_t quota_link_return(quota_link_t *link, int64_t amount);
/* Gives up the ask in flight; a reply to it is ignored. */
void quota_link_abandon(quota_link_t *link);
/* Returns when use or unused tokens have to be reported to the target. */
int64_t quota_link_report_due(const quota_link_t *link);
/* Returns when a resend or a report is due. */
int64_t quota_link_due(const quota_link_t *link);

/* share.c */
/* Returns the part of the amount for the interval of length part that starts
 * at part_before, out of whole. */
int64_t quota_share_of(int64_t amount, int64_t part_before, int64_t part,
		       int64_t whole);
/* Returns into how many slots the rate share of a data centre is divided. */
uint32_t quota_slot_count(int64_t rate_share, size_t hosts);
/* Returns how much of the burst may be used but not yet reported, expressed as
 * the time in which the rate adds it, microseconds. */
int64_t quota_report_tolerance(const quota_customer_t *customer);
/* Returns for how much time ahead a daemon asks for tokens, microseconds. */
int64_t quota_forecast_horizon(const quota_customer_t *customer);

/* view.c */
/* Returns a new view, or NULL when memory runs out. */
quota_view_t *quota_view_create(TALLOC_CTX *ctx, const table_t *table,
				const roster_t *roster, cas_id_t self);
/* Computes the slots of a customer, their holders, and which of them this
 * daemon prefers. Returns 0 or QUOTA_ENOMEM. */
int quota_customer_assign_holders(const quota_view_t *view,
				  quota_customer_t *customer);

/* bucket.c */
quota_bucket_t *quota_bucket_find(quota_customer_t *customer, uint32_t slot);
/* Creates, changes and retires buckets of a customer, so that they match what
 * this host holds by the view. Returns 0 or QUOTA_ENOMEM. */
int quota_bucket_reconcile(quota_t *quota, quota_customer_t *customer,
			   bool table_changed);
/* Brings the state, the tokens and the grants of a bucket up to date. */
void quota_bucket_update(quota_t *quota, quota_bucket_t *bucket);
/* Returns the tokens that daemons asked for and still wait for. */
int64_t quota_bucket_unmet(const quota_bucket_t *bucket, int64_t now);
/* Aborts when an invariant of the bucket does not hold (assert). */
void quota_bucket_check(const quota_bucket_t *bucket);

/* grant.c */
/* Handles an ask of a daemon or of another holder; fills in the reply. */
void quota_bucket_on_ask(quota_t *quota, quota_bucket_t *bucket, cas_id_t from,
			 uint64_t incarnation, const quota_ask *ask,
			 quota_reply *reply);

/* ideal_bucket.c */
/* Returns the tokens to grant to the waiting requests of an ask, and fills in
 * which requests are refused. usable: tokens of the bucket. */
int64_t quota_ideal_admit(quota_bucket_t *bucket, quota_account_t *account,
			  const quota_ask *ask, int64_t usable, int64_t now,
			  quota_reply *reply);
/* Returns the tokens promised to requests that arrived before those of this
 * account; 0 unless this is the main bucket. */
int64_t quota_ideal_promised_before(const quota_bucket_t *bucket,
				    const quota_account_t *account,
				    int64_t now);
/* Adds an amount to the ideal level: tokens returned, or, negative, tokens
 * granted ahead. */
void quota_ideal_adjust(quota_bucket_t *bucket, int64_t amount);

/* borrow.c */
/* Makes the links to lenders match the holders of the customer. Returns 0 or
 * QUOTA_ENOMEM. */
int quota_borrow_update_lenders(quota_t *quota, quota_bucket_t *bucket);
/* Asks other holders for the tokens that the bucket lacks, unless it is too
 * early for another round. The main bucket asks for delegations instead. */
void quota_borrow_ask_lenders(quota_t *quota, quota_bucket_t *bucket);
void quota_borrow_tick(quota_t *quota, quota_bucket_t *bucket);
void quota_borrow_on_reply(quota_t *quota, quota_bucket_t *bucket,
			   cas_id_t from, uint64_t incarnation,
			   const quota_reply *reply);
int64_t quota_borrow_due(const quota_bucket_t *bucket);
/* Returns whether an ask to a lender is in flight or may be sent now. */
bool quota_borrow_possible(const quota_bucket_t *bucket, int64_t now);
/* Returns the latest expiry that borrowed tokens of the given amount may have
 * when they are granted to an asker; 0 when loans do not cover them. */
int64_t quota_borrow_expiry(const quota_bucket_t *bucket, int64_t amount);
/* Drops expired loans. */
void quota_borrow_expire(quota_t *quota, quota_bucket_t *bucket, int64_t now);

/* delegate.c */
/* Handles an ask for the whole share: delegates it for the life of a grant, or
 * renews the delegation. */
void quota_delegate_on_ask(quota_t *quota, quota_bucket_t *bucket,
			   quota_account_t *account, quota_reply *reply);
/* Records a delegated share, or its renewal, at the main bucket. */
void quota_delegate_on_reply(quota_t *quota, quota_bucket_t *bucket,
			     quota_link_t *link, const quota_reply *reply);
/* Adds the tokens of the delegated shares from updated_us to now. */
void quota_delegate_refill(quota_bucket_t *bucket, int64_t now);
/* Asks for the shares of the other buckets and renews them in time. */
void quota_delegate_tick(quota_t *quota, quota_bucket_t *bucket);

/* client.c */
/* Serves pending requests, and asks for the tokens that they still need. */
void quota_client_serve(quota_t *quota, quota_customer_t *customer);
void quota_client_tick(quota_t *quota, quota_customer_t *customer);
void quota_client_on_reply(quota_t *quota, quota_customer_t *customer,
			   cas_id_t from, uint64_t incarnation,
			   const quota_reply *reply);
int64_t quota_client_due(const quota_customer_t *customer);
/* Points the link at the preferred bucket. */
void quota_client_target_preferred(quota_t *quota, quota_customer_t *customer);

/* Returns the demand in requests a second. */
double quota_demand(const quota_customer_t *customer, int64_t now);
/* Counts one request in the demand. */
void quota_record_demand(quota_customer_t *customer, int64_t now);
/* Returns a new pending request at the end of the queue (owned by the
 * customer), or NULL when memory runs out. */
quota_pending_t *quota_pending_add(quota_t *quota, quota_customer_t *customer,
				   int64_t give_up_us);
/* Removes and frees a pending request, then calls its callback. */
void quota_pending_finish(quota_pending_t *pending, quota_result_t result,
			  int64_t retry_after_us);

/* keepers.c */
/* Chooses the keepers of a customer by the hosts of the view. */
void quota_keepers_assign(const quota_view_t *view, cas_id_t self,
			  const quota_customer_t *customer,
			  quota_keepers_t *keepers);

/* pool.c */
/* Computes the part of the customer's tokens that this daemon adds. */
void quota_pool_update_share(quota_t *quota, quota_customer_t *customer);
quota_result_t quota_pool_acquire(quota_t *quota, quota_customer_t *customer,
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

/* Returns a borrowed pointer, or NULL. */
quota_customer_t *quota_customer_find(quota_t *quota, cas_id_t id);

#endif
