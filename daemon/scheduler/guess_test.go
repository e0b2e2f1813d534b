package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// TestDefaultEstimatesRefuseNothing guards against a scheduler that refuses all
// asks after it has taken over a shard: its default estimates are too high, and
// without a grant it never measures better ones.
func TestDefaultEstimatesRefuseNothing(t *testing.T) {
	b := newHarness(1)
	short := b.newAsk(1, 0)
	short.Deadline = b.now + 400*clock.Millisecond
	b.send(short)
	if b.granted[1] == "" {
		t.Fatalf("refused by a default estimate: %v", b.refused)
	}
}

// TestOutdatedMeasurementsExpire guards against refusing asks for ever by the
// measurements of a route that once had long answers and an upstream that was slow.
func TestOutdatedMeasurementsExpire(t *testing.T) {
	b := newHarness(1)
	for number := uint64(1); number <= 20; number++ {
		b.send(b.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
		b.now += 3 * clock.Second
		b.send(scheduler.FirstToken{ID: askID(number)})
		b.now += 20 * clock.Second
		b.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 400}})
	}
	short := b.newAsk(30, 0)
	short.Deadline = b.now + 2*clock.Second
	b.send(short)
	if _, refused := b.refused[30]; !refused {
		t.Fatal("granted an ask that can't meet its deadline by recent measurements")
	}
	b.advance(2 * clock.Minute)
	again := b.newAsk(31, 0)
	again.Deadline = b.now + 2*clock.Second
	b.send(again)
	if b.granted[31] == "" {
		t.Fatalf("refused by outdated measurements: %v", b.refused)
	}
}

// TestUnfinishedRequestsBlockNoUpstream guards against an upstream without a
// measurement that stays blocked by announced requests that never end.
func TestUnfinishedRequestsBlockNoUpstream(t *testing.T) {
	b := newHarness(4)
	b.advance(clock.Minute)
	for number := uint64(1); number <= 2; number++ {
		b.send(scheduler.Announce{Ask: b.newAsk(number, 0), Upstream: "u0"})
	}
	b.advance(clock.Minute)
	b.send(b.newAsk(3, 0))
	b.advance(2 * clock.Second)
	if b.granted[3] == "" {
		t.Fatalf("an upstream with free slots got no work: %v", b.refused)
	}
}
