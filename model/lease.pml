/*
 * Lease, epoch and orders with a holder that may be paused anywhere.
 *
 * Two contenders compete for a lease row by compare and swap. A reply may be
 * lost after its write took effect, and is then settled by reading the row
 * back. Time is a small counter; a holder may sleep between any two steps, an
 * order may travel after its sender was paused. Upstream 0 checks fencing
 * numbers, upstream 1 ignores them.
 *
 * Claims:
 *  - an epoch has one holder, and two never hold the lease at one time;
 *  - upstream 0 never obeys an order of an epoch below one it has obeyed;
 *  - upstream 1 obeys an order of an old epoch only if its sender was paused
 *    longer than the order's timeout after it had checked its lease, and in the
 *    end both upstreams are as the last leader wants.
 *
 * Without spare time at the check and without the new leader's wait (NO_CARE)
 * upstream 1 is not safe; either alone would do for orders within their
 * timeout, the two together also bear a call that outlives it a little.
 */
// mutations: NO_EPOCH NO_WAIT NO_CARE NO_FENCE NO_RECONCILE LATE_VALID
#define SPAN 2     /* the lease, in ticks */
#define TIMEOUT 1  /* of an order */
#define END 5      /* ticks of a run */
#define NOBODY 2

byte now;
/* the row */
byte version, holder = NOBODY, epoch;
/* what each contender believes: the end of its lease and its epoch */
byte until[2], mine[2], since[2];
/* state of the upstreams: the epoch whose wish they follow, the highest fence */
byte follows[2], fence[2];
byte finished;      /* contenders that have ended */
byte ownerOf[8];    /* the holder of an epoch, plus 1 */

#define holds(i) (until[i] > now)

inline check_holders() {
	assert(!(holds(0) && holds(1)))
}

/* An order reaches an upstream with the number of its sender. */
inline obey(u, number, sent) {
	if
#ifdef NO_FENCE
	:: u == 0 -> assert(number >= fence[0]); fence[0] = (number > fence[0] -> number : fence[0]); follows[0] = number
#else
	:: u == 0 && number >= fence[0] -> fence[0] = number; follows[0] = number
	:: u == 0 && number < fence[0] -> skip
#endif
	:: u == 1 ->
		if
		:: now > sent + TIMEOUT -> skip
		:: else -> assert(number >= fence[1])
		fi;
		fence[1] = (number > fence[1] -> number : fence[1]);
		follows[1] = number
	fi
}

proctype Clock() {
	do
	:: atomic { now < END -> now++ }
	:: now >= END -> break
	od
}

proctype Contender(byte me) {
	byte seen, seenAt, began, old, sent, u;
	bool known;
	do
	:: now >= END -> break
	/* read the row; the wait counts from the first sight of a version */
	:: !holds(me) -> atomic {
		if
		:: !known || seen != version -> seen = version; seenAt = now; known = true; old = epoch
		:: else -> skip
		fi }
	/* take the lease, where it is free as far as was seen */
	:: known && !holds(me) && epoch < 6 &&
#ifdef NO_WAIT
		true
#else
		(seen == 0 || now > seenAt + SPAN)
#endif
		->
		began = now;
		/* a pause may come here */
		atomic {
			if
			:: version == seen ->
				version++;
				holder = me;
#ifdef NO_EPOCH
				epoch = (epoch == 0 -> 1 : epoch);
#else
				epoch = old + 1;
#endif
				assert(ownerOf[epoch] == 0 || ownerOf[epoch] == me + 1);
				ownerOf[epoch] = me + 1;
				seen = version
			:: else -> known = false
			fi
		};
		/* the reply may be lost: the row is read back, perhaps much later */
		atomic {
			if
			:: known && version == seen && holder == me ->
#ifdef LATE_VALID
				until[me] = now + SPAN;
#else
				until[me] = began + SPAN;
#endif
				mine[me] = epoch;
				since[me] = now;
				check_holders()
			:: else -> known = false
			fi
		}
	/* order an upstream: check the lease, perhaps pause, send */
	:: holds(me) && now < END - 1 ->
		select(u : 0 .. 1);
		atomic {
			if
#ifndef NO_CARE
			:: until[me] < now + TIMEOUT -> sent = END
			/* a new leader waits out the older lease and order */
			:: u == 1 && mine[me] > 1 && now <= since[me] + TIMEOUT -> sent = END
#endif
			:: else -> sent = now
			fi
		};
		if
		:: sent < END -> atomic { obey(u, mine[me], sent) }
		:: else -> skip
		fi
	od;
	finished++
}

/* After the end the last leader reads the real state and orders what differs. */
proctype Reconciler() {
	finished == 2;
	if
	:: epoch == 0 -> goto done
	:: else -> skip
	fi;
#ifndef NO_RECONCILE
	atomic {
		if
		:: follows[0] != epoch -> obey(0, epoch, now)
		:: else -> skip
		fi
	};
	atomic {
		if
		:: follows[1] != epoch -> obey(1, epoch, now)
		:: else -> skip
		fi
	};
#endif
	assert(follows[0] == epoch && follows[1] == epoch);
done:	skip
}

init {
	atomic { run Clock(); run Contender(0); run Contender(1); run Reconciler() }
}
