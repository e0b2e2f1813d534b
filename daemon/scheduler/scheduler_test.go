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
	// withdrawn are the asks whose slots were taken back, and cutOff the daemons that are taken to have no path.
	withdrawn map[uint64]bool
	cutOff    map[string]bool

	// nextNumber and requests are the state of serveUntil.
	nextNumber uint64
	requests   []simulatedRequest
}

// newHarness returns a scheduler with an upstream for each number of slots and
// three tiers.
func newHarness(slots ...int) *harness {
	h := &harness{granted: map[uint64]string{}, refused: map[uint64]scheduler.Reason{}, lowest: -1, now: 1000, withdrawn: map[uint64]bool{}, cutOff: map[string]bool{}}
	var list []inventory.Upstream
	for i, n := range slots {
		list = append(list, inventory.Upstream{Name: fmt.Sprintf("u%d", i), Slots: n})
	}
	h.send(scheduler.Upstreams{List: list})
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}, {Rank: 1}, {Rank: 2}}})
	return h
}

func (h *harness) send(messages ...scheduler.Message) {
	for _, m := range messages {
		for _, e := range h.Update(h.now, m) {
			switch e := e.(type) {
			case scheduler.Grant:
				h.granted[e.ID.Number] = e.Upstream
			case scheduler.Refuse:
				h.refused[e.ID.Number] = e.Reason
			case scheduler.LowestTier:
				h.lowest = e.Lowest
			case scheduler.Withdraw:
				h.withdrawn[e.ID.Number] = true
			case scheduler.LinksChanged:
				h.cutOff[e.Daemon] = e.CutOff
			}
		}
	}
}

// advance lets time pass and sends a Tick.
func (h *harness) advance(span clock.Millis) {
	h.now += span
	h.send(scheduler.Tick{})
}

func askID(number uint64) scheduler.AskID { return scheduler.AskID{Daemon: "d", Number: number} }

// newAsk returns a small ask with a deadline in a minute.
func (h *harness) newAsk(number uint64, tier int) scheduler.Ask {
	return scheduler.Ask{
		ID: askID(number), Tier: tier, Organisation: "o", Route: "r", Deadline: h.now + clock.Minute,
		PromptTokens: 100, MaxTokens: 20, Idempotent: true,
	}
}

// endCompleted returns the end of a request with a completed answer.
func endCompleted(number uint64) scheduler.End {
	return scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 20}}
}

// TestHigherTierFirst guards against grants to a lower tier while a higher one
// waits.
func TestHigherTierFirst(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 2), h.newAsk(2, 2), h.newAsk(3, 1), h.newAsk(4, 0))
	for _, next := range []uint64{1, 4, 3, 2} {
		if h.granted[next] == "" {
			t.Fatalf("ask %d was not granted in order: %v", next, h.granted)
		}
		h.send(scheduler.FirstToken{ID: askID(next)}, endCompleted(next))
	}
}

// TestUnusedGrantExpires guards against slots lost to grants that are never
// confirmed, and against expiry of confirmed ones.
func TestUnusedGrantExpires(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0), h.newAsk(2, 0))
	h.advance(10 * clock.Second)
	if h.granted[2] == "" {
		t.Fatal("the slot of an expired grant was not reassigned")
	}
	h.send(scheduler.Confirm{ID: askID(2)}, h.newAsk(3, 0))
	h.advance(10 * clock.Second)
	if h.granted[3] != "" {
		t.Fatal("the slot of a confirmed grant was reassigned")
	}
}

// TestOverdueAskIsShedBeforeGrant guards against asks that wait although they
// can't meet their deadline, on arrival or later.
func TestOverdueAskIsShedBeforeGrant(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0))
	late := h.newAsk(2, 1)
	late.Deadline = h.now + 2*clock.Second
	unmeetable := h.newAsk(3, 1)
	unmeetable.Deadline = h.now + 1
	h.send(late, unmeetable)
	if _, refused := h.refused[3]; !refused {
		t.Fatal("an ask that can't meet its deadline was queued")
	}
	h.advance(3 * clock.Second)
	if reason, refused := h.refused[2]; !refused || reason != scheduler.ReasonDeadline || h.lowest != 1 {
		t.Fatalf("refused %v, lowest tier %d", h.refused, h.lowest)
	}
}

// TestDaemonGoneFreesSlots guards against slots that stay with a daemon that is
// gone.
func TestDaemonGoneFreesSlots(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0), h.newAsk(2, 0))
	other := h.newAsk(3, 0)
	other.ID.Daemon = "e"
	h.send(other, scheduler.DaemonGone{Daemon: "d"})
	if h.granted[3] == "" || h.granted[2] != "" {
		t.Fatalf("granted %v", h.granted)
	}
}

// TestAnnouncedGrantOccupiesSlot guards against a new scheduler that grants slots
// which an earlier scheduler granted before.
func TestAnnouncedGrantOccupiesSlot(t *testing.T) {
	h := newHarness(1)
	h.send(scheduler.Announce{Ask: h.newAsk(1, 2), Upstream: "u0", FirstToken: true}, h.newAsk(2, 0))
	if len(h.granted) > 0 {
		t.Fatal("an announced grant did not occupy its slot")
	}
	h.send(endCompleted(1))
	if h.granted[2] != "u0" {
		t.Fatal("the end of an announced grant did not free its slot")
	}
}

// TestLeavingUpstreamGetsNoGrant guards against new requests on an upstream that
// reports that it leaves.
func TestLeavingUpstreamGetsNoGrant(t *testing.T) {
	h := newHarness(4, 4)
	h.send(scheduler.Load{Upstream: "u0", Time: h.now, Leaving: true})
	for i := range uint64(6) {
		h.send(h.newAsk(i, 0))
	}
	for number, upstream := range h.granted {
		if upstream == "u0" {
			t.Fatalf("ask %d was granted on a leaving upstream", number)
		}
	}
	if len(h.granted) != 4 {
		t.Fatalf("granted %v", h.granted)
	}
}

// TestVersionDoesNotCatchUp guards against a version that gets more than its share
// after it had no upstream for many requests.
func TestVersionDoesNotCatchUp(t *testing.T) {
	h := newHarness(1000, 1000)
	h.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v1"})
	h.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	serve := func(from, to uint64) {
		for i := from; i < to; i++ {
			h.send(h.newAsk(i, 0), scheduler.FirstToken{ID: askID(i)}, endCompleted(i))
		}
	}
	serve(0, 500)
	before := countGrants(h, "u1")
	h.send(scheduler.Load{Upstream: "u1", Version: "v2"})
	serve(500, 600)
	if grants := countGrants(h, "u1") - before; grants < 9 || grants > 11 {
		t.Fatalf("%d of 100 went to the new version, want 10", grants)
	}
}

// TestVersionShare guards against a version that exceeds its share, gets requests
// that are not idempotent, or gets any at a share of 0.
func TestVersionShare(t *testing.T) {
	h := newHarness(1000, 1000)
	h.send(scheduler.Load{Upstream: "u0", Version: "v1"}, scheduler.Load{Upstream: "u1", Version: "v2"})
	h.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}})
	for i := range uint64(100) {
		a := h.newAsk(i, 0)
		a.Idempotent = i%2 == 0
		h.send(a)
		if h.granted[i] == "u1" && !a.Idempotent {
			t.Fatal("a request that is not idempotent went to the new version")
		}
		h.send(scheduler.FirstToken{ID: askID(i)}, endCompleted(i))
	}
	if grants := countGrants(h, "u1"); grants < 4 || grants > 5 {
		t.Fatalf("%d of 50 went to the new version", grants)
	}
	h.send(scheduler.Shares{Shares: map[string]float64{"v2": 0}})
	before := countGrants(h, "u1")
	for i := range uint64(100) {
		h.send(h.newAsk(1000+i, 0), scheduler.FirstToken{ID: askID(1000 + i)}, endCompleted(1000+i))
	}
	if countGrants(h, "u1") != before {
		t.Fatal("a stopped version got a grant")
	}
}

func countGrants(h *harness, upstream string) (n int) {
	for _, u := range h.granted {
		if u == upstream {
			n++
		}
	}
	return n
}

// TestSheddingInRegionBlocksLowerTiers guards against granting lower tiers while
// another scheduler of the region sheds, and against reports that never expire.
func TestSheddingInRegionBlocksLowerTiers(t *testing.T) {
	h := newHarness(2)
	h.send(scheduler.RegionTier{Scheduler: "other", Lowest: 1}, h.newAsk(1, 2), h.newAsk(2, 1))
	if h.granted[1] != "" || h.granted[2] == "" {
		t.Fatalf("granted %v", h.granted)
	}
	h.advance(10 * clock.Second)
	if h.granted[1] == "" {
		t.Fatal("the report of a silent scheduler never expires")
	}
}

// TestVersionsOfTheListAreHeldToTheirShares guards against upstreams that nothing but the list names
// the version of, and that get more than the share of their version.
func TestVersionsOfTheListAreHeldToTheirShares(t *testing.T) {
	h := newHarness(100)
	list := []inventory.Upstream{{Name: "old", Slots: 100, Version: "v1"}, {Name: "new", Slots: 100, Version: "v2"}}
	h.send(scheduler.Shares{Shares: map[string]float64{"v2": 0.1}, NonIdempotent: []string{"v2"}}, scheduler.Upstreams{List: list})
	onNew := 0
	for number := range uint64(90) {
		h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
		if h.granted[number] == "new" {
			onNew++
		}
	}
	if onNew < 7 || onNew > 9 {
		t.Errorf("%d of 90 requests went to the version with a tenth", onNew)
	}
	list[1].Version = "v1"
	h.send(scheduler.Upstreams{List: list})
	h.send(h.newAsk(100, 0), scheduler.Confirm{ID: askID(100)})
	if h.granted[100] != "new" {
		t.Errorf("the upstream was replaced by one of another version, and the request went to %q", h.granted[100])
	}
}
