/* Reasons of refusals and failures: their names, status codes and texts. */
#ifndef CASSIA_REASON_H
#define CASSIA_REASON_H

/* The numbers travel between daemons: append only. */
typedef enum reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_NO_KEY,
	REASON_UNKNOWN_KEY,
	REASON_NOT_ALLOWED,
	REASON_UNKNOWN_HANDLE,
	REASON_NO_ROUTE,
	REASON_SLOW_REQUEST,
	REASON_TOO_LARGE,
	REASON_OVER_RATE,
	REASON_SHED,
	REASON_NO_UPSTREAM,
	REASON_DRAINING,
	REASON_STARTING,
	REASON_UPSTREAM_FAILED,
	REASON_CROSSED,
	REASON_DEADLINE,
	REASON_DUPLICATE,
	REASON_REBIND,
	REASON_OVERLOADED,
	REASON_CANCELLED,
	REASON_REJECTED,
	REASON_COUNT,
} reason_t;

/* Returns the word used in problem details and logs. */
const char *reason_name(reason_t reason);

/* Returns the HTTP status that the caller gets. */
int reason_status(reason_t reason);

/* Returns one sentence for people, or NULL. */
const char *reason_detail(reason_t reason);

/* Returns the reason of a number from another daemon. */
reason_t reason_of(unsigned int number);

#endif
