package inventory_test

import (
	"slices"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// Guards against a request that is bound by one of its homes only, or by none.
func TestHomesBindTogether(t *testing.T) {
	for _, c := range []struct {
		homes          inventory.Homes
		allowed        []string
		empty, isBound bool
	}{
		{inventory.Homes{}, []string{"a", "b", "c"}, false, false},
		{inventory.Homes{ByRoute: []string{"a", "b"}}, []string{"a", "b"}, false, true},
		{inventory.Homes{ByOrganisation: []string{"c"}}, []string{"c"}, false, true},
		{inventory.Homes{ByRoute: []string{"a", "b"}, ByOrganisation: []string{"b", "c"}}, []string{"b"}, false, true},
		{inventory.Homes{ByRoute: []string{"a"}, ByOrganisation: []string{"c"}}, nil, true, true},
	} {
		var allowed []string
		for _, region := range []string{"a", "b", "c"} {
			if c.homes.Allow(region) {
				allowed = append(allowed, region)
			}
		}
		if !slices.Equal(allowed, c.allowed) || c.homes.Empty() != c.empty || c.homes.Bound() != c.isBound {
			t.Errorf("%+v: allows %v, empty %t, bound %t", c.homes, allowed, c.homes.Empty(), c.homes.Bound())
		}
	}
}

func placesConfig() inventory.Config {
	return inventory.Config{
		Regions: []inventory.Region{{Name: "a", FailureDomains: []string{"a1", "a2"}}, {Name: "b", FailureDomains: []string{"b1"}}},
		Routes: []inventory.Route{
			{Name: "free", Host: "h"}, {Name: "in-a", Host: "h", HomeRegions: []string{"a"}}, {Name: "in-ab", Host: "h", HomeRegions: []string{"a", "b"}},
		},
		Organisations: []inventory.Organisation{{Name: "everywhere"}, {Name: "of-b", HomeRegions: []string{"b"}}},
	}
}

// Guards against a request that is judged by homes which are no longer in force, or by none since
// its route is gone.
func TestHomesInForceAreThoseOfTheConfiguration(t *testing.T) {
	c := placesConfig()
	arrived := inventory.Homes{ByRoute: []string{"b"}, ByOrganisation: []string{"b"}}
	if homes := c.HomesInForce("in-a", "everywhere", arrived); !homes.Allow("a") || homes.Allow("b") {
		t.Errorf("%+v, want those in force", homes)
	}
	if homes := c.HomesInForce("gone", "also-gone", arrived); homes.Allow("a") || !homes.Allow("b") {
		t.Errorf("%+v, want those at the arrival", homes)
	}
	if got := c.HomesOfHost("h"); !slices.Equal(got, []string{"a"}) {
		t.Errorf("the homes of the host are %v, want a", got)
	}
	if got := c.HomesOfHost("other"); got != nil {
		t.Errorf("the homes of another host are %v", got)
	}
}

// Guards against a configuration with places that don't exist, or that leave no place at all.
func TestMistakesInPlacesAreNamed(t *testing.T) {
	for _, c := range []struct {
		change func(c *inventory.Config)
		want   string
	}{
		{func(*inventory.Config) {}, ""},
		{func(c *inventory.Config) { c.Routes[0].HomeRegions = []string{"z"} }, `route "free" home_regions: there is no region "z"`},
		{func(c *inventory.Config) { c.Organisations[0].HomeRegions = []string{"z"} }, `organisation "everywhere" home_regions: there is no region "z"`},
		{func(c *inventory.Config) { c.Routes[2].HomeRegions = []string{"a"} }, `organisation "of-b" home_regions: has no region in common with those of route "in-ab"`},
		{func(c *inventory.Config) { c.Regions[1].Evacuated = []string{"a1"} }, `region "b" evacuated: the region has no failure domain "a1"`},
		{func(c *inventory.Config) { c.Pools[0].Cold.PerSecond = -1 }, `pool "p" cold.per_second: must be`},
		{func(c *inventory.Config) { c.Pools[0].Cold.WarmUpMS = 1 << 40 }, `pool "p" cold.warm_up_ms: must be`},
		{func(c *inventory.Config) { c.Pools[0].Cold = inventory.ColdLimit{PerSecond: 5, MaxInSecond: 4} }, `cold.max_in_second: is below`},
	} {
		config := placesConfig()
		config.Routes[1].Anonymous = true
		config.Pools = []inventory.Pool{{Name: "p", Kind: inventory.PoolService}}
		c.change(&config)
		var found []string
		for _, err := range config.Check() {
			if text := err.Error(); strings.Contains(text, "home_regions") || strings.Contains(text, "evacuated") || strings.Contains(text, "cold.") {
				found = append(found, text)
			}
		}
		if c.want == "" && len(found) > 0 || c.want != "" && !slices.ContainsFunc(found, func(text string) bool { return strings.HasPrefix(text, c.want) || strings.Contains(text, c.want) }) {
			t.Errorf("got %q, want %q", found, c.want)
		}
	}
}
