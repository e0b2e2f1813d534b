// Package granter runs the schedulers of the shards that this daemon carries:
// one goroutine a shard around the pure decisions, with bounded rings to and
// from the daemons that ask.
package granter

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

// Times of the streams and shards.
const (
	refreshInterval = 200 * clock.Millisecond
	// silenceLimit is how long a stream may carry nothing at all.
	silenceLimit = 6 * clock.Second
	// reconnectGrace is how long the slots of a daemon outlive its stream.
	reconnectGrace = 5 * clock.Second
)

// Decider is the pure scheduler of one shard.
type Decider interface {
	// Update takes one message in and returns what shall be done.
	Update(now clock.Millis, m scheduler.Message) []scheduler.Effect
}

// Granter carries the shards of this daemon. Its exported fields are set
// before Run.
type Granter struct {
	Source   inventory.Source
	View     gossiper.View
	Assigner *sharder.Assigner
	Clock    clock.Clock
	// NewDecider returns the scheduler of a shard that was not carried before.
	NewDecider func() Decider
	// Observer is told how each request ended; nil for nobody.
	Observer Observer
	// Registerer takes the metrics; nil keeps them to itself.
	Registerer prometheus.Registerer

	// TellPeer tells another daemon of a tier; nil tells only the shards here.
	TellPeer func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) error

	once    sync.Once
	metrics *metrics
	// news holds what other shards are to be told. News that find it full are
	// dropped: they are repeated while they matter.
	news *ring.Ring[lowestTier]

	mu sync.Mutex
	// runners holds the carried shards by ID.
	runners map[string]*runner
	// sessions holds the newest session of each daemon that has an open one.
	sessions map[string]*Session
	// gone tells when the slots of a daemon without session are freed.
	gone map[string]clock.Millis
	// shares are the shares of traffic of the moves by pool.
	shares map[string]scheduler.Shares
	feeds  feeder
	// ctx ends with Run; nil before it.
	ctx context.Context
	// running counts the goroutines of shards.
	running sync.WaitGroup
}

func (g *Granter) prepare() {
	g.once.Do(func() {
		g.metrics = newMetrics(g.Registerer)
		g.news = ring.New[lowestTier](newsRing)
		g.runners = map[string]*runner{}
		g.sessions = map[string]*Session{}
		g.gone = map[string]clock.Millis{}
		g.shares = map[string]scheduler.Shares{}
	})
}

// Run carries shards until ctx ends.
func (g *Granter) Run(ctx context.Context) {
	g.prepare()
	g.mu.Lock()
	g.ctx = ctx
	g.running.Go(func() { g.spreadNews(ctx) })
	g.mu.Unlock()
	ticker := time.NewTicker(refreshInterval.Duration())
	defer ticker.Stop()
	for {
		g.refresh()
		select {
		case <-ctx.Done():
			g.running.Wait()
			return
		case <-ticker.C:
		}
	}
}

// Shares replaces the shares of traffic by version on all shards of a pool.
func (g *Granter) Shares(pool string, m scheduler.Shares) {
	g.prepare()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares[pool] = m
	for _, r := range g.runners {
		if r.pool == pool {
			r.shares.Store(&m)
		}
	}
}

// Tell passes news of an upstream to the scheduler of its shard. News of
// shards that are not carried, and news that finds the ring full, are dropped:
// fresher news follow.
func (g *Granter) Tell(upstream string, m scheduler.Message) {
	g.prepare()
	shard := g.Assigner.Current().Layout.ShardOf(upstream)
	g.mu.Lock()
	r := g.runners[shard]
	g.mu.Unlock()
	if r != nil {
		r.in.TryPush(input{message: m})
	}
}

// Upstreams returns the upstreams of the carried shards.
func (g *Granter) Upstreams() []inventory.Upstream {
	g.prepare()
	layout := g.Assigner.Current().Layout
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []inventory.Upstream
	for id := range g.runners {
		shard, _ := layout.Lookup(id)
		all = append(all, shard.Upstreams...)
	}
	return all
}

// refresh follows the configuration, the members and the sessions.
func (g *Granter) refresh() {
	assignment := g.Assigner.Current()
	config := g.Source.Current()
	self := g.View.Self().Name
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, r := range g.runners {
		if carrier, found := assignment.Scheduler(id); !found || carrier.Name != self {
			delete(g.runners, id)
			r.stop()
		}
	}
	for _, shard := range assignment.Layout.Shards() {
		if carrier, _ := assignment.Scheduler(shard.ID); carrier.Name == self {
			g.carry(shard, config)
		}
	}
	g.closeSilent(now)
	g.dropGone(now)
}

// carry starts the shard unless it runs, and tells it what is in force.
func (g *Granter) carry(shard sharder.Shard, config *inventory.Config) {
	if g.ctx == nil || g.ctx.Err() != nil {
		return
	}
	r, found := g.runners[shard.ID]
	if !found {
		r = newRunner(g, shard)
		g.runners[shard.ID] = r
		if shares, found := g.shares[shard.Pool]; found {
			r.shares.Store(&shares)
		}
	}
	r.feed.Store(g.feeds.feed(shard, config))
	if !found {
		g.running.Go(func() { r.run(g.ctx) })
	}
}

// runner returns the runner of a shard, and nil where this daemon does not
// carry it. A daemon that has just become the scheduler learns it here.
func (g *Granter) runner(shard string) *runner {
	g.mu.Lock()
	r := g.runners[shard]
	g.mu.Unlock()
	if r != nil {
		return r
	}
	if carrier, found := g.Assigner.Current().Scheduler(shard); !found || carrier.Name != g.View.Self().Name {
		return nil
	}
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runners[shard]
}

// all returns the runners of all carried shards.
func (g *Granter) all() []*runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*runner, 0, len(g.runners))
	for _, r := range g.runners {
		all = append(all, r)
	}
	return all
}

// closeSilent closes sessions whose daemon says nothing any more.
func (g *Granter) closeSilent(now clock.Millis) {
	for _, s := range g.sessions {
		if now-clock.Millis(s.heard.Load()) > silenceLimit {
			g.detach(s)
		}
	}
}

// detach ends a session; the lock is held.
func (g *Granter) detach(s *Session) {
	s.cancel()
	if g.sessions[s.daemon] == s {
		delete(g.sessions, s.daemon)
		g.gone[s.daemon] = g.Clock.Now() + reconnectGrace
	}
}

// dropGone frees what daemons without session hold after the grace period.
func (g *Granter) dropGone(now clock.Millis) {
	for daemon, at := range g.gone {
		if now < at {
			continue
		}
		all := true
		for _, r := range g.runners {
			all = r.in.TryPush(input{gone: daemon}) && all
		}
		if all {
			delete(g.gone, daemon)
		}
	}
}

// refuseNotCarried answers an ask for a shard of another daemon.
func refuseNotCarried(s *Session, number uint64) {
	s.deliver(&wire.ReserveDown{Message: &wire.ReserveDown_Refusal{Refusal: &wire.Refusal{
		AskId: number, Reason: wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER,
	}}})
}
