package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// askOnce asks for a slot and returns the upstream, "" if none was free.
func (h *harness) askOnce() (number uint64, upstream string) {
	h.nextNumber++
	number = h.nextNumber
	h.send(h.newAsk(number, 0))
	upstream = h.granted[number]
	if upstream == "" {
		h.send(scheduler.Cancel{ID: askID(number)})
	}
	return number, upstream
}

// fillUp asks until no slot is free, and returns the numbers of the requests.
func (h *harness) fillUp() (numbers []uint64) {
	for {
		number, upstream := h.askOnce()
		if upstream == "" {
			return numbers
		}
		numbers = append(numbers, number)
	}
}

// refuse ends requests that their upstreams have refused.
func (h *harness) refuse(numbers ...uint64) {
	for _, number := range numbers {
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.Failed, NotRun: true}})
	}
}

// makeBrittle lets u0 say that it is brittle, as long as it has no requests.
func (h *harness) makeBrittle(maxRefusals int) {
	h.settle()
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Brittle: true, MaxRefusals: maxRefusals})
}

// TestBrittleUpstreamThatRefusesAllIsNotCrashed guards against a brittle upstream without any room that
// has to refuse more than it can bear in any second.
func TestBrittleUpstreamThatRefusesAllIsNotCrashed(t *testing.T) {
	for _, maxRefusals := range []int{1, 2, 3, 10, 100} {
		for _, delay := range []clock.Millis{10, 90} {
			h := newHarness(40)
			h.makeBrittle(maxRefusals)
			var refusedAt []clock.Millis
			pending := map[uint64]clock.Millis{}
			for end := h.now + clock.Minute; h.now < end; h.advance(10) {
				for number, at := range pending {
					if h.now >= at {
						h.refuse(number)
						delete(pending, number)
					}
				}
				for _, number := range h.fillUp() {
					refusedAt = append(refusedAt, h.now)
					pending[number] = h.now + delay
				}
			}
			if most := mostInSecond(refusedAt); most > maxRefusals || len(refusedAt) == 0 {
				t.Errorf("known after %d ms: %d requests to an upstream without room, %d in a second, allowed are %d", delay, len(refusedAt), most, maxRefusals)
			}
		}
	}
}

// mostInSecond returns the largest number of moments, in their order, in any second.
func mostInSecond(moments []clock.Millis) (most int) {
	first := 0
	for i, at := range moments {
		for at-moments[first] >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRunWithoutAKnownEndKeepsItsSlot guards against a brittle upstream that gets a request for a slot whose last
// caller has left, or whose daemon is gone, while the run goes on.
func TestRunWithoutAKnownEndKeepsItsSlot(t *testing.T) {
	for name, end := range map[string]scheduler.Message{
		"caller left":       scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.Cancelled}},
		"connection broke":  scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.ConnectionBroken}},
		"the daemon's end":  scheduler.DaemonGone{Daemon: "d"},
		"answered":          endCompleted(1),
		"never left":        scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.NotSent, NotRun: true}},
		"grant was unused":  scheduler.Cancel{ID: askID(1)},
		"answered an error": scheduler.End{ID: askID(1), Usage: reserver.Usage{Outcome: reserver.Failed}},
	} {
		h := newHarness(1)
		h.makeBrittle(3)
		if number, upstream := h.askOnce(); number != 1 || upstream == "" {
			t.Fatal("no slot on an idle upstream")
		}
		h.advance(100)
		h.send(end)
		_, upstream := h.askOnce()
		wantFree := name == "answered" || name == "never left" || name == "grant was unused" || name == "answered an error"
		if free := upstream != ""; free != wantFree {
			t.Errorf("%s: slot free %t", name, free)
		}
		h.advance(10 * clock.Second)
		if _, upstream = h.askOnce(); !wantFree && upstream == "" {
			t.Errorf("%s: no slot 10 s later", name)
		}
	}
}

// TestUnreachedUpstreamKeepsItsSlots guards against slots of a brittle upstream that are taken by requests of a daemon
// that can't connect to it, and against free ones while a request may run there.
func TestUnreachedUpstreamKeepsItsSlots(t *testing.T) {
	for _, notRun := range []bool{true, false} {
		h := newHarness(1)
		h.makeBrittle(3)
		number, _ := h.askOnce()
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.UpstreamDied, NotRun: notRun}})
		// The upstream is paused for a second.
		h.advance(1100)
		if _, upstream := h.askOnce(); (upstream != "") != notRun {
			t.Errorf("not run %t: slot on %q", notRun, upstream)
		}
	}
}

// TestBrittleUpstreamUsesItsSlots guards against slots of a brittle upstream that stay idle though it refuses
// nothing, and against more requests than slots, those included that others run there.
func TestBrittleUpstreamUsesItsSlots(t *testing.T) {
	for _, maxRefusals := range []int{0, 1, 5} {
		h := newHarness(8)
		h.makeBrittle(maxRefusals)
		h.fillUp()
		for range 10 {
			h.advance(400)
			h.fillUp()
		}
		if running := h.Status().Upstreams[0].Running; running != 8 {
			t.Errorf("%d refusals: %d of 8 slots in use after 4 s", maxRefusals, running)
		}
	}
	h := newHarness(8)
	h.makeBrittle(5)
	for range 20 {
		number, _ := h.askOnce()
		h.advance(20)
		h.send(scheduler.FirstToken{ID: askID(number), Told: scheduler.Told{Running: 5, Slots: 5}}, endCompleted(number))
	}
	if running := len(h.fillUp()); running != 1 {
		t.Errorf("%d requests beside 4 of others on an upstream that tells of 5 slots", running)
	}
}

// TestBrittlenessEndsWithTheWord guards against an upstream that is spared although it no longer says that it is
// brittle, and against an older word that ends it.
func TestBrittlenessEndsWithTheWord(t *testing.T) {
	h := newHarness(8)
	h.makeBrittle(1)
	number, _ := h.askOnce()
	h.refuse(number)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now - 1})
	if got := len(h.fillUp()); got != 0 {
		t.Errorf("%d requests right after a refusal", got)
	}
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now})
	if got := len(h.fillUp()); got != 8 {
		t.Errorf("%d requests once it is not brittle", got)
	}
}

// TestSchedulersOfPartsShareABrittleUpstream guards against schedulers of several parts of a fleet
// that together use more slots of a brittle upstream than it has.
func TestSchedulersOfPartsShareABrittleUpstream(t *testing.T) {
	for _, parts := range []int{2, 3, 4} {
		total := 0
		for range parts {
			h := newHarness(8)
			h.makeBrittle(20)
			h.send(scheduler.Fleet{Part: 1 / float64(parts)})
			for range 10 {
				h.advance(400)
				h.fillUp()
			}
			total += h.Status().Upstreams[0].Running
		}
		if total > 8 || total < 6 {
			t.Errorf("%d parts: %d of 8 slots in use", parts, total)
		}
	}
}

// TestBrittleUpstreamWithHiddenRunsIsNotCrashed guards against refusals beyond what an upstream bears while others use
// its slots for random times, and against one that is given up then.
func TestBrittleUpstreamWithHiddenRunsIsNotCrashed(t *testing.T) {
	const slots, work, maxRefusals = 8, 200, 3
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			h := newHarness(slots)
			h.makeBrittle(maxRefusals)
			var refusedAt []clock.Millis
			running, hiddenUntil := map[uint64]clock.Millis{}, [slots]clock.Millis{}
			served := 0
			for end := h.now + clock.Minute; h.now < end; h.advance(10) {
				hidden := 0
				for i := range slots / 4 {
					if random.IntN(400) == 0 {
						hiddenUntil[i] = h.now + clock.Millis(random.IntN(3000))
					}
					if h.now < hiddenUntil[i] {
						hidden++
					}
				}
				for number, until := range running {
					if h.now >= until {
						served++
						delete(running, number)
						h.send(scheduler.FirstToken{ID: askID(number)}, endCompleted(number))
					}
				}
				for _, number := range h.fillUp() {
					if len(running)+hidden >= slots {
						refusedAt = append(refusedAt, h.now)
						h.refuse(number)
						continue
					}
					running[number] = h.now + work/2 + clock.Millis(random.IntN(work))
				}
			}
			if most := mostInSecond(refusedAt); most > maxRefusals {
				t.Errorf("%d refusals in a second, allowed are %d", most, maxRefusals)
			}
			if least := 60 * 1000 / work * slots / 2; served < least {
				t.Errorf("%d requests served, want %d", served, least)
			}
			t.Logf("%d served, %d refused", served, len(refusedAt))
		})
	}
}

// TestBrittleUpstreamIsLeftAloneWhenTheSchedulerIsFirstUsed guards against a scheduler that had an upstream for
// long, with nobody asking, and grants before the daemons have announced what runs there.
func TestBrittleUpstreamIsLeftAloneWhenTheSchedulerIsFirstUsed(t *testing.T) {
	h := newHarness(8)
	h.advance(10 * clock.Second)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Brittle: true})
	for end := h.now + clock.Second; h.now < end; h.advance(10) {
		if _, upstream := h.askOnce(); upstream != "" {
			t.Fatalf("slot on %q %d ms before the daemons had the time to announce theirs", upstream, end-h.now)
		}
	}
	if _, upstream := h.askOnce(); upstream == "" {
		t.Error("no slot after the daemons had the time to announce theirs")
	}
}
