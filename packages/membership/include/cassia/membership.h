/*
 * Group membership of the daemons: failure detection, election of group
 * leaders and watchers, dissemination of table and host list revisions, and
 * the fence of the data centre, which is proof that a quorum of its hosts uses
 * the same host list, so that no other list has a quorum. It does no I/O:
 * messages go out through callbacks, and received ones are passed in.
 *
 * A beat is a heartbeat message. "Roster" means the host list of one revision,
 * and a host "holds" a revision when it uses the host list or table of that
 * revision.
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

/* Interval between heartbeats. */
#define MEMBERSHIP_PERIOD_US CAS_USEC_PER_SEC
/* How long a heartbeat confirms that its sender holds a roster revision. */
#define MEMBERSHIP_LEASE_US (6 * CAS_USEC_PER_SEC)
/* How long a quorum must have held a revision before its fence is settled: a
 * lease, the lifetime of a quota grant (2 s), and 100 ms for clock drift. */
#define MEMBERSHIP_SETTLE_US                                                   \
	(MEMBERSHIP_LEASE_US + 2 * CAS_USEC_PER_SEC + 100 * CAS_USEC_PER_MSEC)

enum membership_error {
	MEMBERSHIP_OK = 0,
	MEMBERSHIP_ENOMEM = -1301,
	MEMBERSHIP_EREVISION = -1302, /* not newer than the one in use */
};

/* The membership state of one daemon. */
typedef struct membership membership_t;

/* State of a host of the own data centre. */
typedef enum membership_state {
	MEMBERSHIP_UNKNOWN, /* not listed, or never heard from */
	MEMBERSHIP_ALIVE,
	MEMBERSHIP_SUSPECT, /* not heard from recently enough */
	MEMBERSHIP_DRAINING, /* alive, and draining or listed as leaving */
} membership_state_t;

/* Callbacks. Messages may be lost in transit; the message passed to a callback
 * is borrowed and valid during the call only. */
typedef struct membership_ops {
	void (*send_beat)(cas_id_t to, const membership_beat *beat,
			  void *private_data);
	void (*send_notice)(cas_id_t to, const membership_notice *notice,
			    void *private_data);
	/* Reports that host holds a newer revision than this daemon. Called
	 * again for later messages until this daemon holds that revision too.
	 * May be NULL. */
	void (*on_newer_table)(int64_t revision, cas_id_t host,
			       void *private_data);
	void (*on_newer_roster)(int64_t revision, cas_id_t host,
				void *private_data);
} membership_ops_t;

/* The newest known revisions, each with a host that holds it (0: this daemon,
 * or no such host is known). */
typedef struct membership_newest {
	int64_t table_revision;
	cas_id_t table_host;
	int64_t roster_revision;
	cas_id_t roster_host;
} membership_newest_t;

/*
 * Returns a new membership, owned by ctx, or NULL when memory runs out. clock,
 * rng, ops and private_data are borrowed and must outlive it; private_data is
 * passed to each callback. self and data_centre identify this host.
 * self_incarnation is the incarnation that the peer package sends with each
 * message.
 */
membership_t *membership_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				cas_rng_t *rng, const membership_ops_t *ops,
				void *private_data, cas_id_t self,
				uint64_t self_incarnation,
				cas_id_t data_centre);

/*
 * Adopts a newer host list and confirms its revision from now on. What is
 * needed of the list is copied. After a list that replaces a third or more of
 * the data centre's hosts, or that has a quorum without a host of some quorum
 * of the list in use, this daemon confirms nothing for two leases. The
 * revision is announced to other daemons, also to those of hosts of the data
 * centre that the list drops. Returns 0, MEMBERSHIP_EREVISION or
 * MEMBERSHIP_ENOMEM.
 */
int membership_set_roster(membership_t *m, const roster_t *roster);

/* Records that this daemon uses a newer table revision, and announces it to other
 * daemons. Returns 0 or MEMBERSHIP_EREVISION. */
int membership_set_table_revision(membership_t *m, int64_t revision);

/* Sets whether this daemon reports itself as draining. A draining host leads
 * its group only when no other live host can. */
void membership_set_draining(membership_t *m, bool draining);

/*
 * Handles a beat of host from and fills the reply, which must be zeroed. What
 * the reply points to is owned by m and valid until the next call of this
 * function. Returns 0, or a negative number when no reply is to be sent.
 */
int membership_on_beat(membership_t *m, cas_id_t from, uint64_t incarnation,
		       const membership_beat *beat, membership_reply *reply);

/* Handles the reply of host from to a beat of this daemon. */
void membership_on_reply(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_reply *reply);

/* Handles a notice of host from and fills the reply. Returns 0, or a negative
 * number when no reply is to be sent. */
int membership_on_notice(membership_t *m, cas_id_t from, uint64_t incarnation,
			 const membership_notice *notice,
			 membership_notice_reply *reply);

/* Handles the reply of host from to a notice of this daemon. */
void membership_on_notice_reply(membership_t *m, cas_id_t from,
				uint64_t incarnation,
				const membership_notice_reply *reply);

/* Sends the beats and notices that are due. */
void membership_tick(membership_t *m);

/* Returns the time in microseconds at which membership_tick is due. */
int64_t membership_next_due(const membership_t *m);

/*
 * Returns true while this daemon knows unexpired confirmations of the roster
 * revision from a quorum of the hosts that it lists in this data centre. Only
 * the revision in use and the one before it can be held; confirmations of the
 * latter expire within a lease.
 */
bool membership_fence_held(const membership_t *m, int64_t revision);

/* Returns true while the fence is held and each host of a quorum has held the
 * revision for MEMBERSHIP_SETTLE_US. The fence is never settled at the same
 * time at two revisions whose quorums share a host. */
bool membership_fence_settled(const membership_t *m, int64_t revision);

/*
 * Returns a number that changes when the fence was held at neither the revision
 * in use nor the one before it for the lifetime of a quota grant, and when a
 * host list is adopted that is not the direct successor of the one in use or
 * that suspends confirmations (see membership_set_roster). A holder may keep a
 * bucket over a roster change without waiting for the fence to settle only
 * while this number stays the same. Otherwise, under a list that this host
 * skipped, another holder's fence may have settled, and that holder adds tokens
 * for up to a lease after its hosts have adopted the next list.
 */
uint64_t membership_fence_epoch(const membership_t *m);

/* Returns the state of a host of this data centre, by what this daemon has
 * heard; MEMBERSHIP_UNKNOWN for any other host. */
membership_state_t membership_state_of(const membership_t *m, cas_id_t host);

/* Returns whether a host of this data centre has reported that it drains, and
 * has not been heard from in another state since. Unlike MEMBERSHIP_DRAINING
 * this includes a host that has been silent since, but none that is only listed
 * as leaving. */
bool membership_is_draining(const membership_t *m, cas_id_t host);

/* Returns true when this daemon is to watch the platform for new table and
 * host list revisions on behalf of its data centre. */
bool membership_is_watcher(const membership_t *m);

/* Returns true when this daemon is one of the leaders of its group. */
bool membership_is_leader(const membership_t *m);

/* Returns the newest revisions that this daemon has heard of. */
membership_newest_t membership_newest(const membership_t *m);

#endif
