package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// newObjectiveAsk returns an ask with an objective and a patience, both counted
// from now.
func (b *harness) newObjectiveAsk(number uint64, tier int, objective, patience clock.Millis) scheduler.Ask {
	a := b.newAsk(number, tier)
	a.Route, a.Objective, a.Patience = "r", b.now+objective, b.now+patience
	return a
}

// endRequest ends a granted request.
func (b *harness) endRequest(number uint64) {
	b.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 1}})
}

// TestLateAskYieldsToNextTier guards against an ask that misses its objective
// anyway and takes a slot from the next tier, which could still meet its own.
func TestLateAskYieldsToNextTier(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0))
	b.send(b.newObjectiveAsk(2, 0, 300, 5000))
	b.advance(600)
	// Ask 2 can no longer meet its objective, asks 3 and 4 can.
	b.send(b.newObjectiveAsk(3, 1, 3000, 5000), b.newObjectiveAsk(4, 2, 3000, 5000))
	for i, want := range []uint64{3, 2, 4} {
		b.endRequest([]uint64{1, 3, 2}[i])
		if _, granted := b.granted[want]; !granted {
			t.Fatalf("step %d: ask %d was not granted; granted %v, refused %v", i, want, b.granted, b.refused)
		}
	}
}

// TestAskIsShedAtEndOfPatience guards against asks that keep their place in the
// queue after their caller has left, although their deadline is later.
func TestAskIsShedAtEndOfPatience(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0), b.newObjectiveAsk(2, 0, 300, 2000))
	b.advance(1000)
	if len(b.refused) != 0 {
		t.Fatalf("refused %v while the caller waits", b.refused)
	}
	b.advance(1500)
	if _, refused := b.refused[2]; !refused {
		t.Error("the ask still waits after its caller has left")
	}
}

// TestRefusalArrivesBeforeCallerLeaves guards against refusals that are sent so
// late that the caller has left before it learns when to retry.
func TestRefusalArrivesBeforeCallerLeaves(t *testing.T) {
	const tick, way = 50, 20
	b := newHarness(1)
	b.send(b.newAsk(1, 0))
	a := b.newObjectiveAsk(2, 0, 300, 2000)
	a.PromptTokens = 1
	b.send(a)
	for b.now+tick+way <= a.Patience {
		b.advance(tick)
	}
	if _, refused := b.refused[2]; !refused {
		t.Errorf("the ask still waits %d ms before its caller leaves", a.Patience-b.now)
	}
}

// TestAskBeyondPatienceIsRefusedAtOnce guards against queueing an ask whose caller
// leaves before the asks ahead of it are served.
func TestAskBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0))
	for number := uint64(2); number < 7; number++ {
		b.send(b.newObjectiveAsk(number, 0, 10_000, 12_000))
	}
	// A slot comes free each second: a new ask would wait for more than six.
	for number := uint64(1); number < 4; number++ {
		b.advance(1000)
		b.endRequest(number)
		b.send(b.newObjectiveAsk(100+number, 0, 10_000, 12_000))
	}
	before := len(b.refused)
	b.send(b.newObjectiveAsk(200, 0, 600, 2400))
	if len(b.refused) != before+1 {
		t.Errorf("refused %v, want ask 200 too", b.refused)
	}
}

// TestShedObjectiveRaisesNoRegionPressure guards against idle slots in the region:
// a shed ask with an objective must not stop lower tiers at other schedulers.
func TestShedObjectiveRaisesNoRegionPressure(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0), b.newObjectiveAsk(2, 0, 300, 1000))
	b.advance(2000)
	if _, refused := b.refused[2]; !refused {
		t.Fatal("the ask was not shed")
	}
	if b.lowest == 0 {
		t.Error("the other schedulers of the region are told to admit tier 0 alone")
	}
}

// TestUpstreamPausesAfterThreeBrokenConnections guards against pausing an upstream
// after one broken connection, and against never pausing or never resuming it.
func TestUpstreamPausesAfterThreeBrokenConnections(t *testing.T) {
	b := newHarness(1)
	for number := uint64(1); number <= 3; number++ {
		b.send(b.newAsk(number, 0))
		if _, granted := b.granted[number]; !granted {
			t.Fatalf("after %d broken connections nothing is granted", number-1)
		}
		b.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Broke}})
	}
	b.send(b.newAsk(4, 0))
	if _, granted := b.granted[4]; granted {
		t.Error("granted at once after three broken connections in a row")
	}
	b.advance(1100)
	if _, granted := b.granted[4]; !granted {
		t.Error("not granted after the pause")
	}
}

// TestFailingUpstreamIsAvoided guards against an upstream that fails fast and
// attracts traffic because it looks idle.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	b := newHarness(4, 4)
	b.send(b.newAsk(1, 0))
	bad := b.granted[1]
	b.send(scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.Failed}})
	for number := uint64(2); number < 40; number++ {
		b.send(b.newAsk(number, 0))
		outcome := reserver.Whole
		if b.granted[number] == bad {
			outcome = reserver.Failed
		}
		b.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: outcome, OutputTokens: 1}})
	}
	chosen := 0
	for number := uint64(20); number < 40; number++ {
		if b.granted[number] == bad {
			chosen++
		}
	}
	if chosen > 4 {
		t.Errorf("%d of 20 requests went to the upstream that fails", chosen)
	}
}
