package stager

import (
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// Input is all that one step depends on.
type Input struct {
	Now  clock.Millis
	Move inventory.Move
	// Row is what the table holds; the zero value for no row.
	Row Row
	// Upstreams are those of the move's pool and regions that are not leaving.
	Upstreams []Upstream
	Evidence  Evidence
	// Epoch and LeaderSince are the present leader's.
	Epoch       int64
	LeaderSince clock.Millis
}

// Output is what one step wants.
type Output struct {
	// Row is to be written to the table where it differs from the input's.
	Row Row
	// Shares are in force now. They never exceed what the table holds.
	Shares scheduler.Shares
	Orders []Order
}

// Stager holds what one leader remembers of one move. The zero value works.
type Stager struct {
	// sent are the orders whose effect is not reported yet, by upstream.
	sent map[string]sent
}

// Step looks at the world and returns what to do. A share grows in two steps,
// first in the row, then, when the input brings that row back, in the shares;
// it falls at once.
func (s *Stager) Step(in Input) Output {
	next := s.advance(in)
	next.Verdict = in.Evidence.Verdict
	if in.Row.Verdict.Bad {
		next.Verdict = in.Row.Verdict
	}
	if same(next, in.Row) {
		next.Epoch, next.Verdict = in.Row.Epoch, in.Row.Verdict
	}
	ordered := order(in.Upstreams)
	share := min(in.Row.Share, next.Share)
	out := Output{Row: next, Shares: s.shares(in, next, share)}
	if in.Move.State != inventory.MovePause || next.Undone() {
		out.Orders = s.orders(in, ordered, s.wishes(in, next, ordered, share))
	}
	return out
}

// same tells whether two rows differ in nothing that is worth a write.
func same(a, b Row) bool {
	return a.Move == b.Move && a.Pool == b.Pool && a.From == b.From && a.To == b.To &&
		a.Phase == b.Phase && a.Stage == b.Stage && a.Share == b.Share && a.Cause == b.Cause &&
		a.Started == b.Started && a.StageStarted == b.StageStarted && a.Finished == b.Finished
}

// advance returns the row that the move should have now.
func (s *Stager) advance(in Input) Row {
	row := in.Row
	if row.Phase == "" || row.Phase == PhaseWaiting {
		row = Row{Phase: PhaseLoading, Started: in.Now}
	}
	row.Move, row.Pool, row.From, row.To, row.Epoch = in.Move.Name, in.Move.Pool, in.Move.From, in.Move.To, in.Epoch
	if cause, why := undoCause(in, row); cause != "" {
		return undo(row, cause, why)
	}
	switch row.Phase {
	case PhaseUndoing, PhaseUndone:
		return s.back(in, row)
	case PhaseLoading:
		return s.load(in, row)
	case PhaseStaged:
		return s.grow(in, row)
	case PhaseSoaking:
		return soak(in, row)
	case PhaseDone, PhaseWaiting:
	}
	return row
}

// undoCause tells why the move has to be taken back now; empty for not at all.
func undoCause(in Input, row Row) (cause Cause, why string) {
	if row.Undone() || row.Phase == PhaseDone {
		return "", ""
	}
	v := in.Evidence.Verdict
	switch {
	case in.Move.State == inventory.MoveUndo:
		return CauseOperator, "an operator asked for it"
	case v.Bad:
		return CauseBad, fmt.Sprintf("%s on %d of %d requests %s",
			v.Test, v.Events, v.Requests, v.Cell)
	default:
		return "", ""
	}
}

func undo(row Row, cause Cause, why string) Row {
	row.Phase, row.Cause, row.Why, row.Share = PhaseUndoing, cause, why, 0
	return row
}

// back waits until all upstreams report the old version alone. A move that
// only an operator took back starts again when the operator wants it to run.
func (s *Stager) back(in Input, row Row) Row {
	if row.Cause == CauseOperator && in.Move.State == inventory.MoveRun {
		return Row{
			Move: row.Move, Pool: row.Pool, From: row.From, To: row.To, Epoch: row.Epoch,
			Phase: PhaseLoading, Started: in.Now, Why: "started again by an operator",
		}
	}
	done := func(u Upstream) bool {
		return current(in, u) && u.Report.Version == row.From && u.Report.Loading != row.To && !slices.Contains(u.Report.Loaded, row.To)
	}
	if row.Phase == PhaseUndoing && every(in, done) {
		row.Phase = PhaseUndone
	}
	return row
}

// load waits for the first stage's upstreams.
func (s *Stager) load(in Input, row Row) Row {
	if in.Move.State == inventory.MovePause {
		return row
	}
	first := Shares(in.Move.FirstShare)[0]
	names := chosen(in, order(in.Upstreams), first)
	row.Why = "the first upstreams load the new version"
	ready := 0
	for _, u := range in.Upstreams {
		if names[u.Name] && current(in, u) && slices.Contains(u.Report.Loaded, row.To) {
			ready++
		}
	}
	if len(names) == 0 || ready < len(names) {
		return row
	}
	row.Phase = PhaseStaged
	return raise(in, row, 0, first, "the first stage is watched")
}

// grow goes to the next stage when this one has shown enough.
func (s *Stager) grow(in Input, row Row) Row {
	shares := Shares(in.Move.FirstShare)
	if row.Stage >= len(shares)-1 {
		return finish(in, row)
	}
	old, fresh := count(in.Evidence.Total, row.From), count(in.Evidence.Total, row.To)
	if in.Move.State == inventory.MovePause {
		row.Why = "paused by an operator"
		return row
	}
	old, fresh = old.since(row.AtOld), fresh.since(row.AtFresh)
	times := plan(in.Move, row, len(shares))
	switch {
	case in.Now >= in.Move.Due && row.Stage == 0 && !enough(fresh, old):
		return dueWithoutEvidence(in, row, len(shares)-1)
	case in.Now >= times.end && row.Stage > 0:
		// Earlier stages have shown enough, and nothing was found since.
		return raise(in, row, len(shares)-1, 1, "the date is near and nothing speaks against the new version")
	case !enough(fresh, old):
		row.Why = "too few requests on the new version yet"
		return row
	case in.Now < times.early:
		row.Why = "the stage is watched for its time"
		return row
	case in.Now < times.late && in.Evidence.Suspicion > maxSuspicion:
		row.Why = "something speaks against the new version, not enough to tell"
		return row
	case in.Now < times.late && !loadSeen(fresh, old):
		row.Why = "no load like the old version's seen yet"
		return row
	}
	return raise(in, row, row.Stage+1, shares[row.Stage+1], "the share grows")
}

func dueWithoutEvidence(in Input, row Row, last int) Row {
	if in.Move.UndoWithoutEvidence {
		return undo(row, CauseNoEvidence, "due without evidence")
	}
	return raise(in, row, last, 1, "due without evidence against the new version")
}

func raise(in Input, row Row, stage int, share float64, why string) Row {
	row.Stage, row.Share, row.StageStarted, row.Why = stage, share, in.Now, why
	row.AtOld, row.AtFresh = count(in.Evidence.Total, row.From), count(in.Evidence.Total, row.To)
	return row
}

// finish waits until all upstreams report the new version.
func finish(in Input, row Row) Row {
	serves := func(u Upstream) bool { return u.Report.Version == row.To }
	if in.Row.Share < 1 || !every(in, serves) {
		row.Why = "the last upstreams change to the new version"
		return row
	}
	row.Phase, row.Finished, row.Why = PhaseSoaking, in.Now, "the old version stays loaded"
	return row
}

func soak(in Input, row Row) Row {
	if in.Now >= row.Finished+in.Move.SoakMS && in.Move.State != inventory.MovePause {
		row.Phase, row.Why = PhaseDone, "the soak time showed nothing against it"
	}
	return row
}

// current tells whether the upstream's report comes from this leader's time.
func current(in Input, u Upstream) bool {
	return u.Report.At > 0 && u.Report.At >= in.LeaderSince
}

// every tells whether the condition holds for all upstreams that are not away;
// it does not hold while all are.
func every(in Input, holds func(Upstream) bool) bool {
	present := 0
	for _, u := range in.Upstreams {
		if away(in, u) {
			continue
		}
		present++
		if !holds(u) {
			return false
		}
	}
	return present > 0
}

// wishes returns the wanted state of each upstream.
func (s *Stager) wishes(in Input, next Row, ordered []Upstream, share float64) func(Upstream) wish {
	serving := chosen(in, ordered, share)
	return func(u Upstream) wish {
		switch {
		case next.Undone():
			return wish{serve: next.From, unload: next.To}
		case next.Phase == PhaseDone && in.Row.Phase == PhaseDone:
			return wish{serve: next.To, unload: next.From}
		case serving[u.Name]:
			return wish{serve: next.To, load: next.From}
		default:
			return wish{serve: next.From, load: next.To}
		}
	}
}
