package sender

import (
	"context"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

const (
	// endTimeout is how long after this process has ended a run an upstream that has not closed
	// the connection counts as still at work.
	endTimeout = 400 * clock.Millisecond
	// MaxEndTimeout is the longest such time for an upstream that has written before.
	MaxEndTimeout = 1 * clock.Second
)

// Run is what is known of the upstream's work on one call, from the call's connection. The zero
// value is ready to use, for one call.
type Run struct {
	mu sync.Mutex
	// conn is the one connection that may carry the request.
	conn *conn
	// sealed makes all further writes fail.
	sealed bool
	// writeStarted reports whether a write was started, which may have sent bytes.
	writeStarted bool
	// answered reports whether the answer was read to its end.
	answered bool
}

// RunState tells how far an upstream's work on a call is known to have ended.
type RunState int

const (
	// NotStarted means that no byte of the request was sent.
	NotStarted RunState = iota
	// Answered means that the answer was read to its end.
	Answered
	// ClosedByUpstream means that the upstream closed the connection before that.
	ClosedByUpstream
	// Open means that the upstream has neither completed the answer nor closed the connection.
	Open
)

// String returns the state in snake case, as logs show it.
func (s RunState) String() string {
	return [...]string{"not_started", "answered", "closed_by_upstream", "open"}[s]
}

// State returns what is known now.
func (r *Run) State() RunState {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.writeStarted:
		return NotStarted
	case r.answered:
		return Answered
	case r.conn.isClosedByUpstream():
		return ClosedByUpstream
	default:
		return Open
	}
}

// isOpen reports whether the upstream may work on the call for all that is known.
func (r *Run) isOpen() bool { return r.State() == Open }

// AwaitEnd ends a call that has no whole answer and waits until its upstream has stopped working
// on it. It returns false if the upstream has not closed the connection in time, or ctx is done.
func (r *Run) AwaitEnd(ctx context.Context) (known bool) {
	if !r.isOpen() {
		return true
	}
	c := r.connection()
	_ = c.Close()
	select {
	case <-c.gone:
	case <-ctx.Done():
		return false
	}
	if !r.isOpen() {
		return true
	}
	clock.Sleep(ctx, clock.Millis(time.Until(c.presumedEnd()).Milliseconds()))
	return false
}

// IsOverdue reports whether the upstream is silent for clearly longer than it was before its last data, so
// that nothing tells when it will write again.
func (r *Run) IsOverdue() bool {
	return r.isOpen() && r.connection().isOverdue()
}

// AskEnd asks the upstream of a call that was sent to stop, by the end of the sending side. One that looks
// at its connection closes it, which ends the call, and stopped is called before any reader knows. One
// that doesn't look goes on, and its answer is read on. AskEnd returns false if the upstream
// can't be asked, or was asked before.
func (r *Run) AskEnd(stopped func()) (asked bool) {
	return r.isOpen() && r.connection().askEnd(r, stopped)
}

func (r *Run) connection() *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn
}

// startWrite reports whether the call may be written, and records that a write started.
func (r *Run) startWrite() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return false
	}
	r.writeStarted = true
	return true
}

// bind attaches the run to a connection. The first usable one carries the request. Any later
// one comes from a retry of the transport, whose writes must fail, as those on a connection that
// is not usable. It returns false if the connection is not usable because it was closed before.
func (r *Run) bind(c *conn, usable bool) (isOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	isOpen = c.closedAt.IsZero()
	owner := r
	if r.conn != nil || !usable || !isOpen {
		owner = nil
	}
	c.run, c.dataAt, c.pause = owner, time.Now(), 0
	if owner != nil {
		r.conn = c
		c.settled = make(chan struct{})
	}
	return isOpen
}

// seal makes all further writes fail and reports whether one was started.
func (r *Run) seal() (writeStarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return r.writeStarted
}

func (r *Run) setAnswered(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = answered
}
