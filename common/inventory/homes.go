package inventory

import (
	"slices"

	"yuccaspread/common/clock"
)

// Homes are the regions to which a request is bound by its route and by its organisation. The
// zero value binds to none. The lists must not be modified.
type Homes struct {
	ByRoute, ByOrganisation []string
}

// HomesOf returns the homes of the requests of an organisation on a route.
func HomesOf(route Route, organisation Organisation) Homes {
	return Homes{ByRoute: route.HomeRegions, ByOrganisation: organisation.HomeRegions}
}

// Bound reports whether there are regions in which the request must not run.
func (h Homes) Bound() bool { return len(h.ByRoute) > 0 || len(h.ByOrganisation) > 0 }

// Allow reports whether the request may run in a region.
func (h Homes) Allow(region string) bool {
	return (len(h.ByRoute) == 0 || slices.Contains(h.ByRoute, region)) &&
		(len(h.ByOrganisation) == 0 || slices.Contains(h.ByOrganisation, region))
}

// Empty reports whether the request may run in no region.
func (h Homes) Empty() bool {
	return len(h.ByRoute) > 0 && len(h.ByOrganisation) > 0 && !slices.ContainsFunc(h.ByRoute, h.Allow)
}

// HomesInForce returns the homes of a request by this configuration. Of a route or an
// organisation that is no longer there, what was in force when the request arrived counts.
func (c *Config) HomesInForce(route, organisation string, arrived Homes) (homes Homes) {
	homes = arrived
	if r, found := Lookup(c.Routes, route); found {
		homes.ByRoute = r.HomeRegions
	}
	if o, found := Lookup(c.Organisations, organisation); found {
		homes.ByOrganisation = o.HomeRegions
	}
	return homes
}

// HomePair is a route and an organisation whose homes have no region in common.
type HomePair struct{ Route, Organisation string }

// DisjointHomes returns the pairs of routes and organisations whose requests may run in no
// region. Anonymous routes belong to no pair.
func (c *Config) DisjointHomes() (pairs []HomePair) {
	var bound []Route
	for _, r := range c.Routes {
		if len(r.HomeRegions) > 0 && !r.Anonymous {
			bound = append(bound, r)
		}
	}
	for _, o := range c.Organisations {
		for _, r := range bound {
			if HomesOf(r, o).Empty() {
				pairs = append(pairs, HomePair{Route: r.Name, Organisation: o.Name})
			}
		}
	}
	return pairs
}

// HomesOfHost returns the regions that all routes of a host with homes have in common, or, if
// there are none, all that any of them names.
func (c *Config) HomesOfHost(host string) (common []string) {
	var all []string
	bound := 0
	counts := map[string]int{}
	for _, r := range c.Routes {
		if r.Host != host || len(r.HomeRegions) == 0 {
			continue
		}
		bound++
		for _, region := range r.HomeRegions {
			counts[region]++
		}
	}
	for region, count := range counts {
		all = append(all, region)
		if count == bound {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		common = all
	}
	slices.Sort(common)
	return common
}

// Evacuates reports whether the failure domain of an upstream is evacuated.
func (c *Config) Evacuates(u Upstream) bool {
	region, found := Lookup(c.Regions, u.Region)
	return found && slices.Contains(region.Evacuated, u.FailureDomain)
}

// EvacuatedDomains returns the failure domains that are evacuated, in the order of their regions.
func (c *Config) EvacuatedDomains() (domains []string) {
	for _, r := range c.Regions {
		domains = append(domains, r.Evacuated...)
	}
	return domains
}

// ColdLimit is what the upstreams of a pool take while they are cold. The zero value is that of
// a pool whose upstreams never are.
type ColdLimit struct {
	// PerSecond is the number of requests a second that a cold upstream takes from all daemons
	// together; 0 means any number.
	PerSecond float64 `json:"per_second,omitempty" toml:"per_second,omitempty"`
	// WarmUpMS is how long an upstream is cold after its start, in milliseconds.
	WarmUpMS clock.Millis `json:"warm_up_ms,omitempty" toml:"warm_up_ms,omitempty"`
	// MaxInSecond is the number of requests that any upstream of the pool may get in any second, as
	// it may have become cold before that is known; 0 sets no bound.
	MaxInSecond int `json:"max_in_second,omitempty" toml:"max_in_second,omitempty"`
}

// MaxColdInSecond is the largest MaxInSecond of a ColdLimit.
const MaxColdInSecond = 10_000

// MaxColdTime is the longest time for which an upstream counts as cold.
const MaxColdTime = 1 * clock.Hour

// MaxColdRate is the largest rate of a ColdLimit, in requests per second.
const MaxColdRate = 1e4

// Limits reports whether the pool's upstreams can be cold.
func (l ColdLimit) Limits() bool { return l.PerSecond > 0 }
