package granter

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// RequestResult describes one granted request that ended.
type RequestResult struct {
	Upstream string
	Version  string
	Pool     string
	Route    string
	Outcome  reserver.Outcome
	// FirstTokenTime is the time from the grant to the first token, 0 for none.
	FirstTokenTime clock.Millis
	// TokenGap is the mean time between tokens, 0 for fewer than two tokens.
	TokenGap   clock.Millis
	Idempotent bool
	// Tokens is the number of output tokens.
	Tokens int
	// Running is the number of requests on the upstream at the end, this one
	// included.
	Running int
	// Granted is when the slot was granted, 0 where another scheduler granted
	// it.
	Granted clock.Millis
}

// RequestStart describes a granted request that an upstream has begun to answer.
type RequestStart struct {
	Version string
	Pool    string
	Route   string
	// FirstTokenTime is the time from the grant to the first token.
	FirstTokenTime clock.Millis
}

// Observer receives each granted request that ended.
type Observer interface {
	// Observe must not block, since it runs on the goroutine of the shard.
	Observe(result RequestResult)
}

// reportEnd counts the end of a granted request and passes it to the observer; decode is the
// time from the first token to the end.
func (r *runner) reportEnd(m scheduler.End, decode clock.Millis) {
	state := r.asks[m.ID]
	if state == nil || state.upstream == "" {
		return
	}
	if m.Usage.Outcome == reserver.Failed && m.Usage.NotRun && r.notices[state.upstream].Brittle {
		r.granter.metrics.brittleRefusals.Inc()
	}
	if r.granter.Observer == nil {
		return
	}
	result := RequestResult{
		Upstream: state.upstream, Version: state.version, Pool: r.pool, Route: state.ask.Route, Outcome: m.Usage.Outcome,
		FirstTokenTime: state.firstTokenDelay, Idempotent: state.ask.Idempotent,
		Tokens: m.Usage.OutputTokens, Running: r.runningOn(state.upstream), Granted: state.grantedAt,
	}
	if m.Usage.OutputTokens > 1 {
		result.TokenGap = decode / clock.Millis(m.Usage.OutputTokens-1)
	}
	r.granter.Observer.Observe(result)
}

// runningOn counts the granted requests on an upstream.
func (r *runner) runningOn(upstream string) (count int) {
	for _, state := range r.asks {
		if state.upstream == upstream {
			count++
		}
	}
	return count
}
