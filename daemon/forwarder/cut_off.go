package forwarder

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Survey collects what the attempts tell of this daemon's paths to the upstreams. It is safe for
// concurrent use.
type Survey interface {
	// Reached records an answer, or data of one, from an upstream.
	Reached(upstream string)
	// Unreached records a connection to an upstream that could not be opened, or one that broke or was
	// given up without an answer.
	Unreached(upstream string)
	// IsCutOff reports whether this daemon is taken to have no path to any upstream.
	IsCutOff() bool
}

// errCutOff is the cancellation cause of a wait or an attempt of a daemon that has no path to any
// upstream.
var errCutOff = errors.New("this daemon reaches no upstream")

// cutCheckInterval is the time between two looks at whether this daemon is cut off. An attempt that got
// no data from one look to the next is ended.
const cutCheckInterval = 100 * clock.Millisecond

func (f *Forwarder) isCutOff() bool { return f.Survey != nil && f.Survey.IsCutOff() }

// reached records an answer, or data of one, from an upstream.
func (f *Forwarder) reached(upstream string) {
	if f.Survey != nil && upstream != "" {
		f.Survey.Reached(upstream)
	}
}

// wasEndedHere reports whether the caller or this daemon ended an attempt, which then tells nothing of its
// upstream.
func wasEndedHere(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errSilent) && !errors.Is(cause, context.DeadlineExceeded)
}

// recordUnreached records an attempt whose connection could not be opened, or broke or was given up
// without an answer. One that the caller or this daemon ended is no evidence, unless the upstream was
// silent until then.
func (r *requestState) recordUnreached(ctx context.Context, upstream string, sent bool) {
	if wasEndedHere(ctx) {
		return
	}
	if !sent && !slices.Contains(r.unreached, upstream) {
		r.unreached = append(r.unreached, upstream)
	}
	if r.Survey != nil {
		r.Survey.Unreached(upstream)
	}
}

// recordBroken records an answer that had begun and whose connection broke.
func (r *requestState) recordBroken(ctx context.Context, upstream string, end attemptEnd) {
	if r.Survey != nil && end == broken && ctx.Err() == nil && r.lastRun.State() == sender.ClosedByUpstream {
		r.Survey.Unreached(upstream)
	}
}

// awaitCut calls cut each time that this daemon is found to be cut off, until cut returns true or ctx ends.
func (r *requestState) awaitCut(ctx context.Context, cut func() (done bool)) {
	for clock.Sleep(ctx, cutCheckInterval) {
		if r.isCutOff() && cut() {
			return
		}
	}
}

// endWhenCutOff returns a context that ends with the cause errCutOff if this daemon is found to be cut off
// while the request can be passed on to another one.
func (r *requestState) endWhenCutOff(ctx context.Context) (bounded context.Context, cancel context.CancelFunc) {
	if r.Survey == nil || !r.mayDelegate() {
		return context.WithCancel(ctx)
	}
	bounded, cancelCause := context.WithCancelCause(ctx)
	go r.awaitCut(bounded, func() bool {
		cancelCause(errCutOff)
		return true
	})
	return bounded, func() { cancelCause(nil) }
}

// payRetry takes a retry from the budget for an attempt that is about to be ended.
func (r *requestState) payRetry() bool {
	if !r.Budget.TakeRetry(r.req.Pool) {
		return false
	}
	r.retryPaid.Store(true)
	return true
}

// stallTimeout returns the time without an event after which a stream stalls.
func stallTimeout(req *classifier.Request) clock.Millis {
	if req.EventGap <= 0 {
		return soundSilence
	}
	return max(eventGapTimeoutFactor*req.EventGap, minSilenceTimeout)
}

// isStalled reports whether a stream that has begun gets no events. Kept connections may outlive a cut.
func (r *requestState) isStalled(watch *silenceWatch) bool {
	timeout := stallTimeout(r.req)
	if watch.count() == 0 {
		timeout = max(timeout, firstEventTimeoutFactor*r.req.LatencyObjective)
	}
	return watch.waited() > timeout
}

// hasPeer reports whether there is another daemon that the request can be passed on to.
func (r *requestState) hasPeer() bool {
	homes := r.Source.Current().HomesInForce(r.req.Route, r.req.Organisation, r.req.Homes)
	return len(r.Peers.Candidates(homes.Allow)) > 0
}

// watchCut ends an attempt that gets no data while this daemon is cut off, if the request can go on
// elsewhere and a retry is left; a stream that has begun, once it stalls. Else the attempt goes on, as its answer may
// still come, and only its slot ends, once the upstream has had the time that a run takes: until then the slot is in use.
func (r *requestState) watchCut(ctx context.Context, slot reserver.Slot, watch *silenceWatch, cancelAttempt context.CancelCauseFunc) (stop func()) {
	if r.Survey == nil || !r.mayDelegate() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	run, steps, seen := r.lastRun, 0, false
	last := r.runs+1 >= cmp.Or(r.maxRuns, defaultRuns) || r.tries+1 >= maxTries
	runEnd := r.grantedAt + r.expectedRunTime()
	go r.awaitCut(ctx, func() bool {
		before, again := steps, seen
		steps, seen = watch.count(), true
		begun := r.begun.Load()
		switch {
		case !again, steps != before, ctx.Err() != nil, begun && r.req.Stream && !r.isStalled(watch):
			return false
		case run.State() == sender.NotStarted, !last && r.isRepeatable() && (!begun || (r.resumable && r.hasPeer())) && r.payRetry():
			cancelAttempt(errCutOff)
			return true
		case r.Clock.Now() < runEnd:
			return false
		}
		klog.InfoS("slot of a request without data is released, as this daemon is cut off", logger.KeyRequest, r.req.ID,
			logger.KeyUpstream, slot.Upstream().Name, "events", steps, "age_ms", r.Clock.Now()-r.grantedAt)
		slot.End(reserver.Usage{Outcome: reserver.Cancelled})
		return true
	})
	return cancel
}
