package stager

import (
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// shares returns the shares for the schedulers: at most share for the new
// version, and no more than its upstreams can carry while the last ones change.
func (s *Stager) shares(in Input, next Row, share float64) scheduler.Shares {
	ready := served(in, next.To)
	switch {
	case next.Undone() || share <= 0:
		return Stopped(next.To)
	case share >= 1 && ready < 1:
		share = ready
	}
	// The old version is not named while the new one is limited: it takes all
	// that the new one does not, also where no upstream serves the new one.
	if share < 1 {
		return scheduler.Shares{Shares: map[string]float64{next.To: share}}
	}
	// Requests that must not run twice come to the new version last.
	return scheduler.Shares{
		Shares:        map[string]float64{next.To: 1, next.From: 0},
		NonIdempotent: []string{next.To},
	}
}

// Stopped returns the shares that keep all traffic from the new version.
func Stopped(to string) scheduler.Shares {
	return scheduler.Shares{Shares: map[string]float64{to: 0}}
}

// Resume returns the shares for a daemon that knows a move's row, or the zero
// row where there is none, and nothing of its leader.
func Resume(row Row, m inventory.Move) scheduler.Shares {
	switch {
	case row.Undone() || row.Share <= 0:
		return Stopped(m.To)
	case row.Phase == PhaseSoaking || row.Phase == PhaseDone:
		return scheduler.Shares{Shares: map[string]float64{m.To: 1, m.From: 0}, NonIdempotent: []string{m.To}}
	default:
		return scheduler.Shares{Shares: map[string]float64{m.To: row.Share}}
	}
}

// served is the part of the present slots whose upstreams report the version.
func served(in Input, version string) float64 {
	all, some := 0, 0
	for _, u := range in.Upstreams {
		if away(in, u) {
			continue
		}
		all += u.Slots
		if u.Report.Version == version {
			some += u.Slots
		}
	}
	return float64(some) / float64(max(all, 1))
}
