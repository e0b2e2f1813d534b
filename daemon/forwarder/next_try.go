package forwarder

import (
	"context"
	"fmt"
	"slices"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
)

// Times between two rounds in which a stream that has begun looks for a way to go on. The pause doubles from round to
// round, and ends early with the cut.
const (
	minNextTryPause = 100 * clock.Millisecond
	maxNextTryPause = 800 * clock.Millisecond
	// nextTryInterval is the time between two looks during the pause, and for a retry after it.
	nextTryInterval = 50 * clock.Millisecond
)

// mayTryAgain reports whether an answer goes on looking for a way after an attempt or a round has failed: one that has
// begun, and that this daemon has given up or was to pass on, within the runs that it may make. It can't be refused any more.
func (r *requestState) mayTryAgain() bool {
	return (r.wasToPassOn || r.gaveUp) && r.headWritten && r.resumable && r.lastEnd != completed && r.isRepeatable() &&
		r.runs < r.runBound() && r.tries < maxTries
}

// awaitNextTry waits until a stream may be tried again that could not go on, with a retry that is paid, and reports
// whether it is to be: here, the upstreams that were tried included, or at another daemon.
func (r *requestState) awaitNextTry(ctx context.Context, err error) (again bool) {
	if ctx.Err() != nil || !r.mayTryAgain() {
		return false
	}
	if r.endUnawaited {
		r.endUnawaited = false
		r.awaitEnd(ctx, r.lastEnd)
	}
	begun, wasCut := r.Clock.Now(), r.isCutOff()
	r.nextTryPause = min(max(2*r.nextTryPause, minNextTryPause), maxNextTryPause)
	isPausing := func() bool { return r.Clock.Now()-begun < r.nextTryPause && (!wasCut || r.isCutOff()) }
	for isPausing() || (r.retrySpent && r.mayTryAgain() && !r.Budget.TakeRetry(r.req.Pool)) {
		if !clock.Sleep(ctx, nextTryInterval) {
			return false
		}
	}
	// The configuration may have changed meanwhile.
	if !r.mayTryAgain() {
		return false
	}
	klog.InfoS("stream that has begun looks for a way again", logger.KeyRequest, r.req.ID, "reason", fmt.Sprint(err), "waited_ms", r.Clock.Now()-begun,
		"retry_awaited", r.retrySpent, "cut_off", r.isCutOff(), "runs", r.runs, "left_ms", r.timeLeft())
	r.nextPaid = r.nextPaid || r.retrySpent
	r.retrySpent, r.delegationOver, r.refusedNoPath, r.excluded, r.unreached = false, false, false, nil, nil
	return true
}

// forgetRefusals lets daemons be asked once more that have only refused a request.
func (r *requestState) forgetRefusals() {
	r.askedPeers = slices.DeleteFunc(r.askedPeers, func(name string) bool { return !slices.Contains(r.failedPeers, name) })
}
