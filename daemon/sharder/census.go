package sharder

import (
	"maps"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// missingLifetime is how long a daemon that has left the view still counts when
// one side of a partition decides whether it is the smaller one.
const missingLifetime = 1 * clock.Minute

// Departure is an eligible member that is no longer one.
type Departure struct {
	Member gossiper.Member
	// Planned means that the member is still in the view and stops in a planned way.
	Planned bool
}

// Census follows which eligible members leave the view. The zero value is ready to use.
// It is not safe for concurrent use.
type Census struct {
	// last holds the eligible members at the last call of Track, sorted by name.
	last []gossiper.Member
	// missing holds the members that left within missingLifetime and not in a planned
	// way, by name.
	missing map[string]absence
}

type absence struct {
	member gossiper.Member
	since  clock.Millis
}

// Track takes the members of the view, sorted by name, and returns those that left since the
// last call.
func (c *Census) Track(now clock.Millis, members []gossiper.Member) (departures []Departure) {
	eligible := make([]gossiper.Member, 0, len(members))
	last := c.last
	for _, m := range members {
		for len(last) > 0 && last[0].Name < m.Name {
			departures = append(departures, Departure{Member: last[0]})
			last = last[1:]
		}
		wasEligible := len(last) > 0 && last[0].Name == m.Name
		if IsEligible(m) {
			eligible = append(eligible, m)
			delete(c.missing, m.Name)
		} else if wasEligible {
			departures = append(departures, Departure{Member: last[0], Planned: true})
		}
		if wasEligible {
			last = last[1:]
		}
	}
	for _, m := range last {
		departures = append(departures, Departure{Member: m})
	}
	c.last = eligible
	c.recordMissing(now, departures)
	return departures
}

func (c *Census) recordMissing(now clock.Millis, departures []Departure) {
	if c.missing == nil {
		c.missing = map[string]absence{}
	}
	for _, d := range departures {
		if !d.Planned {
			c.missing[d.Member.Name] = absence{d.Member, now}
		}
	}
	maps.DeleteFunc(c.missing, func(_ string, a absence) bool { return now-a.since > missingLifetime })
}

// Known returns the number of eligible members at the last call of Track, and of these and
// the missing ones together, in the regions for which counts returns true.
func (c *Census) Known(counts func(region string) bool) (present, known int) {
	for _, m := range c.last {
		if counts(m.Region) {
			present++
		}
	}
	known = present
	for _, a := range c.missing {
		if counts(a.member.Region) {
			known++
		}
	}
	return present, known
}

// MaySeeSmallerSide reports whether the view holds at most half of the members that were known
// within the last minute: the others may form a larger part of the fleet.
func (c *Census) MaySeeSmallerSide() bool {
	present, known := c.Known(func(string) bool { return true })
	return known > 1 && 2*present <= known
}
