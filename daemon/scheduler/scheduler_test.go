package scheduler_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// bench drives a scheduler and keeps what it decided.
type bench struct {
	scheduler.State
	granted map[uint64]string
	refused map[uint64]scheduler.Reason
	lowest  int
	now     clock.Millis

	// next and turns belong to serve.
	next  uint64
	turns []turn
}

func newBench(slots ...int) *bench {
	b := &bench{granted: map[uint64]string{}, refused: map[uint64]scheduler.Reason{}, lowest: -1, now: 1000}
	var list []inventory.Upstream
	for i, n := range slots {
		list = append(list, inventory.Upstream{Name: fmt.Sprintf("u%d", i), Slots: n})
	}
	b.send(scheduler.Upstreams{List: list})
	b.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}, {Rank: 1}, {Rank: 2}}})
	return b
}

func (b *bench) send(messages ...scheduler.Message) {
	for _, m := range messages {
		for _, e := range b.Update(b.now, m) {
			switch e := e.(type) {
			case scheduler.Grant:
				b.granted[e.ID.Number] = e.Upstream
			case scheduler.Refuse:
				b.refused[e.ID.Number] = e.Reason
			case scheduler.LowestTier:
				b.lowest = e.Lowest
			}
		}
	}
}

func (b *bench) later(span clock.Millis) {
	b.now += span
	b.send(scheduler.Tick{})
}

func id(number uint64) scheduler.AskID { return scheduler.AskID{Daemon: "d", Number: number} }

// ask returns a small one with a minute to go.
func (b *bench) ask(number uint64, tier int) scheduler.Ask {
	return scheduler.Ask{
		ID: id(number), Tier: tier, Organisation: "o", Route: "r", Deadline: b.now + clock.Minute,
		PromptTokens: 100, MaxTokens: 20, Idempotent: true,
	}
}

func whole(number uint64) scheduler.End {
	return scheduler.End{ID: id(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 20}}
}

func TestHigherTierFirst(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 2), b.ask(2, 2), b.ask(3, 1), b.ask(4, 0))
	for _, next := range []uint64{1, 4, 3, 2} {
		if b.granted[next] == "" {
			t.Fatalf("ask %d was not granted in its turn: %v", next, b.granted)
		}
		b.send(scheduler.FirstToken{ID: id(next)}, whole(next))
	}
}

func TestUnusedGrantExpires(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0), b.ask(2, 0))
	b.later(10 * clock.Second)
	if b.granted[2] == "" {
		t.Fatal("the slot of an unused grant is lost")
	}
	b.send(scheduler.Confirm{ID: id(2)}, b.ask(3, 0))
	b.later(10 * clock.Second)
	if b.granted[3] != "" {
		t.Fatal("the slot of a grant in use was given away")
	}
}

func TestShedBeforeGrant(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0))
	late := b.ask(2, 1)
	late.Deadline = b.now + 2*clock.Second
	hopeless := b.ask(3, 1)
	hopeless.Deadline = b.now + 1
	b.send(late, hopeless)
	if _, refused := b.refused[3]; !refused {
		t.Fatal("what can't meet its deadline waits")
	}
	b.later(3 * clock.Second)
	if reason, refused := b.refused[2]; !refused || reason != scheduler.ReasonDeadline || b.lowest != 1 {
		t.Fatalf("refused %v, lowest tier %d", b.refused, b.lowest)
	}
}

func TestDaemonGoneFreesSlots(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0), b.ask(2, 0))
	other := b.ask(3, 0)
	other.ID.Daemon = "e"
	b.send(other, scheduler.DaemonGone{Daemon: "d"})
	if b.granted[3] == "" || b.granted[2] != "" {
		t.Fatalf("granted %v", b.granted)
	}
}

func TestAnnouncedGrantsTakeSlots(t *testing.T) {
	b := newBench(1)
	b.send(scheduler.Announce{Ask: b.ask(1, 2), Upstream: "u0", FirstToken: true}, b.ask(2, 0))
	if len(b.granted) > 0 {
		t.Fatal("an announced grant takes no slot")
	}
	b.send(whole(1))
	if b.granted[2] != "u0" {
		t.Fatal("the end of an announced grant frees no slot")
	}
}

func TestLeavingGetsNoGrant(t *testing.T) {
	b := newBench(4, 4)
	b.send(scheduler.Load{Upstream: "u0", Time: b.now, Leaving: true})
	for i := range uint64(6) {
		b.send(b.ask(i, 0))
	}
	for number, upstream := range b.granted {
		if upstream == "u0" {
			t.Fatalf("ask %d went to a leaving upstream", number)
		}
	}
	if len(b.granted) != 4 {
		t.Fatalf("granted %v", b.granted)
	}
}

// TestVersionDoesNotCatchUp gives a version its first upstream after many
// requests: it gets its share of those that follow and no more.
func TestVersionDoesNotCatchUp(t *testing.T) {
	b := newBench(1000, 1000)
	b.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v1"})
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	serve := func(from, to uint64) {
		for i := from; i < to; i++ {
			b.send(b.ask(i, 0), scheduler.FirstToken{ID: id(i)}, whole(i))
		}
	}
	serve(0, 500)
	before := counted(b, "u1")
	b.send(scheduler.Load{Upstream: "u1", Version: "v2"})
	serve(500, 600)
	if given := counted(b, "u1") - before; given < 9 || given > 11 {
		t.Fatalf("%d of 100 went to the new version, want 10", given)
	}
}

func TestVersionShare(t *testing.T) {
	b := newBench(1000, 1000)
	b.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v2"})
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	for i := range uint64(100) {
		a := b.ask(i, 0)
		a.Idempotent = i%2 == 0
		b.send(a)
		if b.granted[i] == "u1" && !a.Idempotent {
			t.Fatal("a request that is not idempotent went to the new version")
		}
		b.send(scheduler.FirstToken{ID: id(i)}, whole(i))
	}
	if given := counted(b, "u1"); given < 4 || given > 5 {
		t.Fatalf("%d of 50 went to the new version", given)
	}
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0}})
	before := counted(b, "u1")
	for i := range uint64(100) {
		b.send(b.ask(1000+i, 0), scheduler.FirstToken{ID: id(1000 + i)}, whole(1000+i))
	}
	if counted(b, "u1") != before {
		t.Fatal("a stopped version got a grant")
	}
}

func counted(b *bench, upstream string) (n int) {
	for _, u := range b.granted {
		if u == upstream {
			n++
		}
	}
	return n
}

func TestNoLowerTierWhileRegionSheds(t *testing.T) {
	b := newBench(2)
	b.send(scheduler.RegionTier{Scheduler: "other", Lowest: 1}, b.ask(1, 2), b.ask(2, 1))
	if b.granted[1] != "" || b.granted[2] == "" {
		t.Fatalf("granted %v", b.granted)
	}
	b.later(10 * clock.Second)
	if b.granted[1] == "" {
		t.Fatal("the word of a silent scheduler holds for ever")
	}
}
