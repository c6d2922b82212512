/*
 * Configuration that never reverts.
 *
 * Two daemons read a platform whose replicas may answer with an older
 * revision, and learn revisions from each other. A daemon may restart without
 * memory; it then asks its peer before it serves. State names are those of
 * the config_store module.
 *
 * Checked: once a revision was in force at a daemon that a running peer can
 * still report, no daemon serves with an older one after its restart, and no
 * running daemon goes back.
 *
 * BROKEN lets a restarted daemon serve with what the platform says without
 * asking its peer.
 */

#define MAX_REVISION 3
#define MAX_RESTARTS 2

mtype = { STORE_ASKING, STORE_SERVING };

byte published = 1;		/* newest revision that the platform has */
byte held[2];			/* revision in force, 0: none */
byte highest[2];		/* highest ever in force since the start */
mtype state[2] = { STORE_ASKING, STORE_ASKING };
byte restarts = 0;

inline accept(me, revision)
{
	if
	:: revision > held[me] -> held[me] = revision
	:: else -> skip			/* older or equal: ignored */
	fi;
	if
	:: held[me] > highest[me] -> highest[me] = held[me]
	:: else -> skip
	fi
}

proctype Platform()
{
	do
	:: published < MAX_REVISION -> published++
	:: else -> break
	od
}

proctype Daemon(byte me)
{
	byte revision;
	byte peer = 1 - me;

	do
	/* A stale replica may answer with any revision so far. */
	:: atomic {
		select(revision : 1 .. MAX_REVISION);
		if
		:: revision <= published -> accept(me, revision)
		:: else -> skip
		fi
	   }
	/* A beat of the peer tells its revision; the table is fetched. */
	:: atomic {
		held[peer] > held[me] ->
		accept(me, held[peer])
	   }
	/* End of the bootstrap: the peer has answered. */
	:: atomic {
		state[me] == STORE_ASKING && held[me] > 0 ->
#ifndef BROKEN
		accept(me, held[peer]);
		assert(held[me] >= held[peer]);
#endif
		state[me] = STORE_SERVING;
		assert(state[peer] != STORE_SERVING ||
		       held[me] >= highest[peer])
	   }
	/* Restart without memory, while the peer runs. */
	:: atomic {
		restarts < MAX_RESTARTS && state[me] == STORE_SERVING &&
		state[peer] == STORE_SERVING && held[peer] >= held[me] ->
		restarts++;
		held[me] = 0;
		highest[me] = 0;
		state[me] = STORE_ASKING
	   }
	:: atomic {
		state[me] == STORE_SERVING ->
		assert(held[me] == highest[me])
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
