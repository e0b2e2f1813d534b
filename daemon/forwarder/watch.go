package forwarder

import (
	"context"
	"errors"
	"time"

	"yuccaspread/common/clock"
)

// errSilent is the cancellation cause of an attempt whose upstream sent no data
// within the timeout.
var errSilent = errors.New("upstream sent no data within the silence timeout")

// Timeouts for an upstream that sends no data, used where the request can be
// retried on another upstream. Factors are multiples of what the request names.
const (
	// answerTimeoutFactor times the objective is the timeout for an answer without
	// events, and firstEventTimeoutFactor times the objective the one for the first
	// event of a stream, which may queue behind other prompts in the engine.
	answerTimeoutFactor     = 1.5
	firstEventTimeoutFactor = 2
	// eventGapTimeoutFactor times the request's gap is the timeout between events.
	eventGapTimeoutFactor = 3
	// minSilenceTimeout is the lower bound of all of them: a slow upstream takes
	// that long for an ordinary answer.
	minSilenceTimeout = 250 * clock.Millisecond
)

// silenceTimer cancels an attempt whose upstream sends no data for too long, as
// long as another attempt may follow.
type silenceTimer struct {
	timer *time.Timer
	// eventTimeout is the timeout between two events; 0 means none.
	eventTimeout clock.Millis
	// events counts the reads that returned data, or the whole events if there were
	// more.
	events int
}

// newSilenceTimer returns the timer of the next attempt. The last allowed attempt
// has no timeout: a late answer is better than none. A request without a bound of its
// own (maxRuns 0) has a timeout on no attempt.
func newSilenceTimer(r *requestState, cancel context.CancelCauseFunc) *silenceTimer {
	t := &silenceTimer{}
	last := !r.repeatable || r.runs+1 >= max(r.maxRuns, 1)
	if last || r.req.LatencyObjective <= 0 {
		return t
	}
	factor := answerTimeoutFactor
	if r.req.Stream {
		factor = firstEventTimeoutFactor
		if r.req.EventGap > 0 {
			t.eventTimeout = max(eventGapTimeoutFactor*r.req.EventGap, minSilenceTimeout)
		}
	}
	timeout := max(clock.Millis(factor*float64(r.req.LatencyObjective)), minSilenceTimeout)
	t.timer = time.AfterFunc(timeout.Duration(), func() { cancel(errSilent) })
	return t
}

// recordData counts a read that returned data and restarts the timer, or stops it if
// there is no timeout between events.
func (t *silenceTimer) recordData() {
	t.events++
	switch {
	case t.timer == nil:
	case t.eventTimeout > 0:
		t.timer.Reset(t.eventTimeout.Duration())
	default:
		t.timer.Stop()
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
