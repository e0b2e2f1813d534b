package elector

import (
	"fmt"

	"yuccaspread/common/clock"
)

// drift bounds how much faster or slower than another a clock may run, as a
// share.
const drift = 0.01

// Parts of the lease's span.
const (
	// renewParts is how many times a holder renews within a span.
	renewParts = 4
	// pollParts is how many times a contender reads within a span.
	pollParts = 5
)

// Elector is one contender. Its exported fields are set before the first Step.
type Elector struct {
	// Name is unique to this run of this process.
	Name string
	// Span is the lease that this contender writes.
	Span clock.Millis

	// busy tells that an effect is out; resigned that no lease is wanted.
	busy, resigned bool
	// known tells that version and lease are what the table held at seen.
	known   bool
	version int64
	lease   Lease
	seen    clock.Millis
	// asked is when the last effect was returned.
	asked clock.Millis
	// writes counts the writes of this process.
	writes int
	// pending maps the nonces of writes without a clear answer to when each
	// was begun.
	pending map[string]clock.Millis
	out     Write
	// since is when the present leadership was won, until its end.
	since, until clock.Millis
	// refresh asks for a read at once.
	refresh bool
}

// Step takes a message and returns the next call to the table, or nil.
func (e *Elector) Step(message Message) Effect {
	switch m := message.(type) {
	case Tick:
		return e.next(m.At)
	case ReadDone:
		e.busy = false
		e.read(m)
		return nil
	case WriteDone:
		e.busy = false
		e.wrote(m)
		return e.next(m.At)
	case Resign:
		e.resigned = true
		return e.next(m.At)
	}
	return nil
}

// Leads tells whether this process leads at now and for at least spare longer.
func (e *Elector) Leads(now, spare clock.Millis) bool {
	return e.mine() && !e.resigned && now+spare < e.until
}

// Epoch returns the fencing number of the present leadership.
func (e *Elector) Epoch() int64 { return e.lease.Epoch }

// Since returns when the present leadership was won.
func (e *Elector) Since() clock.Millis { return e.since }

// Version returns the version of the row, a condition for all writes that
// only the leader may make.
func (e *Elector) Version() int64 { return e.version }

// Doubt tells that a write with the condition Version failed, so that the row
// has to be read again.
func (e *Elector) Doubt() { e.refresh = true }

func (e *Elector) mine() bool { return e.known && e.lease.Holder == e.Name }

func (e *Elector) next(now clock.Millis) Effect {
	if e.busy {
		return nil
	}
	switch {
	case !e.known || e.refresh:
		return e.readAfter(now, 0)
	case e.resigned && !e.mine():
		return nil
	case e.resigned:
		return e.write(now, Lease{Epoch: e.lease.Epoch})
	case e.mine() && now < e.until:
		if now < e.asked+e.Span/renewParts {
			return nil
		}
		return e.write(now, Lease{Holder: e.Name, Epoch: e.lease.Epoch, Span: e.Span})
	case e.free(now):
		return e.write(now, Lease{Holder: e.Name, Epoch: e.lease.Epoch + 1, Span: e.Span})
	default:
		return e.readAfter(now, e.Span/pollParts)
	}
}

// free tells whether the lease that was seen has surely ended. A lapsed lease
// of this process is taken anew with a higher epoch, as any other.
func (e *Elector) free(now clock.Millis) bool {
	if e.version == 0 || e.lease.Holder == "" || e.lease.Holder == e.Name {
		return true
	}
	wait := clock.Millis(float64(e.lease.Span) * (1 + drift) / (1 - drift))
	return now > e.seen+wait
}

func (e *Elector) readAfter(now, span clock.Millis) Effect {
	if e.asked != 0 && now < e.asked+max(span, e.Span/(4*pollParts)) {
		return nil
	}
	e.busy, e.asked = true, now
	return Read{}
}

func (e *Elector) write(now clock.Millis, lease Lease) Effect {
	e.writes++
	lease.Nonce = fmt.Sprintf("%s/%d", e.Name, e.writes)
	e.busy, e.asked = true, now
	e.out = Write{Version: e.version, Lease: lease}
	if e.pending == nil {
		e.pending = map[string]clock.Millis{}
	}
	e.pending[lease.Nonce] = now
	return e.out
}

func (e *Elector) read(m ReadDone) {
	if m.Failed {
		return
	}
	e.refresh = false
	if e.known && m.Version == e.version {
		return
	}
	began, own := e.pending[m.Lease.Nonce]
	if own && m.Lease.Holder == e.Name {
		e.hold(m.At, m.Version, m.Lease, began)
		return
	}
	clear(e.pending)
	e.known, e.version, e.lease, e.seen = true, m.Version, m.Lease, m.At
	e.until = 0
}

func (e *Elector) wrote(m WriteDone) {
	switch {
	case m.Applied:
		e.hold(m.At, m.Version, e.out.Lease, e.pending[e.out.Lease.Nonce])
	case m.Unknown:
		e.refresh = true
	default:
		delete(e.pending, e.out.Lease.Nonce)
		e.refresh = true
	}
}

// hold takes a row that this process wrote, beginning at began.
func (e *Elector) hold(now clock.Millis, version int64, lease Lease, began clock.Millis) {
	if !e.mine() || e.lease.Epoch != lease.Epoch {
		e.since = now
	}
	clear(e.pending)
	e.known, e.version, e.lease, e.seen = true, version, lease, now
	e.until = began + lease.Span
	if lease.Holder == "" {
		e.until = 0
	}
}
