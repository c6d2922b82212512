/*
 * Heartbeats ("beats") and revision notices between daemons.
 *
 * No message carries an absolute time that its receiver would have to compare
 * with its own clock. A time is either a duration or a stamp that is echoed to
 * the daemon that made it. A stamp counts milliseconds modulo 2^32 from a
 * random offset that each incarnation draws, so that a stamp of an earlier
 * incarnation is most probably out of range and is rejected.
 */

/* Bytes in the bitmap of a summary, one bit for each host. */
const MEMBERSHIP_BITMAP_MAX = 256;
/* Hosts in a run, and runs in a message. */
const MEMBERSHIP_RUN_MAX = 1024;
const MEMBERSHIP_RUNS_MAX = 64;

/* Low bits of the flags of a beat: the role of its sender and receiver. */
const MEMBERSHIP_KIND_MEMBER = 0; /* member to leader, or a probe */
const MEMBERSHIP_KIND_GROUP = 1; /* leader to a leader of another group */
const MEMBERSHIP_KIND_SIBLING = 2; /* leader to the other one of its group */
const MEMBERSHIP_KIND_REMOTE = 3; /* leader to another data centre */
const MEMBERSHIP_KIND_MASK = 3;
/* Further flags of a beat, and the number of bits that kind and flags take. */
const MEMBERSHIP_FLAG_BITS = 8;
const MEMBERSHIP_FLAG_DRAINING = 4;
const MEMBERSHIP_FLAG_CONFIRMING = 8; /* the sender confirms the revision */
const MEMBERSHIP_FLAG_ECHO = 16; /* echo_ms is set */

/*
 * State of consecutive hosts of the sender's data centre, in the order of the
 * host list of the message's roster revision, from index first on. Each array
 * has one byte for each host:
 *
 * lives: remaining lease of the host's confirmation, or of its liveness when it
 * does not confirm the revision, in units of 25 ms.
 *
 * helds: the high bit is set when the host is draining. The other bits are 0
 * when the host does not confirm the revision, else 1 plus the time for which
 * it has held the revision, in units of 128 ms up to a maximum of 65 units.
 * helds is empty when every host with a lease left has the maximum and is not
 * draining.
 */
struct membership_run {
	unsigned int first;
	opaque lives<MEMBERSHIP_RUN_MAX>;
	opaque helds<MEMBERSHIP_RUN_MAX>;
};

struct membership_beat {
	hyper roster_revision;
	hyper table_revision;
	unsigned int stamp_ms; /* sender's clock, when the beat was sent */
	/* Receiver's clock: its last stamp plus the time since the sender got
	 * it, so at most the receiver's time when the beat was sent. */
	unsigned int echo_ms;
	/* Kind and flags in the low MEMBERSHIP_FLAG_BITS bits; above them, if
	 * confirming, the ms for which the sender has held the revision. */
	unsigned int flags;
	membership_run runs<MEMBERSHIP_RUNS_MAX>;
};

/*
 * State of the data centre as a leader tells it to a member. Each bitmap has
 * one bit for each host, in the order of the host list of the message's roster
 * revision.
 */
struct membership_summary {
	/* Shortest remaining lease, and shortest time for which the revision
	 * was held, among the hosts in confirming. */
	unsigned int life_ms;
	unsigned int held_ms;
	opaque confirming<MEMBERSHIP_BITMAP_MAX>;
	/* The sender leads its group; else alive is to be ignored, and all of
	 * draining but the sender's own bit. */
	bool leads;
	opaque alive<MEMBERSHIP_BITMAP_MAX>; /* empty: all */
	opaque draining<MEMBERSHIP_BITMAP_MAX>; /* empty: none */
};

struct membership_reply {
	hyper roster_revision;
	hyper table_revision;
	unsigned int stamp_ms; /* sender's clock, when the reply was sent */
	unsigned int echo_ms; /* stamp_ms of the beat */
	membership_summary *summary; /* in replies to member beats only */
	membership_run runs<MEMBERSHIP_RUNS_MAX>;
};

/* Announces the revisions that the sender holds. */
struct membership_notice {
	hyper roster_revision;
	hyper table_revision;
};

/* The newest revisions that the receiver has heard of. */
struct membership_notice_reply {
	hyper roster_revision;
	hyper table_revision;
};
