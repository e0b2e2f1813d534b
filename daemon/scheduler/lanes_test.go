package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// newObjectiveAsk returns an ask with an objective and a patience, both counted
// from now.
func (h *harness) newObjectiveAsk(number uint64, tier int, objective, patience clock.Millis) scheduler.Ask {
	a := h.newAsk(number, tier)
	a.Route, a.Objective, a.Patience = "r", h.now+objective, h.now+patience
	return a
}

// endRequest ends a granted request.
func (h *harness) endRequest(number uint64) {
	h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 1}})
}

// TestLateAskYieldsToNextTier guards against an ask that misses its objective
// anyway and takes a slot from the next tier, which could still meet its own.
func TestLateAskYieldsToNextTier(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0))
	h.send(h.newObjectiveAsk(2, 0, 300, 5000))
	h.advance(600)
	// Ask 2 can no longer meet its objective, asks 3 and 4 can.
	h.send(h.newObjectiveAsk(3, 1, 3000, 5000), h.newObjectiveAsk(4, 2, 3000, 5000))
	for i, want := range []uint64{3, 2, 4} {
		h.endRequest([]uint64{1, 3, 2}[i])
		if _, granted := h.granted[want]; !granted {
			t.Fatalf("step %d: ask %d was not granted; granted %v, refused %v", i, want, h.granted, h.refused)
		}
	}
}

// TestAskIsShedAtEndOfPatience guards against asks that keep their place in the
// queue after their caller has left, although their deadline is later.
func TestAskIsShedAtEndOfPatience(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0), h.newObjectiveAsk(2, 0, 300, 2000))
	h.advance(1000)
	if len(h.refused) != 0 {
		t.Fatalf("refused %v while the caller waits", h.refused)
	}
	h.advance(1500)
	if _, refused := h.refused[2]; !refused {
		t.Error("the ask still waits after its caller has left")
	}
}

// TestRefusalArrivesBeforeCallerLeaves guards against refusals that are sent so
// late that the caller has left before it learns when to retry.
func TestRefusalArrivesBeforeCallerLeaves(t *testing.T) {
	const tick, transit = 50, 20 // milliseconds
	h := newHarness(1)
	h.send(h.newAsk(1, 0))
	a := h.newObjectiveAsk(2, 0, 300, 2000)
	a.PromptTokens = 1
	h.send(a)
	for h.now+tick+transit <= a.Patience {
		h.advance(tick)
	}
	if _, refused := h.refused[2]; !refused {
		t.Errorf("the ask still waits %d ms before its caller leaves", a.Patience-h.now)
	}
}

// TestAskBeyondPatienceIsRefusedAtOnce guards against queueing an ask whose caller
// leaves before the asks ahead of it are served.
func TestAskBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0))
	for number := uint64(2); number < 7; number++ {
		h.send(h.newObjectiveAsk(number, 0, 10_000, 12_000))
	}
	// A slot comes free each second: a new ask would wait for more than six.
	for number := uint64(1); number < 4; number++ {
		h.advance(1000)
		h.endRequest(number)
		h.send(h.newObjectiveAsk(100+number, 0, 10_000, 12_000))
	}
	before := len(h.refused)
	h.send(h.newObjectiveAsk(200, 0, 600, 2400))
	if len(h.refused) != before+1 {
		t.Errorf("refused %v, want ask 200 too", h.refused)
	}
}

// TestShedAskWithObjectiveBlocksNoLowerTier guards against idle slots in the
// region: a shed ask with an objective must not stop lower tiers at other
// schedulers.
func TestShedAskWithObjectiveBlocksNoLowerTier(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0), h.newObjectiveAsk(2, 0, 300, 1000))
	h.advance(2000)
	if _, refused := h.refused[2]; !refused {
		t.Fatal("the ask was not shed")
	}
	if h.lowest == 0 {
		t.Error("the other schedulers of the region are told to admit tier 0 alone")
	}
}

// TestUpstreamPausesAfterThreeBrokenConnections guards against pausing an upstream
// after one broken connection, and against never pausing or never resuming it.
func TestUpstreamPausesAfterThreeBrokenConnections(t *testing.T) {
	h := newHarness(1)
	for number := uint64(1); number <= 3; number++ {
		h.send(h.newAsk(number, 0))
		if _, granted := h.granted[number]; !granted {
			t.Fatalf("after %d broken connections nothing is granted", number-1)
		}
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.ConnectionBroken}})
	}
	h.send(h.newAsk(4, 0))
	if _, granted := h.granted[4]; granted {
		t.Error("granted at once after three broken connections in a row")
	}
	h.advance(1100)
	if _, granted := h.granted[4]; !granted {
		t.Error("not granted after the pause")
	}
}

// TestFailingUpstreamIsAvoided guards against an upstream that fails fast and
// attracts traffic because it looks idle.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	h := newHarness(4, 4)
	h.send(h.newAsk(1, 0))
	bad := h.granted[1]
	h.send(scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.Failed}})
	for number := uint64(2); number < 40; number++ {
		h.send(h.newAsk(number, 0))
		outcome := reserver.Completed
		if h.granted[number] == bad {
			outcome = reserver.Failed
		}
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: outcome, OutputTokens: 1}})
	}
	chosen := 0
	for number := uint64(20); number < 40; number++ {
		if h.granted[number] == bad {
			chosen++
		}
	}
	if chosen > 4 {
		t.Errorf("%d of 20 requests went to the upstream that fails", chosen)
	}
}
