package scheduler

import "yuccaspread/common/clock"

// Verdict is what would become of an ask.
type Verdict string

// The verdicts.
const (
	VerdictGrant  Verdict = "grant"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Obstacle is why an upstream would not get an ask now.
type Obstacle string

// The obstacles, in the order in which they are looked for.
const (
	ObstacleNone      Obstacle = ""
	ObstacleGone      Obstacle = "not listed"
	ObstacleLeaving   Obstacle = "leaving"
	ObstacleEvacuated Obstacle = "evacuated"
	ObstacleExcluded  Obstacle = "excluded by the ask"
	ObstacleVersion   Obstacle = "version may not serve it"
	ObstacleDown      Obstacle = "down"
	ObstaclePaused    Obstacle = "paused after broken connections"
	ObstacleTrial     Obstacle = "tried with one request at a time"
	ObstacleCold      Obstacle = "cold"
	ObstacleLimit     Obstacle = "limit that it names"
	ObstacleEjected   Obstacle = "ejected as a straggler"
	ObstacleDeadline  Obstacle = "would miss the deadline"
	ObstacleFull      Obstacle = "no room"
)

// Candidate is one upstream with the terms on which it is weighed. Times are in milliseconds.
type Candidate struct {
	Upstream      string   `json:"upstream"`
	FailureDomain string   `json:"failure_domain,omitempty"`
	Version       string   `json:"version,omitempty"`
	Obstacle      Obstacle `json:"obstacle,omitempty"`
	// Chosen is set for the one that would get the ask now.
	Chosen bool `json:"chosen,omitempty"`
	// Score is the cost by which upstreams are compared, the least first.
	Score float64 `json:"score"`
	// PrefillMS, FirstTokenMS and EndMS are expected from now, AddedDelayMS is the delay of the
	// requests beside it.
	PrefillMS    float64 `json:"prefill_ms"`
	FirstTokenMS float64 `json:"first_token_ms"`
	EndMS        float64 `json:"end_ms"`
	AddedDelayMS float64 `json:"added_delay_ms"`
	// Running are its requests by this scheduler, Foreign those of others, Slots how many it runs at
	// once.
	Running int `json:"running"`
	Foreign int `json:"foreign,omitempty"`
	Slots   int `json:"slots"`
	// Tokens are those of the running requests, and MemoryTokens its memory, 0 for unknown.
	Tokens       int `json:"tokens,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// KeptTokens are the tokens of the prompt that it is expected to hold, last used KeptAgeMS ago.
	KeptTokens int          `json:"kept_tokens,omitempty"`
	KeptAgeMS  clock.Millis `json:"kept_age_ms,omitempty"`
	// FailureRate is the moving share of requests that failed there.
	FailureRate float64 `json:"failure_rate,omitempty"`
	// MeasuredAgeMS is the age of the last measurement of its speed, -1 if there is none.
	MeasuredAgeMS clock.Millis `json:"measured_age_ms"`
}

// Explanation is what would become of an ask that came now, and why.
type Explanation struct {
	Verdict Verdict `json:"verdict"`
	// Reason and RetryAfter are those of a refusal.
	Reason     string       `json:"reason,omitempty"`
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
	// Waiting is the number of asks in its lane, and WaitMS the expected wait behind them.
	Waiting int     `json:"waiting"`
	WaitMS  float64 `json:"wait_ms"`
	// ExpectedOutput is the number of output tokens that its end is judged by.
	ExpectedOutput int         `json:"expected_output_tokens"`
	Candidates     []Candidate `json:"candidates"`
}

// Explain returns what would become of an ask that came now. It runs the code that decides, and
// changes nothing that a decision depends on.
func (s *State) Explain(now clock.Millis, m Ask) (e Explanation) {
	before := s.now
	defer func() { s.now = before }()
	s.now = max(s.now, now)
	a := s.newAsk(m)
	eval := s.evaluate(a)
	e.ExpectedOutput = s.outputEstimate(a)
	a.assignLane(s.now, finite(eval.minTotalMS), finite(eval.minFirstTokenMS))
	e.Waiting = s.queue.Waiting(a.entry.Tier)
	e.WaitMS = s.pace.expectedWaitMS(s.now, a.entry.Tier, e.Waiting)
	e.RetryAfter = s.pace.drainTime(s.queue.Len())
	switch {
	case eval.eligible == 0:
		e.Verdict, e.Reason = VerdictRefuse, "no upstream may serve it"
	case !eval.meetsDeadline:
		e.Verdict, e.Reason = VerdictRefuse, "no upstream could answer before the deadline, even if idle"
	case m.ObjectiveOnly && eval.best == nil && s.missesObjective(a, eval.minFirstTokenMS):
		e.Verdict, e.Reason = VerdictRefuse, "it would miss its objective here, and can be made elsewhere"
	case s.waitExceedsPatience(a) && !s.reachesMinimum(a):
		e.Verdict, e.Reason = VerdictRefuse, "its caller would leave before its turn"
	case eval.best == nil || e.Waiting > 0 || a.Tier > s.region.admissionFloor(s.now):
		e.Verdict, e.RetryAfter = VerdictWait, 0
	default:
		e.Verdict, e.RetryAfter = VerdictGrant, 0
	}
	for _, u := range s.upstreams {
		e.Candidates = append(e.Candidates, s.explainUpstream(u, a, eval))
	}
	return e
}

// explainUpstream returns the terms on which an upstream is weighed.
func (s *State) explainUpstream(u *upstream, a *ask, eval evaluation) Candidate {
	depths := s.index.Match(a.PrefixHashes, u.mask())
	w := s.weigh(u, a, &depths)
	c := Candidate{
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
func (s *State) obstacle(u *upstream, a *ask, w weighing) Obstacle {
	switch {
	case !u.listed:
		return ObstacleGone
	case u.evacuated:
		return ObstacleEvacuated
	case !u.inService():
		return ObstacleLeaving
	case a.excludes(u):
		return ObstacleExcluded
	case !s.mayServe(u, a):
		return ObstacleVersion
	case u.down:
		return ObstacleDown
	case !u.acceptsWork(s.now):
		return ObstaclePaused
	case u.trialPending(s.now):
		return ObstacleTrial
	case !s.withinCold(u):
		return ObstacleCold
	case !s.withinLimit(u):
		return ObstacleLimit
	case u.straggler.Ejected() && !s.hasRoom(u, a, w.load, w.times):
		return ObstacleEjected
	case w.loadedMS > float64(a.Deadline-s.now):
		return ObstacleDeadline
	case !s.hasRoom(u, a, w.load, w.times):
		return ObstacleFull
	default:
		return ObstacleNone
	}
}

// finite returns a time, or that of a day for one that is infinite.
func finite(ms float64) float64 { return min(ms, float64(clock.Day)) }
