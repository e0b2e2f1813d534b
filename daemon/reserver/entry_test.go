package reserver

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
)

type fixedClock clock.Millis

func (f fixedClock) Now() clock.Millis { return clock.Millis(f) }

// TestPatienceCountsFromLastOutputToCaller guards against a patience that is
// counted from the wrong time: it starts with the arrival, and anew with each
// part of the answer that the caller receives.
func TestPatienceCountsFromLastOutputToCaller(t *testing.T) {
	const now, patience = 10_000, 2_000
	for name, c := range map[string]struct {
		request   classifier.Request
		left      int64
		objective bool
	}{
		"new":                {classifier.Request{Arrived: now, LatencyObjective: 500, Patience: patience}, patience, true},
		"waited":             {classifier.Request{Arrived: now - 700, LatencyObjective: 500, Patience: patience}, patience - 700, true},
		"stream in progress": {classifier.Request{Arrived: now - 6000, LastWriteAt: now - 300, LatencyObjective: 500, Patience: patience}, patience - 300, false},
	} {
		c.request.Deadline = now + 30_000
		res := &reservation{remote: &Remote{Clock: fixedClock(now)}, want: want{request: &c.request}}
		if ask := res.wireAsk(); ask.GetPatienceMs() != c.left || ask.GetHasObjective() != c.objective {
			t.Errorf("%s: %v", name, ask)
		}
	}
}
