package granter

import (
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/scheduler"
)

// TestTiersBetweenBuilds guards against a tier that an older build takes for a less or more
// important one, or that is taken so from it.
func TestTiersBetweenBuilds(t *testing.T) {
	order := inventory.NewTierOrder([]int{0, 1000, 2000}, []int{inventory.TierSpan})
	for position, tier := range []int{0, 1000, 2000, inventory.TierSpan, inventory.TierSpan + 1000, inventory.TierSpan + 2000} {
		if got := tierOf(order, &wire.Ask{Tier: int32(position)}); got != tier {
			t.Errorf("position %d of an older build is tier %d instead of %d", position, got, tier)
		}
		if got := tierOf(order, &wire.Ask{Tier: 7, TierNumber: int64(tier) + 1}); got != tier {
			t.Errorf("tier %d is taken for %d", tier, got)
		}
		told := toLowestTier(order, lowestTier{shard: "s", lowest: tier}, "t")
		if int(told.GetLowest()) != position || lowestOf(order, told) != tier {
			t.Errorf("lowest tier %d: position %d, read as %d", tier, told.GetLowest(), lowestOf(order, told))
		}
	}
	all := toLowestTier(order, lowestTier{lowest: scheduler.AllTiers}, "t")
	if lowestOf(order, all) < inventory.MaxTier || all.GetLowest() < 5 {
		t.Errorf("all tiers: position %d, read as %d", all.GetLowest(), lowestOf(order, all))
	}
	if got := lowestOf(order, &wire.LowestTier{Lowest: 5}); got != scheduler.AllTiers {
		t.Errorf("an older build admits its last tier, read as %d", got)
	}
}
