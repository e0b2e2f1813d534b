// Package watcher asks upstreams for their load and their cache events and
// tells the schedulers of the shards that this daemon carries.
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

// Times of the watch.
const (
	// followInterval is how often the list of upstreams is read anew.
	followInterval = 500 * clock.Millisecond
	// DefaultInterval is the time between two reports of one upstream.
	DefaultInterval = 1 * clock.Second
	// pollsPerInterval bounds the upstreams that are asked within that time;
	// where there are more, each is asked less often.
	pollsPerInterval = 8
	callTimeout      = 1 * clock.Second
	// failuresToDown is how many calls in a row must fail until an upstream
	// counts as down.
	failuresToDown = 2
)

// Watcher watches the upstreams of the carried shards. Its exported fields
// are set before Run.
type Watcher struct {
	// Upstreams returns the upstreams to watch.
	Upstreams func() []inventory.Upstream
	// Source tells which pools have a prefix cache.
	Source inventory.Source
	// Tell takes the news.
	Tell   func(upstream string, m scheduler.Message)
	Clock  clock.Clock
	Client *http.Client
	// Interval is the time between two reports of one of few upstreams; 0
	// stands for DefaultInterval.
	Interval clock.Millis

	// interval is the time between two reports of one upstream.
	interval atomic.Int64

	// watches holds the running watches by the name of the upstream. It
	// belongs to Run.
	watches map[string]*watch
}

// watch is the goroutine that asks one upstream.
type watch struct {
	watcher  *Watcher
	upstream inventory.Upstream
	cancel   context.CancelFunc
	// caches tells whether the upstream has a prefix cache.
	caches   bool
	failures int
	down     bool
	// sequence is the number of the last cache event, 0 before the first.
	sequence int64
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.watches = map[string]*watch{}
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(followInterval.Duration())
	defer ticker.Stop()
	for {
		w.follow(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow starts and stops watches as shards come and go.
func (w *Watcher) follow(ctx context.Context, running *sync.WaitGroup) {
	wanted := map[string]inventory.Upstream{}
	for _, u := range w.Upstreams() {
		wanted[u.Name] = u
	}
	w.pace(len(wanted))
	for name, running := range w.watches {
		if u, found := wanted[name]; !found || u.Address != running.upstream.Address {
			running.cancel()
			delete(w.watches, name)
		}
	}
	for name, u := range wanted {
		if w.watches[name] != nil {
			continue
		}
		pool, _ := inventory.Lookup(w.Source.Current().Pools, u.Pool)
		watching, cancel := context.WithCancel(ctx)
		one := &watch{watcher: w, upstream: u, cancel: cancel, caches: pool.Kind == inventory.PoolModel}
		w.watches[name] = one
		running.Go(func() { one.run(watching) })
	}
}

// pace sets the interval for so many upstreams.
func (w *Watcher) pace(upstreams int) {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	if upstreams > pollsPerInterval {
		interval = interval * clock.Millis(upstreams) / pollsPerInterval
	}
	w.interval.Store(int64(interval))
}

func (one *watch) run(ctx context.Context) {
	for {
		one.ask(ctx)
		timer := time.NewTimer(clock.Millis(one.watcher.interval.Load()).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// ask asks once for all that there is to know.
func (one *watch) ask(ctx context.Context) {
	err := one.askLoad(ctx)
	if ctx.Err() != nil {
		return
	}
	one.judge(err)
	if err == nil && one.caches {
		one.askEvents(ctx)
	}
}

// judge tells when the upstream stops to answer, and when it does again.
func (one *watch) judge(err error) {
	if err == nil {
		one.failures = 0
		if one.down {
			one.down = false
			one.tell(scheduler.Health{Upstream: one.upstream.Name, Up: true})
		}
		return
	}
	one.failures++
	if one.failures >= failuresToDown {
		// Told each time, since a scheduler that has just taken the shard over
		// does not know it yet.
		one.down = true
		one.tell(scheduler.Health{Upstream: one.upstream.Name, Up: false})
	}
}

func (one *watch) tell(m scheduler.Message) {
	one.watcher.Tell(one.upstream.Name, m)
}
