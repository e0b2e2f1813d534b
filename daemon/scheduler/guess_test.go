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
	h := newHarness(1)
	short := h.newAsk(1, 0)
	short.Deadline = h.now + 400*clock.Millisecond
	h.send(short)
	if h.granted[1] == "" {
		t.Fatalf("refused by a default estimate: %v", h.refused)
	}
}

// TestOutdatedMeasurementsExpire guards against refusing asks for ever by the
// measurements of a route that once had long answers and an upstream that was slow.
func TestOutdatedMeasurementsExpire(t *testing.T) {
	h := newHarness(1)
	for number := uint64(1); number <= 20; number++ {
		h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
		h.now += 3 * clock.Second
		h.send(scheduler.FirstToken{ID: askID(number)})
		h.now += 20 * clock.Second
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 400}})
	}
	short := h.newAsk(30, 0)
	short.Deadline = h.now + 2*clock.Second
	h.send(short)
	if _, refused := h.refused[30]; !refused {
		t.Fatal("granted an ask that can't meet its deadline by recent measurements")
	}
	h.advance(2 * clock.Minute)
	again := h.newAsk(31, 0)
	again.Deadline = h.now + 2*clock.Second
	h.send(again)
	if h.granted[31] == "" {
		t.Fatalf("refused by outdated measurements: %v", h.refused)
	}
}

// TestUnfinishedRequestsBlockNoUpstream guards against an upstream without a
// measurement that stays blocked by announced requests that never end.
func TestUnfinishedRequestsBlockNoUpstream(t *testing.T) {
	h := newHarness(4)
	h.advance(clock.Minute)
	for number := uint64(1); number <= 2; number++ {
		h.send(scheduler.Announce{Ask: h.newAsk(number, 0), Upstream: "u0"})
	}
	h.advance(clock.Minute)
	h.send(h.newAsk(3, 0))
	h.advance(2 * clock.Second)
	if h.granted[3] == "" {
		t.Fatalf("an upstream with free slots got no work: %v", h.refused)
	}
}
