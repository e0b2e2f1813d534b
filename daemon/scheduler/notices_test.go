package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// settle lets a daemon use the scheduler, and the time pass after which no other one uses the upstreams.
func (h *harness) settle() {
	h.use()
	h.advance(10 * clock.Second)
}

// use lets a daemon use the scheduler for the first time.
func (h *harness) use() {
	const number = 1 << 40
	h.send(h.newAsk(number, 0), scheduler.Cancel{ID: askID(number)})
}

// countGrants asks at a rate far above any limit for a time, ends each request after 100 ms, and
// returns the grants by upstream.
func (h *harness) countGrants(span clock.Millis) map[string]int {
	counts := map[string]int{}
	for end := h.now + span; h.now < end; {
		h.advance(10)
		h.nextNumber++
		number := h.nextNumber
		h.send(h.newAsk(number, 0))
		if upstream, granted := h.granted[number]; granted {
			counts[upstream]++
			h.send(scheduler.Confirm{ID: askID(number)}, scheduler.FirstToken{ID: askID(number)}, endCompleted(number))
			continue
		}
		h.send(scheduler.Cancel{ID: askID(number)})
	}
	return counts
}

// TestNamedLimitBoundsGrants guards against grants beyond the rate that an upstream named, and
// against far fewer.
func TestNamedLimitBoundsGrants(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 3, 20} {
		h := newHarness(4)
		h.settle()
		h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: limit})
		counts := h.countGrants(20 * clock.Second)
		most, least := int(limit*20)+3, int(limit*20)-2
		if limit == 0 {
			most, least = 4+2, 3
		}
		if counts["u0"] > most || counts["u0"] < least {
			t.Errorf("limit %v: %v, want %d to %d", limit, counts, least, most)
		}
		h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now})
		if counts = h.countGrants(20 * clock.Second); counts["u0"] < 500 {
			t.Errorf("after the limit %v: %v", limit, counts)
		}
	}
}

// TestAsksBeyondANamedLimitGoElsewhereAtOnce guards against asks that wait for an upstream with a
// limit while another one has free slots.
func TestAsksBeyondANamedLimitGoElsewhereAtOnce(t *testing.T) {
	h := newHarness(4, 8)
	h.settle()
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 0.5})
	h.settle()
	counts := map[string]int{}
	for number := range uint64(10) {
		h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
		counts[h.granted[number]]++
	}
	if counts["u0"] != 2 || counts["u1"] != 8 {
		t.Errorf("%v, want the burst of 2 on u0 and 8 on u1", counts)
	}
}

// TestNamedLimitIsHalvedWhileAnotherSchedulerMayUseIt guards against two schedulers that both use
// the whole limit of an upstream, after a change of schedulers or in a divided fleet.
func TestNamedLimitIsHalvedWhileAnotherSchedulerMayUseIt(t *testing.T) {
	h := newHarness(4)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 10})
	if got := h.countGrants(3 * clock.Second)["u0"]; got > 15+2 {
		t.Errorf("%d grants in 3 s right after the upstream was taken over", got)
	}
	h.settle()
	if got := h.countGrants(5 * clock.Second)["u0"]; got < 45 {
		t.Errorf("%d grants in 5 s later", got)
	}
	h.send(scheduler.Fleet{Divided: true})
	if got := h.countGrants(5 * clock.Second)["u0"]; got > 25+2 {
		t.Errorf("%d grants in 5 s in a divided fleet", got)
	}
}

// TestOlderNoticeChangesNoLimit guards against an answer that overtook another one.
func TestOlderNoticeChangesNoLimit(t *testing.T) {
	h := newHarness(4)
	h.settle()
	h.send(
		scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 1},
		scheduler.Notice{Upstream: "u0", HeardAt: h.now - 5},
		scheduler.Notice{Upstream: "unknown", HeardAt: h.now, Limited: true, Limit: 1},
	)
	if got := h.countGrants(10 * clock.Second)["u0"]; got > 12 {
		t.Errorf("%d grants in 10 s after an older word without a limit", got)
	}
}

// TestUnsentRequestUsesNoLimit guards against a limit that is used up by requests that never left,
// and against one that grows by those that did.
func TestUnsentRequestUsesNoLimit(t *testing.T) {
	h := newHarness(4)
	h.settle()
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 0.5})
	h.advance(4 * clock.Second)
	for number := range uint64(50) {
		h.send(h.newAsk(number, 0))
		if h.granted[number] == "" {
			t.Fatalf("ask %d got no slot", number)
		}
		h.send(scheduler.End{ID: askID(number), Usage: reserver.Usage{Outcome: reserver.NotSent, NotRun: true}})
	}
	h.nextNumber = 100
	if got := h.countGrants(10 * clock.Second)["u0"]; got > 5+2 {
		t.Errorf("%d grants in 10 s", got)
	}
}

// TestChangingNamedLimitsHold guards against a limit that is exceeded while it is raised, lowered,
// ended and named again.
func TestChangingNamedLimitsHold(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(5)
			h.settle()
			for range 20 {
				limit, span := random.Float64()*8, clock.Millis(500+random.IntN(4000))
				h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: limit})
				got := h.countGrants(span)["u0"]
				if most := max(limit, 0.2)*span.Duration().Seconds() + 3; float64(got) > most {
					t.Errorf("%d grants in %d ms at %v a second, want at most %v", got, span, limit, most)
				}
				if random.IntN(3) == 0 {
					h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now})
					h.countGrants(200)
				}
			}
		})
	}
}

// TestAskThatCanGoElsewhereIsRefusedAtOnce guards against an ask that waits past its objective where
// another region may meet it, and against one that is refused although it need not wait.
func TestAskThatCanGoElsewhereIsRefusedAtOnce(t *testing.T) {
	h := newHarness(4)
	h.settle()
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 1})
	h.countGrants(30 * clock.Second)
	for elapsed := range 2 {
		h.nextNumber++
		ask := h.newAsk(h.nextNumber, 0)
		ask.Objective, ask.Patience, ask.ObjectiveOnly = h.now+600, h.now+2000, true
		h.send(ask)
		_, refused := h.refused[ask.ID.Number]
		if wantRefused := elapsed == 0; refused != wantRefused {
			t.Errorf("%d s after the last grants: refused %v, granted %v", elapsed, refused, h.granted[ask.ID.Number])
		}
		h.advance(1 * clock.Second)
	}
}

// TestUpstreamThatSaysItLeavesGetsNoGrants guards against grants on an upstream that says in its
// answers that it leaves, whatever is heard of it later, and on one that the asking daemon avoids.
func TestUpstreamThatSaysItLeavesGetsNoGrants(t *testing.T) {
	h := newHarness(4, 4, 4)
	h.send(
		scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 50},
		scheduler.Notice{Upstream: "u0", HeardAt: h.now - 100, Leaving: true},
		scheduler.Notice{Upstream: "u0", HeardAt: h.now},
	)
	for number := range uint64(6) {
		ask := h.newAsk(number, 0)
		ask.Avoided = []string{"u1"}
		h.send(ask, scheduler.Confirm{ID: askID(number)})
		if got, wantGrant := h.granted[number], number < 4; (got == "u2") != wantGrant || got == "u0" || got == "u1" {
			t.Errorf("ask %d got a slot on %q", number, got)
		}
	}
}

// TestLimitsAreReportedSparingly guards against a message to each daemon with each answer of an
// upstream whose limit changes all the time, and against a limit that no daemon hears of.
func TestLimitsAreReportedSparingly(t *testing.T) {
	h := newHarness(4)
	var told []scheduler.NoticeChanged
	notice := func(limited bool, limit float64) {
		h.now += 50
		for _, e := range h.Update(h.now, scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: limited, Limit: limit}) {
			if changed, isNotice := e.(scheduler.NoticeChanged); isNotice {
				told = append(told, changed)
			}
		}
	}
	for i := range 400 {
		notice(true, 1+float64(i%20))
	}
	notice(true, 30)
	if len(told) < 3 || len(told) > 6 || !told[0].Limited {
		t.Errorf("%d reports in 20 s", len(told))
	}
	notice(false, 0)
	notice(true, 2)
	if last := told[len(told)-1]; len(told) > 8 || !last.Limited || last.Limit != 2 || told[len(told)-2].Limited {
		t.Errorf("the end of a limit, or a new one, was not reported: %+v", told)
	}
}
