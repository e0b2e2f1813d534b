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
func (b *harness) serveUntil(until clock.Millis, slowdown func(upstream string) clock.Millis) (served map[string]int) {
	served = map[string]int{}
	const tokens = 40
	for ; b.now < until; b.now += 10 {
		for i := 0; i < len(b.requests); i++ {
			x := &b.requests[i]
			switch {
			case b.now < x.nextEventAt:
			case !x.firstTokenSent:
				x.firstTokenSent = true
				x.nextEventAt = b.now + 25*(tokens-1)*slowdown(x.upstream)
				b.send(scheduler.FirstToken{ID: askID(x.number)})
			default:
				b.send(scheduler.End{ID: askID(x.number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: tokens}})
				b.requests = append(b.requests[:i], b.requests[i+1:]...)
				i--
			}
		}
		if b.now%50 == 0 {
			b.nextNumber++
			b.send(b.newAsk(b.nextNumber, 0))
		}
		b.send(scheduler.Tick{})
		for _, n := range slices.Sorted(maps.Keys(b.granted)) {
			u := b.granted[n]
			served[u]++
			b.requests = append(b.requests, simulatedRequest{number: n, nextEventAt: b.now + 50*slowdown(u), upstream: u})
			delete(b.granted, n)
			b.send(scheduler.Confirm{ID: askID(n)})
		}
	}
	return served
}

func (b *harness) ejectedUpstreams() (names []string) {
	for _, u := range b.Status().Upstreams {
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
	b := newHarness(6, 6, 6, 6)
	b.serveUntil(20*clock.Second, slowdownOf(1))
	if names := b.ejectedUpstreams(); len(names) > 0 {
		t.Fatalf("healthy upstreams were ejected: %v", names)
	}
	b.serveUntil(25*clock.Second, slowdownOf(10, "u2"))
	if names := b.ejectedUpstreams(); len(names) != 1 || names[0] != "u2" {
		t.Fatalf("upstreams ejected after 5 s: %v, want u2 only", names)
	}
	if served := b.serveUntil(55*clock.Second, slowdownOf(10, "u2")); served["u2"] > 6 {
		t.Fatalf("an ejected upstream got %d requests in 30 s", served["u2"])
	}
	b.serveUntil(120*clock.Second, slowdownOf(1))
	if names := b.ejectedUpstreams(); len(names) > 0 {
		t.Fatalf("still ejected after recovery: %v", names)
	}
	if served := b.serveUntil(140*clock.Second, slowdownOf(1)); served["u2"] == 0 {
		t.Fatal("an upstream that is well again gets nothing")
	}
}

// TestIdleStragglerIsUsedAgain guards against an upstream that never gets work
// again after it was slow: with many free slots its cost alone keeps it idle.
func TestIdleStragglerIsUsedAgain(t *testing.T) {
	b := newHarness(30, 30, 30, 30)
	b.serveUntil(20*clock.Second, slowdownOf(1))
	b.serveUntil(25*clock.Second, slowdownOf(10, "u2"))
	if served := b.serveUntil(55*clock.Second, slowdownOf(10, "u2")); served["u2"] > 6 {
		t.Fatalf("a straggler got %d requests in 30 s", served["u2"])
	}
	b.serveUntil(120*clock.Second, slowdownOf(1))
	if served := b.serveUntil(140*clock.Second, slowdownOf(1)); served["u2"] == 0 {
		t.Fatal("an upstream that is well again gets nothing")
	}
}

// TestEjectionsStayWithinShare guards against ejecting more upstreams than the
// configured share when many of them are slow.
func TestEjectionsStayWithinShare(t *testing.T) {
	b := newHarness(4, 4, 4, 4, 4, 4, 4)
	b.send(scheduler.Rules{Limits: inventory.Limits{EjectShare: 0.3}})
	b.serveUntil(20*clock.Second, slowdownOf(1))
	b.serveUntil(60*clock.Second, slowdownOf(10, "u1", "u2", "u3", "u4"))
	if names := b.ejectedUpstreams(); len(names) != 2 {
		t.Fatalf("ejected %v of 7 upstreams, want 2", names)
	}
}

// TestConcurrencyLimitHoldsTokenGap guards against token gaps above the target on
// an upstream whose gap grows with the number of running requests.
func TestConcurrencyLimitHoldsTokenGap(t *testing.T) {
	b := newHarness(60)
	b.send(scheduler.Rules{Tiers: []inventory.Tier{{TokenGapMS: 75}}})
	type turn struct {
		id   uint64
		left float64
	}
	var running []turn
	next, worst := uint64(0), 0
	for ; b.now < 200*clock.Second; b.now += 10 {
		gap := 20 + 3*float64(len(running))
		for i := 0; i < len(running); i++ {
			running[i].left -= 10 / gap
			if running[i].left <= 0 {
				b.send(scheduler.End{ID: askID(running[i].id), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 20}})
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		next++
		ask := b.newAsk(next, 0)
		ask.Deadline = b.now + 5*clock.Second
		b.send(ask)
		for _, n := range slices.Sorted(maps.Keys(b.granted)) {
			b.send(scheduler.FirstToken{ID: askID(n)})
			running = append(running, turn{n, 19})
			delete(b.granted, n)
		}
		if b.now > 100*clock.Second {
			worst = max(worst, len(running))
		}
	}
	if gap := 20 + 3*worst; gap > 75 || worst < 5 {
		t.Fatalf("%d concurrent requests, %d ms between tokens", worst, gap)
	}
}

// TestStaleLoadReportCountsOnlyForeignRequests guards against counting own
// requests that ended since an old load report as foreign ones.
func TestStaleLoadReportCountsOnlyForeignRequests(t *testing.T) {
	b := newHarness(4, 4)
	for i := range uint64(4) {
		b.send(b.newAsk(i, 0))
	}
	reported := b.now
	b.advance(clock.Second)
	for i := range uint64(4) {
		b.send(scheduler.FirstToken{ID: askID(i)}, endWhole(i))
	}
	b.advance(4 * clock.Second)
	for range 2 {
		b.send(scheduler.Load{Upstream: "u0", Time: reported, Running: 2}, scheduler.Load{Upstream: "u1", Time: reported, Running: 5})
	}
	for _, u := range b.Status().Upstreams {
		if want := map[string]int{"u0": 0, "u1": 3}[u.Name]; u.Foreign != want {
			t.Errorf("%s: %d foreign requests, want %d", u.Name, u.Foreign, want)
		}
	}
	for i := range uint64(6) {
		b.send(b.newAsk(100+i, 0))
	}
	if grants := countGrants(b, "u1"); grants > 2+1 {
		t.Errorf("%d asks granted beside 3 foreign requests on 4 slots", grants)
	}
}

// TestCachedPrefixAttractsUntilUpstreamIsBusy guards against asks that ignore a
// cached prefix, that all go to its busy upstream, or that follow removed blocks.
func TestCachedPrefixAttractsUntilUpstreamIsBusy(t *testing.T) {
	b := newHarness(8, 8)
	var hashes []uint64
	for i := range uint64(32) {
		hashes = append(hashes, 1000+i)
	}
	b.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes})
	for i := range uint64(12) {
		a := b.newAsk(i, 0)
		a.PromptTokens = 2048
		a.PrefixHashes = hashes
		b.send(a)
		if i == 0 && b.granted[0] != "u1" {
			t.Fatalf("the ask with the cached prefix went to %s", b.granted[0])
		}
	}
	if grants := countGrants(b, "u1"); grants == 12 || grants < 2 {
		t.Fatalf("%d of 12 asks went to the upstream with the cached prefix", grants)
	}
	b = newHarness(8, 8)
	b.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes}, scheduler.CacheChange{Upstream: "u1", Removed: hashes})
	a := b.newAsk(1, 0)
	a.PromptTokens, a.PrefixHashes = 2048, hashes
	b.send(a)
	if b.granted[1] != "u0" {
		t.Fatal("removed cache blocks still attract asks")
	}
}

// TestFullQueueEvictsLowestTier guards against a full queue that evicts an ask
// other than the one of the lowest tier with the latest deadline.
func TestFullQueueEvictsLowestTier(t *testing.T) {
	b := newHarness(1)
	b.send(scheduler.Rules{Limits: inventory.Limits{QueuePerShard: 3}}, b.newAsk(1, 0), b.newAsk(2, 2), b.newAsk(3, 1), b.newAsk(4, 2))
	sooner := b.newAsk(5, 2)
	sooner.Deadline -= 1000
	b.send(sooner)
	if reason, refused := b.refused[4]; !refused || reason != scheduler.ReasonFull {
		t.Fatalf("refused %v", b.refused)
	}
	b.send(b.newAsk(6, 0), b.newAsk(7, 0), b.newAsk(8, 0))
	if fmt.Sprint(b.refused) != fmt.Sprint(map[uint64]scheduler.Reason{2: 1, 3: 1, 4: 1, 5: 1}) || b.lowest != 1 {
		t.Fatalf("refused %v, lowest %d", b.refused, b.lowest)
	}
}

// TestDeadUpstreamIsPausedAndRetried guards against work for an upstream that died
// before any health report says so, and against one that is never retried.
func TestDeadUpstreamIsPausedAndRetried(t *testing.T) {
	b := newHarness(2, 2)
	b.send(b.newAsk(1, 0), scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.Died}})
	dead := b.granted[1]
	b.send(b.newAsk(2, 0), b.newAsk(3, 0), b.newAsk(4, 0))
	if b.granted[2] == dead || b.granted[3] == dead || b.granted[4] != "" {
		t.Fatalf("%s died: granted %v", dead, b.granted)
	}
	b.advance(2 * clock.Second)
	if b.granted[4] != dead {
		t.Fatal("the upstream was not retried after its pause")
	}
	b.send(scheduler.Health{Upstream: dead, Up: false}, b.newAsk(5, 0))
	if b.granted[5] != "" {
		t.Fatal("an upstream that is down got work")
	}
}

// TestHigherTierReservesUpstreams guards against starving a long prompt of a higher
// tier, which has to wait for room, by short prompts of a lower tier that fit.
func TestHigherTierReservesUpstreams(t *testing.T) {
	b := newHarness(4)
	b.send(scheduler.Rules{Tiers: []inventory.Tier{{FirstTokenMS: 860}}})
	first, long, short := b.newAsk(1, 0), b.newAsk(2, 0), b.newAsk(3, 2)
	first.PromptTokens, long.PromptTokens = 5000, 5000
	b.send(first, long, short)
	if b.granted[1] == "" || b.granted[2] != "" || b.granted[3] != "" {
		t.Fatalf("granted %v", b.granted)
	}
	b.send(scheduler.FirstToken{ID: askID(1)})
	if b.granted[2] == "" {
		t.Fatal("the long prompt still waits although no other prefill is pending")
	}
}

// TestSlowdownShedsWaitingAsk guards against granting a waiting ask that can no
// longer meet its deadline by the speed measured meanwhile.
func TestSlowdownShedsWaitingAsk(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0))
	waiting := b.newAsk(2, 1)
	waiting.Deadline = b.now + 25*clock.Second
	b.send(scheduler.Confirm{ID: askID(1)}, scheduler.FirstToken{ID: askID(1)}, waiting)
	b.advance(20 * clock.Second)
	b.send(endWhole(1))
	if reason, refused := b.refused[2]; !refused || reason != scheduler.ReasonDeadline {
		t.Fatalf("granted %v, refused %v", b.granted, b.refused)
	}
}

// TestLowestTierIsRepeatedWhileShedding guards against a lowest tier that is
// announced only once, which the other schedulers drop after its lifetime, and
// against one that is not withdrawn when the pressure ends.
func TestLowestTierIsRepeatedWhileShedding(t *testing.T) {
	b := newHarness(1)
	b.send(b.newAsk(1, 0), scheduler.Confirm{ID: askID(1)})
	announcements := 0
	for i := range uint64(60) {
		late := b.newAsk(10+i, 1)
		late.Deadline = b.now + 2*clock.Second
		b.send(late)
		b.lowest = -1
		b.advance(100 * clock.Millisecond)
		if b.lowest == 1 {
			announcements++
		}
	}
	if announcements < 4 {
		t.Fatalf("the lowest tier was announced %d times, want at least 4", announcements)
	}
	b.send(endWhole(1))
	// Asks that still wait are shed first.
	b.advance(10 * clock.Second)
	b.advance(10 * clock.Second)
	if b.lowest != 2 {
		t.Fatalf("the lowest tier is still %d after the pressure ended", b.lowest)
	}
}
