package stager

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Shares and times of the stages.
const (
	// shareGrowth is the factor by which the share grows from stage to stage.
	shareGrowth = 3
	// defaultFirstShare is the share of the first stage if the move sets none.
	defaultFirstShare = 0.05
	// maxWatchTime bounds the time for which a stage without adverse evidence is
	// watched.
	maxWatchTime = 15 * clock.Minute
	// minWatchShare is the part of a stage's time after which the stage may end
	// early.
	minWatchShare = 0.5
	// reserveShare is the part of the time until the due date that is kept in
	// reserve for delays, at most maxReserve.
	reserveShare = 0.2
	maxReserve   = 10 * clock.Minute
)

// StageShares returns the new version's share of the traffic in each stage. The
// first one is first, or defaultFirstShare if that is 0 or less; the last is 1.
func StageShares(first float64) []float64 {
	if first <= 0 {
		first = defaultFirstShare
	}
	var shares []float64
	for share := first; share < 1/1.5; share *= shareGrowth {
		shares = append(shares, share)
	}
	return append(shares, 1)
}

// stageWindow holds the times at which a stage may and must end.
type stageWindow struct {
	// earliestEnd is when the stage may end without adverse evidence, latestEnd
	// when the next stage has to begin to keep the due date.
	earliestEnd, latestEnd clock.Millis
	// lastStageStart is when the last stage must begin.
	lastStageStart clock.Millis
}

// planWindow returns the window of the present stage: the time that is left until
// the due date, without the reserve, divided evenly among the stages left before
// the last one. It is computed anew at each step.
func planWindow(m inventory.Move, row Row, stages int) stageWindow {
	reserve := min(clock.Millis(reserveShare*float64(m.Due-row.Started)), maxReserve)
	stagesLeft := clock.Millis(max(stages-1-row.Stage, 1))
	stageSpan := max((m.Due-reserve-row.StageStarted)/stagesLeft, 0)
	return stageWindow{
		earliestEnd:    row.StageStarted + min(clock.Millis(minWatchShare*float64(stageSpan)), maxWatchTime),
		latestEnd:      row.StageStarted + stageSpan,
		lastStageStart: m.Due - reserve,
	}
}

// upstreamGroup holds the upstreams of one region and generation, those with the
// fewest slots first.
type upstreamGroup struct {
	region, generation string
	upstreams          []Upstream
}

// changeOrder returns the upstreams in the order in which they change to the new
// version: spread over regions and generations, those with few slots first, and
// one of each region at the end, so that each region keeps the old version until
// then.
func changeOrder(upstreams []Upstream) []Upstream {
	groups := groupUpstreams(upstreams)
	totalSlots, changedSlots := map[string]int{}, map[string]int{}
	remaining := map[string]int{}
	for _, u := range upstreams {
		totalSlots["r/"+u.Region] += u.Slots
		totalSlots["g/"+u.Generation] += u.Slots
		remaining[u.Region]++
	}
	changedShare := func(key string) float64 { return float64(changedSlots[key]) / float64(max(totalSlots[key], 1)) }
	cost := func(g *upstreamGroup) float64 { return changedShare("r/"+g.region) + changedShare("g/"+g.generation) }
	var first, lastOfRegions []Upstream
	for range upstreams {
		nonEmpty := slices.DeleteFunc(slices.Clone(groups), func(g *upstreamGroup) bool { return len(g.upstreams) == 0 })
		next := slices.MinFunc(nonEmpty, func(a, b *upstreamGroup) int {
			return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.upstreams[0].Slots, b.upstreams[0].Slots))
		})
		u := next.upstreams[0]
		next.upstreams = next.upstreams[1:]
		changedSlots["r/"+u.Region] += u.Slots
		changedSlots["g/"+u.Generation] += u.Slots
		remaining[u.Region]--
		if remaining[u.Region] == 0 {
			lastOfRegions = append(lastOfRegions, u)
			continue
		}
		first = append(first, u)
	}
	return append(first, lastOfRegions...)
}

// nameHash is a sort key that spreads upstreams with neighbouring names over the
// order. These often share a scheduler, which would otherwise have the new
// version alone.
func nameHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// groupUpstreams returns the upstreams grouped by region and generation.
func groupUpstreams(upstreams []Upstream) (groups []*upstreamGroup) {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Slots, b.Slots), cmp.Compare(nameHash(a.Name), nameHash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range sorted {
		end := len(groups) - 1
		if end < 0 || groups[end].region != u.Region || groups[end].generation != u.Generation {
			groups = append(groups, &upstreamGroup{region: u.Region, generation: u.Generation})
			end++
		}
		groups[end].upstreams = append(groups[end].upstreams, u)
	}
	return groups
}

// servingUpstreams returns the names of the upstreams that are to serve the new
// version at a share: the first ones in ordered whose slots reach the share, at
// least one, and all at a share of 1. Upstreams that are away are included only
// at a share of 1.
func servingUpstreams(in Input, ordered []Upstream, share float64) map[string]bool {
	totalSlots := 0
	for _, u := range ordered {
		if !isAway(in, u) {
			totalSlots += u.Slots
		}
	}
	names := map[string]bool{}
	slots := 0
	for _, u := range ordered {
		if isAway(in, u) {
			if share >= 1 {
				names[u.Name] = true
			}
			continue
		}
		if share <= 0 || (share < 1 && len(names) > 0 && float64(slots) >= share*float64(totalSlots)) {
			break
		}
		names[u.Name] = true
		slots += u.Slots
	}
	return names
}
