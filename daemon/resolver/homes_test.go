package resolver_test

import (
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
)

type homesSource struct{ staticSource }

func (homesSource) Current() *inventory.Config {
	return &inventory.Config{Revision: 1, Routes: []inventory.Route{{Name: "r", Host: "bound", HomeRegions: []string{"b"}}, {Name: "s", Host: "free"}}}
}

// Callers whose region has no daemon must be sent to the home regions of what they ask for.
func TestCallersWithoutDaemonAreSentToTheHomes(t *testing.T) {
	v := &resolver.Resolver{Source: homesSource{}, OwnRegionOnly: true, Members: staticMembers{
		member("a1", "a", gossiper.Alive, 1, 0), member("b1", "b", gossiper.Alive, 1, 0), member("d1", "d", gossiper.Alive, 1, 0),
	}}
	for _, c := range []struct {
		region, host string
		want         []string
	}{
		{"a", "bound", []string{"a"}}, {"c", "bound", []string{"b"}}, {"c", "free", []string{"a", "b", "d"}},
	} {
		got := v.Answer(c.region, c.host).Addresses
		regions := map[string]bool{}
		for _, a := range got {
			regions[a.Region] = true
		}
		for _, want := range c.want {
			if !regions[want] || len(got) != len(c.want) {
				t.Errorf("from %s for %s: %+v, want those of %v", c.region, c.host, got, c.want)
			}
		}
	}
}
