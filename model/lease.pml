/*
 * Leader lease, epochs and orders, with a holder that may be paused anywhere.
 *
 * Two contenders compete for a lease row by compare and swap. A reply may be
 * lost after its write took effect; the contender then reads the row back to learn
 * the outcome. Time is a small counter. A holder may be paused between any two
 * steps, and an order may still be in transit after its sender was paused.
 * Upstream 0 checks fencing numbers, upstream 1 ignores them.
 *
 * Properties, as assertions:
 *  - an epoch has one holder, and no two contenders hold the lease at one time;
 *  - upstream 0 never obeys an order of an epoch below one it has obeyed;
 *  - upstream 1 obeys an order of an old epoch only if its sender was paused for
 *    longer than the order's timeout after it had checked its lease, and in the
 *    end both upstreams are in the state that the last leader wants.
 *
 * Two margins protect upstream 1: the holder sends an order only if its lease lasts
 * for at least the order's timeout, and a new leader waits that long before its
 * first order to upstream 1. Without both (NO_TIME_MARGINS) upstream 1 is not safe. Either alone
 * is enough for orders that arrive within their timeout; both together also
 * tolerate a call that outlives its timeout a little.
 *
 * Mutations, each of which must violate a property:
 *  - NO_EPOCH: a new lease keeps the epoch of the old one;
 *  - NO_WAIT: a contender takes the lease without waiting for it to expire;
 *  - NO_TIME_MARGINS: orders are sent without the two margins above;
 *  - NO_FENCE: upstream 0 obeys whatever the fencing number is;
 *  - NO_RECONCILE: the last leader does not correct the upstreams' state;
 *  - LEASE_FROM_REPLY: the holder counts the lease from the reply instead of from
 *    the start of the write.
 */
// mutations: NO_EPOCH NO_WAIT NO_TIME_MARGINS NO_FENCE NO_RECONCILE LEASE_FROM_REPLY
#define LEASE_TICKS 2   /* duration of a lease */
#define ORDER_TIMEOUT 1 /* in ticks */
#define END_TICK 5      /* duration of a run, in ticks */
#define NOBODY 2

byte now; /* in ticks */
/* the lease row */
byte version, holder = NOBODY, epoch;
/* local state of each contender: the end of its lease, its epoch, and when it
 * learnt that it holds the lease */
byte lease_end[2], held_epoch[2], acquired_at[2];
/* state of each upstream: the epoch of the order obeyed last, and the highest
 * fencing number seen */
byte obeyed_epoch[2], highest_fence[2];
byte finished;       /* contenders that have ended */
byte epoch_owner[8]; /* the holder of an epoch, plus 1; 0 means none */

#define holds_lease(i) (lease_end[i] > now)

inline assert_single_holder() {
	assert(!(holds_lease(0) && holds_lease(1)))
}

/* An order of an epoch, which is its fencing number, reaches an upstream. */
inline deliver_order(upstream, order_epoch, sent_at) {
	if
#ifdef NO_FENCE
	:: upstream == 0 -> assert(order_epoch >= highest_fence[0]); highest_fence[0] = (order_epoch > highest_fence[0] -> order_epoch : highest_fence[0]); obeyed_epoch[0] = order_epoch
#else
	:: upstream == 0 && order_epoch >= highest_fence[0] -> highest_fence[0] = order_epoch; obeyed_epoch[0] = order_epoch
	:: upstream == 0 && order_epoch < highest_fence[0] -> skip
#endif
	:: upstream == 1 ->
		if
		:: now > sent_at + ORDER_TIMEOUT -> skip
		:: else -> assert(order_epoch >= highest_fence[1])
		fi;
		highest_fence[1] = (order_epoch > highest_fence[1] -> order_epoch : highest_fence[1]);
		obeyed_epoch[1] = order_epoch
	fi
}

proctype Clock() {
	do
	:: atomic { now < END_TICK -> now++ }
	:: now >= END_TICK -> break
	od
}

proctype Contender(byte me) {
	byte seen_version, seen_at, write_started, seen_epoch, sent_at, upstream;
	bool row_known;
	do
	:: now >= END_TICK -> break
	/* read the row; the wait starts when a version is first seen */
	:: !holds_lease(me) -> atomic {
		if
		:: !row_known || seen_version != version -> seen_version = version; seen_at = now; row_known = true; seen_epoch = epoch
		:: else -> skip
		fi }
	/* write the lease if the row was never written, or its version has not changed
	 * for longer than a lease */
	:: row_known && !holds_lease(me) && epoch < 6 &&
#ifdef NO_WAIT
		true
#else
		(seen_version == 0 || now > seen_at + LEASE_TICKS)
#endif
		->
		write_started = now;
		/* a pause may come here */
		atomic {
			if
			:: version == seen_version ->
				version++;
				holder = me;
#ifdef NO_EPOCH
				epoch = (epoch == 0 -> 1 : epoch);
#else
				epoch = seen_epoch + 1;
#endif
				assert(epoch_owner[epoch] == 0 || epoch_owner[epoch] == me + 1);
				epoch_owner[epoch] = me + 1;
				seen_version = version
			:: else -> row_known = false
			fi
		};
		/* the reply may be lost: the row is read back, possibly much later */
		atomic {
			if
			:: row_known && version == seen_version && holder == me ->
#ifdef LEASE_FROM_REPLY
				lease_end[me] = now + LEASE_TICKS;
#else
				lease_end[me] = write_started + LEASE_TICKS;
#endif
				held_epoch[me] = epoch;
				acquired_at[me] = now;
				assert_single_holder()
			:: else -> row_known = false
			fi
		}
	/* send an order to an upstream: check the lease, possibly pause, send */
	:: holds_lease(me) && now < END_TICK - 1 ->
		select(upstream : 0 .. 1);
		atomic {
			if
#ifndef NO_TIME_MARGINS
			:: lease_end[me] < now + ORDER_TIMEOUT -> sent_at = END_TICK
			/* a new leader waits until orders of the older lease have timed out */
			:: upstream == 1 && held_epoch[me] > 1 && now <= acquired_at[me] + ORDER_TIMEOUT -> sent_at = END_TICK
#endif
			:: else -> sent_at = now
			fi
		};
		if
		:: sent_at < END_TICK -> atomic { deliver_order(upstream, held_epoch[me], sent_at) }
		:: else -> skip
		fi
	od;
	finished++
}

/* After the run the last leader reads the actual state of the upstreams and sends
 * an order to each whose state differs. */
proctype Reconciler() {
	finished == 2;
	if
	:: epoch == 0 -> goto done
	:: else -> skip
	fi;
#ifndef NO_RECONCILE
	atomic {
		if
		:: obeyed_epoch[0] != epoch -> deliver_order(0, epoch, now)
		:: else -> skip
		fi
	};
	atomic {
		if
		:: obeyed_epoch[1] != epoch -> deliver_order(1, epoch, now)
		:: else -> skip
		fi
	};
#endif
	assert(obeyed_epoch[0] == epoch && obeyed_epoch[1] == epoch);
done:	skip
}

init {
	atomic { run Clock(); run Contender(0); run Contender(1); run Reconciler() }
}
