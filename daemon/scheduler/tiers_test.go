package scheduler_test

import (
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// TestLargeTierNumbersKeepTheOrder guards against tiers that are served as one because there are
// many of them or their numbers are large, and against a late ask that falls behind more than the
// next tier.
func TestLargeTierNumbersKeepTheOrder(t *testing.T) {
	const far = inventory.TierSpan
	tiers := []int{0, 1000, 2_000_000_000, far, far + 1000, far + 2_000_000_000, 9*far + 1000}
	h := newHarness(1)
	h.send(scheduler.Rules{
		Tiers: []inventory.Tier{{Rank: 0}, {Rank: 1000}, {Rank: 2_000_000_000}}, TierOffsets: []int{far, 9 * far},
	})
	h.send(h.newAsk(100, 0), scheduler.Confirm{ID: askID(100)})
	for i := range tiers {
		number := len(tiers) - 1 - i
		h.send(h.newAsk(uint64(number), tiers[number]))
	}
	// Its objective has passed: it comes after tier 1000.
	late := h.newObjectiveAsk(50, 0, -100, 30_000)
	h.send(late)
	for position, number := range []uint64{0, 1, 50, 2, 3, 4, 5, 6} {
		previous := uint64(100)
		if position > 0 {
			previous = []uint64{0, 1, 50, 2, 3, 4, 5, 6}[position-1]
		}
		h.send(endCompleted(previous))
		if h.granted[number] == "" {
			t.Fatalf("ask %d is not granted after %d: %v", number, previous, h.granted)
		}
		h.send(scheduler.Confirm{ID: askID(number)})
	}
}
