// Package watcher polls upstreams for their load and their cache events and
// sends them, and changes of health, to the schedulers of the shards that this
// daemon carries.
package watcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
)

// Timing of the polls.
const (
	// syncInterval is the time between two reads of the list of upstreams.
	syncInterval = 500 * clock.Millisecond
	// DefaultInterval is the time between two polls of one upstream.
	DefaultInterval = 1 * clock.Second
	// pollsPerInterval bounds the upstreams that are polled per interval; if
	// there are more, each is polled less often.
	pollsPerInterval = 8
	callTimeout      = 1 * clock.Second
	// downAfterFailures is the number of consecutive failed polls after which an
	// upstream counts as down.
	downAfterFailures = 2
)

// Watcher polls the upstreams of the carried shards. Its exported fields are
// set before Run.
type Watcher struct {
	// Upstreams returns the upstreams to poll.
	Upstreams func() []inventory.Upstream
	// Source returns the configuration. Pools of kind inventory.PoolModel have a
	// prefix cache.
	Source inventory.Source
	// Send sends a message about the upstream to its scheduler.
	Send   func(upstream string, m scheduler.Message)
	Clock  clock.Clock
	Client *http.Client
	// Interval is the time between two polls of one upstream while there are at
	// most pollsPerInterval upstreams; 0 means DefaultInterval.
	Interval clock.Millis

	// pollInterval is the time between two polls of one upstream in milliseconds.
	pollInterval atomic.Int64

	// pollers holds the running pollers by the name of the upstream. Only the
	// goroutine of Run uses it.
	pollers map[string]*poller
}

// poller is the state of the goroutine that polls one upstream.
type poller struct {
	watcher  *Watcher
	upstream inventory.Upstream
	cancel   context.CancelFunc
	// hasPrefixCache reports whether the upstream has a prefix cache.
	hasPrefixCache      bool
	consecutiveFailures int
	down                bool
	// sequence is the number of the last cache event, 0 before the first one.
	sequence int64
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.pollers = map[string]*poller{}
	var running sync.WaitGroup
	defer running.Wait()
	ticker := clock.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		w.syncPollers(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncPollers starts and stops pollers so that they match the upstreams of the
// shards that this daemon carries now.
func (w *Watcher) syncPollers(ctx context.Context, running *sync.WaitGroup) {
	wanted := map[string]inventory.Upstream{}
	for _, u := range w.Upstreams() {
		wanted[u.Name] = u
	}
	w.setPollInterval(len(wanted))
	for name, p := range w.pollers {
		if u, found := wanted[name]; !found || u.Address != p.upstream.Address {
			p.cancel()
			delete(w.pollers, name)
		}
	}
	for name, u := range wanted {
		if w.pollers[name] != nil {
			continue
		}
		pool, _ := inventory.Lookup(w.Source.Current().Pools, u.Pool)
		pollerCtx, cancel := context.WithCancel(ctx)
		p := &poller{watcher: w, upstream: u, cancel: cancel, hasPrefixCache: pool.Kind == inventory.PoolModel}
		w.pollers[name] = p
		running.Go(func() { p.run(pollerCtx) })
	}
}

// setPollInterval sets the poll interval for the given number of upstreams.
func (w *Watcher) setPollInterval(upstreams int) {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	if upstreams > pollsPerInterval {
		interval = interval * clock.Millis(upstreams) / pollsPerInterval
	}
	w.pollInterval.Store(int64(interval))
}

func (p *poller) run(ctx context.Context) {
	for {
		p.poll(ctx)
		timer := time.NewTimer(clock.Millis(p.watcher.pollInterval.Load()).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// poll reads the load once, updates the health of the upstream and reads the
// cache events if the upstream has a prefix cache.
func (p *poller) poll(ctx context.Context) {
	err := p.pollLoad(ctx)
	if ctx.Err() != nil {
		return
	}
	p.updateHealth(err)
	if err == nil && p.hasPrefixCache {
		p.pollCacheEvents(ctx)
	}
}

// updateHealth reports the upstream as down after consecutive failed polls, and
// as up once a poll succeeds again.
func (p *poller) updateHealth(err error) {
	if err == nil {
		p.consecutiveFailures = 0
		if p.down {
			p.down = false
			p.send(scheduler.Health{Upstream: p.upstream.Name, Up: true})
		}
		return
	}
	p.consecutiveFailures++
	if p.consecutiveFailures >= downAfterFailures {
		// Sent after each further failure, since a scheduler that has just taken
		// over the shard does not know it yet.
		p.down = true
		p.send(scheduler.Health{Upstream: p.upstream.Name, Up: false})
	}
}

func (p *poller) send(m scheduler.Message) {
	p.watcher.Send(p.upstream.Name, m)
}
