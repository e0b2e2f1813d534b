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

// turn is a request that runs on an upstream.
type turn struct {
	id uint64
	// at is when its first token or its end comes.
	at       clock.Millis
	upstream string
	started  bool
}

// serve makes 20 requests a second until a time, each of which takes about a
// second; slow tells how many times slower an upstream is.
func (b *bench) serve(until clock.Millis, slow func(upstream string) clock.Millis) (served map[string]int) {
	served = map[string]int{}
	const tokens = 40
	for ; b.now < until; b.now += 10 {
		for i := 0; i < len(b.turns); i++ {
			x := &b.turns[i]
			switch {
			case b.now < x.at:
			case !x.started:
				x.started = true
				x.at = b.now + 25*(tokens-1)*slow(x.upstream)
				b.send(scheduler.FirstToken{ID: id(x.id)})
			default:
				b.send(scheduler.End{ID: id(x.id), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: tokens}})
				b.turns = append(b.turns[:i], b.turns[i+1:]...)
				i--
			}
		}
		if b.now%50 == 0 {
			b.next++
			b.send(b.ask(b.next, 0))
		}
		b.send(scheduler.Tick{})
		for _, n := range slices.Sorted(maps.Keys(b.granted)) {
			u := b.granted[n]
			served[u]++
			b.turns = append(b.turns, turn{id: n, at: b.now + 50*slow(u), upstream: u})
			delete(b.granted, n)
			b.send(scheduler.Confirm{ID: id(n)})
		}
	}
	return served
}

func (b *bench) ejected() (names []string) {
	for _, u := range b.Status().Upstreams {
		if u.Ejected {
			names = append(names, u.Name)
		}
	}
	return names
}

func slower(factor clock.Millis, names ...string) func(string) clock.Millis {
	return func(upstream string) clock.Millis {
		for _, name := range names {
			if name == upstream {
				return factor
			}
		}
		return 1
	}
}

func TestStragglerIsEjectedAndComesBack(t *testing.T) {
	b := newBench(6, 6, 6, 6)
	b.serve(20*clock.Second, slower(1))
	if names := b.ejected(); len(names) > 0 {
		t.Fatalf("healthy upstreams are ejected: %v", names)
	}
	b.serve(25*clock.Second, slower(10, "u2"))
	if names := b.ejected(); len(names) != 1 || names[0] != "u2" {
		t.Fatalf("ejected after 5 s: %v", names)
	}
	if served := b.serve(55*clock.Second, slower(10, "u2")); served["u2"] > 6 {
		t.Fatalf("an ejected upstream got %d requests in 30 s", served["u2"])
	}
	b.serve(120*clock.Second, slower(1))
	if names := b.ejected(); len(names) > 0 {
		t.Fatalf("still ejected: %v", names)
	}
	if served := b.serve(140*clock.Second, slower(1)); served["u2"] == 0 {
		t.Fatal("an upstream that is well again gets nothing")
	}
}

// TestUnusedStragglerComesBack has so much room that the cost alone keeps work
// away from the slow upstream.
func TestUnusedStragglerComesBack(t *testing.T) {
	b := newBench(30, 30, 30, 30)
	b.serve(20*clock.Second, slower(1))
	b.serve(25*clock.Second, slower(10, "u2"))
	if served := b.serve(55*clock.Second, slower(10, "u2")); served["u2"] > 6 {
		t.Fatalf("a straggler got %d requests in 30 s", served["u2"])
	}
	b.serve(120*clock.Second, slower(1))
	if served := b.serve(140*clock.Second, slower(1)); served["u2"] == 0 {
		t.Fatal("an upstream that is well again gets nothing")
	}
}

func TestEjectsNoMoreThanTheShare(t *testing.T) {
	b := newBench(4, 4, 4, 4, 4, 4, 4)
	b.send(scheduler.Rules{Limits: inventory.Limits{EjectShare: 0.3}})
	b.serve(20*clock.Second, slower(1))
	b.serve(60*clock.Second, slower(10, "u1", "u2", "u3", "u4"))
	if names := b.ejected(); len(names) != 2 {
		t.Fatalf("ejected %v of 7", names)
	}
}

// TestLimitHoldsTokenGap has an upstream whose gap grows with its use.
func TestLimitHoldsTokenGap(t *testing.T) {
	b := newBench(60)
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
				b.send(scheduler.End{ID: id(running[i].id), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 20}})
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		next++
		ask := b.ask(next, 0)
		ask.Deadline = b.now + 5*clock.Second
		b.send(ask)
		for _, n := range slices.Sorted(maps.Keys(b.granted)) {
			b.send(scheduler.FirstToken{ID: id(n)})
			running = append(running, turn{n, 19})
			delete(b.granted, n)
		}
		if b.now > 100*clock.Second {
			worst = max(worst, len(running))
		}
	}
	if gap := 20 + 3*worst; gap > 75 || worst < 5 {
		t.Fatalf("%d at once, %d ms between tokens", worst, gap)
	}
}

// TestStaleReports counts what is foreign, not what ended since the report.
func TestStaleReports(t *testing.T) {
	b := newBench(4, 4)
	for i := range uint64(4) {
		b.send(b.ask(i, 0))
	}
	reported := b.now
	b.later(clock.Second)
	for i := range uint64(4) {
		b.send(scheduler.FirstToken{ID: id(i)}, whole(i))
	}
	b.later(4 * clock.Second)
	for range 2 {
		b.send(scheduler.Load{Upstream: "u0", Time: reported, Running: 2}, scheduler.Load{Upstream: "u1", Time: reported, Running: 5})
	}
	for _, u := range b.Status().Upstreams {
		if want := map[string]int{"u0": 0, "u1": 3}[u.Name]; u.Foreign != want {
			t.Errorf("%s: %d foreign, not %d", u.Name, u.Foreign, want)
		}
	}
	for i := range uint64(6) {
		b.send(b.ask(100+i, 0))
	}
	if given := counted(b, "u1"); given > 2+1 {
		t.Errorf("%d went beside 3 foreign ones on 4 slots", given)
	}
}

// TestCacheEvents follows a prefix until doubt or a full upstream turns it away.
func TestCacheEvents(t *testing.T) {
	b := newBench(8, 8)
	var hashes []uint64
	for i := range uint64(32) {
		hashes = append(hashes, 1000+i)
	}
	b.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes})
	for i := range uint64(12) {
		a := b.ask(i, 0)
		a.PromptTokens = 2048
		a.PrefixHashes = hashes
		b.send(a)
		if i == 0 && b.granted[0] != "u1" {
			t.Fatalf("the cached prefix was passed over for %s", b.granted[0])
		}
	}
	if hot := counted(b, "u1"); hot == 12 || hot < 2 {
		t.Fatalf("%d of 12 crowd on the hot upstream", hot)
	}
	b = newBench(8, 8)
	b.send(scheduler.CacheChange{Upstream: "u1", Stored: hashes}, scheduler.CacheChange{Upstream: "u1", Removed: hashes})
	a := b.ask(1, 0)
	a.PromptTokens, a.PrefixHashes = 2048, hashes
	b.send(a)
	if b.granted[1] != "u0" {
		t.Fatal("removed blocks still count")
	}
}

func TestFullQueueEvictsLowestTier(t *testing.T) {
	b := newBench(1)
	b.send(scheduler.Rules{Limits: inventory.Limits{QueuePerShard: 3}}, b.ask(1, 0), b.ask(2, 2), b.ask(3, 1), b.ask(4, 2))
	sooner := b.ask(5, 2)
	sooner.Deadline -= 1000
	b.send(sooner)
	if reason, refused := b.refused[4]; !refused || reason != scheduler.ReasonFull {
		t.Fatalf("refused %v", b.refused)
	}
	b.send(b.ask(6, 0), b.ask(7, 0), b.ask(8, 0))
	if fmt.Sprint(b.refused) != fmt.Sprint(map[uint64]scheduler.Reason{2: 1, 3: 1, 4: 1, 5: 1}) || b.lowest != 1 {
		t.Fatalf("refused %v, lowest %d", b.refused, b.lowest)
	}
}

// TestBrokenConnections keeps work from a dead upstream before any health
// report, and gives it work again once it is tried with success.
func TestBrokenConnections(t *testing.T) {
	b := newBench(2, 2)
	b.send(b.ask(1, 0), scheduler.End{ID: id(1), Usage: reserver.Usage{Outcome: reserver.Died}})
	dead := b.granted[1]
	b.send(b.ask(2, 0), b.ask(3, 0), b.ask(4, 0))
	if b.granted[2] == dead || b.granted[3] == dead || b.granted[4] != "" {
		t.Fatalf("%s is dead: %v", dead, b.granted)
	}
	b.later(2 * clock.Second)
	if b.granted[4] != dead {
		t.Fatal("the upstream is not tried again")
	}
	b.send(scheduler.Health{Upstream: dead, Up: false}, b.ask(5, 0))
	if b.granted[5] != "" {
		t.Fatal("an upstream that is down got work")
	}
}

// TestHigherTierHoldsUpstreams has a long prompt of a higher tier that does
// not fit beside another one, and a short one of a lower tier that would.
func TestHigherTierHoldsUpstreams(t *testing.T) {
	b := newBench(4)
	b.send(scheduler.Rules{Tiers: []inventory.Tier{{FirstTokenMS: 860}}})
	first, long, short := b.ask(1, 0), b.ask(2, 0), b.ask(3, 2)
	first.PromptTokens, long.PromptTokens = 5000, 5000
	b.send(first, long, short)
	if b.granted[1] == "" || b.granted[2] != "" || b.granted[3] != "" {
		t.Fatalf("granted %v", b.granted)
	}
	b.send(scheduler.FirstToken{ID: id(1)})
	if b.granted[2] == "" {
		t.Fatal("the long prompt waits although nothing is before it")
	}
}

// TestShedsWhenUpstreamsSlowDown learns that what waits is too late already.
func TestShedsWhenUpstreamsSlowDown(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0))
	waiting := b.ask(2, 1)
	waiting.Deadline = b.now + 25*clock.Second
	b.send(scheduler.Confirm{ID: id(1)}, scheduler.FirstToken{ID: id(1)}, waiting)
	b.later(20 * clock.Second)
	b.send(whole(1))
	if reason, refused := b.refused[2]; !refused || reason != scheduler.ReasonDeadline {
		t.Fatalf("granted %v, refused %v", b.granted, b.refused)
	}
}

// TestTellsPressureUntilItEnds repeats the lowest tier while a tier is shed,
// for the others forget it, and takes it back afterwards.
func TestTellsPressureUntilItEnds(t *testing.T) {
	b := newBench(1)
	b.send(b.ask(1, 0), scheduler.Confirm{ID: id(1)})
	told := 0
	for i := range uint64(60) {
		late := b.ask(10+i, 1)
		late.Deadline = b.now + 2*clock.Second
		b.send(late)
		b.lowest = -1
		b.later(100 * clock.Millisecond)
		if b.lowest == 1 {
			told++
		}
	}
	if told < 4 {
		t.Fatalf("told %d times in 4 s", told)
	}
	b.send(whole(1))
	// What still waits is shed first.
	b.later(10 * clock.Second)
	b.later(10 * clock.Second)
	if b.lowest != 2 {
		t.Fatalf("the lowest tier stays %d", b.lowest)
	}
}
