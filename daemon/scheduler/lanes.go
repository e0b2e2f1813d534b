package scheduler

import "yuccaspread/common/clock"

// The queue has lanes, most important first. An ask whose objective can still
// be met is in the lane of its tier; one that is late anyway gives way to the
// tier below it, for there a slot still earns a promise kept, and goes before
// all that come after.
const (
	lanesPerTier = 2
	// lateLanes is how many lanes an ask falls back once it is late: behind the
	// next tier, before the one after that.
	lateLanes = 3
	// refusalWay is the time that a refusal takes to its caller: a tick of the
	// granter, 50 ms, and the ways through the fleet. A caller that still waits
	// learns when to come back; one that has left does not.
	refusalWay = 100 * clock.Millisecond
)

// lane returns the lane of a tier's asks that are in time.
func lane(tier int) int { return lanesPerTier * tier }

// inTime tells whether an ask is in the lane of those that meet their promise.
func (a *ask) inTime() bool { return a.entry.Tier == lane(a.Tier) }

// waiting returns the number of asks of a tier that wait.
func (s *State) waiting(tier int) int {
	return s.queue.Waiting(lane(tier)) + s.queue.Waiting(lane(tier)+lateLanes)
}

// waitingTiers returns one more than the highest tier that ever waited.
func (s *State) waitingTiers() int {
	return (s.queue.Tiers() + lanesPerTier - 1) / lanesPerTier
}

// place chooses the lane of an ask. shortestMS is the least time that it takes
// to its end, and firstMS the one to the first of its answer.
func (a *ask) place(now clock.Millis, shortestMS, firstMS float64) {
	a.latest = a.Deadline - clock.Millis(shortestMS)
	if a.Patience > 0 {
		a.latest = min(a.latest, a.Patience-max(clock.Millis(firstMS), refusalWay))
	}
	a.entry.Tier, a.entry.Deadline, a.entry.LatestStart = lane(a.Tier), a.Deadline, a.latest
	if a.Objective <= 0 {
		return
	}
	promise := a.Objective - clock.Millis(firstMS)
	if promise < now {
		a.entry.Tier += lateLanes
		return
	}
	a.entry.Deadline, a.entry.LatestStart = a.Objective, min(promise, a.latest)
}

// crowded is the number of asks in a lane from which on its pace tells how
// long the next one waits.
const crowded = 3

// hopeless tells that an ask would wait in vain in its lane: those before it
// will get the slots that come free until its caller leaves.
func (s *State) hopeless(a *ask) bool {
	if a.Patience <= 0 {
		return false
	}
	waiting := s.queue.Waiting(a.entry.Tier)
	return waiting >= crowded && s.pace.wait(s.now, a.entry.Tier, waiting+1) > float64(a.latest-s.now)
}

// enqueue lets an ask wait in its lane. It returns false where that is in vain.
func (s *State) enqueue(a *ask) bool {
	if s.hopeless(a) {
		return false
	}
	if s.queue.Waiting(a.entry.Tier) == 0 {
		s.pace.begin(s.now, a.entry.Tier)
	}
	if evicted := s.queue.Push(&a.entry); evicted != nil {
		s.pressed(evicted.Value)
		s.refuse(evicted.Value, ReasonFull)
	}
	return true
}

// late moves an ask back whose promise can't be kept any more. It returns false
// for one that is of no use any more.
func (s *State) late(a *ask) bool {
	if !a.inTime() || a.Objective <= 0 || a.latest < s.now {
		return false
	}
	s.queue.Remove(&a.entry)
	a.entry.Tier += lateLanes
	a.entry.Deadline, a.entry.LatestStart = a.Deadline, a.latest
	return s.enqueue(a)
}
