package granter

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// Evidence tells how one granted request went.
type Evidence struct {
	Upstream string
	Version  string
	Pool     string
	Route    string
	Outcome  reserver.Outcome
	// FirstToken is the time from the grant to the first token, 0 for none.
	FirstToken clock.Millis
	// Gap is the mean time between tokens, 0 where there were less than two.
	Gap        clock.Millis
	Idempotent bool
	// Tokens is the number of output tokens.
	Tokens int
	// Running is the number of requests on the upstream at the end, this one
	// included.
	Running int
	// Granted is when the slot was given, 0 where another scheduler gave it.
	Granted clock.Millis
}

// Observer is told of each request that ended. It must return at once, for it
// is called by the goroutine of the shard.
type Observer interface {
	Observe(e Evidence)
}

func (r *runner) observe(m scheduler.End, decode clock.Millis) {
	o := r.known[m.ID]
	if o == nil || o.upstream == "" || r.granter.Observer == nil {
		return
	}
	e := Evidence{
		Upstream: o.upstream, Version: o.version, Pool: r.pool, Route: o.ask.Route, Outcome: m.Usage.Outcome,
		FirstToken: o.firstToken, Idempotent: o.ask.Idempotent,
		Tokens: m.Usage.OutputTokens, Running: r.running(o.upstream), Granted: o.granted,
	}
	if m.Usage.OutputTokens > 1 {
		e.Gap = decode / clock.Millis(m.Usage.OutputTokens-1)
	}
	r.granter.Observer.Observe(e)
}

// running counts the requests on an upstream.
func (r *runner) running(upstream string) (count int) {
	for _, o := range r.known {
		if o.upstream == upstream {
			count++
		}
	}
	return count
}
