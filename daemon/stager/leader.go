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

// Error rates of one move: the probability that a version that is no worse is
// called bad.
const (
	// LeaderError is that of the leader, on the evidence of all daemons.
	LeaderError = 1e-3
	// LocalError is that of each daemon, on its own evidence.
	LocalError = 1e-5
)

// Plan is what the daemons need to know of a move.
type Plan struct {
	Move string `json:"move"`
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
	// Regions limits the move; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Attempt tells a move that was started again from what it was before: a
	// stop holds for one attempt.
	Attempt clock.Millis     `json:"attempt"`
	Shares  scheduler.Shares `json:"shares"`
	// Watched tells whether evidence is still wanted.
	Watched bool `json:"watched"`
}

// Stop is a daemon's word that it stopped a version.
type Stop struct {
	Move    string        `json:"move"`
	Attempt clock.Millis  `json:"attempt"`
	Daemon  string        `json:"daemon"`
	Verdict judge.Verdict `json:"verdict"`
}

// LeaderInput is all that one step of a leader depends on.
type LeaderInput struct {
	Now   clock.Millis
	Epoch int64
	Since clock.Millis
	Moves []inventory.Move
	// Rows are what the table holds, by move.
	Rows map[string]Row
	// Upstreams are those of a pool that are not leaving.
	Upstreams map[string][]Upstream
	// Windows holds the evidence since the last step by move.
	Windows map[string]judge.Window
	// Stops are all that daemons told.
	Stops []Stop
}

// LeaderOutput is what one step of a leader wants.
type LeaderOutput struct {
	// Rows are all present rows, Changed those that differ from the table.
	Rows    []Row
	Changed []Row
	Plans   []Plan
	Orders  []Order
}

// Leader steers all moves during one leadership. The zero value works.
type Leader struct {
	moves map[string]*led
}

// led is what the leader remembers of a move.
type led struct {
	attempt clock.Millis
	stager  Stager
	judge   judge.Judge
}

// Step looks at all moves, at one of each pool.
func (l *Leader) Step(in LeaderInput) (out LeaderOutput) {
	if l.moves == nil {
		l.moves = map[string]*led{}
	}
	picked := Pick(in.Moves, in.Rows)
	for _, pool := range slices.Sorted(maps.Keys(picked)) {
		l.step(in, picked[pool], &out)
	}
	for _, m := range in.Moves {
		if picked[m.Pool].Name != m.Name {
			out.Rows = append(out.Rows, besides(in, m, picked[m.Pool].Name))
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.Move, b.Move) })
	return out
}

// besides is the row of a move that waits for another one of its pool.
func besides(in LeaderInput, m inventory.Move, other string) Row {
	row, found := in.Rows[m.Name]
	if found && row.Phase != PhaseWaiting {
		return row
	}
	return Row{Move: m.Name, Pool: m.Pool, From: m.From, To: m.To, Phase: PhaseWaiting, Why: "move " + other + " of the pool goes first"}
}

func (l *Leader) step(in LeaderInput, m inventory.Move, out *LeaderOutput) {
	row := in.Rows[m.Name]
	known := l.moves[m.Name]
	if known == nil || known.attempt != row.Started {
		known = &led{attempt: row.Started, judge: judge.Judge{From: m.From, To: m.To, Error: LeaderError}}
		l.moves[m.Name] = known
	}
	verdict := known.judge.Observe(in.Windows[m.Name])
	for _, stop := range in.Stops {
		if stop.Move == m.Name && stop.Attempt == row.Started && !verdict.Bad {
			verdict = stop.Verdict
		}
	}
	step := known.stager.Step(Input{
		Now: in.Now, Move: m, Row: row, Epoch: in.Epoch, LeaderSince: in.Since,
		Upstreams: within(in.Upstreams[m.Pool], m.Regions),
		Evidence:  Evidence{Verdict: verdict, Suspicion: known.judge.Suspicion(), Total: known.judge.Total()},
	})
	out.Rows = append(out.Rows, step.Row)
	if !same(step.Row, row) {
		out.Changed = append(out.Changed, step.Row)
	}
	out.Orders = append(out.Orders, step.Orders...)
	out.Plans = append(out.Plans, Plan{
		Move: m.Name, Pool: m.Pool, From: m.From, To: m.To, Regions: m.Regions,
		Attempt: row.Started, Shares: step.Shares, Watched: !step.Row.Ended(),
	})
}

func within(upstreams []Upstream, regions []string) []Upstream {
	if len(regions) == 0 {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return !slices.Contains(regions, u.Region) })
}
