package scheduler_test

import (
	"maps"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// serveKinds sends 40 requests a second of an important kind, twice what the upstreams
// can serve, and 10 of another one for ten seconds. It returns how many of the last
// seven seconds were served, and the longest time that one waited in vain.
func serveKinds(limits inventory.Limits) (important, other int, longestVain clock.Millis) {
	h := newHarness(1, 1, 1, 1)
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}, {Rank: 1}}, Limits: limits})
	const work = 200 * clock.Millisecond
	endAt, askedAt, routes := map[uint64]clock.Millis{}, map[uint64]clock.Millis{}, map[uint64]string{}
	number := uint64(0)
	for start := h.now; h.now < start+10*clock.Second; h.now += 5 {
		for _, n := range slices.Sorted(maps.Keys(endAt)) {
			if h.now >= endAt[n] {
				delete(endAt, n)
				h.send(endCompleted(n))
			}
		}
		ask := func(route string, tier int) {
			number++
			a := h.newAsk(number, tier)
			a.Route, a.Objective, a.Patience, a.Deadline = route, h.now+500, h.now+2000, h.now+3000
			askedAt[number], routes[number] = h.now, route
			h.send(a)
		}
		if (h.now-start)%25 == 0 {
			ask("important", 0)
		}
		if (h.now-start)%100 == 0 {
			ask("other", 1)
		}
		if (h.now-start)%50 == 0 {
			h.send(scheduler.Tick{})
		}
		for _, n := range slices.Sorted(maps.Keys(h.granted)) {
			delete(h.granted, n)
			h.send(scheduler.FirstToken{ID: askID(n)})
			endAt[n] = h.now + work
			switch {
			case h.now-start < 3*clock.Second:
			case routes[n] == "important":
				important++
			default:
				other++
			}
		}
		for n := range h.refused {
			longestVain = max(longestVain, h.now-askedAt[n])
			delete(h.refused, n)
		}
	}
	return important, other, longestVain
}

// TestStarvedKindGetsItsMinimum guards against a kind of request that gets no slot while
// more important ones take all, and against one that takes more than its minimum.
func TestStarvedKindGetsItsMinimum(t *testing.T) {
	if _, other, _ := serveKinds(inventory.Limits{}); other > 3 {
		t.Fatalf("%d requests were served without a minimum; the load does not starve them", other)
	}
	important, other, longestVain := serveKinds(inventory.Limits{KindFloor: 0.3})
	// 140 of 350 requests can be served, 0.4; 0.3 of that is owed to 70.
	if other < 7 || other > 14 || important < 110 {
		t.Errorf("%d important and %d other requests were served", important, other)
	}
	// What is not served is refused before its caller has left.
	if longestVain > 2*clock.Second {
		t.Errorf("one waited %d ms in vain", longestVain)
	}
}
