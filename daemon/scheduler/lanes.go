package scheduler

import "yuccaspread/common/clock"

// The queue is divided into priority lanes, the most important first. An ask
// whose objective can still be met waits in the lane of its tier. One that will
// miss its objective anyway waits behind the next tier, where a slot can still
// meet an objective, and ahead of all tiers after that one.
const (
	lanesPerTier = 2
	// refusalTransit is the time that a refusal takes to reach its caller: a tick
	// of the granter, 50 ms, and the network hops between the daemons. Only a
	// caller that still waits learns when to retry.
	refusalTransit = 100 * clock.Millisecond
)

// tierLane returns the lane of a tier's asks whose objective can still be met.
func tierLane(tier int) int { return lanesPerTier * tier }

// inTierLane reports whether an ask is in the lane of its tier, not demoted.
func (a *ask) inTierLane() bool { return a.entry.Tier == tierLane(a.Tier) }

// lateLane returns the lane of a tier's late asks: behind the next tier in use, before the one
// after that.
func (s *State) lateLane(tier int) int { return tierLane(s.order.Next(tier)) + 1 }

// waitingInTier returns the number of waiting asks of a tier, demoted ones
// included.
func (s *State) waitingInTier(tier int) int {
	return s.queue.Waiting(tierLane(tier)) + s.queue.Waiting(s.lateLane(tier))
}

// assignLane sets the lane and the latest start of an ask. minTotalMS is the
// least time to the end of its answer, minFirstTokenMS the least time to its
// first token.
func (s *State) assignLane(a *ask, minTotalMS, minFirstTokenMS float64) {
	a.latestStart = a.Deadline - clock.Millis(minTotalMS)
	if a.Patience > 0 {
		a.latestStart = min(a.latestStart, a.Patience-max(clock.Millis(minFirstTokenMS), refusalTransit))
	}
	a.entry.Tier, a.entry.Deadline, a.entry.LatestStart = tierLane(a.Tier), a.Deadline, a.latestStart
	if a.Objective <= 0 {
		return
	}
	objectiveStart := a.Objective - clock.Millis(minFirstTokenMS)
	if objectiveStart < s.now {
		a.entry.Tier = s.lateLane(a.Tier)
		return
	}
	a.entry.Deadline, a.entry.LatestStart = a.Objective, min(objectiveStart, a.latestStart)
}

// minWaitingForPace is the number of asks waiting in a lane from which on the
// wait of the next one is predicted from the lane's grant rate.
const minWaitingForPace = 3

// waitExceedsPatience reports whether the asks ahead of this one in its lane are
// expected to take all slots that come free until its caller leaves.
func (s *State) waitExceedsPatience(a *ask) bool {
	if a.Patience <= 0 {
		return false
	}
	waiting := s.queue.Waiting(a.entry.Tier)
	return waiting >= minWaitingForPace && s.pace.expectedWaitMS(s.now, a.entry.Tier, waiting+1) > float64(a.latestStart-s.now)
}

// missesObjective reports whether an ask that can't be served at once is expected to miss its
// objective behind the asks that are at least as important.
func (s *State) missesObjective(a *ask, minFirstTokenMS float64) bool {
	if a.Objective <= 0 {
		return false
	}
	ahead := s.queue.WaitingUpTo(tierLane(a.Tier))
	return float64(ahead+1)*s.pace.meanGapMS+minFirstTokenMS > float64(a.Objective-s.now)
}

// enqueue adds an ask to its lane, and may evict another one from a full queue.
// It returns false, without adding it, if its caller would leave before its turn.
func (s *State) enqueue(a *ask) bool {
	if s.waitExceedsPatience(a) && !s.reachesMinimum(a) {
		return false
	}
	if s.queue.Waiting(a.entry.Tier) == 0 {
		s.pace.startWaiting(s.now, a.entry.Tier)
	}
	if evicted := s.queue.Push(&a.entry); evicted != nil {
		s.recordShed(evicted.Value)
		s.refuse(evicted.Value, ReasonQueueFull)
	}
	return true
}

// demote moves an ask whose objective can no longer be met to a later lane. It
// returns false for an ask that can't be served in time there either.
func (s *State) demote(a *ask) bool {
	if !a.inTierLane() || a.Objective <= 0 || a.latestStart < s.now {
		return false
	}
	s.queue.Remove(&a.entry)
	a.entry.Tier = s.lateLane(a.Tier)
	a.entry.Deadline, a.entry.LatestStart = a.Deadline, a.latestStart
	return s.enqueue(a)
}
