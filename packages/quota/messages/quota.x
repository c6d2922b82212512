/*
 * Messages of the quota package. A daemon asks the holder of a bucket for
 * tokens, and holders ask each other for loans and delegations. A bucket is
 * identified by (customer, data centre of the receiver of the ask, slot).
 * Amounts are micro-tokens and times microseconds.
 *
 * The rpcgen output is in ../generated; to write it again, run
 * sh messages/generate.sh in packages/quota.
 */

/* from_slot of an ask that a daemon makes for its own requests, not for a
 * bucket. */
const QUOTA_FROM_DAEMON = 0xffff;

/* Value of quota_reply.report when the host does not hold the bucket. */
const QUOTA_NOT_HOLDER = 0xffffffff;

/* An ask for tokens, with a report of use. Sequence numbers are compared
 * separately for each (sender incarnation, from_slot, bucket). A resend repeats
 * the whole message. */
struct quota_ask {
	unsigned hyper customer;
	unsigned int slots;	/* from_slot << 16 | to_slot */
	unsigned int sequence;
	unsigned int received;	/* latest sequence with accepted reply */
	hyper need;		/* for waiting requests, or as a loan */
	hyper ahead;		/* for expected requests; from a holder, any
				 * value but 0 asks to delegate the share */
	hyper left;		/* granted by the bucket and not yet used */
	hyper returned;		/* returned unused with this message */
	unsigned int age;	/* time since the newest request arrived */
};

/* The reply to an ask. Times count from its receipt, unless noted. */
struct quota_reply {
	unsigned hyper customer;
	unsigned int slots;
	unsigned int sequence;
	hyper granted;		/* tokens, or burst of delegated share */
	hyper filled;		/* part of granted that is usable now; the
				 * receiver adds the rest at rate */
	hyper rate;		/* of a delegated share, a second; or 0 */
	unsigned int life;	/* of the grant, from sending the ask */
	unsigned int wait;	/* no further ask for this time */
	unsigned int report;	/* report use within this time */
	unsigned int refused;	/* refuse so many of the newest requests */
	unsigned int refuse;	/* refuse new requests for this time, from
				 * sending the reply */
};
