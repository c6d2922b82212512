/*
 * Reports between the daemons beside the upstreams of one service, of requests
 * that ran when an upstream crashed. Requests are named by their digests.
 *
 * The rpcgen output is in ../generated; to write it again, run
 * sh messages/generate.sh in packages/quarantine.
 */

/* Digests in one list. */
const QUARANTINE_DIGESTS_MAX = 48;

/* A report is sent again until it is acknowledged. Numbers count up in each
 * incarnation of the sender. */
struct quarantine_report {
	unsigned int number;
	/* Ran when the upstream of the sender crashed. */
	unsigned hyper crashed<QUARANTINE_DIGESTS_MAX>;
	/* The one of these that was a suspect when it was started; 0: none. */
	unsigned hyper isolated;
	/* Suspects that have run to a good end beside the sender. */
	unsigned hyper served<QUARANTINE_DIGESTS_MAX>;
};

struct quarantine_reply {
	unsigned int number;	/* of the report */
	/* Blocked by the receiver; for a sender that has just started. */
	unsigned hyper blocked<QUARANTINE_DIGESTS_MAX>;
};
