package stager

import (
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// Input is the input of one step of a Stager.
type Input struct {
	Now  clock.Millis
	Move inventory.Move
	// Row is the row in the table; the zero value if there is none.
	Row Row
	// Upstreams are the upstreams of the move's pool and regions that are not
	// leaving.
	Upstreams []Upstream
	Evidence  Evidence
	// Epoch is the fencing number of the present leader, LeaderSince when its
	// leadership began.
	Epoch       int64
	LeaderSince clock.Millis
}

// Output is the output of one step of a Stager.
type Output struct {
	// Row is to be written to the table if it differs from that of the input.
	Row Row
	// Shares take effect at once. The new version's share never exceeds that of
	// the row in the table.
	Shares scheduler.Shares
	Orders []Order
}

// Stager is a leader's state of one move. The zero value is ready to use.
type Stager struct {
	// sent are the orders whose effect is not reported yet, by upstream.
	sent map[string]sentOrder
}

// Step returns the next row, the shares and the orders for the observed state. A
// share grows in two steps: first in the row and, once the input has that row
// from the table, in the shares. It falls at once.
func (s *Stager) Step(in Input) Output {
	next := s.advance(in)
	next.Verdict = in.Evidence.Verdict
	if in.Row.Verdict.Bad {
		next.Verdict = in.Row.Verdict
	}
	if equalState(next, in.Row) {
		next.Epoch, next.Verdict = in.Row.Epoch, in.Row.Verdict
	}
	ordered := changeOrder(in.Upstreams)
	share := min(in.Row.Share, next.Share)
	out := Output{Row: next, Shares: s.currentShares(in, next, share)}
	if in.Move.State != inventory.MovePause || next.Undone() {
		out.Orders = s.planOrders(in, ordered, s.desiredStates(in, next, ordered, share))
	}
	return out
}

// equalState reports whether two rows are equal except for texts, counts, verdict
// and epoch, which alone are not worth a write.
func equalState(a, b Row) bool {
	return a.Move == b.Move && a.Pool == b.Pool && a.From == b.From && a.To == b.To &&
		a.Phase == b.Phase && a.Stage == b.Stage && a.Share == b.Share && a.Cause == b.Cause &&
		a.Started == b.Started && a.StageStarted == b.StageStarted && a.Finished == b.Finished
}

// advance returns the next row of the move.
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
		return s.awaitUndo(in, row)
	case PhaseLoading:
		return s.awaitFirstLoads(in, row)
	case PhaseStaged:
		return s.advanceStage(in, row)
	case PhaseSoaking:
		return awaitSoakEnd(in, row)
	case PhaseDone, PhaseWaiting:
	}
	return row
}

// undoCause returns the cause and text if the move has to be undone now, and
// empty strings otherwise.
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

// undo returns the row of a move that begins to be undone.
func undo(row Row, cause Cause, why string) Row {
	row.Phase, row.Cause, row.Explanation, row.Share = PhaseUndoing, cause, why, 0
	return row
}

// awaitUndo waits until all upstreams report the old version alone. A move that
// was undone by an operator starts again if the operator sets it to run.
func (s *Stager) awaitUndo(in Input, row Row) Row {
	if row.Cause == CauseOperator && in.Move.State == inventory.MoveRun {
		return Row{
			Move: row.Move, Pool: row.Pool, From: row.From, To: row.To, Epoch: row.Epoch,
			Phase: PhaseLoading, Started: in.Now, Explanation: "started again by an operator",
		}
	}
	isUndone := func(u Upstream) bool {
		return isCurrent(in, u) && u.Report.Version == row.From && u.Report.Loading != row.To && !slices.Contains(u.Report.Loaded, row.To)
	}
	if row.Phase == PhaseUndoing && holdsForPresent(in, isUndone) {
		row.Phase = PhaseUndone
	}
	return row
}

// awaitFirstLoads waits until the upstreams of the first stage have loaded the
// new version.
func (s *Stager) awaitFirstLoads(in Input, row Row) Row {
	if in.Move.State == inventory.MovePause {
		return row
	}
	firstShare := StageShares(in.Move.FirstShare)[0]
	firstUpstreams := servingUpstreams(in, changeOrder(in.Upstreams), firstShare)
	row.Explanation = "the first upstreams load the new version"
	loaded := 0
	for _, u := range in.Upstreams {
		if firstUpstreams[u.Name] && isCurrent(in, u) && slices.Contains(u.Report.Loaded, row.To) {
			loaded++
		}
	}
	if len(firstUpstreams) == 0 || loaded < len(firstUpstreams) {
		return row
	}
	row.Phase = PhaseStaged
	return enterStage(in, row, 0, firstShare, "the first stage is watched")
}

// advanceStage enters the next stage once the present one has enough evidence or
// the due date requires it.
func (s *Stager) advanceStage(in Input, row Row) Row {
	shares := StageShares(in.Move.FirstShare)
	if row.Stage >= len(shares)-1 {
		return awaitLastUpstreams(in, row)
	}
	oldCounts, newCounts := countRequests(in.Evidence.Total, row.From), countRequests(in.Evidence.Total, row.To)
	if in.Move.State == inventory.MovePause {
		row.Explanation = "paused by an operator"
		return row
	}
	oldCounts, newCounts = oldCounts.minus(row.OldCounts), newCounts.minus(row.NewCounts)
	window := planWindow(in.Move, row, len(shares))
	switch {
	case in.Now >= in.Move.Due && row.Stage == 0 && !hasEnoughRequests(newCounts, oldCounts):
		return dueWithoutEvidence(in, row, len(shares)-1)
	case in.Now >= window.lastStageStart && row.Stage > 0:
		// At least one earlier stage had enough evidence, and the new version has
		// not been judged bad since.
		return enterStage(in, row, len(shares)-1, 1, "the date is near and nothing speaks against the new version")
	case !hasEnoughRequests(newCounts, oldCounts):
		row.Explanation = "too few requests on the new version yet"
		return row
	case in.Now < window.earliestEnd:
		row.Explanation = "the stage is watched for its time"
		return row
	case in.Now < window.latestEnd && in.Evidence.CurrentEvidence > maxCurrentEvidence:
		row.Explanation = "something speaks against the new version, not enough to tell"
		return row
	case in.Now < window.latestEnd && !hasComparableLoad(newCounts, oldCounts):
		row.Explanation = "no load like the old version's seen yet"
		return row
	}
	return enterStage(in, row, row.Stage+1, shares[row.Stage+1], "the share grows")
}

// dueWithoutEvidence undoes the move or enters the last stage, as the move is
// configured, if the due date has passed in the first stage without enough
// requests.
func dueWithoutEvidence(in Input, row Row, lastStage int) Row {
	if in.Move.UndoWithoutEvidence {
		return undo(row, CauseNoEvidence, "due without evidence")
	}
	return enterStage(in, row, lastStage, 1, "due without evidence against the new version")
}

// enterStage returns the row at the beginning of a stage.
func enterStage(in Input, row Row, stage int, share float64, why string) Row {
	row.Stage, row.Share, row.StageStarted, row.Explanation = stage, share, in.Now, why
	row.OldCounts, row.NewCounts = countRequests(in.Evidence.Total, row.From), countRequests(in.Evidence.Total, row.To)
	return row
}

// awaitLastUpstreams waits until all upstreams report the new version.
func awaitLastUpstreams(in Input, row Row) Row {
	serves := func(u Upstream) bool { return u.Report.Version == row.To }
	if in.Row.Share < 1 || !holdsForPresent(in, serves) {
		row.Explanation = "the last upstreams change to the new version"
		return row
	}
	row.Phase, row.Finished, row.Explanation = PhaseSoaking, in.Now, "the old version stays loaded"
	return row
}

// awaitSoakEnd ends the move after the soak time, unless it is paused.
func awaitSoakEnd(in Input, row Row) Row {
	if in.Now >= row.Finished+in.Move.SoakMS && in.Move.State != inventory.MovePause {
		row.Phase, row.Explanation = PhaseDone, "the soak time showed nothing against it"
	}
	return row
}

// isCurrent reports whether the upstream's report was read in the present
// leadership.
func isCurrent(in Input, u Upstream) bool {
	return u.Report.At > 0 && u.Report.At >= in.LeaderSince
}

// holdsForPresent reports whether the condition holds for all upstreams that are
// not away. It returns false if all are away.
func holdsForPresent(in Input, condition func(Upstream) bool) bool {
	present := 0
	for _, u := range in.Upstreams {
		if isAway(in, u) {
			continue
		}
		present++
		if !condition(u) {
			return false
		}
	}
	return present > 0
}

// desiredStates returns a function from an upstream to its desired state.
func (s *Stager) desiredStates(in Input, next Row, ordered []Upstream, share float64) func(Upstream) desiredState {
	serving := servingUpstreams(in, ordered, share)
	return func(u Upstream) desiredState {
		switch {
		case next.Undone():
			return desiredState{serve: next.From, unload: next.To}
		case next.Phase == PhaseDone && in.Row.Phase == PhaseDone:
			return desiredState{serve: next.To, unload: next.From}
		case serving[u.Name]:
			return desiredState{serve: next.To, load: next.From}
		default:
			return desiredState{serve: next.From, load: next.To}
		}
	}
}
