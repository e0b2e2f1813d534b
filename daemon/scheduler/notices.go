package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/noticer"
)

// Rates at which the limits that upstreams name are used.
const (
	// minNamedRate is the least rate, in requests per second, at which an upstream is tried:
	// only its answers tell that its limit has ended.
	minNamedRate = 0.2
	// minLimitBurst is the least number of requests that may be sent at once, and
	// limitBurstTime the time whose requests may be, so that none is lost between two ticks.
	minLimitBurst  = 2.0
	limitBurstTime = 50 * clock.Millisecond
	// unsureShare is the share of a limit that is used while another scheduler may use it
	// too. Both together stay below one and a half times the limit.
	unsureShare = 0.45
	// takeoverTime is how long after this scheduler has got an upstream another one may
	// still grant slots on it, because the daemons learn of the change one by one.
	takeoverTime = 3 * clock.Second
	// reportedChange is the least ratio of two limits between which a change is reported to
	// the daemons, at most once in reportPause: they need no more than the order of magnitude.
	reportedChange = 1.25
	reportPause    = 5 * clock.Second
)

// namedLimit holds an upstream to the rate that it accepts by its own word. The zero value
// sets no limit.
type namedLimit struct {
	named     bool
	perSecond float64
	// heardAt is when the upstream last said whether it has a limit.
	heardAt   clock.Millis
	allowance noticer.Allowance
	// reported is the limit that the daemons know, 0 for none; reportedAt is when they were
	// told.
	reported   float64
	reportedAt clock.Millis
}

// handleNotice takes what a daemon heard of an upstream. An upstream that is about to stop
// stays so; of its limit, what was heard last counts.
func (s *State) handleNotice(m Notice) {
	u := s.findUpstream(m.Upstream)
	if u == nil {
		return
	}
	changed := m.Leaving && !u.saysLeaving
	u.saysLeaving = u.saysLeaving || m.Leaving
	if m.HeardAt >= u.limit.heardAt {
		changed = s.setLimit(u, m) || changed
		changed = s.setBrittle(u, m) || changed
	}
	if changed {
		s.emit(NoticeChanged{
			Upstream: m.Upstream, HeardAt: u.limit.heardAt, Limited: u.limit.named, Limit: u.limit.perSecond, Leaving: u.saysLeaving,
			Brittle: u.brittle.named, MaxRefusals: u.brittle.maxRefusals,
		})
	}
}

// setLimit sets the limit of an upstream and reports whether the daemons should know of the
// change.
func (s *State) setLimit(u *upstream, m Notice) bool {
	u.limit.heardAt = m.HeardAt
	if m.Limited && !u.limit.named {
		u.limit.allowance.Fill(s.now, 0, 0)
	}
	s.fillAllowance(u)
	began := u.limit.named != m.Limited
	u.limit.named, u.limit.perSecond = m.Limited, m.Limit
	ratio := max(m.Limit, minNamedRate) / max(u.limit.reported, minNamedRate)
	differs := m.Limited && (ratio >= reportedChange || 1/ratio >= reportedChange) && s.now-u.limit.reportedAt >= reportPause
	if began || differs {
		u.limit.reported, u.limit.reportedAt = m.Limit, s.now
	}
	return began || differs
}

// noteUse records that a daemon uses this scheduler.
func (s *State) noteUse() {
	if s.usedSince == 0 {
		s.usedSince = s.now
	}
}

// sinceTakeover returns how long this scheduler has had an upstream and been used: a daemon that has just
// started takes itself for the scheduler before the others know of it.
func (s *State) sinceTakeover(u *upstream) clock.Millis { return s.now - max(u.addedAt, s.usedSince) }

// limitRate returns the rate, in requests per second, at which an upstream with a limit gets
// requests from here.
func (s *State) limitRate(u *upstream) float64 {
	rate := max(u.limit.perSecond, minNamedRate)
	if s.divided || s.sinceTakeover(u) < takeoverTime {
		rate *= unsureShare
	}
	return rate
}

func (s *State) fillAllowance(u *upstream) {
	if u.limit.named {
		rate := s.limitRate(u)
		u.limit.allowance.Fill(s.now, rate, max(minLimitBurst, rate*limitBurstTime.Duration().Seconds()))
	}
}

// withinLimit reports whether an upstream accepts one more request by its own word, and by what
// it takes while it is cold or brittle.
func (s *State) withinLimit(u *upstream) bool {
	if !s.withinCold(u) || !s.withinBrittle(u) {
		return false
	}
	if !u.limit.named {
		return true
	}
	s.fillAllowance(u)
	return u.limit.allowance.Has()
}
