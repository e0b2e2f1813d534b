package forwarder

import (
	"net/http"

	"yuccaspread/common/clock"
)

// attemptEnd is the way in which an attempt ended.
type attemptEnd int

const (
	// completed means that the answer was forwarded to the caller, or that no other
	// attempt may follow because the caller could not be written to.
	completed attemptEnd = iota
	// notSent means that no byte of the request reached an upstream.
	notSent
	// notRun means that the upstream reported that it did not run the request.
	notRun
	// failed means that the upstream ran the request and answered with a failure.
	failed
	// unanswered means that the request was sent and no usable answer came.
	unanswered
	// broken means that the answer ended before it was complete.
	broken
)

// String returns the end in snake case, as logs and metrics show it.
func (e attemptEnd) String() string {
	return [...]string{"whole", "not_sent", "not_run", "failed", "unanswered", "broken"}[e]
}

// Bounds of the attempts of one request.
const (
	// maxTries bounds all attempts, including those that were not sent.
	maxTries = 6
	// defaultRuns bounds the attempts that may have run on an upstream, for a
	// request whose route sets no bound.
	defaultRuns = 3
	// retryPause separates the attempts of one request, so that a fault that
	// fails each attempt immediately does not use them all up at once.
	retryPause = 5 * clock.Millisecond
)

// progress is the state that decides whether a request may be retried.
type progress struct {
	// repeatable reports whether the request may run again, or continue on another
	// upstream, after it may have run.
	repeatable bool
	// maxRuns bounds runs; 0 stands for defaultRuns.
	maxRuns int
	// tries counts all attempts; runs counts those that may have run the request.
	tries, runs int
	// lastEnd is how the last attempt ended, and rejected is set once an upstream has rejected the request.
	lastEnd  attemptEnd
	rejected bool
	// headWritten reports whether the start of an answer was written to the
	// caller; resumable reports whether another upstream can continue that answer.
	headWritten, resumable bool
}

// recordAttempt counts an attempt that ended with e.
func (p *progress) recordAttempt(e attemptEnd) {
	p.tries++
	p.lastEnd = e
	p.rejected = p.rejected || e == notRun
	if e != notSent && e != notRun {
		p.runs++
	}
}

// retryAllowed reports whether another attempt is safe and within the bounds after
// one that ended with e, and whether it counts against the retry budget. A retry
// after a request that was not sent does not, because it adds no load.
func (p *progress) retryAllowed(e attemptEnd) (allowed, usesBudget bool) {
	if p.tries >= maxTries || (p.headWritten && !p.resumable) {
		return false, false
	}
	mayRun := p.repeatable && p.runs < p.runBound()
	switch e {
	case notSent:
		return !p.headWritten || mayRun, false
	case notRun:
		return !p.headWritten || mayRun, true
	case failed, unanswered, broken:
		return mayRun, true
	case completed:
	}
	return false, false
}

// isFailure reports whether an upstream's answer is a failure that a retry on
// another upstream may avoid.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }

// runBound returns the bound on runs.
func (p *progress) runBound() int {
	if p.maxRuns <= 0 {
		return defaultRuns
	}
	return p.maxRuns
}
