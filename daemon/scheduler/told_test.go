package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
)

// serve grants one ask, waits for its time to the first token and ends it, on an upstream that tells
// its load by its name.
func (h *harness) serve(told map[string]scheduler.Told, took clock.Millis) (upstream string) {
	h.nextNumber++
	number := h.nextNumber
	h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
	upstream = h.granted[number]
	h.advance(took)
	h.send(scheduler.FirstToken{ID: askID(number), Told: told[upstream]}, endCompleted(number))
	return upstream
}

// TestRequestsOfOtherSchedulersTakeRoom guards against slots that are granted although the upstream has
// told that others use them, and against room that stays taken when the word is old.
func TestRequestsOfOtherSchedulersTakeRoom(t *testing.T) {
	h := newHarness(4)
	busy := scheduler.Told{Running: 4, Waiting: 3, Slots: 4}
	for range 3 {
		h.serve(map[string]scheduler.Told{"u0": busy}, 20)
	}
	h.nextNumber++
	h.send(h.newAsk(h.nextNumber, 0))
	if upstream, granted := h.granted[h.nextNumber]; granted {
		t.Errorf("a slot on %s was granted, which is full", upstream)
	}
	h.advance(1100)
	if _, granted := h.granted[h.nextNumber]; !granted {
		t.Error("no slot was granted a second after the upstream's last word")
	}
}

// TestOwnRequestsAreNotForeign guards against an upstream whose own word makes its scheduler count
// each of its requests twice.
func TestOwnRequestsAreNotForeign(t *testing.T) {
	h := newHarness(4)
	for number := range uint64(3) {
		h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
	}
	h.advance(20)
	for number := range uint64(3) {
		h.send(scheduler.FirstToken{ID: askID(number), Told: scheduler.Told{Running: 3, Slots: 4, Age: 2}})
	}
	h.send(h.newAsk(99, 0))
	if _, granted := h.granted[99]; !granted {
		t.Error("the fourth slot was not granted")
	}
}
