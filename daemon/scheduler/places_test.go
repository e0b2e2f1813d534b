package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// newPlaces returns a scheduler of upstreams u0 in domain d0 and u1 in d1, with 4 slots each, for a
// pool whose cold upstreams take 5 requests a second for 3 s.
func newPlaces() *harness {
	h := newHarness()
	h.sendPlaces(0)
	h.sendRules()
	h.settle()
	return h
}

// sendPlaces lists the upstreams; u0 says that it stays cold for coldLeft.
func (h *harness) sendPlaces(coldLeft clock.Millis) {
	h.send(scheduler.Upstreams{List: []inventory.Upstream{
		{Name: "u0", Slots: 4, Pool: "p", FailureDomain: "d0", ColdLeftMS: coldLeft},
		{Name: "u1", Slots: 4, Pool: "p", FailureDomain: "d1"},
	}})
}

func (h *harness) sendRules(evacuated ...string) {
	h.send(scheduler.Rules{
		Tiers: []inventory.Tier{{Rank: 0}}, Evacuated: evacuated,
		Cold: map[string]inventory.ColdLimit{"p": {PerSecond: 5, WarmUpMS: 3 * clock.Second, MaxInSecond: 21}},
	})
}

// TestColdUpstreamGetsItsRate guards against grants beyond what a cold upstream takes, and against
// a limit that outlives its cold time or begins late.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	h := newPlaces()
	h.sendPlaces(2 * clock.Second)
	if got := h.countGrants(2 * clock.Second)["u0"]; got < 8 || got > 5*2+1 {
		t.Errorf("%d grants in 2 s on a cold upstream that takes 5 a second", got)
	}
	if got := h.countGrants(2 * clock.Second); got["u0"] < 30 || got["u0"] > 2*21 {
		t.Errorf("%v after its cold time, want u0 at its bound of 21 in a second", got)
	}
	h.sendPlaces(0)
	h.sendPlaces(1 * clock.Second)
	if got := h.countGrants(1 * clock.Second)["u0"]; got > 5+1 {
		t.Errorf("%d grants in a second on an upstream that is cold again", got)
	}
}

// TestColdRateIsHalvedWhileAnotherSchedulerMayUseIt guards against two schedulers that both use the
// whole rate of a cold upstream.
func TestColdRateIsHalvedWhileAnotherSchedulerMayUseIt(t *testing.T) {
	h := newPlaces()
	h.send(scheduler.Fleet{Divided: true})
	h.sendPlaces(4 * clock.Second)
	if got := h.countGrants(4 * clock.Second)["u0"]; got > 4*5/2+1 {
		t.Errorf("%d grants in 4 s in a divided fleet, to an upstream that takes 5 a second", got)
	}
	taken := newHarness()
	taken.sendRules()
	taken.sendPlaces(3 * clock.Second)
	if got := taken.countGrants(3 * clock.Second)["u0"]; got > 3*5/2+1 {
		t.Errorf("%d grants in 3 s right after the takeover of an upstream that takes 5 a second", got)
	}
}

// TestEvacuatedUpstreamIsOutOfService guards against grants in an evacuated failure domain, and
// against a full rate right after the evacuation, when its upstreams may have become cold.
func TestEvacuatedUpstreamIsOutOfService(t *testing.T) {
	h := newPlaces()
	h.sendRules("d0")
	if got := h.countGrants(3 * clock.Second); got["u0"] > 0 || got["u1"] == 0 {
		t.Errorf("%v while d0 is evacuated", got)
	}
	h.sendRules("d0", "d1")
	h.send(h.newAsk(100_000, 0))
	if reason, refused := h.refused[100_000]; !refused || reason != scheduler.ReasonNoUpstream {
		t.Errorf("refused %v for reason %v with both failure domains evacuated", refused, reason)
	}
	h.sendRules()
	if got := h.countGrants(3 * clock.Second)["u0"]; got < 10 || got > 3*5+1 {
		t.Errorf("%d grants in the 3 s after the evacuation, want those of a cold upstream", got)
	}
	if got := h.countGrants(3 * clock.Second)["u0"]; got < 40 {
		t.Errorf("%d grants in the 3 s after that", got)
	}
}

// TestWaitingAskMovesAwayFromEvacuatedUpstream guards against an ask that waits for an upstream
// which was evacuated meanwhile.
func TestWaitingAskMovesAwayFromEvacuatedUpstream(t *testing.T) {
	h := newPlaces()
	for number := range uint64(9) {
		h.send(h.newAsk(number, 0), scheduler.Confirm{ID: askID(number)})
	}
	h.sendRules("d0")
	for number := range uint64(8) {
		h.send(scheduler.FirstToken{ID: askID(number)}, endCompleted(number))
	}
	h.advance(clock.Second)
	if h.granted[8] != "u1" {
		t.Errorf("the waiting ask was granted %q, want u1", h.granted[8])
	}
}

// TestPoolWithoutColdLimitIsNotHeld guards against a change for pools whose configuration names no
// cold limit.
func TestPoolWithoutColdLimitIsNotHeld(t *testing.T) {
	h := newHarness()
	h.sendPlaces(3 * clock.Second)
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}}})
	h.settle()
	h.sendPlaces(2 * clock.Second)
	if got := h.countGrants(2 * clock.Second)["u0"]; got < 60 {
		t.Errorf("%d grants in 2 s", got)
	}
}
