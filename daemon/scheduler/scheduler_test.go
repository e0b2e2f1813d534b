package scheduler_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// harness drives a scheduler and records its effects.
type harness struct {
	scheduler.State
	granted map[uint64]string
	refused map[uint64]scheduler.Reason
	lowest  int
	now     clock.Millis

	// nextNumber and requests are the state of serveUntil.
	nextNumber uint64
	requests   []simulatedRequest
}

// newHarness returns a scheduler with an upstream for each number of slots and
// three tiers.
func newHarness(slots ...int) *harness {
	b := &harness{granted: map[uint64]string{}, refused: map[uint64]scheduler.Reason{}, lowest: -1, now: 1000}
	var list []inventory.Upstream
	for i, n := range slots {
		list = append(list, inventory.Upstream{Name: fmt.Sprintf("u%d", i), Slots: n})
	}
	b.send(scheduler.Upstreams{List: list})
	b.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}, {Rank: 1}, {Rank: 2}}})
	return b
}

func (b *harness) send(messages ...scheduler.Message) {
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

// advance lets time pass and sends a Tick.
func (b *harness) advance(span clock.Millis) {
	b.now += span
	b.send(scheduler.Tick{})
}

func askID(number uint64) scheduler.AskID { return scheduler.AskID{Daemon: "d", Number: number} }

// newAsk returns a small ask with a deadline in a minute.
func (b *harness) newAsk(number uint64, tier int) scheduler.Ask {
	return scheduler.Ask{
		ID: askID(number), Tier: tier, Organisation: "o", Route: "r", Deadline: b.now + clock.Minute,
		PromptTokens: 100, MaxTokens: 20, Idempotent: true,
	}
}

// endWhole returns the end of a request with a whole answer.
func endWhole(number uint64) scheduler.End {
	return scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 20}}
}

// TestHigherTierFirst guards against grants to a lower tier while a higher one
// waits.
func TestHigherTierFirst(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 2), b.newAsk(2, 2), b.newAsk(3, 1), b.newAsk(4, 0))
	for _, next := range []uint64{1, 4, 3, 2} {
		if b.granted[next] == "" {
			t.Fatalf("ask %d was not granted in order: %v", next, b.granted)
		}
		b.send(scheduler.FirstToken{ID: askID(next)}, endWhole(next))
	}
}

// TestUnusedGrantExpires guards against slots lost to grants that are never
// confirmed, and against expiry of confirmed ones.
func TestUnusedGrantExpires(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0), b.newAsk(2, 0))
	b.advance(10 * clock.Second)
	if b.granted[2] == "" {
		t.Fatal("the slot of an expired grant was not reassigned")
	}
	b.send(scheduler.Confirm{ID: askID(2)}, b.newAsk(3, 0))
	b.advance(10 * clock.Second)
	if b.granted[3] != "" {
		t.Fatal("the slot of a confirmed grant was reassigned")
	}
}

// TestOverdueAskIsShedBeforeGrant guards against asks that wait although they
// can't meet their deadline, on arrival or later.
func TestOverdueAskIsShedBeforeGrant(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0))
	late := b.newAsk(2, 1)
	late.Deadline = b.now + 2*clock.Second
	unmeetable := b.newAsk(3, 1)
	unmeetable.Deadline = b.now + 1
	b.send(late, unmeetable)
	if _, refused := b.refused[3]; !refused {
		t.Fatal("an ask that can't meet its deadline was queued")
	}
	b.advance(3 * clock.Second)
	if reason, refused := b.refused[2]; !refused || reason != scheduler.ReasonDeadline || b.lowest != 1 {
		t.Fatalf("refused %v, lowest tier %d", b.refused, b.lowest)
	}
}

// TestDaemonGoneFreesSlots guards against slots that stay with a daemon that is
// gone.
func TestDaemonGoneFreesSlots(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0), b.newAsk(2, 0))
	other := b.newAsk(3, 0)
	other.ID.Daemon = "e"
	b.send(other, scheduler.DaemonGone{Daemon: "d"})
	if b.granted[3] == "" || b.granted[2] != "" {
		t.Fatalf("granted %v", b.granted)
	}
}

// TestAnnouncedGrantOccupiesSlot guards against a new scheduler that grants slots
// which an earlier scheduler granted before.
func TestAnnouncedGrantOccupiesSlot(t *testing.T) {
	b := newHarness(1)
	b.send(scheduler.Announce{Ask: b.newAsk(1, 2), Upstream: "u0", FirstToken: true}, b.newAsk(2, 0))
	if len(b.granted) > 0 {
		t.Fatal("an announced grant did not occupy its slot")
	}
	b.send(endWhole(1))
	if b.granted[2] != "u0" {
		t.Fatal("the end of an announced grant did not free its slot")
	}
}

// TestLeavingUpstreamGetsNoGrant guards against new requests on an upstream that
// reports that it leaves.
func TestLeavingUpstreamGetsNoGrant(t *testing.T) {
	b := newHarness(4, 4)
	b.send(scheduler.Load{Upstream: "u0", Time: b.now, Leaving: true})
	for i := range uint64(6) {
		b.send(b.newAsk(i, 0))
	}
	for number, upstream := range b.granted {
		if upstream == "u0" {
			t.Fatalf("ask %d was granted on a leaving upstream", number)
		}
	}
	if len(b.granted) != 4 {
		t.Fatalf("granted %v", b.granted)
	}
}

// TestVersionDoesNotCatchUp guards against a version that gets more than its share
// after it had no upstream for many requests.
func TestVersionDoesNotCatchUp(t *testing.T) {
	b := newHarness(1000, 1000)
	b.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v1"})
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	serve := func(from, to uint64) {
		for i := from; i < to; i++ {
			b.send(b.newAsk(i, 0), scheduler.FirstToken{ID: askID(i)}, endWhole(i))
		}
	}
	serve(0, 500)
	before := countGrants(b, "u1")
	b.send(scheduler.Load{Upstream: "u1", Version: "v2"})
	serve(500, 600)
	if grants := countGrants(b, "u1") - before; grants < 9 || grants > 11 {
		t.Fatalf("%d of 100 went to the new version, want 10", grants)
	}
}

// TestVersionShare guards against a version that exceeds its share, gets requests
// that are not idempotent, or gets any at a share of 0.
func TestVersionShare(t *testing.T) {
	b := newHarness(1000, 1000)
	b.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v2"})
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	for i := range uint64(100) {
		a := b.newAsk(i, 0)
		a.Idempotent = i%2 == 0
		b.send(a)
		if b.granted[i] == "u1" && !a.Idempotent {
			t.Fatal("a request that is not idempotent went to the new version")
		}
		b.send(scheduler.FirstToken{ID: askID(i)}, endWhole(i))
	}
	if grants := countGrants(b, "u1"); grants < 4 || grants > 5 {
		t.Fatalf("%d of 50 went to the new version", grants)
	}
	b.send(scheduler.Shares{Shares: map[string]float64{"v2": 0}})
	before := countGrants(b, "u1")
	for i := range uint64(100) {
		b.send(b.newAsk(1000+i, 0), scheduler.FirstToken{ID: askID(1000 + i)}, endWhole(1000+i))
	}
	if countGrants(b, "u1") != before {
		t.Fatal("a stopped version got a grant")
	}
}

func countGrants(b *harness, upstream string) (n int) {
	for _, u := range b.granted {
		if u == upstream {
			n++
		}
	}
	return n
}

// TestRegionPressureBlocksLowerTiers guards against granting lower tiers while
// another scheduler of the region sheds, and against reports that never expire.
func TestRegionPressureBlocksLowerTiers(t *testing.T) {
	b := newHarness(2)
	b.send(scheduler.RegionTier{Scheduler: "other", Lowest: 1}, b.newAsk(1, 2), b.newAsk(2, 1))
	if b.granted[1] != "" || b.granted[2] == "" {
		t.Fatalf("granted %v", b.granted)
	}
	b.advance(10 * clock.Second)
	if b.granted[1] == "" {
		t.Fatal("the report of a silent scheduler never expires")
	}
}
