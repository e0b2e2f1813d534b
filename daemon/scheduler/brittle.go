package scheduler

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
)

// Constants for upstreams that crash when they have to refuse too many requests in a second.
const (
	// refusalWindow is the time in which refusals are counted: a second, and how much
	// later than at the upstream a refusal may be known here.
	refusalWindow = clock.Second + 300*clock.Millisecond
	// minLinger and maxLinger bound how long a run counts whose end is not known, and
	// lingerFactor is that time as a multiple of the longest run of late.
	minLinger    = 1500 * clock.Millisecond
	maxLinger    = 4 * clock.Second
	lingerFactor = 3
	// longestRunRetention is the factor applied to the longest run with each run that ends.
	longestRunRetention = 0.98
	// grantTransit is the time after which a request that was granted and not refused counts as
	// accepted: a refusal comes at once.
	grantTransit = 300 * clock.Millisecond
	// sureShare is the share of the refusals that a scheduler uses up that takes itself for the only
	// one: daemons that have just lost it use the rest.
	sureShare = 0.6
	// maxGrowthPause bounds the time after a refusal in which an upstream is not tried with more
	// requests than it accepted. The time doubles with each refusal that comes before growthCalm has passed.
	maxGrowthPause = 10 * clock.Second
	growthCalm     = 10 * clock.Second
	// announceTime is how long a scheduler that has just got a brittle upstream leaves it alone, until the
	// daemons have announced what they run there.
	announceTime = 1 * clock.Second
)

// brittleness holds a brittle upstream to what it has room for. The zero value is that of an
// upstream that is not brittle.
type brittleness struct {
	named bool
	// maxRefusals is how many requests it can refuse in any second, at least 0.
	maxRefusals int
	// reported is the number that the daemons know, and reportedAt is when they were told.
	reported   int
	reportedAt clock.Millis
	// slots are those that it told of, 0 before it did.
	slots int
	// accepted is the largest number of requests at once that it is known to accept.
	accepted int
	// refusedAt holds when it refused requests, of those in refusalWindow.
	refusedAt []clock.Millis
	// lastRefusedAt is the last one of all, 0 before that, and growthPause is how long after it the
	// upstream gets no more than accepted.
	lastRefusedAt clock.Millis
	growthPause   clock.Millis
	// grantedAt holds when it got requests, of those in grantTransit and no more than slots.
	grantedAt []clock.Millis
	// lingeringUntil holds until when runs count whose end is not known.
	lingeringUntil []clock.Millis
	// longestRunMS is the longest time of late from a grant to the end of the answer.
	longestRunMS float64
}

// setBrittle sets whether an upstream is brittle and reports whether the daemons should know of the
// change.
func (s *State) setBrittle(u *upstream, m Notice) bool {
	b := &u.brittle
	began := b.named != m.Brittle
	if m.Brittle && !b.named {
		// It has accepted what runs on it, and still has a queue.
		b.accepted = u.running
	}
	b.named, b.maxRefusals = m.Brittle, max(m.MaxRefusals, 0)
	differs := m.Brittle && b.maxRefusals != b.reported && s.now-b.reportedAt >= reportPause
	if began || differs {
		b.reported, b.reportedAt = b.maxRefusals, s.now
	}
	return began || differs
}

// brittleShares returns the shares of the room and of the refusals of an upstream that this scheduler
// uses: others may use the rest, in other parts of the fleet or because they had it before.
func (s *State) brittleShares(u *upstream) (room, refusals float64) {
	room, refusals = 1, sureShare
	if s.part > 0 {
		room, refusals = s.part, min(s.part, sureShare)
	}
	if s.sinceTakeover(u) < takeoverTime {
		room, refusals = min(room, unsureShare), min(refusals, unsureShare)
	}
	return room, refusals
}

// lingering returns the number of requests of this scheduler on an upstream whose end is not known.
func (s *State) lingering(u *upstream) int {
	u.brittle.lingeringUntil = slices.DeleteFunc(u.brittle.lingeringUntil, func(until clock.Millis) bool { return s.now >= until })
	return len(u.brittle.lingeringUntil)
}

// occupied returns the number of requests on an upstream, those included whose end is not known.
func (s *State) occupied(u *upstream) int { return u.running + max(s.lingering(u), u.foreign.count) }

// withinBrittle reports whether a brittle upstream has room for one more request. Requests beyond
// the number that it is known to accept may be refused all at once, so they are no more than it can
// refuse, less what it has refused lately.
func (s *State) withinBrittle(u *upstream) bool {
	b := &u.brittle
	if !b.named {
		return true
	}
	if s.sinceTakeover(u) < announceTime {
		return false
	}
	b.refusedAt = slices.DeleteFunc(b.refusedAt, func(at clock.Millis) bool { return s.now-at >= refusalWindow })
	slots := u.Slots
	if b.slots > 0 {
		slots = min(slots, b.slots)
	}
	roomShare, refusalShare := s.brittleShares(u)
	room, budget := int(roomShare*float64(slots)), int(refusalShare*float64(b.maxRefusals))
	occupied := s.occupied(u)
	switch {
	case occupied >= slots || u.running+s.lingering(u) >= max(room, 1):
		return false
	case budget < 1 && s.part > 0 && s.sinceTakeover(u) < takeoverTime:
		// The part of the fleet that had the upstream before still has its requests there.
		return false
	case len(b.refusedAt) > 0:
		return occupied < b.accepted && len(b.refusedAt)+s.inTransit(u) < budget
	case b.lastRefusedAt == 0 || s.now-b.lastRefusedAt >= growthCalm:
		return occupied < b.accepted+max(budget, 1) || s.inTransit(u) < max(budget, 1)
	case s.now-b.lastRefusedAt >= b.growthPause:
		return occupied < b.accepted+1
	default:
		return occupied < b.accepted
	}
}

// inTransit returns the number of requests on an upstream that it may still refuse.
func (s *State) inTransit(u *upstream) int {
	b := &u.brittle
	b.grantedAt = slices.DeleteFunc(b.grantedAt, func(at clock.Millis) bool { return s.now-at >= grantTransit })
	return len(b.grantedAt)
}

// takeBrittle counts a request that an upstream gets.
func (s *State) takeBrittle(u *upstream) {
	if u.brittle.named {
		u.brittle.grantedAt = append(u.brittle.grantedAt, s.now)
		if len(u.brittle.grantedAt) > u.Slots {
			u.brittle.grantedAt = u.brittle.grantedAt[1:]
		}
	}
}

// acceptRun records that an upstream has accepted a request.
func (s *State) acceptRun(a *ask) {
	if b := &a.upstream.brittle; a.grantedAt > b.lastRefusedAt {
		b.accepted = max(b.accepted, a.occupiedAtGrant)
	}
}

// endBrittle records how a request on an upstream ended that is or may become brittle.
func (s *State) endBrittle(a *ask, usage reserver.Usage) {
	b := &a.upstream.brittle
	switch usage.Outcome {
	case reserver.Completed:
		b.longestRunMS = max(b.longestRunMS*longestRunRetention, float64(s.now-a.grantedAt))
		s.acceptRun(a)
	case reserver.Cancelled, reserver.ConnectionBroken, reserver.UpstreamDied:
		if !usage.NotRun {
			s.linger(a)
		}
	case reserver.Failed:
		if usage.NotRun {
			s.recordRefusal(a.upstream)
		}
	case reserver.NotSent:
	}
}

// recordRefusal records that an upstream has refused a request that still counts as running on it.
func (s *State) recordRefusal(u *upstream) {
	b := &u.brittle
	b.refusedAt = append(b.refusedAt, s.now)
	b.accepted = min(b.accepted, max(s.occupied(u)-1, 0))
	if b.lastRefusedAt == 0 || s.now-b.lastRefusedAt >= growthCalm {
		b.growthPause = refusalWindow
	} else if s.now > b.lastRefusedAt+grantTransit {
		b.growthPause = min(2*b.growthPause, maxGrowthPause)
	}
	b.lastRefusedAt = s.now
}

// linger lets a request that was sent, and whose end is not known, count for a time after its slot
// is free.
func (s *State) linger(a *ask) {
	b := &a.upstream.brittle
	left := clock.Millis(lingerFactor*b.longestRunMS) - (s.now - a.grantedAt)
	b.lingeringUntil = append(b.lingeringUntil, s.now+min(max(left, minLinger), maxLinger))
	if len(b.lingeringUntil) > a.upstream.Slots {
		// Those that end last are kept; more can't run at once.
		slices.Sort(b.lingeringUntil)
		b.lingeringUntil = b.lingeringUntil[1:]
	}
}
