package stager_test

import (
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// world is the least that a move needs: upstreams that do as ordered at once.
type world struct {
	stager.Stager
	in stager.Input
	// frozen upstreams report but follow no order.
	frozen map[string]bool
	orders []stager.Order
	out    stager.Output
	// noTable keeps the row from being written.
	noTable bool
}

func newWorld(edit func(*inventory.Move)) *world {
	w := &world{frozen: map[string]bool{}}
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

// step lets a second pass with the requests on each version.
func (w *world) step(old, fresh int) {
	w.in.Now += clock.Second
	for version, n := range map[string]int{"v1": old, "v2": fresh} {
		w.in.Evidence.Total.Of(judge.Key{Version: version, Route: "a", Load: 3}).Requests += uint32(n)
	}
	for i := range w.in.Upstreams {
		w.in.Upstreams[i].Report.At = w.in.Now
	}
	w.out = w.Step(w.in)
	if !w.noTable {
		w.in.Row = w.out.Row
	}
	w.orders = append(w.orders, w.out.Orders...)
	for _, o := range w.out.Orders {
		at := slices.IndexFunc(w.in.Upstreams, func(u stager.Upstream) bool { return u.Name == o.Upstream })
		if report := &w.in.Upstreams[at].Report; !w.frozen[o.Upstream] {
			follow(report, o)
		}
	}
}

func follow(report *stager.Report, o stager.Order) {
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

// until steps until the phase is reached or the seconds are over.
func (w *world) until(phase stager.Phase, seconds, old, fresh int) bool {
	for range seconds {
		if w.step(old, fresh); w.in.Row.Phase == phase {
			return true
		}
	}
	return false
}

func (w *world) versions() (list []string) {
	for _, u := range w.in.Upstreams {
		list = append(list, u.Report.Version)
	}
	return list
}

func TestGoodMoveFinishesByTheDateAndUnloadsAfterTheSoak(t *testing.T) {
	w := newWorld(nil)
	if !w.until(stager.PhaseSoaking, 599, 90, 10) {
		t.Fatalf("not finished by the date: %+v", w.in.Row)
	}
	if w.in.Row.Finished > w.in.Move.Due {
		t.Fatalf("finished at %d, due at %d", w.in.Row.Finished, w.in.Move.Due)
	}
	if !w.until(stager.PhaseDone, 70, 0, 100) {
		t.Fatalf("the soak does not end: %+v", w.in.Row)
	}
	w.step(0, 100)
	w.step(0, 100)
	for _, u := range w.in.Upstreams {
		if u.Report.Version != "v2" || len(u.Report.Loaded) != 1 {
			t.Fatalf("after the soak %s reports %+v", u.Name, u.Report)
		}
	}
}

func TestShareStaysAtTheFirstWithoutEvidence(t *testing.T) {
	for _, undo := range []bool{false, true} {
		w := newWorld(func(m *inventory.Move) { m.UndoWithoutEvidence = undo })
		for w.in.Now < w.in.Move.Due-clock.Second {
			w.step(100, 0)
			if w.out.Shares.Shares["v2"] > 0.05 {
				t.Fatalf("share %v without evidence", w.out.Shares.Shares)
			}
		}
		wanted := stager.PhaseSoaking
		if undo {
			wanted = stager.PhaseUndone
		}
		if !w.until(wanted, 10, 100, 0) {
			t.Fatalf("undo_without_evidence %t: at the due date %+v", undo, w.in.Row)
		}
	}
}

// TestLaterStageWithoutRequestsFinishesByTheDate covers traffic that dries up
// and counts that were lost with a daemon.
func TestLaterStageWithoutRequestsFinishesByTheDate(t *testing.T) {
	w := newWorld(nil)
	for w.in.Row.Stage == 0 {
		w.step(90, 10)
	}
	w.in.Evidence.Total = judge.Window{}
	if !w.until(stager.PhaseSoaking, 600, 1, 0) || w.in.Row.Finished > w.in.Move.Due {
		t.Fatalf("not finished by the date: %+v", w.in.Row)
	}
}

func TestShareDoesNotGrowWithoutTheTable(t *testing.T) {
	w := newWorld(nil)
	w.until(stager.PhaseStaged, 20, 90, 10)
	w.noTable = true
	for range 500 {
		w.step(90, 10)
		if w.out.Shares.Shares["v2"] > 0.05 {
			t.Fatalf("share %v while the row can't be written", w.out.Shares.Shares)
		}
	}
	w.in.Evidence.Verdict.Bad = true
	w.step(90, 10)
	if w.out.Shares.Shares["v2"] != 0 {
		t.Fatalf("share %v of a bad version while the row can't be written", w.out.Shares.Shares)
	}
}

func TestBadVersionIsTakenBackAtAnyStage(t *testing.T) {
	for _, seconds := range []int{3, 60, 200, 400, 620} {
		w := newWorld(func(m *inventory.Move) { m.SoakMS = 400 * clock.Second })
		for range seconds {
			w.step(90, 10)
		}
		w.in.Evidence.Verdict = judge.Verdict{Bad: true, Test: judge.TestFailed}
		w.step(90, 10)
		if w.out.Shares.Shares["v2"] != 0 {
			t.Fatalf("after %d s: share %v of a bad version", seconds, w.out.Shares.Shares)
		}
		if !w.until(stager.PhaseUndone, 20, 90, 0) || w.in.Row.Cause != stager.CauseBad {
			t.Fatalf("after %d s: not taken back: %+v", seconds, w.in.Row)
		}
		for _, version := range w.versions() {
			if version != "v1" {
				t.Fatalf("after %d s: undone with %v", seconds, w.versions())
			}
		}
	}
}

func TestUndoneOnlyWhenReportedSo(t *testing.T) {
	w := newWorld(nil)
	w.until(stager.PhaseSoaking, 599, 90, 10)
	w.frozen["u3"] = true
	w.in.Move.State = inventory.MoveUndo
	if w.until(stager.PhaseUndone, 100, 90, 0) {
		t.Fatal("undone while an upstream reports the new version")
	}
	w.frozen["u3"] = false
	if !w.until(stager.PhaseUndone, 20, 90, 0) {
		t.Fatalf("not undone: %+v", w.in.Row)
	}
	w.in.Move.State = inventory.MoveRun
	if w.step(90, 0); w.in.Row.Phase != stager.PhaseLoading {
		t.Fatalf("does not start again: %+v", w.in.Row)
	}
}

func TestPauseKeepsTheShare(t *testing.T) {
	w := newWorld(nil)
	w.until(stager.PhaseStaged, 20, 90, 10)
	w.in.Move.State = inventory.MovePause
	w.orders = nil
	for range 700 {
		w.step(90, 10)
	}
	if w.in.Row.Share != 0.05 || len(w.orders) > 0 {
		t.Fatalf("paused at share %g with %d orders", w.in.Row.Share, len(w.orders))
	}
}

func TestNewLeaderWaitsBeforeItOrdersUpstreamsThatDoNotCheck(t *testing.T) {
	w := newWorld(nil)
	for i := range w.in.Upstreams {
		w.in.Upstreams[i].ChecksFencing = i < 3
	}
	for w.in.Now < w.in.LeaderSince+stager.Quiet-clock.Second {
		w.step(90, 10)
	}
	for _, o := range w.orders {
		if o.Upstream >= "u3" {
			t.Fatalf("%s was ordered in the quiet time", o.Upstream)
		}
	}
	if len(w.orders) == 0 {
		t.Fatal("upstreams that check were not ordered")
	}
}

func TestOrderWithoutEffectIsNotRepeatedAtOnce(t *testing.T) {
	w := newWorld(nil)
	for _, u := range w.in.Upstreams {
		w.frozen[u.Name] = true
	}
	for range 8 {
		w.step(90, 0)
	}
	sent := map[string]int{}
	for _, o := range w.orders {
		if sent[o.Upstream]++; sent[o.Upstream] > 1 {
			t.Fatalf("%s was ordered twice within 8 s", o.Upstream)
		}
	}
}

func TestPoolHasOneMoveAtATime(t *testing.T) {
	moves := []inventory.Move{{Name: "a", Pool: "p", Due: 2}, {Name: "b", Pool: "p", Due: 1}, {Name: "c", Pool: "q", Due: 3}}
	rows := map[string]stager.Row{}
	check := func(wanted string) {
		t.Helper()
		picked := stager.Pick(moves, rows)
		if picked["p"].Name != wanted || picked["q"].Name != "c" {
			t.Fatalf("picked %+v, want %s", picked, wanted)
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
