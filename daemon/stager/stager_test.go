package stager_test

import (
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// simulation runs one move on upstreams that carry out orders at once.
type simulation struct {
	stager.Stager
	in stager.Input
	// frozen names the upstreams that report but ignore orders.
	frozen map[string]bool
	orders []stager.Order
	out    stager.Output
	// tableDown is set to keep the row from being written.
	tableDown bool
}

// newSimulation returns a simulation of a move that is due after 600 s, with six
// upstreams in two regions. edit, if not nil, changes the move.
func newSimulation(edit func(*inventory.Move)) *simulation {
	s := &simulation{frozen: map[string]bool{}}
	s.in = stager.Input{
		Now: 1000, LeaderSince: 1000, Epoch: 1,
		Move: inventory.Move{Name: "m", Pool: "p", From: "v1", To: "v2", Due: 600 * clock.Second, FirstShare: 0.05, SoakMS: 60 * clock.Second, State: inventory.MoveRun},
	}
	if edit != nil {
		edit(&s.in.Move)
	}
	for i, name := range []string{"u0", "u1", "u2", "u3", "u4", "u5"} {
		s.in.Upstreams = append(s.in.Upstreams, stager.Upstream{
			Name: name, Region: []string{"r0", "r1"}[i%2], Generation: "g", Slots: 10, ChecksFencing: true,
			Report: stager.Report{Version: "v1", Loaded: []string{"v1"}},
		})
	}
	s.in.Evidence.Total = judge.Window{}
	return s
}

// step advances the simulation by a second with that many requests on each
// version.
func (s *simulation) step(oldRequests, newRequests int) {
	s.in.Now += clock.Second
	for version, n := range map[string]int{"v1": oldRequests, "v2": newRequests} {
		s.in.Evidence.Total.Of(judge.Key{Version: version, Route: "a", Load: 3}).Requests += uint32(n)
	}
	for i := range s.in.Upstreams {
		s.in.Upstreams[i].Report.At = s.in.Now
	}
	s.out = s.Step(s.in)
	if !s.tableDown {
		s.in.Row = s.out.Row
	}
	s.orders = append(s.orders, s.out.Orders...)
	for _, o := range s.out.Orders {
		index := slices.IndexFunc(s.in.Upstreams, func(u stager.Upstream) bool { return u.Name == o.Upstream })
		if report := &s.in.Upstreams[index].Report; !s.frozen[o.Upstream] {
			applyOrder(report, o)
		}
	}
}

// applyOrder changes an upstream's report as the order asks.
func applyOrder(report *stager.Report, o stager.Order) {
	if o.Kind == stager.OrderUnload {
		report.Loaded = slices.DeleteFunc(report.Loaded, func(v string) bool { return v == o.Version })
		return
	}
	if !slices.Contains(report.Loaded, o.Version) {
		report.Loaded = append(report.Loaded, o.Version)
	}
	if o.Serve {
		report.Version = o.Version
	}
}

// stepUntil steps until the phase is reached, for that many seconds at most, and
// reports whether it was reached.
func (s *simulation) stepUntil(phase stager.Phase, seconds, oldRequests, newRequests int) bool {
	for range seconds {
		if s.step(oldRequests, newRequests); s.in.Row.Phase == phase {
			return true
		}
	}
	return false
}

func (s *simulation) versions() (list []string) {
	for _, u := range s.in.Upstreams {
		list = append(list, u.Report.Version)
	}
	return list
}

// TestGoodMoveFinishesByDueDateAndUnloadsOldVersionAfterSoak guards against a move
// without adverse evidence that misses its due date, and against an old version
// that stays loaded after the soak time.
func TestGoodMoveFinishesByDueDateAndUnloadsOldVersionAfterSoak(t *testing.T) {
	s := newSimulation(nil)
	if !s.stepUntil(stager.PhaseSoaking, 599, 90, 10) {
		t.Fatalf("not finished by the due date: %+v", s.in.Row)
	}
	if s.in.Row.Finished > s.in.Move.Due {
		t.Fatalf("finished at %d, due at %d", s.in.Row.Finished, s.in.Move.Due)
	}
	if !s.stepUntil(stager.PhaseDone, 70, 0, 100) {
		t.Fatalf("soak phase does not end: %+v", s.in.Row)
	}
	s.step(0, 100)
	s.step(0, 100)
	for _, u := range s.in.Upstreams {
		if u.Report.Version != "v2" || len(u.Report.Loaded) != 1 {
			t.Fatalf("after the soak %s reports %+v", u.Name, u.Report)
		}
	}
}

// TestShareStaysAtFirstStageWithoutEvidenceUntilDue guards against a share that
// grows without requests on the new version. At the due date,
// undo_without_evidence decides whether the move is undone or finished.
func TestShareStaysAtFirstStageWithoutEvidenceUntilDue(t *testing.T) {
	for _, undo := range []bool{false, true} {
		s := newSimulation(func(m *inventory.Move) { m.UndoWithoutEvidence = undo })
		for s.in.Now < s.in.Move.Due-clock.Second {
			s.step(100, 0)
			if s.out.Shares.Shares["v2"] > 0.05 {
				t.Fatalf("shares %v without evidence", s.out.Shares.Shares)
			}
		}
		wanted := stager.PhaseSoaking
		if undo {
			wanted = stager.PhaseUndone
		}
		if !s.stepUntil(wanted, 10, 100, 0) {
			t.Fatalf("undo_without_evidence %t: row after the due date is %+v", undo, s.in.Row)
		}
	}
}

// TestLaterStageWithoutRequestsFinishesByDueDate guards against a move that misses
// its due date because, after a first stage with enough evidence, the traffic
// stops or a daemon and its counts are lost.
func TestLaterStageWithoutRequestsFinishesByDueDate(t *testing.T) {
	s := newSimulation(nil)
	for s.in.Row.Stage == 0 {
		s.step(90, 10)
	}
	s.in.Evidence.Total = judge.Window{}
	if !s.stepUntil(stager.PhaseSoaking, 600, 1, 0) || s.in.Row.Finished > s.in.Move.Due {
		t.Fatalf("not finished by the due date: %+v", s.in.Row)
	}
}

// TestShareDoesNotGrowWhileRowIsNotWritten guards against a share beyond that in
// the table while the row can't be written, and against a bad version that then
// keeps its traffic.
func TestShareDoesNotGrowWhileRowIsNotWritten(t *testing.T) {
	s := newSimulation(nil)
	s.stepUntil(stager.PhaseStaged, 20, 90, 10)
	s.tableDown = true
	for range 500 {
		s.step(90, 10)
		if s.out.Shares.Shares["v2"] > 0.05 {
			t.Fatalf("shares %v grew while the row can't be written", s.out.Shares.Shares)
		}
	}
	s.in.Evidence.Verdict.Bad = true
	s.step(90, 10)
	if s.out.Shares.Shares["v2"] != 0 {
		t.Fatalf("shares %v of a bad version while the row can't be written", s.out.Shares.Shares)
	}
}

// TestBadVersionIsUndoneAtAnyStage guards against a phase, up to the soak time, in
// which a bad version keeps its traffic or is not undone on all upstreams.
func TestBadVersionIsUndoneAtAnyStage(t *testing.T) {
	for _, seconds := range []int{3, 60, 200, 400, 620} {
		s := newSimulation(func(m *inventory.Move) { m.SoakMS = 400 * clock.Second })
		for range seconds {
			s.step(90, 10)
		}
		s.in.Evidence.Verdict = judge.Verdict{Bad: true, Test: judge.TestFailed}
		s.step(90, 10)
		if s.out.Shares.Shares["v2"] != 0 {
			t.Fatalf("after %d s: shares %v of a bad version", seconds, s.out.Shares.Shares)
		}
		if !s.stepUntil(stager.PhaseUndone, 20, 90, 0) || s.in.Row.Cause != stager.CauseBad {
			t.Fatalf("after %d s: not undone for a bad version: %+v", seconds, s.in.Row)
		}
		for _, version := range s.versions() {
			if version != "v1" {
				t.Fatalf("after %d s: undone although the upstreams report %v", seconds, s.versions())
			}
		}
	}
}

// TestMoveIsUndoneOnlyAfterAllUpstreamsReportOldVersion guards against a move that
// counts as undone while an upstream still runs the new version, and against one
// undone by an operator that does not start again when set to run.
func TestMoveIsUndoneOnlyAfterAllUpstreamsReportOldVersion(t *testing.T) {
	s := newSimulation(nil)
	s.stepUntil(stager.PhaseSoaking, 599, 90, 10)
	s.frozen["u3"] = true
	s.in.Move.State = inventory.MoveUndo
	if s.stepUntil(stager.PhaseUndone, 100, 90, 0) {
		t.Fatal("undone although an upstream reports the new version")
	}
	s.frozen["u3"] = false
	if !s.stepUntil(stager.PhaseUndone, 20, 90, 0) {
		t.Fatalf("not undone after all upstreams followed their orders: %+v", s.in.Row)
	}
	s.in.Move.State = inventory.MoveRun
	if s.step(90, 0); s.in.Row.Phase != stager.PhaseLoading {
		t.Fatalf("undone move does not start again: %+v", s.in.Row)
	}
}

// TestPauseKeepsShareAndSendsNoOrders guards against a paused move that grows its
// share or sends orders, even past its due date.
func TestPauseKeepsShareAndSendsNoOrders(t *testing.T) {
	s := newSimulation(nil)
	s.stepUntil(stager.PhaseStaged, 20, 90, 10)
	s.in.Move.State = inventory.MovePause
	s.orders = nil
	for range 700 {
		s.step(90, 10)
	}
	if s.in.Row.Share != 0.05 || len(s.orders) > 0 {
		t.Fatalf("paused move has share %g and sent %d orders, want 0.05 and none", s.in.Row.Share, len(s.orders))
	}
}

// TestNewLeaderDelaysOrdersToUpstreamsWithoutFencing guards against a late order
// of the previous leader that overrides one of the new leader. An upstream that
// doesn't check fencing numbers gets no orders within UnfencedOrderDelay.
func TestNewLeaderDelaysOrdersToUpstreamsWithoutFencing(t *testing.T) {
	s := newSimulation(nil)
	for i := range s.in.Upstreams {
		s.in.Upstreams[i].ChecksFencing = i < 3
	}
	for s.in.Now < s.in.LeaderSince+stager.UnfencedOrderDelay-clock.Second {
		s.step(90, 10)
	}
	for _, o := range s.orders {
		if o.Upstream >= "u3" {
			t.Fatalf("order sent to %s within UnfencedOrderDelay", o.Upstream)
		}
	}
	if len(s.orders) == 0 {
		t.Fatal("no order sent to the upstreams that check fencing numbers")
	}
}

// TestOrderWithoutEffectIsNotResentAtOnce guards against sending an order again at
// each step to an upstream that is slow to carry it out.
func TestOrderWithoutEffectIsNotResentAtOnce(t *testing.T) {
	s := newSimulation(nil)
	for _, u := range s.in.Upstreams {
		s.frozen[u.Name] = true
	}
	for range 8 {
		s.step(90, 0)
	}
	sent := map[string]int{}
	for _, o := range s.orders {
		if sent[o.Upstream]++; sent[o.Upstream] > 1 {
			t.Fatalf("two orders sent to %s within 8 s", o.Upstream)
		}
	}
}

// TestPoolHasOneActiveMoveAtATime guards against two active moves of one pool, and
// against another choice than the move that has begun, else the one due first.
func TestPoolHasOneActiveMoveAtATime(t *testing.T) {
	moves := []inventory.Move{{Name: "a", Pool: "p", Due: 2}, {Name: "b", Pool: "p", Due: 1}, {Name: "c", Pool: "q", Due: 3}}
	rows := map[string]stager.Row{}
	check := func(wanted string) {
		t.Helper()
		active := stager.ActiveMoves(moves, rows)
		if active["p"].Name != wanted || active["q"].Name != "c" {
			t.Fatalf("active moves %+v, want %s in pool p and c in pool q", active, wanted)
		}
	}
	check("b")
	rows["a"] = stager.Row{Move: "a", Phase: stager.PhaseStaged, Started: 1}
	check("a")
	rows["a"] = stager.Row{Move: "a", Phase: stager.PhaseDone, Started: 1}
	check("b")
	rows["b"] = stager.Row{Move: "b", Phase: stager.PhaseUndone, Started: 5}
	check("b")
}
