/* State shared by the files of membership. */
#ifndef CASSIA_MEMBERSHIP_INTERNAL_H
#define CASSIA_MEMBERSHIP_INTERNAL_H

#include "cassia/membership.h"

/* A beat without a reply is sent once more after this time. */
#define RETRY_US (250 * CAS_USEC_PER_MSEC)
/* A host is live while it was heard within 3 heartbeats. What other groups
 * relay takes up to 2 s longer, since each relay waits for its next beat. */
#define LIVE_GROUP_US (3 * MEMBERSHIP_PERIOD_US)
#define LIVE_OTHER_US (5 * MEMBERSHIP_PERIOD_US)
/* A member takes a host that its leader calls alive as heard this long. */
#define LIVE_TOLD_US (2500 * CAS_USEC_PER_MSEC)
#define SINGLE_GROUP_MAX 16
/* Hosts in one run, so that a message stays below its largest size. */
#define MEMBERSHIP_RUN_HOSTS 400
#define LEADER_COUNT 2
#define WATCHER_COUNT 2

/* A confirmation of one roster revision by one host, on the own clock. */
typedef struct confirmation {
	int64_t expire_us;
	int64_t since_us; /* the host is at the revision since then or before */
} confirmation_t;

/* The hosts of this data centre at one roster revision. */
typedef struct view {
	int64_t revision; /* 0: none */
	size_t count;
	cas_id_t *ids; /* sorted */
	confirmation_t *confirms; /* by index; the own one is not used */
	size_t quorum;
	int self; /* own index, or -1 */
	/* Own confirmation, of the view before the one in use. */
	int64_t self_until_us;
	int64_t self_since_us;
} view_t;

/* What is known of a host of this data centre, by index in the view. */
typedef struct member {
	int64_t heard_until_us; /* a lease after it was last heard */
	int64_t told_until_us; /* a leader calls it alive; not relayed */
	int64_t direct_us; /* when it last sent something to this host */
	int64_t stamp_at_us; /* when stamp_ms came, 0: never */
	uint32_t stamp_ms; /* of its last reply, on its clock */
	int64_t table_revision;
	int64_t roster_revision;
	bool known; /* heard of at least once */
	bool leaving;
	bool draining;
} member_t;

/* Hosts of another data centre. */
typedef struct other_dc {
	cas_id_t id;
	size_t count;
	cas_id_t *hosts;
	cas_id_t contact; /* replied to the last beat, 0: none */
} other_dc_t;

typedef struct target {
	cas_id_t to;
	uint32_t kind;
	bool replied;
	bool probe; /* not repeated */
} target_t;

typedef struct notice_target {
	cas_id_t to;
	other_dc_t *other; /* NULL: own data centre */
	bool done;
} notice_target_t;

typedef struct leaders {
	size_t count;
	size_t index[LEADER_COUNT];
} leaders_t;

/* Owned copies of what a message points to. */
typedef struct relay_buffer {
	membership_run run;
	membership_summary summary;
	char *lives;
	char *helds;
	char *bitmaps[3];
} relay_buffer_t;

struct membership {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	const membership_ops_t *ops;
	void *private_data;
	cas_id_t self;
	cas_id_t dc;
	uint64_t incarnation;
	uint32_t stamp_offset_ms;
	bool draining;
	int64_t table_revision;
	membership_newest_t newest;

	view_t *view; /* in use */
	view_t *previous; /* NULL: none */
	member_t *members; /* of view */
	other_dc_t *others;
	size_t other_count;
	int64_t silent_until_us;

	uint64_t epoch;
	int64_t last_held_us;

	int64_t next_beat_us;
	int64_t last_beat_us;
	int64_t fast_until_us;
	int64_t sibling_us; /* INT64_MAX: none */
	int64_t retry_us; /* INT64_MAX: none */
	target_t *targets;
	size_t target_count;
	size_t relay_first;
	bool other_turn;
	bool misdirected; /* a host that was taken for a leader does not lead */
	relay_buffer_t beat_buffer;
	relay_buffer_t reply_buffer;

	notice_target_t *notices;
	size_t notice_count;
	int notice_attempts;
	int64_t notice_us; /* INT64_MAX: none */
};

/* view.c */
view_t *membership_view_create(TALLOC_CTX *ctx, const roster_t *roster,
			       cas_id_t dc, cas_id_t self);
int membership_view_find(const view_t *view, cas_id_t id);
/* Returns the view of a revision, or NULL. */
view_t *membership_view_at(const membership_t *m, int64_t revision);
/* True when a list replaces a third or more of the hosts, or leaves room for
 * two quorums without a common host. */
bool membership_view_is_replaced(const view_t *old, const view_t *new);
void membership_view_confirm(view_t *view, size_t index, int64_t since_us,
			     int64_t expire_us);
size_t membership_group_count(size_t hosts);
size_t membership_group_of(size_t hosts, size_t index);
size_t membership_group_start(size_t hosts, size_t group);

/* fence.c */
bool membership_confirming(const membership_t *m, int64_t now);
/* Notes whether the fence is held now. */
void membership_fence_sample(membership_t *m, int64_t now);

/* leader.c */
bool membership_is_live(const membership_t *m, size_t index, int64_t now);
void membership_leaders(const membership_t *m, size_t group, int64_t now,
			leaders_t *leaders);
/* Returns the own rank among the leaders of the own group, or -1. */
int membership_rank(const membership_t *m, int64_t now);
size_t membership_own_group(const membership_t *m);

/* relay.c */
int membership_relay_resize(membership_t *m);
/* Each fills the runs or bitmaps of a message from the buffer's storage. */
void membership_relay_run(membership_t *m, relay_buffer_t *buffer, size_t first,
			  size_t count, int64_t now);
void membership_relay_summary(membership_t *m, membership_reply *reply,
			      int64_t now);
/* Takes what a message relays; lifetimes count from base_us. */
void membership_merge_runs(membership_t *m, int64_t revision,
			   const membership_run *runs, size_t count,
			   int64_t base_us, int64_t now);
void membership_merge_summary(membership_t *m, size_t from, int64_t revision,
			      const membership_summary *summary,
			      int64_t base_us, int64_t now);

/* beat.c */
uint32_t membership_stamp(const membership_t *m, int64_t now);
void membership_send_beat(membership_t *m, cas_id_t to, uint32_t kind,
			  int64_t now);
/* Notes the revisions that a host holds and reports newer ones. */
void membership_note_revisions(membership_t *m, cas_id_t from,
			       int64_t roster_revision, int64_t table_revision);

/* exchange.c */
void membership_exchange_tick(membership_t *m, int64_t now);
void membership_exchange_replied(membership_t *m, cas_id_t from);

/* notice.c */
void membership_notice_tick(membership_t *m, int64_t now);
/* Starts a flood when this daemon is a leader or watcher. */
void membership_notice_adopted(membership_t *m);

#endif
