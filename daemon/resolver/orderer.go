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
	// maxAddresses bounds the addresses in an answer.
	maxAddresses = 16
	// maxRemoteAddresses bounds the addresses from outside of the caller's region
	// if its own region has any.
	maxRemoteAddresses = 4
	// minWeight is the weight of a daemon that reports full load, so that such a
	// daemon still has a place in the order.
	minWeight = 0.05
)

// Order returns the daemons that a caller of the region should use, the best
// first. random returns numbers in [0, 1); among daemons of equal state and
// distance it spreads callers with the spare capacity as weight.
//
// If any daemon is eligible, that is alive and with a configuration in force,
// only eligible ones are returned, and of them those that are cut off from the
// upstreams only if all are. If none is, the others are returned, since an
// answer that may work is better than none; leaving ones only if all are leaving.
func Order(members []gossiper.Member, regions []inventory.Region, region string, random func() float64) []Address {
	chosen := filterMembers(members, func(m gossiper.Member) bool { return eligible(m) && !m.CutOff })
	if len(chosen) == 0 {
		chosen = filterMembers(members, eligible)
	}
	if len(chosen) == 0 {
		chosen = filterMembers(members, func(m gossiper.Member) bool { return m.State != gossiper.Leaving })
	}
	if len(chosen) == 0 {
		chosen = members
	}
	distance := regionDistance(regions, region)
	sortKeys := map[string]float64{}
	for _, m := range chosen {
		weight := max(1-m.Load, minWeight)
		sortKeys[m.Name] = -math.Pow(random(), 1/weight)
	}
	chosen = slices.Clone(chosen)
	slices.SortFunc(chosen, func(a, b gossiper.Member) int {
		return cmp.Or(
			cmp.Compare(stateRank(a), stateRank(b)),
			cmp.Compare(distance(a.Region), distance(b.Region)),
			cmp.Compare(sortKeys[a.Name], sortKeys[b.Name]),
		)
	})
	return boundAddresses(chosen, region)
}

// eligible reports whether the member is alive and has a configuration in force.
func eligible(m gossiper.Member) bool {
	return m.State == gossiper.Alive && m.Revision > 0
}

// stateRank returns the rank of a member by its state, 0 for the best. An alive
// member without a configuration ranks before a suspected one.
func stateRank(m gossiper.Member) int {
	switch {
	case eligible(m):
		return 0
	case m.State == gossiper.Alive:
		return 1
	default:
		return int(m.State) + 1
	}
}

func filterMembers(members []gossiper.Member, keep func(gossiper.Member) bool) (kept []gossiper.Member) {
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

// regionDistance returns a function that ranks regions by their distance from
// one: 0 for itself, then the order of its Nearest list, then all others equal.
func regionDistance(regions []inventory.Region, from string) func(string) int {
	home, _ := inventory.Lookup(regions, from)
	return func(region string) int {
		if region == from {
			return 0
		}
		if index := slices.Index(home.Nearest, region); index >= 0 {
			return index + 1
		}
		return len(home.Nearest) + 1
	}
}

// boundAddresses limits the answer to maxAddresses. If the region has any
// members, it adds up to maxRemoteAddresses of other regions to theirs, in case
// the region fails as a whole.
func boundAddresses(members []gossiper.Member, region string) []Address {
	local, remote := []Address{}, []Address{}
	for _, m := range members {
		a := Address{Address: m.Listen, Region: m.Region}
		if m.Region == region {
			local = append(local, a)
			continue
		}
		remote = append(remote, a)
	}
	if len(local) == 0 {
		return remote[:min(maxAddresses, len(remote))]
	}
	remote = remote[:min(maxRemoteAddresses, len(remote))]
	local = local[:min(maxAddresses-len(remote), len(local))]
	return append(local, remote...)
}
