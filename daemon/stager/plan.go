package stager

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Constants of the plan.
const (
	// growth is how many times the share of the stage before a stage gets.
	growth = 3
	// defaultFirstShare is used where a move names none.
	defaultFirstShare = 0.05
	// maxWatch bounds the time that a stage is watched although all is well.
	maxWatch = 15 * clock.Minute
	// watchShare is the part of a stage's time after which it may end early.
	watchShare = 0.5
	// reserveShare is the part of the time until the due date that the plan
	// leaves free for what comes late, at most maxReserve.
	reserveShare = 0.2
	maxReserve   = 10 * clock.Minute
)

// Shares returns the shares of the stages, the last of which is 1.
func Shares(first float64) []float64 {
	if first <= 0 {
		first = defaultFirstShare
	}
	var shares []float64
	for share := first; share < 1/1.5; share *= growth {
		shares = append(shares, share)
	}
	return append(shares, 1)
}

// window is the time of one stage.
type window struct {
	// early is when the stage may end if all is well, late when the plan needs
	// the next stage to begin.
	early, late clock.Millis
	// end is when the last stage must begin.
	end clock.Millis
}

// plan returns the present stage's window, counted backwards from the due date
// over the stages that are left, anew at each look.
func plan(m inventory.Move, row Row, stages int) window {
	reserve := min(clock.Millis(reserveShare*float64(m.Due-row.Started)), maxReserve)
	left := clock.Millis(max(stages-1-row.Stage, 1))
	span := max((m.Due-reserve-row.StageStarted)/left, 0)
	return window{
		early: row.StageStarted + min(clock.Millis(watchShare*float64(span)), maxWatch),
		late:  row.StageStarted + span,
		end:   m.Due - reserve,
	}
}

// group holds the upstreams of a region and a generation, the smallest first.
type group struct {
	region, generation string
	upstreams          []Upstream
}

// order returns the upstreams in the order in which they change: spread over
// regions and generations, the small ones first, and the last one of each
// region at the end, so that a region keeps the old version until then.
func order(upstreams []Upstream) []Upstream {
	groups := groupsOf(upstreams)
	slots, taken := map[string]int{}, map[string]int{}
	count := map[string]int{}
	for _, u := range upstreams {
		slots["r/"+u.Region] += u.Slots
		slots["g/"+u.Generation] += u.Slots
		count[u.Region]++
	}
	share := func(key string) float64 { return float64(taken[key]) / float64(max(slots[key], 1)) }
	cost := func(g *group) float64 { return share("r/"+g.region) + share("g/"+g.generation) }
	var first, last []Upstream
	for range upstreams {
		left := slices.DeleteFunc(slices.Clone(groups), func(g *group) bool { return len(g.upstreams) == 0 })
		next := slices.MinFunc(left, func(a, b *group) int {
			return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.upstreams[0].Slots, b.upstreams[0].Slots))
		})
		u := next.upstreams[0]
		next.upstreams = next.upstreams[1:]
		taken["r/"+u.Region] += u.Slots
		taken["g/"+u.Generation] += u.Slots
		count[u.Region]--
		if count[u.Region] == 0 {
			last = append(last, u)
			continue
		}
		first = append(first, u)
	}
	return append(first, last...)
}

// mix spreads neighbours in the order of names, which often share a scheduler,
// so that none of them has the new version alone.
func mix(name string) uint64 {
	return xxhash.Sum64String(name)
}

func groupsOf(upstreams []Upstream) (groups []*group) {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Slots, b.Slots), cmp.Compare(mix(a.Name), mix(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range sorted {
		end := len(groups) - 1
		if end < 0 || groups[end].region != u.Region || groups[end].generation != u.Generation {
			groups = append(groups, &group{region: u.Region, generation: u.Generation})
			end++
		}
		groups[end].upstreams = append(groups[end].upstreams, u)
	}
	return groups
}

// chosen returns the names of those that serve the new version at the share:
// the first whose slots reach it, at least one, and all at 1. Upstreams that
// are away are passed over, and wanted on the new version only at 1.
func chosen(in Input, ordered []Upstream, share float64) map[string]bool {
	total := 0
	for _, u := range ordered {
		if !away(in, u) {
			total += u.Slots
		}
	}
	names := map[string]bool{}
	sum := 0
	for _, u := range ordered {
		if away(in, u) {
			if share >= 1 {
				names[u.Name] = true
			}
			continue
		}
		if share <= 0 || (share < 1 && len(names) > 0 && float64(sum) >= share*float64(total)) {
			break
		}
		names[u.Name] = true
		sum += u.Slots
	}
	return names
}
