package inventory

import "testing"

// TestTierOrder guards against tiers whose position or successor depends on the size of their
// numbers.
func TestTierOrder(t *testing.T) {
	const far = TierSpan
	order := NewTierOrder([]int{7, 0, 2_000_000_000}, []int{5 * far, 0, far, far})
	tiers := []int{0, 7, 2_000_000_000, far, far + 7, far + 2_000_000_000, 5 * far, 5*far + 7, 5*far + 2_000_000_000}
	for position, tier := range tiers {
		if order.Position(tier) != position || order.At(position) != tier || !order.IsUsed(tier) {
			t.Errorf("tier %d: position %d instead of %d, which is tier %d", tier, order.Position(tier), position, order.At(position))
		}
		next := tier + 1
		if position+1 < len(tiers) {
			next = tiers[position+1]
		}
		if order.Next(tier) != next {
			t.Errorf("tier %d: next is %d instead of %d", tier, order.Next(tier), next)
		}
	}
	if order.Next(3) != 7 || order.Next(2*far) != 5*far || order.IsUsed(3) || order.Last() != tiers[8] {
		t.Errorf("next of unused tiers %d and %d, last %d", order.Next(3), order.Next(2*far), order.Last())
	}
}

// TestTierOrderOfOverlappingOffsets guards against offsets by a few ranks that are taken for tiers
// of their own.
func TestTierOrderOfOverlappingOffsets(t *testing.T) {
	order := NewTierOrder([]int{0, 1, 2}, []int{1})
	for tier := range 3 {
		if order.Position(tier) != tier || order.Next(tier) != tier+1 {
			t.Errorf("tier %d: position %d, next %d", tier, order.Position(tier), order.Next(tier))
		}
	}
	if order.Last() != 2 {
		t.Errorf("last %d", order.Last())
	}
	if empty := (TierOrder{}); empty.Next(3) != 4 || empty.Position(3) != 3 || empty.Last() != 0 {
		t.Error("the zero order fails")
	}
}
