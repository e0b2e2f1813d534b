package resolver_test

import (
	"slices"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
)

// regionsSource knows three regions, of which c is the nearest to a.
type regionsSource struct{ staticSource }

func (regionsSource) Current() *inventory.Config {
	return &inventory.Config{Revision: 1, Regions: []inventory.Region{{Name: "a", Nearest: []string{"c", "b"}}, {Name: "b"}, {Name: "c"}}}
}

func cutOff(m gossiper.Member) gossiper.Member {
	m.CutOff = true
	return m
}

// Callers must not be handed daemons without a path to any upstream, but an answer is never empty for it.
func TestCutOffDaemonsAreLeftOutWhileOthersAreThere(t *testing.T) {
	a1, a2 := member("a1", "a", gossiper.Alive, 1, 0), member("a2", "a", gossiper.Alive, 1, 0)
	b1, c1 := member("b1", "b", gossiper.Alive, 1, 0), member("c1", "c", gossiper.Alive, 1, 0.9)
	suspect, without := member("a3", "a", gossiper.Suspect, 1, 0), member("a4", "a", gossiper.Alive, 0, 0)
	for _, c := range []struct {
		name    string
		members staticMembers
		want    []string
	}{
		{"the daemon that answers", staticMembers{cutOff(a1), a2, b1, c1}, []string{"a2"}},
		{"another one", staticMembers{a1, cutOff(a2), b1, c1}, []string{"a1"}},
		{"the region: the nearest one first", staticMembers{cutOff(a1), cutOff(a2), b1, c1}, []string{"c1", "b1"}},
		{"the region and the nearest one", staticMembers{cutOff(a1), cutOff(a2), b1, cutOff(c1)}, []string{"b1"}},
		{"all: as if none were", staticMembers{cutOff(a1), cutOff(a2), cutOff(b1), cutOff(c1)}, []string{"a1", "a2"}},
		{"all but those that can't serve", staticMembers{cutOff(a1), cutOff(a2), suspect, without}, []string{"a1", "a2"}},
	} {
		v := &resolver.Resolver{Source: regionsSource{}, OwnRegionOnly: true, Members: c.members}
		var got []string
		for _, a := range v.Answer("a", "").Addresses {
			got = append(got, a.Address)
		}
		if c.name[:3] == "all" {
			slices.Sort(got)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("cut off %s: got %v, want %v", c.name, got, c.want)
		}
	}
}
