package follower

import "yuccaspread/common/clock"

// rewriteGrace is how long writers may take to write their rows again after the
// register has recovered: two seconds, and 200 ms for the change to arrive here.
const rewriteGrace = 2200 * clock.Millisecond

// lapseTracker keeps upstreams in use whose rows lapsed because of an outage of the
// register: the register drops rows that their writers could not renew, and the
// writers add them again soon after its recovery. The zero value is ready to use.
type lapseTracker struct {
	// failing is set if the last call to the register failed.
	failing bool
	// recoveredAt is when the register answered again after failed calls, or when a
	// mass removal showed that it had an outage; 0 for never.
	recoveredAt clock.Millis
	// held holds the lapsed rows that still count as present, by key.
	held map[string]heldRow
}

type heldRow struct {
	value []byte
	// removalVersion is the version at which the row was removed.
	removalVersion Version
	// expiresAt is when the row is dropped unless it was written again.
	expiresAt clock.Millis
}

// noteFailure records a failed call to the register.
func (l *lapseTracker) noteFailure() { l.failing = true }

// noteSuccess records a call that the register answered.
func (l *lapseTracker) noteSuccess(now clock.Millis) {
	if l.failing {
		l.failing, l.recoveredAt = false, now
	}
}

// noteMassRemoval records that most rows were removed at once. Writers that leave
// don't explain that: the register had an outage although no call has failed.
func (l *lapseTracker) noteMassRemoval(now clock.Millis) { l.recoveredAt = now }

// noteRestore records that the register was restored from a copy: rows that were written since
// the copy are missing until they are written again.
func (l *lapseTracker) noteRestore(now clock.Millis) { l.recoveredAt = now }

// noteChange records a change that was read from the register. A row that is
// removed within rewriteGrace after the recovery is held until the end of it.
func (l *lapseTracker) noteChange(now clock.Millis, c Change) {
	if !c.Removed {
		delete(l.held, c.Key)
		return
	}
	if l.recoveredAt == 0 || now >= l.recoveredAt+rewriteGrace || len(c.OldValue) == 0 {
		return
	}
	if l.held == nil {
		l.held = map[string]heldRow{}
	}
	l.held[c.Key] = heldRow{value: c.OldValue, removalVersion: c.Version, expiresAt: l.recoveredAt + rewriteGrace}
}

// nextExpiry returns when the first held row expires, 0 if none is held.
func (l *lapseTracker) nextExpiry() (earliest clock.Millis) {
	for _, row := range l.held {
		if earliest == 0 || row.expiresAt < earliest {
			earliest = row.expiresAt
		}
	}
	return earliest
}

// settledVersion returns the highest version, at most newest, up to which no removed
// row is held.
func (l *lapseTracker) settledVersion(newest Version) Version {
	for _, row := range l.held {
		newest = min(newest, row.removalVersion-1)
	}
	return newest
}

// expire drops the held rows whose time is over and reports whether there were any.
func (l *lapseTracker) expire(now clock.Millis) (expired bool) {
	for key, row := range l.held {
		if now >= row.expiresAt {
			delete(l.held, key)
			expired = true
		}
	}
	return expired
}
