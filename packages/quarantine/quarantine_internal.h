/* Suspects and reports of the quarantine, shared by its source files. */
#ifndef CASSIA_QUARANTINE_INTERNAL_H
#define CASSIA_QUARANTINE_INTERNAL_H

#include <glib.h>

#include "cassia/quarantine.h"

/* Hosts remembered as witnesses of one suspect. */
#define WITNESSES_MAX 4

/* A request that ran when an upstream crashed. */
typedef struct suspect {
	quarantine_digest_t digest;
	int32_t crashes; /* that it has met */
	int32_t served; /* runs to a good end since the first crash */
	/* Hosts whose upstreams crashed while they ran it. */
	cas_id_t witnesses[WITNESSES_MAX];
	int32_t witness_count;
	int32_t blocks; /* how often it was blocked */
	int64_t blocked_until_us;
	int64_t event_us; /* the last crash or good end */
} suspect_t;

/* The table of suspects. */
typedef struct suspects {
	GHashTable *by_digest; /* suspect_t */
} suspects_t;

void suspects_init(suspects_t *suspects);
void suspects_fini(suspects_t *suspects);

/* Returns the suspect (borrowed), or NULL. One without an event for a long time
 * is forgotten. */
suspect_t *suspects_find(suspects_t *suspects, quarantine_digest_t digest,
			 int64_t now_us);

/* Adds a crash that host witnessed. isolated: the request was a suspect when it
 * was started. own: host is the own one, which is believed alone. Returns whether
 * the request is blocked by this crash. */
bool suspects_add_crash(suspects_t *suspects, quarantine_digest_t digest,
			cas_id_t host, bool isolated, bool own, int64_t now_us);

/* Adds the word of a host that it has blocked the request. */
void suspects_add_blocked(suspects_t *suspects, quarantine_digest_t digest,
			  cas_id_t host, int64_t now_us);

/* Adds a run to a good end. */
void suspects_add_served(suspects_t *suspects, quarantine_digest_t digest,
			 int64_t now_us);

quarantine_verdict_t suspects_verdict(const suspect_t *suspect, int64_t now_us);

/* A report that some hosts have not acknowledged. */
typedef struct pending_report {
	quarantine_report report; /* the lists point to the members below */
	uint64_t crashed[QUARANTINE_DIGESTS_MAX];
	uint64_t served[QUARANTINE_DIGESTS_MAX];
	cas_id_t *unanswered; /* hosts */
	size_t unanswered_count;
	int32_t sends;
	int64_t due_us; /* of the next send */
} pending_report_t;

#define PENDING_REPORTS_MAX 16

/* What a host has reported: reports that are sent again count once, and one host
 * cannot fill the table. */
typedef struct reporter {
	cas_id_t host;
	uint64_t incarnation;
	uint32_t highest; /* number of a report */
	uint32_t seen; /* bit i: highest - i was received */
	int64_t window_us; /* start of the present window */
	int32_t crashes; /* reported in it */
} reporter_t;

struct quarantine {
	const cas_clock_t *clock;
	quarantine_ops_t ops;
	void *private;
	cas_id_t self;
	cas_id_t *peers;
	size_t peer_count;
	suspects_t suspects;
	pending_report_t *pending[PENDING_REPORTS_MAX];
	size_t pending_count;
	GHashTable *reporters; /* reporter_t, by host */
	uint32_t next_number;
	int64_t crash_us; /* of the last report of a crash */
	int64_t crashes;
	int64_t reports_sent;
	int64_t reports_ignored;
	uint64_t reply_digests[QUARANTINE_DIGESTS_MAX];
};

/* Starts to send a report to all peers. The lists are copied. */
void reports_start(quarantine_t *quarantine, const quarantine_report *report);

/* Takes note of an acknowledgement. */
void reports_acknowledged(quarantine_t *quarantine, cas_id_t from,
			  uint32_t number);

#endif
