package forwarder

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/sender"
)

const (
	// reportTimeout is how long an upstream that is at work may take for a report.
	reportTimeout = 400 * clock.Millisecond
	// reportInterval is the time between two reports while an upstream works on. What works is
	// found to have gone by the next one.
	reportInterval = 1 * clock.Second
	// progressInterval is the time between two looks at the progress of an attempt.
	progressInterval = 50 * clock.Millisecond
	// stopDelay is how long an upstream that goes on may take to notice that it was asked to stop.
	stopDelay = 250 * clock.Millisecond
	// maxReportBytes bounds what is read of a report.
	maxReportBytes = 64 << 10
)

// giveUp ends an attempt that another upstream takes over, with as many steps of progress as it had then.
// An upstream that doesn't look at its connection works on until its next write, and the request must
// not run at two. Where nothing tells when that is, as with one that reads a prompt again in the middle
// of a stream, and where the upstream is known to answer at any time, it is asked to stop first: one that
// answers and doesn't stop is waited for.
func (w *silenceWatch) giveUp(ctx context.Context, steps int) {
	r := w.request
	path := r.Protocol.ReportPath(r.req)
	if !r.req.Stream || steps == 0 || path == "" || !w.run.IsOverdue() || !w.ask() {
		w.cancel(errSilent)
		return
	}
	asked := r.Clock.Now()
	for wait := reportTimeout; r.isAnswering(ctx, w.address, path); wait = reportInterval {
		r.reached(w.upstream)
		for until := r.Clock.Now() + wait; r.Clock.Now() < until; {
			if !clock.Sleep(ctx, progressInterval) {
				return
			}
			if w.count() != steps {
				w.goOn(ctx)
				return
			}
		}
		if w.handBack() {
			klog.InfoS("silent upstream answers and doesn't stop; it is waited for", logger.KeyRequest, r.req.ID, logger.KeyUpstream, w.upstream,
				"events", steps, "asked_ms_ago", r.Clock.Now()-asked)
		}
	}
	if w.count() != steps {
		w.goOn(ctx)
		return
	}
	w.cancel(errSilent)
}

// ask asks the upstream to stop, and reports whether it could be asked.
func (w *silenceWatch) ask() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.run.AskEnd(func() { w.cancel(errSilent) }) {
		return false
	}
	w.asked, w.stepsAsked = true, w.steps
	return true
}

// mayHaveStopped reports whether the end of a stream may be the upstream's way to stop when it was asked to, and
// not that of the whole stream. An upstream that looks between two events writes one at most, unless it
// has stood still and is yet to be told.
func (w *silenceWatch) mayHaveStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked && (w.steps < w.stepsAsked+2 || w.request.Clock.Now()-w.wentOnAt < stopDelay)
}

// goOn lets an attempt go on that was to be given up, and watches it again.
func (w *silenceWatch) goOn(ctx context.Context) {
	w.handBack()
	klog.InfoS("upstream goes on that was asked to stop", logger.KeyRequest, w.request.req.ID, logger.KeyUpstream, w.upstream)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.fallbackPaid {
		w.fallbackPaid = false
		w.request.Budget.ReturnRetry(w.request.req.Pool)
	}
	if ctx.Err() == nil && w.eventTimeout > 0 {
		w.timeout = w.eventTimeout
		w.timer = time.AfterFunc(w.timeout.Duration(), func() { w.replace(ctx) })
	}
}

// isAnswering reports whether an upstream answers a call that needs no slot.
func (r *requestState) isAnswering(ctx context.Context, address, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	res, err := r.Sender.Send(ctx, sender.Call{Method: http.MethodGet, Address: address, Path: path, Header: http.Header{}})
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	sender.Discard(res, maxReportBytes, discardTimeout)
	return true
}

// handBack releases the slot that was to take over, and reports whether there was one. The retry that it has
// cost is kept for the end of the attempt.
func (w *silenceWatch) handBack() bool {
	w.mu.Lock()
	slot := w.replacement
	w.replacement = nil
	w.mu.Unlock()
	if slot == nil {
		return false
	}
	w.request.retryPaid.Store(true)
	endUnused(slot)
	return true
}
