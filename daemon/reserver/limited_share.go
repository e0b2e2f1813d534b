package reserver

import (
	"maps"
	"math"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/sharder"
)

// What daemons that can't reach the scheduler of a shard send to an upstream with a limit, by its
// own word or while it is cold. Each part of a large fleet is less than a request, so few daemons use it; the
// scheduler, or a new one, may grant slots at the same time.
const (
	// limitSharers is the number of daemons of the region that use an upstream with a limit.
	limitSharers = 2
	// sharedPart is the part of the limit that they use together.
	sharedPart = 0.4
	// minSharedRate is the least rate, in requests per second, that they use together.
	minSharedRate = 0.2
)

// limitedShare is what this daemon may send, without a scheduler, to upstreams that say
// something of themselves. The zero value permits all. It is not safe for concurrent use.
type limitedShare struct {
	noticer *noticer.Noticer
	// rank returns how many daemons of the region rank higher for an upstream than this one.
	rank func(upstream string) int
	// allowances holds an entry for each upstream with a limit that was used lately; an
	// upstream without one may get a request.
	allowances map[string]*noticer.Allowance
}

// allowanceLifetime is longer than any allowance takes to be full again.
const allowanceLifetime = 1 * clock.Minute

// limitOf returns the requests per second that an upstream takes from all daemons together.
func (s *limitedShare) limitOf(u inventory.Upstream, cold inventory.ColdLimit) (perSecond float64, limited bool) {
	perSecond = math.Inf(1)
	if word, _ := s.noticer.WordOf(u.Name); word.Limited {
		perSecond = word.Limit
	}
	if cold.Limits() && u.ColdLeftMS > 0 {
		perSecond = min(perSecond, cold.PerSecond)
	}
	return perSecond, !math.IsInf(perSecond, 1)
}

// share returns the number of slots that this daemon may use, of its share of the slots of an
// upstream. All requests on a brittle one may be refused at once, so they are no more than this daemon's part of
// what it can refuse in a second.
func (s *limitedShare) share(u inventory.Upstream, share int) int {
	if s.noticer == nil {
		return share
	}
	word, _ := s.noticer.WordOf(u.Name)
	if !word.Brittle {
		return share
	}
	together := min(int(math.Round(sharedPart*float64(word.MaxRefusals))), max(int(sharedPart*float64(u.Slots)), 1))
	sharers := min(limitSharers, together)
	if s.rank(u.Name) >= sharers {
		return 0
	}
	return together / sharers
}

// refusalPause is how long a daemon without a scheduler sends nothing to a brittle upstream that has
// refused a request.
const refusalPause = 1200 * clock.Millisecond

// hearRefusal is called when an upstream has refused a request of the local share.
func (s *limitedShare) hearRefusal(now clock.Millis, u inventory.Upstream) {
	if s.noticer == nil {
		return
	}
	if word, _ := s.noticer.WordOf(u.Name); word.Brittle {
		s.noticer.Pause(u.Name, now+refusalPause)
	}
}

// permits reports whether a request may be sent to the upstream of a pool now.
func (s *limitedShare) permits(now clock.Millis, u inventory.Upstream, cold inventory.ColdLimit) bool {
	if s.noticer == nil {
		return true
	}
	if s.noticer.Avoids(now, u.Name) {
		return false
	}
	limit, limited := s.limitOf(u, cold)
	if !limited {
		return true
	}
	if s.rank(u.Name) >= limitSharers {
		return false
	}
	allowance := s.allowances[u.Name]
	if allowance == nil {
		return true
	}
	allowance.Fill(now, max(sharedPart*limit, minSharedRate)/limitSharers, 1)
	return allowance.Has()
}

// take counts a request that is sent to the upstream of a pool.
func (s *limitedShare) take(now clock.Millis, u inventory.Upstream, cold inventory.ColdLimit) {
	if s.noticer == nil {
		return
	}
	if _, limited := s.limitOf(u, cold); !limited {
		return
	}
	allowance := s.allowances[u.Name]
	if allowance == nil {
		if s.allowances == nil {
			s.allowances = map[string]*noticer.Allowance{}
		}
		maps.DeleteFunc(s.allowances, func(_ string, a *noticer.Allowance) bool { return now-a.FilledAt() > allowanceLifetime })
		allowance = &noticer.Allowance{}
		allowance.Fill(now, 1, 1)
		s.allowances[u.Name] = allowance
	}
	allowance.Take()
}

// rankFor returns how many daemons of the region rank higher for the upstream than this one.
func (r *Remote) rankFor(upstream string) (above int) {
	self := r.View.Self()
	own := sharder.Rank(self.Name, upstream)
	for _, m := range r.Assigner.Current().Members {
		if m.Name != self.Name && m.Region == self.Region && sharder.IsEligible(m) && sharder.Rank(m.Name, upstream) > own {
			above++
		}
	}
	return above
}
