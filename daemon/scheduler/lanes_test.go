package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// promised returns an ask whose caller is promised an answer soon and leaves.
func (b *bench) promised(number uint64, tier int, objective, patience clock.Millis) scheduler.Ask {
	a := b.ask(number, tier)
	a.Route, a.Objective, a.Patience = "r", b.now+objective, b.now+patience
	return a
}

// free ends the request that holds a slot.
func (b *bench) free(number uint64) {
	b.send(scheduler.End{ID: id(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 1}})
}

func TestAskThatIsLateGivesWayToTheNextTier(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0))
	b.send(b.promised(2, 0, 300, 5000))
	b.later(600)
	// The first one can't keep its promise any more, the second one can.
	b.send(b.promised(3, 1, 3000, 5000), b.promised(4, 2, 3000, 5000))
	for i, want := range []uint64{3, 2, 4} {
		b.free([]uint64{1, 3, 2}[i])
		if _, granted := b.granted[want]; !granted {
			t.Fatalf("turn %d: ask %d has no slot; granted %v, refused %v", i, want, b.granted, b.refused)
		}
	}
}

func TestAskOfACallerThatHasLeftIsShed(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0), b.promised(2, 0, 300, 2000))
	b.later(1000)
	if len(b.refused) != 0 {
		t.Fatalf("refused %v while the caller waits", b.refused)
	}
	b.later(1500)
	if _, refused := b.refused[2]; !refused {
		t.Error("kept for a caller that has left")
	}
}

func TestRefusalReachesACallerThatStillWaits(t *testing.T) {
	const tick, way = 50, 20
	b := newBench(1)
	b.send(b.ask(1, 0))
	a := b.promised(2, 0, 300, 2000)
	a.PromptTokens = 1
	b.send(a)
	for b.now+tick+way <= a.Patience {
		b.later(tick)
	}
	if _, refused := b.refused[2]; !refused {
		t.Errorf("still waits %d ms before its caller leaves", a.Patience-b.now)
	}
}

func TestAskThatWouldWaitInVainIsRefusedAtOnce(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0))
	for number := uint64(2); number < 7; number++ {
		b.send(b.promised(number, 0, 10_000, 12_000))
	}
	// Each slot takes a second: those that come now would need more than six.
	for number := uint64(1); number < 4; number++ {
		b.later(1000)
		b.free(number)
		b.send(b.promised(100+number, 0, 10_000, 12_000))
	}
	before := len(b.refused)
	b.send(b.promised(200, 0, 600, 2400))
	if len(b.refused) != before+1 {
		t.Errorf("refused %v", b.refused)
	}
}

func TestShedPromiseHoldsNoSlotsFreeElsewhere(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0), b.promised(2, 0, 300, 1000))
	b.later(2000)
	if _, refused := b.refused[2]; !refused {
		t.Fatal("not shed")
	}
	if b.lowest == 0 {
		t.Error("the other schedulers of the region are told to admit tier 0 alone")
	}
}

func TestUpstreamRestsAfterThreeBrokenConnections(t *testing.T) {
	b := newBench(1)
	for number := uint64(1); number <= 3; number++ {
		b.send(b.ask(number, 0))
		if _, granted := b.granted[number]; !granted {
			t.Fatalf("after %d broken connections nothing is granted", number-1)
		}
		b.send(scheduler.End{ID: id(number), Usage: reserver.Usage{Outcome: reserver.Broke}})
	}
	b.send(b.ask(4, 0))
	if _, granted := b.granted[4]; granted {
		t.Error("granted at once after three broken connections in a row")
	}
	b.later(1100)
	if _, granted := b.granted[4]; !granted {
		t.Error("not granted after the pause")
	}
}

func TestUpstreamThatFailsIsChosenLast(t *testing.T) {
	b := newBench(4, 4)
	b.send(b.ask(1, 0))
	bad := b.granted[1]
	b.send(scheduler.End{ID: id(1), Usage: reserver.Usage{Outcome: reserver.Failed}})
	for number := uint64(2); number < 40; number++ {
		b.send(b.ask(number, 0))
		outcome := reserver.Whole
		if b.granted[number] == bad {
			outcome = reserver.Failed
		}
		b.send(scheduler.End{ID: id(number), Usage: reserver.Usage{Outcome: outcome, OutputTokens: 1}})
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
