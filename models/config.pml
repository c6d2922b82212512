/*
 * Model of the rule that the configuration in force never returns to an older
 * revision.
 *
 * Two daemons read a platform whose replicas may answer with an older revision,
 * and learn newer revisions from each other. A daemon may restart with an empty
 * store; it then asks its peer for its revision before it serves.
 *
 * Checked: a daemon that begins to serve has a revision at least as new as any
 * that was in force at its peer since that peer started, if the peer serves. A
 * daemon that serves never goes back to an older revision.
 *
 * With BROKEN, a restarted daemon serves with the revision that it got from the
 * platform, without asking its peer.
 */

#define MAX_REVISION 3
#define MAX_RESTARTS 2

mtype = { STATE_BOOTING, STATE_SERVING };

byte platform_revision = 1;	/* newest revision published */
/* The following arrays are indexed by daemon. */
byte store_revision[2];		/* in force, 0: none */
byte highest_revision[2];	/* highest in force since the daemon started */
mtype daemon_state[2] = { STATE_BOOTING, STATE_BOOTING };
byte restarts = 0;

/* Offers a revision to the store of a daemon, which ignores it unless it is
 * newer than the one in force. */
inline offer_revision(self, revision)
{
	if
	:: revision > store_revision[self] -> store_revision[self] = revision
	:: else -> skip
	fi;
	if
	:: store_revision[self] > highest_revision[self] ->
		highest_revision[self] = store_revision[self]
	:: else -> skip
	fi
}

/* Publishes new revisions. */
proctype Platform()
{
	do
	:: platform_revision < MAX_REVISION -> platform_revision++
	:: else -> break
	od
}

proctype Daemon(byte self)
{
	byte revision;
	byte peer = 1 - self;

	do
	/* Reads the platform: a stale replica may answer with any revision
	 * published so far. */
	:: atomic {
		select(revision : 1 .. MAX_REVISION);
		if
		:: revision <= platform_revision ->
			offer_revision(self, revision)
		:: else -> skip
		fi
	   }
	/* Learns a newer revision from a heartbeat of the peer, and fetches the
	 * configuration from it. */
	:: atomic {
		store_revision[peer] > store_revision[self] ->
		offer_revision(self, store_revision[peer])
	   }
	/* Begins to serve: the peer has answered with its revision. */
	:: atomic {
		daemon_state[self] == STATE_BOOTING &&
			store_revision[self] > 0 ->
#ifndef BROKEN
		offer_revision(self, store_revision[peer]);
		assert(store_revision[self] >= store_revision[peer]);
#endif
		daemon_state[self] = STATE_SERVING;
		assert(daemon_state[peer] != STATE_SERVING ||
		       store_revision[self] >= highest_revision[peer])
	   }
	/* Restarts with an empty store, while the peer serves with a revision
	 * that is at least as new. */
	:: atomic {
		restarts < MAX_RESTARTS &&
		daemon_state[self] == STATE_SERVING &&
		daemon_state[peer] == STATE_SERVING &&
		store_revision[peer] >= store_revision[self] ->
		restarts++;
		store_revision[self] = 0;
		highest_revision[self] = 0;
		daemon_state[self] = STATE_BOOTING
	   }
	/* Checks that the revision in force has not gone back. */
	:: atomic {
		daemon_state[self] == STATE_SERVING ->
		assert(store_revision[self] == highest_revision[self])
	   }
	:: break
	od
}

init {
	atomic {
		run Platform();
		run Daemon(0);
		run Daemon(1)
	}
}
