// Package stager plans the move of a pool from one version to another in stages:
// which share of the traffic the new version gets, which upstreams serve it and
// which orders they need for that. It performs no I/O: it takes the observed
// state and a clock reading, and returns the next row, the shares and the orders.
package stager

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/judge"
)

// Phase is the phase of a move.
type Phase string

// The phases, in the order in which a successful move passes them. A move may
// change to PhaseUndoing from any phase before PhaseDone.
const (
	// PhaseWaiting means that the move waits for another one of its pool.
	PhaseWaiting Phase = "waiting"
	// PhaseLoading means that the first upstreams load the new version.
	PhaseLoading Phase = "loading"
	// PhaseStaged means that the new version gets the share of the present stage.
	PhaseStaged Phase = "staged"
	// PhaseSoaking means that the new version gets all traffic and the old one
	// stays loaded.
	PhaseSoaking Phase = "soaking"
	// PhaseDone means that the soak time is over.
	PhaseDone Phase = "done"
	// PhaseUndoing means that the upstreams are changed back to the old version.
	PhaseUndoing Phase = "undoing"
	// PhaseUndone means that all upstreams that are not away report the old
	// version again and no longer have the new one in memory.
	PhaseUndone Phase = "undone"
)

// Cause is the reason for which a move is undone.
type Cause string

// The causes.
const (
	CauseBad        Cause = "bad_version"
	CauseOperator   Cause = "operator"
	CauseNoEvidence Cause = "due_without_evidence"
)

// RowPrefix is the prefix of the keys of the moves' rows in the table.
const RowPrefix = "moves/row/"

// Row is the state of a move that is stored in the table.
type Row struct {
	Move  string `json:"move"`
	Pool  string `json:"pool"`
	From  string `json:"from"`
	To    string `json:"to"`
	Phase Phase  `json:"phase"`
	// Stage is the number of the stage, from 0 on; Share is the new version's
	// share of the traffic, in [0, 1].
	Stage int     `json:"stage"`
	Share float64 `json:"share"`
	// Started, StageStarted and Finished are when the move and its present stage
	// began and when all upstreams served the new version; 0 until then.
	Started      clock.Millis `json:"started_ms"`
	StageStarted clock.Millis `json:"stage_started_ms"`
	Finished     clock.Millis `json:"finished_ms"`
	// Cause is set if the move is being undone or was undone.
	Cause Cause `json:"cause,omitempty"`
	// Explanation is a text for operators: what the move waits for or why it is
	// undone.
	Explanation string `json:"why"`
	// OldCounts and NewCounts are the requests counted on the old and the new
	// version until the stage began.
	OldCounts RequestCounts `json:"at_old"`
	NewCounts RequestCounts `json:"at_fresh"`
	// Verdict is the strongest evidence so far.
	Verdict judge.Verdict `json:"verdict"`
	// Epoch is the fencing number of the leader that wrote the row.
	Epoch int64 `json:"epoch"`
}

// Key returns the row's key in the table.
func (r Row) Key() string { return RowPrefix + r.Move }

// Ended reports whether the move is done or undone, so that the row changes only
// by an operator's request.
func (r Row) Ended() bool { return r.Phase == PhaseDone || r.Phase == PhaseUndone }

// Undone reports whether the move is being undone or was undone.
func (r Row) Undone() bool { return r.Phase == PhaseUndoing || r.Phase == PhaseUndone }

// hasBegun reports whether a move has a row that is past waiting.
func hasBegun(rows map[string]Row, name string) bool {
	row, found := rows[name]
	return found && row.Phase != PhaseWaiting
}

// ActiveMoves returns the active move of each pool: the one that has begun and not
// ended, else the one that has not ended and is due first. If all have ended, it
// is the one that started last. A pool never has two active moves.
func ActiveMoves(moves []inventory.Move, rows map[string]Row) map[string]inventory.Move {
	sorted := slices.Clone(moves)
	slices.SortFunc(sorted, func(a, b inventory.Move) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Name, b.Name))
	})
	active := map[string]inventory.Move{}
	for _, m := range sorted {
		row := rows[m.Name]
		current, found := active[m.Pool]
		switch {
		case !found:
			active[m.Pool] = m
		case rows[current.Name].Ended() && !row.Ended():
			active[m.Pool] = m
		case rows[current.Name].Ended() && row.Ended() && row.Started > rows[current.Name].Started:
			active[m.Pool] = m
		case !rows[current.Name].Ended() && !hasBegun(rows, current.Name) && hasBegun(rows, m.Name) && !row.Ended():
			active[m.Pool] = m
		}
	}
	return active
}
