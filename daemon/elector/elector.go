package elector

import (
	"fmt"

	"yuccaspread/common/clock"
)

// maxClockDrift is the largest deviation of a clock's rate that the election
// tolerates, as a fraction.
const maxClockDrift = 0.01

// Frequencies of renewals and polls.
const (
	// renewalsPerSpan is the number of renewals by the holder within a lease span.
	renewalsPerSpan = 4
	// pollsPerSpan is the number of reads by a contender within a lease span.
	pollsPerSpan = 5
)

// Elector is one contender for the lease. Its exported fields are set before the
// first Step.
type Elector struct {
	// Name identifies this process and is unique to each of its starts.
	Name string
	// Span is the duration of the leases that this contender writes.
	Span clock.Millis

	// callInFlight is set while the result of an effect is awaited, resigned once
	// no lease is wanted.
	callInFlight, resigned bool
	// rowKnown is set once the row was read or written. version and lease are its
	// last known state, seenAt is when this process first saw that version.
	rowKnown bool
	version  int64
	lease    Lease
	seenAt   clock.Millis
	// lastCallAt is when the last effect was returned.
	lastCallAt clock.Millis
	// writeCount is the number of writes of this process, used for nonces.
	writeCount int
	// unconfirmed maps the nonces of writes without a definite result to the
	// times at which they were started.
	unconfirmed map[string]clock.Millis
	lastWrite   Write
	// leaderSince is when the present leadership was won, leaseEnd when it ends
	// unless the lease is renewed.
	leaderSince, leaseEnd clock.Millis
	// mustRead is set if the row has to be read before any other call.
	mustRead bool
}

// Step handles a message and returns the next call to the table, or nil.
func (e *Elector) Step(message Message) Effect {
	switch m := message.(type) {
	case Tick:
		return e.nextCall(m.At)
	case ReadDone:
		e.callInFlight = false
		e.handleRead(m)
		return nil
	case WriteDone:
		e.callInFlight = false
		e.handleWrite(m)
		return e.nextCall(m.At)
	case Resign:
		e.resigned = true
		return e.nextCall(m.At)
	}
	return nil
}

// Leads reports whether this process leads at now and will do so for longer than
// margin.
func (e *Elector) Leads(now, margin clock.Millis) bool {
	return e.isHolder() && !e.resigned && now+margin < e.leaseEnd
}

// Epoch returns the fencing number of the last known lease.
func (e *Elector) Epoch() int64 { return e.lease.Epoch }

// LeaderSince returns when the present leadership was won.
func (e *Elector) LeaderSince() clock.Millis { return e.leaderSince }

// Version returns the last known version of the row. It is the condition of all
// writes that only the leader may make.
func (e *Elector) Version() int64 { return e.version }

// RequireRead makes the next call read the row. The leader calls it when the lease
// may have changed, as after a failed write with the condition Version.
func (e *Elector) RequireRead() { e.mustRead = true }

// isHolder reports whether the last known lease, which may have lapsed, is that
// of this process.
func (e *Elector) isHolder() bool { return e.rowKnown && e.lease.Holder == e.Name }

// nextCall returns the call that is due, or nil.
func (e *Elector) nextCall(now clock.Millis) Effect {
	if e.callInFlight {
		return nil
	}
	switch {
	case !e.rowKnown || e.mustRead:
		return e.readAfter(now, 0)
	case e.resigned && !e.isHolder():
		return nil
	case e.resigned:
		return e.startWrite(now, Lease{Epoch: e.lease.Epoch})
	case e.isHolder() && now < e.leaseEnd:
		if now < e.lastCallAt+e.Span/renewalsPerSpan {
			return nil
		}
		return e.startWrite(now, Lease{Holder: e.Name, Epoch: e.lease.Epoch, Span: e.Span})
	case e.isLeaseFree(now):
		return e.startWrite(now, Lease{Holder: e.Name, Epoch: e.lease.Epoch + 1, Span: e.Span})
	default:
		return e.readAfter(now, e.Span/pollsPerSpan)
	}
}

// isLeaseFree reports whether there is no lease or the last known one has
// certainly ended. Another holder's lease is waited out from when it was first
// seen, with allowance for clock drift. nextCall asks only once a lease of this
// process has lapsed; it is replaced by one with a higher epoch, as any other.
func (e *Elector) isLeaseFree(now clock.Millis) bool {
	if e.version == 0 || e.lease.Holder == "" || e.lease.Holder == e.Name {
		return true
	}
	wait := clock.Millis(float64(e.lease.Span) * (1 + maxClockDrift) / (1 - maxClockDrift))
	return now > e.seenAt+wait
}

// readAfter returns a Read if the last call is at least interval old, and at
// least a quarter of the poll interval.
func (e *Elector) readAfter(now, interval clock.Millis) Effect {
	if e.lastCallAt != 0 && now < e.lastCallAt+max(interval, e.Span/(4*pollsPerSpan)) {
		return nil
	}
	e.callInFlight, e.lastCallAt = true, now
	return Read{}
}

// startWrite returns a Write of lease with a new nonce and records when it was
// started.
func (e *Elector) startWrite(now clock.Millis, lease Lease) Effect {
	e.writeCount++
	lease.Nonce = fmt.Sprintf("%s/%d", e.Name, e.writeCount)
	e.callInFlight, e.lastCallAt = true, now
	e.lastWrite = Write{Version: e.version, Lease: lease}
	if e.unconfirmed == nil {
		e.unconfirmed = map[string]clock.Millis{}
	}
	e.unconfirmed[lease.Nonce] = now
	return e.lastWrite
}

// handleRead updates the known row. A nonce of an unconfirmed write shows that
// this write took effect.
func (e *Elector) handleRead(m ReadDone) {
	if m.Failed {
		return
	}
	e.mustRead = false
	if e.rowKnown && m.Version == e.version {
		return
	}
	startedAt, own := e.unconfirmed[m.Lease.Nonce]
	if own && m.Lease.Holder == e.Name {
		e.adoptOwnWrite(m.At, m.Version, m.Lease, startedAt)
		return
	}
	clear(e.unconfirmed)
	e.rowKnown, e.version, e.lease, e.seenAt = true, m.Version, m.Lease, m.At
	e.leaseEnd = 0
}

// handleWrite updates the known row if the write took effect. Otherwise the row
// has to be read again.
func (e *Elector) handleWrite(m WriteDone) {
	switch {
	case m.Applied:
		e.adoptOwnWrite(m.At, m.Version, e.lastWrite.Lease, e.unconfirmed[e.lastWrite.Lease.Nonce])
	case m.Unknown:
		e.mustRead = true
	default:
		delete(e.unconfirmed, e.lastWrite.Lease.Nonce)
		e.mustRead = true
	}
}

// adoptOwnWrite records a row that this process wrote, starting at startedAt. The
// lease is counted from there, so that it ends no later here than at others.
func (e *Elector) adoptOwnWrite(now clock.Millis, version int64, lease Lease, startedAt clock.Millis) {
	if !e.isHolder() || e.lease.Epoch != lease.Epoch {
		e.leaderSince = now
	}
	clear(e.unconfirmed)
	e.rowKnown, e.version, e.lease, e.seenAt = true, version, lease, now
	e.leaseEnd = startedAt + lease.Span
	if lease.Holder == "" {
		e.leaseEnd = 0
	}
}
