package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/reporter"
)

// Explain returns what would become of an ask that came now. It runs the code that decides, and
// changes nothing that a decision depends on.
func (s *State) Explain(now clock.Millis, m Ask) (e reporter.Explanation) {
	before := s.now
	defer func() { s.now = before }()
	s.now = max(s.now, now)
	a := s.newAsk(m)
	eval := s.evaluate(a)
	e.ExpectedOutput = s.outputEstimate(a)
	s.assignLane(a, finite(eval.minTotalMS), finite(eval.minFirstTokenMS))
	e.Waiting = s.queue.Waiting(a.entry.Tier)
	e.WaitMS = s.pace.expectedWaitMS(s.now, a.entry.Tier, e.Waiting)
	e.RetryAfter = s.pace.drainTime(s.queue.Len())
	switch {
	case eval.eligible == 0:
		e.Verdict, e.Reason = reporter.VerdictRefuse, "no upstream may serve it"
	case !eval.meetsDeadline:
		e.Verdict, e.Reason = reporter.VerdictRefuse, "no upstream could answer before the deadline, even if idle"
	case m.ObjectiveOnly && eval.best == nil && s.missesObjective(a, eval.minFirstTokenMS):
		e.Verdict, e.Reason = reporter.VerdictRefuse, "it would miss its objective here, and can be made elsewhere"
	case s.waitExceedsPatience(a) && !s.reachesMinimum(a):
		e.Verdict, e.Reason = reporter.VerdictRefuse, "its caller would leave before its turn"
	case eval.best == nil || e.Waiting > 0 || a.Tier > s.region.admissionFloor(s.now):
		e.Verdict, e.RetryAfter = reporter.VerdictWait, 0
	default:
		e.Verdict, e.RetryAfter = reporter.VerdictGrant, 0
	}
	for _, u := range s.upstreams {
		e.Candidates = append(e.Candidates, s.explainUpstream(u, a, eval))
	}
	return e
}

// explainUpstream returns the terms on which an upstream is weighed.
func (s *State) explainUpstream(u *upstream, a *ask, eval evaluation) reporter.Candidate {
	depths := s.index.Match(a.PrefixHashes, u.mask())
	w := s.weigh(u, a, &depths)
	c := reporter.Candidate{
		Upstream: u.Name, FailureDomain: u.FailureDomain, Version: u.version, Obstacle: s.obstacle(u, a, w),
		Chosen: eval.best == u, Score: w.score, PrefillMS: w.times.PrefillMS, FirstTokenMS: w.times.FirstTokenMS, EndMS: w.times.EndMS,
		AddedDelayMS: w.times.AddedDelayMS, Running: u.running, Foreign: u.foreign.count, Slots: u.Slots, Tokens: u.tokens,
		MemoryTokens: s.memory[u.Pool], KeptTokens: w.work.CachedTokens, FailureRate: u.failureRate, MeasuredAgeMS: -1,
	}
	if age, known := u.keeper.Age(s.now, a.Parts); known {
		c.KeptAgeMS = age
	}
	if u.measuredAt > 0 {
		c.MeasuredAgeMS = s.now - u.measuredAt
	}
	return c
}

// obstacle returns the first reason for which an upstream would not get an ask now.
//
//nolint:gocyclo // One switch over all obstacles, one line each.
func (s *State) obstacle(u *upstream, a *ask, w weighing) reporter.Obstacle {
	switch {
	case !u.listed:
		return reporter.ObstacleGone
	case u.evacuated:
		return reporter.ObstacleEvacuated
	case !u.inService():
		return reporter.ObstacleLeaving
	case a.excludes(u):
		return reporter.ObstacleExcluded
	case !s.mayServe(u, a):
		return reporter.ObstacleVersion
	case u.down:
		return reporter.ObstacleDown
	case !u.acceptsWork(s.now):
		return reporter.ObstaclePaused
	case u.trialPending(s.now):
		return reporter.ObstacleTrial
	case !s.withinCold(u):
		return reporter.ObstacleCold
	case !s.withinBrittle(u):
		return reporter.ObstacleBrittle
	case !s.withinLimit(u):
		return reporter.ObstacleLimit
	case u.straggler.Ejected() && !s.hasRoom(u, a, w.load, w.times):
		return reporter.ObstacleEjected
	case w.loadedMS > float64(a.Deadline-s.now):
		return reporter.ObstacleDeadline
	case !s.hasRoom(u, a, w.load, w.times):
		return reporter.ObstacleFull
	default:
		return reporter.ObstacleNone
	}
}

// finite returns a time, or that of a day for one that is infinite.
func finite(ms float64) float64 { return min(ms, float64(clock.Day)) }
