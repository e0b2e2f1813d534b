package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// simulatedRequest is a request that runs on an upstream.
type simulatedRequest struct {
	number uint64
	// nextEventAt is when its first token or its end is due.
	nextEventAt    clock.Millis
	upstream       string
	firstTokenSent bool
}

// serveUntil sends 20 requests a second until a time, each of which takes about a
// second. slowdown returns the factor by which an upstream is slower. It returns
// the number of requests granted on each upstream.
func (h *harness) serveUntil(until clock.Millis, slowdown func(upstream string) clock.Millis) (served map[string]int) {
	served = map[string]int{}
	const tokens = 40
	for ; h.now < until; h.now += 10 {
		for i := 0; i < len(h.requests); i++ {
			request := &h.requests[i]
			switch {
			case h.now < request.nextEventAt:
			case !request.firstTokenSent:
				request.firstTokenSent = true
				request.nextEventAt = h.now + 25*(tokens-1)*slowdown(request.upstream)
				h.send(scheduler.FirstToken{ID: askID(request.number)})
			default:
				h.send(scheduler.End{ID: askID(request.number), Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: tokens}})
				h.requests = append(h.requests[:i], h.requests[i+1:]...)
				i--
			}
		}
		if h.now%50 == 0 {
			h.nextNumber++
			h.send(h.newAsk(h.nextNumber, 0))
		}
		h.send(scheduler.Tick{})
		for _, n := range slices.Sorted(maps.Keys(h.granted)) {
			u := h.granted[n]
			served[u]++
			h.requests = append(h.requests, simulatedRequest{number: n, nextEventAt: h.now + 50*slowdown(u), upstream: u})
			delete(h.granted, n)
			h.send(scheduler.Confirm{ID: askID(n)})
		}
	}
	return served
}

func (h *harness) ejectedUpstreams() (names []string) {
	for _, u := range h.Status().Upstreams {
		if u.Ejected {
			names = append(names, u.Name)
		}
	}
	return names
}

// slowdownOf returns a slowdown function for the named upstreams.
func slowdownOf(factor clock.Millis, names ...string) func(string) clock.Millis {
	return func(upstream string) clock.Millis {
		for _, name := range names {
			if name == upstream {
				return factor
			}
		}
		return 1
	}
}

// TestStragglerIsEjectedAndReadmitted guards against a slow upstream that keeps
// its traffic, and against one that stays ejected after it has recovered.
func TestStragglerIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(6, 6, 6, 6)
	h.serveUntil(20*clock.Second, slowdownOf(1))
	if names := h.ejectedUpstreams(); len(names) > 0 {
		t.Fatalf("healthy upstreams were ejected: %v", names)
	}
	h.serveUntil(25*clock.Second, slowdownOf(10, "u2"))
	if names := h.ejectedUpstreams(); len(names) != 1 || names[0] != "u2" {
		t.Fatalf("upstreams ejected after 5 s: %v, want u2 only", names)
	}
	if served := h.serveUntil(55*clock.Second, slowdownOf(10, "u2")); served["u2"] > 6 {
		t.Fatalf("an ejected upstream got %d requests in 30 s", served["u2"])
	}
	h.serveUntil(120*clock.Second, slowdownOf(1))
	if names := h.ejectedUpstreams(); len(names) > 0 {
		t.Fatalf("still ejected after recovery: %v", names)
	}
	if served := h.serveUntil(140*clock.Second, slowdownOf(1)); served["u2"] == 0 {
		t.Fatal("a recovered upstream gets no requests")
	}
}

// TestIdleStragglerIsUsedAgain guards against an upstream that never gets work
// again after it was slow: with many free slots its cost alone keeps it idle.
func TestIdleStragglerIsUsedAgain(t *testing.T) {
	h := newHarness(30, 30, 30, 30)
	h.serveUntil(20*clock.Second, slowdownOf(1))
	h.serveUntil(25*clock.Second, slowdownOf(10, "u2"))
	if served := h.serveUntil(55*clock.Second, slowdownOf(10, "u2")); served["u2"] > 6 {
		t.Fatalf("a straggler got %d requests in 30 s", served["u2"])
	}
	h.serveUntil(120*clock.Second, slowdownOf(1))
	if served := h.serveUntil(140*clock.Second, slowdownOf(1)); served["u2"] == 0 {
		t.Fatal("a recovered upstream gets no requests")
	}
}

// TestEjectionsStayWithinShare guards against ejecting more upstreams than the
// configured share when many of them are slow.
func TestEjectionsStayWithinShare(t *testing.T) {
	h := newHarness(4, 4, 4, 4, 4, 4, 4)
	h.send(scheduler.Rules{Limits: inventory.Limits{EjectShare: 0.3}})
	h.serveUntil(20*clock.Second, slowdownOf(1))
	h.serveUntil(60*clock.Second, slowdownOf(10, "u1", "u2", "u3", "u4"))
	if names := h.ejectedUpstreams(); len(names) != 2 {
		t.Fatalf("ejected %v of 7 upstreams, want 2", names)
	}
}

// TestConcurrencyLimitHoldsTokenGap guards against token gaps above the target on
// an upstream whose gap grows with the number of running requests.
func TestConcurrencyLimitHoldsTokenGap(t *testing.T) {
	h := newHarness(60)
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{TokenGapMS: 75}}})
	type runningRequest struct {
		number     uint64
		tokensLeft float64
	}
	var running []runningRequest
	nextNumber, maxRunning := uint64(0), 0
	for ; h.now < 200*clock.Second; h.now += 10 {
		gap := 20 + 3*float64(len(running))
		for i := 0; i < len(running); i++ {
			running[i].tokensLeft -= 10 / gap
			if running[i].tokensLeft <= 0 {
				h.send(scheduler.End{ID: askID(running[i].number), Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 20}})
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		nextNumber++
		ask := h.newAsk(nextNumber, 0)
		ask.Deadline = h.now + 5*clock.Second
		h.send(ask)
		for _, n := range slices.Sorted(maps.Keys(h.granted)) {
			h.send(scheduler.FirstToken{ID: askID(n)})
			running = append(running, runningRequest{n, 19})
			delete(h.granted, n)
		}
		if h.now > 100*clock.Second {
			maxRunning = max(maxRunning, len(running))
		}
	}
	if gap := 20 + 3*maxRunning; gap > 75 || maxRunning < 5 {
		t.Fatalf("%d concurrent requests, %d ms between tokens", maxRunning, gap)
	}
}

// TestStaleLoadReportCountsOnlyForeignRequests guards against counting own
// requests that ended since an old load report as foreign ones.
func TestStaleLoadReportCountsOnlyForeignRequests(t *testing.T) {
	h := newHarness(4, 4)
	for i := range uint64(4) {
		h.send(h.newAsk(i, 0))
	}
	reported := h.now
	h.advance(clock.Second)
	for i := range uint64(4) {
		h.send(scheduler.FirstToken{ID: askID(i)}, endCompleted(i))
	}
	h.advance(4 * clock.Second)
	for range 2 {
		h.send(scheduler.Load{Upstream: "u0", Time: reported, Running: 2}, scheduler.Load{Upstream: "u1", Time: reported, Running: 5})
	}
	for _, u := range h.Status().Upstreams {
		if want := map[string]int{"u0": 0, "u1": 3}[u.Name]; u.Foreign != want {
			t.Errorf("%s: %d foreign requests, want %d", u.Name, u.Foreign, want)
		}
	}
	for i := range uint64(6) {
		h.send(h.newAsk(100+i, 0))
	}
	if grants := countGrants(h, "u1"); grants > 2+1 {
		t.Errorf("%d asks granted beside 3 foreign requests on 4 slots", grants)
	}
}

// TestCachedPrefixAttractsUntilUpstreamIsBusy guards against asks that ignore a
// cached prefix, that all go to its busy upstream, or that follow removed blocks.
func TestCachedPrefixAttractsUntilUpstreamIsBusy(t *testing.T) {
	h := newHarness(8, 8)
	var hashes []uint64
	for i := range uint64(32) {
		hashes = append(hashes, 1000+i)
	}
	h.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes})
	for i := range uint64(12) {
		a := h.newAsk(i, 0)
		a.PromptTokens = 2048
		a.PrefixHashes = hashes
		h.send(a)
		if i == 0 && h.granted[0] != "u1" {
			t.Fatalf("the ask with the cached prefix went to %s", h.granted[0])
		}
	}
	if grants := countGrants(h, "u1"); grants == 12 || grants < 2 {
		t.Fatalf("%d of 12 asks went to the upstream with the cached prefix", grants)
	}
	h = newHarness(8, 8)
	h.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes}, scheduler.CacheChange{Upstream: "u1", Removed: hashes})
	a := h.newAsk(1, 0)
	a.PromptTokens, a.PrefixHashes = 2048, hashes
	h.send(a)
	if h.granted[1] != "u0" {
		t.Fatal("removed cache blocks still attract asks")
	}
}

// TestFullQueueEvictsLowestTier guards against a full queue that evicts an ask
// other than the one of the lowest tier with the latest deadline.
func TestFullQueueEvictsLowestTier(t *testing.T) {
	h := newHarness(1)
	h.send(scheduler.Rules{Limits: inventory.Limits{QueuePerShard: 3}}, h.newAsk(1, 0), h.newAsk(2, 2), h.newAsk(3, 1), h.newAsk(4, 2))
	sooner := h.newAsk(5, 2)
	sooner.Deadline -= 1000
	h.send(sooner)
	if reason, refused := h.refused[4]; !refused || reason != scheduler.ReasonQueueFull {
		t.Fatalf("refused %v", h.refused)
	}
	h.send(h.newAsk(6, 0), h.newAsk(7, 0), h.newAsk(8, 0))
	if fmt.Sprint(h.refused) != fmt.Sprint(map[uint64]scheduler.Reason{2: 1, 3: 1, 4: 1, 5: 1}) || h.lowest != 1 {
		t.Fatalf("refused %v, lowest %d", h.refused, h.lowest)
	}
}

// TestDeadUpstreamIsPausedAndRetried guards against work for an upstream that died
// before any health report says so, and against one that is never retried.
func TestDeadUpstreamIsPausedAndRetried(t *testing.T) {
	h := newHarness(2, 2)
	h.send(h.newAsk(1, 0), scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.UpstreamDied}})
	dead := h.granted[1]
	h.send(h.newAsk(2, 0), h.newAsk(3, 0), h.newAsk(4, 0))
	if h.granted[2] == dead || h.granted[3] == dead || h.granted[4] != "" {
		t.Fatalf("%s died: granted %v", dead, h.granted)
	}
	h.advance(2 * clock.Second)
	if h.granted[4] != dead {
		t.Fatal("the upstream was not retried after its pause")
	}
	h.send(scheduler.Health{Upstream: dead, Up: false}, h.newAsk(5, 0))
	if h.granted[5] != "" {
		t.Fatal("an upstream that is down got work")
	}
}

// TestHigherTierReservesUpstreams guards against starving a long prompt of a higher
// tier, which has to wait for room, by short prompts of a lower tier that fit.
func TestHigherTierReservesUpstreams(t *testing.T) {
	h := newHarness(4)
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{FirstTokenMS: 860}}})
	first, long, short := h.newAsk(1, 0), h.newAsk(2, 0), h.newAsk(3, 2)
	first.PromptTokens, long.PromptTokens = 5000, 5000
	h.send(first, long, short)
	if h.granted[1] == "" || h.granted[2] != "" || h.granted[3] != "" {
		t.Fatalf("granted %v", h.granted)
	}
	h.send(scheduler.FirstToken{ID: askID(1)})
	if h.granted[2] == "" {
		t.Fatal("the long prompt still waits although no other prefill is pending")
	}
}

// TestSlowdownShedsWaitingAsk guards against granting a waiting ask that can no
// longer meet its deadline by the speed measured meanwhile.
func TestSlowdownShedsWaitingAsk(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0))
	waiting := h.newAsk(2, 1)
	waiting.Deadline = h.now + 25*clock.Second
	h.send(scheduler.Confirm{ID: askID(1)}, scheduler.FirstToken{ID: askID(1)}, waiting)
	h.advance(20 * clock.Second)
	h.send(endCompleted(1))
	if reason, refused := h.refused[2]; !refused || reason != scheduler.ReasonDeadline {
		t.Fatalf("granted %v, refused %v", h.granted, h.refused)
	}
}

// TestLowestTierIsRepeatedWhileShedding guards against a lowest tier that is
// announced only once, which the other schedulers drop after its lifetime, and
// against one that is not withdrawn when shedding ends.
func TestLowestTierIsRepeatedWhileShedding(t *testing.T) {
	h := newHarness(1)
	h.send(h.newAsk(1, 0), scheduler.Confirm{ID: askID(1)})
	announcements := 0
	for i := range uint64(60) {
		late := h.newAsk(10+i, 1)
		late.Deadline = h.now + 2*clock.Second
		h.send(late)
		h.lowest = -1
		h.advance(100 * clock.Millisecond)
		if h.lowest == 1 {
			announcements++
		}
	}
	if announcements < 4 {
		t.Fatalf("the lowest tier was announced %d times, want at least 4", announcements)
	}
	h.send(endCompleted(1))
	// Asks that still wait are shed first.
	h.advance(10 * clock.Second)
	h.advance(10 * clock.Second)
	if h.lowest != scheduler.AllTiers {
		t.Fatalf("the lowest tier is still %d after shedding ended", h.lowest)
	}
}
