package scheduler

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/noticer"
)

// coldState holds an upstream to the rate that its pool's ColdLimit allows. The zero value is
// that of an upstream that is not cold.
type coldState struct {
	// until is when the upstream has warmed up, by its own word or as presumed.
	until clock.Millis
	// allowance is what it may get while it is cold.
	allowance noticer.Allowance
	// latest holds when it got its latest requests, in a ring of which next is the oldest.
	latest []clock.Millis
	next   int
}

// coldMargin is by how many requests a second the bound of a pool is not used up: some that are
// granted at different times arrive together.
const coldMargin = 1

// fitsInSecond reports whether the upstream may get one more request, where most may come in any second.
func (c *coldState) fitsInSecond(now clock.Millis, most int) bool {
	if len(c.latest) != max(most-coldMargin, 1) {
		return true
	}
	return now-c.latest[c.next] >= clock.Second
}

// countInSecond counts a request among the latest ones, of which as many are kept as may come in a second.
func (c *coldState) countInSecond(now clock.Millis, most int) {
	if most = max(most-coldMargin, 1); len(c.latest) != most {
		c.latest, c.next = slices.Repeat([]clock.Millis{now - clock.Second}, most), 0
	}
	c.latest[c.next] = now
	c.next = (c.next + 1) % len(c.latest)
}

// minColdBurst is the least number of requests that a cold upstream may get at once.
const minColdBurst = 1.0

// hearCold takes what the entry of an upstream tells of its cold time, if that has changed. A
// presumed time lasts on.
func (s *State) hearCold(u *upstream, entry inventory.Upstream) {
	if entry.ColdLeftMS == u.ColdLeftMS {
		return
	}
	if entry.ColdLeftMS > 0 {
		u.cold.until = max(s.now+entry.ColdLeftMS, u.cold.until)
	}
}

// presumeCold treats an upstream that may have been restarted as cold for the warm-up time.
func (s *State) presumeCold(u *upstream) {
	u.cold.until = max(u.cold.until, s.now+s.coldLimits[u.Pool].WarmUpMS)
}

// markEvacuated marks the upstreams of the evacuated failure domains. Those of a domain that no
// longer is may have become cold meanwhile.
func (s *State) markEvacuated() {
	for _, u := range s.upstreams {
		evacuated := slices.Contains(s.evacuated, u.FailureDomain)
		if u.evacuated && !evacuated {
			s.presumeCold(u)
		}
		u.evacuated = evacuated
	}
}

// isCold reports whether an upstream is cold, as far as is known here.
func (s *State) isCold(u *upstream) bool {
	return s.now < u.cold.until && s.coldLimits[u.Pool].Limits()
}

// fillCold brings the allowances of an upstream up to date. A cold upstream begins with the
// least burst, because what it got before it was known to be cold counts too.
func (s *State) fillCold(u *upstream, limit inventory.ColdLimit) {
	rate := limit.PerSecond
	if s.divided || s.sinceTakeover(u) < takeoverTime {
		rate *= unsureShare
	}
	u.cold.allowance.Fill(s.now, rate, max(minColdBurst, rate*limitBurstTime.Duration().Seconds()))
}

// withinCold reports whether an upstream may get one more request, cold or not.
func (s *State) withinCold(u *upstream) bool {
	limit := s.coldLimits[u.Pool]
	if !limit.Limits() {
		return true
	}
	s.fillCold(u, limit)
	if s.now < u.cold.until && !u.cold.allowance.Has() {
		return false
	}
	return limit.MaxInSecond == 0 || u.cold.fitsInSecond(s.now, limit.MaxInSecond)
}

// takeCold counts a request that an upstream gets. What a warm one gets counts for the time in
// which it is cold and not yet known to be.
func (s *State) takeCold(u *upstream) {
	limit := s.coldLimits[u.Pool]
	if !limit.Limits() {
		return
	}
	if limit.MaxInSecond > 0 {
		u.cold.countInSecond(s.now, limit.MaxInSecond)
	}
	if u.cold.allowance.Has() {
		u.cold.allowance.Take()
	}
}
