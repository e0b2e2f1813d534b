package scheduler_test

import (
	"encoding/json"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/reporter"
	"yuccaspread/daemon/scheduler"
)

// TestExplanationIsWhatHappens guards against an explanation that says something else than what becomes of
// the ask, and against one that changes what does.
func TestExplanationIsWhatHappens(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"idle":      func(*harness) {},
		"one busy":  func(h *harness) { h.occupy("u0") },
		"all busy":  func(h *harness) { h.ask(nil, 1000); h.ask(nil, 1000); h.fill() },
		"evacuated": func(h *harness) { h.send(scheduler.Rules{Evacuated: []string{""}}) },
		"down": func(h *harness) {
			h.send(scheduler.Health{Upstream: "u0"}, scheduler.Health{Upstream: "u1"})
		},
		"queue": func(h *harness) { h.fill(); h.ask(nil, 500) },
	} {
		h, twin := newKept(2), newKept(2)
		prepare(h)
		prepare(twin)
		h.nextNumber++
		twin.nextNumber++
		asked := h.newAsk(h.nextNumber, 0)
		asked.Deadline = h.now + 20*clock.Second
		explained := h.Explain(h.now, asked)
		again := h.Explain(h.now, asked)
		if first, second := mustJSON(t, explained), mustJSON(t, again); first != second {
			t.Errorf("%s: two explanations differ:\n%s\n%s", name, first, second)
		}
		h.send(asked)
		twin.send(asked)
		upstream, granted := h.granted[asked.ID.Number]
		_, refused := h.refused[asked.ID.Number]
		if other := twin.granted[asked.ID.Number]; other != upstream {
			t.Errorf("%s: granted %q after an explanation, %q without one", name, upstream, other)
		}
		want := map[bool]reporter.Verdict{true: reporter.VerdictGrant, false: reporter.VerdictWait}[granted]
		if refused {
			want = reporter.VerdictRefuse
		}
		if explained.Verdict != want {
			t.Errorf("%s: explained as %s (%s), was %s", name, explained.Verdict, explained.Reason, want)
		}
		chosen := ""
		for _, c := range explained.Candidates {
			if c.Chosen {
				chosen = c.Upstream
			}
			if c.Chosen && c.Obstacle != reporter.ObstacleNone {
				t.Errorf("%s: %s is chosen and has the obstacle %q", name, c.Upstream, c.Obstacle)
			}
		}
		if granted && chosen != upstream {
			t.Errorf("%s: explained as %q, granted %q", name, chosen, upstream)
		}
		if len(explained.Candidates) != 2 {
			t.Errorf("%s: %d candidates, want 2", name, len(explained.Candidates))
		}
	}
}

// fill takes all slots.
func (h *harness) fill() {
	for _, upstream := h.ask(nil, 1000); upstream != ""; _, upstream = h.ask(nil, 1000) {
	}
}

func mustJSON(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestObstaclesAreNamed guards against an upstream that gets nothing without a reason that is shown.
func TestObstaclesAreNamed(t *testing.T) {
	h := newPlaces()
	obstacle := func(ask scheduler.Ask, upstream string) reporter.Obstacle {
		for _, c := range h.Explain(h.now, ask).Candidates {
			if c.Upstream == upstream {
				return c.Obstacle
			}
		}
		return "not there"
	}
	ask := h.newAsk(1, 0)
	check := func(when string, ask scheduler.Ask, want reporter.Obstacle) {
		t.Helper()
		if got := obstacle(ask, "u0"); got != want {
			t.Errorf("%s: %q, want %q", when, got, want)
		}
	}
	check("idle", ask, reporter.ObstacleNone)
	excluded := ask
	excluded.Excluded = []string{"u0"}
	check("excluded", excluded, reporter.ObstacleExcluded)
	h.sendRules("d0")
	check("evacuated", ask, reporter.ObstacleEvacuated)
	h.sendRules()
	h.countGrants(200)
	check("cold after the evacuation", ask, reporter.ObstacleCold)
	h.advance(10 * clock.Second)
	h.send(scheduler.Health{Upstream: "u0"})
	check("down", ask, reporter.ObstacleDown)
	h.send(scheduler.Health{Upstream: "u0", Up: true})
	h.advance(10 * clock.Second)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Limited: true, Limit: 0})
	check("limit", ask, reporter.ObstacleLimit)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now, Brittle: true})
	check("brittle with room", ask, reporter.ObstacleNone)
	only := h.newAsk(1000, 0)
	only.Avoided = []string{"u1"}
	h.send(only)
	h.refuse(1000)
	check("brittle", ask, reporter.ObstacleBrittle)
	h.send(scheduler.Notice{Upstream: "u0", HeardAt: h.now})
	h.send(scheduler.Upstreams{List: []inventory.Upstream{{Name: "u0", Slots: 4, Leaving: true}, {Name: "u1", Slots: 4}}})
	check("leaving", ask, reporter.ObstacleLeaving)
}
