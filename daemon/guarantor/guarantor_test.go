package guarantor_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/guarantor"
)

func groupsOf(kind, organisation string) [2]guarantor.Group {
	return [2]guarantor.Group{{Dimension: guarantor.Kind, Name: kind}, {Dimension: guarantor.Organisation, Name: organisation}}
}

// offer offers asks of a kind, of which some are served.
func offer(g *guarantor.Guarantor, now clock.Millis, kind, organisation string, tier, offered, served int, costMS float64) {
	for i := range offered {
		g.Offer(now, groupsOf(kind, organisation), tier, costMS)
		if i < served {
			g.Serve(now, groupsOf(kind, organisation))
		}
	}
}

// TestStarvedGroupIsNamedUntilServed guards against a kind or an organisation that stays
// below its minimum, and against one that is preferred beyond it.
func TestStarvedGroupIsNamedUntilServed(t *testing.T) {
	g := &guarantor.Guarantor{Floor: 0.3}
	offer(g, 1000, "long", "a", 0, 100, 90, 500)
	offer(g, 1000, "short", "b", 1, 100, 5, 500)
	g.Refresh(1000)
	if !g.IsStarved(groupsOf("short", "")[0]) || !g.IsStarved(groupsOf("", "b")[1]) || g.IsStarved(groupsOf("long", "")[0]) {
		t.Fatalf("starved: %v", g.Starved())
	}
	served := 0
	for len(g.Starved()) > 0 && served < 100 {
		g.Serve(1000, groupsOf("short", "b"))
		served++
	}
	// 30 in 100 of the mean, which grows to about 0.55.
	if served < 8 || served > 20 {
		t.Errorf("preferred for %d grants", served)
	}
}

// TestCheapKindIsServedLikeMoreImportantOnes guards against many short requests that are
// refused for a little room, and against long ones that take the room of more important
// requests in their name.
func TestCheapKindIsServedLikeMoreImportantOnes(t *testing.T) {
	for costMS, want := range map[float64]bool{20: true, 400: false} {
		g := &guarantor.Guarantor{Floor: 0.3, CheapShare: 0.06}
		offer(g, 1000, "long", "a", 0, 100, 80, 1000)
		offer(g, 1000, "label", "a", 2, 100, 50, costMS)
		g.Refresh(1000)
		if got := g.IsStarved(groupsOf("label", "")[0]); got != want {
			t.Errorf("cost %.0f ms: starved %t, want %t", costMS, got, want)
		}
		// It is never preferred to kinds that are as important.
		g = &guarantor.Guarantor{Floor: 0.3, CheapShare: 0.06}
		offer(g, 1000, "long", "a", 0, 100, 80, 1000)
		offer(g, 1000, "label", "a", 0, 100, 50, costMS)
		g.Refresh(1000)
		if g.IsStarved(groupsOf("label", "")[0]) {
			t.Errorf("cost %.0f ms: preferred to a kind of the same tier", costMS)
		}
	}
}

// TestOldAsksAreForgotten guards against memory that grows with each organisation that
// ever asked, and against a minimum for asks of long ago.
func TestOldAsksAreForgotten(t *testing.T) {
	g := &guarantor.Guarantor{Floor: 0.3}
	for i := range 1000 {
		offer(g, 1000, "kind", fmt.Sprint(i), 0, 10, 0, 100)
	}
	offer(g, 1000, "other", "served", 0, 5000, 5000, 100)
	g.Refresh(1000)
	if len(g.Starved()) != 1001 {
		t.Fatalf("%d groups are starved", len(g.Starved()))
	}
	g.Refresh(1000 + 2*clock.Minute)
	if len(g.Starved()) != 0 || g.Len() != 0 {
		t.Errorf("%d groups are starved, %d known after two minutes", len(g.Starved()), g.Len())
	}
	var zero guarantor.Guarantor
	offer(&zero, 1000, "kind", "a", 0, 100, 0, 100)
	zero.Refresh(1000)
	if len(zero.Starved()) != 0 {
		t.Error("the zero value guarantees a minimum")
	}
}
