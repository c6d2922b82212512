/*
 * Heartbeats and notices between daemons.
 *
 * Times are durations, or stamps of the receiver's own clock that it gets back.
 * A stamp is milliseconds modulo 2^32, offset by a random number for each
 * incarnation, so that a stamp of an earlier incarnation is out of range.
 */

const MEMBERSHIP_BITMAP_MAX = 256;
const MEMBERSHIP_RUN_MAX = 1024;
const MEMBERSHIP_RUNS_MAX = 64;

/* Low bits of the flags of a beat: who sends it to whom. */
const MEMBERSHIP_KIND_MEMBER = 0;
const MEMBERSHIP_KIND_GROUP = 1;
const MEMBERSHIP_KIND_SIBLING = 2;
const MEMBERSHIP_KIND_REMOTE = 3;
const MEMBERSHIP_KIND_MASK = 3;
/* Further flags of a beat. */
const MEMBERSHIP_FLAG_BITS = 8;
const MEMBERSHIP_FLAG_DRAINING = 4;
const MEMBERSHIP_FLAG_CONFIRMING = 8;
const MEMBERSHIP_FLAG_ECHO = 16; /* echo_ms is set */

/*
 * One byte in each array for each host from index first on, in the list of the
 * sender's data centre at the roster revision of the message. lives: what is
 * left of the lease since the host was heard, in units of 25 ms. helds, high
 * bit: draining; other bits: 0 when the host does not confirm the revision,
 * else 1 plus the time it has been at the revision in units of 128 ms. helds
 * is empty when every host has the longest time told and none is draining.
 */
struct membership_run {
	unsigned int first;
	opaque lives<MEMBERSHIP_RUN_MAX>;
	opaque helds<MEMBERSHIP_RUN_MAX>;
};

struct membership_beat {
	hyper roster_revision;
	hyper table_revision;
	unsigned int stamp_ms; /* sender's clock */
	unsigned int echo_ms; /* receiver's clock, at latest when it was sent */
	unsigned int flags; /* above MEMBERSHIP_FLAG_BITS: ms at the revision */
	membership_run runs<MEMBERSHIP_RUNS_MAX>;
};

/* The data centre for a member; bitmaps have one bit for each host. */
struct membership_summary {
	unsigned int life_ms; /* shortest remaining lifetime of confirming */
	unsigned int held_ms; /* shortest time at the revision of confirming */
	opaque confirming<MEMBERSHIP_BITMAP_MAX>;
	bool leads; /* else only its own bit of draining counts */
	opaque alive<MEMBERSHIP_BITMAP_MAX>; /* empty: all */
	opaque draining<MEMBERSHIP_BITMAP_MAX>; /* empty: none */
};

struct membership_reply {
	hyper roster_revision;
	hyper table_revision;
	unsigned int stamp_ms; /* sender's clock */
	unsigned int echo_ms; /* stamp of the beat */
	membership_summary *summary;
	membership_run runs<MEMBERSHIP_RUNS_MAX>;
};

/* The revisions that the sender holds. */
struct membership_notice {
	hyper roster_revision;
	hyper table_revision;
};

/* The newest revisions that the receiver has heard of. */
struct membership_notice_reply {
	hyper roster_revision;
	hyper table_revision;
};
