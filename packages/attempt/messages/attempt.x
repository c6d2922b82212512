/*
 * Signed structures of the Cassia-Context and Cassia-Outcome header fields.
 * All times are microseconds.
 *
 * rpcgen output in ../generated: run sh messages/generate.sh in
 * packages/attempt.
 */

const ATTEMPT_ID_BYTES = 16;
const ATTEMPT_EARLY_MAX = 16;

/* Requests that the sender rejected early since its last report. */
struct attempt_early {
	unsigned hyper customer;
	unsigned int importance;
	unsigned int count;
};

struct attempt_context {
	unsigned hyper sender;
	unsigned hyper receiver;
	unsigned hyper incarnation;	/* of the receiver; 0: not known */
	opaque root[ATTEMPT_ID_BYTES];
	opaque attempt[ATTEMPT_ID_BYTES];
	unsigned hyper customer;	/* 0 on open routes */
	unsigned hyper route;
	unsigned hyper service;
	hyper deadline;			/* on the receiver's clock */
	unsigned int weight;		/* of the customer */
	unsigned int importance;
	unsigned int draw;
	unsigned int depth;		/* in the call chain; 0 for a root */
	unsigned int budget;		/* retries that may be spent below */
	unsigned int idempotent;
	attempt_early early<ATTEMPT_EARLY_MAX>;
};

const ATTEMPT_SERVED = 0;
const ATTEMPT_NOT_RUN = 1;
const ATTEMPT_UNKNOWN = 2;

struct attempt_outcome {
	unsigned hyper host;
	unsigned hyper incarnation;	/* of the host */
	opaque attempt[ATTEMPT_ID_BYTES];
	hyper now;			/* the host's clock at sending */
	unsigned int outcome;
	unsigned int status;		/* of the response */
	unsigned int reason;		/* of a refusal; 0: none */
	unsigned int retry_after_ms;	/* 0: not known */
	unsigned int fraction;		/* admitted, in millionths */
	unsigned int unspent;		/* retries of the budget */
	unsigned int limit;		/* concurrency, 0: not known */
	int busy;			/* per mille of the limit, -1: not known */
};
