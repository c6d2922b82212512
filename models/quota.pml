/*
 * One bucket of the quota package: holders, grants with lifetimes, lending on,
 * a fence by quorum, a roster change, a pause, loss and a restart without
 * memory. The burst is one token, so at no time may two be usable.
 *
 * Time is a global tick; every lifetime is counted down by the tick. A holder
 * that is paused misses its checks, not its lifetimes. Scaled down: lease 2,
 * grant life 1 at the receiver and 2 at the holder (drift margin 1), settled
 * after lease + holder's life = 4, keep time 1.
 *
 * States as in packages/quota: WAITING, ADDING, FROZEN.
 */
#define LEASE 2
#define LIFE 1
#define LIFE_HOLDER 2
#define SETTLE 4
#define KEEP 1
#define HOSTS 2 /* confirm a revision; a quorum is all of them */
#define HOLDERS 2 /* holder 0 under revision 0, holder 1 under revision 1 */
#define GRANTS 2

#define WAITING 0
#define ADDING 1
#define FROZEN 2

/* What each host confirms, and for how many ticks it has done so. */
byte revision[HOSTS];
byte held_for[HOSTS];
/* Ticks for which holder h still counts the confirmation of host i. */
byte confirmed[HOLDERS * HOSTS];

byte state[HOLDERS];
byte level[HOLDERS];
byte out[HOLDERS]; /* outstanding, own tokens */
byte out_left[HOLDERS]; /* ticks until the holder expires it */
byte since_held[HOLDERS];
byte uptime[HOLDERS];
bool paused[HOLDERS];

/* A grant: 0 none, 1 reply in flight, 2 at the receiver. */
byte grant[GRANTS];
byte grant_left[GRANTS]; /* ticks at the receiver, from its ask */
bool lent_on[GRANTS]; /* granted on by a borrower */

inline count_quorum(h, quorum, settled)
{
	quorum = 0;
	settled = 0;
	i = 0;
	do
	:: i < HOSTS ->
		if
		:: confirmed[h * HOSTS + i] > 0 ->
			quorum++;
			if
			:: revision[i] == h && held_for[i] >= SETTLE ->
				settled++
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline usable(total)
{
	total = 0;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: state[i] != WAITING && since_held[i] <= KEEP ->
			total = total + level[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < GRANTS ->
		if
		:: grant[i] != 0 && grant_left[i] > 0 -> total++
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* A heartbeat reply of host n reaches holder h; the lifetime counts from the
 * holder's own request. */
inline confirm(h, n)
{
	if
	:: revision[n] == h -> confirmed[h * HOSTS + n] = LEASE
	:: else
	fi
}

inline check_fence(h)
{
	count_quorum(h, quorum, settled);
	if
	:: state[h] != WAITING && since_held[h] > KEEP ->
		state[h] = WAITING;
		level[h] = 0
	:: else
	fi;
	if
	:: state[h] != WAITING && quorum == HOSTS ->
		state[h] = ADDING;
		since_held[h] = 0
	:: state[h] == ADDING && quorum < HOSTS -> state[h] = FROZEN
#ifdef BROKEN
	/* A new holder that does not wait for the settled fence. */
	:: state[h] == WAITING && quorum == HOSTS ->
#else
	:: state[h] == WAITING && settled == HOSTS &&
		uptime[h] >= LIFE_HOLDER ->
#endif
		state[h] = ADDING;
		since_held[h] = 0
	:: else
	fi
}

inline add_token(h)
{
	if
	:: state[h] == ADDING && level[h] + out[h] < 1 -> level[h] = 1
	:: else
	fi
}

inline send_grant(h)
{
	if
	:: state[h] == ADDING && level[h] == 1 ->
		i = 0;
		do
		:: i < GRANTS && grant[i] != 0 -> i++
		:: else -> break
		od;
		if
		:: i < GRANTS ->
			level[h] = 0;
			out[h] = 1;
			out_left[h] = LIFE_HOLDER;
			grant[i] = 1;
			grant_left[i] = LIFE;
			lent_on[i] = false
		:: else
		fi
	:: else
	fi
}

/* Reply lost, received, or lent on within its own lifetime; a grant is then
 * used or expires. Use is not reported: the holder waits for the expiry. */
inline move_grant(g)
{
	if
	:: grant[g] == 1 -> grant[g] = 0
	:: grant[g] == 1 -> grant[g] = 2
	:: grant[g] == 2 && !lent_on[g] -> lent_on[g] = true
	:: grant[g] == 2 -> grant[g] = 0
	:: else
	fi
}

inline tick_all()
{
	i = 0;
	do
	:: i < HOLDERS * HOSTS ->
		if
		:: confirmed[i] > 0 -> confirmed[i] = confirmed[i] - 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < HOSTS ->
		if
		:: held_for[i] < SETTLE -> held_for[i] = held_for[i] + 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < HOLDERS ->
		if
		:: since_held[i] <= KEEP -> since_held[i] = since_held[i] + 1
		:: else
		fi;
		if
		:: uptime[i] < LIFE_HOLDER -> uptime[i] = uptime[i] + 1
		:: else
		fi;
		if
		:: out_left[i] > 0 ->
			out_left[i] = out_left[i] - 1;
			if
			:: out_left[i] == 0 -> out[i] = 0
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
		:: grant_left[i] == 0 -> grant[i] = 0
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* A host adopts revision 1; it confirms one revision at a time. */
inline adopt(n)
{
	if
	:: revision[n] == 0 ->
		revision[n] = 1;
		held_for[n] = 0
	:: else
	fi
}

/* A holder restarts without memory; its grants live on. */
inline restart(h)
{
	state[h] = WAITING;
	level[h] = 0;
	out[h] = 0;
	out_left[h] = 0;
	uptime[h] = 0;
	paused[h] = false;
	i = 0;
	do
	:: i < HOSTS -> confirmed[h * HOSTS + i] = 0; i++
	:: else -> break
	od
}

/* One step of a holder that runs: it checks the fence before it acts. */
inline step_holder(h)
{
	check_fence(h);
	if
	:: true -> add_token(h)
	:: true -> send_grant(h)
	fi
}

init {
	byte i;
	byte quorum;
	byte settled;
	byte total;
	byte n;

	/* Holder 0 has held the bucket for long under revision 0. */
	atomic {
		n = 0;
		do
		:: n < HOSTS ->
			held_for[n] = SETTLE;
			confirmed[n] = LEASE;
			n++
		:: else -> break
		od;
		state[0] = ADDING;
		level[0] = 1;
		uptime[0] = LIFE_HOLDER;
		uptime[1] = LIFE_HOLDER;
		since_held[1] = KEEP + 1
	}
	do
	:: atomic {
		if
		:: true -> tick_all()
		:: !paused[0] -> step_holder(0)
		:: !paused[1] -> step_holder(1)
		:: select(n : 0 .. HOSTS - 1);
			if
			:: !paused[0] -> confirm(0, n)
			:: !paused[1] -> confirm(1, n)
			:: true -> adopt(n)
			fi
		:: true -> move_grant(0)
		:: true -> move_grant(1)
		:: paused[0] = !paused[0]
		:: paused[1] = !paused[1]
		:: true -> restart(0)
		:: true -> restart(1)
		fi;
		usable(total);
		assert(total <= 1);
		i = 0;
		do
		:: i < HOLDERS ->
			assert(level[i] + out[i] <= 1);
			i++
		:: else -> break
		od;
		i = 0;
		n = 0;
		quorum = 0;
		settled = 0;
		total = 0
	}
	od
}
