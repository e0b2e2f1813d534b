package resolver

import (
	"cmp"
	"math"
	"slices"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
)

// Sizes of an answer.
const (
	// maxAddresses bounds an answer.
	maxAddresses = 16
	// maxFarAddresses bounds the addresses from outside of the caller's region
	// where its own region has any.
	maxFarAddresses = 4
	// leastWeight keeps a daemon that reports full load in the order.
	leastWeight = 0.05
)

// Order returns the daemons that a caller of the region should use, the best
// first. random returns numbers in [0, 1) and spreads callers over daemons by
// what these have left.
//
// Proved daemons alone are named where there is one: alive and with a
// configuration in force. Where all are doubtful, the best known follow, for
// an answer that may work is better than none; those that leave come last.
func Order(members []gossiper.Member, regions []inventory.Region, region string, random func() float64) []Address {
	chosen := filter(members, proved)
	if len(chosen) == 0 {
		chosen = filter(members, func(m gossiper.Member) bool { return m.State != gossiper.Leaving })
	}
	if len(chosen) == 0 {
		chosen = members
	}
	distance := distances(regions, region)
	keys := map[string]float64{}
	for _, m := range chosen {
		weight := max(1-m.Load, leastWeight)
		keys[m.Name] = -math.Pow(random(), 1/weight)
	}
	chosen = slices.Clone(chosen)
	slices.SortFunc(chosen, func(a, b gossiper.Member) int {
		return cmp.Or(
			cmp.Compare(doubt(a), doubt(b)),
			cmp.Compare(distance(a.Region), distance(b.Region)),
			cmp.Compare(keys[a.Name], keys[b.Name]),
		)
	})
	return addresses(chosen, region)
}

func proved(m gossiper.Member) bool {
	return m.State == gossiper.Alive && m.Revision > 0
}

// doubt ranks states: an unproved member is better than a suspected one.
func doubt(m gossiper.Member) int {
	switch {
	case proved(m):
		return 0
	case m.State == gossiper.Alive:
		return 1
	default:
		return int(m.State) + 1
	}
}

func filter(members []gossiper.Member, keep func(gossiper.Member) bool) (kept []gossiper.Member) {
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// distances returns the rank of each region as seen from one: 0 for itself,
// then as the inventory says, then all others.
func distances(regions []inventory.Region, from string) func(string) int {
	home, _ := inventory.Lookup(regions, from)
	return func(region string) int {
		if region == from {
			return 0
		}
		if at := slices.Index(home.Nearest, region); at >= 0 {
			return at + 1
		}
		return len(home.Nearest) + 1
	}
}

// addresses bounds the answer and leaves room for some outside of the region,
// for the day on which the region fails as a whole.
func addresses(members []gossiper.Member, region string) []Address {
	near, far := []Address{}, []Address{}
	for _, m := range members {
		a := Address{Address: m.Listen, Region: m.Region}
		if m.Region == region {
			near = append(near, a)
			continue
		}
		far = append(far, a)
	}
	if len(near) == 0 {
		return far[:min(maxAddresses, len(far))]
	}
	far = far[:min(maxFarAddresses, len(far))]
	near = near[:min(maxAddresses-len(far), len(near))]
	return append(near, far...)
}
