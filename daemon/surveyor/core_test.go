package surveyor_test

import (
	"fmt"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/surveyor"
)

// world runs a core whose dials end as it says, by a fixed clock.
type world struct {
	now       clock.Millis
	core      *surveyor.Core
	upstreams []inventory.Upstream
	// opens reports whether a dial succeeds, and refuses whether one that fails does so at once.
	opens   func(address string) bool
	refuses bool
	pending []pendingDial
	dialled []string
	changes []surveyor.Changed
	// changedAt is when each of the changes came.
	changedAt []clock.Millis
	lastTick  clock.Millis
}

type pendingDial struct {
	surveyor.Dial
	started, ends clock.Millis
}

// newWorld returns a world with upstreams u0, u1, ... in three failure domains of region r0,
// all of which are down.
func newWorld(upstreams int) *world {
	w := &world{now: clock.Hour, core: surveyor.NewCore("r0", 7), opens: func(string) bool { return false }}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, inventory.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("a%d", i), Region: "r0", FailureDomain: fmt.Sprintf("d%d", i%3),
		})
	}
	return w
}

func (w *world) step(m surveyor.Message) {
	for _, e := range w.core.Step(w.now, m) {
		switch e := e.(type) {
		case surveyor.Dial:
			w.dialled = append(w.dialled, e.Upstream)
			ends := w.now
			if !w.opens(e.Address) && !w.refuses {
				ends += surveyor.DialTimeout
			}
			w.pending = append(w.pending, pendingDial{e, w.now, ends})
		case surveyor.Changed:
			w.changes, w.changedAt = append(w.changes, e), append(w.changedAt, w.now)
		}
	}
}

func (w *world) tick() {
	w.lastTick = w.now
	w.step(surveyor.Tick{Upstreams: w.upstreams})
}

// report lets the core handle what a request met, and the tick that follows a failure.
func (w *world) report(m surveyor.Message) {
	w.step(m)
	if _, failure := m.(surveyor.Unreached); failure {
		w.tick()
	}
	w.endDials()
}

func (w *world) endDials() {
	for i := 0; i < len(w.pending); {
		d := w.pending[i]
		if d.ends > w.now {
			i++
			continue
		}
		w.pending = slices.Delete(w.pending, i, i+1)
		w.step(surveyor.DialEnded{Upstream: d.Upstream, Address: d.Address, Started: d.started, Opened: w.opens(d.Address)})
		w.tick()
	}
}

// run lets time pass.
func (w *world) run(span clock.Millis) {
	for end := w.now + span; w.now < end; {
		w.now++
		w.endDials()
		if w.now-w.lastTick >= surveyor.TickInterval {
			w.tick()
		}
	}
}

func (w *world) requireCutOff(t *testing.T, want bool) {
	t.Helper()
	if got := w.core.CutOff(w.now); got != want {
		t.Fatalf("cut off %t, want %t; dialled %v, changes %+v", got, want, w.dialled, w.changes)
	}
}

// Callers are refused until a daemon knows that it has lost its links.
func TestLostLinksAreKnownWithinTheStatedTime(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for quiet := clock.Millis(0); quiet <= 2*clock.Second; quiet += 50 {
			for reports := 1; reports <= 6; reports++ {
				w := newWorld(9)
				w.refuses = refuses
				w.run(30)
				w.report(surveyor.Reached{Upstream: "u8"})
				w.run(quiet)
				first := w.now
				for i := range reports {
					w.report(surveyor.Unreached{Upstream: fmt.Sprintf("u%d", i)})
					w.run(20)
				}
				w.run(surveyor.VerdictTime)
				if len(w.changes) != 1 || !w.changes[0].CutOff || w.changedAt[0]-first > surveyor.VerdictTime {
					t.Fatalf("refused %t, quiet for %d ms, %d reports: first failure at %d, changes %+v at %v", refuses, quiet, reports, first, w.changes, w.changedAt)
				}
				w.requireCutOff(t, true)
			}
		}
	}
}

// A daemon that has never reached anything learns with its first request that it can't.
func TestDaemonThatStartsWithoutLinksLearnsWithItsFirstRequest(t *testing.T) {
	w := newWorld(9)
	w.run(10 * clock.Second)
	if len(w.dialled) > 0 {
		t.Fatalf("dialled %v without suspicion", w.dialled)
	}
	w.report(surveyor.Unreached{Upstream: "u0"})
	w.run(2 * surveyor.DialTimeout)
	w.requireCutOff(t, true)
}

// A daemon must not be taken from callers for one dead upstream, nor dial others more than need be.
func TestOneDeadUpstreamIsNoCut(t *testing.T) {
	w := newWorld(9)
	w.opens = func(address string) bool { return address != "a0" }
	for range 100 {
		w.report(surveyor.Unreached{Upstream: "u0"})
		w.run(100)
		w.requireCutOff(t, false)
	}
	if len(w.dialled) > 21 {
		t.Fatalf("%d dials in 10 s", len(w.dialled))
	}
}

func TestUpstreamsThatDieTogetherAreNoCutWhileAnotherAnswers(t *testing.T) {
	for alive := range 9 {
		w := newWorld(9)
		w.opens = func(address string) bool { return address == fmt.Sprintf("a%d", alive) }
		w.report(surveyor.Reached{Upstream: fmt.Sprintf("u%d", alive)})
		for i := range 100 {
			if name := fmt.Sprintf("u%d", i%9); i%9 != alive {
				w.report(surveyor.Unreached{Upstream: name})
			}
			w.run(20)
			w.requireCutOff(t, false)
		}
	}
}

// Requests on kept connections are served while new connections are refused.
func TestAnswersOnKeptConnectionsAreNoCut(t *testing.T) {
	w := newWorld(9)
	w.refuses = true
	for i := range 100 {
		w.report(surveyor.Reached{Upstream: "u0"})
		w.run(200)
		w.report(surveyor.Unreached{Upstream: fmt.Sprintf("u%d", 1+i%8)})
		w.run(200)
		w.requireCutOff(t, false)
	}
	w.run(surveyor.VerdictTime)
	w.requireCutOff(t, true)
	w.report(surveyor.Reached{Upstream: "u0"})
	w.requireCutOff(t, false)
}

func TestSilenceWithoutAFailureIsNoCut(t *testing.T) {
	w := newWorld(9)
	w.report(surveyor.Reached{Upstream: "u0"})
	w.run(clock.Minute)
	w.requireCutOff(t, false)
	if len(w.dialled) > 0 {
		t.Fatalf("dialled %v without a failure", w.dialled)
	}
}

// One upstream, also under two names, can't tell a cut from its own end; nor can none.
func TestTooFewUpstreamsTellNothing(t *testing.T) {
	for upstreams := range 2 {
		w := newWorld(upstreams)
		if upstreams == 1 {
			twin := w.upstreams[0]
			twin.Name = "u0-restarted"
			w.upstreams = append(w.upstreams, twin)
		}
		for i := range 50 {
			w.report(surveyor.Unreached{Upstream: []string{"u0", "u0-restarted"}[i%2]})
			w.run(100)
			w.requireCutOff(t, false)
		}
	}
	w := newWorld(2)
	w.report(surveyor.Unreached{Upstream: "u0"})
	w.run(surveyor.VerdictTime)
	w.requireCutOff(t, true)
	w.upstreams = nil
	w.run(clock.Second)
	w.requireCutOff(t, false)
}

// cutWorld returns a world in which a cut has been found.
func cutWorld(t *testing.T, upstreams int) *world {
	t.Helper()
	w := newWorld(upstreams)
	w.report(surveyor.Unreached{Upstream: "u0"})
	w.run(surveyor.VerdictTime)
	w.requireCutOff(t, true)
	w.dialled = nil
	return w
}

// The end of a cut must be known soon without any request, at two dials each half second.
func TestEndOfACutIsKnownWithinTheStatedTime(t *testing.T) {
	for cut := clock.Millis(0); cut < 2*clock.Second; cut += 37 {
		w := cutWorld(t, 9)
		w.run(10*clock.Second + cut)
		w.requireCutOff(t, true)
		if got, most := len(w.dialled), 2*int(10*clock.Second+cut)/500+2; got > most {
			t.Fatalf("%d dials while cut off, at most %d allowed", got, most)
		}
		for _, u := range w.upstreams {
			if !slices.Contains(w.dialled, u.Name) {
				t.Fatalf("%s was never dialled: %v", u.Name, w.dialled)
			}
		}
		w.opens = func(string) bool { return true }
		w.run(surveyor.RecoveryTime)
		w.requireCutOff(t, false)
		if len(w.changes) != 2 {
			t.Fatalf("changes %+v", w.changes)
		}
	}
}

// A dial that preferred the upstream reached last, which is gone for good, never found the end.
func TestEndOfACutIsFoundInTheOwnRegion(t *testing.T) {
	w := newWorld(9)
	for i := range 9 {
		w.upstreams = append(w.upstreams, inventory.Upstream{Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("b%d", i), Region: "r1"})
	}
	w.report(surveyor.Reached{Upstream: "u0"})
	w.run(clock.Second)
	w.report(surveyor.Unreached{Upstream: "u1"})
	w.run(surveyor.VerdictTime)
	w.requireCutOff(t, true)
	w.opens = func(address string) bool { return address[0] == 'a' && address != "a0" }
	w.run(surveyor.RecoveryTime)
	w.requireCutOff(t, false)
}

// Neither dials that timed out during a pause of the process nor the belief of before it may count.
func TestPausedProcessBelievesNoOldEvidence(t *testing.T) {
	w := newWorld(9)
	w.report(surveyor.Unreached{Upstream: "u0"})
	w.report(surveyor.Unreached{Upstream: "u1"})
	w.now += clock.Minute
	w.endDials()
	w.requireCutOff(t, false)
	w.opens = func(string) bool { return true }
	w.run(clock.Second)
	w.requireCutOff(t, false)

	w = cutWorld(t, 9)
	w.now += clock.Minute
	w.requireCutOff(t, false)
	w.endDials()
	w.tick()
	w.requireCutOff(t, false)
	if last := w.changes[len(w.changes)-1]; last.CutOff || last.Reason != "the evidence is old" {
		t.Fatalf("changes %+v", w.changes)
	}
}

// A daemon whose region has lost the others, or whose region has no upstream left, has a path.
func TestPathsWithinAndOutOfTheRegionCount(t *testing.T) {
	for _, reachable := range []string{"r0", "r1"} {
		w := newWorld(9)
		regionOf := map[string]string{}
		for i := range 30 {
			w.upstreams = append(w.upstreams, inventory.Upstream{
				Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("b%d", i), Region: "r1", FailureDomain: fmt.Sprintf("e%d", i%3),
			})
		}
		for _, u := range w.upstreams {
			regionOf[u.Address] = u.Region
		}
		w.opens = func(address string) bool { return regionOf[address] == reachable }
		for i := range 60 {
			name := fmt.Sprintf("v%d", i%30)
			if reachable == "r1" {
				name = fmt.Sprintf("u%d", i%9)
			}
			w.report(surveyor.Unreached{Upstream: name})
			w.run(100)
			w.requireCutOff(t, false)
		}
	}
}

// The log of a change has to tell what it rests on.
func TestChangeTellsItsEvidence(t *testing.T) {
	w := newWorld(9)
	w.report(surveyor.Reached{Upstream: "u3"})
	w.run(clock.Second)
	w.report(surveyor.Unreached{Upstream: "u0"})
	w.run(surveyor.VerdictTime)
	c := w.changes[0]
	if len(c.Unreached) != 1 || c.Unreached[0] != (surveyor.Evidence{Upstream: "u0", Age: 600}) || len(c.Failed) != 4 || c.LastReached != 1600 {
		t.Fatalf("got %+v", c)
	}
}
