/*
 * Messages between asking daemons, bucket holders and lenders. All amounts are
 * micro-tokens, all times microseconds. A bucket is (customer, data centre of
 * the receiver, slot).
 *
 * rpcgen output in ../generated: run sh messages/generate.sh in packages/quota.
 */

/* from_slot of a daemon that asks for itself rather than for a bucket. */
const QUOTA_FROM_DAEMON = 0xffff;

/* report of a reply from a host that does not hold the bucket. */
const QUOTA_NOT_HOLDER = 0xffffffff;

/* Sequence numbers count per (sender incarnation, from_slot, bucket). A resend
 * repeats the whole message. */
struct quota_ask {
	unsigned hyper customer;
	unsigned int slots;	/* from_slot << 16 | to_slot */
	unsigned int sequence;
	unsigned int received;	/* latest sequence whose reply was accepted */
	hyper need;		/* for requests that wait */
	hyper ahead;		/* for the forecast; in an ask of a holder,
				 * not 0: delegate the whole share */
	hyper left;		/* granted by this bucket and not yet used */
	hyper returned;		/* given back unused */
	unsigned int age;	/* since the newest waiting request came */
};

struct quota_reply {
	unsigned hyper customer;
	unsigned int slots;
	unsigned int sequence;
	hyper granted;
	hyper filled;		/* part of granted that is tokens now; the
				 * rest may be added by the receiver */
	hyper rate;		/* at which it may be added, a second */
	unsigned int life;	/* of the grant, from the sending of the ask */
	unsigned int wait;	/* no further ask before this time */
	unsigned int report;	/* use is to be reported by this time */
	unsigned int refused;	/* so many of the newest waiting requests */
	unsigned int refuse;	/* new requests for this time */
};
