package granter_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// The users' bound on cold upstreams: in any second, coldFactor times what one takes, and
// coldSlack requests more.
const (
	coldFactor = 1.5
	coldSlack  = 5
	coldRate   = 8
	coldTime   = 3 * clock.Second
)

// propagation is how long after a change of the configuration requests that were on their way may
// still reach an upstream.
const propagation = 10 * time.Millisecond

// changeConfig puts a changed copy of the configuration in force at all daemons at once.
func (f *limitedFleet) changeConfig(change func(c *inventory.Config)) {
	next := *f.source.Current()
	next.Revision++
	next.Regions, next.Upstreams = slices.Clone(next.Regions), slices.Clone(next.Upstreams)
	next.Routes, next.Pools = slices.Clone(next.Routes), slices.Clone(next.Pools)
	change(&next)
	f.source.config.Store(&next)
}

// runPlaces runs a scenario in virtual time, with 12 upstreams in the regions a, b and c, each of
// two failure domains, whose names begin with that of the region.
func runPlaces(t *testing.T, daemons int, requestsPerSecond float64, scenario func(f *limitedFleet)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newLimitedFleet(ctx, daemons, 12, requestsPerSecond, "a", "b", "c")
		f.changeConfig(func(c *inventory.Config) {
			for i, r := range c.Regions {
				c.Regions[i].FailureDomains = []string{r.Name + "1", r.Name + "2"}
			}
			for i := range c.Upstreams {
				c.Upstreams[i].FailureDomain = fmt.Sprint(c.Upstreams[i].Region, 1+i/3%2)
			}
			c.Routes = []inventory.Route{{Name: "question"}}
		})
		time.Sleep(8 * time.Second)
		scenario(f)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// arrivalsIn counts the requests between two moments that reached upstreams for which in is true.
func (f *limitedFleet) arrivalsIn(from, to time.Duration, in func(u inventory.Upstream) bool) (count int) {
	for _, u := range f.source.Current().Upstreams {
		if in(u) {
			count += f.arrivalsBetween(u.Name, from, to)
		}
	}
	return count
}

func isIn(region string) func(u inventory.Upstream) bool {
	return func(u inventory.Upstream) bool { return u.Region == region }
}

// disturbances of a fleet in the middle of a scenario.
func disturbances() map[string]func(f *limitedFleet) {
	return map[string]func(f *limitedFleet){
		"calm":                         func(*limitedFleet) {},
		"a third can't reach the rest": func(f *limitedFleet) { f.split(3) },
		"schedulers die": func(f *limitedFleet) {
			for _, name := range f.names(4) {
				f.kill(f.nodes[name])
			}
		},
	}
}

func runDisturbed(t *testing.T, requestsPerSecond func(daemons int) float64, scenario func(t *testing.T, f *limitedFleet, disturb func(f *limitedFleet))) {
	for name, disturb := range disturbances() {
		for _, daemons := range []int{3, 82, 350} {
			if daemons == 350 && name != "calm" && !soaks() {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				runPlaces(t, daemons, requestsPerSecond(daemons), func(f *limitedFleet) { scenario(t, f, disturb) })
			})
		}
	}
}

func moderate(daemons int) float64 { return max(60, float64(daemons)) }

// TestRequestsNeverLeaveTheirHomes guards against requests that run outside of their home regions,
// when those change, have no room, or lose daemons.
func TestRequestsNeverLeaveTheirHomes(t *testing.T) {
	runDisturbed(t, moderate, func(t *testing.T, f *limitedFleet, disturb func(f *limitedFleet)) {
		for step, homes := range [][]string{{"b"}, {"c", "a"}, {"a"}} {
			f.changeConfig(func(c *inventory.Config) { c.Routes[0].HomeRegions = homes })
			changedAt := f.since()
			if step == 1 {
				disturb(f)
			}
			time.Sleep(10 * time.Second)
			outside := f.arrivalsIn(changedAt+propagation, f.since(), func(u inventory.Upstream) bool { return !slices.Contains(homes, u.Region) })
			inside := f.arrivalsIn(changedAt+propagation, f.since(), func(u inventory.Upstream) bool { return slices.Contains(homes, u.Region) })
			if outside > 0 || inside < 50 {
				t.Errorf("homes %v: %d requests ran outside, %d inside, want 0 and 50 or more", homes, outside, inside)
			}
		}
	})
}

// TestEvacuatedDomainGetsNothing guards against requests for upstreams of an evacuated failure
// domain, and against ones that stay empty or get too much when it ends.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	runDisturbed(t, moderate, func(t *testing.T, f *limitedFleet, disturb func(f *limitedFleet)) {
		inDomain := func(u inventory.Upstream) bool { return u.FailureDomain == "a1" || u.FailureDomain == "b1" }
		f.changeConfig(func(c *inventory.Config) {
			c.Pools[0].Cold = inventory.ColdLimit{PerSecond: coldRate, WarmUpMS: coldTime}
		})
		if f.arrivalsIn(0, f.since(), inDomain) == 0 {
			t.Error("no request before")
		}
		f.changeConfig(func(c *inventory.Config) {
			c.Regions[0].Evacuated, c.Regions[1].Evacuated = []string{"a1"}, []string{"b1"}
		})
		changedAt := f.since()
		time.Sleep(2 * time.Second)
		disturb(f)
		time.Sleep(10 * time.Second)
		if got := f.arrivalsIn(changedAt+propagation, f.since(), inDomain); got > 0 {
			t.Errorf("%d requests reached an evacuated failure domain", got)
		}
		f.changeConfig(func(c *inventory.Config) { c.Regions[0].Evacuated, c.Regions[1].Evacuated = nil, nil })
		endedAt := f.since()
		time.Sleep(10 * time.Second)
		if f.arrivalsIn(endedAt, f.since(), inDomain) == 0 {
			t.Error("no request after the evacuation has ended")
		}
		f.checkCold(t, endedAt, endedAt+coldTime.Duration(), inDomain)
	})
}

// checkCold fails the test if an upstream got more than the users' bound in some second.
func (f *limitedFleet) checkCold(t *testing.T, from, to time.Duration, in func(u inventory.Upstream) bool) {
	t.Helper()
	for _, u := range f.source.Current().Upstreams {
		for at := from; in(u) && at < to; at += 20 * time.Millisecond {
			if got := f.arrivalsBetween(u.Name, at, min(at+time.Second, to)); float64(got) > coldFactor*coldRate+coldSlack {
				t.Errorf("%s got %d requests in the second from %v after it became cold, while it takes %d", u.Name, got, at-from, coldRate)
				break
			}
		}
	}
}

// TestColdUpstreamsGetNoMoreThanTheyTake guards against cold upstreams that get more than they take
// from all daemons together, also in the moment before it is known that they are cold.
func TestColdUpstreamsGetNoMoreThanTheyTake(t *testing.T) {
	const news = 400 * time.Millisecond
	heavy := func(int) float64 { return 12 * 40 }
	runDisturbed(t, heavy, func(t *testing.T, f *limitedFleet, disturb func(f *limitedFleet)) {
		f.changeConfig(func(c *inventory.Config) {
			c.Pools[0].Cold = inventory.ColdLimit{PerSecond: coldRate, WarmUpMS: coldTime, MaxInSecond: coldFactor*coldRate + coldSlack}
		})
		time.Sleep(time.Second)
		becameCold := f.since()
		time.Sleep(news)
		disturb(f)
		for left := coldTime - clock.FromDuration(news); left > -clock.Second; left -= clock.Second {
			f.changeConfig(func(c *inventory.Config) {
				for i, u := range c.Upstreams {
					if u.Region == "a" {
						c.Upstreams[i].ColdLeftMS = max(left, 0)
					}
				}
			})
			time.Sleep(time.Second)
		}
		f.checkCold(t, becameCold, becameCold+coldTime.Duration(), isIn("a"))
		if got := f.arrivalsIn(becameCold, becameCold+coldTime.Duration(), isIn("a")); got < 4 {
			t.Errorf("cold upstreams got %d requests, they take some", got)
		}
	})
}
