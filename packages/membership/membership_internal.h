/*
 * State and functions shared by the files of membership. Times named *_us are
 * microseconds of the membership's clock, and now is the current one.
 *
 * Hosts of the data centre are divided into groups of consecutive indexes in
 * the host list. The first two live hosts of a group are its leaders, unless
 * they are draining or leaving; each is the other's sibling. The other hosts of
 * the group are its members. A host's index is its place in the view in use,
 * unless another view is named.
 */
#ifndef CASSIA_MEMBERSHIP_INTERNAL_H
#define CASSIA_MEMBERSHIP_INTERNAL_H

#include "cassia/membership.h"

/* A beat without a reply is sent once more after this time. */
#define RETRY_DELAY_US (250 * CAS_USEC_PER_MSEC)
/* A host is live until it has been silent for 3 heartbeats. News of a host of
 * another group takes up to 2 s longer, as each relaying leader waits for its
 * next beat. */
#define LIVE_OWN_GROUP_US (3 * MEMBERSHIP_PERIOD_US)
#define LIVE_OTHER_GROUP_US (5 * MEMBERSHIP_PERIOD_US)
/* How long a member takes a host as live after a leader reported it alive. */
#define LIVE_REPORTED_US (2500 * CAS_USEC_PER_MSEC)
/* A data centre of up to this many hosts is one group. */
#define SINGLE_GROUP_HOSTS_MAX 16
/* Hosts in one run, so that a message stays below its maximum size. */
#define RUN_HOSTS_MAX 400
/* Leaders of each group, and watchers of each data centre. */
#define LEADER_COUNT 2
#define WATCHER_COUNT 2

/* What is known of one host's confirmation of one roster revision. */
typedef struct confirmation {
	int64_t expire_us; /* end of its lease */
	int64_t since_us; /* has held the revision since then or before */
} confirmation_t;

/* The hosts of this data centre in the host list of one revision. */
typedef struct view {
	int64_t revision; /* roster revision, 0: none */
	size_t count; /* hosts */
	cas_id_t *ids; /* of the hosts, ascending; their order is the index */
	confirmation_t *confirmations; /* by index; this host's is not used */
	size_t quorum; /* hosts that must confirm the revision */
	int self_index; /* index of this host, -1: not listed */
	/* This host's own confirmation. Its expiry is used only once the view
	 * is the previous one; before that the host confirms continuously. */
	int64_t self_expire_us;
	int64_t self_since_us;
} view_t;

/* What is known of one host of this data centre. */
typedef struct host_state {
	/* A lease after the host was last heard from, directly or by relay. */
	int64_t liveness_expire_us;
	/* End of the time for which a leader's report that the host is alive
	 * counts. Not relayed to other hosts. */
	int64_t reported_until_us;
	/* When its last beat or reply to this daemon was received. */
	int64_t last_direct_us;
	/* When the first notice since it was last heard from was sent to it, 0:
	 * none. */
	int64_t notified_us;
	/* The stamp in its last reply, by its own clock, and when that reply
	 * was received (0: never). */
	int64_t stamp_received_us;
	uint32_t stamp_ms;
	/* The revisions that it last said it holds. */
	int64_t table_revision;
	int64_t roster_revision;
	bool known; /* heard from, or reported alive, at least once */
	bool leaving; /* listed as leaving */
	bool draining; /* reported as draining */
} host_state_t;

/* The hosts of another data centre. */
typedef struct remote_dc {
	cas_id_t id; /* of the data centre */
	size_t count; /* hosts */
	cas_id_t *hosts; /* ids, ascending */
	cas_id_t contact; /* gets the beats until one is unanswered; 0: none */
	/* When the first notice since the last answer was sent there, 0: none. */
	int64_t notified_us;
} remote_dc_t;

/* A host that gets a beat in the current period. */
typedef struct beat_target {
	cas_id_t to;
	uint32_t kind; /* MEMBERSHIP_KIND_* */
	bool replied;
	bool is_probe; /* sent to a host that may be down; not retried */
} beat_target_t;

/* A host that gets notices until it holds the announced revisions. */
typedef struct notice_target {
	cas_id_t to;
	remote_dc_t *remote_dc; /* its data centre, NULL: the own one */
	bool acknowledged; /* replied that it knows these revisions */
} notice_target_t;

/* Hosts of the data centre that are told of the list which drops them: at most so
 * many, and for so long. */
#define DROPPED_HOSTS_MAX 64
#define DROPPED_KEEP_US (5 * CAS_USEC_PER_SEC)

/* A host that an adopted list has dropped, and that has not acknowledged it. */
typedef struct dropped_host {
	cas_id_t id;
	int64_t until_us; /* it is told */
} dropped_host_t;

/* The leaders of a group, by ascending index. A leader's rank is its place in
 * this list. */
typedef struct leaders {
	size_t count;
	size_t indexes[LEADER_COUNT];
} leaders_t;

/* Storage for the run or the summary of one outgoing message. */
typedef struct relay_buffer {
	membership_run run;
	membership_summary summary;
	char *lives; /* array of run */
	char *helds; /* array of run */
	char *bitmaps[3]; /* of summary: confirming, alive, draining */
} relay_buffer_t;

struct membership {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	const membership_ops_t *ops;
	void *private_data; /* passed to ops */
	cas_id_t self_id; /* this host */
	cas_id_t dc_id; /* data centre of this host */
	uint64_t incarnation; /* of this daemon */
	uint32_t stamp_offset_ms; /* random offset of this daemon's stamps */
	bool draining;
	bool announce_state; /* the next beat goes to the whole own group */
	int64_t table_revision; /* in use */
	membership_newest_t newest; /* newest revisions heard of */

	view_t *view; /* in use, NULL: none */
	view_t *previous_view; /* NULL: none */
	host_state_t *host_states; /* by index in view */
	remote_dc_t *remote_dcs;
	size_t remote_dc_count;
	int64_t confirm_from_us; /* no revision is confirmed before this time */

	/* See membership_fence_epoch. This number does not yet count a lapse
	 * that is still going on. */
	uint64_t fence_epoch;
	int64_t fence_last_held_us; /* when the fence was last seen held */

	/* Beats. INT64_MAX means that no sibling beat or retry is due. */
	int64_t next_beat_us;
	int64_t last_beat_us;
	int64_t fast_beats_until_us; /* the period is shorter until then */
	int64_t sibling_beat_us;
	int64_t next_retry_us;
	beat_target_t *beat_targets; /* of the current period */
	size_t beat_target_count;
	size_t relay_first_index; /* first host that sibling beats relay */
	bool skip_remote_dcs; /* no beats to other data centres this period */
	/* A host that this daemon took for its leader, or probed, replied that
	 * it does not lead. This daemon may then be wrong on which hosts are
	 * live, and sends a further probe. */
	bool non_leader_replied;
	relay_buffer_t beat_buffer;
	relay_buffer_t reply_buffer;

	/* Notices that announce the revisions in use. */
	notice_target_t *notice_targets;
	size_t notice_target_count;
	int notice_attempts; /* rounds of notices sent */
	bool is_reporting; /* to the leaders of the own group, not flooding */
	int64_t next_notice_us; /* INT64_MAX: none */
	dropped_host_t dropped[DROPPED_HOSTS_MAX];
	size_t dropped_count;
};

/* view.c */

/* Returns a new view of the hosts of data centre dc, owned by ctx, or NULL
 * when memory runs out. self is the id of this host. */
view_t *membership_view_create(TALLOC_CTX *ctx, const roster_t *roster,
			       cas_id_t dc, cas_id_t self);
/* Returns the index of a host, or -1 if it is not listed or view is NULL. */
int membership_view_find(const view_t *view, cas_id_t id);
/* Returns the view in use or the previous one if it is of the given revision,
 * else NULL. */
view_t *membership_view_of_revision(const membership_t *m, int64_t revision);
/* Returns true when the new list replaces a third or more of the hosts, or
 * when a quorum of it and one of the old list may have no host in common. */
bool membership_view_is_major_change(const view_t *old, const view_t *new);
/* Records a host's confirmation, unless one with a later expiry is known. */
void membership_view_record_confirmation(view_t *view, size_t index,
					 int64_t since_us, int64_t expire_us);
/* Returns how many groups a data centre of this many hosts has. */
size_t membership_group_count(size_t hosts);
/* Returns the group of the host at index. */
size_t membership_group_of(size_t hosts, size_t index);
/* Returns the index of the first host of a group. The start of the group after
 * the last one is the number of hosts. */
size_t membership_group_start(size_t hosts, size_t group);

/* fence.c */

/* Returns true when this daemon confirms the roster revision in use. */
bool membership_is_confirming(const membership_t *m, int64_t now);
/* Updates the fence epoch when the fence is held now. */
void membership_fence_update_epoch(membership_t *m, int64_t now);

/* leader.c */

/* Returns true when the host at index has been heard from recently enough, or
 * was reported alive by a leader, or is this host. */
bool membership_is_live(const membership_t *m, size_t index, int64_t now);
/* Fills leaders with the leaders of a group, as far as this daemon knows. */
void membership_find_leaders(const membership_t *m, size_t group, int64_t now,
			     leaders_t *leaders);
/* Returns this host's rank among the leaders of its group, or -1. */
int membership_leader_rank(const membership_t *m, int64_t now);
/* Returns the group of this host, or 0 when it is not listed. */
size_t membership_own_group(const membership_t *m);

/* relay.c */

/* Resizes the relay buffers for the view in use. Returns 0 or
 * MEMBERSHIP_ENOMEM. */
int membership_relay_resize(membership_t *m);
/* Fills the run of buffer with the state of count hosts, or of RUN_HOSTS_MAX
 * if that is less, from index first on. */
void membership_relay_fill_run(membership_t *m, relay_buffer_t *buffer,
			       size_t first, size_t count, int64_t now);
/* Fills the summary of a reply to a member. It points into m's storage. */
void membership_relay_fill_summary(membership_t *m, membership_reply *reply,
				   int64_t now);
/* Each takes over what a message of the given roster revision relays.
 * Remaining lifetimes count from base_us. from is the sender's index. */
void membership_merge_runs(membership_t *m, int64_t revision,
			   const membership_run *runs, size_t count,
			   int64_t base_us, int64_t now);
void membership_merge_summary(membership_t *m, size_t from, int64_t revision,
			      const membership_summary *summary,
			      int64_t base_us, int64_t now);

/* beat.c */

/* Returns the stamp of this daemon's clock at time now, in milliseconds. */
uint32_t membership_stamp(const membership_t *m, int64_t now);
/* Sends a beat of the given kind (MEMBERSHIP_KIND_*) to a host. */
void membership_send_beat(membership_t *m, cas_id_t to, uint32_t kind,
			  int64_t now);
/* Records the revisions that a host holds, and reports those that are newer
 * than the ones in use through ops. */
void membership_record_revisions(membership_t *m, cas_id_t from,
				 int64_t roster_revision,
				 int64_t table_revision);

/* exchange.c */

/* Sends the beats and retries that are due. */
void membership_exchange_tick(membership_t *m, int64_t now);
/* Records that host from has replied to a beat. */
void membership_exchange_replied(membership_t *m, cas_id_t from);

/* notice.c */

/* Remembers the hosts that a new view of the data centre drops, before it takes
 * the place of the one in use. */
void membership_notice_dropped(membership_t *m, const view_t *view,
			       int64_t now);
/* Sends the notices that are due. */
void membership_notice_tick(membership_t *m, int64_t now);
/* Announces newly adopted revisions by the role of this daemon. */
void membership_notice_adopted(membership_t *m);

#endif
