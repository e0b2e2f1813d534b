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
	w := &simulation{frozen: map[string]bool{}}
	w.in = stager.Input{
		Now: 1000, LeaderSince: 1000, Epoch: 1,
		Move: inventory.Move{Name: "m", Pool: "p", From: "v1", To: "v2", Due: 600 * clock.Second, FirstShare: 0.05, SoakMS: 60 * clock.Second, State: inventory.MoveRun},
	}
	if edit != nil {
		edit(&w.in.Move)
	}
	for i, name := range []string{"u0", "u1", "u2", "u3", "u4", "u5"} {
		w.in.Upstreams = append(w.in.Upstreams, stager.Upstream{
			Name: name, Region: []string{"r0", "r1"}[i%2], Generation: "g", Slots: 10, ChecksFencing: true,
			Report: stager.Report{Version: "v1", Loaded: []string{"v1"}},
		})
	}
	w.in.Evidence.Total = judge.Window{}
	return w
}

// step advances the simulation by a second with that many requests on each
// version.
func (w *simulation) step(oldRequests, newRequests int) {
	w.in.Now += clock.Second
	for version, n := range map[string]int{"v1": oldRequests, "v2": newRequests} {
		w.in.Evidence.Total.Of(judge.Key{Version: version, Route: "a", Load: 3}).Requests += uint32(n)
	}
	for i := range w.in.Upstreams {
		w.in.Upstreams[i].Report.At = w.in.Now
	}
	w.out = w.Step(w.in)
	if !w.tableDown {
		w.in.Row = w.out.Row
	}
	w.orders = append(w.orders, w.out.Orders...)
	for _, o := range w.out.Orders {
		index := slices.IndexFunc(w.in.Upstreams, func(u stager.Upstream) bool { return u.Name == o.Upstream })
		if report := &w.in.Upstreams[index].Report; !w.frozen[o.Upstream] {
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
func (w *simulation) stepUntil(phase stager.Phase, seconds, oldRequests, newRequests int) bool {
	for range seconds {
		if w.step(oldRequests, newRequests); w.in.Row.Phase == phase {
			return true
		}
	}
	return false
}

func (w *simulation) versions() (list []string) {
	for _, u := range w.in.Upstreams {
		list = append(list, u.Report.Version)
	}
	return list
}

// A move without adverse evidence must finish by its due date, and its upstreams
// must unload the old version after the soak time.
func TestGoodMoveFinishesByDueDateAndUnloadsOldVersionAfterSoak(t *testing.T) {
	w := newSimulation(nil)
	if !w.stepUntil(stager.PhaseSoaking, 599, 90, 10) {
		t.Fatalf("not finished by the due date: %+v", w.in.Row)
	}
	if w.in.Row.Finished > w.in.Move.Due {
		t.Fatalf("finished at %d, due at %d", w.in.Row.Finished, w.in.Move.Due)
	}
	if !w.stepUntil(stager.PhaseDone, 70, 0, 100) {
		t.Fatalf("soak phase does not end: %+v", w.in.Row)
	}
	w.step(0, 100)
	w.step(0, 100)
	for _, u := range w.in.Upstreams {
		if u.Report.Version != "v2" || len(u.Report.Loaded) != 1 {
			t.Fatalf("after the soak %s reports %+v", u.Name, u.Report)
		}
	}
}

// Without requests on the new version its share must stay at that of the first
// stage until the due date. Then undo_without_evidence decides whether the move is
// undone or finished.
func TestShareStaysAtFirstStageWithoutEvidenceUntilDue(t *testing.T) {
	for _, undo := range []bool{false, true} {
		w := newSimulation(func(m *inventory.Move) { m.UndoWithoutEvidence = undo })
		for w.in.Now < w.in.Move.Due-clock.Second {
			w.step(100, 0)
			if w.out.Shares.Shares["v2"] > 0.05 {
				t.Fatalf("shares %v without evidence", w.out.Shares.Shares)
			}
		}
		wanted := stager.PhaseSoaking
		if undo {
			wanted = stager.PhaseUndone
		}
		if !w.stepUntil(wanted, 10, 100, 0) {
			t.Fatalf("undo_without_evidence %t: row after the due date is %+v", undo, w.in.Row)
		}
	}
}

// A move whose first stage had enough evidence must finish by its due date even if
// the traffic stops or a daemon and its counts are lost.
func TestLaterStageWithoutRequestsFinishesByDueDate(t *testing.T) {
	w := newSimulation(nil)
	for w.in.Row.Stage == 0 {
		w.step(90, 10)
	}
	w.in.Evidence.Total = judge.Window{}
	if !w.stepUntil(stager.PhaseSoaking, 600, 1, 0) || w.in.Row.Finished > w.in.Move.Due {
		t.Fatalf("not finished by the due date: %+v", w.in.Row)
	}
}

// While the row can't be written, the share must not grow beyond that in the
// table. A bad version must still lose its traffic at once.
func TestShareDoesNotGrowWhileRowIsNotWritten(t *testing.T) {
	w := newSimulation(nil)
	w.stepUntil(stager.PhaseStaged, 20, 90, 10)
	w.tableDown = true
	for range 500 {
		w.step(90, 10)
		if w.out.Shares.Shares["v2"] > 0.05 {
			t.Fatalf("shares %v grew while the row can't be written", w.out.Shares.Shares)
		}
	}
	w.in.Evidence.Verdict.Bad = true
	w.step(90, 10)
	if w.out.Shares.Shares["v2"] != 0 {
		t.Fatalf("shares %v of a bad version while the row can't be written", w.out.Shares.Shares)
	}
}

// A bad version must lose its traffic at once and be undone on all upstreams, in
// each phase up to the soak time.
func TestBadVersionIsUndoneAtAnyStage(t *testing.T) {
	for _, seconds := range []int{3, 60, 200, 400, 620} {
		w := newSimulation(func(m *inventory.Move) { m.SoakMS = 400 * clock.Second })
		for range seconds {
			w.step(90, 10)
		}
		w.in.Evidence.Verdict = judge.Verdict{Bad: true, Test: judge.TestFailed}
		w.step(90, 10)
		if w.out.Shares.Shares["v2"] != 0 {
			t.Fatalf("after %d s: shares %v of a bad version", seconds, w.out.Shares.Shares)
		}
		if !w.stepUntil(stager.PhaseUndone, 20, 90, 0) || w.in.Row.Cause != stager.CauseBad {
			t.Fatalf("after %d s: not undone for a bad version: %+v", seconds, w.in.Row)
		}
		for _, version := range w.versions() {
			if version != "v1" {
				t.Fatalf("after %d s: undone although the upstreams report %v", seconds, w.versions())
			}
		}
	}
}

// A move must not be reported as undone while an upstream still runs the new
// version. Once undone by an operator, it must start again if set to run.
func TestMoveIsUndoneOnlyAfterAllUpstreamsReportOldVersion(t *testing.T) {
	w := newSimulation(nil)
	w.stepUntil(stager.PhaseSoaking, 599, 90, 10)
	w.frozen["u3"] = true
	w.in.Move.State = inventory.MoveUndo
	if w.stepUntil(stager.PhaseUndone, 100, 90, 0) {
		t.Fatal("undone although an upstream reports the new version")
	}
	w.frozen["u3"] = false
	if !w.stepUntil(stager.PhaseUndone, 20, 90, 0) {
		t.Fatalf("not undone after all upstreams followed their orders: %+v", w.in.Row)
	}
	w.in.Move.State = inventory.MoveRun
	if w.step(90, 0); w.in.Row.Phase != stager.PhaseLoading {
		t.Fatalf("undone move does not start again: %+v", w.in.Row)
	}
}

// A paused move must neither grow its share nor send orders, even past its due
// date.
func TestPauseKeepsShareAndSendsNoOrders(t *testing.T) {
	w := newSimulation(nil)
	w.stepUntil(stager.PhaseStaged, 20, 90, 10)
	w.in.Move.State = inventory.MovePause
	w.orders = nil
	for range 700 {
		w.step(90, 10)
	}
	if w.in.Row.Share != 0.05 || len(w.orders) > 0 {
		t.Fatalf("paused move has share %g and sent %d orders, want 0.05 and none", w.in.Row.Share, len(w.orders))
	}
}

// An order of the previous leader may still reach an upstream that doesn't check
// fencing numbers. A new leader must not send orders there within
// UnfencedOrderDelay.
func TestNewLeaderDelaysOrdersToUpstreamsWithoutFencing(t *testing.T) {
	w := newSimulation(nil)
	for i := range w.in.Upstreams {
		w.in.Upstreams[i].ChecksFencing = i < 3
	}
	for w.in.Now < w.in.LeaderSince+stager.UnfencedOrderDelay-clock.Second {
		w.step(90, 10)
	}
	for _, o := range w.orders {
		if o.Upstream >= "u3" {
			t.Fatalf("order sent to %s within UnfencedOrderDelay", o.Upstream)
		}
	}
	if len(w.orders) == 0 {
		t.Fatal("no order sent to the upstreams that check fencing numbers")
	}
}

// An upstream that is slow to carry out an order must not get it again at each
// step.
func TestOrderWithoutEffectIsNotResentAtOnce(t *testing.T) {
	w := newSimulation(nil)
	for _, u := range w.in.Upstreams {
		w.frozen[u.Name] = true
	}
	for range 8 {
		w.step(90, 0)
	}
	sent := map[string]int{}
	for _, o := range w.orders {
		if sent[o.Upstream]++; sent[o.Upstream] > 1 {
			t.Fatalf("two orders sent to %s within 8 s", o.Upstream)
		}
	}
}

// Only one move of a pool may be active: the one that has begun, else the one due
// first.
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
