package follower

import (
	"fmt"
	"testing"

	"yuccaspread/daemon/gossiper"
)

// TestRelayReachesEachMemberOnce guards against daemons that no relay reaches, and against one
// that has to tell more peers the larger the fleet is.
func TestRelayReachesEachMemberOnce(t *testing.T) {
	const regions = 3
	for _, count := range []int{1, 2, 9, 66, 300} {
		var members []gossiper.Member
		for i := range count {
			members = append(members, gossiper.Member{Name: fmt.Sprint("d", i), Region: fmt.Sprint(i % regions), State: gossiper.Alive})
		}
		members = append(members, gossiper.Member{Name: "suspect", Region: "0", State: gossiper.Suspect})
		for _, root := range []string{"d0", fmt.Sprint("d", count-1)} {
			told, next := map[string]int{root: 1}, []string{root}
			for ; len(next) > 0; next = next[1:] {
				targets := relayTargets(members, root, next[0])
				if len(targets) > relayFanout+regions-1 {
					t.Errorf("%d members: %s tells %d others", count, next[0], len(targets))
				}
				for _, m := range targets {
					if told[m.Name]++; told[m.Name] == 1 {
						next = append(next, m.Name)
					}
				}
			}
			for _, m := range members[:count] {
				if told[m.Name] != 1 {
					t.Errorf("%d members, root %s: %s is told %d times", count, root, m.Name, told[m.Name])
				}
			}
			if told["suspect"] != 0 {
				t.Error("a member that may be gone is told")
			}
		}
	}
}

// TestRelayThatGoesRoundEnds guards against a relay that daemons with different views pass on to
// each other for good, each time with a little older confirmation.
func TestRelayThatGoesRoundEnds(t *testing.T) {
	var q relayQueue
	for i, c := range []struct {
		root  string
		known confirmations
		want  bool
	}{
		{"a", confirmations{1000, 1000}, true},
		{"a", confirmations{1000 + minRelayStep - 1, 1000 + minRelayStep - 1}, false},
		{"a", confirmations{1000 + minRelayStep, 1000}, true},
		{"a", confirmations{1000 + minRelayStep, 1000 + minRelayStep}, true},
		{"b", confirmations{1000, 1000}, true},
	} {
		if isNews := q.isNews(c.root, c.known); isNews != c.want {
			t.Errorf("relay %d is passed on: %t", i, isNews)
		}
	}
	for i := range 2 * maxRelayRoots {
		q.isNews(fmt.Sprint(i), confirmations{1, 1})
	}
	if len(q.passed) > maxRelayRoots {
		t.Errorf("%d roots are remembered", len(q.passed))
	}
}
