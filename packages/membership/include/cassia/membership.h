/*
 * Which hosts are alive, which of them lead, and the fence of the data centre:
 * whether a quorum of its hosts is known to use the same host list. Decision
 * code without input or output.
 */
#ifndef CASSIA_MEMBERSHIP_H
#define CASSIA_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/clock.h"
#include "cassia/hash.h"
#include "cassia/rng.h"
#include "cassia/roster.h"
#include "membership_xdr.h"

#define MEMBERSHIP_PERIOD_US CAS_USEC_PER_SEC
/* How long a heartbeat confirms a roster revision. */
#define MEMBERSHIP_LEASE_US (6 * CAS_USEC_PER_SEC)
/* Lease, lifetime of quota grants (2 s) and drift margin between clocks. */
#define MEMBERSHIP_SETTLE_US                                                   \
	(MEMBERSHIP_LEASE_US + 2 * CAS_USEC_PER_SEC + 100 * CAS_USEC_PER_MSEC)

enum membership_error {
	MEMBERSHIP_OK = 0,
	MEMBERSHIP_ENOMEM = -1301,
	MEMBERSHIP_EREVISION = -1302, /* not newer than the one in use */
};

typedef struct membership membership_t;

typedef enum membership_state {
	MEMBERSHIP_UNKNOWN, /* not listed, or never heard of */
	MEMBERSHIP_ALIVE,
	MEMBERSHIP_SUSPECT, /* not heard of for too long */
	MEMBERSHIP_DRAINING, /* alive and going away */
} membership_state_t;

/* What is sent may be lost. Messages are borrowed during the call. */
typedef struct membership_ops {
	void (*send_beat)(cas_id_t to, const membership_beat *beat,
			  void *private_data);
	void (*send_notice)(cas_id_t to, const membership_notice *notice,
			    void *private_data);
	/* host holds a newer revision than this daemon. Repeated with later
	 * messages until this daemon holds it too. May be NULL. */
	void (*on_newer_table)(int64_t revision, cas_id_t host,
			       void *private_data);
	void (*on_newer_roster)(int64_t revision, cas_id_t host,
				void *private_data);
} membership_ops_t;

/* A newest known revision and a host that holds it (0: this daemon). */
typedef struct membership_newest {
	int64_t table_revision;
	cas_id_t table_host;
	int64_t roster_revision;
	cas_id_t roster_host;
} membership_newest_t;

/*
 * Returns a new membership, or NULL when memory is short. clock, rng and ops
 * are borrowed. self_incarnation is the one that peer sends.
 */
membership_t *membership_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				cas_rng_t *rng, const membership_ops_t *ops,
				void *private_data, cas_id_t self,
				uint64_t self_incarnation,
				cas_id_t data_centre);

/*
 * Adopts a newer host list, which is copied, and confirms it from now on;
 * after a list that replaces a third or more of the data centre's hosts it
 * confirms nothing for twice the lease. A leader or watcher floods the
 * revision. Returns 0, MEMBERSHIP_EREVISION or MEMBERSHIP_ENOMEM.
 */
int membership_set_roster(membership_t *m, const roster_t *roster);

/* The same for the table's revision. Returns 0 or MEMBERSHIP_EREVISION. */
int membership_set_table_revision(membership_t *m, int64_t revision);

void membership_set_draining(membership_t *m, bool draining);

/*
 * Handles a beat and fills the reply. What the reply points to is owned by m
 * and valid until the next call of this function. Returns 0; a negative number
 * means that no reply is to be sent.
 */
int membership_on_beat(membership_t *m, cas_id_t from, uint64_t incarnation,
		       const membership_beat *beat, membership_reply *reply);

void membership_on_reply(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_reply *reply);

/* Handles a notice and fills the reply. Returns as membership_on_beat. */
int membership_on_notice(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_notice *notice,
			 membership_notice_reply *reply);

void membership_on_notice_reply(membership_t *m, cas_id_t from,
				uint64_t incarnation,
				const membership_notice_reply *reply);

/* Floods the held revisions: to the leaders of the data centre from any
 * daemon, and also to the group and to other data centres from a leader. */
void membership_notice_held(membership_t *m);

/* Sends what is due. */
void membership_tick(membership_t *m);

/* Returns the time in microseconds at which membership_tick is due. */
int64_t membership_next_due(const membership_t *m);

/*
 * True while live confirmations of the revision from a quorum of its hosts in
 * this data centre are known. Known only for the revision in use and the one
 * before it: confirmations of the latter stay live for at most a lease.
 */
bool membership_fence_held(const membership_t *m, int64_t revision);

/* True while the fence is held and each host of a quorum has been at the
 * revision for MEMBERSHIP_SETTLE_US. At no time is the fence settled at two
 * revisions whose quorums share a host. */
bool membership_fence_settled(const membership_t *m, int64_t revision);

/*
 * A number that changes when the fence was at neither the revision in use nor
 * the one before it held for as long as a quota grant lives, or when a list
 * was adopted that does not directly follow the one in use. A bucket may be
 * kept over a roster change without waiting for the fence to settle only while
 * the number stays the same: under a list that was skipped another holder may
 * have settled, and adds tokens for up to a lease after its hosts have moved
 * on.
 */
uint64_t membership_fence_epoch(const membership_t *m);

membership_state_t membership_state_of(const membership_t *m, cas_id_t host);

/* True when this daemon is to watch the platform for its data centre. */
bool membership_is_watcher(const membership_t *m);

/* True when this daemon is a leader of its group. */
bool membership_is_leader(const membership_t *m);

membership_newest_t membership_newest(const membership_t *m);

#endif
