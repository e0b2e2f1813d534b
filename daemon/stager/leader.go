package stager

import (
	"cmp"
	"maps"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/scheduler"
)

// Error rates of the tests of one move: the probability that a version that is
// no worse is judged bad.
const (
	// LeaderErrorRate is the error rate of the leader, which tests the evidence of
	// all daemons.
	LeaderErrorRate = 1e-3
	// LocalErrorRate is the error rate of each daemon, which tests its own evidence.
	LocalErrorRate = 1e-5
)

// Plan is the part of a move's state that the leader sends to the daemons.
type Plan struct {
	Move string `json:"move"`
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
	// Regions limits the move; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Attempt is the time at which the move was last started, in milliseconds.
	// It distinguishes a move that was started again from its earlier run: a stop
	// is valid for one attempt.
	Attempt clock.Millis     `json:"attempt"`
	Shares  scheduler.Shares `json:"shares"`
	// Watched is set while the daemons have to collect evidence.
	Watched bool `json:"watched"`
}

// Stop is a daemon's report that it stopped the new version on its own evidence.
type Stop struct {
	Move    string        `json:"move"`
	Attempt clock.Millis  `json:"attempt"`
	Daemon  string        `json:"daemon"`
	Verdict judge.Verdict `json:"verdict"`
}

// LeaderInput is the input of one step of a Leader.
type LeaderInput struct {
	Now   clock.Millis
	Epoch int64
	// LeaderSince is when the leadership began.
	LeaderSince clock.Millis
	Moves       []inventory.Move
	// Rows are the rows in the table, by move.
	Rows map[string]Row
	// Upstreams are the upstreams that are not leaving, by pool.
	Upstreams map[string][]Upstream
	// Windows is the evidence since the last step, by move.
	Windows map[string]judge.Window
	// Stops are all stops that daemons have reported.
	Stops []Stop
}

// LeaderOutput is the output of one step of a Leader.
type LeaderOutput struct {
	// Rows are all rows, Changed those that have to be written to the table.
	Rows    []Row
	Changed []Row
	// Plans are to be sent to the daemons.
	Plans  []Plan
	Orders []Order
}

// Leader runs all moves during one leadership. The zero value is ready to use.
type Leader struct {
	moves map[string]*moveState
}

// moveState is the leader's state of one attempt of a move.
type moveState struct {
	attempt clock.Millis
	stager  Stager
	judge   judge.Judge
}

// Step advances the active move of each pool and returns rows for all moves.
func (l *Leader) Step(in LeaderInput) (out LeaderOutput) {
	if l.moves == nil {
		l.moves = map[string]*moveState{}
	}
	active := ActiveMoves(in.Moves, in.Rows)
	for _, pool := range slices.Sorted(maps.Keys(active)) {
		l.stepMove(in, active[pool], &out)
	}
	for _, m := range in.Moves {
		if active[m.Pool].Name != m.Name {
			out.Rows = append(out.Rows, waitingRow(in, m, active[m.Pool].Name))
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.Move, b.Move) })
	return out
}

// waitingRow returns the row of a move while another one of its pool is active.
// A row that is past waiting stays as it is.
func waitingRow(in LeaderInput, m inventory.Move, activeMove string) Row {
	row, found := in.Rows[m.Name]
	if found && row.Phase != PhaseWaiting {
		return row
	}
	return Row{Move: m.Name, Pool: m.Pool, From: m.From, To: m.To, Phase: PhaseWaiting, Explanation: "move " + activeMove + " of the pool goes first"}
}

// stepMove advances one move and appends the results to out.
func (l *Leader) stepMove(in LeaderInput, m inventory.Move, out *LeaderOutput) {
	row := in.Rows[m.Name]
	state := l.moves[m.Name]
	if state == nil || state.attempt != row.Started {
		state = &moveState{attempt: row.Started, judge: judge.Judge{From: m.From, To: m.To, ErrorRate: LeaderErrorRate}}
		l.moves[m.Name] = state
	}
	verdict := state.judge.Observe(in.Windows[m.Name])
	for _, stop := range in.Stops {
		if stop.Move == m.Name && stop.Attempt == row.Started && !verdict.Bad {
			verdict = stop.Verdict
		}
	}
	step := state.stager.Step(Input{
		Now: in.Now, Move: m, Row: row, Epoch: in.Epoch, LeaderSince: in.LeaderSince,
		Upstreams: inRegions(in.Upstreams[m.Pool], m.Regions),
		Evidence:  Evidence{Verdict: verdict, CurrentEvidence: state.judge.CurrentEvidence(), Total: state.judge.Total()},
	})
	out.Rows = append(out.Rows, step.Row)
	if !equalState(step.Row, row) {
		out.Changed = append(out.Changed, step.Row)
	}
	out.Orders = append(out.Orders, step.Orders...)
	out.Plans = append(out.Plans, Plan{
		Move: m.Name, Pool: m.Pool, From: m.From, To: m.To, Regions: m.Regions,
		Attempt: row.Started, Shares: step.Shares, Watched: !step.Row.Ended(),
	})
}

// inRegions returns the upstreams in the regions, or all if regions is empty.
func inRegions(upstreams []Upstream, regions []string) []Upstream {
	if len(regions) == 0 {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return !slices.Contains(regions, u.Region) })
}
