/* Reasons for which a request is refused or fails, with their names, status
 * codes and texts. */
#ifndef CASSIA_REASON_H
#define CASSIA_REASON_H

/* Daemons exchange the numbers, so new reasons are added at the end. */
typedef enum reason {
	REASON_NONE, /* served */
	REASON_BAD_REQUEST,
	REASON_NO_KEY,
	REASON_UNKNOWN_KEY,
	REASON_NOT_ALLOWED,
	REASON_UNKNOWN_HANDLE, /* the parent of a child call is not running */
	REASON_NO_ROUTE,
	REASON_SLOW_REQUEST,
	REASON_TOO_LARGE,
	REASON_OVER_RATE, /* no token of the customer was granted */
	REASON_SHED, /* rejected by overload control */
	REASON_NO_UPSTREAM, /* no upstream is known or reachable */
	REASON_DRAINING, /* the upstream drains or the daemon stops */
	REASON_STARTING, /* the daemon has no configuration yet */
	REASON_UPSTREAM_FAILED, /* the call broke off after it was sent */
	REASON_CROSSED, /* the response belongs to another request */
	REASON_DEADLINE,
	REASON_DUPLICATE, /* the attempt was received before */
	REASON_REBIND, /* the attempt names another incarnation */
	REASON_OVERLOADED, /* the daemon is short of memory */
	REASON_CANCELLED, /* the caller has gone */
	REASON_REJECTED, /* by an upstream that has a free slot */
	REASON_REGION, /* the region of the upstream is not allowed */
	REASON_WARMING_UP, /* the upstream has just started or recovered */
	REASON_UPSTREAM_RATE, /* the upstream states that it takes fewer */
	REASON_UPSTREAM_CRASHED, /* the upstream ended while it ran it */
	REASON_ISOLATED, /* the upstream runs another suspect */
	REASON_QUARANTINED, /* upstreams have crashed that ran it */
	REASON_COUNT,
} reason_t;

/* Returns the name used in problem details, metrics and logs. */
const char *reason_name(reason_t reason);

/* Returns the HTTP status that the caller gets. */
int reason_status(reason_t reason);

/* Returns a sentence for the detail member of problem details, or NULL. */
const char *reason_detail(reason_t reason);

/* Returns the reason of a number from another daemon, REASON_NONE if the number
 * is unknown. */
reason_t reason_from_number(unsigned int number);

#endif
