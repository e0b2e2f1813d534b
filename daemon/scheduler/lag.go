package scheduler

import "yuccaspread/common/clock"

// historyLength bounds the remembered changes of one upstream.
const historyLength = 1024

// runningAt is how many requests of this scheduler ran from a time on.
type runningAt struct {
	time    clock.Millis
	running int
}

// foreign works out how many requests on an upstream are not this
// scheduler's. A report tells of the past, so it is compared with what ran
// then. The zero value knows of none.
type foreign struct {
	// count is the present estimate, at least 0.
	count   int
	last    int
	history [historyLength]runningAt
	next    int
}

// note remembers how many of this scheduler's requests run from now on.
func (f *foreign) note(now clock.Millis, running int) {
	f.history[f.next%historyLength] = runningAt{now, running}
	f.next++
}

// take compares a report with what ran at its time. One report may have
// crossed a request on its way, so the smaller of two in a row counts.
func (f *foreign) take(m Load) {
	own, known := f.at(m.Time)
	if !known {
		f.count, f.last = 0, 0
		return
	}
	seen := max(m.Running+m.Waiting-own, 0)
	f.count = min(seen, f.last)
	f.last = seen
}

func (f *foreign) at(time clock.Millis) (running int, known bool) {
	oldest := max(f.next-historyLength, 0)
	for i := f.next - 1; i >= oldest; i-- {
		if f.history[i%historyLength].time <= time {
			return f.history[i%historyLength].running, true
		}
	}
	return 0, oldest == 0
}

// Steps of the token budget.
const (
	budgetCut  = 0.9
	budgetGrow = 1.05
)

// tokenBudget bounds the tokens in use at an upstream whose memory is full:
// it makes requests wait although it has slots. The zero value is no bound.
type tokenBudget struct {
	bound float64
	cutAt clock.Millis
	// peak is the most that was in use without waiting.
	peak float64
}

// take looks at a report; one from before the last cut tells nothing new.
func (b *tokenBudget) take(now clock.Millis, m Load, tokens, slots int) {
	if m.Waiting > 0 && m.Running < slots {
		if m.Time > b.cutAt {
			b.bound = budgetCut * float64(tokens)
			b.cutAt = now
		}
		return
	}
	b.peak = max(b.peak, float64(tokens))
	if b.bound == 0 {
		return
	}
	b.bound *= budgetGrow
	if b.bound > 2*b.peak {
		b.bound = 0
	}
}

func (b *tokenBudget) fits(used, more int) bool {
	return b.bound == 0 || used == 0 || float64(used+more) <= b.bound
}
