/*
 * Structures that are signed and sent in the header fields Cassia-Context
 * (attempt_context) and Cassia-Outcome (attempt_outcome). Times without another
 * unit in their name are microseconds; hosts, customers, routes and services
 * are 64-bit identifiers.
 *
 * ../generated holds the rpcgen output. After a change, run
 * sh messages/generate.sh in packages/attempt.
 */

const ATTEMPT_ID_BYTES = 16;
const ATTEMPT_EARLY_MAX = 16;

/* Requests that the sender has rejected itself since its last report. */
struct attempt_early {
	unsigned hyper customer;
	unsigned int importance;
	unsigned int count;
};

struct attempt_context {
	unsigned hyper sender;
	unsigned hyper receiver;
	unsigned hyper incarnation;	/* of the receiver; 0: unknown */
	opaque root[ATTEMPT_ID_BYTES];	/* id of the root request */
	opaque attempt[ATTEMPT_ID_BYTES];	/* id of this attempt */
	unsigned hyper customer;	/* 0 on open routes */
	unsigned hyper route;
	unsigned hyper service;
	hyper deadline;			/* on the receiver's clock */
	unsigned int weight;		/* of the customer */
	unsigned int importance;
	unsigned int draw;		/* random, for admission; of the root */
	unsigned int depth;		/* in the call chain; 0 for a root */
	unsigned int budget;		/* retries for calls of the receiver */
	unsigned int idempotent;	/* 0 or 1 */
	unsigned int repeat;		/* 1: this run, or one that led to it,
					 * is beyond the first of its request */
	attempt_early early<ATTEMPT_EARLY_MAX>;
};

/* Values of attempt_outcome.outcome. */
const ATTEMPT_SERVED = 0;
const ATTEMPT_NOT_RUN = 1;
const ATTEMPT_UNKNOWN = 2;

/* Load of the upstream and of the daemon beside it. */
struct attempt_load {
	unsigned int slowdown;		/* of its host: percent of the usual
					 * time of work; 0: not reported */
	unsigned int room;		/* requests that could start now */
	unsigned int wait_us;		/* expected wait of a new request */
	unsigned int own_us;		/* usual time of this kind of request,
					 * without child calls; 0: unknown */
	unsigned int turned_away;	/* arrivals that were refused lately,
					 * in per mille */
	unsigned int processor;		/* use of the daemon's share of the
					 * processor, in per mille */
	unsigned int paced;		/* 0 or 1: warms up, or states the rate
					 * that it takes */
	unsigned int tree_share;	/* requests of this kind whose calls
					 * can be completed, in millionths; 0:
					 * no calls were made */
};

union attempt_load_option switch (unsigned int known) {
case 1:
	attempt_load load;
default:
	void;
};

struct attempt_outcome {
	unsigned hyper host;
	unsigned hyper incarnation;	/* of the host */
	opaque attempt[ATTEMPT_ID_BYTES];	/* id of the attempt */
	hyper now;			/* clock of the host when sent */
	unsigned int outcome;
	unsigned int status;		/* of the response */
	unsigned int reason;		/* reason_t of a rejection; 0: none */
	unsigned int retry_after_ms;	/* 0: unknown */
	unsigned int fraction;		/* admitted, in millionths */
	unsigned int unspent;		/* retries left of the budget */
	unsigned int limit;		/* concurrency limit; 0: unknown */
	int busy;			/* per mille of limit; -1: unknown */
	/* Only if the upstream reports the load of its host or warms up. */
	attempt_load_option load;
};
