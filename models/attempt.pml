/*
 * At-most-once execution of one attempt and the truth of "not run".
 *
 * An entry daemon sends one attempt of a non-idempotent request to an
 * upstream's daemon and may resend the same attempt on a new connection. The
 * network delays, repeats and loses messages. The upstream's daemon may be
 * paused at any step and may restart without memory, which gives it a new
 * incarnation. State names are those of the attempt package.
 *
 * Checked: the upstream runs the request at most once over all attempts, and
 * an entry that reports not-run to its caller is right, now and later.
 *
 * BROKEN leaves out the incarnation in the context, so that a restarted
 * daemon accepts a copy of an attempt that its predecessor has run.
 */

#define MAX_ATTEMPTS 2	/* the first attempt and one retry */
#define MAX_RESENDS 1
#define MAX_RESTARTS 1
#define NETWORK 3

mtype = { ATTEMPT_NEW, ATTEMPT_SENT, OUTCOME_NOT_RUN, OUTCOME_OK,
	  OUTCOME_UNKNOWN };
mtype = { REFUSED, DONE };

/* attempt number, incarnation it is addressed to */
chan calls = [NETWORK] of { byte, byte };
/* attempt number, answer */
chan answers = [NETWORK] of { byte, mtype };

byte incarnation = 1;
bool seen[MAX_ATTEMPTS + 1];	/* memory of the current incarnation */
bool expired[MAX_ATTEMPTS + 1];	/* the deadline of the attempt has passed */
byte runs = 0;			/* executions at the upstream */
mtype caller_outcome = ATTEMPT_NEW;

/* Entry daemon. A retry follows only a proven not-run. */
proctype Entry()
{
	byte attempt = 1;
	byte resends = 0;
	byte target;
	byte number;
	mtype answer;

send:
	target = incarnation;
	calls!attempt, target;
wait:
	do
	:: answers?number, answer ->
		if
		:: number != attempt -> skip	/* late answer, discarded */
		:: number == attempt && answer == DONE ->
			caller_outcome = OUTCOME_OK;
			goto out
		:: number == attempt && answer == REFUSED ->
			if
			:: attempt < MAX_ATTEMPTS ->
				attempt++;
				resends = 0;
				goto send
			:: caller_outcome = OUTCOME_NOT_RUN;
				goto out
			fi
		fi
	:: resends < MAX_RESENDS && nfull(calls) ->
		resends++;
		calls!attempt, target
	:: expired[attempt] = true;
		caller_outcome = OUTCOME_UNKNOWN;
		goto out
	od;
out:
	skip
}

/* Upstream's daemon: checks incarnation, memory and deadline in one step,
 * may be paused before it hands the request on, then checks the deadline
 * again. */
proctype Daemon()
{
	byte number;
	byte target;
	byte mine;

	do
	:: calls?number, target ->
		atomic {
			mine = incarnation;
			if
#ifndef BROKEN
			:: target != incarnation -> goto next
			:: target == incarnation && seen[number] -> goto next
			:: target == incarnation && !seen[number] ->
				seen[number] = true
#else
			:: seen[number] -> goto next
			:: else -> seen[number] = true
#endif
			fi
		}
		if
		:: answers!number, REFUSED	/* admission sheds it */
		:: skip;
		   /* A pause or a restart may happen before this step. */
		   atomic {
			if
			:: mine != incarnation || expired[number] -> goto next
			:: else -> runs++
			fi
		   }
		   if
		   :: answers!number, DONE
		   :: skip			/* answer lost */
		   fi
		fi;
next:
		skip
	od
}

/* The network repeats and loses calls; the daemon restarts. */
proctype Faults()
{
	byte number;
	byte target;
	byte repeats = 0;
	byte restarts = 0;
	byte i;

	do
	:: atomic {
		repeats < 1 && nempty(calls) && nfull(calls) ->
		calls?<number, target>;
		calls!number, target;
		repeats++
	   }
	:: atomic {
		nempty(calls) ->
		calls?number, target
	   }
	:: restarts < MAX_RESTARTS ->
		atomic {
			restarts++;
			incarnation++;
			i = 0;
			do
			:: i <= MAX_ATTEMPTS ->
				seen[i] = false;
				i++
			:: else -> break
			od
		}
	:: break
	od
}

/* Invariants, in every reachable state. */
proctype Monitor()
{
	atomic {
		(runs > 1 || (caller_outcome == OUTCOME_NOT_RUN && runs > 0)) ->
		assert(false)
	}
}

init {
	atomic {
		run Entry();
		run Daemon();
		run Faults();
		run Monitor()
	}
}
