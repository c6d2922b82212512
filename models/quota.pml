/*
 * Model of one token bucket of the quota package: two holders, of which the
 * second takes over after a roster change, a fence that needs a quorum, and
 * grants that expire. Holders may be paused, or restart without memory;
 * messages may be lost; a host may grant tokens on that were granted to it.
 *
 * Checked: the burst is one token, so at no time are two tokens usable, and no
 * holder has more than one token, granted or not.
 *
 * Time advances by a global tick, which counts down every lifetime. The
 * lifetimes of a paused holder go on, but it does not check its fence. The
 * times are scaled down: a lease of 2 ticks; a grant that lives for 1 tick at
 * the receiver and for 2 at the holder, because of a drift margin of 1; a fence
 * that is settled after the lease and the grant's life at the holder, 4 ticks;
 * and a grace period of 1 tick.
 *
 * With BROKEN, a new or restarted holder adds tokens as soon as it holds the
 * fence, before the fence is settled and earlier grants have expired.
 *
 * The states have the names used in packages/quota. WAITING: no tokens until
 * the fence is settled. ADDING: the level grows. FROZEN: the fence is lost; the
 * level is kept for the grace period, but neither grows nor is granted.
 */
/* Times in ticks. */
#define LEASE_TICKS 2 /* life of a host's confirmation at a holder */
#define GRANT_LIFE 1 /* at the receiver */
#define GRANT_LIFE_HOLDER 2 /* at the holder */
#define SETTLE_TICKS 4
#define FENCE_GRACE 1
#define HOSTS 2 /* they confirm a revision; a quorum is all of them */
#define HOLDERS 2 /* holder i holds the bucket under revision i */
#define GRANTS 2 /* at most, at the same time */

/* States of a holder. */
#define WAITING 0
#define ADDING 1
#define FROZEN 2

/* States of a grant. */
#define GRANT_NONE 0
#define GRANT_IN_FLIGHT 1 /* the reply is on its way */
#define GRANT_RECEIVED 2

/* The revision that each host confirms, and for how many ticks it has confirmed
 * it, at most SETTLE_TICKS. */
byte confirmed_revision[HOSTS];
byte confirmed_ticks[HOSTS];
/* Ticks for which holder h still counts the confirmation of host i, at index
 * h * HOSTS + i. */
byte confirmation_left[HOLDERS * HOSTS];

/* By holder. */
byte state[HOLDERS];
byte level[HOLDERS]; /* tokens that can be granted */
byte outstanding[HOLDERS]; /* tokens granted and not expired at the holder */
byte outstanding_left[HOLDERS]; /* ticks until they expire at the holder */
byte ticks_since_fence[HOLDERS]; /* since the fence was seen held */
byte uptime[HOLDERS]; /* ticks since the start, at most GRANT_LIFE_HOLDER */
bool paused[HOLDERS];

/* By grant. Each is for one token. */
byte grant_state[GRANTS];
byte grant_left[GRANTS]; /* ticks until it expires at the receiver */
bool granted_on[GRANTS]; /* the receiver has granted the token on */

/* Counts the hosts whose confirmation the holder counts, and those of them that
 * have confirmed its revision for SETTLE_TICKS. */
inline count_confirmations(holder, confirmations, settled_confirmations)
{
	confirmations = 0;
	settled_confirmations = 0;
	i = 0;
	do
	:: i < HOSTS ->
		if
		:: confirmation_left[holder * HOSTS + i] > 0 ->
			confirmations++;
			if
			:: confirmed_revision[i] == holder &&
				confirmed_ticks[i] >= SETTLE_TICKS ->
				settled_confirmations++
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* Counts the tokens of holders that have not been without the fence for longer
 * than the grace period, and of unexpired grants, also those in flight. */
inline count_usable_tokens(usable)
{
	usable = 0;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: state[i] != WAITING &&
			ticks_since_fence[i] <= FENCE_GRACE ->
			usable = usable + level[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < GRANTS ->
		if
		:: grant_state[i] != GRANT_NONE && grant_left[i] > 0 ->
			usable++
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* A heartbeat reply of the host reaches the holder. The lease counts from the
 * time of the holder's request. */
inline receive_confirmation(holder, host)
{
	if
	:: confirmed_revision[host] == holder ->
		confirmation_left[holder * HOSTS + host] = LEASE_TICKS
	:: else
	fi
}

/* Updates the state of a holder from its fence. */
inline check_fence(holder)
{
	count_confirmations(holder, confirmations, settled_confirmations);
	if
	:: state[holder] != WAITING &&
		ticks_since_fence[holder] > FENCE_GRACE ->
		state[holder] = WAITING;
		level[holder] = 0
	:: else
	fi;
	if
	:: state[holder] != WAITING && confirmations == HOSTS ->
		state[holder] = ADDING;
		ticks_since_fence[holder] = 0
	:: state[holder] == ADDING && confirmations < HOSTS ->
		state[holder] = FROZEN
#ifdef BROKEN
	/* Does not wait until the fence is settled. */
	:: state[holder] == WAITING && confirmations == HOSTS ->
#else
	:: state[holder] == WAITING && settled_confirmations == HOSTS &&
		uptime[holder] >= GRANT_LIFE_HOLDER ->
#endif
		state[holder] = ADDING;
		ticks_since_fence[holder] = 0
	:: else
	fi
}

/* Adds a token unless the holder has one, granted or not. */
inline add_token(holder)
{
	if
	:: state[holder] == ADDING && level[holder] + outstanding[holder] < 1 ->
		level[holder] = 1
	:: else
	fi
}

/* Grants the token of the holder, if fewer than GRANTS grants exist. */
inline send_grant(holder)
{
	if
	:: state[holder] == ADDING && level[holder] == 1 ->
		i = 0;
		do
		:: i < GRANTS && grant_state[i] != GRANT_NONE -> i++
		:: else -> break
		od;
		if
		:: i < GRANTS ->
			level[holder] = 0;
			outstanding[holder] = 1;
			outstanding_left[holder] = GRANT_LIFE_HOLDER;
			grant_state[i] = GRANT_IN_FLIGHT;
			grant_left[i] = GRANT_LIFE;
			granted_on[i] = false
		:: else
		fi
	:: else
	fi
}

/* One step of a grant: its reply is lost or received, or the receiver uses the
 * token or grants it on, within the lifetime of the grant. The use is not
 * reported to the holder, which waits until the grant expires. */
inline step_grant(grant)
{
	if
	:: grant_state[grant] == GRANT_IN_FLIGHT ->
		grant_state[grant] = GRANT_NONE
	:: grant_state[grant] == GRANT_IN_FLIGHT ->
		grant_state[grant] = GRANT_RECEIVED
	:: grant_state[grant] == GRANT_RECEIVED && !granted_on[grant] ->
		granted_on[grant] = true
	:: grant_state[grant] == GRANT_RECEIVED ->
		grant_state[grant] = GRANT_NONE
	:: else
	fi
}

/* Advances the time by one tick. */
inline advance_clock()
{
	i = 0;
	do
	:: i < HOLDERS * HOSTS ->
		if
		:: confirmation_left[i] > 0 ->
			confirmation_left[i] = confirmation_left[i] - 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < HOSTS ->
		if
		:: confirmed_ticks[i] < SETTLE_TICKS ->
			confirmed_ticks[i] = confirmed_ticks[i] + 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: ticks_since_fence[i] <= FENCE_GRACE ->
			ticks_since_fence[i] = ticks_since_fence[i] + 1
		:: else
		fi;
		if
		:: uptime[i] < GRANT_LIFE_HOLDER -> uptime[i] = uptime[i] + 1
		:: else
		fi;
		if
		:: outstanding_left[i] > 0 ->
			outstanding_left[i] = outstanding_left[i] - 1;
			if
			:: outstanding_left[i] == 0 -> outstanding[i] = 0
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < GRANTS ->
		if
		:: grant_left[i] > 0 -> grant_left[i] = grant_left[i] - 1
		:: else
		fi;
		if
		:: grant_left[i] == 0 -> grant_state[i] = GRANT_NONE
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* The host adopts the roster of revision 1. It confirms one revision at a time.
 */
inline adopt_roster(host)
{
	if
	:: confirmed_revision[host] == 0 ->
		confirmed_revision[host] = 1;
		confirmed_ticks[host] = 0
	:: else
	fi
}

/* The holder restarts without memory. Its grants remain valid. */
inline restart_holder(holder)
{
	state[holder] = WAITING;
	level[holder] = 0;
	outstanding[holder] = 0;
	outstanding_left[holder] = 0;
	uptime[holder] = 0;
	paused[holder] = false;
	i = 0;
	do
	:: i < HOSTS ->
		confirmation_left[holder * HOSTS + i] = 0;
		i++
	:: else -> break
	od
}

/* One step of a holder that is not paused. It checks the fence before it acts.
 */
inline step_holder(holder)
{
	check_fence(holder);
	if
	:: true -> add_token(holder)
	:: true -> send_grant(holder)
	fi
}

init {
	byte i;
	byte confirmations;
	byte settled_confirmations;
	byte usable;
	byte host;

	/* Initially holder 0 has the bucket, under revision 0, with a settled
	 * fence and a token. */
	atomic {
		host = 0;
		do
		:: host < HOSTS ->
			confirmed_ticks[host] = SETTLE_TICKS;
			confirmation_left[host] = LEASE_TICKS;
			host++
		:: else -> break
		od;
		state[0] = ADDING;
		level[0] = 1;
		uptime[0] = GRANT_LIFE_HOLDER;
		uptime[1] = GRANT_LIFE_HOLDER;
		ticks_since_fence[1] = FENCE_GRACE + 1
	}
	do
	:: atomic {
		if
		:: true -> advance_clock()
		:: !paused[0] -> step_holder(0)
		:: !paused[1] -> step_holder(1)
		:: select(host : 0 .. HOSTS - 1);
			if
			:: !paused[0] -> receive_confirmation(0, host)
			:: !paused[1] -> receive_confirmation(1, host)
			:: true -> adopt_roster(host)
			fi
		:: true -> step_grant(0)
		:: true -> step_grant(1)
		:: paused[0] = !paused[0]
		:: paused[1] = !paused[1]
		:: true -> restart_holder(0)
		:: true -> restart_holder(1)
		fi;
		/* The invariants. */
		count_usable_tokens(usable);
		assert(usable <= 1);
		i = 0;
		do
		:: i < HOLDERS ->
			assert(level[i] + outstanding[i] <= 1);
			i++
		:: else -> break
		od;
		/* Resets the variables of this step, so that they do not make
		 * more states. */
		i = 0;
		host = 0;
		confirmations = 0;
		settled_confirmations = 0;
		usable = 0
	}
	od
}
