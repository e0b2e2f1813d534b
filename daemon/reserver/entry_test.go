package reserver

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
)

type fixed clock.Millis

func (f fixed) Now() clock.Millis { return clock.Millis(f) }

func TestPatienceCountsFromWhatTheCallerHeardLast(t *testing.T) {
	const now, patience = 10_000, 2_000
	for name, c := range map[string]struct {
		request   classifier.Request
		left      int64
		objective bool
	}{
		"new":                 {classifier.Request{Arrived: now, Objective: 500, Patience: patience}, patience, true},
		"waited":              {classifier.Request{Arrived: now - 700, Objective: 500, Patience: patience}, patience - 700, true},
		"stream that goes on": {classifier.Request{Arrived: now - 6000, Heard: now - 300, Objective: 500, Patience: patience}, patience - 300, false},
	} {
		c.request.Deadline = now + 30_000
		e := &entry{remote: &Remote{Clock: fixed(now)}, request: &c.request}
		if ask := e.wireAsk(); ask.GetPatienceMs() != c.left || ask.GetHasObjective() != c.objective {
			t.Errorf("%s: %v", name, ask)
		}
	}
}
