package sharder_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// TestSmallerSideOfAPartitionIsKnown guards against a side of a partition that takes itself for
// the whole fleet, and against planned stops that look like a partition.
func TestSmallerSideOfAPartitionIsKnown(t *testing.T) {
	all := []gossiper.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
	var c sharder.Census
	check := func(now clock.Millis, members []gossiper.Member, want bool) {
		t.Helper()
		c.Track(now, members)
		if c.MaySeeSmallerSide() != want {
			t.Errorf("at %d with %d members: %v, want %v", now, len(members), !want, want)
		}
	}
	check(0, nil, false)
	check(1, all[:1], false)
	check(2, all, false)
	check(3, all[:3], false)
	check(4, all[:2], true)
	check(5, all, false)
	leaving := append([]gossiper.Member{}, all...)
	for i := range leaving[1:] {
		leaving[i+1].State = gossiper.Leaving
	}
	check(6, leaving, false)
	check(7, all[:1], false)
	check(8, all, false)
	check(9, all[1:2], true)
	check(9+clock.Minute, all[1:2], true)
	check(10+clock.Minute, all[1:2], false)
}
