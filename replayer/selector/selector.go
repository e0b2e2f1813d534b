// Package selector provides the scheduling policies that replays compare: the
// daemons' scheduler and simple baselines that use less information.
package selector

import (
	"fmt"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/parser"
)

// Decision is a policy's decision on one request: an upstream, a refusal or the
// cancellation of its attempt.
type Decision struct {
	RequestNumber uint64
	// Upstream is empty for a refusal.
	Upstream string
	// Cancel is set to cancel the request's running attempt.
	Cancel bool
	// RetryAfter is the time after which a refused caller may retry, 0 for no hint.
	RetryAfter clock.Millis
}

// Ask is a request that needs an upstream.
type Ask struct {
	scheduler.Ask
	// Daemon is the index of the daemon that the caller chose.
	Daemon int
}

// Policy decides where the requests of one shard run.
type Policy interface {
	// HandleArrival handles a new request, or one that needs another attempt.
	HandleArrival(now clock.Millis, ask Ask) []Decision
	// HandleFirstToken handles the first token of a request; cached is the number of
	// prompt tokens that were cached.
	HandleFirstToken(now clock.Millis, number uint64, cached int) []Decision
	// HandleEnd handles the end of a request's attempt at its upstream.
	HandleEnd(now clock.Millis, number uint64, usage reserver.Usage) []Decision
	// HandleLeave handles that the caller of a waiting request has left.
	HandleLeave(now clock.Millis, number uint64) []Decision
	// HandleLoadReport handles a load report, which is of an earlier time.
	HandleLoadReport(now clock.Millis, load scheduler.Load) []Decision
	// HandleCacheChange handles delayed cache events.
	HandleCacheChange(now clock.Millis, change scheduler.CacheChange) []Decision
	// HandleHealth handles the failure or recovery of an upstream.
	HandleHealth(now clock.Millis, health scheduler.Health) []Decision
	// Tick is called at regular intervals.
	Tick(now clock.Millis) []Decision
	// DelayMS returns the delay of a decision in milliseconds.
	DelayMS() float64
}

// Names of the policies.
const (
	Yuccaspread = "yuccaspread"
	RoundRobin  = "round_robin"
	LeastLoaded = "least_loaded"
	LocalShare  = "local_share"
	// DeadlinesOnly is the daemons' scheduler that gets the deadlines alone, without
	// the promised first tokens and the times at which callers leave.
	DeadlinesOnly = "deadlines"
	// StrictOrder is the daemons' scheduler without a minimum for any kind of request.
	StrictOrder = "strict_order"
	// ReadAgain is the daemons' scheduler that does not weigh which parts upstreams still hold.
	ReadAgain = "read_again"
)

// Names returns the names of the policies that are compared in all scenarios, the
// daemons' policy first.
func Names() []string {
	return []string{Yuccaspread, RoundRobin, LeastLoaded, LocalShare}
}

// NamesFor returns the names of the policies that are compared in a scenario.
func NamesFor(scenario string) []string {
	switch scenario {
	case "promises":
		return append(Names(), DeadlinesOnly)
	case "minimum":
		return append(Names(), StrictOrder)
	case "kept_hot", "kept_warm", "kept_none":
		return append(Names(), ReadAgain)
	default:
		return Names()
	}
}

// New returns the named policy for the upstreams of one shard.
func New(name string, head parser.Header, upstreams []parser.Upstream) (p Policy, err error) {
	switch name {
	case Yuccaspread:
		return newSchedulerPolicy(head, upstreams), nil
	case DeadlinesOnly:
		p := newSchedulerPolicy(head, upstreams)
		p.deadlinesOnly = true
		return p, nil
	case ReadAgain:
		p := newSchedulerPolicy(head, upstreams)
		p.ignoresParts = true
		return p, nil
	case StrictOrder:
		head.KindFloor, head.CheapKindShare = 0, 0
		return newSchedulerPolicy(head, upstreams), nil
	case RoundRobin:
		return &roundRobin{baseline: newBaseline(upstreams)}, nil
	case LeastLoaded:
		return &leastLoaded{baseline: newBaseline(upstreams)}, nil
	case LocalShare:
		return newLocalShare(head.Daemons, upstreams), nil
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
}
