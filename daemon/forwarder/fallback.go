package forwarder

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/reserver"
)

// Timeouts of a stream that has a fallback.
const (
	// takeoverTimeout is how long an upstream that takes over may take for its first event. It may have to read a long
	// prompt.
	takeoverTimeout = 5 * clock.Second
	// otherSlotTimeout bounds the wait for a slot at a third upstream.
	otherSlotTimeout = 250 * clock.Millisecond
)

// fallback is the slot at an upstream that was given up on suspicion in the middle of a stream. It is kept until another
// upstream goes on with the stream, which goes back if none does: it can't be refused any more.
type fallback struct {
	reserver.Slot
	// usage is how the run that was given up has used the slot.
	usage reserver.Usage
	// paid is set if the retry for going back was taken from the budget.
	paid bool
}

// Terms returns those of the slot.
func (f *fallback) Terms() reserver.Terms { return reserver.TermsOf(f.Slot) }

// End implements reserver.Slot. A slot that was not used again was used by the run that was given up.
func (f *fallback) End(usage reserver.Usage) {
	if usage.Outcome == reserver.NotSent {
		usage = f.usage
	}
	f.Slot.End(usage)
}

// drop releases a fallback that is not needed, nil for none, and returns its retry to the budget.
func (f *fallback) drop(budget *Budget, pool string) {
	if f == nil {
		return
	}
	endUnused(f)
	if f.paid {
		budget.ReturnRetry(pool)
	}
}

func (r *requestState) dropFallback() {
	f := r.fallback
	r.fallback = nil
	f.drop(r.Budget, r.req.Pool)
}

// release releases a slot that is not used, nil for none.
func (r *requestState) release(slot reserver.Slot) {
	if f, isFallback := slot.(*fallback); isFallback {
		f.drop(r.Budget, r.req.Pool)
		return
	}
	endUnused(slot)
}

// putBack keeps a slot as the fallback that was taken for one, and releases any other.
func (r *requestState) putBack(slot reserver.Slot) {
	if f, isFallback := slot.(*fallback); isFallback && r.fallback == nil {
		r.fallback = f
		return
	}
	r.release(slot)
}

// goBackAfter returns the fallback for a stream whose attempt elsewhere ended with end, and nil if a third upstream is to
// be tried, with a retry for that, or if there is no way back.
func (r *requestState) goBackAfter(end attemptEnd) reserver.Slot {
	r.repeatable = r.isRepeatable()
	allowed, usesBudget := r.retryAllowed(end)
	if allowed && !usesBudget {
		return nil
	}
	if allowed && (r.retryPaid.Load() || r.Budget.TakeRetry(r.req.Pool)) {
		r.retryPaid.Store(true)
		return nil
	}
	return r.takeFallback()
}

// takeFallback returns the slot at the upstream that was given up, nil if the stream can't go back. Going back needs no
// further upstream, so that the bound on the attempts of the route does not apply, and the route could be repeated when the
// stream was given up.
func (r *requestState) takeFallback() reserver.Slot {
	f := r.fallback
	if f == nil || !r.resumable || r.tries >= maxTries {
		return nil
	}
	switch {
	case f.paid && r.nextPaid:
		r.Budget.ReturnRetry(r.req.Pool)
	case !f.paid && !r.nextPaid && !r.Budget.TakeRetry(r.req.Pool):
		return nil
	}
	r.fallback, f.paid, r.nextPaid = nil, true, false
	r.metrics.wentBack.Inc()
	klog.InfoS("stream goes back to the upstream that was given up", logger.KeyRequest, r.req.ID, logger.KeyUpstream, f.Upstream().Name,
		"other", r.lastUpstream, "tries", r.tries, "left_ms", r.timeLeft())
	return f
}

// takeRetry takes the retry for giving the attempt up. In the middle of a stream it also takes one for going back; without
// that one the stream is given up only after a silence that a sound upstream does not have. It is called with mu held.
func (w *silenceWatch) takeRetry() bool {
	r := w.request
	if !r.begun.Load() {
		return r.Budget.TakeRetryOnSuspicion(r.req.Pool)
	}
	// This attempt, the one that takes over and going back.
	if !r.resumable || r.tries+3 > maxTries {
		return false
	}
	if r.fallback != nil {
		return r.Budget.TakeRetryOnSuspicion(r.req.Pool)
	}
	w.fallbackPaid = r.Budget.TakeRetryAndFallback(r.req.Pool)
	return w.fallbackPaid || (r.Clock.Now()-w.waitsSince >= soundSilence && r.Budget.TakeRetryOnSuspicion(r.req.Pool))
}

// goBack ends an attempt that has taken over and brought nothing, and reports whether it did. Its slot becomes the
// fallback in turn.
func (w *silenceWatch) goBack(ctx context.Context) bool {
	r := w.request
	w.mu.Lock()
	defer w.mu.Unlock()
	// This attempt, going back and going back once more.
	if w.timer == nil || ctx.Err() != nil || w.steps > 0 || r.tries+3 > maxTries || !r.Budget.TakeRetryOnSuspicion(r.req.Pool) {
		return false
	}
	slot := r.takeFallback()
	if slot == nil {
		r.Budget.ReturnRetry(r.req.Pool)
		return false
	}
	w.replacement, w.fallbackPaid, w.timer = slot, true, nil
	w.cancel(errSilent)
	return true
}

// takeGivenUp reports whether the slot of an attempt that has ended is to be kept, as this daemon has given the attempt up
// in the middle of the stream and has no fallback yet, and whether the retry for going back is paid.
func (w *silenceWatch) takeGivenUp(ctx context.Context) (keeps, paid bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.request
	paid, w.fallbackPaid = w.fallbackPaid, false
	return paid || (r.headWritten && r.resumable && r.fallback == nil && errors.Is(context.Cause(ctx), errSilent)), paid
}
