package scheduler

import (
	"yuccaspread/daemon/guarantor"
	"yuccaspread/daemon/queuer"
)

// groups returns the groups of an ask for which a minimum of service is guaranteed.
func (a *ask) groups() [2]guarantor.Group {
	return [2]guarantor.Group{
		{Dimension: guarantor.Kind, Name: a.Route}, {Dimension: guarantor.Organisation, Name: a.Organisation},
	}
}

// isFirstAttempt reports whether an ask is that of a new request: a repeat must count
// neither as demand nor as service.
func (a *ask) isFirstAttempt() bool { return len(a.Excluded) == 0 }

// recordOffer counts a new request that an upstream could serve, with the slot time that
// it takes at least.
func (s *State) recordOffer(a *ask, minTotalMS float64) {
	if s.guarantor.Floor > 0 && a.isFirstAttempt() {
		s.guarantor.Offer(s.now, a.groups(), s.order.Position(a.Tier), minTotalMS)
	}
}

// recordService counts a grant to a new request.
func (s *State) recordService(a *ask) {
	if s.guarantor.Floor > 0 && a.isFirstAttempt() {
		s.guarantor.Serve(s.now, a.groups())
	}
}

// reachesMinimum reports whether an ask belongs to a group that gets less than its
// minimum, and is expected to get a slot in time among the asks of that group.
func (s *State) reachesMinimum(a *ask) bool {
	for _, group := range a.groups() {
		if !s.guarantor.IsStarved(group) {
			continue
		}
		waiting := s.queue.WaitingOfKind(group.Name)
		if group.Dimension == guarantor.Organisation {
			waiting = s.queue.WaitingOfOrganisation(group.Name)
		}
		if waiting < minWaitingForPace || s.guarantor.ExpectedWaitMS(s.now, group, waiting+1) <= float64(a.latestStart-s.now) {
			return true
		}
	}
	return false
}

// maxStarvedGrants bounds the grants to starved groups in one dispatch.
const maxStarvedGrants = 8

// dispatchStarved grants free slots to the kinds of requests and the organisations that
// get less than their minimum, before all lanes.
func (s *State) dispatchStarved() {
	for range maxStarvedGrants {
		if !s.grantStarved() {
			return
		}
	}
}

// grantStarved grants one slot to the worst served group that can use it.
func (s *State) grantStarved() (granted bool) {
	if len(s.guarantor.Starved()) == 0 || s.queue.Len() == 0 || !s.anyFree(0) {
		return false
	}
	for _, group := range s.guarantor.Starved() {
		e, found := s.headOf(group)
		if !found {
			continue
		}
		if eval := s.evaluate(e.Value); eval.best != nil {
			s.grant(e.Value, eval)
			return true
		}
	}
	return false
}

// headOf returns the waiting ask of a group that has to start first.
func (s *State) headOf(group guarantor.Group) (e *queuer.Entry[*ask], found bool) {
	if group.Dimension == guarantor.Kind {
		return s.queue.HeadOfKind(group.Name)
	}
	return s.queue.HeadOfOrganisation(group.Name)
}
