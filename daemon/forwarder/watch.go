package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// errSilent is the cancellation cause of an attempt whose upstream made no progress
// within the timeout and that another upstream takes over.
var errSilent = errors.New("upstream made no progress within the silence timeout")

// Timeouts for an upstream that makes no progress, used where the request can be
// retried on another upstream. Factors are multiples of what the request names.
const (
	// answerTimeoutFactor times the objective, or times what a run of the route usually
	// takes if that is longer, is the timeout for an answer without events, and firstEventTimeoutFactor times the objective the one for the first
	// event of a stream, which may queue behind other prompts in the engine.
	answerTimeoutFactor     = 1.5
	firstEventTimeoutFactor = 2
	// eventGapTimeoutFactor times the request's gap is the time after which a stream stalls.
	eventGapTimeoutFactor = 3
	// minSilenceTimeout is the lower bound of all of them: a slow upstream takes
	// that long for an ordinary answer.
	minSilenceTimeout = 250 * clock.Millisecond
	// soundSilence is how long a sound upstream may be silent once in a stream. A stream that has begun is lost
	// if the upstream that takes over fails, as it can't be refused any more.
	soundSilence = 1500 * clock.Millisecond
	// silentReportTime is the time without data after which an attempt counts as a failure of this daemon's
	// paths, whatever becomes of it. In error it costs a dial.
	silentReportTime = 500 * clock.Millisecond
)

// silenceWatch looks for another upstream while that of an attempt makes no progress.
// The attempt goes on meanwhile: it ends only once another upstream has a slot for the
// request, so that an upstream that is merely slow costs the caller nothing. In a stream whole
// events count as progress, in an answer without events any bytes of its body.
type silenceWatch struct {
	request *requestState
	// excluded names the upstreams that must not take over.
	excluded []string
	// upstream is the one that progress shows to be reached, and address its address; empty for none.
	upstream, address string
	// run follows the attempt.
	run *sender.Run
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// stallTimeout is the time without an event after which a stream stalls; 0 means none.
	stallTimeout clock.Millis
	// suspect tells the Sender of a silence where timer is not to replace the upstream; nil for none.
	suspect *time.Timer
	// last is set if no other upstream may take over.
	last bool
	// report tells the survey that the upstream was not reached; nil for no survey. Progress restarts it.
	report *time.Timer

	mu sync.Mutex
	// timer is nil if the attempt is not watched, or no longer.
	timer *time.Timer
	// timeout is the one that the timer runs for.
	timeout clock.Millis
	// eventTimeout is the timeout between two steps of progress, 0 for none. It is stallTimeout once the stream has
	// stalled.
	eventTimeout clock.Millis
	// steps counts the progress.
	steps      int
	progressAt clock.Millis
	// waitsSince is when the upstream began to be waited for, 0 while the caller takes what has come.
	waitsSince clock.Millis
	// silentSince is since when the connection of the attempt is suspected to be dead, zero if it is not.
	silentSince time.Time
	// replacement is the slot that takes over, nil for none.
	replacement reserver.Slot
	// fallbackPaid is set once the attempt is given up in the middle of a stream, with the retry for going back to it
	// taken from the budget.
	fallbackPaid bool
	// stopped is set once the attempt has ended.
	stopped bool
	// asked is set once the upstream was asked to stop, after stepsAsked steps.
	asked      bool
	stepsAsked int
	// wentOnAt is when the first progress after that was made, 0 before.
	wentOnAt clock.Millis
}

// watchSilence starts the watch of an attempt. The last allowed attempt is not watched: a
// late answer is better than none. One that has a fallback is watched until its first event. Nor is a request without
// a bound of its own (maxRuns 0).
func (r *requestState) watchSilence(ctx context.Context, upstream inventory.Upstream, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{
		request: r, excluded: append(slices.Clone(r.excluded), upstream.Name), upstream: upstream.Name, address: upstream.Address,
		run: r.lastRun, cancel: cancel, waitsSince: r.Clock.Now(),
	}
	if r.Survey != nil {
		w.report = time.AfterFunc(silentReportTime.Duration(), func() { r.Survey.Unreached(upstream.Name) })
	}
	w.last = !r.repeatable || r.runs+1 >= max(r.maxRuns, 1)
	if r.req.LatencyObjective <= 0 {
		return w
	}
	w.timeout = clock.Millis(answerTimeoutFactor * float64(max(r.req.LatencyObjective, r.runTimes.usual(r.req.Route))))
	w.eventTimeout = soundSilence
	if r.req.Stream {
		w.timeout, w.eventTimeout = firstEventTimeoutFactor*r.req.LatencyObjective, 0
		if r.req.EventGap > 0 {
			w.stallTimeout = stallTimeout(r.req)
			w.eventTimeout = max(w.stallTimeout, soundSilence)
		}
	}
	if w.last {
		run, timeout := w.run, max(w.timeout, minSilenceTimeout)
		w.suspect = time.AfterFunc(timeout.Duration(), func() { r.Sender.SuspectSilence(run, timeout) })
		w.timeout, w.stallTimeout, w.eventTimeout = takeoverTimeout, 0, 0
	}
	if w.last && r.fallback == nil {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = max(w.timeout, minSilenceTimeout)
	w.timer = time.AfterFunc(w.timeout.Duration(), func() { w.replace(ctx) })
	return w
}

// recordProgress counts steps of progress, the events of a stream, and stops the timer, which resume restarts: while the
// caller takes what has come, the upstream is not waited for.
func (w *silenceWatch) recordProgress(steps int) {
	w.request.reached(w.upstream)
	w.addSteps(steps).drop(w.request.Budget, w.request.req.Pool)
}

// addSteps records progress, and returns the fallback if that is not needed any more.
func (w *silenceWatch) addSteps(steps int) (unneeded *fallback) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.report != nil {
		w.report.Reset(silentReportTime.Duration())
	}
	now := w.request.Clock.Now()
	if w.steps > 0 && w.stallTimeout > 0 && now-w.progressAt > w.stallTimeout {
		w.eventTimeout = w.stallTimeout
	}
	if w.steps == 0 {
		unneeded, w.request.fallback = w.request.fallback, nil
	}
	if w.asked && w.steps == w.stepsAsked {
		w.wentOnAt = now
	}
	w.steps += steps
	w.progressAt, w.waitsSince, w.silentSince = now, 0, time.Time{}
	if w.timer != nil {
		w.timer.Stop()
	}
	return unneeded
}

// count returns the number of steps of progress.
func (w *silenceWatch) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps
}

// waited returns for how long the upstream has been waited for without progress.
func (w *silenceWatch) waited() clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waitsSince == 0 {
		return 0
	}
	return w.request.Clock.Now() - w.waitsSince
}

// resume restarts the timer after progress, or ends the watch if there is no timeout
// between events.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitsSince = w.request.Clock.Now()
	switch {
	case w.timer == nil:
	case w.eventTimeout > 0:
		w.timeout = w.eventTimeout
		w.timer.Reset(w.timeout.Duration())
	default:
		w.timer = nil
	}
}

// replace reserves a slot on another upstream and ends the attempt, unless it has made
// progress by then or no retry is left. It tries again after the timeout.
func (w *silenceWatch) replace(ctx context.Context) {
	r := w.request
	w.mu.Lock()
	if w.timer == nil || w.waitsSince == 0 {
		// The attempt has ended, or the caller takes what has come.
		w.mu.Unlock()
		return
	}
	w.silentSince = r.Sender.SuspectSilence(w.run, w.timeout)
	steps, silent, takeoverLeft := w.steps, w.timeout, w.waitsSince+takeoverTimeout-r.Clock.Now()
	req := *r.req
	if req.Stream {
		req.LastWriteAt = max(req.LastWriteAt, w.progressAt)
	}
	w.mu.Unlock()
	if takeoverLeft <= 0 && w.goBack(ctx) {
		return
	}
	if w.last {
		w.restart(steps)
		return
	}
	if end := req.PatienceEnd(); req.LastWriteAt > 0 && end > 0 && end-r.Clock.Now() < sender.MaxEndTimeout {
		klog.InfoS("upstream is silent, and the caller will have left before another one could go on", logger.KeyRequest, r.req.ID, logger.KeyUpstream, w.upstream,
			"timeout_ms", silent, "events", steps, "patience_left_ms", end-r.Clock.Now())
		return
	}
	slot, err := w.reserveOther(ctx, &req, takeoverLeft)
	taken := false
	if err == nil {
		taken = w.accept(ctx, slot, steps)
	}
	if ctx.Err() == nil || taken {
		klog.InfoS("upstream is silent", logger.KeyRequest, r.req.ID, logger.KeyUpstream, w.excluded[len(w.excluded)-1],
			"timeout_ms", silent, "events", steps, "replaced", taken, "other", err == nil)
	}
	if taken {
		w.giveUp(ctx, steps)
		return
	}
	if err == nil {
		slot.End(reserver.Usage{Outcome: reserver.NotSent, NotRun: true})
	}
	w.restart(steps)
}

// reserveOther reserves a slot on another upstream. While the attempt is one that takes over, its wait ends with the time
// that is left for that, so that it doesn't delay going back.
func (w *silenceWatch) reserveOther(ctx context.Context, req *classifier.Request, takeoverLeft clock.Millis) (reserver.Slot, error) {
	w.mu.Lock()
	takesOver := w.steps == 0 && w.request.fallback != nil
	w.mu.Unlock()
	if takesOver && takeoverLeft > 0 {
		bounded, cancel := context.WithTimeout(ctx, takeoverLeft.Duration())
		defer cancel()
		ctx = bounded
	}
	return w.request.Reserver.Reserve(ctx, req, w.excluded)
}

// restart lets the timer run again if there was no progress since steps were counted;
// progress has restarted it already.
func (w *silenceWatch) restart(steps int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && w.steps == steps {
		w.timer.Reset(w.timeout.Duration())
	}
}

// accept makes a slot the one that takes over, if the attempt still runs and has made no
// progress since steps were counted.
func (w *silenceWatch) accept(ctx context.Context, slot reserver.Slot, steps int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || ctx.Err() != nil {
		return false
	}
	if w.steps == steps && w.request.isRepeatable() && w.request.refuseIfBlocked() == nil && w.takeRetry() {
		w.replacement, w.timer = slot, nil
		return true
	}
	return false
}

// stop ends the watch and returns the slot that takes over, nil for none.
func (w *silenceWatch) stop() (replacement reserver.Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.report != nil {
		w.report.Stop()
	}
	if w.suspect != nil {
		w.suspect.Stop()
	}
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	w.stopped = true
	if r := w.request; !w.silentSince.IsZero() && (r.heardSince.IsZero() || w.silentSince.Before(r.heardSince)) {
		r.heardSince = w.silentSince
	}
	replacement, w.replacement = w.replacement, nil
	return replacement
}
