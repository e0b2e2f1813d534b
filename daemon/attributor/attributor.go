package attributor

import (
	"sync"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
)

// Attributor runs a Core for all requests of this daemon. It is safe for concurrent use.
// Its exported fields are set before use.
type Attributor struct {
	Clock  clock.Clock
	Source inventory.Source
	// Started is when this daemon started.
	Started clock.Millis
	// Spread sends reports to other daemons without blocking; nil if there are none.
	Spread func([]Report)
	// Collect sends first reports of requests to the daemons that collect them, without
	// blocking; nil if there are none.
	Collect func([]Report)
	// HasTurn reports whether this daemon makes a trial; nil if it is the only one.
	HasTurn HasTurn

	mu   sync.Mutex
	core Core
}

// BlockedFor returns for how long a request with the keys is refused, 0 if it is not.
func (a *Attributor) BlockedFor(request string, keys []uint64) clock.Millis {
	hasTurn := a.HasTurn
	if hasTurn == nil {
		hasTurn = func(uint64, int64) bool { return true }
	}
	a.mu.Lock()
	now := a.Clock.Now()
	verdict := a.core.Admit(now, request, keys, hasTurn)
	a.mu.Unlock()
	if verdict.IsTrial {
		klog.InfoS("trying a request with keys that are suspected of crashing upstreams", logger.KeyRequest, request, "keys", keys)
	}
	return max(verdict.Until-now, 0)
}

// UpstreamCrashed reports that an upstream crashed while a request with the keys was
// running.
func (a *Attributor) UpstreamCrashed(upstream string, request uint64, keys []uint64) {
	a.step(Crashed{Keys: keys, Request: request, Upstream: upstream})
}

// RequestCompleted reports that a request with the keys was completed.
func (a *Attributor) RequestCompleted(keys []uint64) { a.step(Completed{Keys: keys}) }

// HandleReports takes over reports of another daemon.
func (a *Attributor) HandleReports(reports []Report) { a.step(Received{Reports: reports}) }

// Reports returns the reports of the blocked keys and of the named ones, and a digest of the
// former.
func (a *Attributor) Reports(keys ...uint64) (reports []Report, digest uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Reports(keys...)
}

func (a *Attributor) step(message Message) {
	a.mu.Lock()
	a.core.Started = a.Started
	a.core.Retention = a.Source.Current().Limits.WithDefaults().QuarantineMS
	now := a.Clock.Now()
	effects := a.core.Step(now, message)
	a.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case Spread:
			if a.Spread != nil {
				a.Spread(e.Reports)
			}
		case Collect:
			if a.Collect != nil {
				a.Collect(e.Reports)
			}
		case Blocked:
			klog.InfoS("requests with these keys crash upstreams; refusing them", "keys", e.Block.Keys,
				"for_ms", e.Block.Until-now, "provisional", e.Block.Provisional, "upstreams", e.Block.Upstreams)
		case Unblocked:
			klog.InfoS("requests with these keys don't explain crashes of upstreams; accepting them", "keys", e.Block.Keys)
		}
	}
}
