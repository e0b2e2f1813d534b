package stager

import (
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// currentShares returns the shares for the schedulers. The new version gets at
// most share and, while the last upstreams change to it, no more than the part
// of the slots that serve it.
func (s *Stager) currentShares(in Input, next Row, share float64) scheduler.Shares {
	servedShare := servedSlotShare(in, next.To)
	switch {
	case next.Undone() || share <= 0:
		return NoTrafficShares(next.To)
	case share >= 1 && servedShare < 1:
		share = servedShare
	}
	// While the new version is limited, the old one has no share of its own: it
	// takes all other traffic, also where no upstream serves the new version.
	if share < 1 {
		return scheduler.Shares{Shares: map[string]float64{next.To: share}}
	}
	// Non-idempotent requests go to the new version only once it gets all
	// traffic.
	return scheduler.Shares{
		Shares:        map[string]float64{next.To: 1, next.From: 0},
		NonIdempotent: []string{next.To},
	}
}

// NoTrafficShares returns the shares that send no traffic to the new version.
func NoTrafficShares(to string) scheduler.Shares {
	return scheduler.Shares{Shares: map[string]float64{to: 0}}
}

// SharesFromRow returns the shares for a daemon that has read a move's row and has
// not heard from the leader yet. row is the zero Row if the move has none.
func SharesFromRow(row Row, m inventory.Move) scheduler.Shares {
	switch {
	case row.Undone() || row.Share <= 0:
		return NoTrafficShares(m.To)
	case row.Phase == PhaseSoaking || row.Phase == PhaseDone:
		return scheduler.Shares{Shares: map[string]float64{m.To: 1, m.From: 0}, NonIdempotent: []string{m.To}}
	default:
		return scheduler.Shares{Shares: map[string]float64{m.To: row.Share}}
	}
}

// servedSlotShare returns the part of the slots whose upstreams report the
// version. Upstreams that are away don't count.
func servedSlotShare(in Input, version string) float64 {
	totalSlots, servingSlots := 0, 0
	for _, u := range in.Upstreams {
		if isAway(in, u) {
			continue
		}
		totalSlots += u.Slots
		if u.Report.Version == version {
			servingSlots += u.Slots
		}
	}
	return float64(servingSlots) / float64(max(totalSlots, 1))
}
