// Package explainer tells where a request would go now, and why, without sending it. The schedulers
// of the shards that would be asked run the code that decides, on their state as it is.
package explainer

import (
	"context"
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/reporter"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sharder"
)

// Explainer answers questions. Its exported fields are set before use.
type Explainer struct {
	Source   inventory.Source
	View     gossiper.View
	Assigner *sharder.Assigner
	Clock    clock.Clock
	Remote   *reserver.Remote
	// Ask asks a scheduler about an ask.
	Ask func(ctx context.Context, to gossiper.Member, ask *wire.Ask) (reporter.Explanation, error)
}

// QuestionError is a mistake in a question.
type QuestionError struct{ Field, Problem string }

// Error implements error.
func (e *QuestionError) Error() string { return e.Field + ": " + e.Problem }

// maxParts bounds the parts of a question.
const maxParts = 256

// request returns the classified request of a question, or a *QuestionError.
func (x *Explainer) request(config *inventory.Config, q reporter.Question) (req *classifier.Request, err error) {
	route, found := inventory.Lookup(config.Routes, q.Route)
	if !found {
		return nil, &QuestionError{"route", fmt.Sprintf("there is no route %q in revision %d", q.Route, config.Revision)}
	}
	organisation, found := inventory.Lookup(config.Organisations, q.Organisation)
	switch {
	case !found && q.Organisation != "":
		return nil, &QuestionError{"organisation", fmt.Sprintf("there is no organisation %q", q.Organisation)}
	case q.PromptTokens < 0, q.MaxTokens < 0:
		return nil, &QuestionError{"prompt_tokens, max_tokens", "must not be negative"}
	case q.TimeoutMS < 0 || q.TimeoutMS > clock.Day:
		return nil, &QuestionError{"timeout_ms", fmt.Sprintf("must be from 0 to %d", clock.Day)}
	case len(q.Parts) > maxParts:
		return nil, &QuestionError{"parts", fmt.Sprintf("more than %d", maxParts)}
	}
	head := classifier.Head{ID: "explain", Arrived: x.Clock.Now(), Timeout: q.TimeoutMS, PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens}
	for _, part := range q.Parts {
		if part.Tokens < 0 || part.ID == "" {
			return nil, &QuestionError{"parts", "each has an id, and tokens that are not negative"}
		}
		head.PromptParts = append(head.PromptParts, classifier.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	if q.Pool != "" {
		if !slices.Contains(poolsOf(route), q.Pool) {
			return nil, &QuestionError{"pool", fmt.Sprintf("route %q does not lead to %q, but to %v", q.Route, q.Pool, poolsOf(route))}
		}
		route.Pool, route.Split = q.Pool, nil
	}
	return classifier.New(config).Complete(classifier.Admission{Route: route, Organisation: organisation}, head, nil), nil
}

// poolsOf returns the pools that a route leads to.
func poolsOf(route inventory.Route) (pools []string) {
	for _, share := range route.Split {
		pools = append(pools, share.Pool)
	}
	if len(pools) == 0 {
		pools = []string{route.Pool}
	}
	return pools
}

// Explain answers a question. The error is a *QuestionError or the context's.
func (x *Explainer) Explain(ctx context.Context, q reporter.Question) (a reporter.Answer, err error) {
	config := x.Source.Current()
	req, err := x.request(config, q)
	if err != nil {
		return a, err
	}
	self := x.View.Self()
	a = reporter.Answer{
		Daemon: self.Name, Region: self.Region, Revision: config.Revision, Route: req.Route, Organisation: req.Organisation, Pool: req.Pool,
		Tier: req.Tier, DeadlineMS: req.Deadline - req.Arrived, ObjectiveMS: req.LatencyObjective, Homes: homesOf(config, req),
		Verdict: reporter.VerdictRefuse, Outcome: "no upstream of its pool lies where it may run",
	}
	if req.Homes.Empty() {
		a.Outcome = "the homes of its route and of its organisation have no region in common"
		return a, nil
	}
	decided := false
	for _, shard := range x.Remote.Order(req) {
		explained := x.explainShard(ctx, req, shard, q.Excluded)
		a.Shards = append(a.Shards, explained)
		if ctx.Err() != nil {
			return a, ctx.Err()
		}
		if !decided {
			decided = decide(&a, explained)
		}
	}
	return a, nil
}

// decide takes what a shard says as the outcome, and reports whether no other shard would be asked.
func decide(a *reporter.Answer, s reporter.Shard) (final bool) {
	switch {
	case s.Explanation == nil:
		a.Outcome = fmt.Sprintf("the scheduler of %s can't be asked (%s); the daemon would use its own share of the slots", s.Shard, s.Error)
		return false
	case s.Verdict == reporter.VerdictRefuse:
		a.Verdict, a.Outcome, a.RetryMS = s.Verdict, fmt.Sprintf("refused by %s: %s", s.Shard, s.Reason), s.RetryAfter
		return false
	case s.Verdict == reporter.VerdictWait:
		a.Verdict, a.Outcome, a.RetryMS = s.Verdict, fmt.Sprintf("waits at %s behind %d others, some %.0f ms", s.Shard, s.Waiting, s.WaitMS), 0
		return true
	}
	chosen := slices.IndexFunc(s.Candidates, func(c reporter.Candidate) bool { return c.Chosen })
	a.Verdict, a.RetryMS = s.Verdict, 0
	if chosen >= 0 {
		a.Upstream = s.Candidates[chosen].Upstream
	}
	a.Outcome = fmt.Sprintf("goes to %s, the cheapest of %s", a.Upstream, s.Shard)
	return true
}

// explainShard asks the scheduler of a shard.
func (x *Explainer) explainShard(ctx context.Context, req *classifier.Request, shard sharder.Shard, excluded []string) (s reporter.Shard) {
	s = reporter.Shard{Shard: shard.ID, Region: shard.Region}
	member, found := x.Assigner.Current().Scheduler(shard.ID)
	if !found {
		s.Error = "no daemon schedules it"
		return s
	}
	s.Scheduler = member.Name
	explained, err := x.Ask(ctx, member, x.Remote.AskFor(req, shard, excluded))
	if err != nil {
		s.Error = err.Error()
		return s
	}
	slices.SortStableFunc(explained.Candidates, compareCandidates)
	s.Explanation = &explained
	return s
}

// compareCandidates orders those without an obstacle first, the cheapest first.
func compareCandidates(a, b reporter.Candidate) int {
	free := func(c reporter.Candidate) int {
		if c.Obstacle == reporter.ObstacleNone {
			return 0
		}
		return 1
	}
	switch {
	case free(a) != free(b):
		return free(a) - free(b)
	case a.Score < b.Score:
		return -1
	case a.Score > b.Score:
		return 1
	default:
		return 0
	}
}

// homesOf returns the regions in which a request may run, nil for all.
func homesOf(config *inventory.Config, req *classifier.Request) (regions []string) {
	homes := config.HomesInForce(req.Route, req.Organisation, req.Homes)
	if !homes.Bound() {
		return nil
	}
	for _, r := range config.Regions {
		if homes.Allow(r.Name) {
			regions = append(regions, r.Name)
		}
	}
	return regions
}
