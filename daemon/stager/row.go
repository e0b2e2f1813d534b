// Package stager plans the move of a pool from one version to another: which
// share of the traffic the new version gets, which upstreams serve it and
// which orders bring them there. It is pure: what is known of the world goes
// in with a clock reading, the next row, the shares and the orders come out.
package stager

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/judge"
)

// Phase is where a move stands.
type Phase string

// The phases, in the order in which a good move passes them. A move may turn
// to PhaseUndoing from each before PhaseDone.
const (
	// PhaseWaiting means that another move of the pool goes first.
	PhaseWaiting Phase = "waiting"
	// PhaseLoading means that the first upstreams load the new version.
	PhaseLoading Phase = "loading"
	// PhaseStaged means that the new version has the stage's share.
	PhaseStaged Phase = "staged"
	// PhaseSoaking means that it has all traffic and the old one stays loaded.
	PhaseSoaking Phase = "soaking"
	// PhaseDone means that the soak time is over.
	PhaseDone Phase = "done"
	// PhaseUndoing means that the old version is being brought back.
	PhaseUndoing Phase = "undoing"
	// PhaseUndone means that all upstreams report the old version again.
	PhaseUndone Phase = "undone"
)

// Cause tells why a move is taken back.
type Cause string

// The causes.
const (
	CauseBad        Cause = "bad_version"
	CauseOperator   Cause = "operator"
	CauseNoEvidence Cause = "due_without_evidence"
)

// RowPrefix starts the keys of the moves' rows in the table.
const RowPrefix = "moves/row/"

// Row is what the table keeps of a move.
type Row struct {
	Move  string `json:"move"`
	Pool  string `json:"pool"`
	From  string `json:"from"`
	To    string `json:"to"`
	Phase Phase  `json:"phase"`
	// Stage counts from 0; Share is the new version's share, in [0, 1].
	Stage int     `json:"stage"`
	Share float64 `json:"share"`
	// Started, StageStarted and Finished are 0 until then.
	Started      clock.Millis `json:"started_ms"`
	StageStarted clock.Millis `json:"stage_started_ms"`
	Finished     clock.Millis `json:"finished_ms"`
	// Cause is set where the move is or was taken back.
	Cause Cause `json:"cause,omitempty"`
	// Why says in words what the move waits for or why it was taken back.
	Why string `json:"why"`
	// AtOld and AtFresh are what was seen of each version when the stage began.
	AtOld   Seen `json:"at_old"`
	AtFresh Seen `json:"at_fresh"`
	// Verdict is the strongest evidence so far.
	Verdict judge.Verdict `json:"verdict"`
	// Epoch is the fencing number of the leader that wrote the row.
	Epoch int64 `json:"epoch"`
}

// Key returns the row's key in the table.
func (r Row) Key() string { return RowPrefix + r.Move }

// Ended tells whether the row changes no more without an operator.
func (r Row) Ended() bool { return r.Phase == PhaseDone || r.Phase == PhaseUndone }

// Undone tells whether the move is or was taken back.
func (r Row) Undone() bool { return r.Phase == PhaseUndoing || r.Phase == PhaseUndone }

// begun tells whether a move has a row that is past waiting.
func begun(rows map[string]Row, name string) bool {
	row, found := rows[name]
	return found && row.Phase != PhaseWaiting
}

// Pick returns the move that goes on in each pool: the one that has begun and
// not ended, else the one that is due first. A pool never has two.
func Pick(moves []inventory.Move, rows map[string]Row) map[string]inventory.Move {
	sorted := slices.Clone(moves)
	slices.SortFunc(sorted, func(a, b inventory.Move) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Name, b.Name))
	})
	picked := map[string]inventory.Move{}
	for _, m := range sorted {
		row := rows[m.Name]
		current, taken := picked[m.Pool]
		switch {
		case !taken:
			picked[m.Pool] = m
		case rows[current.Name].Ended() && !row.Ended():
			picked[m.Pool] = m
		case rows[current.Name].Ended() && row.Ended() && row.Started > rows[current.Name].Started:
			picked[m.Pool] = m
		case !rows[current.Name].Ended() && !begun(rows, current.Name) && begun(rows, m.Name) && !row.Ended():
			picked[m.Pool] = m
		}
	}
	return picked
}
