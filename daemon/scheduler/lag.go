package scheduler

import "yuccaspread/common/clock"

// historyLength is the number of running-count samples kept for an upstream.
const historyLength = 1024

// runningSample is the number of this scheduler's requests on an upstream from
// time until the next sample.
type runningSample struct {
	time    clock.Millis
	running int
}

// foreignLoad estimates how many of an upstream's requests this scheduler didn't
// grant. A load report describes the past, so it is compared with the requests
// that ran at that time. The zero value estimates none.
type foreignLoad struct {
	// count is the current estimate, at least 0.
	count int
	// lastSeen is the number of foreign requests by the last report alone.
	lastSeen int
	history  [historyLength]runningSample
	// next is the number of samples recorded so far.
	next int
	// expiresAt is when the estimate ends unless there is another report; 0 for never.
	expiresAt clock.Millis
}

// recordRunning records the number of this scheduler's running requests from
// now on.
func (f *foreignLoad) recordRunning(now clock.Millis, running int) {
	f.history[f.next%historyLength] = runningSample{now, running}
	f.next++
}

// handleReport compares a report with the requests that ran at its time. A
// single report may be sent while a request is in transit, so the estimate is
// the smaller of two consecutive ones.
func (f *foreignLoad) handleReport(m Load) {
	own, known := f.ownRunningAt(m.Time)
	if !known {
		f.count, f.lastSeen = 0, 0
		return
	}
	seen := max(m.Running+m.Waiting-own, 0)
	f.count = min(seen, f.lastSeen)
	f.lastSeen = seen
}

// ownRunningAt returns the number of this scheduler's running requests at a
// time; known is false where the history doesn't reach back that far.
func (f *foreignLoad) ownRunningAt(time clock.Millis) (running int, known bool) {
	oldest := max(f.next-historyLength, 0)
	for i := f.next - 1; i >= oldest; i-- {
		if f.history[i%historyLength].time <= time {
			return f.history[i%historyLength].running, true
		}
	}
	return 0, oldest == 0
}

// Factors by which the token budget changes on a report.
const (
	budgetDecrease = 0.9
	budgetIncrease = 1.05
)

// tokenBudget limits the tokens in use at an upstream that runs out of memory,
// which shows as requests that wait there although it has free slots. The zero
// value sets no limit.
type tokenBudget struct {
	// limit is in tokens; 0 means no limit.
	limit float64
	// cutAt is when the limit was last reduced.
	cutAt clock.Millis
	// peak is the most tokens that were in use while no request waited.
	peak float64
}

// handleReport reduces or raises the limit after a load report. A report taken
// before the last reduction does not reduce it again.
func (b *tokenBudget) handleReport(now clock.Millis, m Load, tokens, slots int) {
	if m.Waiting > 0 && m.Running < slots {
		if m.Time > b.cutAt {
			b.limit = budgetDecrease * float64(tokens)
			b.cutAt = now
		}
		return
	}
	b.peak = max(b.peak, float64(tokens))
	if b.limit == 0 {
		return
	}
	b.limit *= budgetIncrease
	if b.limit > 2*b.peak {
		b.limit = 0
	}
}

// fits reports whether added tokens stay within the limit beside the used ones.
// An unused upstream takes any request.
func (b *tokenBudget) fits(used, added int) bool {
	return b.limit == 0 || used == 0 || float64(used+added) <= b.limit
}
