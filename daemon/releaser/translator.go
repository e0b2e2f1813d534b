package releaser

import (
	"math"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
)

// Bounds on what is taken from one message.
const (
	maxReports = 64
	maxCells   = 1024
)

func toWire(r Report) *wire.ReleaseReport {
	out := &wire.ReleaseReport{Daemon: r.Daemon, Order: r.Order, AgeMs: int64(r.Age), Stopped: r.Stopped}
	switch r.Written {
	case Testing, Sharing:
		out.Written = wire.ReleaseState_RELEASE_STATE_TESTING
	case Stopped:
		out.Written = wire.ReleaseState_RELEASE_STATE_STOPPED
	case Unknown:
	}
	for cell, counts := range r.Cells {
		c := &wire.ReleaseCell{Route: cell.Route, New: cell.New, Requests: toCount(counts.Requests), Failed: toCount(counts.Failed)}
		for _, n := range counts.Slow {
			c.Slow = append(c.Slow, toCount(n))
		}
		out.Cells = append(out.Cells, c)
	}
	return out
}

// toCount converts a count, which is never negative.
func toCount(n int) uint32 { return uint32(min(n, math.MaxUint32)) }

func fromCell(in *wire.ReleaseCell) (counts Counts) {
	counts = Counts{Requests: int(in.GetRequests()), Failed: int(in.GetFailed())}
	for level, n := range in.GetSlow()[:min(len(in.GetSlow()), len(counts.Slow))] {
		counts.Slow[level] = int(n)
	}
	return counts
}

func fromWire(in *wire.ReleaseReport) Report {
	r := Report{Daemon: in.GetDaemon(), Order: in.GetOrder(), Age: clock.Millis(max(in.GetAgeMs(), 0)), Stopped: in.GetStopped()}
	switch in.GetWritten() {
	case wire.ReleaseState_RELEASE_STATE_TESTING:
		r.Written = Testing
	case wire.ReleaseState_RELEASE_STATE_STOPPED:
		r.Written = Stopped
	case wire.ReleaseState_RELEASE_STATE_UNSPECIFIED:
	}
	cells := in.GetCells()
	for _, c := range cells[:min(len(cells), maxCells)] {
		if r.Cells == nil {
			r.Cells = map[Cell]Counts{}
		}
		r.Cells[Cell{c.GetRoute(), c.GetNew()}] = fromCell(c)
	}
	return r
}
