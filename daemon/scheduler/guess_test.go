package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// TestGuessesRefuseNothing is about a scheduler that has just taken a shard
// over: its first estimates must not keep it from ever making better ones.
func TestGuessesRefuseNothing(t *testing.T) {
	b := newBench(1)
	short := b.ask(1, 0)
	short.Deadline = b.now + 400*clock.Millisecond
	b.send(short)
	if b.granted[1] == "" {
		t.Fatalf("refused on a guess: %v", b.refused)
	}
}

// TestStaleEstimatesAreTriedAgain is about a route that had long answers
// once, and an upstream that was slow once.
func TestStaleEstimatesAreTriedAgain(t *testing.T) {
	b := newBench(1)
	for number := uint64(1); number <= 20; number++ {
		b.send(b.ask(number, 0), scheduler.Confirm{ID: id(number)})
		b.now += 3 * clock.Second
		b.send(scheduler.FirstToken{ID: id(number)})
		b.now += 20 * clock.Second
		b.send(scheduler.End{ID: id(number), Usage: reserver.Usage{Outcome: reserver.Whole, OutputTokens: 400}})
	}
	short := b.ask(30, 0)
	short.Deadline = b.now + 2*clock.Second
	b.send(short)
	if _, refused := b.refused[30]; !refused {
		t.Fatal("granted what measurements say can't be answered")
	}
	b.later(2 * clock.Minute)
	again := b.ask(31, 0)
	again.Deadline = b.now + 2*clock.Second
	b.send(again)
	if b.granted[31] == "" {
		t.Fatalf("refused on old measurements: %v", b.refused)
	}
}

// TestSilentRequestsBlockNoUpstream has a new scheduler learn of requests that
// never end, on an upstream of which it knows nothing.
func TestSilentRequestsBlockNoUpstream(t *testing.T) {
	b := newBench(4)
	b.later(clock.Minute)
	for number := uint64(1); number <= 2; number++ {
		b.send(scheduler.Announce{Ask: b.ask(number, 0), Upstream: "u0"})
	}
	b.later(clock.Minute)
	b.send(b.ask(3, 0))
	b.later(2 * clock.Second)
	if b.granted[3] == "" {
		t.Fatalf("an upstream with free slots got no work: %v", b.refused)
	}
}
