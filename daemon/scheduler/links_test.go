package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// fault is what becomes of an attempt.
type fault int

const (
	noFault fault = iota
	// dialTimesOut ends the attempt, not sent, after the timeout of a dial, and dialRefused at once.
	dialTimesOut
	dialRefused
	// hangs ends it when its caller leaves.
	hangs
)

// Times of the attempts of a fleet.
const (
	firstTokenTime = 50 * clock.Millisecond
	answerTime     = 200 * clock.Millisecond
	dialTimeout    = 1 * clock.Second
	callerPatience = 5 * clock.Second
	fleetStep      = 10 * clock.Millisecond
	// maxTries is the number of attempts of one request.
	maxTries = 2
)

// fleetRequest is one request of a fleet.
type fleetRequest struct {
	daemon             int
	arrivedAt, tokenAt clock.Millis
	endAt              clock.Millis
	upstream           string
	how                fault
	excluded           []string
}

// fleet plays daemons that ask a scheduler, each every askEvery.
type fleet struct {
	*harness
	daemons  int
	askEvery clock.Millis
	// faultOf returns what becomes of an attempt that starts now.
	faultOf func(daemon int, upstream string) fault
	open    map[uint64]*fleetRequest
	next    uint64
	// served counts the answers whose requests arrived from countFrom on, by daemon.
	served    []int
	countFrom clock.Millis
	// maxHeld is the most slots that a daemon had at once from a second after countFrom on, without an answer to come, and
	// attempts counts its attempts since then that failed.
	maxHeld, attempts []int
}

func newFleet(daemons int, slots ...int) *fleet {
	return &fleet{
		harness: newHarness(slots...), daemons: daemons, askEvery: 50 * clock.Millisecond, open: map[uint64]*fleetRequest{},
		faultOf: func(int, string) fault { return noFault }, served: make([]int, daemons), maxHeld: make([]int, daemons),
		attempts: make([]int, daemons),
	}
}

func daemonName(daemon int) string { return fmt.Sprintf("d%d", daemon) }

func (f *fleet) id(number uint64) scheduler.AskID {
	return scheduler.AskID{Daemon: daemonName(f.open[number].daemon), Number: number}
}

// ask asks for a request.
func (f *fleet) ask(r *fleetRequest) {
	f.next++
	f.open[f.next] = r
	a := f.newAsk(f.next, 0)
	a.ID, a.Patience, a.Deadline, a.Excluded = f.id(f.next), r.arrivedAt+callerPatience, r.arrivedAt+2*callerPatience, r.excluded
	a.Stream = true
	f.send(a)
}

// runUntil plays the fleet until a time and counts from countFrom on.
func (f *fleet) runUntil(until, countFrom clock.Millis) {
	f.countFrom = countFrom
	clear(f.served)
	clear(f.maxHeld)
	clear(f.attempts)
	for ; f.now < until; f.now += fleetStep {
		for daemon := range f.daemons {
			if (f.now+clock.Millis(daemon)*fleetStep)%f.askEvery == 0 {
				f.ask(&fleetRequest{daemon: daemon, arrivedAt: f.now})
			}
		}
		f.send(scheduler.Tick{})
		f.takeResults()
		for _, n := range slices.Sorted(maps.Keys(f.open)) {
			f.step(n)
		}
		f.countHeld()
	}
}

// takeResults starts the attempts that were granted and drops the requests that were refused.
func (f *fleet) takeResults() {
	for _, n := range slices.Sorted(maps.Keys(f.granted)) {
		r := f.open[n]
		r.upstream = f.granted[n]
		r.how = f.faultOf(r.daemon, r.upstream)
		switch r.how {
		case noFault:
			r.tokenAt, r.endAt = f.now+firstTokenTime, f.now+answerTime
		case dialTimesOut:
			r.endAt = f.now + dialTimeout
		case dialRefused:
			r.endAt = f.now + fleetStep
		case hangs:
			r.endAt = r.arrivedAt + callerPatience
		}
		f.send(scheduler.Confirm{ID: f.id(n)})
	}
	clear(f.granted)
	for n := range f.refused {
		delete(f.open, n)
	}
	clear(f.refused)
}

// step moves one request on.
func (f *fleet) step(n uint64) {
	r := f.open[n]
	if r.upstream == "" {
		return
	}
	if r.how == noFault && r.tokenAt == f.now {
		f.send(scheduler.FirstToken{ID: f.id(n)})
	}
	if f.now < r.endAt {
		return
	}
	usage := reserver.Usage{Outcome: reserver.Completed, OutputTokens: 10}
	switch r.how {
	case noFault:
		if r.arrivedAt >= f.countFrom {
			f.served[r.daemon]++
		}
	case dialTimesOut, dialRefused:
		usage = reserver.Usage{Outcome: reserver.UpstreamDied}
	case hangs:
		usage = reserver.Usage{Outcome: reserver.Cancelled}
	}
	if r.how != noFault && f.now >= f.countFrom {
		f.attempts[r.daemon]++
	}
	f.send(scheduler.End{ID: f.id(n), Usage: usage})
	delete(f.open, n)
	if r.how == dialTimesOut || r.how == dialRefused {
		if again := append(slices.Clone(r.excluded), r.upstream); len(again) < maxTries {
			f.ask(&fleetRequest{daemon: r.daemon, arrivedAt: r.arrivedAt, excluded: again})
		}
	}
}

// countHeld records the slots that each daemon has without an answer.
func (f *fleet) countHeld() {
	if f.now < f.countFrom+clock.Second {
		return
	}
	held := make([]int, f.daemons)
	for n, r := range f.open {
		if r.upstream != "" && r.how != noFault && !f.withdrawn[n] {
			held[r.daemon]++
		}
	}
	for daemon, n := range held {
		f.maxHeld[daemon] = max(f.maxHeld[daemon], n)
	}
}

// Times of a cut, and from when on after its begin and its end everything is as without it: a dial
// that times out and the next trial.
const (
	cutBegin   = 5 * clock.Second
	cutEnd     = 17 * clock.Second
	settleTime = 2500 * clock.Millisecond
)

// cutOffFrom returns the faults of a cut of a fleet's daemons from one on.
func (f *fleet) cutOffFrom(from int, how fault) func(int, string) fault {
	return func(daemon int, _ string) fault {
		switch {
		case daemon < from || f.now < cutBegin || f.now >= cutEnd:
			return noFault
		case how == hangs && f.next%3 == 0:
			return dialTimesOut
		default:
			return how
		}
	}
}

// TestDaemonsWithoutPathDontStopOthers guards against daemons that lost their links to all upstreams
// and take the room of those that reach them, during the cut and after it.
func TestDaemonsWithoutPathDontStopOthers(t *testing.T) {
	shards := map[string][]int{"one upstream": {40}, "three upstreams": {15, 15, 15}, "nine upstreams": {5, 5, 5, 5, 5, 5, 5, 5, 5}}
	hows := map[string]fault{"dials time out": dialTimesOut, "dials are refused": dialRefused, "attempts hang": hangs}
	for shard, slots := range shards {
		for name, how := range hows {
			t.Run(shard+", "+name, func(t *testing.T) {
				const daemons, sound = 8, 3
				f, calm := newFleet(daemons, slots...), newFleet(daemons, slots...)
				f.faultOf = f.cutOffFrom(sound, how)
				for _, span := range [][2]clock.Millis{{cutEnd, cutBegin + settleTime}, {cutEnd + 6*clock.Second, cutEnd + settleTime}} {
					f.runUntil(span[0], span[1])
					calm.runUntil(span[0], span[1])
					for daemon := range daemons {
						if (daemon < sound || span[1] > cutEnd) && f.served[daemon]*100 < calm.served[daemon]*99 {
							t.Errorf("from %d ms on, daemon %d got %d answers, %d without the cut", span[1], daemon, f.served[daemon], calm.served[daemon])
						}
						if f.maxHeld[daemon] > 2 {
							t.Errorf("from %d ms on, daemon %d held %d slots without an answer", span[1], daemon, f.maxHeld[daemon])
						}
					}
				}
			})
		}
	}
}

// deadFrom returns the faults of upstreams that no daemon reaches during a cut.
func (f *fleet) deadFrom(how fault, upstreams ...string) func(int, string) fault {
	return func(_ int, upstream string) fault {
		if f.now >= cutBegin && f.now < cutEnd && slices.Contains(upstreams, upstream) {
			return how
		}
		return noFault
	}
}

// TestDeadUpstreamsAreThoseOfAll guards against upstreams that are dead for all daemons and are taken for
// links of the daemons, so that they get work on and on or the daemons none.
func TestDeadUpstreamsAreThoseOfAll(t *testing.T) {
	for _, how := range []fault{dialRefused, dialTimesOut} {
		for _, dead := range [][]string{{"u1"}, {"u1", "u4"}, {"u0", "u1", "u2"}} {
			const daemons = 8
			slots := []int{5, 5, 5, 5, 5, 5, 5, 5, 5}
			f, calm := newFleet(daemons, slots...), newFleet(daemons, slots...)
			f.askEvery, calm.askEvery = 80*clock.Millisecond, 80*clock.Millisecond
			f.faultOf = f.deadFrom(how, dead...)
			f.runUntil(cutEnd, cutBegin+settleTime)
			calm.runUntil(cutEnd, cutBegin+settleTime)
			failed := 0
			for daemon := range daemons {
				failed += f.attempts[daemon]
				if f.served[daemon]*100 < calm.served[daemon]*99 {
					t.Errorf("%v dead (%d): daemon %d got %d answers, %d without", dead, how, daemon, f.served[daemon], calm.served[daemon])
				}
			}
			// All daemons together try a dead upstream once in a pause, and may do so at the same time.
			if most := len(dead) * daemons * int((cutEnd-cutBegin)/clock.Second) / 2; failed > most {
				t.Errorf("%v dead (%d): %d attempts failed, want at most %d", dead, how, failed, most)
			}
		}
	}
}

// TestAllUpstreamsDeadAreTriedAtLength guards against daemons that go on with all attempts while no upstream
// answers any of them, and against the time after that.
func TestAllUpstreamsDeadAreTriedAtLength(t *testing.T) {
	for _, daemons := range []int{1, 8} {
		f, calm := newFleet(daemons, 15, 15, 15), newFleet(daemons, 15, 15, 15)
		f.faultOf = f.deadFrom(dialRefused, "u0", "u1", "u2")
		f.runUntil(cutEnd, cutBegin+settleTime)
		for daemon := range daemons {
			if most := 2 * int((cutEnd-cutBegin-settleTime)/clock.Second); f.attempts[daemon] > most {
				t.Errorf("%d daemons: daemon %d made %d attempts, want at most %d", daemons, daemon, f.attempts[daemon], most)
			}
		}
		f.runUntil(cutEnd+6*clock.Second, cutEnd+settleTime)
		calm.runUntil(cutEnd+6*clock.Second, cutEnd+settleTime)
		for daemon := range daemons {
			if f.served[daemon]*100 < calm.served[daemon]*99 {
				t.Errorf("%d daemons: daemon %d got %d answers afterwards, %d without", daemons, daemon, f.served[daemon], calm.served[daemon])
			}
		}
	}
}

// ofDaemon returns an ask of a daemon.
func (h *harness) ofDaemon(daemon string, number uint64) scheduler.Ask {
	a := h.newAsk(number, 0)
	a.ID.Daemon, a.Stream = daemon, true
	return a
}

// failEach lets a daemon fail with one attempt at each of the two upstreams of a harness.
func (h *harness) failEach(daemon string, first uint64) {
	for n := first; n < first+2; n++ {
		a := h.ofDaemon(daemon, n)
		if n > first {
			a.Excluded = []string{h.granted[first]}
		}
		h.send(a, scheduler.End{ID: a.ID, Usage: reserver.Usage{Outcome: reserver.UpstreamDied}})
	}
}

// TestGoneDaemonIsForgotten guards against what is believed of the links of a daemon that is gone, and against
// asks of it that still wait.
func TestGoneDaemonIsForgotten(t *testing.T) {
	h := newHarness(8, 8)
	h.failEach("d", 1)
	if !h.cutOff["d"] {
		t.Fatal("a daemon whose attempts failed at both upstreams is not taken to be cut off")
	}
	for n := range uint64(8) {
		h.send(h.newAsk(10+n, 0))
	}
	if len(h.granted) > 3 {
		t.Fatalf("a daemon that is cut off got %v", h.granted)
	}
	h.send(scheduler.DaemonGone{Daemon: "d"})
	h.advance(10 * clock.Second)
	if len(h.granted) > 3 {
		t.Fatalf("asks of a daemon that is gone got %v", h.granted)
	}
	for n := range uint64(8) {
		h.send(h.newAsk(30+n, 0))
	}
	if h.granted[37] == "" {
		t.Fatalf("a daemon that came back got %v", h.granted)
	}
}

// TestHeldAsksMayBeCancelled guards against asks outside of the queue that are cancelled or wait too long.
func TestHeldAsksMayBeCancelled(t *testing.T) {
	h := newHarness(8, 8)
	h.failEach("d", 1)
	impatient := h.newAsk(12, 0)
	impatient.Patience = h.now + 300
	h.send(h.newAsk(10, 0), h.newAsk(11, 0), impatient, h.newAsk(13, 0), scheduler.Cancel{ID: askID(11)})
	h.advance(400)
	if _, refused := h.refused[12]; !refused || h.granted[10] == "" || h.granted[13] != "" {
		t.Fatalf("granted %v, refused %v", h.granted, h.refused)
	}
	h.send(scheduler.FirstToken{ID: askID(10)})
	if h.granted[11] != "" || h.granted[13] == "" || h.cutOff["d"] {
		t.Fatalf("after an answer: granted %v", h.granted)
	}
}

// TestAnnouncedAttemptsThatHangAreFreed guards against a new scheduler whose slots are held by attempts that
// began before it.
func TestAnnouncedAttemptsThatHangAreFreed(t *testing.T) {
	h := newHarness(4, 4)
	for n := range uint64(6) {
		h.send(scheduler.Announce{Ask: h.ofDaemon("d", n), Upstream: fmt.Sprintf("u%d", n%2)})
	}
	for n := uint64(10); n < 40; n++ {
		h.send(h.ofDaemon("e", n))
		h.advance(100)
		h.send(scheduler.FirstToken{ID: scheduler.AskID{Daemon: "e", Number: n}})
		h.send(scheduler.End{ID: scheduler.AskID{Daemon: "e", Number: n}, Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 5}})
	}
	if len(h.withdrawn) != 6 {
		t.Fatalf("of 6 attempts that hang, %v were withdrawn", h.withdrawn)
	}
	for n := uint64(50); n < 60; n++ {
		h.send(h.ofDaemon("e", n))
	}
	if h.granted[57] == "" || h.granted[58] != "" {
		t.Fatalf("granted %v", h.granted)
	}
	h.send(scheduler.FirstToken{ID: askID(0)})
	for n := uint64(50); n < 58; n++ {
		if h.granted[n] == "u0" {
			h.send(scheduler.End{ID: scheduler.AskID{Daemon: "e", Number: n}})
			break
		}
	}
	if h.cutOff["d"] || h.granted[58] != "" {
		t.Fatalf("after a late answer on u0: granted %v, cut off %v", h.granted, h.cutOff)
	}
}

// TestAttemptsOfOneFaultPauseOnce guards against a pause that each of the attempts doubles that were under way
// when an upstream died, and against pauses that don't grow while it stays dead.
func TestAttemptsOfOneFaultPauseOnce(t *testing.T) {
	died := func(n uint64) scheduler.Message {
		return scheduler.End{ID: askID(n), Usage: reserver.Usage{Outcome: reserver.UpstreamDied}}
	}
	h := newHarness(8)
	for n := range uint64(5) {
		h.send(h.newAsk(n, 0))
	}
	for n := range uint64(5) {
		h.send(died(n))
		h.advance(100)
	}
	h.send(h.newAsk(10, 0))
	h.advance(700)
	if h.granted[10] == "" {
		t.Fatal("an upstream that died once is still paused after 1.2 s")
	}
	h.send(died(10), h.newAsk(11, 0))
	h.advance(1500)
	if h.granted[11] != "" {
		t.Fatal("an upstream that is still dead got work after 1.5 s")
	}
	h.advance(500)
	if h.granted[11] == "" {
		t.Fatal("an upstream that is still dead was not tried after 2 s")
	}
}

// TestUpstreamsThatDieTogetherCutOffNobody guards against daemons that are taken to be cut off, and get no slots on
// the upstream that is left, because the two others died at the same time.
func TestUpstreamsThatDieTogetherCutOffNobody(t *testing.T) {
	h := newHarness(8, 8, 8)
	for n := range uint64(12) {
		h.send(h.newAsk(n, 0))
	}
	for n := range uint64(12) {
		if h.granted[n] != "u0" {
			h.send(scheduler.End{ID: askID(n), Usage: reserver.Usage{Outcome: reserver.UpstreamDied}})
		}
	}
	for n := uint64(20); n < 24; n++ {
		if h.send(h.newAsk(n, 0)); h.granted[n] != "u0" {
			t.Errorf("ask %d got %q", n, h.granted[n])
		}
	}
	if h.cutOff["d"] {
		t.Error("the daemon is taken to be cut off")
	}
}

// answerEach lets asks of a daemon be answered one after the other.
func (h *harness) answerEach(daemon string, first, last uint64, took clock.Millis) {
	for n := first; n <= last; n++ {
		h.send(h.ofDaemon(daemon, n))
		h.advance(took)
		id := scheduler.AskID{Daemon: daemon, Number: n}
		h.send(scheduler.FirstToken{ID: id}, scheduler.End{ID: id, Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 5}}, scheduler.Tick{})
	}
}

// TestLongRunsOfWholeAnswersAreNoCut guards against a quiet daemon that is taken to be cut off while its
// requests run for long and report nothing before they are answered.
func TestLongRunsOfWholeAnswersAreNoCut(t *testing.T) {
	h := newHarness(8, 8, 8)
	h.answerEach("e", 100, 160, 50)
	for n := uint64(1); n <= 3; n++ {
		a := h.ofDaemon("d", n)
		a.Stream, a.Deadline, a.Patience = false, h.now+clock.Minute, h.now+clock.Minute
		h.send(a, scheduler.Confirm{ID: a.ID})
	}
	h.answerEach("e", 200, 300, 50)
	if h.cutOff["d"] || len(h.withdrawn) > 0 {
		t.Errorf("cut off %t, withdrawn %v", h.cutOff["d"], h.withdrawn)
	}
}

// TestBrittleUpstreamKeepsRoomForRunsThatHang guards against the slots of requests that hang at a daemon without a
// path being given away at a brittle upstream, which may still run them.
func TestBrittleUpstreamKeepsRoomForRunsThatHang(t *testing.T) {
	h := newHarness(4, 4)
	h.use()
	for _, u := range []string{"u0", "u1"} {
		h.send(scheduler.Notice{Upstream: u, HeardAt: h.now, Brittle: true, MaxRefusals: 1})
	}
	h.advance(4 * clock.Second)
	h.answerEach("e", 100, 160, 50)
	hanging := map[string]int{}
	for n := uint64(1); n <= 4; n++ {
		a := h.ofDaemon("d", n)
		h.send(a, scheduler.Confirm{ID: a.ID})
		h.advance(350)
		hanging[h.granted[n]]++
	}
	for n := uint64(200); n < 260 && len(h.withdrawn) == 0; n++ {
		h.answerEach("e", n, n, 50)
	}
	if len(h.withdrawn) == 0 {
		t.Fatal("no slot was taken back")
	}
	besides := map[string]int{}
	for n := uint64(300); n < 340; n++ {
		a := h.ofDaemon("e", n)
		h.send(a, scheduler.Confirm{ID: a.ID})
		h.advance(10)
		besides[h.granted[n]]++
	}
	for _, u := range []string{"u0", "u1"} {
		if besides[u]+hanging[u] > 4 {
			t.Errorf("%s has 4 slots and %d runs that hang beside %d others", u, hanging[u], besides[u])
		}
	}
}

// TestTrialsDontWaitBehindOthers guards against a daemon whose links are back and that gets no slots, because its
// trials are of a low tier and wait in the queue of a busy shard.
func TestTrialsDontWaitBehindOthers(t *testing.T) {
	h := newHarness(4, 4)
	h.failEach("d", 1)
	if !h.cutOff["d"] {
		t.Fatal("not cut off")
	}
	clear(h.granted)
	daemonOf := map[uint64]string{}
	ask := func(daemon string, n uint64, tier int) {
		a := h.ofDaemon(daemon, n)
		a.Tier, a.Organisation = tier, "of "+daemon
		if n < 100 {
			a.Deadline, a.Patience = h.now+600*clock.Second, h.now+600*clock.Second
		} else {
			a.Deadline, a.Patience = h.now+5*clock.Second, h.now+5*clock.Second
		}
		daemonOf[n] = daemon
		h.send(a)
	}
	next := uint64(1000)
	granted, asked := 0, 0
	for step := range 300 {
		// What runs ends after one step.
		ended := slices.Sorted(maps.Keys(h.granted))
		clear(h.granted)
		for _, n := range ended {
			id := scheduler.AskID{Daemon: daemonOf[n], Number: n}
			h.send(scheduler.FirstToken{ID: id}, scheduler.End{ID: id, Usage: reserver.Usage{Outcome: reserver.Completed, OutputTokens: 5}})
			if daemonOf[n] == "d" && step > 50 {
				granted++
			}
		}
		// Another daemon asks for more than the shard has.
		for range 10 {
			next++
			ask("e", next, 0)
		}
		if step == 20 || step == 32 {
			ask("d", uint64(step), 2)
		}
		if step > 50 {
			next++
			ask("d", next, 0)
			asked++
		}
		h.advance(100)
	}
	if granted < asked/2 {
		t.Errorf("%d of %d asks of the highest tier got a slot", granted, asked)
	}
}
