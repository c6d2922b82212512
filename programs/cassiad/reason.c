/* Names, status codes and texts of the reasons. */
#include "reason.h"

#include <stddef.h>

typedef struct reason_info {
	const char *name; /* published; see reason_name */
	int status;
	const char *detail; /* NULL: not sent to callers */
} reason_info_t;

static const reason_info_t reason_infos[REASON_COUNT] = {
	[REASON_NONE] = { "none", 500, NULL },
	[REASON_BAD_REQUEST] = { "bad-request", 400,
				 "The request is malformed." },
	[REASON_NO_KEY] = { "no-key", 401,
			    "The route needs a key in Authorization: Bearer." },
	[REASON_UNKNOWN_KEY] = { "unknown-key", 401,
				 "The key is unknown or withdrawn." },
	[REASON_NOT_ALLOWED] = { "not-allowed", 403,
				 "The route does not serve this customer." },
	[REASON_UNKNOWN_HANDLE] = { "unknown-handle", 403,
				    "Cassia-Handle names no running request." },
	[REASON_NO_ROUTE] = { "no-route", 404, "No route matches the path." },
	[REASON_SLOW_REQUEST] = { "slow-request", 408,
				  "The body was not sent in time." },
	[REASON_TOO_LARGE] = { "too-large", 413,
			       "The body is larger than the route allows." },
	[REASON_OVER_RATE] = { "over-rate", 429,
			       "The customer's rate is used up." },
	[REASON_SHED] = { "shed", 503,
			  "Capacity goes to more important requests." },
	[REASON_NO_UPSTREAM] = { "no-upstream", 503,
				 "No upstream can be reached." },
	[REASON_DRAINING] = { "draining", 503,
			      "The daemon or its upstream is leaving." },
	[REASON_STARTING] = { "starting", 503,
			      "The daemon has no configuration yet." },
	[REASON_UPSTREAM_FAILED] = { "upstream-failed", 502,
				     "The upstream broke off." },
	[REASON_CROSSED] = { "crossed-response", 502,
			     "The response does not belong to the request." },
	[REASON_DEADLINE] = { "deadline", 504, "The deadline has passed." },
	[REASON_DUPLICATE] = { "duplicate", 502,
			       "The attempt was received before." },
	[REASON_REBIND] = { "rebind", 503, "The daemon has restarted." },
	[REASON_OVERLOADED] = { "overloaded", 503,
				"The daemon is short of memory." },
	[REASON_CANCELLED] = { "cancelled", 499, NULL },
	[REASON_REJECTED] = { "rejected", 503,
			      "The upstream turns work away without load." },
	[REASON_REGION] = { "region", 503,
			    "The upstream is in a region that is not "
			    "allowed." },
	[REASON_WARMING_UP] = { "warming-up", 503,
				"The upstream has just started." },
	[REASON_UPSTREAM_RATE] = { "upstream-rate", 503,
				   "The upstream takes fewer requests." },
	[REASON_UPSTREAM_CRASHED] = { "upstream-crashed", 502,
				      "The upstream ended." },
	[REASON_ISOLATED] = { "isolated", 503,
			      "An upstream that ran this request has ended; "
			      "it is now run alone." },
	[REASON_QUARANTINED] = { "quarantined", 503,
				 "Upstreams that ran this request have "
				 "ended." },
};

const char *reason_name(reason_t reason)
{
	return reason_infos[reason].name;
}

int reason_status(reason_t reason)
{
	return reason_infos[reason].status;
}

const char *reason_detail(reason_t reason)
{
	return reason_infos[reason].detail;
}

reason_t reason_from_number(unsigned int number)
{
	return number < REASON_COUNT ? (reason_t)number : REASON_NONE;
}
