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
	}
	if m.Usage.OutputTokens > 1 {
		e.Gap = decode / clock.Millis(m.Usage.OutputTokens-1)
	}
	r.granter.Observer.Observe(e)
}
