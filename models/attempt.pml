/*
 * Model of one request that must run at most once, and of the claim that it
 * has not run.
 *
 * An entry daemon sends an attempt of a non-idempotent request to the daemon of
 * an upstream. It may resend the same attempt on a new connection, and may send
 * a second attempt once the first one is known not to have run. The network
 * delays, duplicates and loses messages. The upstream's daemon may be paused
 * between any two steps, and may restart without its memory of received
 * attempts, as a new incarnation.
 *
 * Checked: the upstream runs the request at most once over all attempts, and a
 * request that the entry daemon reports as not run neither has run nor runs
 * later.
 *
 * With BROKEN, the daemon does not compare the incarnation that an attempt is
 * addressed to with its own, so that after a restart it accepts a duplicate of
 * an attempt that the former incarnation has run.
 */

#define MAX_ATTEMPTS 2	/* the first attempt and one retry */
#define MAX_RESENDS 1	/* of each attempt */
#define MAX_DUPLICATES 1
#define MAX_RESTARTS 1
#define NETWORK_CAPACITY 3	/* messages in transit, in each direction */

/* What the entry daemon reports to its caller. ATTEMPT_SENT is not used. */
mtype = { OUTCOME_PENDING, ATTEMPT_SENT, OUTCOME_NOT_RUN, OUTCOME_OK,
	  OUTCOME_UNKNOWN };
/* What the daemon of the upstream replies. */
mtype = { REPLY_REJECTED, REPLY_COMPLETED };

/* attempt number, incarnation that the attempt is addressed to */
chan call_channel = [NETWORK_CAPACITY] of { byte, byte };
/* attempt number, reply */
chan reply_channel = [NETWORK_CAPACITY] of { byte, mtype };

byte incarnation = 1;	/* of the upstream's daemon */
/* Memory of the current incarnation, by attempt number. */
bool received[MAX_ATTEMPTS + 1];
/* The deadline of the attempt has passed, by attempt number. */
bool expired[MAX_ATTEMPTS + 1];
byte executions = 0;	/* of the request at the upstream, over all attempts */
mtype reported_outcome = OUTCOME_PENDING;

/* Entry daemon: sends a second attempt only after a rejection, which proves
 * that the first one has not run. */
proctype EntryDaemon()
{
	byte attempt = 1;
	byte resends = 0;
	byte target_incarnation;
	byte attempt_number;
	mtype reply;

send_attempt:
	target_incarnation = incarnation;
	call_channel!attempt, target_incarnation;
await_reply:
	do
	:: reply_channel?attempt_number, reply ->
		if
		/* A late reply to an earlier attempt is discarded. */
		:: attempt_number != attempt -> skip
		:: attempt_number == attempt && reply == REPLY_COMPLETED ->
			reported_outcome = OUTCOME_OK;
			goto finished
		:: attempt_number == attempt && reply == REPLY_REJECTED ->
			if
			:: attempt < MAX_ATTEMPTS ->
				attempt++;
				resends = 0;
				goto send_attempt
			:: reported_outcome = OUTCOME_NOT_RUN;
				goto finished
			fi
		fi
	:: resends < MAX_RESENDS && nfull(call_channel) ->
		resends++;
		call_channel!attempt, target_incarnation
	/* Timeout: the attempt may have run. */
	:: expired[attempt] = true;
		reported_outcome = OUTCOME_UNKNOWN;
		goto finished
	od;
finished:
	skip
}

/* Daemon of the upstream: checks the incarnation and its memory of received
 * attempts in one step. It may then be paused or restarted. It checks the
 * incarnation and the deadline when it passes the request to the upstream. */
proctype UpstreamDaemon()
{
	byte attempt_number;
	byte target_incarnation;
	byte receiving_incarnation;

	do
	:: call_channel?attempt_number, target_incarnation ->
		atomic {
			receiving_incarnation = incarnation;
			if
#ifndef BROKEN
			:: target_incarnation != incarnation -> goto next_call
			:: target_incarnation == incarnation &&
				received[attempt_number] -> goto next_call
			:: target_incarnation == incarnation &&
				!received[attempt_number] ->
				received[attempt_number] = true
#else
			:: received[attempt_number] -> goto next_call
			:: else -> received[attempt_number] = true
#endif
			fi
		}
		if
		/* Rejected by admission control. */
		:: reply_channel!attempt_number, REPLY_REJECTED
		:: skip;
		   /* A pause or a restart may happen before this step. */
		   atomic {
			if
			:: receiving_incarnation != incarnation ||
				expired[attempt_number] -> goto next_call
			:: else -> executions++
			fi
		   }
		   if
		   :: reply_channel!attempt_number, REPLY_COMPLETED
		   :: skip	/* the reply is lost */
		   fi
		fi;
next_call:
		skip
	od
}

/* Duplicates and loses calls, and restarts the daemon of the upstream. */
proctype Environment()
{
	byte attempt_number;
	byte target_incarnation;
	byte duplicates = 0;
	byte restarts = 0;
	byte i;

	do
	:: atomic {
		duplicates < MAX_DUPLICATES && nempty(call_channel) &&
			nfull(call_channel) ->
		call_channel?<attempt_number, target_incarnation>;
		call_channel!attempt_number, target_incarnation;
		duplicates++
	   }
	:: atomic {
		nempty(call_channel) ->
		call_channel?attempt_number, target_incarnation
	   }
	:: restarts < MAX_RESTARTS ->
		atomic {
			restarts++;
			incarnation++;
			i = 0;
			do
			:: i <= MAX_ATTEMPTS ->
				received[i] = false;
				i++
			:: else -> break
			od
		}
	:: break
	od
}

/* Fails if an invariant is violated in any reachable state. */
proctype InvariantMonitor()
{
	atomic {
		(executions > 1 ||
			(reported_outcome == OUTCOME_NOT_RUN &&
			 executions > 0)) ->
		assert(false)
	}
}

init {
	atomic {
		run EntryDaemon();
		run UpstreamDaemon();
		run Environment();
		run InvariantMonitor()
	}
}
