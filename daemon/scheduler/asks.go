package scheduler

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/queuer"
)

func (s *State) handleAsk(m Ask) {
	if s.asks[m.ID] != nil {
		return
	}
	if s.queue.Capacity == 0 {
		s.queue.Capacity = inventory.DefaultQueuePerShard
	}
	a := s.newAsk(m)
	eval := s.evaluate(a)
	if eval.eligible == 0 {
		s.refuse(a, ReasonNoUpstream)
		return
	}
	if !eval.meetsDeadline {
		s.refuse(a, ReasonDeadline)
		return
	}
	if m.ObjectiveOnly && eval.best == nil && s.missesObjective(a, eval.minFirstTokenMS) {
		s.refuse(a, ReasonObjective)
		return
	}
	a.entry = queuer.Entry[*ask]{Organisation: m.Organisation, Kind: m.Route, Cost: max(eval.minTotalMS, 1), Value: a}
	s.assignLane(a, eval.minTotalMS, eval.minFirstTokenMS)
	s.addAsk(a)
	if l := s.linksOf(m.ID.Daemon); l != nil && l.cutOff {
		s.hold(l, a)
		return
	}
	s.recordOffer(a, eval.minTotalMS)
	s.enqueueOrRefuse(a)
}

// enqueueOrRefuse adds an ask to its lane, or refuses it if its caller would leave before its turn.
func (s *State) enqueueOrRefuse(a *ask) {
	if !s.enqueue(a) {
		s.recordShed(a)
		s.refuse(a, ReasonDeadline)
	}
}

// forget drops an ask that has ended.
func (s *State) forget(a *ask) {
	delete(s.asks, a.ID)
	a.endTrial()
}

// newAsk returns an ask that arrives now, with its output length estimated.
func (s *State) newAsk(m Ask) *ask {
	m.Tier = min(max(m.Tier, 0), inventory.MaxTier)
	a := &ask{Ask: m, arrivedAt: s.now}
	a.expectedOutput = s.predictOutput(m, quantileOrDefault(s.OutputQuantile, defaultOutputQuantile))
	a.conservativeOutput = max(s.predictOutput(m, quantileOrDefault(s.ConservativeQuantile, defaultConservativeQuantile)), a.expectedOutput)
	return a
}

// predictOutput returns the quantile of the expected output, in tokens, at most
// what the caller allows.
func (s *State) predictOutput(m Ask, quantile float64) int {
	tokens := s.lengths.Quantile(m.Route, m.Organisation, quantile)
	if m.MaxTokens > 0 {
		return min(tokens, m.MaxTokens)
	}
	return tokens
}

// quantileOrDefault returns fallback unless quantile is in (0, 1).
func quantileOrDefault(quantile, fallback float64) float64 {
	if quantile <= 0 || quantile >= 1 {
		return fallback
	}
	return quantile
}

func (s *State) addAsk(a *ask) {
	if s.asks == nil {
		s.asks = map[AskID]*ask{}
	}
	s.asks[a.ID] = a
}

func (s *State) handleCancel(m Cancel) {
	a := s.asks[m.ID]
	if a == nil {
		return
	}
	if a.upstream != nil {
		s.release(a)
		return
	}
	if a.held {
		s.unhold(a)
	} else {
		s.queue.Remove(&a.entry)
	}
	s.forget(a)
}

// refuse ends an ask that is no longer in the queue and tells its caller when to
// retry.
func (s *State) refuse(a *ask, reason Reason) {
	s.forget(a)
	retryAfter := s.pace.drainTime(s.queue.Len())
	waiting := s.queue.Waiting(a.entry.Tier)
	waitMS := s.pace.expectedWaitMS(s.now, a.entry.Tier, waiting)
	if waiting >= minWaitingForPace {
		retryAfter = max(retryAfter, clampRetry(waitMS))
	}
	s.emit(Refuse{ID: a.ID, Reason: reason, RetryAfter: retryAfter, Waiting: waiting, Wait: clock.Millis(waitMS)})
}

// shedOverdue refuses asks that waited past their latest start, except those
// that demote moves to a later lane.
func (s *State) shedOverdue() {
	for {
		e, found := s.queue.Overdue(s.now)
		if !found {
			return
		}
		if !s.demote(e.Value) {
			s.shed(e)
		}
	}
}

// shed removes an ask from the queue and refuses it because of its deadline.
func (s *State) shed(e *queuer.Entry[*ask]) {
	s.queue.Remove(e)
	s.recordShed(e.Value)
	s.refuse(e.Value, ReasonDeadline)
}

func (s *State) handleDaemonGone(m DaemonGone) {
	for _, a := range s.asksOf(m.Daemon) {
		if a.upstream != nil {
			s.linger(a)
		}
		s.handleCancel(Cancel{ID: a.ID})
	}
	if i, found := s.searchLinks(m.Daemon); found {
		s.links = slices.Delete(s.links, i, i+1)
	}
}
