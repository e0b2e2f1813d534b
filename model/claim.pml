/*
 * One key of a request that must run at most once, several daemons and the
 * table. A write whose reply is lost may have taken effect, or may do so later.
 * Every daemon gets the request REPEATS times. It may pause anywhere (spin
 * interleaves all processes) and may crash where the comments say so.
 */
// mutations: BLIND_RELEASE RESEND TRUST_LOST_REPLY BLIND_NOT_RUN ABANDON_ANY BLIND_CLAIM SEND_FIRST RELEASE_SENT

#define REPEATS 2
#define TRIES 2
#define OUTAGES 1
#define CLAIMS 5 /* two daemons * REPEATS + 1; claim 0 is nobody's */

mtype = { Absent, Claimed, Released, Answered }
mtype = { None, Applied, Own, Open, Taken, Refused, Lost }
#define free(s) (s == Absent || s == Released)

#ifdef BLIND_CLAIM
#define CLAIM_BLINDLY true
#else
#define CLAIM_BLINDLY false
#endif
#ifdef BLIND_RELEASE
#define RELEASE_BLINDLY true
#else
#define RELEASE_BLINDLY false
#endif
#ifdef BLIND_NOT_RUN
#define MAY_REFUSE true
#else
#define MAY_REFUSE (up && free(state))
#endif
#ifdef ABANDON_ANY
#define ABANDONS (result == Own || result == Taken)
#else
#define ABANDONS (result == Own)
#endif

/* The row, and whether the table answers. */
byte version = 0;
mtype state = Absent;
byte owner = 0;
bool up = true;

/* Writes on their way whose sender no longer waits. */
chan late = [2] of { byte, mtype, byte, bool };

/* What happened, for the checks alone. */
byte runs = 0;
bool refused[CLAIMS];

/* put is a conditional write; a blind one skips the condition. */
inline put(expected, new, claim, blind) {
	if
	:: version == expected || blind -> version++; state = new; owner = claim
	:: else -> skip
	fi
}

/* write sends a put of this claim. Its result may be Lost whatever happened.
 * A condition that fails reads the row: it is our own claim, open or taken. */
inline write(new, blind) {
	atomic {
		if
		:: !up -> result = Refused
		:: up && (version == expected || blind) ->
			put(expected, new, id, blind);
			if
			:: result = Applied; expected = version
			:: result = Lost
			fi
		:: up && version != expected && !blind ->
			if
			:: owner == id && state == Claimed -> result = Own
			:: owner != id && free(state) -> result = Open
			:: else -> result = Taken
			fi;
			expected = version
		:: up -> result = Lost
		:: up && nfull(late) -> late!expected, new, id, blind; result = Lost
		fi
	}
}

/* refuse says "not run" where the row, read now, allows it. */
inline refuse() {
	atomic {
		if
		:: MAY_REFUSE -> assert(runs == 0); refused[id] = true
		:: else -> skip /* unknown */
		fi
	}
}

/* dispatch is the first byte that goes to an upstream. */
inline dispatch() {
	atomic { assert(!refused[id]); runs++; assert(runs <= 1) }
}

proctype Table() {
	byte e, c; mtype s; bool b;
end:	do
	:: atomic { late?e, s, c, b -> put(e, s, c, b); e = 0; s = 0; c = 0; b = false }
	od
}

proctype Outage() {
	byte n = 0;
end:	do
	:: atomic { up && n < OUTAGES -> up = false; n++ }
	:: atomic { !up -> up = true }
	od
}

proctype Daemon(byte number) {
	byte id, repeat, expected, tries; mtype result = None; bool doubt;
next:	atomic {
		doubt = false; expected = 0; tries = 0; result = None;
		if
		:: repeat < REPEATS -> repeat++; id = number * REPEATS + repeat
		:: else -> goto done
		fi
	}
	/* Repeat check: the row of another claim is joined, or unknown. */
	if
	:: atomic { up && !free(state) -> goto next }
	:: skip /* free, or not read yet */
	fi;
	if
	:: refuse(); goto next /* shed while it waited */
	:: skip
	fi;
#ifdef SEND_FIRST
	dispatch();
#endif
claim:	if
	:: tries < TRIES -> tries++
	:: goto expired /* the deadline came */
	:: goto next /* a crash */
	fi;
	write(Claimed, CLAIM_BLINDLY);
	if
	:: result == Applied || result == Own -> goto claimed
	:: result == Refused || result == Open -> goto claim
	:: result == Lost ->
#ifdef TRUST_LOST_REPLY
		goto claimed
#endif
		doubt = true; goto claim
	:: result == Taken -> refuse(); goto next
	fi;
expired:
	refuse();
	if
	:: !doubt -> goto next
	:: doubt -> tries = 0
	fi;
	/* Give back what may come to exist. */
	write(Released, false);
	if
	:: ABANDONS -> write(Released, false)
	:: else -> skip
	fi;
	goto next;
claimed:
	atomic { doubt = false; tries = 0; result = None }
	if
	:: skip
	:: goto next /* a crash */
	:: goto unsent /* no connection, or the deadline came */
	fi;
	dispatch();
#ifdef RESEND
	if
	:: dispatch() /* no answer came */
	:: skip
	fi;
#endif
#ifdef RELEASE_SENT
	goto unsent;
#endif
	if
	:: write(Answered, false) /* the answer is whole */
	:: skip /* unknown, or a crash */
	fi;
	goto next;
unsent:	write(Released, RELEASE_BLINDLY);
	if
	:: result == Applied -> refuse()
	:: result == Lost && tries < TRIES -> tries++; goto unsent
	:: else -> skip /* unknown */
	fi;
	goto next;
done:	skip
}

init { atomic { run Table(); run Outage(); run Daemon(0); run Daemon(1) } }
